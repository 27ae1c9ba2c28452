"""Counts of usage windows that are fixed on the log before they are sent."""

from math import inf

# Number of windows to keep, those that were recorded last: no clock decides
# what is forgotten, as a wrong one would let a window be reported again.  More
# than twice the windows that a holder may report.  Twice as many with those
# that the store has lost.
MAX_RECORDS = 16


class UsageLedger:
    """Counts by window, as they were first put on the log.

    Counts that were sent never change.  After the store went back, counts of
    this host's memory are put on the log again, and windows whose counts may
    have been lost are left out.  Times are true times in seconds.
    """

    __slots__ = ("_counts", "_lost_until", "_on_log")

    def __init__(self) -> None:
        self._counts: dict[int, dict[str, int]] = {}
        self._on_log: set[int] = set()
        self._lost_until = -inf

    def record(self, window: int, counts: dict[str, int]) -> None:
        """Record counts that are on the log; the first ones stay."""
        self._counts[window] = self._counts.pop(window, counts)
        self._on_log.add(window)
        if len(self._on_log) > MAX_RECORDS:
            # Not those to be put on the log again: it is read from its
            # beginning when the store has gone back.
            oldest = next(key for key in self._counts if key in self._on_log)
            del self._counts[oldest]
            self._on_log.discard(oldest)

    def counts(self, window: int) -> dict[str, int] | None:
        """Return the fixed counts of a window, None if it has none."""
        return self._counts.get(window)

    def begin_era(self, now: float, *, is_sole: bool) -> None:
        """Record that the store went back.

        ``is_sole``: no other host can have put counts on the log since this
        host did.
        """
        self._on_log.clear()
        for old in list(self._counts)[: -2 * MAX_RECORDS]:
            del self._counts[old]
        if not is_sole:
            self._lost_until = max(self._lost_until, now)

    def missing(self) -> list[tuple[int, dict[str, int]]]:
        """Return windows and counts that are to be put on the log again."""
        return [
            (window, self._counts[window])
            for window in sorted(self._counts.keys() - self._on_log)
        ]

    def may_be_lost(self, due_at: float) -> bool:
        """Return whether a window that was due then may have been sent.

        It may unless its counts are known.
        """
        return due_at <= self._lost_until
