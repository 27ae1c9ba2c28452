"""State of one entry process: its tables, and what it believes."""

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
from magnoliaflow.policy.routes import RouteBook
from magnoliaflow.policy.routing import RoutingView
from magnoliaflow.policy.routing import Weights
from magnoliaflow.policy.usage import UsageBook

# Beats of a small deployment; each further host stretches the period, so
# that a host's messages a second stay bounded.
PERIOD_S = 0.25
PERIOD_EACH_S = 0.03
# A host is taken to serve while its last beat is no older than this, and a
# little more for each host, since beats come less often among many.
HEARD_S = 1.6
HEARD_EACH_S = 0.03
# Share of the revocation bound after which a configuration that was not
# confirmed is too old for requests with a key; the rest covers a request's
# way to the engine.
FRESH_SHARE = 0.8
# Lease on the duties, and the margin between its holder's end and the next
# one's beginning; together more than the agreed bound asks between holders
# that act by turns.
LEASE_SHARE = 0.8
LEASE_MARGIN_S = 0.3
DUTY_LEASE = "duty"
# Memory of an engine's prefix cache where the configuration names none.
CACHE_TOKENS = 300_000


def beat_period(others: int) -> float:
    """Return the seconds between beats among so many other hosts."""
    return max(PERIOD_S, PERIOD_EACH_S * others)


@dataclass(slots=True)
class Host:
    """Another entry host, as its beats show it.

    ``spent`` is what its process says it took of each account's cap.
    """

    name: str
    beat: Beat
    heard_at: float
    spent: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Flow:
    """Prompt tokens that a service must read, as a smoothed rate."""

    demand: Demand = field(default_factory=Demand)
    running: int = 0


class EntryState:
    """All that one entry process knows; systems run over it."""

    __slots__ = (
        "book",
        "book_at",
        "book_data",
        "budgets",
        "calls",
        "caps",
        "clock_offset",
        "confirmed_at",
        "demands",
        "flows",
        "fleet_at",
        "fleet_changed",
        "hosts",
        "identity",
        "keeper",
        "life",
        "logger",
        "metrics",
        "paces",
        "peer_addresses",
        "registry",
        "rng",
        "site",
        "spent",
        "started_at",
        "store_down_since",
        "told_demands",
        "usage",
        "view",
        "waiting",
    )

    def __init__(
        self, site: HostSettings, *, identity: str, rng: Random, logger: Logger
    ) -> None:
        now = boot_time()
        self.site = site
        self.identity = identity
        self.rng = rng
        self.logger = logger
        self.metrics = EntryMetrics()
        self.life: LifeCycle = new_life_cycle()
        self.started_at = now
        self.clock_offset = wall_time() - now
        self.book: RouteBook | None = None
        self.book_at = -inf
        self.book_data = b""
        self.confirmed_at = -inf
        self.registry = EngineRegistry()
        self.fleet_at = -inf
        self.fleet_changed: list[Callable[[], None]] = []
        self.store_down_since = inf
        self.view = RoutingView(
            name=identity, weights=Weights(0.0, 1.0), rng=rng
        )
        self.view.prefixes = PrefixIndex(capacity=CACHE_TOKENS)
        self.hosts: Table[str, Host] = Table()
        self.peer_addresses: dict[str, float] = dict.fromkeys(site.seeds, now)
        self.calls: Table[int, Any] = Table()
        self.waiting: dict[int, Any] = {}
        self.flows: dict[str, Flow] = defaultdict(Flow)
        self.demands: dict[str, Demand] = defaultdict(Demand)
        self.told_demands: dict[str, float] = {}
        self.caps: dict[str, Cap] = {}
        self.spent: dict[str, float] = defaultdict(float)
        self.paces: dict[str, Bucket] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.usage = UsageBook(window_s=site.usage_window_s)
        self.keeper = LeaseManager(
            name=DUTY_LEASE,
            holder=identity,
            ttl_s=site.lease_s * LEASE_SHARE,
            margin_s=LEASE_MARGIN_S,
            conditional=True,
        )

    @property
    def phase(self) -> Phase:
        """Return the phase of the process."""
        return self.life.phase()

    def true_time(self, now: float) -> float:
        """Return the estimate of true time at a boot time."""
        return now + self.clock_offset

    def config_age(self, now: float) -> float:
        """Return for how long the configuration was not confirmed."""
        return now - self.confirmed_at

    def fresh(self, now: float) -> bool:
        """Return whether requests with a key may be served."""
        limit = self.site.revocation_s * FRESH_SHARE
        return self.config_age(now) < limit

    def ready(self, now: float) -> bool:
        """Return whether this host should be given to callers."""
        return (
            self.phase is Phase.SERVING
            and self.book is not None
            and self.fresh(now)
        )

    def heard_hosts(self, now: float) -> list[Host]:
        """Return the other hosts whose beats are recent."""
        limit = HEARD_S + HEARD_EACH_S * len(self.hosts)
        return [
            row
            for row in self.hosts
            if now - row.heard_at < limit and not row.beat.leaving
        ]

    def log(self, event: LogEvent, **details: Any) -> None:
        """Write a numbered log event."""
        log_event(self.logger, event, **details)
