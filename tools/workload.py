"""Seeded workloads of the two deployments, and measured engine fakes."""

from collections import OrderedDict
from dataclasses import dataclass
from random import Random

from magnoliaflow.common.blocks import BLOCK_CHARS
from magnoliaflow.common.blocks import prefix_blocks
from magnoliaflow.common.blocks import prompt_tokens
from magnoliaflow.common.blocks import TOKENS_PER_BLOCK
from magnoliaflow.common.ports import CacheEvent
from magnoliaflow.common.ports import LoadReport
from magnoliaflow.core.inputs import AttemptEnded
from magnoliaflow.core.inputs import CacheEventsArrived
from magnoliaflow.core.inputs import Ending
from magnoliaflow.core.inputs import LoadReportArrived
from magnoliaflow.core.inputs import TokensArrived
from world import FakeEngine

STEP_S = 0.1
REPORT_LAG_S = 0.3
KEEPALIVE_S = 1.0
EVENT_LAG_S = 0.5
EVENT_GAP = 0.02
CACHE_BLOCKS = 2400
EVENTS_A_POLL = 400
SECONDS_PER_HOUR = 3600.0


@dataclass(frozen=True)
class Kind:
    """One kind of request: its share, its prompt and its answer."""

    profile: str
    share: float
    shared_blocks: tuple[int, int]
    own_chars: tuple[int, int]
    answer: tuple[int, int]


@dataclass(frozen=True)
class Workload:
    """What a deployment's callers ask for."""

    name: str
    example: str
    profiles: str
    kinds: tuple[Kind, ...]
    documents: int
    skew: float
    accounts: tuple[float, ...]


REPAIR = Workload(
    name="repair-office",
    example="repair-office.yaml",
    profiles="repair-profiles.yaml",
    kinds=(
        Kind("claim-review", 0.3, (60, 120), (200, 800), (80, 160)),
        Kind("quote-draft", 0.3, (20, 60), (200, 600), (60, 120)),
        Kind("counter-chat", 0.4, (10, 30), (100, 300), (30, 80)),
    ),
    documents=90,
    skew=0.8,
    accounts=(4, 4, 1, 1, 1),
)
MALLET = Workload(
    name="mallet-works",
    example="mallet-works.yaml",
    profiles="mallet-profiles.yaml",
    kinds=(
        Kind("specification-reading", 0.2, (10, 30), (300, 900), (80, 160)),
        Kind("quotation", 0.5, (6, 16), (200, 600), (60, 140)),
        Kind("workshop-query", 0.3, (4, 10), (80, 240), (30, 80)),
    ),
    documents=200,
    skew=0.6,
    accounts=(4, 4, 1, 1, 1),
)
WORKLOADS = {item.name: item for item in (REPAIR, MALLET)}


