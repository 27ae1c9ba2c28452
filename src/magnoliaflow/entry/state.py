"""State of one entry process, which its systems read and update."""

from collections.abc import Sequence
from collections import defaultdict
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from logging import Logger
from math import inf
from random import Random
from typing import Any

from magnoliaflow.cluster.hostsettings import HostSettings
from magnoliaflow.cluster.leasemanager import LeaseManager
from magnoliaflow.cluster.registry import EngineRegistry
from magnoliaflow.cluster.rollouts import RolloutBook
from magnoliaflow.cluster.sums import Sums
from magnoliaflow.cluster.views import ClusterView
from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.clocks import wall_time
from magnoliaflow.common.eventlog import log_event
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.faults import FaultLog
from magnoliaflow.common.lifecycle import LifeCycle
from magnoliaflow.common.lifecycle import new_life_cycle
from magnoliaflow.common.lifecycle import Phase
from magnoliaflow.common.messages import Beat
from magnoliaflow.common.messages import HostFact
from magnoliaflow.common.tables import Table
from magnoliaflow.entry.callerlog import CallerLog
from magnoliaflow.entry.entrymetrics import EntryMetrics
from magnoliaflow.policy.budget import RetryBudget
from magnoliaflow.policy.callermemory import caller_bytes
from magnoliaflow.policy.caps import Bucket
from magnoliaflow.policy.caps import Cap
from magnoliaflow.policy.caps import Demand
from magnoliaflow.policy.clockbounds import corrected_offset
from magnoliaflow.policy.clockbounds import OffsetBounds
from magnoliaflow.policy.crashes import CrashJudge
from magnoliaflow.policy.crashes import Hold
from magnoliaflow.policy.departures import Departures
from magnoliaflow.policy.drains import DrainWindow
from magnoliaflow.policy.drains import LongestDuration
from magnoliaflow.policy.enginelimits import EngineLimits
from magnoliaflow.policy.hedging import Hedging
from magnoliaflow.policy.prefixes import PrefixIndex
from magnoliaflow.policy.routes import RouteTable
from magnoliaflow.policy.routing import CostWeights
from magnoliaflow.policy.routing import RoutingState
from magnoliaflow.policy.streamorigins import StreamOrigins
from magnoliaflow.policy.usage import UsageCounter
from magnoliaflow.transport.memory import BufferBudget

# Heartbeat interval of a small deployment.  It grows with the number of hosts,
# so that the messages a second of each host stay bounded.
MIN_HEARTBEAT_INTERVAL_S = 0.25
HEARTBEAT_INTERVAL_PER_HOST_S = 0.03
# A peer is live while its last heartbeat is younger than this.  The timeout
# grows with the number of hosts, as the heartbeat interval does.
HEARTBEAT_TIMEOUT_S = 1.6
HEARTBEAT_TIMEOUT_PER_HOST_S = 0.03
# Share of the revocation bound for which an unconfirmed configuration may
# serve requests with a key; the rest covers the time to reach the engine.
MAX_CONFIG_AGE_SHARE = 0.8
# Share of the agreed lease duration that is the TTL of the duty lease, and
# the margin that the holder stops before its TTL ends and a successor waits
# after it.  Together they exceed the agreed bound on the time between the
# acts of two successive holders.
LEASE_TTL_SHARE = 0.8
LEASE_MARGIN_S = 0.3
DUTY_LEASE = "duty"
# Heartbeats to each peer whose times of sending are kept.
KEPT_HEARTBEATS = 16
# Corrections of the clock are logged at this interval at most.
CLOCK_LOG_INTERVAL_S = 1.0
# Usual age of the others' load in groups: half of the time of three hops, and
# the time on the way.
VIEW_AGE_S = 0.8
# Age that hosts report for what they have not read yet.
UNKNOWN_AGE_S = 1e6
# Hosts up to which all exchange heartbeats; more form groups.
MESH_HOSTS = 8
# Half-life of the rate that plans of engines follow where rates are learned.
RECENT_HALF_LIFE_S = 1.5
# Capacity of an engine's prefix cache unless the configuration sets it.
DEFAULT_CACHE_TOKENS = 300_000


