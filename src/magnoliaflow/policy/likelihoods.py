"""Exact test and likelihood ratio of two shares of bad answers.

They answer small counts, for which a normal law does not hold.
"""

from collections.abc import Iterable
from math import exp
from math import lgamma
from math import log


def log_choose(total: int, part: int) -> float:
    return lgamma(total + 1) - lgamma(part + 1) - lgamma(total - part + 1)


def log_weights(target: int, old: int, bad: int) -> list[tuple[int, float]]:
    """Return (bad answers of the target, log of the ways), given ``bad``."""
    return [
        (count, log_choose(target, count) + log_choose(old, bad - count))
        for count in range(max(0, bad - old), min(target, bad) + 1)
    ]


def log_sum(values: Iterable[float]) -> float:
    values = list(values)
    top = max(values)
    return top + log(sum(exp(value - top) for value in values))


def log_ratio(
    target_bad: int, target: int, old_bad: int, old: int, odds: float
) -> float:
    """Return the log likelihood ratio of ``odds`` against like versions.

    >>> round(exp(log_ratio(1, 2, 0, 70, 25.0)), 1)
    15.0
    """
    bad = target_bad + old_bad
    if not bad or not target or not old or bad == target + old:
        return 0.0
    weights = log_weights(target, old, bad)
    tilted = log_sum(way + count * log(odds) for count, way in weights)
    return target_bad * log(odds) + log_choose(target + old, bad) - tilted


def tail(target_bad: int, target: int, old_bad: int, old: int) -> float:
    """Return the chance of as many bad answers if both versions are alike.

    >>> round(tail(2, 2, 0, 2), 3)
    0.167
    """
    bad = target_bad + old_bad
    ways = [
        way
        for count, way in log_weights(target, old, bad)
        if count >= target_bad
    ]
    return exp(log_sum(ways) - log_choose(target + old, bad))
