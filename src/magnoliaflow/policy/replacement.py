"""Replacement of lost hosts under a lease, as steps over a small state."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from magnoliaflow.common.ports import Offer
from magnoliaflow.common.ports import StartedHost
from magnoliaflow.policy.fleet import choose_offer
from magnoliaflow.policy.fleet import Market
from magnoliaflow.policy.fleet import missing_hosts
from magnoliaflow.policy.fleet import Supply

LIST_SETTLE_S = 15.0


@dataclass(frozen=True, slots=True)
class Start:
    """A start to ask the cloud for under a tag of its own."""

    tag: str
    offer: Offer


@dataclass(slots=True)
class StartInFlight:
    """A start whose reply is not known yet."""

    start: Start
    asked_at: float
    settled: bool = False


@dataclass(slots=True)
class Replacement:
    """Starts asked for by one lease holder.

    Tags begin with the fencing number, so that a later holder knows the
    starts of an earlier one.  A start whose reply was lost counts as one
    host until the cloud's list of our tags settles it.
    """

    fence: int
    market: Market = field(default_factory=Market)
    asked: dict[str, StartInFlight] = field(default_factory=dict)
    serial: int = 0

    def plan(
        self,
        *,
        wanted: int,
        supplies: tuple[Supply, ...],
        offers: Iterable[Offer],
        listed: tuple[StartedHost, ...],
        now: float,
    ) -> tuple[Start, ...]:
        """Return the starts to ask for now."""
        self.settle(listed, now)
        open_offers = self.market.open_offers(offers, now)
        unsettled = sum(1 for row in self.asked.values() if not row.settled)
        count = missing_hosts(wanted, supplies, unsettled)
        starts = []
        added: list[Supply] = []
        for _ in range(count):
            offer = choose_offer(open_offers, (*supplies, *added), spread=True)
            if offer is None:
                break
            self.serial += 1
            start = Start(f"{self.fence}-{self.serial}", offer)
            self.asked[start.tag] = StartInFlight(start, now)
            added.append(Supply(offer.zone, offer.machine_class, 0, 1))
            starts.append(start)
        return tuple(starts)

    def settle(self, listed: tuple[StartedHost, ...], now: float) -> None:
        """Match the cloud's list of our tags with what was asked.

        A start that the list does not show after a while did not land; if
        it lands later, the list counts it.
        """
        tags = {host.tag for host in listed}
        for tag, row in list(self.asked.items()):
            if tag in tags or now - row.asked_at > LIST_SETTLE_S:
                row.settled = True

    def started(self, start: Start) -> None:
        """Note that the cloud started a host."""
        self.market.pause_of(start.offer).started()
        self.asked[start.tag].settled = True

    def refused(self, start: Start, now: float) -> None:
        """Note that the cloud refused a start."""
        self.market.pause_of(start.offer).refused(now)
        self.asked.pop(start.tag, None)
