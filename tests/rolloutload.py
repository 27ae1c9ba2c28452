"""Seeded loads for rollouts: many runs of one order beside each other.

Hosts report once a second, half a second late, and apply decisions some time
after the holder took them.  Times are counted in ticks of TICK_S.
"""

from dataclasses import dataclass
from dataclasses import field

import numpy as np

from magnoliaflow.policy.rollouts import RolloutLimits
from magnoliaflow.policy.rollouts import RolloutOrder
from magnoliaflow.policy.rollouts import RolloutPlan
from magnoliaflow.policy.rollouts import RolloutStage
from magnoliaflow.policy.rollouttallies import class_end_s
from magnoliaflow.policy.rollouttallies import LATENCY_CLASSES
from magnoliaflow.policy.rollouttallies import VersionTally

TICK_S = 0.1
PERIOD = 10
REPORT_DELAY = 5
PLAN_STEP = 2
LIMITS = RolloutLimits(0.1, 50.0, 5.0)
CLASS_ENDS = [class_end_s(number) for number in range(LATENCY_CLASSES - 1)]
ENDED = (RolloutStage.COMPLETED, RolloutStage.ROLLED_BACK)
SENT, FINISHED, FAILED, CLASSES = 0, 1, 2, 3


@dataclass(frozen=True)
class Load:
    """Rates by route, shortest and longest answers, their time limits."""

    rates: tuple[float, ...]
    answers_s: tuple[tuple[float, float], ...]
    # Part of the last route's answers that last 15 s.
    long_part: float = 0.0
    # Factors on rates and on all latencies, from 5 to 8 s.
    burst: tuple[float, float] = (1.0, 1.0)
    old_fails: float = 0.0
    duration_s: float = 12.0


@dataclass(frozen=True)
class Bad:
    """How the new version is bad; ``load``: part of all requests."""

    fails: float = 0.0
    slower: float = 1.0
    from_s: float = 0.0
    load: float = 0.0
    route: int | None = None


@dataclass
class Result:
    stage: RolloutStage | None = None
    reason: str = ""
    ended_s: float = 0.0
    to_target: int = 0
    in_time: int = 0
    # Ticks of bad answers, in order, and the last request to the target.
    bad_ticks: list[int] = field(default_factory=list)
    last_sent: int = 0
    old_running: int = 0

    def exposed(self) -> float:
        """Return the requests to the target above the bound."""
        bound = LIMITS.exposure_share * self.in_time
        return self.to_target - bound - LIMITS.exposure_tolerance

    def late_s(self) -> float:
        """Return the last request's time after the 50th bad answer."""
        if len(self.bad_ticks) < 50:
            return 0.0
        return (self.last_sent - sorted(self.bad_ticks)[49]) * TICK_S


