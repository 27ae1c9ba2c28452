"""Replacement of lost hosts by the lease holder."""

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
    """A host start to request from the cloud, with a unique tag."""

    tag: str
    offer: Offer


@dataclass(slots=True)
class PendingStart:
    """A requested start; ``resolved`` once its result is known."""

    start: HostStart
    requested_at: float
    resolved: bool = False


@dataclass(slots=True)
class Replacement:
    """Host starts requested by one lease holder.

    Tags begin with the fencing token, so that a later holder recognizes the
    starts of an earlier one.  A start without a known result counts as one
    host until the cloud's list of tagged hosts resolves it.
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
        """Return the starts to request now."""
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
        """Resolve requested starts by the cloud's list of tagged hosts.

        A start that is not listed after ``LISTING_DELAY_S`` is taken to have
        failed; if its host appears later, the list counts it.
        """
        tags = {host.tag for host in listed}
        for tag, pending in list(self.requested.items()):
            if tag in tags or now - pending.requested_at > LISTING_DELAY_S:
                pending.resolved = True

    def record_start(self, start: HostStart) -> None:
        """Record that the cloud started a host."""
        self.backoffs.backoff_for(start.offer).record_start()
        self.requested[start.tag].resolved = True

    def record_refusal(self, start: HostStart, now: float) -> None:
        """Record that the cloud refused a start."""
        self.backoffs.backoff_for(start.offer).record_refusal(now)
        self.requested.pop(start.tag, None)
