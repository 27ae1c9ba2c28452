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
TARGET_UTILIZATION = 0.6
# Share that may be used for the seconds after a zone was lost.
FAILOVER_UTILIZATION = 0.85
# A load this much higher must do with fewer engines before any is given
# back, so that a wave about a limit does not start and stop engines.
SCALE_DOWN_LOAD_FACTOR = 1.2
# Requests at once at which an engine's tokens still come in good time.
TARGET_RUNNING = 28
# On-demand engines kept of a service that nobody has used yet, for callers
# that come before the reclaimable ones stand.
NEW_SERVICE_ON_DEMAND = 1


@dataclass(frozen=True, slots=True)
class ZoneSupply:
    """Engines of one service that stand in a zone.

    ``spot_open``: the zone may have reclaimable ones to offer now.  Of each
    kind, those that were ordered and still start are counted apart.
    """

    zone: str
    on_demand: int
    spot: int
    spot_available: bool
    on_demand_starting: int = 0
    spot_starting: int = 0


@dataclass(frozen=True, slots=True)
class Load:
    """Prompt tokens a second to read, and requests that run at once."""

    tokens_per_s: float
    running: float


@dataclass(frozen=True, slots=True)
class ZoneTarget:
    """Numbers of engines to have in a zone."""

    zone: str
    on_demand: int
    spot: int


def engines_for(load: Load, prefill_rate: float, utilization: float) -> float:
    """Return how many engines a load takes at a share of their rate."""
    for_prefill = load.tokens_per_s / (prefill_rate * utilization)
    return max(1.0, for_prefill, load.running / TARGET_RUNNING)


def plan_engines(
    scaling: Scaling,
    supplies: Iterable[ZoneSupply],
    load: Load,
    prefill_rate: float,
    *,
    previous_spot: int = 0,
    recent: Load | None = None,
    never_used: bool = False,
    load_uncertain: bool = False,
) -> list[ZoneTarget]:
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
    if total < previous_spot:
        raised_load = Load(
            load.tokens_per_s * SCALE_DOWN_LOAD_FACTOR,
            load.running * SCALE_DOWN_LOAD_FACTOR,
        )
        total = min(
            previous_spot, spot_total(raised_load, prefill_rate, len(rows))
        )
    spot_counts = _distribute(
        len(rows), total, scaling.min_engines, scaling.max_engines
    )
    missing = _on_demand_needed(rows, recent or load, prefill_rate)
    if never_used:
        missing = min(missing, NEW_SERVICE_ON_DEMAND)
    if (
        missing
        or load_uncertain
        or not all(row.spot_available for row in rows)
    ):
        # What stands is not given up in one zone to start in another, and
        # not while lost ones cannot be replaced.
        spot_counts = [
            max(spot, _spot_count(row)) for spot, row in zip(spot_counts, rows)
        ]
    on_demand = _place_on_demand(
        missing, rows, spot_counts, scaling.max_engines
    )
    return [
        ZoneTarget(row.zone, count, min(spot, scaling.max_engines - count))
        for row, spot, count in zip(rows, spot_counts, on_demand)
    ]


def _spot_count(row: ZoneSupply) -> int:
    """Return the reclaimable engines that stand or start in a zone."""
    return row.spot + row.spot_starting


def _place_on_demand(
    count: int,
    rows: list[ZoneSupply],
    spot_counts: list[int],
    max_engines: int,
) -> list[int]:
    """Return how many on-demand engines of a count to have in each zone.

    Those that stand or start are kept first.  Then come zones by their
    order, each as far as reclaimable ones leave room: those that are wanted
    where the zone has any to offer, else those that stand and one more, so
    that some can start as soon as there are any.
    """
    on_demand = [0] * len(rows)
    limits = (
        [
            min(
                max_engines - _spot_count(row),
                row.on_demand + row.on_demand_starting,
            )
            for row in rows
        ],
        [
            max_engines
            - (spot if row.spot_available else max(1, _spot_count(row)))
            for row, spot in zip(rows, spot_counts)
        ],
        [max_engines - max(1, _spot_count(row)) for row in rows],
        [max_engines - _spot_count(row) for row in rows],
    )
    for zone_limits in limits:
        for index, limit in enumerate(zone_limits):
            extra = min(count, max(0, limit - on_demand[index]))
            on_demand[index] += extra
            count -= extra
    return on_demand


def _on_demand_needed(
    rows: list[ZoneSupply], load: Load, prefill_rate: float
) -> int:
    """Return how many on-demand engines to have."""
    after_loss = ceil(engines_for(load, prefill_rate, FAILOVER_UTILIZATION))
    if all(row.spot_available for row in rows):
        # What is missing is starting; none needs to be begun beside it.
        missing = max(0, after_loss - sum(row.spot for row in rows))
        return min(missing, sum(row.on_demand for row in rows))
    # Those that start will stand no later than what is ordered now, but
    # until they do nothing is given up for them.
    missing = _shortfall(after_loss, [row.spot for row in rows])
    ordered = sum(row.on_demand + row.on_demand_starting for row in rows)
    expected = [_spot_count(row) for row in rows]
    return max(min(missing, ordered), _shortfall(after_loss, expected))


def _shortfall(needed: int, spot_counts: list[int]) -> int:
    """Return how many engines are lacking once a zone is lost."""
    return max(0, needed - (sum(spot_counts) - max(spot_counts)))


def spot_total(load: Load, prefill_rate: float, zones: int) -> int:
    """Return how many reclaimable engines carry a load.

    The most that stand in one zone are left out of what must do.
    """
    normal = ceil(engines_for(load, prefill_rate, TARGET_UTILIZATION))
    after_loss = ceil(engines_for(load, prefill_rate, FAILOVER_UTILIZATION))
    total = max(normal, after_loss)
    while zones > 1 and total - ceil(total / zones) < after_loss:
        total += 1
    return total


def _distribute(
    zones: int, total: int, min_engines: int, max_engines: int
) -> list[int]:
    """Return counts by zone, the first (cheapest) zones taking the rest.

    >>> _distribute(3, 4, 1, 6)
    [2, 1, 1]
    """
    even, remainder = divmod(total, zones)
    return [
        max(min_engines, min(max_engines, even + (index < remainder)))
        for index in range(zones)
    ]
