"""Compare the routing policies under load in a table, JSON and a plot.

Each run replays a seeded workload through four real gateway cores in
virtual time, with fake engines, log and network.
"""

from argparse import ArgumentParser
from collections import Counter
from dataclasses import replace
from itertools import product
from json import dumps
from multiprocessing import Pool
from pathlib import Path
from statistics import mean
from statistics import pstdev

from yaml import safe_load

from magnoliaflow.common.codes import Code
from magnoliaflow.common.settingsfile import load_settings
from magnoliaflow.core.inputs import Submitted
from magnoliaflow.work.requests import Role
from workload import capacity
from workload import MeasuredEngine
from workload import requests
from workload import WORKLOADS
from world import World

ROOT = Path(__file__).parent.parent
POLICIES = (
    "round_robin",
    "least_loaded",
    "rendezvous",
    "key_ranges",
    "expected_cost",
)
LOADS = (0.5, 0.75, 1.0, 1.25, 1.5)
SEEDS = (1, 2, 3, 4, 5)
CONDITIONS = ("calm", "wave")
SECONDS = 40.0
WARM_UP_S = 10.0
RECLAIM_AT_S = 20.0
NOTICE_S = 3.0
DRAIN_S = 60.0


class MeasuredWorld(World):
    """A world with batching engines whose callers submit but never poll."""

    def __init__(self, cfg, seed, workload):
        self.seen_blocks = set()
        super().__init__(cfg, seed)
        self.workload = workload
        self.engines = {
            engine_cfg.name: MeasuredEngine(self, engine_cfg)
            for engine_cfg in cfg.backend_servers
            if engine_cfg.kind == "model"
        }
        self.submissions = []
        self.refusals = Counter()
        for node in self.nodes.values():
            self.after(0.3, lambda n=node: self.poll_events(n))

    def poll_events(self, node):
        """Deliver new cache events to a gateway, every 0.3 s."""
        for engine in self.engines.values():
            events = engine.cache_events_for(node) if engine.alive else None
            if events is not None:
                node.feed(events)
        self.after(0.3, lambda: self.poll_events(node))

    def submit_request(self, request_class, account, prompt, answer):
        """Submit a request at a random live entry host."""
        name = self.rng.choice(self.live())
        node = self.nodes[name]
        request_id = node.state.next_id("q")
        content = {"prompt": prompt, "max_tokens": answer}
        node.feed(
            Submitted(
                request_id=request_id,
                account=self.cfg.client_accounts[account].name,
                profile=request_class.profile,
                body=dumps(content).encode(),
                prompt=prompt,
                max_tokens=answer,
                key="",
            )
        )
        code = node.state.refusals.pop(request_id, None)
        self.submissions.append(
            (self.now, request_id, request_class.profile, code)
        )

    def owner_request(self, request_id):
        """Return a request as its owner holds it, or None.

        After a branch conflict the copy with the highest branch is returned.
        """
        copies = [
            node.state.requests.get(request_id)
            for node in self.all_nodes
            if request_id in node.state.requests
        ]
        copies = [copy for copy in copies if copy.role is Role.OWNER]
        return max(copies, key=lambda copy: copy.branch) if copies else None


def make_world(workload, policy, seed):
    """Return a world in which the workload's profiles are in effect."""
    cfg = load_settings(ROOT / "examples" / workload.example)
    cfg = replace(
        cfg,
        limits=replace(cfg.limits, policy=policy),
        timings=replace(cfg.timings, finished_keep_s=1e6),
    )
    world = MeasuredWorld(cfg, seed, workload)
    text = (ROOT / "examples" / workload.profiles).read_text()
    for number, (name, spec) in enumerate(safe_load(text).items()):
        world.publish(name, spec, base=0, change_id=f"p{number}")
    world.run(4.0)
    return world


def reclaim_zone(world):
    """Reclaim all engines of the zone that has the most engines."""
    zones = Counter(engine.cfg.zone for engine in world.engines.values())
    zone = sorted(zones, key=lambda name: (-zones[name], name))[0]
    for engine in world.engines.values():
        if engine.cfg.zone == zone:
            world.notice(engine.cfg.host, NOTICE_S)


