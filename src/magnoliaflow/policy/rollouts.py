"""Share of a service's new requests that go to another version, over time.

It answers an order to move a service's traffic to a version that may be bad:
at once, later, under load or on one route only, with news of its answers that
is seconds old.  The holder of the duty runs one RolloutPlan an order; hosts
apply its decisions by share_in_force and sends_to_target.

A bad version may get a part of the service's requests, the exposure budget.
The plan spends it on a canary share of each route, about as many requests on
each, on one short step to most of the traffic, whose answers are judged at the
canary share again, and on routes with long answers, which go to the target
first.  All new requests go there as late as a completion in time allows.
Budget, times and shares follow from the rates, latencies and delays that the
hosts report.

Times are in seconds of one clock, handed in by the caller.
"""

from collections import deque
from dataclasses import dataclass
from enum import IntEnum
from math import exp
from math import inf
from math import sqrt

from xxhash import xxh64_intdigest

from magnoliaflow.policy.rolloutverdict import class_end_s
from magnoliaflow.policy.rolloutverdict import CONTROL_S
from magnoliaflow.policy.rolloutverdict import latency_class
from magnoliaflow.policy.rolloutverdict import LATENCY_CLASSES
from magnoliaflow.policy.rolloutverdict import quantile_class
from magnoliaflow.policy.rolloutverdict import RolloutVerdict
from magnoliaflow.policy.rolloutverdict import Tallies
from magnoliaflow.policy.rolloutverdict import VersionTally

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
# Requests are counted over this time for the rates.
RATE_WINDOW_S = 3.0
MIN_RATE_WINDOW_S = 0.8
# A count above the mean over USUAL_S by this factor, and by as many standard
# deviations, is a burst, SETTLE_S after the first count.  Its answers may last
# as many times longer.
USUAL_S = 10.0
SETTLE_S = 4.0
BURST_RATIO = 1.5
BURST_SPREAD = 3.0
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
# Before all requests go to the target: the share is 0 while the tallies of a
# live host are older than this, and at a host that the holder has not
# confirmed the decision to for longer.  Both are below a rollback's time.
NEWS_LIMIT_S = 3.0
HOLD_S = 2.5
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


class RolloutStage(IntEnum):
    """Stages; from FULL on, all new requests go to the target."""

    CANARY = 1
    RAMP = 2
    FULL = 3
    COMPLETED = 4
    ROLLED_BACK = 5


ENDED = frozenset((RolloutStage.COMPLETED, RolloutStage.ROLLED_BACK))


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order; ``position`` in the store.

    A later order of a service replaces an earlier one.
    """

    service: str
    target: str
    duration_s: float
    position: int


@dataclass(frozen=True, slots=True)
class RolloutLimits:
    """Bounds of a bad version's requests (part, count) and rollback."""

    exposure_share: float
    exposure_tolerance: float
    rollback_s: float


@dataclass(frozen=True, slots=True)
class RolloutDecision:
    """What all hosts apply.

    ``order``: position of the order; ``number``: from 1, grows with each
    decision of an order; ``shares``: (route, part of its new requests that go
    to the target), 0 for others before FULL.
    """

    service: str
    target: str
    order: int
    number: int
    stage: RolloutStage
    shares: tuple[tuple[str, float], ...]
    elapsed_s: float
    reason: str


def share_in_force(
    decision: RolloutDecision | None, route: str, age_s: float
) -> float:
    """Return the share of a route's new requests that go to the target.

    ``age_s``: time since the holder last confirmed the decision.  A host that
    it was not confirmed to sends nothing there before FULL; from FULL on the
    decision holds, since the old engines may have stopped.
    """
    if decision is None or decision.stage == RolloutStage.ROLLED_BACK:
        return 0.0
    if decision.stage >= RolloutStage.FULL:
        return 1.0
    if age_s > HOLD_S:
        return 0.0
    return dict(decision.shares).get(route, 0.0)


def sends_to_target(
    decision: RolloutDecision | None,
    route: str,
    request_id: str,
    age_s: float,
) -> bool:
    """Tell whether a new request goes to the target, drawn from its id.

    A higher share keeps the requests of a lower one.
    """
    share = share_in_force(decision, route, age_s)
    if decision is None or not 0.0 < share < 1.0:
        return share >= 1.0
    point = xxh64_intdigest(request_id.encode(), seed=decision.order % 2**63)
    return point / 2.0**64 < share


