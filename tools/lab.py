"""Emulates hosts that place prompts at engines, in virtual time.

The hosts run the product's own placing with its tables; engines read prompts
in chunks between the steps of the answers that they give, and keep the parts
that they have read.  Each host knows its own sends at once and the others'
with their beats.  Experiments are YAML files; results go to a table, JSON and
a plot.
"""

from argparse import ArgumentParser
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush
from itertools import count
from itertools import product
from json import dumps
from math import exp
from pathlib import Path
from random import Random
from statistics import mean
from statistics import quantiles
from typing import Any

from xxhash import xxh64_intdigest
from yaml import safe_load

from magnoliaflow.common.settings import BackendServer
from magnoliaflow.policy.engines import Engine
from magnoliaflow.policy.engines import new_engine
from magnoliaflow.policy.placement import first_token_s
from magnoliaflow.policy.prefixes import PrefixIndex
from magnoliaflow.policy.routing import choose
from magnoliaflow.policy.routing import CostWeights
from magnoliaflow.policy.routing import find_policy
from magnoliaflow.policy.routing import policy
from magnoliaflow.policy.routing import RoutingRequest
from magnoliaflow.policy.routing import RoutingState

BACKEND = "llm"
PLANNED_RATE = 30_000.0
CACHE_TOKENS = 300_000
# A stream is late when it pauses for longer than this between two tokens'
# worth of an event.
PAUSE_S = 1.0
EVENT_TOKENS = 5
# The first seconds fill the engines' caches and are not counted.
WARM_UP_S = 6.0


@policy("power_of_two")
def power_of_two(
    view: RoutingState, need: RoutingRequest, engines: list[Engine], now: float
) -> Engine:
    """Return the better of two engines drawn at random."""
    drawn = view.rng.sample(engines, min(2, len(engines)))
    return min(
        drawn,
        key=lambda row: first_token_s(row, view.uncached(row, need), now),
    )


@policy("blind")
def blind(
    view: RoutingState, need: RoutingRequest, engines: list[Engine], now: float
) -> Engine:
    """Return any engine."""
    return view.rng.choice(engines)


@dataclass(slots=True)
class Job:
    """A request on its way through the deployment."""

    need: RoutingRequest
    kind: str
    target_s: float
    arrived: float
    host: int = 0
    engine: str = ""
    believed: int = 0
    unread: int = 0
    left: int = 0
    first_at: float = 0.0
    event_at: float = 0.0
    paused: bool = False


@dataclass(slots=True)
class EmulatedEngine:
    """An engine that reads prompts between the steps of its answers."""

    name: str
    cfg: dict[str, Any]
    prompts: deque[Job] = field(default_factory=deque)
    answers: list[Job] = field(default_factory=list)
    held: PrefixIndex = field(
        default_factory=lambda: PrefixIndex(capacity=CACHE_TOKENS)
    )
    stepping: bool = False
    reread: int = 0

    def take(self, job: Job, now: float) -> None:
        """Queue a prompt; only parts not held are read."""
        blocks, sizes = job.need.blocks, job.need.sizes
        known = int(self.held.matched(self.name, blocks))
        job.unread = max(1, job.need.prompt_tokens - sum(sizes[:known]))
        self.reread += sum(sizes[known:-1])
        self.held.add(self.name, blocks, now, sizes=sizes)
        self.prompts.append(job)

    def step(self) -> tuple[float, list[Job]]:
        """Return how long one step takes, and the prompts it completes."""
        budget, read, done = self.cfg["chunk"], 0, []
        room = self.cfg["slots"] - len(self.answers)
        while self.prompts and budget > 0 and len(done) < room:
            job = self.prompts[0]
            part = min(budget, job.unread)
            job.unread -= part
            budget -= part
            read += part
            if job.unread > 0:
                break
            done.append(self.prompts.popleft())
        took = (
            self.cfg["step_ms"]
            + self.cfg["step_ms_per_slot"] * len(self.answers)
            + read / self.cfg["prefill_tokens_per_ms"]
        )
        return took / 1000.0, done