def run_one(case):
    """Run one case and return its figures."""
    name, policy, load, condition, seed = case
    workload = WORKLOADS[name]
    world = make_world(workload, policy, seed)
    start = world.now
    rate = load * capacity(world.cfg, workload)
    for at, request_class, account, prompt, answer in requests(
        workload, seed, rate, SECONDS
    ):
        world.after(
            at,
            lambda c=request_class, a=account, p=prompt, n=answer: (
                world.submit_request(c, a, p, n)
            ),
        )
    if condition == "wave":
        world.after(RECLAIM_AT_S, lambda: reclaim_zone(world))
    world.run(WARM_UP_S)
    warm_up_totals = totals(world)
    world.run(SECONDS - WARM_UP_S)
    world.run(DRAIN_S)
    return summary(world, case, warm_up_totals, start + WARM_UP_S)


def totals(world):
    """Return the sums of the engines' counters."""
    engines = world.engines.values()
    return Counter(
        cost=sum(engine.cost() for engine in engines),
        computed=sum(engine.computed for engine in engines),
        recomputed=sum(engine.recomputed for engine in engines),
        moved=sum(engine.moved for engine in engines),
    )


def summary(world, case, warm_up_totals, since):
    """Return the figures of one run, excluding its warm-up.

    Cost and recomputed tokens are per thousand answers on time.
    """
    name, policy, load, condition, seed = case
    final_totals = totals(world)
    submissions = [
        submission
        for submission in world.submissions
        if submission[0] >= since
    ]
    on_time = 0
    lost = 0
    unfinished = 0
    first_tokens = []
    for at, request_id, profile, code in submissions:
        if code is not None:
            continue
        req = world.owner_request(request_id)
        if req is None:
            lost += 1
            continue
        if req.code is not Code.DONE:
            unfinished += 1
            continue
        first_token = req.first_token_at - at
        token_gap = (req.last_token_at - req.first_token_at) / len(req.tokens)
        first_tokens.append(first_token)
        first_on_time = first_token <= req.profile.first_token_s
        on_time += first_on_time and token_gap <= req.profile.token_gap_s
    cost = final_totals["cost"] - warm_up_totals["cost"]
    recomputed = final_totals["recomputed"] - warm_up_totals["recomputed"]
    weight = world.cfg.limits.recompute_weight * 1e-6
    thousands_on_time = max(on_time, 1) / 1000
    sorted_first_tokens = sorted(first_tokens) or [0.0]
    return {
        "deployment": name,
        "policy": policy,
        "load": load,
        "condition": condition,
        "seed": seed,
        "offered": len(submissions),
        "on_time": on_time,
        "share_on_time": on_time / max(1, len(submissions)),
        "cost": cost / thousands_on_time,
        "recomputed": recomputed / thousands_on_time,
        "moved": final_totals["moved"] - warm_up_totals["moved"],
        "weighted": (cost + weight * recomputed) / thousands_on_time,
        "first_token_p95_s": sorted_first_tokens[
            int(len(sorted_first_tokens) * 0.95)
        ],
        "refused": dict(
            Counter(
                submission[3].name
                for submission in submissions
                if submission[3] is not None
            )
        ),
        "lost": lost,
        "unfinished": unfinished,
    }


def table(results):
    """Return a table of means and standard deviations over the seeds."""
    lines = [
        f"{'deployment':14} {'cond':5} {'load':4} {'policy':14} "
        f"{'on time':>14} {'cost/1000':>15} {'recomputed/1000':>18} "
        f"{'weighted':>15} {'p95 s':>6} {'lost':>4}"
    ]
    for key, group in group_by_case(results).items():
        name, condition, load, policy = key
        lines.append(
            f"{name:14} {condition:5} {load:4} {policy:14} "
            f"{format_mean_and_deviation(group, 'share_on_time', 3):>14} "
            f"{format_mean_and_deviation(group, 'cost', 3):>15} "
            f"{format_mean_and_deviation(group, 'recomputed', 0):>18} "
            f"{format_mean_and_deviation(group, 'weighted', 2):>15} "
            f"{mean(entry['first_token_p95_s'] for entry in group):6.2f} "
            f"{sum(entry['lost'] + entry['unfinished'] for entry in group):4}"
        )
    return "\n".join(lines)


