"""Duty that orders engines for every scaled service."""

from dataclasses import dataclass
from math import inf
from typing import Any

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.errors import StartRefusedError
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.messages import EngineEntry
from magnoliaflow.entry.planloads import PlanLoads
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.updates import DEFAULT_PREFILL_RATE
from magnoliaflow.platform.cloud import CloudClient
from magnoliaflow.policy.routes import Scaling
from magnoliaflow.policy.routes import Service
from magnoliaflow.policy.scaling import Capacity
from magnoliaflow.policy.scaling import Load
from magnoliaflow.policy.scaling import plan_engines
from magnoliaflow.policy.scaling import ZoneSupply
from magnoliaflow.policy.scaling import ZoneTarget

# Planning interval: the notice before a reclaim is two seconds.
PLAN_INTERVAL_S = 0.25
# Capacity is not reduced until this long after the first traffic or a
# takeover: a process that has just started does not know the load yet, and
# most takeovers happen during failures.
UNKNOWN_LOAD_S = 8.0
# Time after the start of this process in which every running engine has
# registered: three of its heartbeats.  Until then no on-demand engine is
# released, since an order also releases those that are not registered yet.
REGISTRATION_WAIT_S = 4.0
# The same in a deployment that was never used, counted from the last on-demand
# engine that registered: its heartbeat interval and the delay of the listing.
REGISTRATION_SETTLE_S = 2.0
# Assumed utilization of the on-demand engines while the load is unknown.
ASSUMED_UTILIZATION = 0.6
# Time after a takeover in which the previous holder's orders take effect.
TAKEOVER_SETTLE_S = 5.0
# Time beyond the boot time of an engine after which an order without effect
# is sent again, and the delay before a refused order is retried.
ORDER_RESEND_S = 1.0
REFUSED_RETRY_DELAY_S = 2.0
# Duration of a capacity shortage in a zone after a refusal or a reclaim: the
# retry delay above and the time that a reclaimable engine takes to start.
CAPACITY_SHORTAGE_S = 8.0
FAILED_RETRY_DELAY_S = 0.5
# Interval of the log lines on a service's plan.
PLAN_LOG_INTERVAL_S = 1.0


@dataclass(slots=True)
class Order:
    """The last order for one kind of engine in a zone.

    ``fulfilled``: the ordered count has been registered since, so a lower
    count means that engines were lost.
    """

    count: int
    sent_at: float
    pending: bool = False
    fulfilled: bool = False
    retry_at: float = -inf


