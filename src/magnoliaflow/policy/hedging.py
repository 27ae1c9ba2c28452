"""Second sends of slow requests, within a share that operators set.

Designed for single engines that are slow for a moment or for good while the
others of their service are not.  Where the whole service is slow, a second
send only adds load, so none is made.  After Dean and Barroso, "The Tail at
Scale" (CACM 2013): hedged requests, sent after a high quantile of the usual
time.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from math import inf
from math import log
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

# A second engine is asked once a request takes longer than this share of its
# route's recent requests of its size.
DELAY_PERCENTILE = 95.0
USUAL_PERCENTILE = 50.0
# Times that a class needs before its quantile is used.
MIN_SAMPLES = 20
# Times are forgotten after one to two spans of this length.
SPAN_S = 30.0
# Age up to which a quantile is used without being computed again.
QUANTILE_AGE_S = 1.0
# Unit, range and precision of the times.
TICKS_PER_S = 10_000
MAX_TIME_S = 60
TIME_DIGITS = 2
# A second engine is not asked sooner: its connection takes about this long.
MIN_DELAY_S = 0.01
# Classes of times that a host keeps, about 30 KB each.
MAX_CLASSES = 64
# Window of the limit: a host saves up no more than its share of this time.
WINDOW_S = 10.0
# Weight of one request in the share of requests that outlast their quantile
# and in the mean of their logarithmic times relative to the usual ones.  Above
# either bound the whole service counts as slow.
SLOW_SMOOTHING = 0.08
MAX_OVERDUE_SHARE = 0.35
MAX_SLOWDOWN = log(1.6)
# Bound of one request's logarithmic slowdown, so that no single one decides.
MAX_ONE_SLOWDOWN = log(4.0)
MAX_EXTRA_SHARE = 0.2


class Refused(Enum):
    """Why a request that is slow is not sent a second time."""

    NO_SLOT = "no free engine"
    NOT_SOONER = "not sooner"
    SERVICE_SLOW = "service slow"
    LIMIT = "limit"
    RETRY_BUDGET = "retry budget"
    NOT_ALLOWED = "not allowed"


class TimeClass(NamedTuple):
    """Requests whose times are alike; an empty route stands for all."""

    service: str
    route: str
    size: int


def size_class(uncached_tokens: int) -> int:
    """Return the class of a size; each spans a factor of four.

    >>> size_class(1), size_class(3), size_class(4), size_class(4000)
    (0, 0, 1, 5)
    """
    return (max(1, uncached_tokens).bit_length() - 1) // 2


@dataclass(frozen=True, slots=True)
class UsualTimes:
    """Quantiles in seconds of a class of requests."""

    usual_s: float
    delay_s: float


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_TIME_S * TICKS_PER_S, TIME_DIGITS)


class RecentTimes:
    """Histogram of the times of one to two spans."""

    __slots__ = ("computed_at", "current", "former", "started_at", "times")

    def __init__(self, now: float) -> None:
        self.current = _new_histogram()
        self.former = _new_histogram()
        self.started_at = now
        self.computed_at = -inf
        self.times: UsualTimes | None = None

    def record(self, seconds: float, now: float) -> None:
        """Add the time of one request."""
        self._rotate(now)
        bounded_s = min(MAX_TIME_S, max(0.0, seconds))
        self.current.record_value(max(1, int(bounded_s * TICKS_PER_S)))

    def usual(self, now: float) -> UsualTimes | None:
        """Return the quantiles, None while there are too few times."""
        if now - self.computed_at >= QUANTILE_AGE_S:
            self._rotate(now)
            self.computed_at = now
            self.times = self._compute()
        return self.times

    def _rotate(self, now: float) -> None:
        age_s = now - self.started_at
        if age_s < SPAN_S:
            return
        self.former = _new_histogram()
        if age_s < 2 * SPAN_S:
            self.former = self.current
        self.current = _new_histogram()
        self.started_at = now

    def _compute(self) -> UsualTimes | None:
        if (
            self.current.get_total_count() + self.former.get_total_count()
            < MIN_SAMPLES
        ):
            return None
        both = _new_histogram()
        both.add(self.current)
        both.add(self.former)
        usual, delay = (
            both.get_value_at_percentile(percentile) / TICKS_PER_S
            for percentile in (USUAL_PERCENTILE, DELAY_PERCENTILE)
        )
        return UsualTimes(usual, max(MIN_DELAY_S, delay))


class TimeBook:
    """Recent times by class, the least recently used are dropped."""

    __slots__ = ("classes",)

    def __init__(self) -> None:
        self.classes: OrderedDict[TimeClass, RecentTimes] = OrderedDict()

    def record(self, key: TimeClass, seconds: float, now: float) -> None:
        """Add a request's time to its route's class and its service's."""
        for name in (key, key._replace(route="")):
            times = self.classes.get(name)
            if times is None:
                times = self.classes[name] = RecentTimes(now)
            self.classes.move_to_end(name)
            times.record(seconds, now)
        while len(self.classes) > MAX_CLASSES:
            self.classes.popitem(last=False)

    def usual(self, key: TimeClass, now: float) -> UsualTimes | None:
        """Return the quantiles of a route's class, else of its service's."""
        for name in (key, key._replace(route="")):
            times = self.classes.get(name)
            usual = None if times is None else times.usual(now)
            if usual is not None:
                return usual
        return None