def play(
    load,
    bad=None,
    *,
    runs,
    seed,
    hosts=10,
    delivery_s=(0.1, 0.5),
    limit_s=30.0,
    new_holder_s=None,
):
    """Play ``runs`` orders; return their results."""
    rng = np.random.default_rng(seed)
    routes = len(load.rates)
    names = [f"route-{number}" for number in range(routes)]
    targets = {
        name: 2 * longest
        for name, (_, longest) in zip(names, load.answers_s, strict=True)
    }
    order = RolloutOrder("service", "v2", load.duration_s, 7)
    plans = [
        RolloutPlan(order, LIMITS, targets, elapsed_s=0.0, previous=None)
        for _ in range(runs)
    ]
    results = [Result() for _ in range(runs)]
    total_ticks = int(limit_s / TICK_S)
    ends = total_ticks + 800
    phases = rng.integers(0, PERIOD, hosts)
    shape = (runs, hosts, routes, 2)
    counts = np.zeros((*shape, CLASSES + LATENCY_CLASSES), np.int32)
    finishing = [[] for _ in range(ends)]
    known = np.zeros_like(counts)
    known_number = np.zeros((runs, hosts), np.int32)
    known_tick = np.full(hosts, -REPORT_DELAY)
    reports = {}
    share = np.zeros((runs, hosts, routes))
    number = np.zeros((runs, hosts), np.int32)
    pending = []
    recent = np.zeros((5, runs))
    full_rate = sum(load.rates)
    lows, highs = np.array(load.answers_s).T
    for tick in range(total_ticks):
        now = tick * TICK_S
        # Decisions arrive.
        for item in pending:
            run, decision, arrive, row = item
            here = (arrive == tick) & (number[run] < decision.number)
            number[run][here] = decision.number
            share[run][here] = row
        pending = [item for item in pending if item[2].max() > tick]
        # Requests are sent.
        loaded = 5.0 <= now < 8.0
        factor = load.burst[0] if loaded else 1.0
        means = np.array(load.rates) * factor * TICK_S / hosts
        arrived = rng.poisson(means, (runs, hosts, routes))
        target = rng.binomial(arrived, share)
        sent = np.stack((arrived - target, target), axis=-1)
        counts[..., SENT] += sent
        recent[tick % 5] = target.sum(axis=(1, 2))
        active = np.ones(runs, bool)
        if bad is not None:
            level = recent.sum(axis=0) / (5 * TICK_S * full_rate)
            active = (now >= bad.from_s) & (level >= bad.load)
            active = np.broadcast_to(active, (runs,))
        where = np.repeat(np.arange(sent.size), sent.ravel())
        run, _, route, side = np.unravel_index(where, shape)
        latency = rng.uniform(lows[route], highs[route])
        latency *= load.burst[1] if loaded else 1.0
        if load.long_part:
            is_long = (route == routes - 1) & (
                rng.random(len(where)) < load.long_part
            )
            latency[is_long] = 15.0
        fails = rng.random(len(where)) < load.old_fails
        if bad is not None:
            struck = active[run] & (side == 1)
            if bad.route is not None:
                struck &= route == bad.route
            latency[struck] *= bad.slower
            fails |= struck & (rng.random(len(where)) < bad.fails)
            is_bad = struck & (fails | (bad.slower > 1))
        ended = np.minimum(
            ends - 1, tick + np.maximum(1, latency / TICK_S).astype(int)
        )
        cells = np.searchsorted(CLASS_ENDS, latency)
        for end in np.unique(ended):
            now_ended = ended == end
            finishing[end].append(
                (where[now_ended], cells[now_ended], fails[now_ended])
            )
        if bad is not None:
            for one, end in zip(run[is_bad], ended[is_bad], strict=True):
                results[one].bad_ticks.append(end)
        # Answers end.
        flat = counts.reshape(-1, counts.shape[-1])
        for where, cells, fails in finishing[tick]:
            np.add.at(flat, (where, CLASSES + cells), 1)
            np.add.at(flat, (where, FINISHED), 1)
            np.add.at(flat, (where, FAILED), fails)
        finishing[tick] = []
        for one, got in enumerate(target.sum(axis=(1, 2))):
            if got:
                results[one].to_target += int(got)
                results[one].last_sent = tick
        if now < load.duration_s:
            for one, got in enumerate(arrived.sum(axis=(1, 2))):
                results[one].in_time += int(got)
        # Hosts report.
        mine = phases == tick % PERIOD
        reports[tick] = mine, counts[:, mine].copy(), number[:, mine].copy()
        if tick - REPORT_DELAY in reports:
            mine, values, numbers = reports.pop(tick - REPORT_DELAY)
            known[:, mine] = values
            known_number[:, mine] = numbers
            known_tick[mine] = tick - REPORT_DELAY
        if tick % PLAN_STEP:
            continue
        sums = known.sum(axis=1).tolist()
        counts_age_s = float(tick - known_tick.min()) * TICK_S
        for one, plan in enumerate(plans):
            if plan.stage in ENDED:
                continue
            if new_holder_s is not None and now >= new_holder_s > (
                now - PLAN_STEP * TICK_S
            ):
                plan = plans[one] = RolloutPlan(
                    order,
                    LIMITS,
                    targets,
                    elapsed_s=now,
                    previous=plan.decision,
                )
            tallies = {
                (name, bool(side)): VersionTally(
                    row[SENT],
                    row[FINISHED],
                    row[FAILED],
                    row[SENT] - row[FINISHED],
                    row[CLASSES:],
                )
                for name, sides in zip(names, sums[one], strict=True)
                for side, row in enumerate(sides)
            }
            in_force = plan.decision is not None and bool(
                (known_number[one] == plan.decision.number).all()
            )
            decision = plan.step(
                now,
                tallies,
                counts_age_s=counts_age_s,
                hosts_in_force=in_force,
                target_engines=5,
                old_engines=5,
            )
            if decision is None:
                continue
            delay = rng.uniform(*delivery_s, hosts) / TICK_S
            shares = dict(decision.shares)
            if decision.stage in (RolloutStage.FULL, RolloutStage.COMPLETED):
                shares = dict.fromkeys(names, 1.0)
            pending.append(
                (
                    one,
                    decision,
                    tick + np.maximum(1, delay.astype(int)),
                    [shares.get(name, 0.0) for name in names],
                )
            )
            if decision.stage in ENDED:
                results[one].stage = decision.stage
                results[one].reason = decision.reason
                results[one].ended_s = now
                old = counts[one, :, :, 0, :].sum(axis=(0, 1))
                results[one].old_running = int(old[SENT] - old[FINISHED])
        if (
            now > load.duration_s
            and not pending
            and all(plan.stage in ENDED for plan in plans)
        ):
            break
    return results
