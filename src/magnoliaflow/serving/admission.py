"""Early refusal: deadline, account share, headroom."""

from dataclasses import dataclass
from math import inf

from magnoliaflow.cluster.profiles import Profile
from magnoliaflow.cluster.profiles import Target
from magnoliaflow.common.codes import Code
from magnoliaflow.common.lifecycle import Phase
from magnoliaflow.core.state import GatewayState
from magnoliaflow.core.state import PROFILE_STREAM
from magnoliaflow.policy.fairness import Backlog
from magnoliaflow.policy.routing import Need
from magnoliaflow.policy.routing import RoutingView
from magnoliaflow.work.requests import Role

SHARE_SLACK = 2.0
BUSY_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class Outlook:
    """What a request that is admitted now may expect, in seconds."""

    wait_s: float
    service_s: float

    @property
    def total_s(self) -> float:
        """Return the expected time to the whole answer."""
        return self.wait_s + self.service_s


def profiles_fresh(state: GatewayState) -> bool:
    """Return whether profile changes can still reach this process."""
    if not state.profiles.complete:
        return False
    bound = state.cfg.timings.profile_bound_s
    cursor = state.cursors[PROFILE_STREAM]
    if state.now - cursor.behind_since > bound:
        return False
    heard = max((peer.last_heartbeat_at for peer in state.peers), default=-inf)
    return state.now - max(heard, cursor.last_read_at) < bound


def refusal(
    state: GatewayState, profile_name: str, account: str, need_size: int
) -> Code | None:
    """Return the code that refuses a new request, None to admit it."""
    if state.phase is not Phase.SERVING:
        return Code.DRAINING
    if not profiles_fresh(state):
        return Code.PROFILES_STALE
    profile = state.profiles.in_force.get(profile_name)
    if profile is None:
        return Code.UNKNOWN_PROFILE
    if need_size > state.cfg.limits.body_bytes:
        return Code.BODY_TOO_LARGE
    if over_share(state, account):
        return Code.ACCOUNT_OVER_SHARE
    return None


def over_share(state: GatewayState, account: str) -> bool:
    """Return whether an account has more open than its share allows.

    While the gateway is not busy an account may use what others leave.
    """
    limit = state.cfg.limits.open_requests
    total = state.requests.count("role", (Role.OWNER, False))
    if total < limit * BUSY_FRACTION:
        return False
    weights = {item.name: item.weight for item in state.cfg.client_accounts}
    share = weights.get(account, 1.0) / sum(weights.values())
    own = state.requests.count("account", (account, Role.OWNER.value))
    return total >= limit or own >= share * limit * SHARE_SLACK


def outlook(
    view: RoutingView, need: Need, queued: Backlog, now: float
) -> Outlook | None:
    """Return what to expect of a backend, None if no engine is usable.

    What waits here stands for what waits at the other gateways too.  The
    requests ahead delay the first token by their prefill, and by their
    answers as far as they exceed the free slots.
    """
    engines = view.candidates(need, now)
    if not engines:
        return None
    best = min(
        view.wait_s(engine, view.uncached(engine, need)) for engine in engines
    )
    scale = view.crowd * len(engines) / len(view.groups[need.backend])
    prefill = sum(engine.cfg.prefill_rate for engine in engines)
    slots = sum(engine.full_speed_slots for engine in engines)
    free = sum(
        max(0.0, engine.full_speed_slots - engine.occupied())
        for engine in engines
    )
    token_rate = max(engine.cfg.token_rate for engine in engines)
    answer_s = need.answer_tokens / token_rate
    excess = max(0.0, queued.requests * scale - free)
    ahead = max(
        queued.prompt_tokens * scale / prefill, excess * answer_s / slots
    )
    return Outlook(best + ahead, answer_s)


def deadline_refusal(
    profile: Profile,
    seen: Outlook | None,
    *,
    error_s: float,
    allowance: float,
) -> Code | None:
    """Return the code for a deadline that cannot be met, else None.

    A model's answer must begin within the profile's first-token target
    and be whole within its deadline; ``error_s`` is by how much
    predictions were exceeded lately.  An account that used more than its
    share is refused first: its ``allowance`` shortens the target.
    """
    if seen is None:
        return Code.NO_BACKEND
    if profile.target is Target.SERVICE:
        late = seen.wait_s > profile.deadline_s
        return Code.DEADLINE_UNREACHABLE if late else None
    wait_s = seen.wait_s + error_s
    if wait_s > profile.first_token_s or seen.total_s > profile.deadline_s:
        return Code.DEADLINE_UNREACHABLE
    if wait_s > profile.first_token_s * allowance:
        return Code.ACCOUNT_OVER_SHARE
    return None
