"""Backend servers as one gateway sees them."""

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from math import exp
from math import inf

from magnoliaflow.common.ports import LoadReport
from magnoliaflow.common.settings import BackendServer

REPORT_LAG_S = 0.3
MIN_LIMIT = 1.0
LIMIT_DECREASE_FACTOR = 0.9
LIMIT_INCREASE = 0.5
GAP_SMOOTHING = 0.2
# Shares of the forecast that one first token may teach, and its weight.
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 8.0
SLOWNESS_SMOOTHING = 0.1
# What peers told of unread prompts fades with this time constant: a queue is
# mostly read within a part of an objective, while beats among many hosts come
# less than once a second.
PEER_LOAD_DECAY_S = 0.5


@dataclass(frozen=True, slots=True)
class Send:
    """A request sent to an engine, and the tokens it must compute."""

    sent_at: float
    tokens: int


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """What a peer told of its requests at an engine, and when."""

    running: int
    unread_tokens: float
    reported_at: float


@dataclass(slots=True)
class Engine:
    """A backend server, its last report, and what was sent since.

    ``limit`` is the learnt number of requests at once; ``gap_s`` the
    smoothed time between tokens.  ``unread_tokens`` are prompt tokens of
    own sends whose first token has not come; ``peers`` is what other entry
    hosts told by name, with its sums, the tokens' as of ``peer_at``.
    ``slowness`` is how much longer first tokens took lately than predicted,
    ``failures`` how many calls in a row failed.
    """

    cfg: BackendServer
    limit: float
    running: int = 0
    waiting: int = 0
    queued_tokens: int = 0
    reported_at: float = -inf
    own_running: int = 0
    recent_sends: deque[Send] = field(default_factory=deque)
    recent_tokens: int = 0
    gap_s: float = 0.0
    leaving_at: float = inf
    excluded_until: float = -inf
    limit_adjusted_at: float = -inf
    unread_tokens: int = 0
    peers: dict[str, PeerLoad] = field(default_factory=dict)
    peer_running: int = 0
    peer_tokens: float = 0.0
    peer_tokens_at: float = -inf
    slowness: float = 1.0
    failures: int = 0

    @property
    def name(self) -> str:
        """Return the name of the backend server."""
        return self.cfg.name

    @property
    def full_speed_slots(self) -> float:
        """Return how many requests run at once without slowing down."""
        return min(self.limit, float(self.cfg.slots))

    def usable(self, now: float) -> bool:
        """Return whether new work may go there."""
        return self.leaving_at == inf and now >= self.excluded_until

    def occupied(self) -> float:
        """Return the estimated number of requests at the engine.

        A plain service reports no load: own calls are all that is known.
        """
        if self.cfg.kind == "service":
            return self.own_running
        return max(
            self.own_running,
            self.running + self.waiting + len(self.recent_sends),
        )

    def update_report(self, report: LoadReport, now: float) -> None:
        """Replace the last report.

        A report lags: own sends of the time it does not show yet go on
        counting beside it.
        """
        self.running = report.running
        self.waiting = report.waiting
        self.queued_tokens = report.queued_tokens
        self.reported_at = now
        while (
            self.recent_sends
            and self.recent_sends[0].sent_at < now - REPORT_LAG_S
        ):
            self.recent_tokens -= self.recent_sends.popleft().tokens

    def record_sent(self, uncached_tokens: int, now: float) -> None:
        """Count an own send that no report shows yet."""
        self.own_running += 1
        self.recent_sends.append(Send(now, uncached_tokens))
        self.recent_tokens += uncached_tokens

    def record_ended(self) -> None:
        """Count the end of an own attempt."""
        self.own_running = max(0, self.own_running - 1)

    def record_prompt_sent(self, tokens: int) -> None:
        """Count the prompt of an own send as not read yet."""
        self.own_running += 1
        self.unread_tokens += tokens

    def record_prompt_read(self, tokens: int) -> None:
        """Count the prompt of an own send as read."""
        self.unread_tokens = max(0, self.unread_tokens - tokens)

    def update_peer_load(
        self, host: str, running: int, unread_tokens: int, now: float
    ) -> None:
        """Replace what a peer told of its requests here."""
        previous = self.peers.pop(host, None)
        self.peer_tokens = self.peer_unread_tokens(now) + unread_tokens
        self.peer_tokens_at = now
        self.peer_running += running
        if previous is not None:
            self.peer_running -= previous.running
            self.peer_tokens -= previous.unread_tokens * _decay(
                now - previous.reported_at
            )
        if running:
            self.peers[host] = PeerLoad(running, unread_tokens, now)

    def peer_unread_tokens(self, now: float) -> float:
        """Return the peers' prompt tokens that are hardly read by now."""
        return max(0.0, self.peer_tokens * _decay(now - self.peer_tokens_at))

    def record_slowness(self, factor: float) -> None:
        """Learn from a first token that took ``factor`` x its forecast."""
        bounded = min(MAX_SLOWNESS, max(MIN_SLOWNESS, factor))
        self.slowness += SLOWNESS_SMOOTHING * (bounded - self.slowness)

    def record_token_gap(
        self, gap_s: float, target_s: float, now: float
    ) -> None:
        """Learn the limit from the time between two tokens.

        Additive increase while the target is met at the limit,
        multiplicative decrease, at most once a second, when it is not.
        """
        if self.gap_s == 0.0:
            self.gap_s = gap_s
        self.gap_s += GAP_SMOOTHING * (gap_s - self.gap_s)
        if now - self.limit_adjusted_at < 1.0:
            return
        self.limit_adjusted_at = now
        if self.gap_s > target_s:
            self.limit = max(MIN_LIMIT, self.limit * LIMIT_DECREASE_FACTOR)
            return
        if self.occupied() >= self.limit - 1:
            self.limit = min(self.limit + LIMIT_INCREASE, 4.0 * self.cfg.slots)


def _decay(age_s: float) -> float:
    """Return the part of peers' unread prompts that is left after a time."""
    return exp(-max(0.0, age_s) / PEER_LOAD_DECAY_S)


def new_engine(cfg: BackendServer) -> Engine:
    """Return the row of a backend server that was not heard of yet."""
    return Engine(cfg=cfg, limit=float(cfg.slots))
