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
from magnoliaflow_standins.base import now
from magnoliaflow_standins.base import make_parser
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
    """One attempt: its tokens so far and when it began to decode."""

    def __init__(self, body: dict[str, Any], ready_at: float) -> None:
        self.attempt = body["attempt"]
        self.prefix = list(body["prefix"])
        self.limit = int(body["max_tokens"])
        self.tokens = list(self.prefix)
        self.ready_at = ready_at
        self.ended_at = 0.0
        self.digest = start_digest(body["prompt"])
        for token in self.prefix:
            self.digest = next_digest(self.digest, token)

    @property
    def done(self) -> bool:
        """Return whether the answer is whole."""
        return len(self.tokens) >= self.limit


class EngineStandin(Standin):
    """Runs attempts in steps.

    Further switches: ``silence`` stops writing on connections that are
    open when it is set, ``lag_s`` delays load reports, ``gap`` drops
    every n-th cache event, ``ignore_fence`` accepts old orders.
    """

    def __init__(self, args: Any) -> None:
        super().__init__()
        self.name = args.name
        self.prefill_rate = args.prefill_rate
        self.token_rate = args.token_rate
        self.slots = args.slots
        self.blocks_kept = args.blocks
        self.switches.update(silence=0, lag_s=0.2, gap=0, ignore_fence=False)
        self.runs: dict[str, Attempt] = {}
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.events: list[tuple[int, int, bool]] = []
        self.reports: list[tuple[float, dict[str, Any]]] = []
        self.order = {"fence": -1, "models": [], "role": "mixed"}
        self.prefill_free_at = 0.0
        self.credit = 0.0

    def cached_blocks(self, blocks: tuple[int, ...]) -> int:
        """Return how many leading blocks are in the cache."""
        count = 0
        for block in blocks:
            if block not in self.cache:
                break
            count += 1
        return count

    def admit(self, body: dict[str, Any]) -> Attempt:
        """Start an attempt; its prefill waits its turn."""
        blocks = prefix_blocks(body["prompt"])
        cached = self.cached_blocks(blocks) * TOKENS_PER_BLOCK
        size = prompt_tokens(body["prompt"]) + len(body["prefix"])
        work = 0 if body.get("import_from") else max(0, size - cached)
        start = max(now(), self.prefill_free_at)
        self.prefill_free_at = start + work / self.prefill_rate
        for block in blocks:
            self.cache_block(block)
        run = Attempt(body, self.prefill_free_at)
        self.runs[run.attempt] = run
        self.record(
            kind="attempt",
            attempt=run.attempt,
            request=body["request"],
            prefix=len(run.prefix),
            computed=work,
        )
        return run

    def cache_block(self, block: int) -> None:
        """Put a block into the cache, evicting the oldest."""
        fresh = block not in self.cache
        self.cache[block] = None
        self.cache.move_to_end(block)
        if fresh:
            self.events.append((len(self.events) + 1, block, True))
        while len(self.cache) > self.blocks_kept:
            old, _ = self.cache.popitem(last=False)
            self.events.append((len(self.events) + 1, old, False))

    def step(self) -> None:
        """Let every decoding attempt produce its tokens of one step."""
        live = [
            run
            for run in self.runs.values()
            if not run.done and run.ready_at <= now()
        ]
        crowd = max(1.0, len(live) / self.slots)
        self.credit += STEP_INTERVAL_S * self.token_rate / crowd
        count, self.credit = int(self.credit), self.credit % 1.0
        for run in live:
            for _ in range(min(count, run.limit - len(run.tokens))):
                token = next_token(self.name, run.digest)
                run.tokens.append(token)
                run.digest = next_digest(run.digest, token)
            if run.done:
                run.ended_at = now()
        gone = [
            run.attempt
            for run in self.runs.values()
            if run.done and now() - run.ended_at > FINISHED_RETENTION_S
        ]
        for attempt in gone:
            del self.runs[attempt]
        self.reports.append((now(), self.load()))
        del self.reports[:-200]

    def load(self) -> dict[str, Any]:
        """Return the load as it is now."""
        live = [run for run in self.runs.values() if not run.done]
        waiting = sum(1 for run in live if run.ready_at > now())
        behind = max(0.0, self.prefill_free_at - now())
        return {
            "engine": self.name,
            "running": len(live) - waiting,
            "waiting": waiting,
            "queued_tokens": int(behind * self.prefill_rate),
        }

    def delayed_load(self) -> dict[str, Any]:
        """Return the load as it was a while ago."""
        until = now() - float(self.switches["lag_s"])
        old = [row for at, row in self.reports if at <= until]
        return old[-1] if old else self.load()

    async def stream(self, request: Any, run: Attempt, offset: int) -> None:
        """Write an attempt's tokens from an offset to its end."""
        opened = self.switches["silence"]
        gone: list[Any] = []
        request.notifyFinish().addBoth(gone.append)
        request.setHeader("Content-Type", "text/event-stream")
        quiet = 0
        request.write(b": open\n\n")
        while not gone and run.attempt in self.runs:
            silent = self.switches["silence"] != opened
            if len(run.tokens) > offset and not silent:
                piece = {
                    "offset": offset,
                    "tokens": run.tokens[offset:],
                    "done": run.done,
                }
                offset = len(run.tokens)
                quiet = 0
                request.write(f"data: {dumps(piece)}\n\n".encode())
            if run.done and not silent:
                if offset == run.limit and quiet:
                    end = {"offset": offset, "tokens": [], "done": True}
                    request.write(f"data: {dumps(end)}\n\n".encode())
                return
            quiet += 1
            if quiet % KEEPALIVE_STEPS == 0 and not silent:
                request.write(b": alive\n\n")
            await sleep(STEP_INTERVAL_S)


def make_app(engine: EngineStandin) -> Klein:
    """Return the routes of an engine stand-in."""
    app = Klein()
    add_control_routes(app, engine)

    @app.route("/generate", methods=["POST"])
    async def generate(request: Any) -> Any:
        body = json_body(request)
        if not await engine.apply_faults():
            return reply(request, {}, 503)
        if body["attempt"] in engine.runs:
            return reply(request, {}, 409)
        run = engine.admit(body)
        await engine.stream(request, run, len(run.prefix))
        return b""

    @app.route("/resume", methods=["POST"])
    async def resume(request: Any) -> Any:
        body = json_body(request)
        run = engine.runs.get(body["attempt"])
        if run is None or not await engine.apply_faults():
            return reply(request, {}, 404)
        await engine.stream(request, run, int(body["offset"]))
        return b""

    @app.route("/cancel", methods=["POST"])
    async def cancel(request: Any) -> Any:
        engine.runs.pop(json_body(request)["attempt"], None)
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
        rows = [
            event
            for event in engine.events[after:][:500]
            if not gap or event[0] % gap
        ]
        return reply(request, {"events": rows})

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
    arguments = make_parser("a model engine")
    arguments.add_argument("--name", required=True)
    arguments.add_argument("--prefill-rate", type=float, default=4000.0)
    arguments.add_argument("--token-rate", type=float, default=40.0)
    arguments.add_argument("--slots", type=int, default=8)
    arguments.add_argument("--blocks", type=int, default=4096)
    args = arguments.parse_args()
    engine = EngineStandin(args)
    LoopingCall(engine.step).start(STEP_INTERVAL_S)
    serve(make_app(engine), args)


if __name__ == "__main__":
    main()
