"""Whether a service's new version answers worse than the old one beside it.

It answers a version of which a portion of the answers fail, or are several
times slower: at once, later, under load or on one route only.  The old
version's answers over the same time are the control, never a constant: in a
burst both are slow.

The test is sequential.  Time is cut into strata.  Within one, if both versions
are alike, the bad answers of the new one follow the hypergeometric law that
the totals of both give.  The likelihood ratio to versions whose odds of a bad
answer are higher (ODDS) has mean 1 at most under that law, hence so has the
product over strata, and the mean over routes, kinds and odds.  By Ville's
inequality it ever exceeds 1 / ERROR_CHANCE with probability ERROR_CHANCE at
most, however often it is looked at.

Times are in seconds of one clock, handed in by the caller.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from math import exp
from math import inf
from math import lgamma
from math import log
from math import log2

# Latencies: class 0 ends at FIRST_CLASS_S, each further one lasts longer by
# half an octave, the last has no end.
FIRST_CLASS_S = 0.002
CLASSES_AN_OCTAVE = 2
LATENCY_CLASSES = 36
# A slow answer is this many classes above the old version's median: between
# 2 and 2.8 times its latency.
SLOW_CLASSES = 3
# Chance that a version as good as the old one is rolled back by the test.
ERROR_CHANCE = 0.003
ODDS = (4.0, 25.0)
# Besides, the share of bad answers has to exceed the old version's by this
# much over the whole rollout: answers end at other times than they start, so
# that a change of the share alone shifts the shares of single strata.
MIN_FAILED_EXCESS = 0.02
MIN_SLOW_EXCESS = 0.1
STRATUM_S = 0.4
# The old version's share of bad answers of late weighs as this many answers.
RATE_ANSWERS = 5.0
# The old version's latest answers, for its median and for the time when all
# new requests go to the target.
CONTROL_S = 4.0
# Without a control over the same time, failures alone are judged: by a look
# at the exact test with this chance, and with this excess.
UNPAIRED_CHANCE = 1e-6
MIN_UNPAIRED_EXCESS = 0.1
MIN_CONTROL = 20
# A version gets nothing later than the time of a rollback after this many bad
# answers; it goes back at a part of them, if the old one is better.
BAD_ANSWERS = 50
BAD_PART = 0.4
BAD_RATIO = 2.0


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
            self.latencies[number] += count

    def copy(self) -> "VersionTally":
        return VersionTally(
            self.sent,
            self.finished,
            self.failed,
            self.running,
            list(self.latencies),
        )

    def grown(self, before: "VersionTally") -> "VersionTally":
        """Return the growth since ``before``; nothing if a count fell.

        A count falls when the host that reported it has ended.
        """
        grown = VersionTally(
            self.sent - before.sent,
            self.finished - before.finished,
            self.failed - before.failed,
            self.running,
            [
                now - then
                for now, then in zip(
                    self.latencies, before.latencies, strict=True
                )
            ],
        )
        counts = (grown.sent, grown.finished, grown.failed, *grown.latencies)
        return (
            VersionTally(running=self.running) if min(counts) < 0 else grown
        )


# By route name, and whether it is the target's side.
Tallies = dict[tuple[str, bool], VersionTally]


def latency_class(seconds: float) -> int:
    """Return the class of a latency, below LATENCY_CLASSES.

    >>> [latency_class(s) for s in (0, 0.002, 0.025, 0.5, 2.0, 1e9)]
    [0, 0, 8, 16, 20, 35]
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


def log_choose(total: int, part: int) -> float:
    return lgamma(total + 1) - lgamma(part + 1) - lgamma(total - part + 1)


def log_weights(target: int, old: int, bad: int) -> list[tuple[int, float]]:
    """Return (bad answers of the target, log of the ways), given ``bad``."""
    return [
        (count, log_choose(target, count) + log_choose(old, bad - count))
        for count in range(max(0, bad - old), min(target, bad) + 1)
    ]


def log_sum(values: Iterable[float]) -> float:
    values = list(values)
    top = max(values)
    return top + log(sum(exp(value - top) for value in values))


