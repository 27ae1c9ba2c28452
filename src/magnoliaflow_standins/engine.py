"""Stand-in for a model engine: batching, prefix cache, resumable streams."""

from collections import OrderedDict
from json import dumps
from typing import Any

from klein import Klein
from twisted.internet.task import LoopingCall

from magnoliaflow.common.blocks import prefix_blocks
from magnoliaflow.common.blocks import prompt_tokens
from magnoliaflow.common.blocks import TOKENS_PER_BLOCK
from magnoliaflow_standins.base import add_control_routes
from magnoliaflow_standins.base import json_body
from magnoliaflow_standins.base import make_parser
from magnoliaflow_standins.base import now
from magnoliaflow_standins.base import reply
from magnoliaflow_standins.base import serve
from magnoliaflow_standins.base import sleep
from magnoliaflow_standins.base import Standin
from magnoliaflow_standins.tokens import next_digest
from magnoliaflow_standins.tokens import next_token
from magnoliaflow_standins.tokens import start_digest

STEP_INTERVAL_S = 0.02
FINISHED_RETENTION_S = 20.0
KEEPALIVE_STEPS = 20


class Attempt:
    """Attempt at a request: its tokens so far and when decoding starts."""

    def __init__(self, body: dict[str, Any], ready_at: float) -> None:
        self.attempt_id = body["attempt"]
        self.prefix = list(body["prefix"])
        self.max_tokens = int(body["max_tokens"])
        self.tokens = list(self.prefix)
        self.ready_at = ready_at
        self.ended_at = 0.0
        self.digest = start_digest(body["prompt"])
        for token in self.prefix:
            self.digest = next_digest(self.digest, token)

    @property
    def done(self) -> bool:
        """Return whether the answer is complete."""
        return len(self.tokens) >= self.max_tokens


class EngineStandin(Standin):
    """Decodes all attempts that are ready in steps of fixed length.

    Further switches: a change of ``silence`` stops all writing on the
    connections then open; ``lag_s`` delays load reports; ``gap`` drops
    every n-th cache event; ``ignore_fence`` accepts orders with an older
    fence.
    """

    def __init__(self, args: Any) -> None:
        super().__init__()
        self.name = args.name
        self.prefill_rate = args.prefill_rate
        self.token_rate = args.token_rate
        self.slots = args.slots
        self.max_cached_blocks = args.blocks
        self.switches.update(silence=0, lag_s=0.2, gap=0, ignore_fence=False)
        self.attempts: dict[str, Attempt] = {}
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.events: list[tuple[int, int, bool]] = []
        self.load_history: list[tuple[float, dict[str, Any]]] = []
        self.order = {"fence": -1, "models": [], "role": "mixed"}
        self.prefill_free_at = 0.0
        self.token_credit = 0.0

    def cached_blocks(self, blocks: tuple[int, ...]) -> int:
        """Return the number of leading blocks that are cached."""
        count = 0
        for block in blocks:
            if block not in self.cache:
                break
            count += 1
        return count

    def admit(self, body: dict[str, Any]) -> Attempt:
        """Start an attempt.

        Prefills run one at a time, without cost for what is cached or
        imported.
        """
        blocks = prefix_blocks(body["prompt"])
        cached = self.cached_blocks(blocks) * TOKENS_PER_BLOCK
        token_count = prompt_tokens(body["prompt"]) + len(body["prefix"])
        computed_tokens = (
            0 if body.get("import_from") else max(0, token_count - cached)
        )
        start = max(now(), self.prefill_free_at)
        self.prefill_free_at = start + computed_tokens / self.prefill_rate
        for block in blocks:
            self.cache_block(block)
        attempt = Attempt(body, self.prefill_free_at)
        self.attempts[attempt.attempt_id] = attempt
        self.record(
            kind="attempt",
            attempt=attempt.attempt_id,
            request=body["request"],
            prefix=len(attempt.prefix),
            computed=computed_tokens,
        )
        return attempt

    def cache_block(self, block: int) -> None:
        """Cache a block, evicting the least recently used."""
        is_new = block not in self.cache
        self.cache[block] = None
        self.cache.move_to_end(block)
        if is_new:
            self.events.append((len(self.events) + 1, block, True))
        while len(self.cache) > self.max_cached_blocks:
            evicted, _ = self.cache.popitem(last=False)
            self.events.append((len(self.events) + 1, evicted, False))

    def step(self) -> None:
        """Generate one step's tokens and drop attempts that ended long ago.

        Beyond ``slots`` attempts, all of them slow down in proportion.
        """
        decoding = [
            attempt
            for attempt in self.attempts.values()
            if not attempt.done and attempt.ready_at <= now()
        ]
        slowdown = max(1.0, len(decoding) / self.slots)
        self.token_credit += STEP_INTERVAL_S * self.token_rate / slowdown
        count, self.token_credit = (
            int(self.token_credit),
            self.token_credit % 1.0,
        )
        for attempt in decoding:
            for _ in range(
                min(count, attempt.max_tokens - len(attempt.tokens))
            ):
                token = next_token(self.name, attempt.digest)
                attempt.tokens.append(token)
                attempt.digest = next_digest(attempt.digest, token)
            if attempt.done:
                attempt.ended_at = now()
        expired = [
            attempt.attempt_id
            for attempt in self.attempts.values()
            if attempt.done and now() - attempt.ended_at > FINISHED_RETENTION_S
        ]
        for attempt_id in expired:
            del self.attempts[attempt_id]
        self.load_history.append((now(), self.load()))
        del self.load_history[:-200]

    def load(self) -> dict[str, Any]:
        """Return the current load."""
        unfinished = [
            attempt for attempt in self.attempts.values() if not attempt.done
        ]
        waiting = sum(1 for attempt in unfinished if attempt.ready_at > now())
        prefill_backlog_s = max(0.0, self.prefill_free_at - now())
        return {
            "engine": self.name,
            "running": len(unfinished) - waiting,
            "waiting": waiting,
            "queued_tokens": int(prefill_backlog_s * self.prefill_rate),
        }

    def delayed_load(self) -> dict[str, Any]:
        """Return the load as of ``lag_s`` ago."""
        cutoff = now() - float(self.switches["lag_s"])
        past_loads = [load for at, load in self.load_history if at <= cutoff]
        return past_loads[-1] if past_loads else self.load()

    async def stream(
        self, request: Any, attempt: Attempt, offset: int
    ) -> None:
        """Write an attempt's tokens from an offset on as an event stream."""
        silence_at_start = self.switches["silence"]
        disconnected: list[Any] = []
        request.notifyFinish().addBoth(disconnected.append)
        request.setHeader("Content-Type", "text/event-stream")
        idle_steps = 0
        request.write(b": open\n\n")
        while not disconnected and attempt.attempt_id in self.attempts:
            silent = self.switches["silence"] != silence_at_start
            if len(attempt.tokens) > offset and not silent:
                chunk = {
                    "offset": offset,
                    "tokens": attempt.tokens[offset:],
                    "done": attempt.done,
                }
                offset = len(attempt.tokens)
                idle_steps = 0
                request.write(f"data: {dumps(chunk)}\n\n".encode())
            if attempt.done and not silent:
                if offset == attempt.max_tokens and idle_steps:
                    last_chunk = {"offset": offset, "tokens": [], "done": True}
                    request.write(f"data: {dumps(last_chunk)}\n\n".encode())
                return
            idle_steps += 1
            if idle_steps % KEEPALIVE_STEPS == 0 and not silent:
                request.write(b": alive\n\n")
            await sleep(STEP_INTERVAL_S)


