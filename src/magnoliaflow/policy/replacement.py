"""Replacement of lost hosts under a lease, as steps over a small state."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from magnoliaflow.common.ports import Offer
from magnoliaflow.common.ports import StartedHost
from magnoliaflow.policy.fleet import choose_offer
from magnoliaflow.policy.fleet import missing_hosts
from magnoliaflow.policy.fleet import OfferBackoffs
from magnoliaflow.policy.fleet import Supply

LISTING_DELAY_S = 15.0


@dataclass(frozen=True, slots=True)
class HostStart:
    """A start to ask the cloud for under a tag of its own."""

    tag: str
    offer: Offer


@dataclass(slots=True)
class PendingStart:
    """A start whose reply is not known yet."""

    start: HostStart
    requested_at: float
    resolved: bool = False


@dataclass(slots=True)
class Replacement:
    """Starts asked for by one lease holder.

    Tags begin with the fencing number, so that a later holder knows the
    starts of an earlier one.  A start whose reply was lost counts as one
    host until the cloud's list of our tags settles it.
    """

    fence: int
    backoffs: OfferBackoffs = field(default_factory=OfferBackoffs)
    requested: dict[str, PendingStart] = field(default_factory=dict)
    serial: int = 0

    def plan(
        self,
        *,
        wanted: int,
        supplies: tuple[Supply, ...],
        offers: Iterable[Offer],
        listed: tuple[StartedHost, ...],
        now: float,
    ) -> tuple[HostStart, ...]:
        """Return the starts to ask for now."""
        self.reconcile(listed, now)
        available_offers = self.backoffs.available_offers(offers, now)
        unresolved = sum(
            1 for pending in self.requested.values() if not pending.resolved
        )
        count = missing_hosts(wanted, supplies, unresolved)
        starts = []
        added: list[Supply] = []
        for _ in range(count):
            offer = choose_offer(
                available_offers, (*supplies, *added), spread=True
            )
            if offer is None:
                break
            self.serial += 1
            start = HostStart(f"{self.fence}-{self.serial}", offer)
            self.requested[start.tag] = PendingStart(start, now)
            added.append(Supply(offer.zone, offer.machine_class, 0, 1))
            starts.append(start)
        return tuple(starts)

    def reconcile(self, listed: tuple[StartedHost, ...], now: float) -> None:
        """Match the cloud's list of our tags with what was asked.

        A start that the list does not show after a while did not land; if
        it lands later, the list counts it.
        """
        tags = {host.tag for host in listed}
        for tag, pending in list(self.requested.items()):
            if tag in tags or now - pending.requested_at > LISTING_DELAY_S:
                pending.resolved = True

    def record_start(self, start: HostStart) -> None:
        """Note that the cloud started a host."""
        self.backoffs.backoff_for(start.offer).record_start()
        self.requested[start.tag].resolved = True

    def record_refusal(self, start: HostStart, now: float) -> None:
        """Note that the cloud refused a start."""
        self.backoffs.backoff_for(start.offer).record_refusal(now)
        self.requested.pop(start.tag, None)