class Lab:
    """One run of one experiment."""

    def __init__(
        self, plan: dict[str, Any], load: float, name: str, seed: int
    ) -> None:
        self.plan = plan
        self.rng = Random(seed)
        self.function = find_policy(name)
        self.events: list[tuple[float, int, Any, tuple[Any, ...]]] = []
        self.order = count()
        self.now = 0.0
        self.jobs: list[Job] = []
        self.engines = {
            f"m{at}": EmulatedEngine(f"m{at}", plan["engine"])
            for at in range(plan["engines"])
        }
        self.views = [self._view(at) for at in range(plan["hosts"])]
        self.told: list[dict[str, tuple[int, int]]] = [{} for _ in self.views]
        self._plan_traffic(load)
        for host in range(plan["hosts"]):
            self.at(self.rng.random() * plan["beat_s"], self._beat, host)

    def _view(self, at: int) -> RoutingState:
        view = RoutingState(
            name=f"h{at}", weights=CostWeights(0.0, 1.0), rng=Random(at)
        )
        view.prefixes = PrefixIndex(capacity=CACHE_TOKENS)
        view.load_factor = float(self.plan["hosts"])
        for name in self.engines:
            cfg = BackendServer(
                name=name,
                kind="model",
                host=name,
                zone="a",
                address=name,
                backend=BACKEND,
                checks_fencing=False,
                reclaimable=False,
                slots=self.plan["engine"]["slots"],
                prefill_rate=PLANNED_RATE,
            )
            view.add(new_engine(cfg))
        return view

    def at(self, when: float, action: Any, *args: Any) -> None:
        """Do something at a time."""
        heappush(self.events, (when, next(self.order), action, args))

    def _plan_traffic(self, load: float) -> None:
        """Draw arrivals whose fresh tokens take a part of the engines."""
        classes = self.plan["classes"]
        fresh = sum(row["share"] * row["tokens"] for row in classes)
        rate = self.plan["engine"]["prefill_tokens_per_ms"] * 1000.0
        per_s = load * rate * self.plan["engines"] / fresh
        now, number = 0.0, 0
        while now < self.plan["seconds"]:
            now += self.rng.expovariate(per_s)
            number += 1
            row = self.rng.choices(
                classes, [item["share"] for item in classes]
            )[0]
            self.at(now, self._arrive, self._job(row, number, now))

    def _job(self, row: dict[str, Any], number: int, now: float) -> Job:
        spread = row["spread"]
        own = int(
            row["tokens"]
            * exp(self.rng.gauss(0.0, spread) - spread * spread / 2)
        )
        own = max(20, min(own, 12 * row["tokens"]))
        thing = self.rng.randrange(row["shared"][-1][1])
        things = [thing % many for _, many in row["shared"]]
        sizes = [tokens for tokens, _ in row["shared"]] + [own]
        names = [
            xxh64_intdigest(f"{row['name']}/{depth}/{part}".encode())
            for depth, part in enumerate(things)
        ] + [number]
        need = RoutingRequest(
            request_id=str(number),
            backend=BACKEND,
            blocks=tuple(names),
            prompt_tokens=sum(sizes),
            answer_tokens=row["answer"],
            first_token_s=row["target_s"],
            token_gap_s=0.0,
            target_s=row["target_s"],
            sizes=tuple(sizes),
        )
        return Job(need, row["name"], row["target_s"], now)

    def _arrive(self, job: Job) -> None:
        job.host = self.rng.randrange(len(self.views))
        view = self.views[job.host]
        pick = choose(view, job.need, self.function, self.now)
        assert pick is not None
        job.engine, job.believed = pick.engine, pick.uncached_tokens
        view.engines[pick.engine].record_prompt_sent(job.believed)
        view.prefixes.add(
            pick.engine, job.need.blocks, self.now, sizes=job.need.sizes
        )
        self.jobs.append(job)
        engine = self.engines[pick.engine]
        engine.take(job, self.now)
        if not engine.stepping:
            engine.stepping = True
            self._step(engine)

    def _step(self, engine: EmulatedEngine) -> None:
        if not engine.prompts and not engine.answers:
            engine.stepping = False
            return
        took, read = engine.step()
        self.at(self.now + took, self._stepped, engine, read)

    def _stepped(self, engine: EmulatedEngine, read: list[Job]) -> None:
        for job in engine.answers:
            job.left -= 1
            if job.left % EVENT_TOKENS == 0:
                job.paused |= self.now - job.event_at > PAUSE_S
                job.event_at = self.now
            if job.left <= 0:
                self._row(job).record_ended()
        engine.answers = [job for job in engine.answers if job.left > 0]
        for job in read:
            job.first_at = job.event_at = self.now
            job.left = job.need.answer_tokens
            self._row(job).record_prompt_read(job.believed)
            engine.answers.append(job)
        self._step(engine)

    def _row(self, job: Job) -> Engine:
        return self.views[job.host].engines[job.engine]

    def _beat(self, host: int) -> None:
        """Tell all other hosts what this one has open."""
        rows = {
            row.name: (row.local_running, row.unread_tokens)
            for row in self.views[host].engines.values()
            if row.local_running
        }
        for name in {*rows, *self.told[host]}:
            running, unread = rows.get(name, (0, 0))
            for at, view in enumerate(self.views):
                if at != host:
                    view.engines[name].update_peer_load(
                        f"h{host}", running, unread, self.now
                    )
        self.told[host] = rows
        self.at(self.now + self.plan["beat_s"], self._beat, host)

    def run(self) -> dict[str, float]:
        """Play until all answers are given or too late; return the figures."""
        until = self.plan["seconds"] + 5.0
        while self.events and self.events[0][0] < until:
            self.now, _, action, args = heappop(self.events)
            action(*args)
        rows = [job for job in self.jobs if job.arrived >= WARM_UP_S]
        waits = [
            job.first_at - job.arrived if job.first_at else until
            for job in rows
        ]
        on_time = [
            wait <= job.target_s and not job.paused
            for wait, job in zip(waits, rows)
        ]
        cuts = quantiles(waits, n=100)
        prompts = sum(job.need.prompt_tokens for job in self.jobs)
        reread = sum(row.reread for row in self.engines.values())
        return {
            "on_time": mean(on_time),
            "paused": mean(job.paused for job in rows),
            "p50_s": cuts[49],
            "p99_s": cuts[98],
            "reread": reread / prompts,
        }