@dataclass(slots=True)
class ExtraSends:
    """Second sends of one service at one host.

    ``balance`` is earned by first sends and starts at 0, so that the hosts
    together never make more than the share of their first sends.  It is
    bounded by the share of the sends in the last window, or 1 if that is
    less.  ``overdue_share`` and ``slowdown`` tell whether all its engines
    are slow, the latter as a natural logarithm.
    """

    share: float
    balance: float = 0.0
    window_at: float = -inf
    sends: int = 0
    former_sends: int = 0
    overdue_share: float = 0.0
    slowdown: float = 0.0

    def earn(self, now: float) -> None:
        """Credit a first send."""
        if now - self.window_at >= WINDOW_S:
            recent = now - self.window_at < 2 * WINDOW_S
            self.former_sends = self.sends if recent else 0
            self.window_at, self.sends = now, 0
        self.sends += 1
        most = max(1.0, self.share * max(self.sends, self.former_sends))
        self.balance = min(most, self.balance + self.share)

    def spend(self) -> bool:
        """Take one second send; return False if none is left."""
        # Shares such as 0.05 have no exact binary form.
        if self.balance < 1.0 - 1e-9:
            return False
        self.balance -= 1.0
        return True

    def record_overdue(self, is_overdue: bool) -> None:
        """Count a request that is over its quantile, or answered before."""
        self.overdue_share += SLOW_SMOOTHING * (
            float(is_overdue) - self.overdue_share
        )

    def record_slowdown(self, ratio: float) -> None:
        """Count a request's time relative to the usual one."""
        one = min(MAX_ONE_SLOWDOWN, max(-MAX_ONE_SLOWDOWN, log(ratio)))
        self.slowdown += SLOW_SMOOTHING * (one - self.slowdown)

    def is_slow(self) -> bool:
        """Return whether the whole service is slow."""
        return (
            self.overdue_share > MAX_OVERDUE_SHARE
            or self.slowdown > MAX_SLOWDOWN
        )


class Hedging:
    """Decides at one host which requests are sent a second time."""

    __slots__ = ("book", "services", "share")

    def __init__(self, share: float) -> None:
        self.share = share
        self.book = TimeBook()
        self.services: dict[str, ExtraSends] = {}

    def service(self, name: str) -> ExtraSends:
        """Return the second sends of a service."""
        if name not in self.services:
            self.services[name] = ExtraSends(self.share)
        return self.services[name]

    def record_first_send(self, service: str, now: float) -> None:
        """Count the first send of a request, of whatever kind."""
        self.service(service).earn(now)

    def record_overdue(self, service: str) -> None:
        """Count a request that takes longer than its quantile."""
        self.service(service).record_overdue(is_overdue=True)

    def record_time(
        self, key: TimeClass, seconds: float, now: float, *, counted: bool
    ) -> None:
        """Record a request's time; ``counted`` if it counts as overdue."""
        usual = self.book.usual(key, now)
        if usual is not None:
            service = self.service(key.service)
            service.record_slowdown(max(1e-3, seconds) / usual.usual_s)
            if not counted:
                service.record_overdue(seconds > usual.delay_s)
        self.book.record(key, seconds, now)

    def spend(self, service: str) -> bool:
        """Take one second send from the limit."""
        return self.service(service).spend()

    def objection(
        self,
        service: str,
        *,
        elapsed_s: float,
        predicted_s: float,
        has_slot: bool,
    ) -> Refused | None:
        """Return why a second engine is not asked, None if it is.

        A request that has taken a time without an answer is expected to take
        about that time again, so the second engine has to be sooner.
        """
        if self.service(service).is_slow():
            return Refused.SERVICE_SLOW
        if not has_slot:
            return Refused.NO_SLOT
        if predicted_s >= elapsed_s:
            return Refused.NOT_SOONER
        return None