class OrderDuty:
    """Orders the number of engines that the load needs."""

    __slots__ = (
        "assumed_engines",
        "shortage_until",
        "cloud",
        "next_log_at",
        "next_plan_at",
        "first_load_at",
        "last_registered_at",
        "registered",
        "holds_lease",
        "takeover_at",
        "orders",
        "loads",
        "state",
        "spot_totals",
    )

    def __init__(self, state: EntryState, cloud: CloudClient) -> None:
        self.state = state
        self.cloud = cloud
        self.next_plan_at = -inf
        self.next_log_at: dict[str, float] = {}
        self.shortage_until: dict[tuple[str, str], float] = {}
        self.first_load_at = inf
        self.last_registered_at = -inf
        self.registered = 0
        self.holds_lease = False
        self.takeover_at = -inf
        self.orders: dict[tuple[str, str, bool], Order] = {}
        self.spot_totals: dict[str, int] = {}
        self.assumed_engines: dict[str, int] = {}
        self.loads = PlanLoads(state)

    def tick(self, now: float) -> None:
        """Plan and order engines for every scaled service when due."""
        if now < self.next_plan_at or self.state.route_table is None:
            return
        self.next_plan_at = now + PLAN_INTERVAL_S
        services = self.state.route_table.services.values()
        scaled = [
            service for service in services if service.scaling is not None
        ]
        self._record_registrations(now)
        for service in scaled:
            load = self.loads.record(service, now)
            if load.tokens_per_s > 0 and self.first_load_at == inf:
                self.first_load_at = now
        if not self.state.lease_manager.holds(now):
            self.holds_lease = False
            return
        if not self.holds_lease:
            # The previous holder's orders are not known here, and the load
            # only as far as it was reported to this process.
            self.holds_lease = True
            if not self._never_used():
                self.takeover_at = now
            self.orders.clear()
            self.spot_totals.clear()
        for service in scaled:
            if self.state.rollouts.has_two_versions(service.name, now):
                # Engines that stop at its end are no loss.
                for (name, _, _), order in self.orders.items():
                    order.fulfilled &= name != service.name
            self._plan(service, now)

    def _record_registrations(self, now: float) -> None:
        """Note when another on-demand engine registered first."""
        entries = self.state.registry.entries.values()
        registered = sum(not entry.spot for entry in entries)
        if registered > self.registered:
            self.last_registered_at = now
        self.registered = registered

    def _plan(self, service: Service, now: float) -> None:
        scaling = service.scaling
        assert scaling is not None
        each = self.loads.capacity(service, now)
        supplies = self._supplies(service, now)
        load, recent = self.loads.peaks(service.name, now)
        if now < self.first_load_at + UNKNOWN_LOAD_S:
            known = self._known_on_demand(service.name)
            assumed = max(known, self.assumed_engines.get(service.name, 0))
            self.assumed_engines[service.name] = assumed
            rate = assumed * DEFAULT_PREFILL_RATE * ASSUMED_UTILIZATION
            load = Load(max(load.tokens_per_s, rate), load.running)
            recent = load
        plan = plan_engines(
            scaling,
            supplies,
            load,
            each.tokens_per_s,
            running=each.running,
            previous_spot=self.spot_totals.get(service.name, 0),
            recent=recent,
            never_used=self._never_used(),
            load_uncertain=self._load_uncertain(now),
        )
        self.spot_totals[service.name] = sum(wanted.spot for wanted in plan)
        if service.name in self.state.learning_services:
            self._log_plan(service, each, load, supplies, plan, now)
        for wanted in plan:
            supply = next(
                candidate
                for candidate in supplies
                if candidate.zone == wanted.zone
            )
            self._order_engines(service, scaling, wanted, supply, now)

    def _log_plan(
        self,
        service: Service,
        each: Capacity,
        load: Load,
        supplies: list[ZoneSupply],
        plan: list[ZoneTarget],
        now: float,
    ) -> None:
        """Log what is planned for, and what came beside its forecast.

        The forecast is that of one boot time ago.
        """
        name = service.name
        if now < self.next_log_at.get(name, -inf):
            return
        self.next_log_at[name] = now + PLAN_LOG_INTERVAL_S
        current = self.loads.current(name)
        assert service.scaling is not None
        foreseen = self.loads.foreseen(name, now - service.scaling.boot_s)
        self.state.log(
            LogEvent.ENGINES_PLANNED,
            backend=name,
            each=round(each.tokens_per_s),
            slots=round(each.running, 1),
            planned_rate=round(load.tokens_per_s),
            planned_running=round(load.running),
            rate=round(current.tokens_per_s),
            foreseen_rate=foreseen and round(foreseen.tokens_per_s),
            running=round(current.running),
            engines=sum(supply.spot + supply.on_demand for supply in supplies),
            spot=sum(wanted.spot for wanted in plan),
            on_demand=sum(wanted.on_demand for wanted in plan),
        )

    def _known_on_demand(self, name: str) -> int:
        """Return how many on-demand engines were ever registered.

        Released ones count as well: the deployment was sized with them for a
        load that is not known yet.
        """
        entries = self.state.registry.entries.values()
        return sum(
            entry.backend == name and not entry.spot for entry in entries
        )

    def _never_used(self) -> bool:
        """Return whether the deployment was never used.

        No traffic was seen, and no other host has held the duties before.
        """
        return (
            self.first_load_at == inf and self.state.lease_manager.fence == 0
        )

    def _load_uncertain(self, now: float) -> bool:
        """Return whether the load may be higher than this process knows."""
        return any(
            since <= now < since + UNKNOWN_LOAD_S
            for since in (self.first_load_at, self.takeover_at)
        )

    def _supplies(self, service: Service, now: float) -> list[ZoneSupply]:
        entries = [
            entry
            for entry in self.state.registry.entries.values()
            if entry.backend == service.name
            and not entry.gone
            and not entry.leaving
        ]
        zones = self._zones(service)
        return [self._supply(service, zone, entries, now) for zone in zones]

    def _supply(
        self,
        service: Service,
        zone: str,
        entries: list[EngineEntry],
        now: float,
    ) -> ZoneSupply:
        in_zone = [entry for entry in entries if entry.zone == zone]
        spot = sum(1 for entry in in_zone if entry.spot)
        on_demand = len(in_zone) - spot
        return ZoneSupply(
            zone,
            on_demand,
            spot,
            self._spot_available(service.name, zone, spot, now),
            self._starting_count(service, zone, False, on_demand, now),
            self._starting_count(service, zone, True, spot, now),
        )

    def _starting_count(
        self,
        service: Service,
        zone: str,
        spot: bool,
        registered: int,
        now: float,
    ) -> int:
        """Return how many ordered engines of a kind are still starting."""
        order = self.orders.get((service.name, zone, spot))
        assert service.scaling is not None
        if order is None or order.fulfilled:
            return 0
        if now > order.sent_at + service.scaling.boot_s + ORDER_RESEND_S:
            return 0
        return max(0, order.count - registered)

    def _zones(self, service: Service) -> list[str]:
        """Return the zones in which engines of a service ever registered."""
        assert service.scaling is not None
        zones = {
            entry.zone
            for entry in self.state.registry.entries.values()
            if entry.backend == service.name
        }
        return sorted(zones)

    def _spot_available(
        self, service: str, zone: str, registered: int, now: float
    ) -> bool:
        """Return whether a zone may have reclaimable engines to offer.

        It has none during a reclaim and for a while after one or a refusal:
        reclaimable engines start no sooner than on-demand ones.
        """
        order = self.orders.get((service, zone, True))
        if order is not None and order.fulfilled and registered < order.count:
            order.fulfilled = False
            order.sent_at = -inf
            self.shortage_until[(service, zone)] = now + CAPACITY_SHORTAGE_S
        elif order is not None and registered >= order.count > 0:
            order.fulfilled = True
        elif order is not None and now < self.takeover_at + TAKEOVER_SETTLE_S:
            # Too few engines after a takeover may be due to a reclaim that
            # only the previous holder saw.
            return False
        return now >= self.shortage_until.get((service, zone), -inf)

    def _order_engines(
        self,
        service: Service,
        scaling: Scaling,
        wanted: ZoneTarget,
        supply: ZoneSupply,
        now: float,
    ) -> None:
        """Send an order for each kind unless it is already under way."""
        kinds = (
            (False, wanted.on_demand, supply.on_demand),
            (True, wanted.spot, supply.spot),
        )
        for spot, count, registered in kinds:
            key = (service.name, wanted.zone, spot)
            order = self.orders.get(key)
            uncertain = self._engines_uncertain(now)
            if not spot and count <= registered and uncertain:
                continue
            doubled = self.state.rollouts.has_two_versions(service.name, now)
            if count <= registered and doubled:
                continue
            if order is not None:
                if order.pending or now < order.retry_at:
                    continue
                late = now > order.sent_at + scaling.boot_s + ORDER_RESEND_S
                if order.count == count and (registered == count or not late):
                    continue
            self._send_order(key, count, now)

    def _engines_uncertain(self, now: float) -> bool:
        """Return whether running or starting engines may be unknown here.

        This is so after the start of this process, and after a takeover,
        while engines that the previous holder ordered are still starting.
        """
        started_at = self.state.started_at
        if self._never_used():
            since = max(started_at, self.last_registered_at)
            return now < since + REGISTRATION_SETTLE_S
        return (
            now < started_at + REGISTRATION_WAIT_S
            or now < self.takeover_at + TAKEOVER_SETTLE_S
        )

    def _send_order(
        self, key: tuple[str, str, bool], count: int, now: float
    ) -> None:
        service, zone, spot = key
        order = Order(count, now, pending=True)
        self.orders[key] = order
        self.state.log(
            LogEvent.ENGINES_ORDERED,
            backend=service,
            zone=zone,
            spot=spot,
            count=count,
        )

        def done(result: Any) -> None:
            order.pending = False

        def failed(failure: Any) -> None:
            order.pending = False
            order.count = -1
            refused = failure.check(StartRefusedError) is not None
            retry_delay_s = (
                REFUSED_RETRY_DELAY_S if refused else FAILED_RETRY_DELAY_S
            )
            if refused and spot:
                self.shortage_until[(service, zone)] = (
                    boot_time() + CAPACITY_SHORTAGE_S
                )
            order.retry_at = boot_time() + retry_delay_s
            self.state.log(
                LogEvent.DUTY_FAILED,
                duty="engines",
                zone=zone,
                spot=spot,
                count=count,
                reason=failure.getErrorMessage(),
            )

        self.cloud.order_engines(
            service,
            zone,
            count,
            spot=spot,
            fence=self.state.lease_manager.fence + 1,
        ).addCallbacks(done, failed)
