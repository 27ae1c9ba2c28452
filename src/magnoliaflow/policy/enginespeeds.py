"""Prefill rates of engines, learned from the time to the first token.

Guards against engines of different and unknown speed, some of which are slow
for half a second at a time, where a host sends each engine a request only
every few seconds: what hosts learn is added up over all of them.

A sample is the natural logarithm of a rate in prompt tokens per second,
relative to ``REFERENCE_RATE``.  Samples far from what is known count with a
bounded deviation (Huber 1964, "Robust Estimation of a Location Parameter"),
so that queues and cached parts that no host knows of shift a rate little.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import exp
from math import inf
from math import log
from statistics import fmean
from statistics import median
from statistics import pstdev

# Rate of an engine while nothing is known, in prompt tokens a second.
REFERENCE_RATE = 30_000.0
# Bounds of a sample: what is beyond comes from a cached prompt or a fault.
MIN_RATE = 2_000.0
MAX_RATE = 400_000.0
# Time to a first token besides prefill: the way there and back, a connection
# and one decoding step.
FIXED_S = 0.02
# Shorter prompts show the fixed time rather than the rate.
MIN_TOKENS = 1_500
# A sample of this many tokens counts once, a longer one up to three times.
FULL_WEIGHT_TOKENS = 2_000
MAX_WEIGHT = 3.0
# Largest deviation with which a sample counts, as a logarithm: while little
# is known of an engine, and later.
FIRST_DEVIATION = 1.5
DEVIATION = 0.3
# Weight of samples with which an engine counts as known.
KNOWN_WEIGHT = 6.0
# Weight of the service's other engines in the rate of one.
PRIOR_WEIGHT = 2.0
# Half-life of samples: several of the half seconds in which an engine may be
# slow, and less than a reclaimed engine takes to be replaced twice.
HALF_LIFE_S = 6.0
# Factor of evidence as integers between hosts, and the least weight sent.
SCALE = 100
MIN_SENT_WEIGHT = 0.2
# Plans and admission count on this multiple of the assumed rate at most.
MAX_COUNTED_FACTOR = 3.0
# Routes with a longer target between events do not call for learned rates.
MAX_GAP_TARGET_S = 0.5


@dataclass(slots=True)
class Evidence:
    """Decaying sums of weights and weighted samples of one engine's run."""

    weight: float = 0.0
    total: float = 0.0
    updated_at: float = -inf

    def add(self, sample: float, weight: float, now: float) -> None:
        """Add a sample with a weight."""
        self.weight, self.total = self.current(now)
        self.updated_at = now
        self.weight += weight
        self.total += weight * sample

    def current(self, now: float) -> tuple[float, float]:
        """Return the sums, decayed until now."""
        if self.updated_at == -inf:
            return 0.0, 0.0
        factor = 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_S)
        return self.weight * factor, self.total * factor

    def scaled(self, now: float) -> tuple[int, int]:
        """Return the sums as integers for other hosts, 0 for a low weight."""
        weight, total = self.current(now)
        if weight < MIN_SENT_WEIGHT:
            return 0, 0
        return round(weight * SCALE), round(total * SCALE)


@dataclass(frozen=True, slots=True)
class SpeedSummary:
    """Learned rates of a service's engines, in prompt tokens per second.

    ``spread`` is the standard deviation as a share of the mean, ``known``
    the number of engines with enough samples of their own.
    """

    lowest: float
    median: float
    highest: float
    mean: float
    spread: float
    known: int


def learns_speeds(gap_targets_s: Iterable[float]) -> bool:
    """Return whether a service's routes call for learned rates.

    ``gap_targets_s`` are the routes' targets between events, 0 for none.
    """
    return any(0 < target_s <= MAX_GAP_TARGET_S for target_s in gap_targets_s)


def speed_sample(
    tokens: float, elapsed_s: float, expected: float, known: float
) -> tuple[float, float] | None:
    """Return the sample and the weight of one first token, None if unusable.

    ``tokens`` are the prompt's uncached ones and those queued ahead of it,
    ``expected`` is the engine's rate as far as it is known and ``known`` the
    weight of the samples behind it.
    """
    read_s = elapsed_s - FIXED_S
    if tokens < MIN_TOKENS or read_s <= 0:
        return None
    rate = tokens / read_s
    if not MIN_RATE <= rate <= MAX_RATE:
        return None
    bound = DEVIATION if known >= KNOWN_WEIGHT else FIRST_DEVIATION
    centre = log(expected / REFERENCE_RATE)
    deviation = log(rate / expected)
    sample = centre + max(-bound, min(bound, deviation))
    return sample, min(MAX_WEIGHT, tokens / FULL_WEIGHT_TOKENS)


def service_prior(evidence: Iterable[tuple[float, float]]) -> float | None:
    """Return the sample that is assumed of an engine without its own.

    It is the median over the engines that are known, None without any.
    """
    known = [
        total / weight for weight, total in evidence if weight >= KNOWN_WEIGHT
    ]
    return median(known) if known else None


def learned_rate(weight: float, total: float, prior: float | None) -> float:
    """Return an engine's rate from its evidence and the others' median.

    It is 0 while neither is known.
    """
    if prior is None:
        return rate_of(total / weight) if weight >= KNOWN_WEIGHT else 0.0
    weight = max(0.0, weight)
    return rate_of(
        (total + prior * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT)
        if weight
        else prior
    )


def rate_of(sample: float) -> float:
    """Return the prompt tokens per second that a sample stands for."""
    return min(MAX_RATE, max(MIN_RATE, REFERENCE_RATE * exp(sample)))


def summarize(rates: list[float], known: int) -> SpeedSummary | None:
    """Return the summary of engines' learned rates, None without any."""
    if not rates:
        return None
    mean = fmean(rates)
    return SpeedSummary(
        min(rates),
        median(rates),
        max(rates),
        mean,
        pstdev(rates) / mean,
        known,
    )
