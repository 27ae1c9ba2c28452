"""When to read a listing of all engines, and what it may change.

After the store went back, a listing may lack engines that have not written
their entries again yet, and hold copies of entries of engines that have left.
"""

from math import inf

# Time after the first listing of an era until engines that it lacks count as
# gone: a live engine writes its entry again within two seconds.
REWRITE_S = 2.0


class ListingSchedule:
    """Listings of one host.  Times are in seconds of its clock.

    ``lapse_s`` is the time after which the entry of a silent engine lapses.
    """

    __slots__ = ("_again_at", "_first_at", "era", "is_due", "lapse_s")

    def __init__(self, *, lapse_s: float) -> None:
        self.lapse_s = lapse_s
        self.era = 0
        self.is_due = True
        self._again_at = inf
        self._first_at = -inf

    def observe_era(self, era: int, now: float, spread_s: float) -> None:
        """Read a listing in an era of the store, after ``spread_s``."""
        if era > self.era and self._again_at == inf:
            self._again_at = now + spread_s
        if now >= self._again_at:
            self._again_at = inf
            self.is_due = True

    def begin(self, era: int, began_at: float) -> None:
        """Record a listing that was read in an era."""
        if era > self.era:
            self._first_at = began_at
        self.era = era
        self.is_due = False
        self._again_at = inf

    def entries_are_alive(self, began_at: float) -> bool:
        """Return whether entries of engines that left would have lapsed."""
        return began_at >= self._first_at + REWRITE_S + self.lapse_s

    def finish(
        self, began_at: float, *, any_missing: bool, any_returned: bool
    ) -> bool:
        """Return whether engines that the listing lacks are gone.

        ``any_missing``: it lacks a known engine; ``any_returned``: it has one
        that is known to be gone.
        """
        if any_missing and began_at < self._first_at + REWRITE_S:
            self._again_at = self._first_at + REWRITE_S
            return False
        if any_returned and not self.entries_are_alive(began_at):
            self._again_at = self._first_at + REWRITE_S + self.lapse_s
        return True
