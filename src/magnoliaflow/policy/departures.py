"""Runs of engines that have said in an answer that they leave."""

from collections import OrderedDict

# Runs kept; a larger deployment forgets those that left first.
MAX_DEPARTURES = 8192


class Departures:
    """Names of the runs of engines that leave, in the order of their word.

    A run does not come back: what the engine registers later under the same
    name and start is written by a run that leaves.
    """

    __slots__ = ("_runs",)

    def __init__(self) -> None:
        self._runs: OrderedDict[str, float] = OrderedDict()

    def __contains__(self, run: str) -> bool:
        return run in self._runs

    def record(self, run: str, now: float) -> bool:
        """Record a run that leaves; return False if it was known to."""
        if run in self._runs:
            return False
        self._runs[run] = now
        if len(self._runs) > MAX_DEPARTURES:
            self._runs.popitem(last=False)
        return True
