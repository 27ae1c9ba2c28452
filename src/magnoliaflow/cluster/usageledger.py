"""Counts of usage windows that are fixed on the log before they are sent."""

from math import inf


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
        self._counts.setdefault(window, counts)
        self._on_log.add(window)

    def counts(self, window: int) -> dict[str, int] | None:
        """Return the fixed counts of a window, None if it has none."""
        return self._counts.get(window)

    def begin_era(self, now: float, *, is_sole: bool) -> None:
        """Record that the store went back.

        ``is_sole``: nobody else can have put counts on the log since this
        host did.
        """
        self._on_log.clear()
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

    def forget_before(self, window: int) -> None:
        """Drop the windows before the given one."""
        for old in [key for key in self._counts if key < window]:
            del self._counts[old]
        self._on_log = {key for key in self._on_log if key >= window}
