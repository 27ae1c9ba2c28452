"""Answers of both versions of a route, by strata of time.

It answers requests that get no answer, answers that end at other times than
they start, and the time without a control beside the target.
"""

from collections import deque
from dataclasses import dataclass

from magnoliaflow.policy.likelihoods import tail
from magnoliaflow.policy.rollouttallies import class_end_s
from magnoliaflow.policy.rollouttallies import LATENCY_CLASSES
from magnoliaflow.policy.rollouttallies import quantile_class
from magnoliaflow.policy.rollouttallies import VersionTally

# A slow answer is this many classes above the old version's median: it lasts
# longer than 2 to 2.5 times its latency.
SLOW_CLASSES = 4
# A request that may be younger than the counts say is overdue later, by their
# age, but at most by this many times the age.
COUNT_AGES = 2.0
STRATUM_S = 0.4
# The old version's share of bad answers of late weighs as this many answers.
RATE_ANSWERS = 20.0
# The latest answers: of the old version, for its median and for the time when
# all new requests go to the target; of both, for the excess.
CONTROL_S = 4.0
# Without a control over the same time, the last answers of the old version
# are: by a look at the exact test with this chance, and with this excess.
UNPAIRED_CHANCE = 1e-6
UNPAIRED_SUSPICION = 1e-3
UNPAIRED_CLOSING = 1e-4
MIN_UNPAIRED_EXCESS = {"failed": 0.1, "slow": 0.3}
MIN_CONTROL = 20
# More answers are needed while fewer of a route's requests are answered than
# by the old version, by this factor, of as many at least.
ANSWERED_RATIO = 0.5
MIN_ANSWERED = 5


@dataclass(slots=True)
class Counts:
    """Answers and bad ones of both sides, of one kind.

    ``expected``: bad answers of the target if it were as the old version was
    in the same strata, ``rate`` that version's share of bad answers of late.
    """

    target: int = 0
    target_bad: int = 0
    old: int = 0
    old_bad: int = 0
    expected: float = 0.0
    rate: float = 0.0

    def add(self, other: "Counts") -> None:
        self.target += other.target
        self.target_bad += other.target_bad
        self.old += other.old
        self.old_bad += other.old_bad
        self.expected += other.expected

    def follow(self, stratum: "Counts") -> None:
        """Add a stratum of this route; set what it lets expect."""
        weight = stratum.old + RATE_ANSWERS
        self.rate = (stratum.old_bad + RATE_ANSWERS * self.rate) / weight
        stratum.expected = stratum.target * self.rate
        self.add(stratum)

    def chance(self) -> float:
        """Return the chance of as many bad ones if both sides are alike."""
        return tail(self.target_bad, self.target, self.old_bad, self.old)

    def shares(self) -> tuple[float, float]:
        """Return the shares of bad answers: the target's, the expected."""
        answers = max(1, self.target)
        return self.target_bad / answers, self.expected / answers


class SideHistory:
    """Answers of one side of a route that ended or are overdue."""

    __slots__ = (
        "seen",
        "latest",
        "recent",
        "sent",
        "slow",
        "total",
        "counted",
    )

    def __init__(self) -> None:
        self.seen = VersionTally()
        # Growth by stratum, for the latest answers.
        self.latest: deque[tuple[float, VersionTally]] = deque()
        self.recent = VersionTally()
        self.sent: deque[tuple[float, int]] = deque([(0.0, 0)])
        self.slow = self.total = 0
        self.counted = (0, 0)

    def feed(self, at_s: float, tally: VersionTally) -> VersionTally:
        grown = tally.grown(self.seen)
        if tally.sent < self.seen.sent or tally.finished < self.seen.finished:
            # Requests of an ended host would look overdue.
            self.sent.clear()
        self.seen = tally.copy()
        self.latest.append((at_s, grown))
        self.sent.append((at_s, tally.sent))
        self.recent.add(grown)
        while self.latest[0][0] < at_s - CONTROL_S:
            self.recent = self.recent.less(self.latest.popleft()[1])
        return grown

    def overdue(self, at_s: float, after_s: float) -> int:
        """Return how many requests have lasted longer, at least."""
        while len(self.sent) > 1 and self.sent[1][0] <= at_s - after_s:
            self.sent.popleft()
        if not self.sent or self.sent[0][0] > at_s - after_s:
            return 0
        return max(0, self.sent[0][1] - self.seen.finished)

    def slow_growth(
        self,
        at_s: float,
        grown: VersionTally,
        slow_class: int,
        counts_age_s: float,
    ) -> tuple[int, int]:
        """Return the growth of (slow answers, answers), with overdue ones."""
        longest_s = class_end_s(slow_class - 1)
        # Hosts report at other times than this is called.
        after_s = max(
            longest_s, min(longest_s + counts_age_s, COUNT_AGES * counts_age_s)
        )
        overdue = self.overdue(at_s, after_s)
        self.slow += sum(grown.latencies[slow_class:])
        self.total += sum(grown.latencies)
        slow, total = self.counted
        self.counted = (
            max(slow, self.slow + overdue),
            max(total, self.total + overdue),
        )
        slow, total = self.counted[0] - slow, self.counted[1] - total
        return min(slow, total), total


