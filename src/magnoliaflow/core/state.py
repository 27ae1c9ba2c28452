"""State of one gateway: its tables and its pending commands."""

from collections.abc import Hashable
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush
from math import inf
from random import Random
from typing import Any

from magnoliaflow.cluster.positions import make_position
from magnoliaflow.cluster.profiles import ProfileTable
from magnoliaflow.common.codes import Code
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.lifecycle import LifeCycle
from magnoliaflow.common.lifecycle import new_life_cycle
from magnoliaflow.common.lifecycle import Phase
from magnoliaflow.common.messages import Message
from magnoliaflow.common.metrics import Metrics
from magnoliaflow.common.records import Record
from magnoliaflow.common.settings import EntryHost
from magnoliaflow.common.settings import Settings
from magnoliaflow.common.tables import Table
from magnoliaflow.core.commands import Command
from magnoliaflow.core.commands import NotifyWaiters
from magnoliaflow.core.commands import SendPeer
from magnoliaflow.core.commands import WriteLog
from magnoliaflow.policy.budget import RetryBudget
from magnoliaflow.policy.engines import new_engine
from magnoliaflow.policy.fairness import AccountShares
from magnoliaflow.policy.fairness import DueQueue
from magnoliaflow.policy.forecast import Forecast
from magnoliaflow.policy.routing import CostWeights
from magnoliaflow.policy.routing import find_policy
from magnoliaflow.policy.routing import RoutingState
from magnoliaflow.work.claims import ClaimTable
from magnoliaflow.work.requests import Attempt
from magnoliaflow.work.requests import Request
from magnoliaflow.work.requests import Role

PROFILE_STREAM = "profiles"
CLAIM_STREAM = "claims-0"
STREAMS = (PROFILE_STREAM, CLAIM_STREAM)
MAX_TRAILS = 4096
MAX_TRAIL_ENTRIES = 40


@dataclass(slots=True)
class Peer:
    """Another gateway process, as last reported in its heartbeats."""

    identity: str
    host: str
    zone: str
    caller_address: str
    peer_address: str
    last_heartbeat_at: float
    phase: Phase = Phase.SERVING
    probing: bool = False
    in_flight: int = 0
    applied: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class PendingAppend:
    """An appended record that has not been read back yet."""

    stream: str
    record: Record
    append_running: bool = False
    retry_at: float = 0.0


@dataclass(slots=True)
class StreamRestore:
    """A stream that went back and is being read and completed again.

    ``table`` is derived from the new log alone.  Earlier records had been read
    up to ``known_offset``.  ``begun`` and ``completed`` tell which missing
    records were written: those of this process, and all; ``record_ids`` are
    their ids.
    """

    table: Any
    known_offset: int
    settles_at: float
    caught_up: bool = False
    begun: bool = False
    completed: bool = False
    record_ids: set[str] = field(default_factory=set)


@dataclass(slots=True)
class StreamCursor:
    """Read position in a stream, and when it was last read.

    ``next_offset`` is an offset in ``era`` of the log.  ``restore`` is None
    unless the log has gone back lately.
    """

    stream: str
    era: int = 0
    next_offset: int = 0
    last_read_at: float = -inf
    behind_since: float = inf
    gossip_requested_at: float = -inf
    restore: StreamRestore | None = None

    @property
    def position(self) -> int:
        """Return the position of the next record."""
        return make_position(self.era, self.next_offset)


@dataclass(slots=True)
class ClaimJob:
    """A submission that this process appended.

    ``code`` is 0 until the submission ends without an outcome record.
    """

    key: str
    submission: str
    account: str
    profile: str
    body: bytes
    started_at: float
    refuse_id: str = ""
    code: int = 0


@dataclass(frozen=True, slots=True, order=True)
class Timer:
    """A timer for a subject; ``number`` orders timers of the same time."""

    at: float
    number: int
    kind: str = field(compare=False)
    subject: Hashable = field(compare=False)


@dataclass(frozen=True, slots=True)
class TrailEntry:
    """One step in the history of a request."""

    at: float
    what: str
    details: dict[str, Any]


