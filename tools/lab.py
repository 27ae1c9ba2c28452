"""Emulate hosts that route prompts to engines, in virtual time.

The hosts run the real routing policies and tables.  The engines use chunked
prefill: each step reads a chunk of queued prompts along with the tokens of
running answers.  They cache the prefixes they have read.  A host sees its own
requests at once and those of other hosts with their periodic load reports.
Experiments are YAML files; results are written as a table, JSON and a plot.
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
ASSUMED_PREFILL_RATE = 30_000.0
CACHE_TOKENS = 300_000
# An answer counts as paused if two of its events are further apart than this;
# an event is sent for every EVENT_TOKENS tokens.
MAX_EVENT_GAP_S = 1.0
EVENT_TOKENS = 5
# Requests that arrive earlier warm up the caches; of all figures they count
# only in "reread".
WARM_UP_S = 6.0


@policy("power_of_two")
def power_of_two(
    routing: RoutingState,
    request: RoutingRequest,
    engines: list[Engine],
    now: float,
) -> Engine:
    """Return the better of two randomly drawn engines."""
    candidates = routing.rng.sample(engines, min(2, len(engines)))
    return min(
        candidates,
        key=lambda engine: first_token_s(
            engine, routing.uncached(engine, request), now
        ),
    )


@policy("blind")
def random_engine(
    routing: RoutingState,
    request: RoutingRequest,
    engines: list[Engine],
    now: float,
) -> Engine:
    """Return a random engine."""
    return routing.rng.choice(engines)


@dataclass(slots=True)
class Job:
    """A request and its progress."""

    request: RoutingRequest
    kind: str
    target_s: float
    arrived: float
    host: int = 0
    engine: str = ""
    estimated_tokens: int = 0
    prompt_tokens_left: int = 0
    answer_tokens_left: int = 0
    first_token_at: float = 0.0
    last_event_at: float = 0.0
    paused: bool = False


@dataclass(slots=True)
class EmulatedEngine:
    """An engine with chunked prefill and a prefix cache."""

    name: str
    cfg: dict[str, Any]
    prompts: deque[Job] = field(default_factory=deque)
    answers: list[Job] = field(default_factory=list)
    cache: PrefixIndex = field(
        default_factory=lambda: PrefixIndex(capacity=CACHE_TOKENS)
    )
    stepping: bool = False
    reread: int = 0

    def enqueue(self, job: Job, now: float) -> None:
        """Queue a prompt; only its uncached part is read.

        Shared tokens that were not cached count as reread.
        """
        blocks, sizes = job.request.blocks, job.request.sizes
        cached_blocks = int(self.cache.matched(self.name, blocks))
        job.prompt_tokens_left = max(
            1, job.request.prompt_tokens - sum(sizes[:cached_blocks])
        )
        self.reread += sum(sizes[cached_blocks:-1])
        self.cache.add(self.name, blocks, now, sizes=sizes)
        self.prompts.append(job)

    def step(self) -> tuple[float, list[Job]]:
        """Return the seconds of one step and the prompts it completes."""
        budget, tokens_read, completed = self.cfg["chunk"], 0, []
        free_slots = self.cfg["slots"] - len(self.answers)
        while self.prompts and budget > 0 and len(completed) < free_slots:
            job = self.prompts[0]
            chunk = min(budget, job.prompt_tokens_left)
            job.prompt_tokens_left -= chunk
            budget -= chunk
            tokens_read += chunk
            if job.prompt_tokens_left > 0:
                break
            completed.append(self.prompts.popleft())
        duration_ms = (
            self.cfg["step_ms"]
            + self.cfg["step_ms_per_slot"] * len(self.answers)
            + tokens_read / self.cfg["prefill_tokens_per_ms"]
        )
        return duration_ms / 1000.0, completed


class Simulation:
    """A simulation of one load, policy and seed."""

    def __init__(
        self, plan: dict[str, Any], load: float, policy_name: str, seed: int
    ) -> None:
        self.plan = plan
        self.rng = Random(seed)
        self.function = find_policy(policy_name)
        self.events: list[tuple[float, int, Any, tuple[Any, ...]]] = []
        self.sequence = count()
        self.now = 0.0
        self.jobs: list[Job] = []
        self.engines = {
            f"m{index}": EmulatedEngine(f"m{index}", plan["engine"])
            for index in range(plan["engines"])
        }
        self.host_routing = [
            self._new_routing(index) for index in range(plan["hosts"])
        ]
        self.reported: list[dict[str, tuple[int, int]]] = [
            {} for _ in self.host_routing
        ]
        self._plan_traffic(load)
        for host in range(plan["hosts"]):
            self.schedule(
                self.rng.random() * plan["beat_s"],
                self._send_load_report,
                host,
            )

    def _new_routing(self, index: int) -> RoutingState:
        routing = RoutingState(
            name=f"h{index}", weights=CostWeights(0.0, 1.0), rng=Random(index)
        )
        routing.prefixes = PrefixIndex(capacity=CACHE_TOKENS)
        routing.load_factor = float(self.plan["hosts"])
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
                prefill_rate=ASSUMED_PREFILL_RATE,
            )
            routing.add(new_engine(cfg))
        return routing

    def schedule(self, when: float, action: Any, *args: Any) -> None:
        """Schedule an action at a virtual time."""
        heappush(self.events, (when, next(self.sequence), action, args))

    def _plan_traffic(self, load: float) -> None:
        """Schedule arrivals for a load.

        The load is the share of the engines' prefill rate that the unique
        tokens of the prompts take.
        """
        classes = self.plan["classes"]
        mean_unique_tokens = sum(
            request_class["share"] * request_class["tokens"]
            for request_class in classes
        )
        rate = self.plan["engine"]["prefill_tokens_per_ms"] * 1000.0
        arrival_rate = load * rate * self.plan["engines"] / mean_unique_tokens
        now, number = 0.0, 0
        while now < self.plan["seconds"]:
            now += self.rng.expovariate(arrival_rate)
            number += 1
            request_class = self.rng.choices(
                classes, [request_class["share"] for request_class in classes]
            )[0]
            self.schedule(
                now, self._arrive, self._job(request_class, number, now)
            )

    def _job(
        self, request_class: dict[str, Any], number: int, now: float
    ) -> Job:
        spread = request_class["spread"]
        unique_tokens = int(
            request_class["tokens"]
            * exp(self.rng.gauss(0.0, spread) - spread * spread / 2)
        )
        unique_tokens = max(
            20, min(unique_tokens, 12 * request_class["tokens"])
        )
        document = self.rng.randrange(request_class["shared"][-1][1])
        layers = [
            document % variants for _, variants in request_class["shared"]
        ]
        sizes = [tokens for tokens, _ in request_class["shared"]] + [
            unique_tokens
        ]
        blocks = [
            xxh64_intdigest(
                f"{request_class['name']}/{depth}/{layer}".encode()
            )
            for depth, layer in enumerate(layers)
        ] + [number]
        request = RoutingRequest(
            request_id=str(number),
            backend=BACKEND,
            blocks=tuple(blocks),
            prompt_tokens=sum(sizes),
            answer_tokens=request_class["answer"],
            first_token_s=request_class["target_s"],
            token_gap_s=0.0,
            target_s=request_class["target_s"],
            sizes=tuple(sizes),
        )
        return Job(
            request, request_class["name"], request_class["target_s"], now
        )

    def _arrive(self, job: Job) -> None:
        job.host = self.rng.randrange(len(self.host_routing))
        routing = self.host_routing[job.host]
        choice = choose(routing, job.request, self.function, self.now)
        assert choice is not None
        job.engine, job.estimated_tokens = (
            choice.engine,
            choice.uncached_tokens,
        )
        routing.engines[choice.engine].record_prompt_sent(job.estimated_tokens)
        routing.prefixes.add(
            choice.engine,
            job.request.blocks,
            self.now,
            sizes=job.request.sizes,
        )
        self.jobs.append(job)
        engine = self.engines[choice.engine]
        engine.enqueue(job, self.now)
        if not engine.stepping:
            engine.stepping = True
            self._start_step(engine)

    def _start_step(self, engine: EmulatedEngine) -> None:
        if not engine.prompts and not engine.answers:
            engine.stepping = False
            return
        duration_s, completed = engine.step()
        self.schedule(
            self.now + duration_s, self._finish_step, engine, completed
        )

    def _finish_step(
        self, engine: EmulatedEngine, completed: list[Job]
    ) -> None:
        for job in engine.answers:
            job.answer_tokens_left -= 1
            if job.answer_tokens_left % EVENT_TOKENS == 0:
                job.paused |= self.now - job.last_event_at > MAX_EVENT_GAP_S
                job.last_event_at = self.now
            if job.answer_tokens_left <= 0:
                self._routing_entry(job).record_ended()
        engine.answers = [
            job for job in engine.answers if job.answer_tokens_left > 0
        ]
        for job in completed:
            job.first_token_at = job.last_event_at = self.now
            job.answer_tokens_left = job.request.answer_tokens
            self._routing_entry(job).record_prompt_read(job.estimated_tokens)
            engine.answers.append(job)
        self._start_step(engine)

    def _routing_entry(self, job: Job) -> Engine:
        return self.host_routing[job.host].engines[job.engine]

    def _send_load_report(self, host: int) -> None:
        """Report the running requests of a host to all other hosts."""
        loads = {
            entry.name: (entry.local_running, entry.unread_tokens)
            for entry in self.host_routing[host].engines.values()
            if entry.local_running
        }
        for name in {*loads, *self.reported[host]}:
            running, unread = loads.get(name, (0, 0))
            for index, routing in enumerate(self.host_routing):
                if index != host:
                    routing.engines[name].update_peer_load(
                        f"h{host}", running, unread, self.now
                    )
        self.reported[host] = loads
        self.schedule(
            self.now + self.plan["beat_s"], self._send_load_report, host
        )

    def run(self) -> dict[str, float]:
        """Run until 5 s after the last arrival and return the figures."""
        end = self.plan["seconds"] + 5.0
        while self.events and self.events[0][0] < end:
            self.now, _, action, args = heappop(self.events)
            action(*args)
        measured_jobs = [job for job in self.jobs if job.arrived >= WARM_UP_S]
        waits = [
            job.first_token_at - job.arrived if job.first_token_at else end
            for job in measured_jobs
        ]
        on_time = [
            wait <= job.target_s and not job.paused
            for wait, job in zip(waits, measured_jobs)
        ]
        percentiles = quantiles(waits, n=100)
        prompts = sum(job.request.prompt_tokens for job in self.jobs)
        reread = sum(engine.reread for engine in self.engines.values())
        return {
            "on_time": mean(on_time),
            "paused": mean(job.paused for job in measured_jobs),
            "p50_s": percentiles[49],
            "p99_s": percentiles[98],
            "reread": reread / prompts,
        }


def run_experiment(plan: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the means over the seeds for each load and policy."""
    results = []
    for load, policy_name in product(plan["loads"], plan["policies"]):
        figures_by_seed = [
            Simulation(plan, load, policy_name, seed).run()
            for seed in plan["seeds"]
        ]
        figures = {
            key: mean(seed_figures[key] for seed_figures in figures_by_seed)
            for key in figures_by_seed[0]
        }
        results.append({"load": load, "policy": policy_name, **figures})
    return results


