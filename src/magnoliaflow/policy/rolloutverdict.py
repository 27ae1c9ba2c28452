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

from collections.abc import Iterable
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from itertools import zip_longest
from math import exp
from math import inf
from math import lgamma
from math import log
from math import log2

# Latencies: class 0 ends at FIRST_CLASS_S, each further one lasts longer by
# a third of an octave, the last has no end.
FIRST_CLASS_S = 0.002
CLASSES_AN_OCTAVE = 3
LATENCY_CLASSES = 52
# A slow answer is this many classes above the old version's median: it lasts
# longer than 2 to 2.5 times its latency.
SLOW_CLASSES = 4
# Chance that a version as good as the old one is rolled back by the test.
ERROR_CHANCE = 0.003
ODDS = (6.0, 60.0)
# Besides, the share of bad answers has to exceed the old version's by this
# much, over all strata or the latest: answers end at other times than they
# start, so that a change of the share alone shifts the shares of one stratum.
MIN_FAILED_EXCESS = 0.02
MIN_SLOW_EXCESS = 0.1
# A request that may be younger than the news say is overdue later, by the age
# of the news, but not later than after as many of them.
NEWS_AGES = 2.0
STRATUM_S = 0.4
# The old version's share of bad answers of late weighs as this many answers.
RATE_ANSWERS = 20.0
# The latest answers: of the old version, for its median and for the time when
# all new requests go to the target; of both, for the excess.
CONTROL_S = 4.0
# Evidence at which a completion waits for more answers, at which it waits
# until the time limit, and at which the target goes back when time is over.
SUSPICION = 8.0
DOUBT = 2.5
CLOSING = 30.0
# Without a control over the same time, the last answers of the old version
# are: by a look at the exact test with this chance, and with this excess.
UNPAIRED_CHANCE = 1e-6
UNPAIRED_SUSPICION = 1e-3
UNPAIRED_CLOSING = 1e-4
MIN_UNPAIRED_EXCESS = {"failed": 0.1, "slow": 0.3}
MIN_CONTROL = 20
# More answers are wanted while fewer of a route's requests are answered than
# by the old version, by this factor, of as many at least.
ANSWERED_RATIO = 0.5
MIN_ANSWERED = 5
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
    return target_bad * log(odds) + log_choose(target + old, bad) - tilted


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
        news_age_s: float,
    ) -> tuple[int, int]:
        """Return the growth of (slow answers, answers), with overdue ones."""
        longest_s = class_end_s(slow_class - 1)
        # Hosts report at other times than this is called.
        after_s = max(
            longest_s, min(longest_s + news_age_s, NEWS_AGES * news_age_s)
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
        news_age_s: float,
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
                at_s, target_grown, self.slow_class, news_age_s
            )
            old_slow, old_ended = self.old.slow_growth(
                at_s, old_grown, self.slow_class, news_age_s
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


class RolloutVerdict:
    """Evidence against the target, over all routes.

    ``window_s``: how long answers count as the latest.
    """

    __slots__ = (
        "window_s",
        "routes",
        "products",
        "sums",
        "latest",
        "fed_s",
        "reason",
    )

    def __init__(self, window_s: float = CONTROL_S) -> None:
        self.window_s = window_s
        self.routes: dict[str, RouteEvidence] = {}
        # Log of the likelihood ratio, by route ("" for all), kind and odds.
        self.products: dict[tuple[str, str, float], float] = {}
        # Counts by route ("" for all) and kind.
        self.sums: dict[tuple[str, str], Counts] = {}
        self.latest: deque[tuple[float, str, str, Counts]] = deque()
        self.fed_s = -inf
        self.reason = ""

    def feed(
        self,
        at_s: float,
        tallies: Tallies,
        *,
        news_age_s: float = 0.0,
        alone: frozenset[str] = frozenset(),
        uneven: frozenset[str] = frozenset(),
    ) -> None:
        """Take the counts in.

        ``alone``: routes of which all new requests go to the target;
        ``uneven``: routes whose sides answer requests of other times, of
        which a part are of a burst.
        """
        if at_s - self.fed_s < STRATUM_S:
            return
        self.fed_s = at_s
        while self.latest and self.latest[0][0] < at_s - self.window_s:
            self.latest.popleft()
        for route in sorted({route for route, _ in tallies}):
            evidence = self.routes.setdefault(route, RouteEvidence())
            kinds = evidence.feed(
                at_s,
                tallies.get((route, True), evidence.target.seen),
                tallies.get((route, False), evidence.old.seen),
                news_age_s=news_age_s,
                alone=route in alone,
                uneven=route in uneven,
            )
            for kind, counts in kinds.items():
                self._add(route, kind, counts)
        self.reason = self.reason or self._judge()

    def _add(self, route: str, kind: str, counts: Counts) -> None:
        self.sums.setdefault((route, kind), Counts()).follow(counts)
        self.sums.setdefault(("", kind), Counts()).add(counts)
        self.latest.append((self.fed_s, route, kind, counts))
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
        """Tell whether the target is not to be completed for now."""
        return bool(self._unpaired(UNPAIRED_SUSPICION)) or self._evident(
            SUSPICION
        )

    @property
    def doubted(self) -> bool:
        """Tell whether more answers are wanted if there is time."""
        return self._evident(DOUBT) or any(
            not evidence.answered() for evidence in self.routes.values()
        )

    @property
    def closing(self) -> bool:
        """Tell whether the target goes back if no more answers come."""
        return bool(self._unpaired(UNPAIRED_CLOSING)) or self._evident(CLOSING)

    def _evident(self, ratio: float) -> bool:
        return self.evidence > log(ratio) and any(
            self._exceeds(scope, kind) for scope, kind in self.sums
        )

    def bad_answers(self) -> int:
        """Return the target's failed and slow answers so far."""
        return sum(
            counts.target_bad
            for (scope, _), counts in self.sums.items()
            if not scope
        )

    def _latest(self, scope: str, kind: str) -> Counts:
        latest = Counts()
        for _, route, latest_kind, counts in self.latest:
            if latest_kind == kind and scope in ("", route):
                latest.add(counts)
        return latest

    def _exceeds(self, scope: str, kind: str) -> bool:
        margin = MIN_FAILED_EXCESS if kind == "failed" else MIN_SLOW_EXCESS
        return any(
            target - old >= margin
            for target, old in (
                self.sums[scope, kind].shares(),
                self._latest(scope, kind).shares(),
            )
        )

    def _judge(self) -> str:
        """Return why the target is worse, "" while it is not."""
        threshold = -log(ERROR_CHANCE) + log(max(1, len(self.products)))
        for (scope, kind), counts in self.sums.items():
            product = max(self.products[scope, kind, odds] for odds in ODDS)
            # A step is short: the answers to it are compared over the latest
            # strata as one too, if the strata alone give a suspicion.
            proven = product >= threshold or (
                scope
                and product >= threshold + log(ERROR_CHANCE * SUSPICION)
                and self._latest(scope, kind).chance() <= UNPAIRED_CHANCE
            )
            if proven and self._exceeds(scope, kind):
                return describe(scope, kind, counts)
        if self.bad_answers() >= BAD_PART * BAD_ANSWERS:
            for (scope, kind), counts in self.sums.items():
                target, old = counts.shares()
                old = max(old, counts.old_bad / max(1, counts.old))
                if (
                    not scope
                    and self._exceeds(scope, kind)
                    and target > BAD_RATIO * old
                ):
                    return describe(scope, kind, counts)
        return self._unpaired(UNPAIRED_CHANCE)

    def _unpaired(self, chance: float) -> str:
        """Return why the target is worse than the old version was before."""
        for route, evidence in self.routes.items():
            for kind, counts in evidence.unpaired.items():
                target = counts.target_bad / max(1, counts.target)
                old = counts.old_bad / max(1, counts.old)
                if (
                    counts.old >= MIN_CONTROL
                    and target - old >= MIN_UNPAIRED_EXCESS[kind]
                    and counts.chance() <= chance
                ):
                    return describe(route, kind, counts)
        return ""


def describe(scope: str, kind: str, counts: Counts) -> str:
    return (
        f"{kind} on {scope or 'all routes'}: target {counts.target_bad} of "
        f"{counts.target}, old {counts.old_bad} of {counts.old}"
    )
