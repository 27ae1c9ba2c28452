"""Measures the policies under load: table, JSON and plot.

Each run replays a seeded workload through four real decision cores, with
fakes for engines, log and network, in virtual time.
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
WAVE_AT_S = 20.0
NOTICE_S = 3.0
DRAIN_S = 60.0


class MeasuredWorld(World):
    """A world with measured engines and callers that only watch."""

    def __init__(self, cfg, seed, workload):
        self.seen_blocks = set()
        super().__init__(cfg, seed)
        self.workload = workload
        self.engines = {
            item.name: MeasuredEngine(self, item)
            for item in cfg.backend_servers
            if item.kind == "model"
        }
        self.rows = []
        self.refusals = Counter()
        for node in self.nodes.values():
            self.after(0.3, lambda n=node: self.poll_events(n))

    def poll_events(self, node):
        """Fetch cache events for a gateway."""
        for engine in self.engines.values():
            news = engine.news_for(node) if engine.alive else None
            if news is not None:
                node.feed(news)
        self.after(0.3, lambda: self.poll_events(node))

    def ask(self, kind, account, prompt, answer):
        """Submit one request at an entry host, as addresses rank them."""
        name = self.rng.choice(self.live())
        node = self.nodes[name]
        request_id = node.state.next_id("q")
        content = {"prompt": prompt, "max_tokens": answer}
        node.feed(
            Submitted(
                request_id=request_id,
                account=self.cfg.client_accounts[account].name,
                profile=kind.profile,
                body=dumps(content).encode(),
                prompt=prompt,
                max_tokens=answer,
                key="",
            )
        )
        code = node.state.refusals.pop(request_id, None)
        self.rows.append((self.now, request_id, kind.profile, code))

    def outcome(self, request_id):
        """Return the row of the process that serves a request."""
        rows = [
            node.state.requests.get(request_id)
            for node in self.every_node
            if request_id in node.state.requests
        ]
        rows = [row for row in rows if row.role is Role.OWNER]
        return max(rows, key=lambda row: row.branch) if rows else None


def make_world(workload, policy, seed):
    """Return a world with the workload's profiles in force."""
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
    """Reclaim every engine of the zone that holds most of them."""
    zones = Counter(item.cfg.zone for item in world.engines.values())
    zone = sorted(zones, key=lambda name: (-zones[name], name))[0]
    for engine in world.engines.values():
        if engine.cfg.zone == zone:
            world.notice(engine.cfg.host, NOTICE_S)


def run_one(case):
    """Run one case and return what it measured."""
    name, policy, load, condition, seed = case
    workload = WORKLOADS[name]
    world = make_world(workload, policy, seed)
    start = world.now
    rate = load * capacity(world.cfg, workload)
    for at, kind, account, prompt, answer in requests(
        workload, seed, rate, SECONDS
    ):
        world.after(
            at,
            lambda k=kind, a=account, p=prompt, n=answer: world.ask(
                k, a, p, n
            ),
        )
    if condition == "wave":
        world.after(WAVE_AT_S, lambda: reclaim_zone(world))
    world.run(WARM_UP_S)
    before = totals(world)
    world.run(SECONDS - WARM_UP_S)
    world.run(DRAIN_S)
    return summary(world, case, before, start + WARM_UP_S)


def totals(world):
    """Return the engines' counters."""
    engines = world.engines.values()
    return Counter(
        cost=sum(engine.cost() for engine in engines),
        computed=sum(engine.computed for engine in engines),
        recomputed=sum(engine.recomputed for engine in engines),
        moved=sum(engine.moved for engine in engines),
    )


def summary(world, case, before, since):
    """Return the figures of one run, from the end of its warm-up."""
    name, policy, load, condition, seed = case
    used = totals(world)
    rows = [row for row in world.rows if row[0] >= since]
    on_time = 0
    lost = 0
    unfinished = 0
    first_tokens = []
    for at, request_id, profile, code in rows:
        if code is not None:
            continue
        req = world.outcome(request_id)
        if req is None:
            lost += 1
            continue
        if req.code is not Code.DONE:
            unfinished += 1
            continue
        first = req.first_token_at - at
        gap = (req.last_token_at - req.first_token_at) / len(req.tokens)
        first_tokens.append(first)
        soon = first <= req.profile.first_token_s
        on_time += soon and gap <= req.profile.token_gap_s
    cost = used["cost"] - before["cost"]
    recomputed = used["recomputed"] - before["recomputed"]
    weight = world.cfg.limits.recompute_weight * 1e-6
    thousand = max(on_time, 1) / 1000
    ranked = sorted(first_tokens) or [0.0]
    return {
        "deployment": name,
        "policy": policy,
        "load": load,
        "condition": condition,
        "seed": seed,
        "offered": len(rows),
        "on_time": on_time,
        "share_on_time": on_time / max(1, len(rows)),
        "cost": cost / thousand,
        "recomputed": recomputed / thousand,
        "moved": used["moved"] - before["moved"],
        "weighted": (cost + weight * recomputed) / thousand,
        "first_token_p95_s": ranked[int(len(ranked) * 0.95)],
        "refused": dict(
            Counter(row[3].name for row in rows if row[3] is not None)
        ),
        "lost": lost,
        "unfinished": unfinished,
    }