def experiment(plan: dict[str, Any]) -> list[dict[str, Any]]:
    """Return one row for each load and policy, means over the seeds."""
    rows = []
    for load, name in product(plan["loads"], plan["policies"]):
        runs = [Lab(plan, load, name, seed).run() for seed in plan["seeds"]]
        figures = {key: mean(run[key] for run in runs) for key in runs[0]}
        rows.append({"load": load, "policy": name, **figures})
    return rows


def table(rows: list[dict[str, Any]]) -> str:
    """Return rows as a table of Markdown."""
    keys = list(rows[0])
    lines = ["| " + " | ".join(keys) + " |", "|" + "---|" * len(keys)]
    for row in rows:
        cells = [
            f"{row[key]:.3f}" if isinstance(row[key], float) else row[key]
            for key in keys
        ]
        lines.append("| " + " | ".join(str(cell) for cell in cells) + " |")
    return "\n".join(lines)


def plot(name: str, rows: list[dict[str, Any]], path: Path) -> None:
    """Draw the share on time over the load, a line for each policy."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(6, 4))
    for label in dict.fromkeys(row["policy"] for row in rows):
        mine = [row for row in rows if row["policy"] == label]
        axes.plot(
            [row["load"] for row in mine],
            [row["on_time"] for row in mine],
            marker="o",
            label=label,
        )
    axes.set_xlabel("load")
    axes.set_ylabel("on time")
    axes.set_title(name)
    axes.legend()
    figure.savefig(path)


def main() -> None:
    """Run the experiments named on the command line."""
    parser = ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("files", nargs="+", type=Path)
    parser.add_argument("--out", type=Path, default=Path("target/lab"))
    parser.add_argument("--plot", action="store_true")
    options = parser.parse_args()
    options.out.mkdir(parents=True, exist_ok=True)
    for path in options.files:
        plan = safe_load(path.read_text())
        rows = experiment(plan)
        target = options.out / plan["name"]
        target.with_suffix(".json").write_text(dumps(rows, indent=1) + "\n")
        if options.plot:
            plot(plan["name"], rows, target.with_suffix(".png"))
        print(f"{plan['name']}\n\n{table(rows)}\n")


if __name__ == "__main__":
    main()
