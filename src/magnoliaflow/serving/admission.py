"""Admission control: refuses requests that cannot be served in time."""

from dataclasses import dataclass
from math import inf

from magnoliaflow.cluster.profiles import Profile
from magnoliaflow.cluster.profiles import Target
from magnoliaflow.common.codes import Code
from magnoliaflow.common.lifecycle import Phase
from magnoliaflow.core.state import GatewayState
from magnoliaflow.core.state import PROFILE_STREAM
from magnoliaflow.policy.fairness import Backlog
from magnoliaflow.policy.routing import RoutingRequest
from magnoliaflow.policy.routing import RoutingState
from magnoliaflow.work.requests import Role

MAX_SHARE_FACTOR = 2.0
BUSY_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class LatencyEstimate:
    """Expected wait and service time of a new request, in seconds."""

    wait_s: float
    service_s: float

    @property
    def total_s(self) -> float:
        """Return the expected time to the complete answer."""
        return self.wait_s + self.service_s


def profiles_fresh(state: GatewayState) -> bool:
    """Return whether the profiles are recent enough to admit requests.

    They are not if this process has lagged behind its peers, or has heard
    neither from a peer nor from the log, for ``profile_bound_s``.
    """
    if not state.profiles.complete:
        return False
    max_age_s = state.cfg.timings.profile_bound_s
    cursor = state.cursors[PROFILE_STREAM]
    if state.now - cursor.behind_since > max_age_s:
        return False
    last_heartbeat_at = max(
        (peer.last_heartbeat_at for peer in state.peers), default=-inf
    )
    return state.now - max(last_heartbeat_at, cursor.last_read_at) < max_age_s


def refusal_code(
    state: GatewayState, profile_name: str, account: str, body_size: int
) -> Code | None:
    """Return the code that refuses a new request, or None to admit it."""
    if state.phase is not Phase.SERVING:
        return Code.DRAINING
    if not profiles_fresh(state):
        return Code.PROFILES_STALE
    profile = state.profiles.in_force.get(profile_name)
    if profile is None:
        return Code.UNKNOWN_PROFILE
    if body_size > state.cfg.limits.body_bytes:
        return Code.BODY_TOO_LARGE
    if over_share(state, account):
        return Code.ACCOUNT_OVER_SHARE
    return None


def over_share(state: GatewayState, account: str) -> bool:
    """Return whether an account exceeds its share of open requests.

    Below ``BUSY_FRACTION`` of the limit an account may use what others leave
    idle; at the limit every account is refused.
    """
    max_open = state.cfg.limits.open_requests
    total = state.requests.count("role", (Role.OWNER, False))
    if total < max_open * BUSY_FRACTION:
        return False
    weights = {
        client.name: client.weight for client in state.cfg.client_accounts
    }
    share = weights.get(account, 1.0) / sum(weights.values())
    account_open = state.requests.count("account", (account, Role.OWNER.value))
    return (
        total >= max_open
        or account_open >= share * max_open * MAX_SHARE_FACTOR
    )


def estimate_latency(
    routing: RoutingState, request: RoutingRequest, queued: Backlog, now: float
) -> LatencyEstimate | None:
    """Return the expected latency, or None if no engine is usable.

    The local queue is scaled to represent the queues of all gateways.  Queued
    requests delay the first token by their prefill time or, where they exceed
    the free slots, by the time of their answers, whichever is longer.
    """
    engines = routing.candidates(request, now)
    if not engines:
        return None
    engine_wait_s = min(
        routing.wait_s(engine, routing.uncached(engine, request))
        for engine in engines
    )
    gateway_scale = (
        routing.load_factor
        * len(engines)
        / len(routing.groups[request.backend])
    )
    prefill_rate = sum(engine.cfg.prefill_rate for engine in engines)
    slots = sum(engine.full_speed_slots for engine in engines)
    free_slots = sum(
        max(0.0, engine.full_speed_slots - engine.occupied())
        for engine in engines
    )
    token_rate = max(engine.cfg.token_rate for engine in engines)
    answer_s = request.answer_tokens / token_rate
    excess_requests = max(0.0, queued.requests * gateway_scale - free_slots)
    queue_wait_s = max(
        queued.prompt_tokens * gateway_scale / prefill_rate,
        excess_requests * answer_s / slots,
    )
    return LatencyEstimate(engine_wait_s + queue_wait_s, answer_s)


def deadline_refusal_code(
    profile: Profile,
    estimate: LatencyEstimate | None,
    *,
    error_s: float,
    allowance: float,
) -> Code | None:
    """Return the code for a deadline that cannot be met, or None.

    The answer of a model must start within the first-token target of the
    profile and be complete within its deadline.  ``error_s`` is how much later
    than predicted first tokens came recently.  ``allowance`` shortens the
    target for accounts over their share, so that they are refused first.  A
    service call is refused only if the wait alone exceeds the deadline.
    """
    if estimate is None:
        return Code.NO_BACKEND
    if profile.target is Target.SERVICE:
        late = estimate.wait_s > profile.deadline_s
        return Code.DEADLINE_UNREACHABLE if late else None
    wait_s = estimate.wait_s + error_s
    if wait_s > profile.first_token_s or estimate.total_s > profile.deadline_s:
        return Code.DEADLINE_UNREACHABLE
    if wait_s > profile.first_token_s * allowance:
        return Code.ACCOUNT_OVER_SHARE
    return None