def markdown_table(results: list[dict[str, Any]]) -> str:
    """Return results as a Markdown table."""
    keys = list(results[0])
    lines = ["| " + " | ".join(keys) + " |", "|" + "---|" * len(keys)]
    for result in results:
        cells = [
            (
                f"{result[key]:.3f}"
                if isinstance(result[key], float)
                else result[key]
            )
            for key in keys
        ]
        lines.append("| " + " | ".join(str(cell) for cell in cells) + " |")
    return "\n".join(lines)


def plot(name: str, results: list[dict[str, Any]], path: Path) -> None:
    """Plot the share on time over the load, one line for each policy."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(6, 4))
    for label in dict.fromkeys(result["policy"] for result in results):
        policy_results = [
            result for result in results if result["policy"] == label
        ]
        axes.plot(
            [result["load"] for result in policy_results],
            [result["on_time"] for result in policy_results],
            marker="o",
            label=label,
        )
    axes.set_xlabel("load")
    axes.set_ylabel("on time")
    axes.set_title(name)
    axes.legend()
    figure.savefig(path)


def main() -> None:
    """Run the experiments given on the command line."""
    parser = ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("files", nargs="+", type=Path)
    parser.add_argument("--out", type=Path, default=Path("target/lab"))
    parser.add_argument("--plot", action="store_true")
    options = parser.parse_args()
    options.out.mkdir(parents=True, exist_ok=True)
    for path in options.files:
        plan = safe_load(path.read_text())
        results = run_experiment(plan)
        target = options.out / plan["name"]
        target.with_suffix(".json").write_text(dumps(results, indent=1) + "\n")
        if options.plot:
            plot(plan["name"], results, target.with_suffix(".png"))
        print(f"{plan['name']}\n\n{markdown_table(results)}\n")


if __name__ == "__main__":
    main()
