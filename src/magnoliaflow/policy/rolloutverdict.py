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
from math import inf
from math import log

from magnoliaflow.policy.likelihoods import log_ratio
from magnoliaflow.policy.likelihoods import log_sum
from magnoliaflow.policy.rolloutevidence import CONTROL_S
from magnoliaflow.policy.rolloutevidence import Counts
from magnoliaflow.policy.rolloutevidence import MIN_CONTROL
from magnoliaflow.policy.rolloutevidence import MIN_UNPAIRED_EXCESS
from magnoliaflow.policy.rolloutevidence import RouteEvidence
from magnoliaflow.policy.rolloutevidence import STRATUM_S
from magnoliaflow.policy.rolloutevidence import UNPAIRED_CHANCE
from magnoliaflow.policy.rolloutevidence import UNPAIRED_CLOSING
from magnoliaflow.policy.rolloutevidence import UNPAIRED_SUSPICION
from magnoliaflow.policy.rollouttallies import latency_class
from magnoliaflow.policy.rollouttallies import Tallies
from magnoliaflow.policy.rollouttallies import VersionTally

__all__ = ["RolloutVerdict", "Tallies", "VersionTally", "latency_class"]

# Chance that a version as good as the old one is rolled back by the test.
ERROR_CHANCE = 0.003
ODDS = (6.0, 60.0)
# Besides, the share of bad answers has to exceed the old version's by this
# much, over all strata or the latest: answers end at other times than they
# start, so that a change of the share alone shifts the shares of one stratum.
MIN_FAILED_EXCESS = 0.02
MIN_SLOW_EXCESS = 0.1
# Evidence at which a completion waits for more answers, at which it waits
# until the time limit, and at which the target goes back when time is over.
SUSPICION = 8.0
DOUBT = 2.5
CLOSING = 30.0
# Beside a doubt, these chances by the exact test over all strata do the same.
SUSPICION_CHANCE = 1e-3
CLOSING_CHANCE = 1e-4
# A version gets nothing later than the time of a rollback after this many bad
# answers; it goes back at a part of them, if the old one is better.
BAD_ANSWERS = 50
BAD_PART = 0.4
BAD_RATIO = 2.0


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
        counts_age_s: float = 0.0,
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
                counts_age_s=counts_age_s,
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
        return (
            bool(self._unpaired(UNPAIRED_SUSPICION))
            or self._evident(SUSPICION)
            or self._unlikely(SUSPICION_CHANCE)
        )

    def _unlikely(self, chance: float) -> bool:
        return self._evident(DOUBT) and any(
            counts.chance() <= chance
            for (scope, kind), counts in self.sums.items()
            if self._exceeds(scope, kind)
        )

    @property
    def doubted(self) -> bool:
        """Tell whether more answers are needed if there is time."""
        return self._evident(DOUBT) or any(
            not evidence.answered() for evidence in self.routes.values()
        )

    @property
    def closing(self) -> bool:
        """Tell whether the target goes back if no more answers come."""
        return (
            bool(self._unpaired(UNPAIRED_CLOSING))
            or self._evident(CLOSING)
            or self._unlikely(CLOSING_CHANCE)
        )

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