def format_mean_and_deviation(group, name, digits):
    """Return the mean and the standard deviation of a figure."""
    values = [result[name] for result in group]
    return f"{mean(values):.{digits}f}±{pstdev(values):.{digits}f}"


def group_by_case(results):
    """Group the results of all seeds by case."""
    groups = {}
    for result in results:
        key = (result["deployment"], result["condition"], result["load"])
        groups.setdefault((*key, result["policy"]), []).append(result)
    return dict(sorted(groups.items(), key=lambda group: str(group[0])))


def check_goals(results, loads):
    """Report whether expected_cost meets its goals.

    It has a lower weighted cost than every baseline, and beyond saturation
    it keeps 90 % of its peak of on-time answers.
    """
    groups = group_by_case(results)
    lines = []
    cases = {key[:3] for key in groups}
    for name, condition, load in sorted(cases):
        scores = {
            key[3]: mean(result["weighted"] for result in group)
            for key, group in groups.items()
            if key[:3] == (name, condition, load)
        }
        own_score = scores.pop("expected_cost", None)
        if own_score is None or not scores:
            continue
        best = min(scores, key=lambda policy: scores[policy])
        lines.append(
            f"{name} {condition} {load}: ours {own_score:.2f}, best baseline "
            f"{best} {scores[best]:.2f}: "
            f"{'met' if own_score < scores[best] else 'MISSED'}"
        )
    for name, condition in sorted({case[:2] for case in cases}):
        rates = {
            load: mean(
                result["on_time"]
                for result in groups[(name, condition, load, "expected_cost")]
            )
            for load in loads
        }
        peak = max(rates.values())
        peak_load = max(load for load in loads if rates[load] == peak)
        lowest = min(rates[load] for load in loads if load >= peak_load)
        lines.append(
            f"{name} {condition}: on time per run {rates}, beyond "
            f"saturation {lowest / peak:.2f} of the peak: "
            f"{'met' if lowest >= 0.9 * peak else 'MISSED'}"
        )
    return "\n".join(lines)


def plot(results, path):
    """Plot the weighted cost over load for each deployment."""
    from matplotlib import use

    use("Agg")
    from matplotlib.pyplot import subplots

    deployments = sorted({result["deployment"] for result in results})
    figure, axes = subplots(
        len(deployments), len(CONDITIONS), figsize=(11, 8), squeeze=False
    )
    groups = group_by_case(results)
    for (row, name), (column, condition) in product(
        enumerate(deployments), enumerate(CONDITIONS)
    ):
        axis = axes[row][column]
        for policy in POLICIES:
            points = [
                (key[2], mean(result["weighted"] for result in group))
                for key, group in groups.items()
                if (key[0], key[1], key[3]) == (name, condition, policy)
            ]
            if points:
                axis.plot(*zip(*points), marker="o", label=policy)
        axis.set_title(f"{name}, {condition}")
        axis.set_xlabel("load, in shares of capacity")
        axis.set_ylabel("weighted cost per 1,000 on-time answers")
        axis.set_yscale("log")
    axes[0][0].legend()
    figure.tight_layout()
    figure.savefig(path)


def main():
    """Run all cases and write the results."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--loads", type=float, nargs="+", default=LOADS)
    parser.add_argument("--seeds", type=int, nargs="+", default=SEEDS)
    parser.add_argument("--policies", nargs="+", default=POLICIES)
    parser.add_argument("--conditions", nargs="+", default=CONDITIONS)
    parser.add_argument("--deployments", nargs="+", default=list(WORKLOADS))
    parser.add_argument("--processes", type=int, default=7)
    parser.add_argument("--out", type=Path, default=ROOT / "run")
    args = parser.parse_args()
    cases = list(
        product(
            args.deployments,
            args.policies,
            args.loads,
            args.conditions,
            args.seeds,
        )
    )
    with Pool(args.processes) as pool:
        results = pool.map(run_one, cases, chunksize=1)
    args.out.mkdir(exist_ok=True)
    (args.out / "measure.json").write_text(dumps(results, indent=1))
    print(table(results))
    print(check_goals(results, args.loads))
    plot(results, args.out / "measure.png")


if __name__ == "__main__":
    main()
