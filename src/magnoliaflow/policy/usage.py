"""Request counts by time window and client account."""

from collections import defaultdict

# Number of windows to keep: reports are delayed by two windows, and a takeover
# takes one.
KEPT_WINDOWS = 6


class UsageCounter:
    """Requests started, counted separately by each process incarnation.

    Counts only grow, so the largest count received from an incarnation is
    its newest.
    """

    __slots__ = ("counts", "window_s")

    def __init__(self, *, window_s: float) -> None:
        self.window_s = window_s
        self.counts: dict[int, dict[tuple[str, str], int]] = {}

    def window(self, at: float) -> int:
        """Return the number of the window that contains a true time."""
        return int(at // self.window_s)

    def add(self, identity: str, account: str, at: float) -> None:
        """Count one request that started at a true time."""
        counts = self.counts.setdefault(self.window(at), defaultdict(int))
        counts[(identity, account)] += 1

    def merge(
        self, identity: str, account: str, window: int, count: int
    ) -> None:
        """Merge a count received from another process incarnation."""
        counts = self.counts.setdefault(window, defaultdict(int))
        key = (identity, account)
        counts[key] = max(counts[key], count)

    def counts_for(self, identity: str) -> list[tuple[int, str, int]]:
        """Return the (window, account, count) rows of one incarnation."""
        return [
            (window, account, count)
            for window, counts in self.counts.items()
            for (name, account), count in counts.items()
            if name == identity
        ]

    def identities(self) -> set[str]:
        """Return the incarnations with a count in any window."""
        return {name for counts in self.counts.values() for name, _ in counts}

    def totals(self, window: int) -> dict[str, int]:
        """Return the counts of a window by account, over all incarnations."""
        sums: dict[str, int] = defaultdict(int)
        for (_, account), count in self.counts.get(window, {}).items():
            sums[account] += count
        return dict(sums)

    def forget_before(self, window: int) -> None:
        """Drop the windows before the given one."""
        for old in [key for key in self.counts if key < window]:
            del self.counts[old]
