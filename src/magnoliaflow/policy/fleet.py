"""Decisions on hosts and models, as pure functions over what is known."""

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
    """Hosts of one zone and class that serve, start, or leave."""

    zone: str
    machine_class: str
    serving: int
    starting: int


@dataclass(slots=True)
class Backoff:
    """How long an offer is left alone after refused starts."""

    failures: int = 0
    until: float = 0.0

    def record_refusal(self, now: float) -> None:
        """Count a refusal; the pause doubles each time."""
        delay = INITIAL_BACKOFF_S * 2**self.failures
        self.until = now + min(MAX_BACKOFF_S, delay)
        self.failures += 1

    def record_start(self) -> None:
        """Forget past refusals."""
        self.failures = 0
        self.until = 0.0


@dataclass(slots=True)
class OfferBackoffs:
    """Back-offs by zone, class and kind of offer."""

    backoffs: dict[tuple[str, str, bool], Backoff] = field(
        default_factory=dict
    )

    def backoff_for(self, offer: Offer) -> Backoff:
        """Return the back-off of an offer."""
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
    """Return how many hosts a load needs.

    With headroom the rest still carries the load after one availability
    zone is lost.

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
    """Return the offer to start a host on, None if there is none.

    Reclaimable before on-demand, then the zone with room under its
    share, then the lowest price.
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
    """Return how many hosts to ask for, each start counted once."""
    have = sum(supply.serving + supply.starting for supply in supplies)
    return max(0, wanted - have - in_flight)


def order_needed(
    current: EngineOrder, desired: EngineOrder, fence: int
) -> EngineOrder | None:
    """Return the order that brings an engine to its desired end.

    None when it is there already: an order states an end, not a step, so
    that sending it twice, or late, does no harm.
    """
    reached = (current.models, current.role) == (desired.models, desired.role)
    if reached:
        return None
    return EngineOrder(fence, desired.models, desired.role)