def log_ratio(
    target_bad: int, target: int, old_bad: int, old: int, odds: float
) -> float:
    """Return the log likelihood ratio of ``odds`` against like versions.

    >>> round(exp(log_ratio(1, 2, 0, 70, 25.0)), 1)
    15.0
    """
    bad = target_bad + old_bad
    if not bad or not target or not old or bad == target + old:
        return 0.0
    weights = log_weights(target, old, bad)
    tilted = log_sum(way + count * log(odds) for count, way in weights)
    return (
        target_bad * log(odds) + log_choose(target + old, bad) - tilted
    )


def tail(target_bad: int, target: int, old_bad: int, old: int) -> float:
    """Return the chance of as many bad answers if both versions are alike.

    >>> round(tail(2, 2, 0, 2), 3)
    0.167
    """
    bad = target_bad + old_bad
    ways = [
        way
        for count, way in log_weights(target, old, bad)
        if count >= target_bad
    ]
    return exp(log_sum(ways) - log_choose(target + old, bad))


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

    def shares(self) -> tuple[float, float]:
        """Return the shares of bad answers: the target's, the expected."""
        answers = max(1, self.target)
        return self.target_bad / answers, self.expected / answers


class SideHistory:
    """Answers of one side of a route that ended or are overdue."""

    __slots__ = ("seen", "latest", "sent", "slow", "total", "counted")

    def __init__(self) -> None:
        self.seen = VersionTally()
        # Growth by stratum, for the latest answers.
        self.latest: deque[tuple[float, VersionTally]] = deque()
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
        while self.latest[0][0] < at_s - CONTROL_S:
            self.latest.popleft()
        return grown

    def recent(self) -> VersionTally:
        recent = VersionTally()
        for _, grown in self.latest:
            recent.add(grown)
        return recent

    def overdue(self, at_s: float, after_s: float) -> int:
        """Return how many requests have lasted longer, at least."""
        while len(self.sent) > 1 and self.sent[1][0] <= at_s - after_s:
            self.sent.popleft()
        if not self.sent or self.sent[0][0] > at_s - after_s:
            return 0
        return max(0, self.sent[0][1] - self.seen.finished)

    def slow_growth(
        self, at_s: float, grown: VersionTally, slow_class: int
    ) -> tuple[int, int]:
        """Return the growth of (slow answers, answers), with overdue ones."""
        overdue = self.overdue(at_s, class_end_s(slow_class - 1))
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

    __slots__ = ("target", "old", "slow_class", "unpaired", "unpaired_old")

    def __init__(self) -> None:
        self.target = SideHistory()
        self.old = SideHistory()
        self.slow_class: int | None = None
        # Answers since all requests go to the target, and the control then.
        self.unpaired = Counts()
        self.unpaired_old: VersionTally | None = None

    def feed(
        self, at_s: float, target: VersionTally, old: VersionTally, full: bool
    ) -> tuple[Counts, Counts]:
        """Close a stratum; return its counts of failures and slow answers."""
        target_grown = self.target.feed(at_s, target)
        old_grown = self.old.feed(at_s, old)
        recent = self.old.recent()
        if sum(recent.latencies) >= MIN_CONTROL or self.slow_class is None:
            median = quantile_class(recent.latencies, 0.5)
            if median is not None:
                self.slow_class = min(
                    LATENCY_CLASSES - 1, median + SLOW_CLASSES
                )
        failed = Counts(
            target_grown.finished,
            target_grown.failed,
            old_grown.finished,
            old_grown.failed,
        )
        self._feed_unpaired(target_grown, recent, full)
        if self.slow_class is None:
            return failed, Counts()
        target_slow = self.target.slow_growth(
            at_s, target_grown, self.slow_class
        )
        old_slow = self.old.slow_growth(at_s, old_grown, self.slow_class)
        if full and not old_slow[1]:
            # Nothing of the same time shows whether all are slow.
            return failed, Counts()
        slow = Counts(target_slow[1], target_slow[0], old_slow[1], old_slow[0])
        return failed, slow

    def _feed_unpaired(
        self, grown: VersionTally, control: VersionTally, full: bool
    ) -> None:
        if not full:
            self.unpaired, self.unpaired_old = Counts(), None
            return
        if self.unpaired_old is None:
            self.unpaired_old = control
        self.unpaired.add(
            Counts(target=grown.finished, target_bad=grown.failed)
        )
        self.unpaired.old = self.unpaired_old.finished
        self.unpaired.old_bad = self.unpaired_old.failed