def heartbeat_interval(peer_count: int) -> float:
    """Return the seconds between heartbeats for a number of peers."""
    return max(
        MIN_HEARTBEAT_INTERVAL_S, HEARTBEAT_INTERVAL_PER_HOST_S * peer_count
    )


def run_name(engine: str, born: int) -> str:
    """Return a name of a run of an engine, the same at all hosts."""
    return f"{engine}/{born}"


def load_age(state: "EntryState") -> float:
    """Return the usual age in seconds of what is known of other hosts."""
    if state.uses_groups():
        return VIEW_AGE_S
    return heartbeat_interval(len(state.peers))


@dataclass(slots=True)
class PeerHost:
    """Another entry host and its last heartbeat.

    ``spent`` is what its process reports to have taken from each account's
    cap.  ``made_after`` is the earliest time at which the heartbeat may have
    been made, -inf if that is not known.
    """

    name: str
    heartbeat: Beat
    last_heartbeat_at: float
    spent: dict[str, float] = field(default_factory=dict)
    made_after: float = -inf


@dataclass(slots=True)
class SentHeartbeats:
    """Number and times of the last heartbeats sent to one peer."""

    number: int = 0
    times: dict[int, float] = field(default_factory=dict)

    def add(self, now: float) -> int:
        """Record a heartbeat as sent and return its number."""
        self.number += 1
        self.times[self.number] = now
        self.times.pop(self.number - KEPT_HEARTBEATS, None)
        return self.number


@dataclass(slots=True)
class LocalLoad:
    """Load of a service on this host.

    ``demand`` is the smoothed rate of prompt tokens to read, ``recent`` that
    of the last seconds, ``running`` the number of open attempts.
    """

    demand: Demand = field(default_factory=Demand)
    running: int = 0
    recent: Demand = field(
        default_factory=lambda: Demand(half_life_s=RECENT_HALF_LIFE_S)
    )

    def record(self, tokens: int, now: float) -> None:
        """Count the uncached prompt tokens of a request."""
        self.demand.record(tokens, now)
        self.recent.record(tokens, now)


