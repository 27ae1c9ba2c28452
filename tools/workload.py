"""Seeded workloads of the example deployments and a batching engine."""

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
EVENT_LOSS_PROBABILITY = 0.02
CACHE_BLOCKS = 2400
MAX_EVENTS_PER_POLL = 400
SECONDS_PER_HOUR = 3600.0


@dataclass(frozen=True)
class RequestClass:
    """A class of requests: its share and the ranges of its sizes.

    Prompts start with shared blocks and end with unique characters.
    Answers are measured in tokens.
    """

    profile: str
    share: float
    shared_blocks: tuple[int, int]
    unique_chars: tuple[int, int]
    answer: tuple[int, int]


@dataclass(frozen=True)
class Workload:
    """The request mix of a deployment.

    Shared documents are drawn from a Zipf distribution.
    """

    name: str
    example: str
    profiles: str
    request_classes: tuple[RequestClass, ...]
    document_count: int
    zipf_exponent: float
    account_weights: tuple[float, ...]


REPAIR = Workload(
    name="repair-office",
    example="repair-office.yaml",
    profiles="repair-profiles.yaml",
    request_classes=(
        RequestClass("claim-review", 0.3, (60, 120), (200, 800), (80, 160)),
        RequestClass("quote-draft", 0.3, (20, 60), (200, 600), (60, 120)),
        RequestClass("counter-chat", 0.4, (10, 30), (100, 300), (30, 80)),
    ),
    document_count=90,
    zipf_exponent=0.8,
    account_weights=(4, 4, 1, 1, 1),
)
MALLET = Workload(
    name="mallet-works",
    example="mallet-works.yaml",
    profiles="mallet-profiles.yaml",
    request_classes=(
        RequestClass(
            "specification-reading", 0.2, (10, 30), (300, 900), (80, 160)
        ),
        RequestClass("quotation", 0.5, (6, 16), (200, 600), (60, 140)),
        RequestClass("workshop-query", 0.3, (4, 10), (80, 240), (30, 80)),
    ),
    document_count=200,
    zipf_exponent=0.6,
    account_weights=(4, 4, 1, 1, 1),
)
WORKLOADS = {workload.name: workload for workload in (REPAIR, MALLET)}


