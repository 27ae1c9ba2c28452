"""How many engines of each kind to order in each availability zone.

The load it answers: a wave of prompts whose engines, all the reclaimable
ones of a zone, are taken back with less notice than a new one takes to
start, while no other reclaimable ones are to be had for a while.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

from magnoliaflow.policy.routes import Scaling

# Share of an engine's prefill rate that is planned with; the rest absorbs
# clumps, which double the rate for a second or two.
PLANNED_USE = 0.6
# Share that may be used for the seconds after a zone was lost.
STRAINED_USE = 0.85
# A load this much higher must do with fewer engines before any is given
# back, so that a wave about a limit does not start and stop engines.
RAISED = 1.2
# Requests at once at which an engine's tokens still come in good time.
PLANNED_RUNNING = 28
# On-demand engines kept of a service that nobody has used yet, for callers
# that come before the reclaimable ones stand.
UNUSED_ON_DEMAND = 1


@dataclass(frozen=True, slots=True)
class ZoneSupply:
    """Engines of one service that stand in a zone.

    ``spot_open``: the zone may have reclaimable ones to offer now.  Of each
    kind, those that were ordered and still start are counted apart.
    """

    zone: str
    on_demand: int
    spot: int
    spot_open: bool
    on_demand_starting: int = 0
    spot_starting: int = 0


@dataclass(frozen=True, slots=True)
class Load:
    """Prompt tokens a second to read, and requests that run at once."""

    tokens_per_s: float
    running: float


@dataclass(frozen=True, slots=True)
class Wanted:
    """Numbers of engines to have in a zone."""

    zone: str
    on_demand: int
    spot: int


def engines_for(load: Load, prefill_rate: float, use: float) -> float:
    """Return how many engines a load takes at a share of their rate."""
    reading = load.tokens_per_s / (prefill_rate * use)
    return max(1.0, reading, load.running / PLANNED_RUNNING)


def plan_engines(
    scaling: Scaling,
    supplies: Iterable[ZoneSupply],
    load: Load,
    prefill_rate: float,
    *,
    before: int = 0,
    recent: Load | None = None,
    unused: bool = False,
    unsure: bool = False,
) -> list[Wanted]:
    """Return what to have in each zone.

    Reclaimable engines carry the load, so many that it stands the loss of
    any zone's.  Both kinds take the same time to start: on-demand ones are
    begun only while reclaimable ones are not to be had, and stay until
    enough of those stand.  ``before`` is how many reclaimable ones were
    wanted last; fewer are wanted only once a higher load would also do
    with fewer.  ``recent`` is the load that on-demand engines are to carry
    where it differs: they cost several times as much, so a peak that has
    passed keeps them for less long.  ``unused``: nothing has ever been
    asked of the service, and reclaimable engines will stand before it is.
    ``unsure``: the load may be higher than what is known of it.
    """
    rows = sorted(
        supplies,
        key=lambda row: (scaling.zone_prices.get(row.zone, 1.0), row.zone),
    )
    if not rows:
        return []
    total = spot_total(load, prefill_rate, len(rows))
    if total < before:
        raised = Load(load.tokens_per_s * RAISED, load.running * RAISED)
        total = min(before, spot_total(raised, prefill_rate, len(rows)))
    spots = _deal(len(rows), total, scaling.least, scaling.most)
    missing = _missing(rows, recent or load, prefill_rate)
    if unused:
        missing = min(missing, UNUSED_ON_DEMAND)
    if missing or unsure or not all(row.spot_open for row in rows):
        # What stands is not given up in one zone to start in another, and
        # not while lost ones cannot be replaced.
        spots = [max(spot, _spot(row)) for spot, row in zip(spots, rows)]
    extras = _place(missing, rows, spots, scaling.most)
    return [
        Wanted(row.zone, extra, min(spot, scaling.most - extra))
        for row, spot, extra in zip(rows, spots, extras)
    ]


def _spot(row: ZoneSupply) -> int:
    """Return the reclaimable engines that stand or start in a zone."""
    return row.spot + row.spot_starting


def _place(
    count: int, rows: list[ZoneSupply], spots: list[int], most: int
) -> list[int]:
    """Return how many on-demand engines of a count to have in each zone.

    Those that stand or start are kept first.  Then come zones by their
    order, each as far as reclaimable ones leave room: those that are wanted
    where the zone has any to offer, else those that stand and one more, so
    that some can start as soon as there are any.
    """
    extras = [0] * len(rows)
    rooms = (
        [
            min(most - _spot(row), row.on_demand + row.on_demand_starting)
            for row in rows
        ],
        [
            most - (spot if row.spot_open else max(1, _spot(row)))
            for row, spot in zip(rows, spots)
        ],
        [most - max(1, _spot(row)) for row in rows],
        [most - _spot(row) for row in rows],
    )
    for room in rooms:
        for at, limit in enumerate(room):
            extra = min(count, max(0, limit - extras[at]))
            extras[at] += extra
            count -= extra
    return extras


def _missing(rows: list[ZoneSupply], load: Load, prefill_rate: float) -> int:
    """Return how many on-demand engines to have."""
    strained = ceil(engines_for(load, prefill_rate, STRAINED_USE))
    if all(row.spot_open for row in rows):
        # What is missing is starting; none needs to be begun beside it.
        missing = max(0, strained - sum(row.spot for row in rows))
        return min(missing, sum(row.on_demand for row in rows))
    # Those that start will stand no later than what is ordered now, but
    # until they do nothing is given up for them.
    missing = _short(strained, [row.spot for row in rows])
    begun = sum(row.on_demand + row.on_demand_starting for row in rows)
    coming = [_spot(row) for row in rows]
    return max(min(missing, begun), _short(strained, coming))


def _short(needed: int, spots: list[int]) -> int:
    """Return how many engines are lacking once a zone is lost."""
    return max(0, needed - (sum(spots) - max(spots)))


def spot_total(load: Load, prefill_rate: float, zones: int) -> int:
    """Return how many reclaimable engines carry a load.

    The most that stand in one zone are left out of what must do.
    """
    usual = ceil(engines_for(load, prefill_rate, PLANNED_USE))
    strained = ceil(engines_for(load, prefill_rate, STRAINED_USE))
    total = max(usual, strained)
    while zones > 1 and total - ceil(total / zones) < strained:
        total += 1
    return total


def _deal(zones: int, total: int, least: int, most: int) -> list[int]:
    """Return counts by zone, the first (cheapest) zones taking the rest.

    >>> _deal(3, 4, 1, 6)
    [2, 1, 1]
    """
    even, rest = divmod(total, zones)
    return [
        max(least, min(most, even + (number < rest)))
        for number in range(zones)
    ]