class RolloutVerdict:
    """Evidence against the target, over all routes."""

    __slots__ = ("routes", "products", "sums", "fed_s", "reason")

    def __init__(self) -> None:
        self.routes: dict[str, RouteEvidence] = {}
        # Log of the likelihood ratio, by route ("" for all), kind and odds.
        self.products: dict[tuple[str, str, float], float] = {}
        # Counts by route ("" for all) and kind.
        self.sums: dict[tuple[str, str], Counts] = {}
        self.fed_s = -inf
        self.reason = ""

    def feed(
        self, at_s: float, tallies: Tallies, full: frozenset[str] = frozenset()
    ) -> None:
        """Take the counts in; ``full``: routes that go to the target alone."""
        if at_s - self.fed_s < STRATUM_S:
            return
        self.fed_s = at_s
        for route in sorted({route for route, _ in tallies}):
            evidence = self.routes.setdefault(route, RouteEvidence())
            kinds = evidence.feed(
                at_s,
                tallies.get((route, True), evidence.target.seen),
                tallies.get((route, False), evidence.old.seen),
                route in full,
            )
            for kind, counts in zip(("failed", "slow"), kinds, strict=True):
                self._add(route, kind, counts)
        self.reason = self.reason or self._judge()

    def _add(self, route: str, kind: str, counts: Counts) -> None:
        self.sums.setdefault((route, kind), Counts()).follow(counts)
        self.sums.setdefault(("", kind), Counts()).add(counts)
        for odds in ODDS:
            ratio = log_ratio(
                counts.target_bad,
                counts.target,
                counts.old_bad,
                counts.old,
                odds,
            )
            for scope in (route, ""):
                key = scope, kind, odds
                self.products[key] = self.products.get(key, 0.0) + ratio

    @property
    def evidence(self) -> float:
        """Log of the mean likelihood ratio: 0 at first, higher if worse."""
        if not self.products:
            return 0.0
        return log_sum(self.products.values()) - log(len(self.products))

    @property
    def suspected(self) -> bool:
        """Tell whether a completion had better wait for more answers."""
        return self.evidence > -log(ERROR_CHANCE) / 2 and any(
            self._exceeds(scope, kind) for scope, kind in self.sums
        )

    def bad_answers(self) -> int:
        """Return the target's failed and slow answers so far."""
        return sum(
            counts.target_bad
            for (scope, _), counts in self.sums.items()
            if not scope
        )

    def _exceeds(self, scope: str, kind: str) -> bool:
        target, old = self.sums[scope, kind].shares()
        margin = MIN_FAILED_EXCESS if kind == "failed" else MIN_SLOW_EXCESS
        return target - old >= margin

    def _judge(self) -> str:
        """Return why the target is worse, "" while it is not."""
        threshold = -log(ERROR_CHANCE) + log(max(1, len(self.products)))
        for (scope, kind), counts in self.sums.items():
            proven = any(
                self.products[scope, kind, odds] >= threshold for odds in ODDS
            )
            if proven and self._exceeds(scope, kind):
                return describe(scope, kind, counts)
        if self.bad_answers() >= BAD_PART * BAD_ANSWERS:
            for (scope, kind), counts in self.sums.items():
                target, old = counts.shares()
                if (
                    not scope
                    and self._exceeds(scope, kind)
                    and target > BAD_RATIO * old
                ):
                    return describe(scope, kind, counts)
        for route, evidence in self.routes.items():
            counts = evidence.unpaired
            target = counts.target_bad / max(1, counts.target)
            old = counts.old_bad / max(1, counts.old)
            if (
                counts.old >= MIN_CONTROL
                and target - old >= MIN_UNPAIRED_EXCESS
                and tail(
                    counts.target_bad,
                    counts.target,
                    counts.old_bad,
                    counts.old,
                )
                <= UNPAIRED_CHANCE
            ):
                return describe(route, "failed", counts)
        return ""


def describe(scope: str, kind: str, counts: Counts) -> str:
    return (
        f"{kind} on {scope or 'all routes'}: target {counts.target_bad} of "
        f"{counts.target}, old {counts.old_bad} of {counts.old}"
    )