class EntryState:
    """State of one entry process."""

    __slots__ = (
        "route_table",
        "config_applied_at",
        "config_document",
        "crash_judge",
        "engine_limits",
        "departures",
        "drain_window",
        "durations",
        "faults",
        "retry_budgets",
        "buffers",
        "caller_log",
        "calls",
        "caps",
        "clock_offset",
        "clock_logged_at",
        "clock_moved_s",
        "clock_samples",
        "config_confirmed_at",
        "config_read_failed",
        "account_demands",
        "local_loads",
        "registry_confirmed_at",
        "remembered_rates",
        "peer_confirmed",
        "peers",
        "probed_engines",
        "identity",
        "known_holds",
        "learning_services",
        "lease_manager",
        "lifecycle",
        "limited_engines",
        "logger",
        "sent_heartbeats",
        "metrics",
        "newest_version",
        "next_gauges_at",
        "next_rate_update_at",
        "next_speed_log_at",
        "next_speed_update_at",
        "rate_limits",
        "peer_addresses",
        "orders_read_at",
        "origin_log",
        "origins",
        "ports_held",
        "registry",
        "rng",
        "rollout_counts_received",
        "rollout_counts_sent",
        "rollouts",
        "hedging",
        "host_settings",
        "spent",
        "started_at",
        "store_down_since",
        "store_era",
        "store_era_since",
        "reported_demands",
        "usage",
        "view",
        "view_sums",
        "routing",
        "waiting_calls",
    )

    def __init__(
        self,
        host_settings: HostSettings,
        *,
        identity: str,
        rng: Random,
        logger: Logger,
        extra_share: float = 0.0,
    ) -> None:
        now = boot_time()
        self.host_settings = host_settings
        self.identity = identity
        self.rng = rng
        self.logger = logger
        self.metrics = EntryMetrics()
        self.faults = FaultLog(self._log_fault)
        self.lifecycle: LifeCycle = new_life_cycle()
        self.started_at = now
        self.clock_offset = wall_time() - now
        self.route_table: RouteTable | None = None
        self.config_applied_at = -inf
        self.config_document = b""
        self.config_confirmed_at = -inf
        self.config_read_failed = False
        # The newest version that any host has in force, and whether a host
        # was heard that has confirmed its own.
        self.newest_version = -1
        self.peer_confirmed = False
        # When this process itself last read the orders to their end.
        self.orders_read_at = -inf
        self.registry = EngineRegistry()
        self.rollouts = RolloutBook()
        # Numbers and times of the last own counts, and the number of the last
        # received from each process.
        self.rollout_counts_sent: deque[tuple[int, float]] = deque(
            maxlen=KEPT_HEARTBEATS
        )
        self.rollout_counts_received: dict[str, tuple[str, int]] = {}
        self.registry_confirmed_at = -inf
        self.store_down_since = inf
        self.store_era = 0
        self.store_era_since = -inf
        self.routing = RoutingState(
            name=identity, weights=CostWeights(0.0, 1.0), rng=rng
        )
        self.routing.prefixes = PrefixIndex(capacity=DEFAULT_CACHE_TOKENS)
        self.peers: Table[str, PeerHost] = Table()
        self.sent_heartbeats: dict[str, SentHeartbeats] = defaultdict(
            SentHeartbeats
        )
        self.peer_addresses: dict[str, float] = dict.fromkeys(
            host_settings.seeds, now
        )
        self.view = ClusterView(
            host_settings.host, identity, host_settings.zone
        )
        self.view_sums = Sums()
        self.caller_log = CallerLog(self)
        self.clock_logged_at = -inf
        # Corrections since the last one that was logged, in seconds.
        self.clock_moved_s = 0.0
        self.clock_samples: dict[str, tuple[OffsetBounds, float]] = {}
        self.buffers = BufferBudget(
            caller_bytes(
                host_settings.memory_mb, host_settings.caller_memory_share
            ),
            on_evicted=self.caller_log.record_eviction,
        )
        self.ports_held: set[str] = set()
        self.drain_window: DrainWindow | None = None
        self.durations: dict[str, LongestDuration] = defaultdict(
            LongestDuration
        )
        self.probed_engines: set[str] = set()
        self.crash_judge = CrashJudge()
        self.departures = Departures()
        self.engine_limits = EngineLimits()
        self.origins = StreamOrigins()
        # Set by the process, which has the store.
        self.origin_log: Any = None
        self.limited_engines: set[str] = set()
        self.known_holds: list[Hold] = []
        self.calls: Table[int, Any] = Table()
        self.waiting_calls: dict[int, Any] = {}
        self.local_loads: dict[str, LocalLoad] = defaultdict(LocalLoad)
        self.account_demands: dict[str, Demand] = defaultdict(Demand)
        self.reported_demands: dict[str, float] = {}
        self.caps: dict[str, Cap] = {}
        self.spent: dict[str, float] = defaultdict(float)
        self.next_gauges_at = -inf
        self.next_rate_update_at = -inf
        self.next_speed_log_at = -inf
        self.next_speed_update_at = -inf
        self.learning_services: set[str] = set()
        self.rate_limits: dict[str, Bucket] = {}
        # What plans count on for each engine of learning services.
        self.remembered_rates: dict[str, float] = {}
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.hedging = Hedging(extra_share)
        self.usage = UsageCounter(window_s=host_settings.usage_window_s)
        self.lease_manager = LeaseManager(
            name=DUTY_LEASE,
            holder=identity,
            ttl_s=host_settings.lease_s * LEASE_TTL_SHARE,
            margin_s=LEASE_MARGIN_S,
            conditional=True,
        )

    @property
    def phase(self) -> Phase:
        """Return the life cycle phase of the process."""
        return self.lifecycle.phase()

    def true_time(self, now: float) -> float:
        """Return the estimated true time at a boot time."""
        return now + self.clock_offset

    def correct_clock(self, bounds: Sequence[OffsetBounds]) -> None:
        """Move the estimate of true time as other clocks show."""
        offset = corrected_offset(self.clock_offset, bounds)
        if offset == self.clock_offset:
            return
        self.clock_moved_s += offset - self.clock_offset
        self.clock_offset = offset
        now = boot_time()
        if now >= self.clock_logged_at + CLOCK_LOG_INTERVAL_S:
            self.log(LogEvent.CLOCK_CORRECTED, by_s=self.clock_moved_s)
            self.clock_logged_at = now
            self.clock_moved_s = 0.0

    def config_age(self, now: float) -> float:
        """Return the seconds since the configuration was confirmed."""
        return now - self.config_confirmed_at

    @property
    def config_bound_s(self) -> float:
        """Return the age at which a configuration may have been replaced."""
        host_settings = self.host_settings
        return min(host_settings.config_s, host_settings.revocation_s)

    def is_config_current(self, now: float) -> bool:
        """Return whether to answer by the configuration in force.

        One that is too old still serves while the store cannot be read.
        """
        return self.knows_routes(now) or self.config_read_failed

    def knows_routes(self, now: float) -> bool:
        """Return whether what the configuration lacks does not exist."""
        return self.config_age(now) < self.config_bound_s

    def observe_version(self, version: int, age_s: float) -> None:
        """Note the version that another host has, confirmed ``age_s`` ago."""
        self.newest_version = max(self.newest_version, version)
        self.peer_confirmed |= version >= 0 and age_s < UNKNOWN_AGE_S

    def is_config_fresh(self, now: float) -> bool:
        """Return whether requests with a key may be served."""
        max_age_s = self.host_settings.revocation_s * MAX_CONFIG_AGE_SHARE
        return self.config_age(now) < max_age_s

    def is_ready(self, now: float) -> bool:
        """Return whether callers should be sent to this host."""
        return (
            self.phase is Phase.SERVING
            and self.route_table is not None
            and not self.ports_held
            and now - self.registry_confirmed_at < UNKNOWN_AGE_S
            and self.is_config_fresh(now)
        )

    def live_peers(self, now: float) -> list[PeerHost]:
        """Return the peers that are live and not leaving."""
        timeout_s = HEARTBEAT_TIMEOUT_S + HEARTBEAT_TIMEOUT_PER_HOST_S * len(
            self.peers
        )
        return [
            peer
            for peer in self.peers
            if now - peer.last_heartbeat_at < timeout_s
            and not peer.heartbeat.leaving
        ]

    def uses_groups(self) -> bool:
        """Return whether hosts exchange reports and views in groups."""
        return self.host_count() > MESH_HOSTS

    def host_count(self) -> int:
        """Return the number of known hosts, including this one."""
        return 1 + len(self.peers.rows.keys() | self.view.hosts.keys())

    def own_fact(self, now: float) -> HostFact:
        """Return what other hosts need to know of this one."""
        host_settings = self.host_settings
        return HostFact(
            host_settings.host,
            self.identity,
            host_settings.zone,
            host_settings.caller_address,
            host_settings.peer_address,
            self.is_ready(now),
            self.phase >= Phase.DRAINING,
        )

    def own_sums(self, now: float) -> Sums:
        """Return this host's load."""
        return Sums(
            engines={
                engine.name: [engine.local_running, engine.unread_tokens]
                for engine in self.routing.engines.values()
                if engine.local_running
            },
            speeds=self.own_speeds(now),
            rates=dict(self.reported_demands),
            services={
                name: [load.demand.current(now), load.running]
                for name, load in self.local_loads.items()
            },
            recent_rates={
                name: load.recent.current(now)
                for name, load in self.local_loads.items()
                if name in self.learning_services
            },
        )

    def own_speeds(self, now: float) -> dict[str, list[int]]:
        """Return this host's evidence of engines' rates, scaled."""
        if not self.learning_services:
            return {}
        return {
            engine.name: list(evidence)
            for engine in self.routing.engines.values()
            if engine.speed.weight
            and engine.cfg.backend in self.learning_services
            and (evidence := engine.speed.scaled(now))[0]
        }

    def _counted_peers(self, now: float) -> list[PeerHost]:
        """Return the live peers that no digest includes."""
        grouped = self.uses_groups()
        return [
            peer
            for peer in self.live_peers(now)
            if not (grouped and peer.heartbeat.groups)
        ]

    def live_hosts(self, now: float) -> list[HostFact]:
        """Return the other hosts that are live and not leaving."""
        facts = {
            peer.name: HostFact(
                peer.name,
                peer.heartbeat.identity,
                peer.heartbeat.zone,
                peer.heartbeat.caller_address,
                peer.heartbeat.peer_address,
                peer.heartbeat.ready,
                peer.heartbeat.leaving,
            )
            for peer in self._counted_peers(now)
        }
        if self.uses_groups():
            facts.update(
                (fact.host, fact) for fact in self.view.live_hosts(now)
            )
        return list(facts.values())

    def leaving_hosts(self) -> int:
        """Return the number of other hosts that are known to leave."""
        leaving = {peer.name for peer in self.peers if peer.heartbeat.leaving}
        leaving |= {
            host
            for host, known in self.view.hosts.items()
            if known.fact.leaving
        }
        return len(leaving)

    def others_demand(self, now: float) -> Sums:
        """Return the demand at the other hosts, by account and service."""
        sums = Sums()
        if self.uses_groups():
            sums = Sums(
                rates=dict(self.view_sums.rates),
                services={
                    name: list(load)
                    for name, load in self.view_sums.services.items()
                },
                recent_rates=dict(self.view_sums.recent_rates),
            )
        for peer in self._counted_peers(now):
            for demand in peer.heartbeat.demands:
                sums.rates[demand.account] = (
                    sums.rates.get(demand.account, 0.0) + demand.rate
                )
            for load in peer.heartbeat.services:
                service = sums.services.setdefault(load.backend, [0.0, 0.0])
                service[0] += load.tokens_rate
                service[1] += load.running
                recent = load.recent_rate
                sums.recent_rates[load.backend] = sums.recent_rates.get(
                    load.backend, 0.0
                ) + (load.tokens_rate if recent < 0 else recent)
        return sums

    def others_speeds(self, now: float) -> dict[str, list[int]]:
        """Return the other hosts' evidence of engines' rates, scaled."""
        speeds = (
            {name: list(sums) for name, sums in self.view_sums.speeds.items()}
            if self.uses_groups()
            else {}
        )
        for peer in self._counted_peers(now):
            for load in peer.heartbeat.engines:
                if load.speed_weight:
                    sums = speeds.setdefault(load.engine, [0, 0])
                    sums[0] += load.speed_weight
                    sums[1] += load.speed_total
        return speeds

    def engine_run(self, name: str) -> str:
        """Return a name of an engine's current run, the same at all hosts."""
        entry = self.registry.entries.get(name)
        return run_name(name, 0 if entry is None else entry.born)

    def engine_version(self, name: str) -> str:
        """Return the software version of an engine, '' if it is not known."""
        entry = self.registry.entries.get(name)
        return "" if entry is None else entry.version

    def record_fault(self, place: str, exc: BaseException) -> None:
        """Count and log an error after which the process goes on."""
        self.metrics.faults.labels(place).inc()
        self.faults.record(place, exc)

    def _log_fault(self, place: str, reason: str, count: int) -> None:
        self.log(
            LogEvent.SYSTEM_FAILED, place=place, reason=reason, count=count
        )

    def log(self, event: LogEvent, **details: Any) -> None:
        """Write a numbered log event."""
        log_event(self.logger, event, **details)
