"""Pace at which prompts are admitted to a service's engines.

The load it answers: more prompt tokens arrive than the engines can read.
An engine reads prompts between the steps of the answers that it gives, so
an engine that always has prompts to read gives its answers at a tenth of
their speed and nearly all of them are late.  Refusing the excess at once
keeps the rest on time.
"""

from collections.abc import Iterable

from magnoliaflow.policy.caps import Bucket
from magnoliaflow.policy.engines import Engine

# Share of the engines' rate that is admitted; at more, the steps of running
# answers stretch by more than their objectives allow.
ADMITTED_SHARE = 1.0
# Seconds of the pace that may be admitted at once: an engine reads that
# much within an objective.
BURST_S = 0.9
# Part of the burst that is kept for more urgent ranks, by rank.
PRIORITY_RESERVES = (0.0, 0.15, 0.3)
# While the best engine's queue is shorter than this nothing is refused.
UNLIMITED_QUEUE_S = 0.35
# Bounds of the time to come back after: a returning caller is still in
# time, and does not wait for longer than engines take to start.
MIN_RETRY_AFTER_S = 0.25
MAX_RETRY_AFTER_S = 1.5


def set_rate_limit(
    bucket: Bucket, engines: Iterable[Engine], share: float
) -> None:
    """Set a host's pace from the engines that take work and its share."""
    rate = sum(engine.cfg.prefill_rate for engine in engines) * ADMITTED_SHARE
    bucket.rate = rate
    bucket.burst = rate * BURST_S
    bucket.share = share


def admit(
    bucket: Bucket, tokens: int, priority: int, queue_s: float, now: float
) -> float:
    """Take a prompt's tokens; return 0, or the seconds to come back after.

    ``rank`` is the route's priority, 0 first; ``queue_s`` is how long the
    best engine will be reading what it has.
    """
    bucket.refill(now)
    capacity = bucket.burst * bucket.share
    reserve = (
        PRIORITY_RESERVES[min(priority, len(PRIORITY_RESERVES) - 1)] * capacity
    )
    if queue_s < UNLIMITED_QUEUE_S or bucket.level - reserve >= min(
        tokens, capacity / 2
    ):
        bucket.level = max(-capacity, bucket.level - tokens)
        return 0.0
    shortfall = reserve + min(tokens, capacity / 2) - bucket.level
    refill_rate = max(1.0, bucket.rate * bucket.share)
    return min(
        MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, shortfall / refill_rate)
    )
