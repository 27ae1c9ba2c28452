"""Share of a service's new requests that go to another version, over time.

It answers an order to move a service's traffic to a version that may be bad:
at once, later, under load or on one route only, with counts of its answers
that are seconds old.  The holder of the duty runs one RolloutPlan an order;
hosts apply its decisions by share_in_force and sends_to_target.

A bad version may get a part of the service's requests, the exposure budget.
The plan spends it on a canary share of each route, about as many requests on
each, on one short step to most of the traffic, whose answers are judged at the
canary share again, and on routes with long answers, which go to the target
first.  All new requests go there as late as a completion in time allows.
Budget, times and shares follow from the rates, latencies and delays that the
hosts report.

Times are in seconds of one clock, handed in by the caller.
"""

from magnoliaflow.policy.rolloutdecisions import ENDED
from magnoliaflow.policy.rolloutdecisions import RolloutDecision
from magnoliaflow.policy.rolloutdecisions import RolloutLimits
from magnoliaflow.policy.rolloutdecisions import RolloutOrder
from magnoliaflow.policy.rolloutdecisions import RolloutStage
from magnoliaflow.policy.rolloutdecisions import sends_to_target
from magnoliaflow.policy.rolloutdecisions import share_in_force
from magnoliaflow.policy.rolloutevidence import CONTROL_S
from magnoliaflow.policy.rollouttallies import class_end_s
from magnoliaflow.policy.rollouttallies import latency_class
from magnoliaflow.policy.rollouttallies import LATENCY_CLASSES
from magnoliaflow.policy.rollouttallies import quantile_class
from magnoliaflow.policy.rollouttallies import Tallies
from magnoliaflow.policy.rollouttallies import VersionTally
from magnoliaflow.policy.rollouttraffic import Traffic
from magnoliaflow.policy.rolloutverdict import RolloutVerdict

__all__ = [
    "LATENCY_CLASSES",
    "RolloutDecision",
    "RolloutLimits",
    "RolloutOrder",
    "RolloutPlan",
    "RolloutStage",
    "Tallies",
    "VersionTally",
    "latency_class",
    "sends_to_target",
    "share_in_force",
]

# Part of the exposure budget that is planned with: rates may fall, and
# requests that are repeated may go to the target too.
BUDGET_PART = 0.86
# Part of the budget that the canary share takes until the time limit.
CANARY_PART = 0.4
# The old version has as many requests of each route, for a comparison.
MAX_CANARY_SHARE = 0.5
# Weight of a route with long answers within the canary share.
LONG_WEIGHT = 3
# Share during the step, and the part of the budget left that it may take.
# Its longest duration and the longest answers (95th percentile) of the routes
# that take part, as parts of the order's duration.
STEP_SHARE = 0.75
STEP_PART = 0.75
MAX_STEP_PART = 1 / 12
STEP_ANSWER_PART = 1 / 8
# Part of the budget left that routes with long answers may take before all
# requests go to the target.
EARLY_PART = 0.45
# Answers to a burst may last as many times longer.
BURST_ANSWERS = 3.0
# A share that moves by this factor makes the sides answer requests of other
# times.
MOVED = 2.0
# Time between a decision and its arrival at all hosts, until it was observed,
# and its largest value, as a part of the order's duration.
DELIVERY_S = 0.5
MAX_LAG_PART = 1 / 4
# A completion is decided this long before the time limit.
COMPLETION_MARGIN_S = 0.8
# Before all requests go to the target, the share is 0 while the tallies of a
# live host are older; below the time of a rollback.
MAX_COUNTS_AGE_S = 3.0
# Shares change if they differ by this factor, and not more often than this.
SHARE_CHANGE = 1.3
SHARE_INTERVAL_S = 1.0
# A version under suspicion at the time limit is judged for this part of the
# order's duration more, then rolled back.
SUSPICION_PART = 0.5
# Answers count as the latest for this part of the order's duration: a step
# and the answers to it.
LATEST_PART = 1 / 3
# The answers to a step are waited for as many times as they last: slower ones
# are judged too.
JUDGED_ANSWERS = 2.0
# Part of the answers of a route that is waited for in plans.
DRAIN_PART = 0.95


