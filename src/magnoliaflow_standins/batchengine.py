"""Stand-in for an engine of the users' platform, with injected faults."""

from collections.abc import Callable
from dataclasses import dataclass
from select import select
from socket import MSG_PEEK
from threading import Event
from threading import Lock
from threading import Timer
from time import monotonic
from time import sleep

from magnoliaflow_standins.httpbase import QuietHandler
from magnoliaflow_standins.httpbase import QuietServer

# Time from the first token of an answer until the engine ends under it; 40 to
# 75 ms were seen.
CRASH_DELAY_S = 0.05


@dataclass(frozen=True)
class Weakness:
    """Requests that a bad version serves badly: a ``share`` of them.

    Of those behind the first ``after`` ones, under ``prefix``, and while at
    least ``load`` requests run.  They fail, or are answered ``delay_s`` later.
    """

    share: float = 0.0
    after: int = 0
    prefix: str = "/"
    load: int = 0
    delay_s: float = 0.0


class BatchEngine:
    """Answers requests and records the ids of the attempts it executed.

    An answer carries its attempt id and the engine's signature.
    ``disconnected_ids`` holds the attempts whose client disconnected
    before the end of the stream.

    ``fault`` applies to the next ``fault_count`` requests: ``shed`` (not
    run), ``lost`` (run, no answer), ``cut`` (run, answer truncated),
    ``failed`` (run, status 500), ``stranger`` (another attempt's id),
    ``unsigned`` (no signature), ``old refusal`` (run, then another attempt's
    refusal).

    ``resumed_answer`` is what is sent in place of the rest of a stream: a
    status, ``text`` (200, plain), ``unsigned`` or ``unnamed`` (events without
    a signature or an id of the request), ``half`` (a part of a head).

    A request whose prompt has a part of ``crashing_parts``, other than the
    last, ends the engine when it begins to write the answer; it is back after
    ``restart_s`` seconds, as a new run.  So does one with a body of
    ``crashing_bodies``, if it is of ``crashing_accounts`` or these are empty.

    ``rate_limit`` is the limit in requests a second that answers name, None
    for none; ``arrivals`` are the times at which requests arrived.  Without
    ``framed``, answers have neither a length nor chunks and end with their
    connection.

    Once ``leaving``, all answers say so.  Events name the ``version`` of the
    engine's software, if it has one.  ``cut_first`` cuts each stream that does
    not go on from an earlier one, after two events.

    ``weakness`` is what a bad version does to a part of its requests.
    ``received`` holds the time, path and end ("good", "bad") of each request
    that it ran.
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
        self.crashing_parts: frozenset[str] = frozenset()
        self.crashing_bodies: frozenset[bytes] = frozenset()
        self.crashing_accounts: frozenset[str] = frozenset()
        self.restart_s = 2.0
        self.rate_limit: float | None = None
        self.leaving = False
        self.version = ""
        self.cut_first = False
        self.resumed_answer = ""
        self.framed = True
        self.arrivals: list[float] = []
        self.weakness = Weakness()
        self.received: list[tuple[float, str, str]] = []
        self.running = 0
        self.ends = 0
        self.on_restart: Callable[[], None] = lambda: None
        self.down = Event()
        self.closed = False
        self.lock = Lock()
        self.server = QuietServer(_Handler, self)
        self.address = self.server.address

    def close(self) -> None:
        """Stop serving."""
        with self.lock:
            self.closed = True
            if not self.down.is_set():
                self.server.close()

    def crash(self) -> None:
        """End with all open answers, and start again later."""
        with self.lock:
            if self.down.is_set() or self.closed:
                return
            self.down.set()
            self.ends += 1
            self.server.crash()
        Timer(self.restart_s, self._restart).start()

    def end(self) -> None:
        """End with all open answers, for good."""
        with self.lock:
            self.closed = True
            self.down.set()
            self.server.crash()

    def _restart(self) -> None:
        with self.lock:
            if self.closed:
                return
            port = int(self.address.rpartition(":")[2])
            self.server = QuietServer(_Handler, self, port)
            self.down.clear()
        self.on_restart()

    def crashes_on(self, prefix: str) -> bool:
        """Return whether the engine ends under a prompt with these parts."""
        parts = [entry.partition(":")[0] for entry in prefix.split(",")]
        return not self.crashing_parts.isdisjoint(parts[:-1])

    def crashes_under(self, account: str, body: bytes) -> bool:
        """Return whether the engine ends under an account's request."""
        return body in self.crashing_bodies and (
            not self.crashing_accounts or account in self.crashing_accounts
        )

    def next_pause_s(self, request_id: str) -> float:
        """Return the seconds before a request's answer or next event."""
        return self.pause_s

    def event(self, number: int) -> bytes:
        """Return an event of a stream."""
        text = f"t{number} {self.version}".rstrip()
        return b"id: %d\ndata: %s\n\n" % (number, text.encode())

    def take_fault(self) -> str:
        """Return the fault of the next request, '' for none."""
        if self.fault_count == 0:
            return ""
        self.fault_count -= 1
        return self.fault

    def take_weakness(self, path: str) -> str:
        """Record a request; return its fault, '' for none, or wait."""
        weakness, number = self.weakness, len(self.received)
        is_bad = (
            number >= weakness.after
            and path.startswith(weakness.prefix)
            and self.running >= weakness.load
            and number * weakness.share % 1.0 + weakness.share >= 1.0
        )
        self.received.append((monotonic(), path, "bad" if is_bad else "good"))
        if is_bad and weakness.delay_s:
            sleep(weakness.delay_s)
            return ""
        return "failed" if is_bad else ""


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
        engine.arrivals.append(monotonic())
        if self.headers["X-Expected-Instance"] != engine.engine_id:
            self._send_headers(421, [("X-Instance-Id", engine.engine_id)], 0)
            return
        engine.running += 1
        try:
            fault = engine.take_fault() or engine.take_weakness(self.path)
            self._run(body, fault)
        finally:
            engine.running -= 1

    def _run(self, body: bytes, fault: str) -> None:
        engine = self.engine
        if fault == "shed":
            self._send_headers(503, [("X-Not-Executed", "1")], 0)
            return
        engine.executed_ids.append(self.headers["X-Attempt-Id"])
        engine.request_headers.append(dict(self.headers.items()))
        if fault == "lost":
            self.close_connection = True
            return
        if fault == "old refusal":
            headers = [("X-Not-Executed", "1"), ("X-Attempt-Id", "other")]
            self._send_headers(503, headers, 0)
            return
        account = self.headers.get("X-Tenant", "")
        if engine.crashes_under(account, body):
            sleep(CRASH_DELAY_S)
            engine.crash()
            self.close_connection = True
            return
        if self.path.endswith("/s"):
            self._stream_until_disconnect(fault)
        else:
            self._send_answer(body, fault)

    def _send_answer(self, body: bytes, fault: str) -> None:
        if self._client_leaves():
            self.engine.disconnected_ids.append(self.headers["X-Attempt-Id"])
            self.close_connection = True
            return
        data = b"answer to " + body
        content_length = len(data) + (10 if fault == "cut" else 0)
        status = 500 if fault == "failed" else 200
        framed = self.engine.framed
        self.close_connection = self.close_connection or not framed
        self._send_headers(
            status,
            self._signature_headers(fault),
            content_length if framed else None,
        )
        self.wfile.write(data)
        if fault == "cut":
            self.close_connection = True

    def _client_leaves(self) -> bool:
        """Pause; return whether the client disconnected meanwhile."""
        seconds = self.engine.next_pause_s(self.headers["X-Attempt-Id"])
        if not select([self.connection], [], [], seconds)[0]:
            return False
        try:
            return not self.connection.recv(1, MSG_PEEK)
        except OSError:
            return True

    def _stream_until_disconnect(self, fault: str) -> None:
        """Stream an answer; record the attempt if the client disconnects."""
        try:
            self._stream(fault)
        except OSError:
            self.engine.disconnected_ids.append(self.headers["X-Attempt-Id"])
            self.close_connection = True

    def _stream(self, fault: str) -> None:
        start = int(self.headers.get("Last-Event-Id") or -1) + 1
        if start and self.engine.resumed_answer:
            self._send_in_place(self.engine.resumed_answer, start)
            return
        headers = [
            *self._signature_headers(fault),
            ("Content-Type", "text/event-stream"),
        ]
        if self.engine.framed:
            headers.append(("Transfer-Encoding", "chunked"))
        self._send_headers(200, headers, None)
        if self.engine.crashes_on(self.headers.get("X-Prompt-Prefix", "")):
            self._chunk(b"id: %d\nda" % start)
            sleep(CRASH_DELAY_S)
            self.engine.crash()
            return
        for number in range(start, self.engine.event_count):
            if self._client_leaves():
                raise ConnectionResetError
            cut = fault == "cut" or (self.engine.cut_first and not start)
            if cut and number == start + 2:
                self._chunk(b"id: %d\nda" % number)
                self.close_connection = True
                return
            self._chunk(self.engine.event(number))
        if self.engine.framed:
            self._chunk(b"")
        else:
            self.close_connection = True

    def _send_in_place(self, answer: str, start: int) -> None:
        """Send something else than the rest of a stream."""
        self.close_connection = True
        if answer == "half":
            self.wfile.write(b"HTTP/1.1 200 OK\r\nX-Foreign: for")
            return
        is_stream = answer in ("unsigned", "unnamed")
        body = b"id: %d\n" % start if is_stream else b""
        body += b"data: foreign\n\n"
        kind = "text/event-stream" if is_stream else "text/plain"
        headers = self._signature_headers(answer)
        if answer == "unnamed":
            headers = headers[1:]
        status = int(answer) if answer.isdigit() else 200
        if status == 204:
            body = b""
        headers.append(("Content-Type", kind))
        self._send_headers(status, headers, len(body))
        self.wfile.write(body)

    def _chunk(self, data: bytes) -> None:
        if not self.engine.framed:
            self.wfile.write(data)
            return
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
        if self.engine.rate_limit is not None:
            self.send_header("Server-Limit", f"{self.engine.rate_limit:g}")
        if self.engine.leaving:
            self.send_header("Server-Leaving", "1")
        if content_length is not None:
            self.send_header("Content-Length", str(content_length))
        self.end_headers()
