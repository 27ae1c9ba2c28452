"""Duty of the host that orders engines for every scaled service."""

from dataclasses import dataclass
from math import inf
from typing import Any

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.errors import StartRefusedError
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.messages import EngineEntry
from magnoliaflow.entry.apply import USUAL_PREFILL_RATE
from magnoliaflow.entry.state import EntryState
from magnoliaflow.platform.cloud import CloudClient
from magnoliaflow.policy.routes import Scaling
from magnoliaflow.policy.routes import Service
from magnoliaflow.policy.scaling import Load
from magnoliaflow.policy.scaling import plan_engines
from magnoliaflow.policy.scaling import Wanted
from magnoliaflow.policy.scaling import ZoneSupply

# Period of the looks: a notice of a reclaim leaves two seconds.
PERIOD_S = 0.25
# A peak is planned for this long after it was seen: half of the period of
# the daily wave as it is played.
PEAK_S = 15.0
# The same for on-demand engines: they start anew in four seconds, and cost
# several times as much.
ON_DEMAND_PEAK_S = 6.0
# What stands is kept until this long after traffic was first seen or the
# duties were taken over: a process that has just started knows no load, and
# those that change hands mostly do so in trouble.
UNKNOWN_S = 8.0
# Time after this process's start until every engine that stands has had the
# time to register: three of its heartbeats.  On-demand ones are not given
# back before, unless nobody has ever used the deployment.
LISTED_S = 4.0
# Use of the engines that stood at first which is assumed until then.
ASSUMED_USE = 0.6
# Time after a takeover in which orders of the holder before take effect.
SETTLED_S = 5.0
# Time beyond the boot time after which an order that shows no effect is
# sent again, and pause after a refusal.
REPEAT_S = 1.0
REFUSED_PAUSE_S = 2.0
# A zone counts as without reclaimable engines for this long after a refusal
# or a reclaim: the pause above and the time that one takes to start.
CLOSED_S = 8.0
FAILED_PAUSE_S = 0.5


@dataclass(slots=True)
class Order:
    """The last order for one kind of engine in a zone.

    ``filled``: as many stood since; fewer now means that some were lost.
    """

    count: int
    at: float
    busy: bool = False
    filled: bool = False
    pause_until: float = -inf