def make_app(engine: EngineStandin) -> Klein:
    """Return the web application of an engine stand-in."""
    app = Klein()
    add_control_routes(app, engine)

    @app.route("/generate", methods=["POST"])
    async def generate(request: Any) -> Any:
        body = json_body(request)
        if not await engine.apply_faults():
            return reply(request, {}, 503)
        if body["attempt"] in engine.attempts:
            return reply(request, {}, 409)
        attempt = engine.admit(body)
        await engine.stream(request, attempt, len(attempt.prefix))
        return b""

    @app.route("/resume", methods=["POST"])
    async def resume(request: Any) -> Any:
        body = json_body(request)
        attempt = engine.attempts.get(body["attempt"])
        if attempt is None or not await engine.apply_faults():
            return reply(request, {}, 404)
        await engine.stream(request, attempt, int(body["offset"]))
        return b""

    @app.route("/cancel", methods=["POST"])
    async def cancel(request: Any) -> Any:
        engine.attempts.pop(json_body(request)["attempt"], None)
        return reply(request, {})

    @app.route("/load", methods=["GET"])
    async def load(request: Any) -> Any:
        if not await engine.apply_faults():
            return reply(request, {}, 500)
        return reply(request, engine.delayed_load())

    @app.route("/events", methods=["GET"])
    async def events(request: Any) -> Any:
        after = int(request.args[b"after"][0])
        gap = int(engine.switches["gap"])
        events_to_send = [
            event
            for event in engine.events[after:][:500]
            if not gap or event[0] % gap
        ]
        return reply(request, {"events": events_to_send})

    @app.route("/orders", methods=["POST"])
    async def orders(request: Any) -> Any:
        body = json_body(request)
        stale = body["fence"] < engine.order["fence"]
        if stale and not engine.switches["ignore_fence"]:
            return reply(request, {}, 412)
        engine.order = body
        engine.record(kind="order", fence=body["fence"])
        return reply(request, {})

    @app.route("/state", methods=["GET"])
    def state(request: Any) -> bytes:
        return reply(request, engine.order)

    return app


def main() -> None:
    """Run the stand-in."""
    parser = make_parser("a model engine")
    parser.add_argument("--name", required=True)
    parser.add_argument("--prefill-rate", type=float, default=4000.0)
    parser.add_argument("--token-rate", type=float, default=40.0)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--blocks", type=int, default=4096)
    args = parser.parse_args()
    engine = EngineStandin(args)
    LoopingCall(engine.step).start(STEP_INTERVAL_S)
    serve(make_app(engine), args)


if __name__ == "__main__":
    main()
