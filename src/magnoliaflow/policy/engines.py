"""Load and health of backend servers as known to one gateway."""

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from math import exp
from math import inf

from magnoliaflow.common.ports import LoadReport
from magnoliaflow.common.settings import BackendServer
from magnoliaflow.policy.enginespeeds import Evidence

REPORT_LAG_S = 0.3
MIN_LIMIT = 1.0
LIMIT_DECREASE_FACTOR = 0.9
LIMIT_INCREASE = 0.5
GAP_SMOOTHING = 0.2
# Bounds of one observed slowness, and its weight in the moving average.
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 8.0
SLOWNESS_SMOOTHING = 0.1
# Time constant with which the unread prompt tokens reported by peers decay: a
# queue is mostly read within a fraction of the latency target, while with many
# hosts heartbeats come less than once a second.
PEER_LOAD_DECAY_S = 0.5


@dataclass(frozen=True, slots=True)
class Send:
    """A request sent to an engine, with its uncached prompt tokens."""

    sent_at: float
    tokens: int


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """A peer's reported load at an engine."""

    running: int
    unread_tokens: float
    reported_at: float


@dataclass(slots=True)
class Engine:
    """A backend server, its last load report and the local sends since.

    ``limit`` is the learned concurrency limit, ``gap_s`` the smoothed time
    between tokens.  ``unread_tokens`` counts prompt tokens of local sends
    that still wait for their first token.  ``peers`` holds the loads
    reported by other entry hosts; ``peer_running`` and ``peer_tokens`` are
    their sums, the latter as of ``peer_tokens_at``.  ``slowness`` is the
    smoothed ratio of actual to predicted time to first token, ``failures``
    the number of consecutive failed calls.  ``send_interval_s`` is the time
    between local sends that a limit of the engine allows, 0 without a limit;
    the next send may be at ``next_send_at``.  ``learned_rate`` is the
    learned prefill rate, 0 while none is; ``speed`` is what local answers
    show of it, ``known_weight`` the weight of all hosts' samples.  ``run``
    names the run of the engine that these values are of.
    """

    cfg: BackendServer
    limit: float
    running: int = 0
    waiting: int = 0
    queued_tokens: int = 0
    reported_at: float = -inf
    local_running: int = 0
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
    send_interval_s: float = 0.0
    next_send_at: float = -inf
    learned_rate: float = 0.0
    speed: Evidence = field(default_factory=Evidence)
    known_weight: float = 0.0
    run: str = ""

    @property
    def prefill_rate(self) -> float:
        """Return the prompt tokens a second that the engine reads."""
        return self.learned_rate or self.cfg.prefill_rate

    @property
    def name(self) -> str:
        """Return the name of the backend server."""
        return self.cfg.name

    @property
    def full_speed_slots(self) -> float:
        """Return how many requests can run at once at full speed."""
        return min(self.limit, float(self.cfg.slots))

    def usable(self, now: float) -> bool:
        """Return whether the engine accepts new requests."""
        return (
            self.leaving_at == inf
            and now >= self.excluded_until
            and now >= self.next_send_at
        )

    def limit_sends(self, interval_s: float, now: float) -> None:
        """Set the time between local sends, 0 for no limit."""
        if interval_s == self.send_interval_s:
            return
        if interval_s == 0.0:
            self.next_send_at = -inf
        elif self.send_interval_s in (0.0, inf):
            self.next_send_at = now + interval_s
        self.send_interval_s = interval_s

    def record_limited_send(self, now: float) -> None:
        """Count a send towards the engine's limit."""
        if self.send_interval_s:
            self.next_send_at = now + self.send_interval_s

    def occupied(self) -> float:
        """Return the estimated number of requests at the engine.

        A plain service reports no load, so only local calls count.
        """
        if self.cfg.kind == "service":
            return self.local_running
        return max(
            self.local_running,
            self.running + self.waiting + len(self.recent_sends),
        )

    def update_report(self, report: LoadReport, now: float) -> None:
        """Replace the last load report.

        Reports lag by about ``REPORT_LAG_S``, so local sends of that time
        are still counted in addition.
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
        """Count a local send that no report includes yet."""
        self.local_running += 1
        self.recent_sends.append(Send(now, uncached_tokens))
        self.recent_tokens += uncached_tokens

    def record_ended(self) -> None:
        """Count the end of a local attempt."""
        self.local_running = max(0, self.local_running - 1)

    def record_prompt_sent(self, tokens: int) -> None:
        """Count a local send whose prompt is still unread."""
        self.local_running += 1
        self.unread_tokens += tokens

    def record_prompt_read(self, tokens: int) -> None:
        """Count the prompt of a local send as read."""
        self.unread_tokens = max(0, self.unread_tokens - tokens)

    def update_peer_load(
        self, host: str, running: int, unread_tokens: int, now: float
    ) -> None:
        """Replace the load that a peer reported for this engine."""
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
        """Return the estimated unread prompt tokens of peers' requests."""
        return max(0.0, self.peer_tokens * _decay(now - self.peer_tokens_at))

    def tokens_ahead(self, now: float) -> float:
        """Return the estimated prompt tokens that wait to be read."""
        return self.unread_tokens + self.peer_unread_tokens(now)

    def record_slowness(self, factor: float) -> None:
        """Update slowness from a first token's actual-to-predicted ratio."""
        bounded = min(MAX_SLOWNESS, max(MIN_SLOWNESS, factor))
        self.slowness += SLOWNESS_SMOOTHING * (bounded - self.slowness)

    def record_token_gap(
        self, gap_s: float, target_s: float, now: float
    ) -> None:
        """Adjust the concurrency limit to the time between two tokens.

        AIMD, at most once a second: additive increase while the target is
        met near the limit, multiplicative decrease while it is missed.
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
    """Return the share of peers' unread tokens that remains after a time."""
    return exp(-max(0.0, age_s) / PEER_LOAD_DECAY_S)


def new_engine(cfg: BackendServer, run: str = "") -> Engine:
    """Return the initial state of a run of a backend server."""
    return Engine(cfg=cfg, limit=float(cfg.slots), run=run or cfg.name)
