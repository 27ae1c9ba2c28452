"""Stand-in for an engine of the users' platform, with injected faults."""

from time import sleep

from magnoliaflow_standins.httpbase import QuietHandler
from magnoliaflow_standins.httpbase import QuietServer


class BatchEngine:
    """Answers requests and records the ids of the attempts it executed.

    An answer carries its attempt id and the engine's signature.
    ``disconnected_ids`` holds the attempts whose client disconnected
    before the end of the stream.

    ``fault`` applies to the next ``fault_count`` requests: ``shed`` (not
    run), ``lost`` (run, no answer), ``cut`` (run, answer truncated),
    ``failed`` (run, status 500), ``stranger`` (another attempt's id),
    ``unsigned`` (no signature).
    """

    def __init__(self, engine_id: str) -> None:
        self.engine_id = engine_id
        self.executed_ids: list[str] = []
        self.disconnected_ids: list[str] = []
        self.request_headers: list[dict[str, str]] = []
        self.fault = ""
        self.fault_count = 0
        self.event_count = 4
        self.pause_s = 0.0
        self.server = QuietServer(_Handler, self)
        self.address = self.server.address

    def close(self) -> None:
        """Stop serving."""
        self.server.close()

    def take_fault(self) -> str:
        """Return the fault of the next request, '' for none."""
        if self.fault_count == 0:
            return ""
        self.fault_count -= 1
        return self.fault


class _Handler(QuietHandler):
    @property
    def engine(self) -> BatchEngine:
        return self.server.standin  # type: ignore[attr-defined,no-any-return]

    def do_GET(self) -> None:
        """Answer a request without a body."""
        self._serve(b"")

    def do_POST(self) -> None:
        """Answer a request with a body, as a stream if its path ends in /s."""
        self._serve(self.rfile.read(int(self.headers["Content-Length"])))

    def _serve(self, body: bytes) -> None:
        engine = self.engine
        if self.headers["X-Expected-Instance"] != engine.engine_id:
            self._send_headers(421, [("X-Instance-Id", engine.engine_id)], 0)
            return
        fault = engine.take_fault()
        if fault == "shed":
            self._send_headers(503, [("X-Not-Executed", "1")], 0)
            return
        engine.executed_ids.append(self.headers["X-Attempt-Id"])
        engine.request_headers.append(dict(self.headers.items()))
        if fault == "lost":
            self.close_connection = True
            return
        if self.path.endswith("/s"):
            self._stream_until_disconnect(fault)
        else:
            self._send_answer(body, fault)

    def _send_answer(self, body: bytes, fault: str) -> None:
        sleep(self.engine.pause_s)
        data = b"answer to " + body
        content_length = len(data) + (10 if fault == "cut" else 0)
        status = 500 if fault == "failed" else 200
        self._send_headers(
            status, self._signature_headers(fault), content_length
        )
        self.wfile.write(data)
        if fault == "cut":
            self.close_connection = True

    def _stream_until_disconnect(self, fault: str) -> None:
        """Stream an answer; record the attempt if the client disconnects."""
        try:
            self._stream(fault)
        except OSError:
            self.engine.disconnected_ids.append(self.headers["X-Attempt-Id"])
            self.close_connection = True

    def _stream(self, fault: str) -> None:
        start = int(self.headers.get("Last-Event-Id") or -1) + 1
        headers = [
            *self._signature_headers(fault),
            ("Content-Type", "text/event-stream"),
        ]
        self._send_headers(
            200, [*headers, ("Transfer-Encoding", "chunked")], None
        )
        for number in range(start, self.engine.event_count):
            sleep(self.engine.pause_s)
            if fault == "cut" and number == start + 2:
                self._chunk(b"id: %d\nda" % number)
                self.close_connection = True
                return
            self._chunk(b"id: %d\ndata: t%d\n\n" % (number, number))
        self._chunk(b"")

    def _chunk(self, data: bytes) -> None:
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))

    def _signature_headers(self, fault: str) -> list[tuple[str, str]]:
        attempt_id = self.headers["X-Attempt-Id"]
        headers = [
            ("X-Attempt-Id", "other" if fault == "stranger" else attempt_id)
        ]
        if fault != "unsigned":
            headers.append(("X-Response-Signature", self.engine.engine_id))
        return headers

    def _send_headers(
        self,
        status: int,
        headers: list[tuple[str, str]],
        content_length: int | None,
    ) -> None:
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        if content_length is not None:
            self.send_header("Content-Length", str(content_length))
        self.end_headers()
