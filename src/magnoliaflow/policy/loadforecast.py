"""Forecast of a service's load when engines ordered now will run.

Answers load that rises and falls in waves while an engine takes seconds to
start, and seconds of outage in which callers come again: plans that follow
the highest load of the last waves order for what is over.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from statistics import fmean

from magnoliaflow.policy.scaling import Load

# The load of now, and that which it is compared with, as ages in seconds.
NOW_S = 2.0
BEFORE_S = (4.0, 7.0)
# A rise is expected to go on for one boot time, up to this share.
MAX_RISE = 0.3
# Share of the learned rates' samples that lie below the one planned with:
# queues that no host sees lower all samples of an outage.
RATE_QUANTILE = 0.75
# Time for which plans count on what was learned before.
RATE_MEMORY_S = 40.0


@dataclass(frozen=True, slots=True)
class Sample:
    """A value at a time in seconds."""

    at: float
    value: float


def forecast(
    samples: Iterable[tuple[float, Load]], now: float, ahead_s: float
) -> Load:
    """Return the load expected in ``ahead_s`` seconds.

    ``samples`` are loads and their times.  A fall is not extrapolated.
    """
    samples = list(samples)
    recent = [load for at, load in samples if at >= now - NOW_S]
    before = [
        load
        for at, load in samples
        if now - BEFORE_S[1] <= at <= now - BEFORE_S[0]
    ]
    if not recent:
        return Load(0.0, 0.0)
    return Load(
        _rising(
            [load.tokens_per_s for load in recent],
            [load.tokens_per_s for load in before],
            ahead_s,
        ),
        fmean(load.running for load in recent),
    )


def _rising(recent: list[float], before: list[float], ahead_s: float) -> float:
    """Return the mean of now, raised by the trend over the time ahead."""
    mean = fmean(recent)
    if not before:
        return mean
    span_s = (sum(BEFORE_S) - NOW_S) / 2.0
    rise = max(0.0, mean - fmean(before)) / span_s * ahead_s
    return mean + min(rise, MAX_RISE * mean)


def remembered_rate(samples: Iterable[Sample]) -> float:
    """Return the rate to plan with, from the means of the last seconds."""
    values = sorted(sample.value for sample in samples)
    return values[min(len(values) - 1, int(RATE_QUANTILE * len(values)))]