class OrderDuty:
    """Keeps the number of engines at what the load needs."""

    __slots__ = (
        "assumed",
        "closed_until",
        "cloud",
        "due_at",
        "first_load_at",
        "held",
        "held_at",
        "orders",
        "peaks",
        "state",
        "totals",
    )

    def __init__(self, state: EntryState, cloud: CloudClient) -> None:
        self.state = state
        self.cloud = cloud
        self.due_at = -inf
        self.closed_until: dict[tuple[str, str], float] = {}
        self.first_load_at = inf
        self.held = False
        self.held_at = -inf
        self.orders: dict[tuple[str, str, bool], Order] = {}
        self.totals: dict[str, int] = {}
        self.assumed: dict[str, int] = {}
        self.peaks: dict[str, list[tuple[float, Load]]] = {}

    def step(self, now: float) -> None:
        """Look at every scaled service."""
        if now < self.due_at or self.state.book is None:
            return
        self.due_at = now + PERIOD_S
        services = self.state.book.services.values()
        scaled = [row for row in services if row.scaling is not None]
        for row in scaled:
            self._note_load(row.name, now)
        if not self.state.keeper.holds(now):
            self.held = False
            return
        if not self.held:
            # Orders of the holder before are not known here, and the load
            # only as far as this process has heard of it.
            self.held = True
            if not self._unused():
                self.held_at = now
            self.orders.clear()
            self.totals.clear()
        for service in scaled:
            self._plan(service, now)

    def _note_load(self, name: str, now: float) -> None:
        """Note a service's load over all hosts."""
        flow = self.state.flows[name]
        rows = [(flow.demand.current(now), flow.running)] + [
            (row.tokens_rate, row.running)
            for host in self.state.heard_hosts(now)
            for row in host.beat.services
            if row.backend == name
        ]
        load = Load(
            sum(rate for rate, _ in rows), sum(count for _, count in rows)
        )
        if load.tokens_per_s > 0 and self.first_load_at == inf:
            self.first_load_at = now
        peaks = self.peaks.setdefault(name, [])
        peaks.append((now, load))
        while peaks and peaks[0][0] < now - PEAK_S:
            peaks.pop(0)

    def _peak(self, name: str, since: float) -> Load:
        """Return the highest load since a time."""
        rows = [row for at, row in self.peaks[name] if at >= since]
        return Load(
            max((row.tokens_per_s for row in rows), default=0.0),
            max((row.running for row in rows), default=0.0),
        )

    def _plan(self, service: Service, now: float) -> None:
        scaling = service.scaling
        assert scaling is not None
        supplies = self._supplies(service, now)
        load = self._peak(service.name, now - PEAK_S)
        recent = self._peak(service.name, now - ON_DEMAND_PEAK_S)
        if now < self.first_load_at + UNKNOWN_S:
            bought = self._bought(service.name)
            standing = max(bought, self.assumed.get(service.name, 0))
            self.assumed[service.name] = standing
            rate = standing * USUAL_PREFILL_RATE * ASSUMED_USE
            load = Load(max(load.tokens_per_s, rate), load.running)
            recent = load
        plan = plan_engines(
            scaling,
            supplies,
            load,
            USUAL_PREFILL_RATE,
            before=self.totals.get(service.name, 0),
            recent=recent,
            unused=self._unused(),
            unsure=self._unsure(now),
        )
        self.totals[service.name] = sum(row.spot for row in plan)
        for row in plan:
            supply = next(item for item in supplies if item.zone == row.zone)
            self._order(service, scaling, row, supply, now)

    def _bought(self, name: str) -> int:
        """Return the on-demand engines that were ever listed.

        Those given up since count as well: the deployment was sized with
        them for a load that is not known yet.
        """
        rows = self.state.registry.entries.values()
        return sum(row.backend == name and not row.spot for row in rows)

    def _unused(self) -> bool:
        """Return whether the deployment is so new that nobody has used it.

        Then no host has held the duties before this one.
        """
        return self.first_load_at == inf and self.state.keeper.fence == 0

    def _unsure(self, now: float) -> bool:
        """Return whether the load may be higher than it seems here."""
        return any(
            since <= now < since + UNKNOWN_S
            for since in (self.first_load_at, self.held_at)
        )

    def _supplies(self, service: Service, now: float) -> list[ZoneSupply]:
        rows = [
            row
            for row in self.state.registry.entries.values()
            if row.backend == service.name and not row.gone and not row.leaving
        ]
        zones = self._zones(service)
        return [self._supply(service, zone, rows, now) for zone in zones]

    def _supply(
        self, service: Service, zone: str, rows: list[EngineEntry], now: float
    ) -> ZoneSupply:
        here = [row for row in rows if row.zone == zone]
        spot = sum(1 for row in here if row.spot)
        on_demand = len(here) - spot
        return ZoneSupply(
            zone,
            on_demand,
            spot,
            self._open(service.name, zone, spot, now),
            self._starting(service, zone, False, on_demand, now),
            self._starting(service, zone, True, spot, now),
        )

    def _starting(
        self,
        service: Service,
        zone: str,
        spot: bool,
        standing: int,
        now: float,
    ) -> int:
        """Return how many engines of a kind are on their way."""
        order = self.orders.get((service.name, zone, spot))
        assert service.scaling is not None
        if order is None or order.filled:
            return 0
        if now > order.at + service.scaling.boot_s + REPEAT_S:
            return 0
        return max(0, order.count - standing)

    def _zones(self, service: Service) -> list[str]:
        """Return the zones in which a service was ever seen to run."""
        assert service.scaling is not None
        seen = {
            row.zone
            for row in self.state.registry.entries.values()
            if row.backend == service.name
        }
        return sorted(seen)

    def _open(
        self, service: str, zone: str, standing: int, now: float
    ) -> bool:
        """Return whether reclaimable engines may be had in a zone.

        Not while some are being taken back there, nor for a while after
        that or a refusal: they start no sooner than on-demand ones.
        """
        order = self.orders.get((service, zone, True))
        if order is not None and order.filled and standing < order.count:
            order.filled = False
            order.at = -inf
            self.closed_until[(service, zone)] = now + CLOSED_S
        elif order is not None and standing >= order.count > 0:
            order.filled = True
        elif order is not None and now < self.held_at + SETTLED_S:
            # Short of engines at a takeover: it may be a reclaim that the
            # holder before saw.
            return False
        return now >= self.closed_until.get((service, zone), -inf)

    def _order(
        self,
        service: Service,
        scaling: Scaling,
        wanted: Wanted,
        supply: ZoneSupply,
        now: float,
    ) -> None:
        """Send what is wanted of each kind where it is not on its way."""
        kinds = (
            (False, wanted.on_demand, supply.on_demand),
            (True, wanted.spot, supply.spot),
        )
        for spot, count, standing in kinds:
            key = (service.name, wanted.zone, spot)
            order = self.orders.get(key)
            unsettled = self._unsettled(now) and not self._unused()
            if not spot and count <= standing and unsettled:
                continue
            if order is not None:
                if order.busy or now < order.pause_until:
                    continue
                late = now > order.at + scaling.boot_s + REPEAT_S
                if order.count == count and (standing == count or not late):
                    continue
            self._send(key, count, now)

    def _unsettled(self, now: float) -> bool:
        """Return whether engines may stand or start that are not known.

        So it is at this process's start, and after the duties changed
        hosts: what the holder before has ordered is still starting.
        """
        return (
            now < self.state.started_at + LISTED_S
            or now < self.held_at + SETTLED_S
        )

    def _send(
        self, key: tuple[str, str, bool], count: int, now: float
    ) -> None:
        service, zone, spot = key
        order = Order(count, now, busy=True)
        self.orders[key] = order
        self.state.log(
            LogEvent.ENGINES_ORDERED,
            backend=service,
            zone=zone,
            spot=spot,
            count=count,
        )

        def done(result: Any) -> None:
            order.busy = False

        def failed(failure: Any) -> None:
            order.busy = False
            order.count = -1
            refused = failure.check(StartRefusedError) is not None
            pause = REFUSED_PAUSE_S if refused else FAILED_PAUSE_S
            if refused and spot:
                self.closed_until[(service, zone)] = boot_time() + CLOSED_S
            order.pause_until = boot_time() + pause
            self.state.log(
                LogEvent.DUTY_FAILED,
                duty="engines",
                zone=zone,
                spot=spot,
                count=count,
                reason=failure.getErrorMessage(),
            )

        self.cloud.order_engines(
            service, zone, count, spot=spot, fence=self.state.keeper.fence + 1
        ).addCallbacks(done, failed)
