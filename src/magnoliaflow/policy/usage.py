"""Request counts by time window and client account.

Answers what takes counts from a report: a holder of the duty that has just
taken over and has not received the others' counts, hosts that are cut off or
suspended when a window ends, and hosts that are killed.
"""

from collections.abc import Iterable
from collections import defaultdict

# Shares of the allowed delay after the end of a window: a report waits for the
# first, so that counts of all hosts arrive, even over a new connection; and up
# to the second for processes whose counts are not complete.
MIN_DELAY_SHARE = 0.4
INCOMPLETE_DELAY_SHARE = 0.75
# Seconds of the allowed delay that are left for the append and the call, one
# of which may fail once.
REPORT_MARGIN_S = 1.0
# A new holder waits this long for counts: the new lease passes three hops of
# reports and views, and the counts come back.
TAKEOVER_S = 2.0
# Hosts that exchange heartbeats with the holder send counts within this time.
MESH_TAKEOVER_S = 1.0

# Number of windows to send: reports are delayed by two windows, and a takeover
# takes one.
KEPT_WINDOWS = 6
# Number of windows to keep, so that a clock that is wrong for a while drops no
# counts: those to send, and as many that the wrong clock named.
MAX_WINDOWS = 2 * KEPT_WINDOWS


class UsageCounter:
    """Requests started, counted separately by each process incarnation.

    Counts only grow, so the largest count received from an incarnation is
    its newest.  ``until`` are the true times up to which counts that were
    received are complete, by incarnation.
    """

    __slots__ = ("_changed", "counts", "until", "window_s")

    def __init__(self, *, window_s: float) -> None:
        self.window_s = window_s
        self._changed: dict[tuple[int, str, str], int] = {}
        self.until: dict[str, float] = {}
        self.counts: dict[int, dict[tuple[str, str], int]] = {}

    def window(self, at: float) -> int:
        """Return the number of the window that contains a true time."""
        return int(at // self.window_s)

    def add(self, identity: str, account: str, at: float) -> None:
        """Count one request that started at a true time."""
        window = self.window(at)
        counts = self.counts.setdefault(window, defaultdict(int))
        self.forget_around(window)
        counts[(identity, account)] += 1
        self._changed[(window, identity, account)] = counts[
            (identity, account)
        ]

    def merge(
        self, identity: str, account: str, window: int, count: int
    ) -> None:
        """Merge a count received from another process incarnation."""
        counts = self.counts.setdefault(window, defaultdict(int))
        key = (identity, account)
        counts[key] = max(counts[key], count)

    def counts_for(
        self, identity: str, first_window: int = 0
    ) -> list[tuple[int, str, int]]:
        """Return the (window, account, count) rows of one incarnation.

        Windows from ``first_window`` on.
        """
        return [
            (window, account, count)
            for window, counts in self.counts.items()
            if window >= first_window
            for (name, account), count in counts.items()
            if name == identity
        ]

    def take_changed(self, identity: str) -> list[tuple[int, str, int]]:
        """Return the rows added to since the last call."""
        rows = [
            (window, account, count)
            for (window, name, account), count in self._changed.items()
            if name == identity
        ]
        self._changed.clear()
        return rows

    def complete(self, identity: str, until: float) -> None:
        """Record that an incarnation's counts are complete up to a time."""
        self.until[identity] = max(until, self.until.get(identity, until))

    def incomplete(self, identities: Iterable[str], window: int) -> set[str]:
        """Return the incarnations whose counts of a window may grow."""
        end = (window + 1) * self.window_s
        return {name for name in identities if self.until.get(name, 0.0) < end}

    def identities(self) -> set[str]:
        """Return the incarnations with a count in any window."""
        return {name for counts in self.counts.values() for name, _ in counts}

    def totals(self, window: int) -> dict[str, int]:
        """Return the counts of a window by account, over all incarnations."""
        sums: dict[str, int] = defaultdict(int)
        for (_, account), count in self.counts.get(window, {}).items():
            sums[account] += count
        return dict(sums)

    def forget_around(self, current: int) -> None:
        """Keep the MAX_WINDOWS windows that are nearest to the current one."""
        if len(self.counts) <= MAX_WINDOWS:
            return
        by_distance = sorted(
            self.counts, key=lambda window: abs(window - current)
        )
        for old in by_distance[MAX_WINDOWS:]:
            del self.counts[old]
        self._changed = {
            key: count
            for key, count in self._changed.items()
            if key[0] in self.counts
        }
        start = min(self.counts) * self.window_s
        self.until = {
            name: until for name, until in self.until.items() if until >= start
        }


def is_report_due(
    now: float,
    end: float,
    delay_s: float,
    held_since: float,
    *,
    is_incomplete: bool,
) -> bool:
    """Return whether to report a window that ended at ``end``.

    Times are true times.  ``held_since``: when the holder got the lease.
    ``is_incomplete``: counts of some process are not complete.
    """
    earliest = end + delay_s * MIN_DELAY_SHARE
    latest = max(
        end + delay_s * INCOMPLETE_DELAY_SHARE, held_since + TAKEOVER_S
    )
    latest = min(latest, end + delay_s - REPORT_MARGIN_S)
    return now >= (max(earliest, latest) if is_incomplete else earliest)
