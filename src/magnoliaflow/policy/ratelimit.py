"""Limit on the rate of prompt tokens admitted to a service's engines.

Guards against overload, when more prompt tokens arrive than the engines can
prefill.  Engines interleave prefill with decoding, so an engine that always
has prompts to read decodes at a tenth of its speed and nearly every answer
is late.  Refusing the excess at once keeps the remaining answers on time.
"""

from magnoliaflow.policy.caps import Bucket
from magnoliaflow.policy.engines import Engine
from magnoliaflow.policy.enginespeeds import MAX_COUNTED_FACTOR

# Admitted share of the engines' prefill rate; a higher one slows running
# answers by more than their latency targets allow.
ADMITTED_SHARE = 1.0
# The same where the rate is learned: the assumed one is below that of most
# engines, a learned one is not.
LEARNED_ADMITTED_SHARE = 0.8
# Burst in seconds of the admission rate: engines can read that much within a
# latency target.
BURST_S = 0.9
# Share of the burst reserved for more urgent requests, by priority.
PRIORITY_RESERVES = (0.0, 0.15, 0.3)
# Nothing is refused while the best engine's queue is shorter than this.
UNLIMITED_QUEUE_S = 0.35
# Bounds of the time after which a refused caller is told to retry: it can then
# still be served on time and does not wait longer than engines take to start.
MIN_RETRY_AFTER_S = 0.25
MAX_RETRY_AFTER_S = 1.5


def set_rate_limit(
    bucket: Bucket,
    engines: list[Engine],
    share: float,
    remembered_rate: float = 0.0,
) -> None:
    """Set the admission rate from the usable engines and the host's share.

    ``remembered_rate`` is what plans count on for each engine, in tokens a
    second, 0 if rates are not learned: queues of an outage lower the learned
    rates and shall not lower what is admitted.
    """
    rate = sum(map(_admitted_rate, engines))
    rate = max(rate, remembered_rate * LEARNED_ADMITTED_SHARE * len(engines))
    bucket.rate = rate
    bucket.burst = rate * BURST_S
    bucket.share = share


def _admitted_rate(engine: Engine) -> float:
    assumed = engine.cfg.prefill_rate
    if not engine.learned_rate:
        return assumed * ADMITTED_SHARE
    counted = min(engine.learned_rate, MAX_COUNTED_FACTOR * assumed)
    return counted * LEARNED_ADMITTED_SHARE


def admit(
    bucket: Bucket, tokens: int, priority: int, queue_s: float, now: float
) -> float:
    """Admit a prompt and return 0, or the seconds after which to retry.

    ``priority`` is that of the route, 0 being the most urgent; ``queue_s``
    is the predicted time to first token at the best engine, without the
    prompt itself.
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