class GatewayState:
    """State of one gateway process, which systems read and update."""

    __slots__ = (
        "attempts",
        "budget",
        "cfg",
        "cursors",
        "drain_deadline",
        "next_dispatch_at",
        "exited",
        "forecasts",
        "claim_jobs",
        "claim_servers",
        "claims",
        "next_heartbeat_at",
        "host",
        "identity",
        "last_tick_at",
        "lifecycle",
        "last_mark_at",
        "log_up",
        "metrics",
        "leaving_hosts",
        "now",
        "commands",
        "next_peer_check_at",
        "peers",
        "peer_check_due",
        "pending_appends",
        "policy",
        "profiles",
        "queues",
        "reclaimed",
        "refusals",
        "requests",
        "rng",
        "sent_submissions",
        "serial",
        "shares",
        "last_snapshot_at",
        "started_at",
        "status_replies_due",
        "timers",
        "trails",
        "routing",
        "wall",
    )

    def __init__(
        self,
        *,
        cfg: Settings,
        host: EntryHost,
        identity: str,
        rng: Random,
        now: float,
        wall: float,
    ) -> None:
        self.cfg = cfg
        self.host = host
        self.identity = identity
        self.rng = rng
        self.now = now
        self.wall = wall
        self.started_at = now
        self.last_tick_at = now
        self.commands: list[Command] = []
        self.lifecycle: LifeCycle = new_life_cycle()
        self.metrics = Metrics()
        self.requests: Table[str, Request] = Table()
        self.requests.add_index("owner", lambda req: req.owner)
        self.requests.add_index("standby", lambda req: req.standby or None)
        self.requests.add_index(
            "without_standby",
            lambda req: req.role is Role.OWNER and not req.standby or None,
        )
        self.requests.add_index("role", lambda req: (req.role, req.settled))
        self.requests.add_index(
            "account",
            lambda req: (
                None if req.settled else (req.account, req.role.value)
            ),
        )
        self.attempts: Table[str, Attempt] = Table()
        self.attempts.add_index("engine", lambda attempt: attempt.engine)
        self.peers: Table[str, Peer] = Table()
        self.peers.add_index("host", lambda peer: peer.host)
        self.pending_appends: Table[str, PendingAppend] = Table()
        self.claim_jobs: Table[str, ClaimJob] = Table()
        self.claims = ClaimTable(window_s=cfg.timings.key_window_s)
        self.claim_servers: dict[str, str] = {}
        self.last_mark_at = wall
        self.last_snapshot_at = wall
        self.status_replies_due: dict[str, int] = {}
        self.sent_submissions: set[str] = set()
        self.profiles = ProfileTable()
        self.cursors = {stream: StreamCursor(stream) for stream in STREAMS}
        self.log_up = False
        self.next_dispatch_at = -inf
        self.shares = AccountShares(
            {account.name: account.weight for account in cfg.client_accounts}
        )
        self.forecasts: dict[str, Forecast] = {}
        self.queues: dict[str, DueQueue] = {}
        self.timers: list[Timer] = []
        self.serial = 0
        self.leaving_hosts: dict[str, float] = {}
        self.trails: OrderedDict[str, list[TrailEntry]] = OrderedDict()
        self.budget = RetryBudget(
            ratio=cfg.limits.retry_ratio, burst=cfg.limits.retry_burst
        )
        self.policy = find_policy(cfg.limits.policy)
        self.routing = RoutingState(
            name=identity,
            weights=CostWeights(
                cfg.limits.recompute_weight, cfg.limits.latency_weight
            ),
            rng=rng,
        )
        for server in cfg.backend_servers:
            self.routing.add(new_engine(server))
        self.next_heartbeat_at = -inf
        self.next_peer_check_at = -inf
        self.peer_check_due = False
        self.drain_deadline = inf
        self.reclaimed = False
        self.exited = False
        self.refusals: dict[str, Code] = {}

    @property
    def phase(self) -> Phase:
        """Return the phase of the process."""
        return self.lifecycle.phase()

    def next_id(self, kind: str) -> str:
        """Return an identifier that is unique across process runs."""
        self.serial += 1
        return f"{kind}-{self.identity}-{self.serial}"

    def emit(self, command: Command) -> None:
        """Queue a command for the shell."""
        self.commands.append(command)

    def send(self, identity: str, message: Message) -> None:
        """Queue a message to a peer; drop it if the peer is unknown."""
        if identity in self.peers:
            self.commands.append(SendPeer(identity, message))

    def notify_waiters(self, request_id: str) -> None:
        """Wake the callers that wait for a request."""
        self.commands.append(NotifyWaiters(request_id))

    def log(self, event: LogEvent, **details: Any) -> None:
        """Queue a numbered log event."""
        self.commands.append(WriteLog(event, details))

    def trail(self, request_id: str, what: str, **details: Any) -> None:
        """Record a step of a request for the ``explain`` command."""
        steps = self.trails.setdefault(request_id, [])
        if len(steps) < MAX_TRAIL_ENTRIES:
            steps.append(TrailEntry(self.wall, what, details))
        while len(self.trails) > MAX_TRAILS:
            self.trails.popitem(last=False)

    def set_timer(self, delay_s: float, kind: str, subject: Hashable) -> None:
        """Schedule the timer handler of a kind after a delay."""
        self.serial += 1
        heappush(
            self.timers, Timer(self.now + delay_s, self.serial, kind, subject)
        )

    def due_timers(self) -> list[Timer]:
        """Remove and return the due timers in order of time."""
        due = []
        while self.timers and self.timers[0].at <= self.now:
            due.append(heappop(self.timers))
        return due

    def queue(self, backend: str) -> DueQueue:
        """Return the queue of requests waiting for a backend."""
        return self.queues.setdefault(backend, DueQueue())

    def forecast(self, backend: str) -> Forecast:
        """Return the prediction error model of a backend."""
        return self.forecasts.setdefault(backend, Forecast())
