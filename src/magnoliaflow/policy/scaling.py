"""Number of engines of each kind to run in each availability zone.

Guards against the reclaim of all reclaimable engines of a zone during a peak,
with less notice than a new engine takes to start, followed by a shortage of
reclaimable capacity.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

from magnoliaflow.policy.enginespeeds import SpeedSummary
from magnoliaflow.policy.routes import Scaling

# Planned utilization of an engine's prefill rate; the rest absorbs bursts,
# which double the load for a second or two.
TARGET_UTILIZATION = 0.6
# Maximum utilization in the seconds after the loss of a zone.
FAILOVER_UTILIZATION = 0.85
# Hysteresis: engines are stopped only if fewer would also carry this multiple
# of the load, so that a load near a threshold does not start and stop engines.
SCALE_DOWN_LOAD_FACTOR = 1.2
# Concurrent requests at which an engine still meets its token latency.
TARGET_RUNNING = 28
# Share of an engine's slots that a plan fills: the rest absorbs bursts.
# Requests that wait at an engine count as running in an outage.
TARGET_SLOTS_SHARE = 0.85
# Share of the learned rates that a plan counts on: engines read prompts
# between the tokens of the answers that they write.
LEARNED_SHARE = 0.9
# Effect of the spread of the learned rates, and its bound.
SPREAD_WEIGHT = 0.5
MIN_SPREAD_FACTOR = 0.5
# On-demand engines kept for a service that was never used, for callers that
# arrive before its reclaimable engines run.
NEW_SERVICE_ON_DEMAND = 1


@dataclass(frozen=True, slots=True)
class ZoneSupply:
    """Engines of one service in a zone, running and starting.

    ``spot`` counts reclaimable engines.  ``spot_available`` is set unless
    the zone is known to lack reclaimable capacity.
    """

    zone: str
    on_demand: int
    spot: int
    spot_available: bool
    on_demand_starting: int = 0
    spot_starting: int = 0


@dataclass(frozen=True, slots=True)
class Load:
    """Prompt tokens per second and concurrent requests."""

    tokens_per_s: float
    running: float


@dataclass(frozen=True, slots=True)
class Capacity:
    """What one engine carries: prompt tokens a second and requests at once."""

    tokens_per_s: float
    running: float = TARGET_RUNNING


@dataclass(frozen=True, slots=True)
class ZoneTarget:
    """Target numbers of engines in a zone."""

    zone: str
    on_demand: int
    spot: int


def engines_for(load: Load, each: Capacity, utilization: float) -> float:
    """Return the engines needed for a load at a prefill utilization."""
    for_prefill = load.tokens_per_s / (each.tokens_per_s * utilization)
    return max(1.0, for_prefill, load.running / each.running)


def planned_rate(speeds: SpeedSummary) -> float:
    """Return the tokens a second that a plan counts on for each engine.

    Sends do not follow the engines' speed exactly, so that engines of
    different speed carry less than their mean rate.
    """
    margin = max(MIN_SPREAD_FACTOR, 1.0 - SPREAD_WEIGHT * speeds.spread)
    return speeds.mean * LEARNED_SHARE * margin


def target_running(slots: int) -> float:
    """Return the requests at once that a plan counts on for each engine."""
    if not slots:
        return TARGET_RUNNING
    return max(1.0, min(TARGET_RUNNING, slots * TARGET_SLOTS_SHARE))


def plan_engines(
    scaling: Scaling,
    supplies: Iterable[ZoneSupply],
    load: Load,
    prefill_rate: float,
    *,
    running: float = TARGET_RUNNING,
    previous_spot: int = 0,
    recent: Load | None = None,
    never_used: bool = False,
    load_uncertain: bool = False,
) -> list[ZoneTarget]:
    """Return the target numbers of engines in each zone.

    Reclaimable engines carry the load, with enough to spare to lose those
    of any one zone.  Both kinds take equally long to start, so on-demand
    engines are ordered only during a shortage of reclaimable capacity and
    are kept until enough reclaimable engines run.

    ``previous_spot`` is the previous total of reclaimable engines; it is
    lowered only if fewer would also carry a load that is higher by
    ``SCALE_DOWN_LOAD_FACTOR``.  ``recent`` is the load to plan on-demand
    engines for, if it differs: they cost several times as much and are
    kept for a shorter time after a peak.  ``running`` is how many requests
    an engine runs at once and still meets its token latency.
    ``never_used`` says that the service has had no request, so that
    reclaimable engines are expected to run before the first one.
    ``load_uncertain`` says that the load may be higher than known.
    """
    by_price = sorted(
        supplies,
        key=lambda supply: (
            scaling.zone_prices.get(supply.zone, 1.0),
            supply.zone,
        ),
    )
    if not by_price:
        return []
    each = Capacity(prefill_rate, running)
    total = spot_total(load, each, len(by_price))
    if total < previous_spot:
        raised_load = Load(
            load.tokens_per_s * SCALE_DOWN_LOAD_FACTOR,
            load.running * SCALE_DOWN_LOAD_FACTOR,
        )
        total = min(
            previous_spot, spot_total(raised_load, each, len(by_price))
        )
    spot_counts = _distribute(
        len(by_price), total, scaling.min_engines, scaling.max_engines
    )
    missing = _on_demand_needed(by_price, recent or load, each)
    if never_used:
        missing = min(missing, NEW_SERVICE_ON_DEMAND)
    if (
        missing
        or load_uncertain
        or not all(supply.spot_available for supply in by_price)
    ):
        # Keep running engines: do not stop them in one zone to start others
        # in another, nor while lost ones cannot be replaced.
        spot_counts = [
            max(spot, _spot_count(supply))
            for spot, supply in zip(spot_counts, by_price)
        ]
    on_demand = _place_on_demand(
        missing, by_price, spot_counts, scaling.max_engines
    )
    return [
        ZoneTarget(supply.zone, count, min(spot, scaling.max_engines - count))
        for supply, spot, count in zip(by_price, spot_counts, on_demand)
    ]


def _spot_count(supply: ZoneSupply) -> int:
    """Return the reclaimable engines that run or start in a zone."""
    return supply.spot + supply.spot_starting


def _place_on_demand(
    count: int,
    supplies: list[ZoneSupply],
    spot_counts: list[int],
    max_engines: int,
) -> list[int]:
    """Distribute a number of on-demand engines over the zones.

    Engines that run or start are kept first.  The rest is placed in the
    order of the zones, each up to ``max_engines`` less the reclaimable
    engines: the planned ones where the zone has capacity, else the
    running and starting ones, with room for at least one, so that one can
    start as soon as there is capacity.  Later passes relax these limits.
    """
    on_demand = [0] * len(supplies)
    limits = (
        [
            min(
                max_engines - _spot_count(supply),
                supply.on_demand + supply.on_demand_starting,
            )
            for supply in supplies
        ],
        [
            max_engines
            - (spot if supply.spot_available else max(1, _spot_count(supply)))
            for supply, spot in zip(supplies, spot_counts)
        ],
        [max_engines - max(1, _spot_count(supply)) for supply in supplies],
        [max_engines - _spot_count(supply) for supply in supplies],
    )
    for zone_limits in limits:
        for index, limit in enumerate(zone_limits):
            extra = min(count, max(0, limit - on_demand[index]))
            on_demand[index] += extra
            count -= extra
    return on_demand


def _on_demand_needed(
    supplies: list[ZoneSupply], load: Load, each: Capacity
) -> int:
    """Return the number of on-demand engines needed."""
    after_loss = ceil(engines_for(load, each, FAILOVER_UTILIZATION))
    if all(supply.spot_available for supply in supplies):
        # The missing reclaimable engines are starting: keep on-demand ones
        # for them, but order none.
        missing = max(0, after_loss - sum(supply.spot for supply in supplies))
        return min(missing, sum(supply.on_demand for supply in supplies))
    # Starting engines will run no later than engines ordered now, so none is
    # ordered in their place; but none is stopped until they run.
    missing = _shortfall(after_loss, [supply.spot for supply in supplies])
    ordered = sum(
        supply.on_demand + supply.on_demand_starting for supply in supplies
    )
    expected = [_spot_count(supply) for supply in supplies]
    return max(min(missing, ordered), _shortfall(after_loss, expected))


def _shortfall(needed: int, spot_counts: list[int]) -> int:
    """Return how many engines are missing if the largest zone is lost."""
    return max(0, needed - (sum(spot_counts) - max(spot_counts)))


def spot_total(load: Load, each: Capacity, zones: int) -> int:
    """Return the reclaimable engines needed for a load.

    They carry it even after the loss of the largest zone.
    """
    normal = ceil(engines_for(load, each, TARGET_UTILIZATION))
    after_loss = ceil(engines_for(load, each, FAILOVER_UTILIZATION))
    total = max(normal, after_loss)
    while zones > 1 and total - ceil(total / zones) < after_loss:
        total += 1
    return total


def _distribute(
    zones: int, total: int, min_engines: int, max_engines: int
) -> list[int]:
    """Return counts by zone; the first (cheapest) take the remainder.

    >>> _distribute(3, 4, 1, 6)
    [2, 1, 1]
    """
    even, remainder = divmod(total, zones)
    return [
        max(min_engines, min(max_engines, even + (index < remainder)))
        for index in range(zones)
    ]
