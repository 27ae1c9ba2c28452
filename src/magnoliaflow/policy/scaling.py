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


@dataclass(frozen=True, slots=True)
class ZoneSupply:
    """Engines of one service that stand in a zone.

    ``spot_open``: the zone may have reclaimable ones to offer now.
    """

    zone: str
    on_demand: int
    spot: int
    spot_open: bool


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
) -> list[Wanted]:
    """Return what to have in each zone.

    Reclaimable engines carry the load, so many that it stands the loss of
    any zone's.  Both kinds take the same time to start: on-demand ones are
    begun only while reclaimable ones are not to be had, and stay until
    enough of those stand.  ``before`` is how many reclaimable ones were
    wanted last; fewer are wanted only once a higher load would also do
    with fewer.
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
    missing = _missing(rows, load, prefill_rate)
    stand = [row.on_demand for row in rows]
    extras = _place(missing, stand, spots, scaling.most)
    return [
        Wanted(row.zone, extra, min(spot, scaling.most - extra))
        for row, spot, extra in zip(rows, spots, extras)
    ]


def _place(
    count: int, stand: list[int], spots: list[int], most: int
) -> list[int]:
    """Return how many on-demand engines of a count to have in each zone.

    Those that stand are kept first, but room that reclaimable ones will
    take is used last: while an on-demand engine stands in it, theirs
    cannot start.

    >>> _place(3, [0, 0, 0], [2, 2, 1], 3), _place(2, [0] * 3, [3] * 3, 3)
    ([1, 1, 1], [2, 0, 0])
    >>> _place(2, [0, 0, 1], [2, 2, 2], 3)
    [1, 0, 1]
    """
    extras = [0] * len(spots)
    rooms = (
        [min(most - spot, row) for spot, row in zip(spots, stand)],
        [most - spot for spot in spots],
        [most] * len(spots),
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
    standing = [row.spot for row in rows]
    if all(row.spot_open for row in rows):
        # What is missing is starting; none needs to be begun beside it.
        missing = max(0, strained - sum(standing))
        return min(missing, sum(row.on_demand for row in rows))
    return max(0, strained - (sum(standing) - max(standing)))


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
