"""Log of unexpected errors in loops that go on after them."""

from collections.abc import Callable
from traceback import format_exception

from magnoliaflow.common.clocks import boot_time

# A fault that goes on is logged again at this interval.
REPEAT_INTERVAL_S = 10.0
MAX_TRACEBACK_CHARS = 2000


class FaultLog:
    """Reports errors by the place in which they occurred.

    ``report`` is called with the place, the end of the traceback and the
    number of errors there that were not reported before.
    """

    __slots__ = ("last_report_at", "report", "unreported")

    def __init__(self, report: Callable[[str, str, int], None]) -> None:
        self.report = report
        self.last_report_at: dict[str, float] = {}
        self.unreported: dict[str, int] = {}

    def record(self, place: str, exc: BaseException) -> None:
        """Record an error; report the first and then one an interval."""
        now = boot_time()
        count = self.unreported.get(place, 0) + 1
        self.unreported[place] = count
        last = self.last_report_at.get(place)
        if last is not None and now - last < REPEAT_INTERVAL_S:
            return
        self.last_report_at[place] = now
        self.unreported[place] = 0
        trace = "".join(format_exception(exc))[-MAX_TRACEBACK_CHARS:]
        self.report(place, trace, count)