def canary_shares(
    rates: dict[str, float], weights: dict[str, int], left: float
) -> dict[str, float]:
    """Return the share of each route, for ``left`` requests a second.

    What a small route can't use goes to the others.

    >>> canary_shares({"a": 100.0, "b": 1.0}, {"a": 1, "b": 1}, 10.0)
    {'b': 0.5, 'a': 0.095}
    """
    weight = sum(weights.values())
    shares = {}
    for route in sorted(
        weights, key=lambda route: rates.get(route, 0.0) / weights[route]
    ):
        rate = rates.get(route, 0.0)
        part = left * weights[route] / weight
        share = min(MAX_CANARY_SHARE, part / rate if rate else 1.0)
        shares[route] = round(share, 4)
        left -= share * rate
        weight -= weights[route]
    return shares


class RolloutPlan:
    """State of one order at the holder of the duty.

    ``targets_s``: latency target by route.  ``serving``: the target has the
    service's traffic already, as when an order to go back replaces one that
    was in progress: then nothing is judged.
    """

    __slots__ = (
        "order",
        "limits",
        "targets_s",
        "decision",
        "verdict",
        "traffic",
        "serving",
        "lag_s",
        "in_force",
        "stepped",
        "step_end_s",
        "answers_s",
        "moved_s",
    )

    def __init__(
        self,
        order: RolloutOrder,
        limits: RolloutLimits,
        targets_s: dict[str, float],
        *,
        elapsed_s: float,
        previous: RolloutDecision | None,
        serving: bool = False,
    ) -> None:
        if previous is not None and previous.order != order.position:
            # A later order of the service replaces an earlier one.
            previous = None
        self.order = order
        self.limits = limits
        self.targets_s = targets_s
        self.decision = previous
        self.verdict = RolloutVerdict(
            max(CONTROL_S, LATEST_PART * order.duration_s)
        )
        self.traffic = Traffic(elapsed_s)
        self.serving = serving
        self.lag_s = 0.0
        self.in_force = previous is not None
        # Whether the step to most of the traffic has begun, and its end; the
        # step of another holder that did not end it is taken again.
        self.stepped = (
            previous is not None
            and previous.stage >= RolloutStage.RAMP
            and STEP_SHARE not in dict(previous.shares).values()
        )
        self.step_end_s = elapsed_s
        self.answers_s: dict[str, float] = {}
        # When the share of a route last moved by much.
        self.moved_s: dict[str, float] = {}

    @property
    def stage(self) -> RolloutStage | None:
        return self.decision.stage if self.decision else None

    @property
    def shares(self) -> dict[str, float]:
        return dict(self.decision.shares) if self.decision else {}

    def withdraw(self, elapsed_s: float) -> RolloutDecision | None:
        """Return the decision for an order that the operator took away."""
        if self.stage in ENDED:
            return None
        return self._roll_back(elapsed_s, "order withdrawn")

    def step(
        self,
        elapsed_s: float,
        tallies: Tallies,
        *,
        counts_age_s: float,
        hosts_in_force: bool,
        target_engines: int,
        old_engines: int,
    ) -> RolloutDecision | None:
        """Return the next decision, None if nothing changes.

        ``counts_age_s``: age of the oldest live host's tallies.
        ``hosts_in_force``: all live hosts reported that they apply the
        decision.
        """
        if self.stage in ENDED:
            return None
        full = self.stage == RolloutStage.FULL
        self.traffic.feed(elapsed_s, tallies, counts_age_s)
        self.traffic.observe(elapsed_s, self.shares)
        self._observe_lag(elapsed_s, counts_age_s, hosts_in_force)
        self.verdict.feed(
            elapsed_s,
            tallies,
            counts_age_s=counts_age_s,
            alone=frozenset(
                route
                for route, _ in tallies
                if full or self.shares.get(route, 0.0) >= 1.0
            ),
            uneven=self._uneven(elapsed_s),
        )
        self._observe_answers()
        old_runs = any(
            tally.running > 0
            for (_, target), tally in tallies.items()
            if not target
        )
        if not target_engines:
            return self._without_engines(elapsed_s, old_engines)
        if self.verdict.reason and not self.serving:
            return self._roll_back(elapsed_s, self.verdict.reason)
        if full:
            return self._complete(
                elapsed_s, counts_age_s, hosts_in_force, old_runs, old_engines
            )
        if self.decision is None and not old_engines and not old_runs:
            return self._decide(
                elapsed_s, RolloutStage.COMPLETED, {}, "no other engines"
            )
        if self.serving:
            return self._decide(
                elapsed_s, RolloutStage.FULL, {}, "the target serves already"
            )
        if self.decision is not None and counts_age_s > MAX_COUNTS_AGE_S:
            reason = f"counts {counts_age_s:.1f} s old"
            if elapsed_s >= self.order.duration_s * (1 + SUSPICION_PART):
                return self._roll_back(elapsed_s, reason)
            return self._pause(elapsed_s, reason)
        return self._advance(elapsed_s, counts_age_s)

    def _observe_lag(
        self, elapsed_s: float, counts_age_s: float, hosts_in_force: bool
    ) -> None:
        """Follow the time from a decision to the report of all hosts."""
        largest = MAX_LAG_PART * self.order.duration_s
        if self.decision is None or not self.lag_s:
            self.lag_s = min(largest, counts_age_s + DELIVERY_S)
        elif not self.in_force:
            self.in_force = hosts_in_force
            taken = elapsed_s - self.decision.elapsed_s
            self.lag_s = min(largest, max(self.lag_s, taken))

    def _uneven(self, elapsed_s: float) -> frozenset[str]:
        """Return the routes whose share moved beside a burst of requests.

        Until the answers to it have come: they last longer, and one side
        answers more of them than of others.
        """
        longest_s = max(self.answers_s.values(), default=0.0)
        since_s = elapsed_s - self.lag_s - BURST_ANSWERS * longest_s
        if self.traffic.burst_s < since_s:
            return frozenset()
        return frozenset(
            route for route, at_s in self.moved_s.items() if at_s >= since_s
        )

    def _observe_answers(self) -> None:
        for route, evidence in self.verdict.routes.items():
            number = quantile_class(evidence.old.recent.latencies, DRAIN_PART)
            if number is not None:
                self.answers_s[route] = class_end_s(number)

    def _decide(
        self,
        elapsed_s: float,
        stage: RolloutStage,
        shares: dict[str, float],
        reason: str,
    ) -> RolloutDecision:
        self.in_force = False
        for route in self.targets_s.keys() | self.traffic.rates().keys():
            now, then = shares.get(route, 0.0), self.shares.get(route, 0.0)
            if stage == RolloutStage.FULL:
                now = 1.0
            if max(now, then) > MOVED * min(now, then):
                self.moved_s[route] = elapsed_s
        self.decision = RolloutDecision(
            self.order.service,
            self.order.target,
            self.order.position,
            self.decision.number + 1 if self.decision else 1,
            stage,
            tuple(sorted(shares.items())),
            elapsed_s,
            reason,
        )
        return self.decision

    def _roll_back(self, elapsed_s: float, reason: str) -> RolloutDecision:
        return self._decide(elapsed_s, RolloutStage.ROLLED_BACK, {}, reason)

    def _pause(self, elapsed_s: float, reason: str) -> RolloutDecision | None:
        """Send nothing to the target for now."""
        if self.decision is None or not any(self.shares.values()):
            return None
        return self._decide(elapsed_s, self.decision.stage, {}, reason)

    def _without_engines(
        self, elapsed_s: float, old_engines: int
    ) -> RolloutDecision | None:
        reason = "the target has no engines"
        if self.stage == RolloutStage.FULL:
            return self._roll_back(elapsed_s, reason) if old_engines else None
        if elapsed_s >= self.order.duration_s:
            return self._roll_back(elapsed_s, reason)
        return self._pause(elapsed_s, reason)

    def _complete(
        self,
        elapsed_s: float,
        counts_age_s: float,
        hosts_in_force: bool,
        old_runs: bool,
        old_engines: int,
    ) -> RolloutDecision | None:
        """Complete once nothing runs on old engines, late if need be.

        Until shortly before the time limit the target is judged on.
        """
        late = elapsed_s >= self.order.duration_s * (1 + SUSPICION_PART)
        if self.verdict.closing and elapsed_s >= self.order.duration_s:
            return self._roll_back(elapsed_s, "under suspicion at the limit")
        if (
            not hosts_in_force
            or old_runs
            or counts_age_s > MAX_COUNTS_AGE_S
            or self.verdict.suspected
            and not late
            or elapsed_s < self.order.duration_s - COMPLETION_MARGIN_S
            and not self.serving
        ):
            return None
        return self._decide(
            elapsed_s,
            RolloutStage.COMPLETED,
            {},
            f"nothing runs on {old_engines} old engines",
        )

    def _budget(self, elapsed_s: float, counts_age_s: float) -> float:
        """Return how many requests the target may get until the limit."""
        # The hosts' reports are between new and as old as the oldest.
        expected = self.traffic.expected(
            elapsed_s - counts_age_s / 2, self.order.duration_s
        )
        return BUDGET_PART * (
            self.limits.exposure_share * expected
            + self.limits.exposure_tolerance
        )

    def _canary(self, budget: float) -> dict[str, float]:
        rates = self.traffic.rates()
        routes = sorted(self.targets_s.keys() | rates.keys())
        if not rates:
            # Within the bound at any rate.
            share = min(MAX_CANARY_SHARE, self.limits.exposure_share)
            return dict.fromkeys(routes, share)
        # Routes that take no part in the step are judged by this alone.
        weights = {
            route: 1 if self._steps(route) else LONG_WEIGHT for route in routes
        }
        rate = CANARY_PART * budget / self.order.duration_s
        return canary_shares(rates, weights, rate)

    def _advance(
        self, elapsed_s: float, counts_age_s: float
    ) -> RolloutDecision | None:
        """Return the next decision before all requests go to the target."""
        rates = self.traffic.rates()
        budget = self._budget(elapsed_s, counts_age_s)
        shares = self._canary(budget)
        if self.decision is None:
            return self._decide(elapsed_s, RolloutStage.CANARY, shares, "new")
        if not rates:
            return self._hold(elapsed_s)
        left = budget - self.traffic.exposed
        spent = left <= 0
        stepping = [route for route in shares if self._steps(route)]
        answer_s = max(map(self._answer_s, stepping), default=0.0)
        full_s = (
            self.order.duration_s - COMPLETION_MARGIN_S - self.lag_s - answer_s
        )
        canary = sum(rates.get(name, 0.0) * shares[name] for name in shares)
        left -= canary * max(0.0, full_s - elapsed_s)
        judged_s = JUDGED_ANSWERS * answer_s + self.lag_s
        judged = elapsed_s >= self.step_end_s + judged_s
        suspected = self.verdict.suspected
        doubted = suspected or (
            self.verdict.doubted and elapsed_s < self.order.duration_s
        )
        if self.stepped and judged and elapsed_s >= full_s:
            decision = self._end(elapsed_s, doubted, spent)
            if decision is not None:
                return decision
        step_rate = STEP_SHARE * sum(rates.get(name, 0.0) for name in stepping)
        step_s = self._step_s(elapsed_s, full_s, left, step_rate)
        calm_s = self.traffic.burst_s + self.lag_s
        step_due_s = full_s - judged_s - step_s
        # A suspicion may come from the load of a step: it takes another one.
        if elapsed_s >= max(step_due_s, calm_s) and (
            judged and suspected if self.stepped else True
        ):
            self.stepped = True
            self.step_end_s = elapsed_s + step_s
        if self.stepped and elapsed_s < self.step_end_s:
            shares |= dict.fromkeys(stepping, STEP_SHARE)
        if not doubted and elapsed_s >= calm_s:
            if not self.stepped:
                left -= step_s * step_rate
            shares |= self._early(elapsed_s, full_s, left, shares)
        if spent:
            return self._pause(elapsed_s, "exposure budget is spent")
        return self._change(elapsed_s, shares)

    def _end(
        self, elapsed_s: float, doubted: bool, spent: bool
    ) -> RolloutDecision | None:
        """Go to the target for good or back, None if still in doubt."""
        late = elapsed_s >= self.order.duration_s * (1 + SUSPICION_PART)
        if not doubted or late and not self.verdict.closing:
            return self._decide(
                elapsed_s, RolloutStage.FULL, {}, "as good as the old one"
            )
        over = elapsed_s >= self.order.duration_s and spent
        if self.verdict.closing and (late or over):
            return self._roll_back(
                elapsed_s, "under suspicion after the time limit"
            )
        return None

    def _step_s(
        self, elapsed_s: float, full_s: float, left: float, step_rate: float
    ) -> float:
        """Return how long the budget left lets a step last."""
        rates = self.traffic.rates()
        early = sum(
            rate * max(0.0, full_s - max(elapsed_s, self._early_s(name)))
            for name, rate in rates.items()
            if not self._steps(name)
        )
        left = max(0.0, left - min(EARLY_PART * max(0.0, left), early))
        return min(
            MAX_STEP_PART * self.order.duration_s,
            STEP_PART * left / step_rate if step_rate else 0.0,
        )

    def _hold(self, elapsed_s: float) -> RolloutDecision | None:
        """End the step of another holder; else nothing changes."""
        present = self.shares
        held = {
            route: (
                self.limits.exposure_share if share == STEP_SHARE else share
            )
            for route, share in present.items()
        }
        if held == present:
            return None
        return self._decide(
            elapsed_s, RolloutStage.RAMP, held, "step of another holder"
        )

    def _answer_s(self, route: str) -> float:
        return self.answers_s.get(route, self.targets_s.get(route, 0.0))

    def _early_s(self, route: str) -> float:
        """Return when a route goes to the target to end in time."""
        return (
            self.order.duration_s
            - COMPLETION_MARGIN_S
            - self.lag_s
            - self._answer_s(route)
        )

    def _steps(self, route: str) -> bool:
        """Tell whether answers of a route are judged soon after a step."""
        longest = STEP_ANSWER_PART * self.order.duration_s
        return self._answer_s(route) <= longest

    def _early(
        self,
        elapsed_s: float,
        full_s: float,
        left: float,
        shares: dict[str, float],
    ) -> dict[str, float]:
        """Return the routes whose answers last so long that they go first."""
        rates = self.traffic.rates()
        early: dict[str, float] = {}
        for route in sorted(shares, key=self._answer_s, reverse=True):
            if self._steps(route):
                continue
            cost = rates.get(route, 0.0) * max(0.0, full_s - elapsed_s)
            if self.shares.get(route, 0.0) >= 1.0 or (
                elapsed_s >= self._early_s(route) and cost <= left
            ):
                early[route] = 1.0
                left -= cost
        return early

    def _change(
        self, elapsed_s: float, shares: dict[str, float]
    ) -> RolloutDecision | None:
        """Decide on other shares if they differ enough."""
        if self.decision is None:
            return None
        present = self.shares
        stage = RolloutStage.RAMP if self.stepped else RolloutStage.CANARY
        moved = [
            max(share, present.get(route, 0.0))
            / max(1e-9, min(share, present.get(route, 0.0)))
            for route, share in shares.items()
            if share != present.get(route, 0.0)
        ]
        # A step begins and ends on time.
        large = STEP_SHARE / MAX_CANARY_SHARE
        due = elapsed_s - self.decision.elapsed_s >= SHARE_INTERVAL_S
        if max(moved, default=1.0) < (SHARE_CHANGE if due else large):
            return None
        early = any(share >= 1.0 for share in shares.values())
        stage = max(self.decision.stage, RolloutStage.RAMP if early else stage)
        reason = (
            "step to most requests"
            if elapsed_s < self.step_end_s
            else "canary share"
        )
        return self._decide(elapsed_s, stage, shares, reason)
