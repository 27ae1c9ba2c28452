"""Stand-in for the log service: streams, offsets, retention, outages."""

from bisect import bisect_right
from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred

from magnoliaflow.common.loop import reactor
from magnoliaflow_standins.base import add_control_routes
from magnoliaflow_standins.base import json_body
from magnoliaflow_standins.base import make_parser
from magnoliaflow_standins.base import now
from magnoliaflow_standins.base import reply
from magnoliaflow_standins.base import serve
from magnoliaflow_standins.base import sleep
from magnoliaflow_standins.base import Standin

MAX_PAGE_RECORDS = 500


class LogStandin(Standin):
    """Streams kept in memory.

    Further switches: ``late_s`` answers an append with a failure and
    applies it after that time; ``keep`` limits the records kept in a
    stream, 0 for no limit.

    ``era`` rises each time the log goes back.
    """

    def __init__(self) -> None:
        super().__init__()
        self.switches.update(late_s=0.0, keep=0)
        self.streams: dict[str, list[str]] = {}
        self.appended_at: dict[str, list[float]] = {}
        self.era = 0
        self.first_offsets: dict[str, int] = {}
        self.waiting_reads: list[Deferred[None]] = []

    def append(self, stream: str, records: list[str]) -> None:
        """Append records and wake the waiting reads."""
        stored = self.streams.setdefault(stream, [])
        stored.extend(records)
        times = self.appended_at.setdefault(stream, [])
        times.extend([now()] * len(records))
        keep = int(self.switches["keep"])
        if keep and len(stored) > keep:
            excess = len(stored) - keep
            del stored[:excess]
            del times[:excess]
            self.first_offsets[stream] = (
                self.first_offsets.get(stream, 0) + excess
            )
        self.wake_reads()

    def go_back(self, age_s: float) -> None:
        """Come back from a copy of this age, in a new era."""
        copied_at = now() - age_s
        for stream, times in self.appended_at.items():
            kept = bisect_right(times, copied_at)
            del times[kept:]
            del self.streams[stream][kept:]
        self.era += 1
        self.wake_reads()

    def wake_reads(self) -> None:
        """Let the waiting reads answer."""
        waiting_reads, self.waiting_reads = self.waiting_reads, []
        for deferred in waiting_reads:
            if not deferred.called:
                deferred.callback(None)


def make_app(log: LogStandin) -> Klein:
    """Return the web application of a log stand-in."""
    app = Klein()
    add_control_routes(app, log)

    @app.route("/restore", methods=["POST"])
    def restore(request: Any) -> Any:
        log.go_back(float(json_body(request)["age_s"]))
        return reply(request, {"era": log.era})

    @app.route("/streams/<stream>", methods=["POST"])
    async def append(request: Any, stream: str) -> Any:
        records = json_body(request)["records"]
        late_s = float(log.switches["late_s"])
        if late_s:
            sleep(late_s).addCallback(lambda _: log.append(stream, records))
            return reply(request, {}, 500)
        if not await log.apply_faults():
            return reply(request, {}, 500)
        log.append(stream, records)
        if log.lose_reply(request):
            return b""
        return reply(request, {})

    @app.route("/streams/<stream>", methods=["GET"])
    async def read(request: Any, stream: str) -> Any:
        start = int(request.args[b"from"][0])
        wait_s = float(request.args.get(b"wait", [b"0"])[0])
        if not await log.apply_faults():
            return reply(request, {}, 500)
        if start >= end_offset(log, stream) and wait_s > 0:
            deferred: Deferred[None] = Deferred()
            log.waiting_reads.append(deferred)
            deferred.addTimeout(wait_s, reactor).addErrback(lambda _: None)
            await deferred
        if not await log.apply_faults():
            return reply(request, {}, 500)
        first_offset = log.first_offsets.get(stream, 0)
        if start < first_offset:
            body = {"first": first_offset, "era": log.era}
            return reply(request, body, 410)
        page = log.streams.get(stream, [])[start - first_offset :][
            :MAX_PAGE_RECORDS
        ]
        return reply(
            request,
            {
                "records": [
                    [start + index, text] for index, text in enumerate(page)
                ],
                "end": end_offset(log, stream),
                "era": log.era,
            },
        )

    return app


def end_offset(log: LogStandin, stream: str) -> int:
    """Return the next free offset of a stream."""
    return log.first_offsets.get(stream, 0) + len(log.streams.get(stream, []))


def main() -> None:
    """Run the stand-in."""
    serve(make_app(LogStandin()), make_parser("the log service").parse_args())


if __name__ == "__main__":
    main()