class RouteEvidence:
    """Strata of one route."""

    __slots__ = ("target", "old", "slow_class", "unpaired", "alone")

    def __init__(self) -> None:
        self.target = SideHistory()
        self.old = SideHistory()
        self.slow_class: int | None = None
        # Whether all requests go to the target; its answers since then, and
        # the old version's last ones before.
        self.alone = False
        self.unpaired = {"failed": Counts(), "slow": Counts()}

    def feed(
        self,
        at_s: float,
        target: VersionTally,
        old: VersionTally,
        *,
        counts_age_s: float,
        alone: bool,
        uneven: bool,
    ) -> dict[str, Counts]:
        """Close a stratum; return its counts by kind."""
        target_grown = self.target.feed(at_s, target)
        old_grown = self.old.feed(at_s, old)
        recent = self.old.recent
        self._set_slow_class(recent)
        kinds = {
            "failed": Counts(
                target_grown.finished,
                target_grown.failed,
                old_grown.finished,
                old_grown.failed,
            ),
            "slow": Counts(),
        }
        if self.slow_class is not None:
            target_slow, target_ended = self.target.slow_growth(
                at_s, target_grown, self.slow_class, counts_age_s
            )
            old_slow, old_ended = self.old.slow_growth(
                at_s, old_grown, self.slow_class, counts_age_s
            )
            kinds["slow"] = Counts(
                target_ended, target_slow, old_ended, old_slow
            )
        self._feed_unpaired(kinds, recent, alone, uneven)
        if uneven or alone and not kinds["slow"].old:
            # Nothing sent at the same time shows whether all are slow.
            kinds["slow"] = Counts()
        return kinds

    def answered(self) -> bool:
        """Tell whether the target answered about as many of its requests."""
        target, old = self.target.seen, self.old.seen
        return (
            self.alone
            or target.sent < MIN_ANSWERED
            or target.finished * old.sent
            >= ANSWERED_RATIO * old.finished * target.sent
        )

    def _set_slow_class(self, recent: VersionTally) -> None:
        if self.alone or (
            sum(recent.latencies) < MIN_CONTROL and self.slow_class is not None
        ):
            return
        median = quantile_class(recent.latencies, 0.5)
        if median is not None:
            self.slow_class = min(LATENCY_CLASSES - 1, median + SLOW_CLASSES)

    def _feed_unpaired(
        self,
        kinds: dict[str, Counts],
        recent: VersionTally,
        alone: bool,
        uneven: bool,
    ) -> None:
        if alone and not self.alone:
            slow = self.slow_class or LATENCY_CLASSES
            self.unpaired = {
                "failed": Counts(old=recent.finished, old_bad=recent.failed),
                "slow": Counts(
                    old=sum(recent.latencies),
                    old_bad=sum(recent.latencies[slow:]),
                ),
            }
        self.alone = alone
        if not alone or uneven:
            return
        for kind, counts in kinds.items():
            self.unpaired[kind].target += counts.target
            self.unpaired[kind].target_bad += counts.target_bad