def table(results):
    """Return the printed table: means over seeds, spread behind them."""
    lines = [
        f"{'deployment':14} {'cond':5} {'load':4} {'policy':14} "
        f"{'on time':>14} {'cost/1000':>15} {'recomputed/1000':>18} "
        f"{'weighted':>15} {'p95 s':>6} {'lost':>4}"
    ]
    for key, rows in grouped(results).items():
        name, condition, load, policy = key
        lines.append(
            f"{name:14} {condition:5} {load:4} {policy:14} "
            f"{spread(rows, 'share_on_time', 3):>14} "
            f"{spread(rows, 'cost', 3):>15} "
            f"{spread(rows, 'recomputed', 0):>18} "
            f"{spread(rows, 'weighted', 2):>15} "
            f"{mean(row['first_token_p95_s'] for row in rows):6.2f} "
            f"{sum(row['lost'] + row['unfinished'] for row in rows):4}"
        )
    return "\n".join(lines)


def spread(rows, name, digits):
    """Return mean and deviation of a figure over seeds."""
    values = [row[name] for row in rows]
    return f"{mean(values):.{digits}f}±{pstdev(values):.{digits}f}"


def grouped(results):
    """Return the results by case, seeds together."""
    groups = {}
    for row in results:
        key = (row["deployment"], row["condition"], row["load"])
        groups.setdefault((*key, row["policy"]), []).append(row)
    return dict(sorted(groups.items(), key=lambda item: str(item[0])))


def verdicts(results, loads):
    """Return how the chosen policy meets the goals."""
    groups = grouped(results)
    lines = []
    cases = {key[:3] for key in groups}
    for name, condition, load in sorted(cases):
        score = {
            key[3]: mean(row["weighted"] for row in rows)
            for key, rows in groups.items()
            if key[:3] == (name, condition, load)
        }
        ours = score.pop("expected_cost", None)
        if ours is None or not score:
            continue
        best = min(score, key=lambda policy: score[policy])
        lines.append(
            f"{name} {condition} {load}: ours {ours:.2f}, best baseline "
            f"{best} {score[best]:.2f}: "
            f"{'met' if ours < score[best] else 'MISSED'}"
        )
    for name, condition in sorted({case[:2] for case in cases}):
        rates = {
            load: mean(
                row["on_time"]
                for row in groups[(name, condition, load, "expected_cost")]
            )
            for load in loads
        }
        peak = max(rates.values())
        full = max(load for load in loads if rates[load] == peak)
        worst = min(rates[load] for load in loads if load >= full)
        lines.append(
            f"{name} {condition}: on time per run {rates}, beyond "
            f"saturation {worst / peak:.2f} of the peak: "
            f"{'met' if worst >= 0.9 * peak else 'MISSED'}"
        )
    return "\n".join(lines)


def plot(results, path):
    """Draw the weighted measure over load for each deployment."""
    from matplotlib import use

    use("Agg")
    from matplotlib.pyplot import subplots

    names = sorted({row["deployment"] for row in results})
    figure, axes = subplots(
        len(names), len(CONDITIONS), figsize=(11, 8), squeeze=False
    )
    groups = grouped(results)
    for (row, name), (column, condition) in product(
        enumerate(names), enumerate(CONDITIONS)
    ):
        axis = axes[row][column]
        for policy in POLICIES:
            points = [
                (key[2], mean(item["weighted"] for item in rows))
                for key, rows in groups.items()
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
    """Run every case and write what was measured."""
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
    print(verdicts(results, args.loads))
    plot(results, args.out / "measure.png")


if __name__ == "__main__":
    main()