class Traffic:
    """Requests of a service since the order, by route, and their rates."""

    __slots__ = ("seen", "sent", "samples")

    def __init__(self) -> None:
        self.seen: dict[tuple[str, bool], int] = {}
        # Never fall, also if a host that reported a part of them ends.
        self.sent: dict[tuple[str, bool], int] = {}
        self.samples: deque[tuple[float, dict[tuple[str, bool], int]]] = (
            deque()
        )

    def feed(self, at_s: float, tallies: Tallies, news_age_s: float) -> None:
        for key, tally in tallies.items():
            grown = max(0, tally.sent - self.seen.get(key, 0))
            self.seen[key] = tally.sent
            self.sent[key] = self.sent.get(key, 0) + grown
        if at_s < news_age_s:
            # Some hosts have not reported since the order.
            return
        self.samples.append((at_s, dict(self.sent)))
        while (
            len(self.samples) > 2
            and self.samples[1][0] <= at_s - RATE_WINDOW_S
        ):
            self.samples.popleft()

    def total(self, target: bool | None = None) -> int:
        return sum(
            count
            for (_, side), count in self.sent.items()
            if target is None or side == target
        )

    def rates(self) -> dict[str, float]:
        """Return requests per second by route; empty while not known."""
        if not self.samples:
            return {}
        first_s, first = self.samples[0]
        last_s, last = self.samples[-1]
        if last_s - first_s < MIN_RATE_WINDOW_S:
            return {}
        rates: dict[str, float] = {}
        for (route, side), count in last.items():
            grown = count - first.get((route, side), 0)
            rates[route] = rates.get(route, 0.0) + grown / (last_s - first_s)
        return rates


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
        "began_s",
        "moved_s",
        "burst_s",
        "usual",
        "usual_s",
        "counted",
        "exposed",
        "exposed_s",
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
        self.order = order
        self.limits = limits
        self.targets_s = targets_s
        self.decision = previous
        self.verdict = RolloutVerdict(
            max(CONTROL_S, LATEST_PART * order.duration_s)
        )
        self.traffic = Traffic()
        self.serving = serving
        self.lag_s = 0.0
        self.in_force = previous is not None
        # Whether the step to most of the traffic has begun, and its end.
        self.stepped = bool(
            previous is not None and previous.stage >= RolloutStage.RAMP
        )
        self.step_end_s = elapsed_s
        self.answers_s: dict[str, float] = {}
        # Requests to the target, and when they were counted.
        self.began_s = elapsed_s
        # When the share of a route last moved by much.
        self.moved_s: dict[str, float] = {}
        # When the last burst was seen.
        self.burst_s = -inf
        # Mean rate, below 0 while not known, and when it was set.
        self.usual = -1.0
        self.usual_s = elapsed_s
        # All requests until the time limit.
        self.counted = 0
        self.exposed = 0.0
        self.exposed_s = elapsed_s

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
        news_age_s: float,
        hosts_in_force: bool,
        target_engines: int,
        old_engines: int,
    ) -> RolloutDecision | None:
        """Return the next decision, None if nothing changes.

        ``news_age_s``: age of the oldest live host's tallies.
        ``hosts_in_force``: all live hosts reported that they apply the
        decision.
        """
        if self.stage in ENDED:
            return None
        full = self.stage == RolloutStage.FULL
        self.traffic.feed(elapsed_s, tallies, news_age_s)
        self._expose(elapsed_s)
        self._observe_lag(elapsed_s, news_age_s, hosts_in_force)
        self.verdict.feed(
            elapsed_s,
            tallies,
            news_age_s=news_age_s,
            alone=frozenset(
                route
                for route, _ in tallies
                if full or self.shares.get(route, 0.0) >= 1.0
            ),
            uneven=self._observe_burst(elapsed_s),
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
                elapsed_s, news_age_s, hosts_in_force, old_runs, old_engines
            )
        if self.decision is None and not old_engines and not old_runs:
            return self._decide(
                elapsed_s, RolloutStage.COMPLETED, {}, "no other engines"
            )
        if self.serving:
            return self._decide(
                elapsed_s, RolloutStage.FULL, {}, "the target serves already"
            )
        if self.decision is not None and news_age_s > NEWS_LIMIT_S:
            return self._pause(elapsed_s, f"news {news_age_s:.1f} s old")
        return self._advance(elapsed_s, news_age_s)

    def _observe_lag(
        self, elapsed_s: float, news_age_s: float, hosts_in_force: bool
    ) -> None:
        """Follow the time from a decision to the report of all hosts."""
        largest = MAX_LAG_PART * self.order.duration_s
        if self.decision is None or not self.lag_s:
            self.lag_s = min(largest, news_age_s + DELIVERY_S)
        elif not self.in_force:
            self.in_force = hosts_in_force
            taken = elapsed_s - self.decision.elapsed_s
            self.lag_s = min(largest, max(self.lag_s, taken))

    def _observe_burst(self, elapsed_s: float) -> frozenset[str]:
        """Return the routes whose share moved beside a burst of requests.

        Until the answers to it have come: they last longer, and one side
        answers more of them than of others.
        """
        rates = self.traffic.rates()
        if rates:
            rate = sum(rates.values())
            if self.usual < 0.0 or elapsed_s < self.began_s + SETTLE_S:
                self.usual = rate
            weight = 1.0 - exp((self.usual_s - elapsed_s) / USUAL_S)
            self.usual += weight * (rate - self.usual)
            usual = self.usual * RATE_WINDOW_S
            spread = BURST_SPREAD * (1 + sqrt(usual))
            if rate * RATE_WINDOW_S > BURST_RATIO * usual + spread:
                self.burst_s = elapsed_s
        self.usual_s = elapsed_s
        longest_s = max(self.answers_s.values(), default=0.0)
        since_s = elapsed_s - self.lag_s - BURST_ANSWERS * longest_s
        if self.burst_s < since_s:
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
        news_age_s: float,
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
            or news_age_s > NEWS_LIMIT_S
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

    def _budget(self, elapsed_s: float, news_age_s: float) -> float:
        """Return how many requests the target may get until the limit."""
        rate = sum(self.traffic.rates().values())
        seen_s = max(MIN_RATE_WINDOW_S, elapsed_s - news_age_s)
        if seen_s <= self.order.duration_s:
            self.counted = self.traffic.total()
        seen = self.counted or self.traffic.total()
        left_s = max(0.0, self.order.duration_s - seen_s)
        expected = seen + min(rate, seen / seen_s) * left_s
        return BUDGET_PART * (
            self.limits.exposure_share * expected
            + self.limits.exposure_tolerance
        )

    def _expose(self, elapsed_s: float) -> None:
        """Follow how many requests the target got, also unreported ones."""
        rates = self.traffic.rates()
        rate = sum(
            rates.get(route, 0.0) * share
            for route, share in self.shares.items()
        )
        self.exposed += rate * max(0.0, elapsed_s - self.exposed_s)
        self.exposed = max(self.exposed, self.traffic.total(True))
        self.exposed_s = elapsed_s

    def _canary(self, budget: float) -> dict[str, float]:
        """Return a share of each route with about as many requests."""
        rates = self.traffic.rates()
        routes = sorted(self.targets_s.keys() | rates.keys())
        if not rates:
            # Within the bound at any rate.
            share = min(MAX_CANARY_SHARE, self.limits.exposure_share)
            return dict.fromkeys(routes, share)
        left = CANARY_PART * budget / self.order.duration_s
        # Routes that take no part in the step are judged by this alone.
        weights = {
            route: 1 if self._steps(route) else LONG_WEIGHT for route in routes
        }
        weight = sum(weights.values())
        shares = {}
        # What a small route can't use goes to the others.
        for route in sorted(
            routes, key=lambda route: rates.get(route, 0.0) / weights[route]
        ):
            rate = rates.get(route, 0.0)
            part = left * weights[route] / weight
            share = min(MAX_CANARY_SHARE, part / rate if rate else 1.0)
            shares[route] = round(share, 4)
            left -= share * rate
            weight -= weights[route]
        return shares

    def _advance(
        self, elapsed_s: float, news_age_s: float
    ) -> RolloutDecision | None:
        """Return the next decision before all requests go to the target."""
        rates = self.traffic.rates()
        budget = self._budget(elapsed_s, news_age_s)
        shares = self._canary(budget)
        if self.decision is None:
            return self._decide(elapsed_s, RolloutStage.CANARY, shares, "new")
        if not rates:
            return self._hold(elapsed_s)
        left = budget - self.exposed
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
            late = elapsed_s >= self.order.duration_s * (1 + SUSPICION_PART)
            if not doubted or late and not self.verdict.closing:
                return self._decide(
                    elapsed_s, RolloutStage.FULL, {}, "as good as the old one"
                )
            if suspected and (
                late or elapsed_s >= self.order.duration_s and spent
            ):
                return self._roll_back(
                    elapsed_s, "under suspicion after the time limit"
                )
        reserve = min(
            EARLY_PART * left,
            sum(
                rates.get(name, 0.0)
                * (full_s - max(elapsed_s, self._early_s(name)))
                for name in shares
                if not self._steps(name)
            ),
        )
        step_rate = STEP_SHARE * sum(rates.get(name, 0.0) for name in stepping)
        step_s = min(
            MAX_STEP_PART * self.order.duration_s,
            STEP_PART * (left - reserve) / step_rate if step_rate else 0.0,
        )
        calm_s = self.burst_s + self.lag_s
        step_due_s = full_s - judged_s - max(0.0, step_s)
        # A suspicion may come from the load of a step: it takes another one.
        if elapsed_s >= max(step_due_s, calm_s) and (
            judged and suspected if self.stepped else True
        ):
            self.stepped = True
            self.step_end_s = elapsed_s + max(0.0, step_s)
        if self.stepped and elapsed_s < self.step_end_s:
            shares |= dict.fromkeys(stepping, STEP_SHARE)
        if not doubted and elapsed_s >= calm_s:
            if not self.stepped:
                left -= max(0.0, step_s) * step_rate
            shares |= self._early(elapsed_s, full_s, left, shares)
        if spent:
            return self._pause(elapsed_s, "exposure budget is spent")
        return self._change(elapsed_s, shares)

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
