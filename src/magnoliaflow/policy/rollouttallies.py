"""Counts of requests to two versions, over all hosts.

They arrive late and add up in any order; a host that ends takes its counts
along.
"""

from dataclasses import dataclass
from dataclasses import field
from itertools import zip_longest
from math import log2

# Latencies: class 0 ends at FIRST_CLASS_S, each further one lasts longer by
# a third of an octave, the last has no end.
FIRST_CLASS_S = 0.002
CLASSES_AN_OCTAVE = 3
LATENCY_CLASSES = 52


@dataclass(slots=True)
class VersionTally:
    """Requests of one route to one side, since the order, over all hosts.

    ``finished`` holds the failed ones too; ``latencies`` counts finished
    answers by class.
    """

    sent: int = 0
    finished: int = 0
    failed: int = 0
    running: int = 0
    latencies: list[int] = field(default_factory=lambda: [0] * LATENCY_CLASSES)

    def add(self, other: "VersionTally") -> None:
        self.sent += other.sent
        self.finished += other.finished
        self.failed += other.failed
        self.running += other.running
        width = max(len(self.latencies), len(other.latencies))
        self.latencies += [0] * (width - len(self.latencies))
        for number, count in enumerate(other.latencies):
            if count:
                self.latencies[number] += count

    def copy(self) -> "VersionTally":
        return VersionTally(
            self.sent,
            self.finished,
            self.failed,
            self.running,
            list(self.latencies),
        )

    def less(self, other: "VersionTally") -> "VersionTally":
        return VersionTally(
            self.sent - other.sent,
            self.finished - other.finished,
            self.failed - other.failed,
            self.running,
            [
                mine - others
                for mine, others in zip_longest(
                    self.latencies, other.latencies, fillvalue=0
                )
            ],
        )

    def grown(self, before: "VersionTally") -> "VersionTally":
        """Return the growth since ``before``; nothing if a count fell.

        A count falls when the host that reported it has ended.
        """
        grown = self.less(before)
        least = min(grown.sent, grown.finished, grown.failed, *grown.latencies)
        return VersionTally(running=self.running) if least < 0 else grown


# By route name, and whether it is the target's side.
Tallies = dict[tuple[str, bool], VersionTally]


def latency_class(seconds: float) -> int:
    """Return the class of a latency, below LATENCY_CLASSES.

    >>> [latency_class(s) for s in (0, 0.002, 0.025, 0.5, 2.0, 1e9)]
    [0, 0, 11, 24, 30, 51]
    """
    if seconds <= FIRST_CLASS_S:
        return 0
    steps = CLASSES_AN_OCTAVE * log2(seconds / FIRST_CLASS_S)
    return min(LATENCY_CLASSES - 1, int(steps) + 1)


def class_end_s(number: int) -> float:
    """Return the longest latency of a class."""
    return FIRST_CLASS_S * 2 ** (number / CLASSES_AN_OCTAVE)


def quantile_class(latencies: list[int], part: float) -> int | None:
    """Return the class that holds this part of the answers, None if none.

    >>> quantile_class([0, 2, 1, 1], 0.5)
    1
    """
    left = part * sum(latencies)
    if not left:
        return None
    for number, count in enumerate(latencies):
        left -= count
        if left <= 0:
            return number
    return len(latencies) - 1
