"""Decisions on which hosts to start and which models engines serve."""

from collections.abc import Iterable
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from math import ceil

from magnoliaflow.common.ports import EngineOrder
from magnoliaflow.common.ports import Offer

INITIAL_BACKOFF_S = 5.0
MAX_BACKOFF_S = 300.0
MAX_ZONE_SHARE = 0.5
TARGET_UTILIZATION = 0.75


@dataclass(frozen=True, slots=True)
class Supply:
    """Serving and starting hosts of one zone and machine class."""

    zone: str
    machine_class: str
    serving: int
    starting: int


@dataclass(slots=True)
class Backoff:
    """Exponential backoff of an offer after refused starts."""

    failures: int = 0
    until: float = 0.0

    def record_refusal(self, now: float) -> None:
        """Count a refusal and double the delay, up to the maximum."""
        delay = INITIAL_BACKOFF_S * 2**self.failures
        self.until = now + min(MAX_BACKOFF_S, delay)
        self.failures += 1

    def record_start(self) -> None:
        """Reset the backoff after a successful start."""
        self.failures = 0
        self.until = 0.0


@dataclass(slots=True)
class OfferBackoffs:
    """Backoffs by zone, machine class and whether reclaimable."""

    backoffs: dict[tuple[str, str, bool], Backoff] = field(
        default_factory=dict
    )

    def backoff_for(self, offer: Offer) -> Backoff:
        """Return the backoff of an offer."""
        key = (offer.zone, offer.machine_class, offer.reclaimable)
        return self.backoffs.setdefault(key, Backoff())

    def available_offers(
        self, offers: Iterable[Offer], now: float
    ) -> tuple[Offer, ...]:
        """Return the offers that are not backed off."""
        return tuple(
            offer for offer in offers if now >= self.backoff_for(offer).until
        )


def hosts_wanted(
    *, load: float, host_capacity: float, zones: int, headroom: bool
) -> int:
    """Return the number of hosts needed for a load.

    With headroom, the remaining hosts still carry the load after the loss
    of one availability zone.

    >>> hosts_wanted(load=6.0, host_capacity=1.0, zones=3, headroom=False)
    8
    >>> hosts_wanted(load=6.0, host_capacity=1.0, zones=3, headroom=True)
    12
    """
    needed = load / (host_capacity * TARGET_UTILIZATION)
    if headroom and zones > 1:
        needed *= zones / (zones - 1)
    return ceil(needed)


def choose_offer(
    offers: Iterable[Offer], supplies: Iterable[Supply], *, spread: bool
) -> Offer | None:
    """Return the offer to start a host from, None if there is none.

    Reclaimable offers come before on-demand ones, then, with ``spread``,
    zones below ``MAX_ZONE_SHARE`` of the hosts, then the lowest price.
    """
    counts: Counter[str] = Counter()
    for supply in supplies:
        counts[supply.zone] += supply.serving + supply.starting
    total = sum(counts.values()) + 1
    ranked = sorted(
        offers,
        key=lambda offer: (
            not offer.reclaimable,
            spread and (counts[offer.zone] + 1) / total > MAX_ZONE_SHARE,
            offer.price,
            counts[offer.zone],
            offer.zone,
        ),
    )
    return ranked[0] if ranked else None


def missing_hosts(
    wanted: int, supplies: Iterable[Supply], in_flight: int
) -> int:
    """Return how many hosts to start besides those in flight."""
    have = sum(supply.serving + supply.starting for supply in supplies)
    return max(0, wanted - have - in_flight)


def order_needed(
    current: EngineOrder, desired: EngineOrder, fence: int
) -> EngineOrder | None:
    """Return the order that brings an engine to its desired state.

    Returns None if the engine is in that state.  Orders are idempotent: they
    state the desired state, so a repeated or late one does no harm.
    """
    reached = (current.models, current.role) == (desired.models, desired.role)
    if reached:
        return None
    return EngineOrder(fence, desired.models, desired.role)
