"""Counts of requests begun, by window of true time and client account."""

from collections import defaultdict

# Windows kept: the reporting delay is two windows, a take-over takes one.
KEPT_WINDOWS = 6


class UsageCounter:
    """What each run of a process counted; runs tell each other.

    Counts only grow, so that the largest told by a run is its newest.
    """

    __slots__ = ("counts", "window_s")

    def __init__(self, *, window_s: float) -> None:
        self.window_s = window_s
        self.counts: dict[int, dict[tuple[str, str], int]] = {}

    def window(self, at: float) -> int:
        """Return the number of the window at a true time."""
        return int(at // self.window_s)

    def add(self, identity: str, account: str, at: float) -> None:
        """Count one request that began at a true time."""
        counts = self.counts.setdefault(self.window(at), defaultdict(int))
        counts[(identity, account)] += 1

    def merge(
        self, identity: str, account: str, window: int, count: int
    ) -> None:
        """Take in what another run counted."""
        counts = self.counts.setdefault(window, defaultdict(int))
        key = (identity, account)
        counts[key] = max(counts[key], count)

    def counts_for(self, identity: str) -> list[tuple[int, str, int]]:
        """Return (window, account, count) as one run counted them."""
        return [
            (window, account, count)
            for window, counts in self.counts.items()
            for (name, account), count in counts.items()
            if name == identity
        ]

    def totals(self, window: int) -> dict[str, int]:
        """Return the counts of a window over all runs."""
        sums: dict[str, int] = defaultdict(int)
        for (_, account), count in self.counts.get(window, {}).items():
            sums[account] += count
        return dict(sums)

    def forget_before(self, window: int) -> None:
        """Drop windows older than those kept."""
        for old in [key for key in self.counts if key < window]:
            del self.counts[old]