def document(kind, number, seed):
    """Return the text that requests about one document share."""
    rng = Random(f"{seed}{kind.profile}{number}")
    blocks = rng.randint(*kind.shared_blocks)
    line = f"{kind.profile} document {number} of run {seed}. "
    text = line * (blocks * BLOCK_CHARS // len(line) + 1)
    return text[: blocks * BLOCK_CHARS]


def requests(workload, seed, rate, seconds):
    """Yield (time, kind, account number, prompt, answer tokens)."""
    rng = Random(f"{workload.name}{seed}")
    shares = [kind.share for kind in workload.kinds]
    ranks = [
        1 / (number + 1) ** workload.skew
        for number in range(workload.documents)
    ]
    numbers = range(workload.documents)
    at = 0.0
    texts = {}
    while True:
        at += rng.expovariate(rate)
        if at >= seconds:
            return
        (kind,) = rng.choices(workload.kinds, shares)
        (number,) = rng.choices(numbers, ranks)
        (account,) = rng.choices(
            range(len(workload.accounts)), workload.accounts
        )
        key = (kind.profile, number)
        if key not in texts:
            texts[key] = document(kind, number, seed)
        own = f"question {at:.3f} " * 60
        prompt = texts[key] + own[: rng.randint(*kind.own_chars)]
        yield at, kind, account, prompt, rng.randint(*kind.answer)


def capacity(cfg, workload):
    """Return the requests per second that fill the engines' slots.

    The lesser of what decoding and what prefill allow, with half of the
    shared text found in caches.
    """
    engines = [item for item in cfg.backend_servers if item.kind == "model"]
    decode = sum(item.slots * item.token_rate for item in engines)
    prefill = sum(item.prefill_rate for item in engines)
    answer = sum(kind.share * sum(kind.answer) / 2 for kind in workload.kinds)
    prompt = sum(
        kind.share
        * (
            sum(kind.shared_blocks) / 2 * TOKENS_PER_BLOCK * 0.5
            + sum(kind.own_chars) / 8
        )
        for kind in workload.kinds
    )
    return min(decode / answer, prefill / prompt)


class MeasuredEngine(FakeEngine):
    """An engine with a prefill queue, batching and a bounded cache."""

    def __init__(self, world, cfg):
        super().__init__(world, cfg)
        self.cache = OrderedDict()
        self.free_at = 0.0
        self.live = {}
        self.stepping = False
        self.computed = 0
        self.recomputed = 0
        self.moved = 0
        self.events = []
        self.event_number = 0
        self.reports = []
        self.busy_s = 0.0

    def start(self, node, call):
        """Begin an attempt: its uncached prompt waits for prefill."""
        if not self.alive:
            lost = AttemptEnded(call.attempt_id, Ending.NOT_STARTED, "dead")
            self.world.after(0.002, lambda: node.feed(lost))
            return
        self.starts.append((self.world.now, call))
        work = self.prefill(call)
        begin = max(self.world.now, self.free_at)
        self.free_at = begin + work / self.cfg.prefill_rate
        self.busy_s += work / self.cfg.prefill_rate
        run = {
            "id": call.attempt_id,
            "count": float(len(call.prefix)),
            "sent": len(call.prefix),
            "limit": call.max_tokens,
            "ready": self.free_at,
            "work_s": work / self.cfg.prefill_rate,
            "heard": self.world.now,
            "to": node,
            "gone": False,
        }
        self.runs[call.attempt_id] = run
        self.live[call.attempt_id] = run
        if not self.stepping:
            self.stepping = True
            self.world.after(STEP_S, self.step_all)

    def prefill(self, call):
        """Return the tokens to compute; count those computed before."""
        blocks = prefix_blocks(call.prompt)
        hits = 0
        for block in blocks:
            if block not in self.cache:
                break
            hits += 1
        size = prompt_tokens(call.prompt) + len(call.prefix)
        work = size - hits * TOKENS_PER_BLOCK
        if call.import_from:
            sources = [
                engine
                for engine in self.world.engines.values()
                if engine.cfg.address == call.import_from and engine.alive
            ]
            if sources:
                work = min(work, len(call.prompt) // 64)
        else:
            known = [
                block
                for block in blocks[hits:]
                if block in self.world.seen_blocks
            ]
            again = len(known) * TOKENS_PER_BLOCK + len(call.prefix)
            self.recomputed += again
            if call.prefix:
                self.moved += again
        self.computed += work
        self.world.seen_blocks.update(blocks)
        for block in blocks:
            self.keep(block)
        return work

    def keep(self, block):
        """Put a block into the cache, evicting the oldest."""
        if block not in self.cache:
            self.publish(block, True)
        self.cache[block] = None
        self.cache.move_to_end(block)
        if len(self.cache) > CACHE_BLOCKS:
            old, _ = self.cache.popitem(last=False)
            self.publish(old, False)

    def publish(self, block, present):
        """Publish a cache event, unless it falls into a gap."""
        self.event_number += 1
        if self.world.rng.random() < EVENT_GAP:
            return
        event = CacheEvent(self.event_number, block, present)
        self.events.append((self.world.now, event))

    def step_all(self):
        """Let every decoding attempt produce its tokens of one step."""
        if not self.alive:
            return
        now = self.world.now
        decoding = [run for run in self.live.values() if run["ready"] <= now]
        crowd = max(1.0, len(decoding) / self.cfg.slots)
        self.busy_s += STEP_S * min(1.0, len(decoding) / self.cfg.slots)
        for run in decoding:
            run["count"] += STEP_S * self.cfg.token_rate / crowd
            end = min(int(run["count"]), run["limit"])
            if run["gone"]:
                del self.live[run["id"]]
            elif end > run["sent"]:
                self.send_piece(run, end)
        for run in self.live.values():
            if now - run["heard"] >= KEEPALIVE_S:
                self.send_piece(run, run["sent"])
        self.stepping = bool(self.live)
        if self.stepping:
            self.world.after(STEP_S, self.step_all)

    def send_piece(self, run, end):
        """Deliver what was produced since the last step."""
        done = end >= run["limit"]
        tokens = (0,) * (end - run["sent"])
        piece = TokensArrived(run["id"], run["sent"], tokens, done)
        run["sent"] = end
        run["heard"] = self.world.now
        run["to"].feed(piece)
        if done:
            del self.live[run["id"]]

    def resume(self, node, call):
        """Read an attempt on, if it is known."""
        run = self.live.get(call.attempt_id)
        if run is None or not self.alive:
            ended = AttemptEnded(call.attempt_id, Ending.NOT_STARTED, "gone")
            self.world.after(0.002, lambda: node.feed(ended))
            return
        run["to"] = node
        run["sent"] = len(call.prefix)

    def cancel(self, attempt_id):
        """Stop an attempt; a prefill not yet begun is not done."""
        run = self.live.pop(attempt_id, None)
        if run is None or run["ready"] - run["work_s"] <= self.world.now:
            return
        self.free_at -= run["work_s"]
        self.busy_s -= run["work_s"]
        for other in self.live.values():
            if other["ready"] > run["ready"]:
                other["ready"] -= run["work_s"]

    def report(self):
        """Return the load as it was a while ago."""
        now = self.world.now
        waiting = sum(1 for run in self.live.values() if run["ready"] > now)
        behind = max(0.0, self.free_at - now)
        report = LoadReport(
            self.name,
            len(self.live) - waiting,
            waiting,
            int(behind * self.cfg.prefill_rate),
        )
        self.reports.append((now, report))
        old = [row for row in self.reports if row[0] <= now - REPORT_LAG_S]
        self.reports = old[-1:] + [
            row for row in self.reports if row[0] > now - REPORT_LAG_S
        ]
        return LoadReportArrived(old[-1][1] if old else report)

    def news_for(self, node):
        """Return the cache events that a gateway has not seen, late."""
        after = node.state.routing.prefixes.last_event(self.name)
        until = self.world.now - EVENT_LAG_S
        events = tuple(
            event
            for at, event in self.events[-4000:]
            if event.number > after and at <= until
        )[:EVENTS_A_POLL]
        return CacheEventsArrived(self.name, events) if events else None

    def die(self):
        """Lose the host: streams end, nothing answers."""
        self.alive = False
        for run in self.live.values():
            ended = AttemptEnded(run["id"], Ending.LOST, "host gone")
            run["to"].feed(ended)
        self.live.clear()

    def cost(self):
        """Return the price of the engine time that was used."""
        return self.busy_s * self.cfg.price / SECONDS_PER_HOUR
