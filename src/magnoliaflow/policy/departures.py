"""Runs of engines that have said in an answer that they leave."""

from collections import OrderedDict
from itertools import islice
from itertools import takewhile
from math import inf

# Runs kept; a larger deployment forgets those that left first.
MAX_DEPARTURES = 8192
# Runs are passed on for this long, and so many of the latest at once.  By then
# the platform's list has them, or all hosts do.
SHARED_S = 10.0
MAX_SHARED = 32


class Departures:
    """Names of the runs of engines that leave, in the order of their word.

    A run does not come back: what the engine registers later under the same
    name and start is written by a run that leaves.
    """

    __slots__ = ("_runs", "changed_at")

    def __init__(self) -> None:
        self._runs: OrderedDict[str, float] = OrderedDict()
        self.changed_at = -inf

    def __contains__(self, run: str) -> bool:
        return run in self._runs

    def record(self, run: str, now: float) -> bool:
        """Record a run that leaves; return False if it was known to."""
        if run in self._runs:
            return False
        self._runs[run] = self.changed_at = now
        if len(self._runs) > MAX_DEPARTURES:
            self._runs.popitem(last=False)
        return True

    def forget(self, run: str) -> None:
        """Forget a run that cannot be told from the next one."""
        self._runs.pop(run, None)

    def recent(self, now: float) -> tuple[str, ...]:
        """Return the latest runs, for the other hosts."""
        latest = takewhile(
            lambda item: now - item[1] < SHARED_S, reversed(self._runs.items())
        )
        return tuple(run for run, _ in islice(latest, MAX_SHARED))
