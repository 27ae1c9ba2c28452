"""State of one entry process, which its systems read and update."""

from collections.abc import Callable
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from logging import Logger
from math import inf
from random import Random
from typing import Any

from magnoliaflow.cluster.hostsettings import HostSettings
from magnoliaflow.cluster.leasemanager import LeaseManager
from magnoliaflow.cluster.registry import EngineRegistry
from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.clocks import wall_time
from magnoliaflow.common.eventlog import log_event
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.lifecycle import LifeCycle
from magnoliaflow.common.lifecycle import new_life_cycle
from magnoliaflow.common.lifecycle import Phase
from magnoliaflow.common.messages import Beat
from magnoliaflow.common.tables import Table
from magnoliaflow.entry.entrymetrics import EntryMetrics
from magnoliaflow.policy.budget import RetryBudget
from magnoliaflow.policy.caps import Bucket
from magnoliaflow.policy.caps import Cap
from magnoliaflow.policy.caps import Demand
from magnoliaflow.policy.prefixes import PrefixIndex
from magnoliaflow.policy.routes import RouteTable
from magnoliaflow.policy.routing import CostWeights
from magnoliaflow.policy.routing import RoutingState
from magnoliaflow.policy.usage import UsageCounter

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
# Capacity of an engine's prefix cache unless the configuration sets it.
DEFAULT_CACHE_TOKENS = 300_000


def heartbeat_interval(peer_count: int) -> float:
    """Return the seconds between heartbeats for a number of peers."""
    return max(
        MIN_HEARTBEAT_INTERVAL_S, HEARTBEAT_INTERVAL_PER_HOST_S * peer_count
    )


@dataclass(slots=True)
class PeerHost:
    """Another entry host and its last heartbeat.

    ``spent`` is what its process reports to have taken from each account's
    cap.
    """

    name: str
    heartbeat: Beat
    last_heartbeat_at: float
    spent: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class LocalLoad:
    """Load of a service on this host.

    ``demand`` is the smoothed rate of prompt tokens to read, ``running`` the
    number of open attempts.
    """

    demand: Demand = field(default_factory=Demand)
    running: int = 0


class EntryState:
    """State of one entry process."""

    __slots__ = (
        "route_table",
        "config_applied_at",
        "config_document",
        "retry_budgets",
        "calls",
        "caps",
        "clock_offset",
        "config_confirmed_at",
        "account_demands",
        "local_loads",
        "registry_confirmed_at",
        "engine_callbacks",
        "peers",
        "identity",
        "lease_manager",
        "lifecycle",
        "logger",
        "metrics",
        "rate_limits",
        "peer_addresses",
        "registry",
        "rng",
        "host_settings",
        "spent",
        "started_at",
        "store_down_since",
        "reported_demands",
        "usage",
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
    ) -> None:
        now = boot_time()
        self.host_settings = host_settings
        self.identity = identity
        self.rng = rng
        self.logger = logger
        self.metrics = EntryMetrics()
        self.lifecycle: LifeCycle = new_life_cycle()
        self.started_at = now
        self.clock_offset = wall_time() - now
        self.route_table: RouteTable | None = None
        self.config_applied_at = -inf
        self.config_document = b""
        self.config_confirmed_at = -inf
        self.registry = EngineRegistry()
        self.registry_confirmed_at = -inf
        self.engine_callbacks: list[Callable[[], None]] = []
        self.store_down_since = inf
        self.routing = RoutingState(
            name=identity, weights=CostWeights(0.0, 1.0), rng=rng
        )
        self.routing.prefixes = PrefixIndex(capacity=DEFAULT_CACHE_TOKENS)
        self.peers: Table[str, PeerHost] = Table()
        self.peer_addresses: dict[str, float] = dict.fromkeys(
            host_settings.seeds, now
        )
        self.calls: Table[int, Any] = Table()
        self.waiting_calls: dict[int, Any] = {}
        self.local_loads: dict[str, LocalLoad] = defaultdict(LocalLoad)
        self.account_demands: dict[str, Demand] = defaultdict(Demand)
        self.reported_demands: dict[str, float] = {}
        self.caps: dict[str, Cap] = {}
        self.spent: dict[str, float] = defaultdict(float)
        self.rate_limits: dict[str, Bucket] = {}
        self.retry_budgets: dict[str, RetryBudget] = {}
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

    def config_age(self, now: float) -> float:
        """Return the seconds since the configuration was confirmed."""
        return now - self.config_confirmed_at

    def is_config_fresh(self, now: float) -> bool:
        """Return whether requests with a key may be served."""
        max_age_s = self.host_settings.revocation_s * MAX_CONFIG_AGE_SHARE
        return self.config_age(now) < max_age_s

    def is_ready(self, now: float) -> bool:
        """Return whether callers should be sent to this host."""
        return (
            self.phase is Phase.SERVING
            and self.route_table is not None
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

    def log(self, event: LogEvent, **details: Any) -> None:
        """Write a numbered log event."""
        log_event(self.logger, event, **details)