def document(request_class, number, seed):
    """Return the prompt prefix shared by requests about a document."""
    rng = Random(f"{seed}{request_class.profile}{number}")
    blocks = rng.randint(*request_class.shared_blocks)
    line = f"{request_class.profile} document {number} of run {seed}. "
    text = line * (blocks * BLOCK_CHARS // len(line) + 1)
    return text[: blocks * BLOCK_CHARS]


def requests(workload, seed, rate, seconds):
    """Yield (time, class, account number, prompt, answer tokens)."""
    rng = Random(f"{workload.name}{seed}")
    shares = [
        request_class.share for request_class in workload.request_classes
    ]
    popularity = [
        1 / (number + 1) ** workload.zipf_exponent
        for number in range(workload.document_count)
    ]
    document_numbers = range(workload.document_count)
    at = 0.0
    shared_texts = {}
    while True:
        at += rng.expovariate(rate)
        if at >= seconds:
            return
        (request_class,) = rng.choices(workload.request_classes, shares)
        (number,) = rng.choices(document_numbers, popularity)
        (account,) = rng.choices(
            range(len(workload.account_weights)), workload.account_weights
        )
        key = (request_class.profile, number)
        if key not in shared_texts:
            shared_texts[key] = document(request_class, number, seed)
        question = f"question {at:.3f} " * 60
        prompt = (
            shared_texts[key]
            + question[: rng.randint(*request_class.unique_chars)]
        )
        yield at, request_class, account, prompt, rng.randint(
            *request_class.answer
        )


def capacity(cfg, workload):
    """Return the requests per second that saturate the engines.

    This is the lower of the decode and the prefill limits, assuming that
    half of each shared prefix is cached.
    """
    engines = [
        engine for engine in cfg.backend_servers if engine.kind == "model"
    ]
    decode = sum(engine.slots * engine.token_rate for engine in engines)
    prefill = sum(engine.prefill_rate for engine in engines)
    answer = sum(
        request_class.share * sum(request_class.answer) / 2
        for request_class in workload.request_classes
    )
    prompt = sum(
        request_class.share
        * (
            sum(request_class.shared_blocks) / 2 * TOKENS_PER_BLOCK * 0.5
            + sum(request_class.unique_chars) / 8
        )
        for request_class in workload.request_classes
    )
    return min(decode / answer, prefill / prompt)


class MeasuredEngine(FakeEngine):
    """An engine with a prefill queue, batching and an LRU prefix cache."""

    def __init__(self, world, cfg):
        super().__init__(world, cfg)
        self.cache = OrderedDict()
        self.prefill_free_at = 0.0
        self.active = {}
        self.step_scheduled = False
        self.computed = 0
        self.recomputed = 0
        self.moved = 0
        self.events = []
        self.last_event_number = 0
        self.reports = []
        self.busy_s = 0.0

    def start(self, node, call):
        """Start an attempt: queue its uncached tokens for prefill."""
        if not self.alive:
            lost = AttemptEnded(call.attempt_id, Ending.NOT_STARTED, "dead")
            self.world.after(0.002, lambda: node.feed(lost))
            return
        self.starts.append((self.world.now, call))
        prefill_tokens = self.prefill(call)
        begin = max(self.world.now, self.prefill_free_at)
        self.prefill_free_at = begin + prefill_tokens / self.cfg.prefill_rate
        self.busy_s += prefill_tokens / self.cfg.prefill_rate
        attempt = {
            "id": call.attempt_id,
            "count": float(len(call.prefix)),
            "sent": len(call.prefix),
            "limit": call.max_tokens,
            "ready": self.prefill_free_at,
            "work_s": prefill_tokens / self.cfg.prefill_rate,
            "heard": self.world.now,
            "to": node,
            "gone": False,
        }
        self.attempts[call.attempt_id] = attempt
        self.active[call.attempt_id] = attempt
        if not self.step_scheduled:
            self.step_scheduled = True
            self.world.after(STEP_S, self.decode_step)

    def prefill(self, call):
        """Return the tokens to prefill and update the cache counters.

        Tokens that any engine has computed before count as recomputed.
        An import from another engine costs at most one token for every 64
        characters of the prompt.
        """
        blocks = prefix_blocks(call.prompt)
        hits = 0
        for block in blocks:
            if block not in self.cache:
                break
            hits += 1
        size = prompt_tokens(call.prompt) + len(call.prefix)
        prefill_tokens = size - hits * TOKENS_PER_BLOCK
        if call.import_from:
            sources = [
                engine
                for engine in self.world.engines.values()
                if engine.cfg.address == call.import_from and engine.alive
            ]
            if sources:
                prefill_tokens = min(prefill_tokens, len(call.prompt) // 64)
        else:
            known = [
                block
                for block in blocks[hits:]
                if block in self.world.seen_blocks
            ]
            recomputed_tokens = len(known) * TOKENS_PER_BLOCK + len(
                call.prefix
            )
            self.recomputed += recomputed_tokens
            if call.prefix:
                self.moved += recomputed_tokens
        self.computed += prefill_tokens
        self.world.seen_blocks.update(blocks)
        for block in blocks:
            self.cache_block(block)
        return prefill_tokens

    def cache_block(self, block):
        """Cache a block and evict the least recently used one."""
        if block not in self.cache:
            self.publish(block, True)
        self.cache[block] = None
        self.cache.move_to_end(block)
        if len(self.cache) > CACHE_BLOCKS:
            evicted, _ = self.cache.popitem(last=False)
            self.publish(evicted, False)

    def publish(self, block, present):
        """Publish a cache event; some events are lost at random."""
        self.last_event_number += 1
        if self.world.rng.random() < EVENT_LOSS_PROBABILITY:
            return
        event = CacheEvent(self.last_event_number, block, present)
        self.events.append((self.world.now, event))

    def decode_step(self):
        """Produce the tokens of one step for every decoding attempt."""
        if not self.alive:
            return
        now = self.world.now
        decoding = [
            attempt
            for attempt in self.active.values()
            if attempt["ready"] <= now
        ]
        overcommit = max(1.0, len(decoding) / self.cfg.slots)
        self.busy_s += STEP_S * min(1.0, len(decoding) / self.cfg.slots)
        for attempt in decoding:
            attempt["count"] += STEP_S * self.cfg.token_rate / overcommit
            end = min(int(attempt["count"]), attempt["limit"])
            if attempt["gone"]:
                del self.active[attempt["id"]]
            elif end > attempt["sent"]:
                self.send_piece(attempt, end)
        for attempt in self.active.values():
            if now - attempt["heard"] >= KEEPALIVE_S:
                self.send_piece(attempt, attempt["sent"])
        self.step_scheduled = bool(self.active)
        if self.step_scheduled:
            self.world.after(STEP_S, self.decode_step)

    def send_piece(self, attempt, end):
        """Deliver the tokens produced since the previous piece."""
        done = end >= attempt["limit"]
        tokens = (0,) * (end - attempt["sent"])
        piece = TokensArrived(attempt["id"], attempt["sent"], tokens, done)
        attempt["sent"] = end
        attempt["heard"] = self.world.now
        attempt["to"].feed(piece)
        if done:
            del self.active[attempt["id"]]

    def resume(self, node, call):
        """Resume the stream of an attempt, if the attempt is known."""
        attempt = self.active.get(call.attempt_id)
        if attempt is None or not self.alive:
            ended = AttemptEnded(call.attempt_id, Ending.NOT_STARTED, "gone")
            self.world.after(0.002, lambda: node.feed(ended))
            return
        attempt["to"] = node
        attempt["sent"] = len(call.prefix)

    def cancel(self, attempt_id):
        """Cancel an attempt and drop its prefill if it has not started."""
        attempt = self.active.pop(attempt_id, None)
        if (
            attempt is None
            or attempt["ready"] - attempt["work_s"] <= self.world.now
        ):
            return
        self.prefill_free_at -= attempt["work_s"]
        self.busy_s -= attempt["work_s"]
        for other in self.active.values():
            if other["ready"] > attempt["ready"]:
                other["ready"] -= attempt["work_s"]

    def report(self):
        """Return the load as it was REPORT_LAG_S seconds ago."""
        now = self.world.now
        waiting = sum(
            1 for attempt in self.active.values() if attempt["ready"] > now
        )
        prefill_backlog_s = max(0.0, self.prefill_free_at - now)
        report = LoadReport(
            self.name,
            len(self.active) - waiting,
            waiting,
            int(prefill_backlog_s * self.cfg.prefill_rate),
        )
        self.reports.append((now, report))
        delayed = [
            entry for entry in self.reports if entry[0] <= now - REPORT_LAG_S
        ]
        self.reports = delayed[-1:] + [
            entry for entry in self.reports if entry[0] > now - REPORT_LAG_S
        ]
        return LoadReportArrived(delayed[-1][1] if delayed else report)

    def cache_events_for(self, node):
        """Return cache events new to a gateway, or None.

        Events become visible EVENT_LAG_S seconds after they happen.
        """
        after = node.state.routing.prefixes.last_event(self.name)
        until = self.world.now - EVENT_LAG_S
        events = tuple(
            event
            for at, event in self.events[-4000:]
            if event.number > after and at <= until
        )[:MAX_EVENTS_PER_POLL]
        return CacheEventsArrived(self.name, events) if events else None

    def die(self):
        """Stop the engine with its host; all open streams end."""
        self.alive = False
        for attempt in self.active.values():
            ended = AttemptEnded(attempt["id"], Ending.LOST, "host gone")
            attempt["to"].feed(ended)
        self.active.clear()

    def cost(self):
        """Return the price of the engine time used so far."""
        return self.busy_s * self.cfg.price / SECONDS_PER_HOUR
