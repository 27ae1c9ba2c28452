"""HTTP server connections of callers, parsed strictly by h11."""

from collections.abc import Callable
from typing import Any

import h11
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol

from magnoliaflow.common.loop import reactor
from magnoliaflow.transport.client import Headers
from magnoliaflow.transport.memory import BufferBudget

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
# An answer is handed to the transport in parts of this size.
WRITE_BYTES = 64 * 1024
# Bodies that a server without a budget of its own may buffer.
MAX_BUFFERED_BYTES = 16 * 1024 * 1024
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ServerLimits:
    """Limits on request sizes in bytes and waiting times in seconds."""

    __slots__ = (
        "head_timeout_s",
        "idle_timeout_s",
        "max_body_bytes",
        "max_head_bytes",
    )

    def __init__(self) -> None:
        self.max_head_bytes = 16384
        self.max_body_bytes = 4 * 1024 * 1024
        self.head_timeout_s = 3.0
        self.idle_timeout_s = 15.0


class InboundRequest:
    """A request read from a connection, with methods to answer it."""

    __slots__ = (
        "answered",
        "answer_started",
        "body",
        "closed",
        "conn",
        "headers",
        "method",
        "on_disconnect",
        "target",
    )

    def __init__(self, conn: "ServerConnection", event: h11.Request) -> None:
        self.conn = conn
        self.method = bytes(event.method)
        self.target = bytes(event.target)
        self.headers: Headers = list(event.headers)
        self.body = b""
        self.answer_started = False
        self.answered = False
        self.closed = False
        self.on_disconnect: Callable[[], None] = lambda: None

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer, a large one as its caller reads it."""
        if self.answered or self.closed:
            return
        if self.method == b"HEAD":
            body = b""
        length = (b"Content-Length", str(len(body)).encode())
        self.begin(status, [*headers, length])
        if len(body) > WRITE_BYTES:
            BodyWriter(self, body).start()
            return
        if body:
            self.send(body)
        self.finish()

    def begin(self, status: int, headers: Headers) -> None:
        """Send the head of an answer."""
        if self.closed:
            return
        self.answer_started = True
        if self.conn.closes_after_answer():
            headers = [*headers, (b"Connection", b"close")]
        self.conn.write(
            h11.Response(
                status_code=status,
                headers=headers,
                reason=REASON_PHRASES.get(status, b""),
            )
        )

    def send(self, data: bytes) -> None:
        """Send a chunk of the body."""
        if not self.closed:
            self.conn.write(h11.Data(data=data))

    def read_from(self, source: Any) -> None:
        """Pause a source, a transport, while the caller does not read."""
        if self.closed:
            return
        transport = self.conn.transport
        transport.unregisterProducer()
        transport.registerProducer(source, True)

    def finish(self) -> None:
        """Complete the answer."""
        if self.answered or self.closed:
            return
        self.answered = True
        self.conn.transport.unregisterProducer()
        self.conn.write(h11.EndOfMessage())
        self.conn.request_done()

    def abort(self) -> None:
        """Abort the connection so that the answer cannot look complete."""
        if self.answered or self.closed:
            return
        self.closed = True
        self.conn.transport.abortConnection()

    def notify_disconnect(self) -> None:
        """Call ``on_disconnect`` unless the answer is complete."""
        if self.answered or self.closed:
            return
        self.closed = True
        self.on_disconnect()


class BodyWriter:
    """Pull producer that writes a body in slices, as its caller reads."""

    __slots__ = ("body", "inbound", "position")

    def __init__(self, inbound: InboundRequest, body: bytes) -> None:
        self.inbound = inbound
        self.body = body
        self.position = 0

    def start(self) -> None:
        """Hold the body and write its first slice."""
        self.inbound.conn.factory.buffers.hold(self, len(self.body))
        if not self.inbound.closed:
            self.inbound.conn.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Write the next slice once the last one is sent."""
        data = self.body[self.position : self.position + WRITE_BYTES]
        self.position += len(data)
        self.inbound.send(data)
        if self.position >= len(self.body):
            self.inbound.finish()
            self.stopProducing()

    def stopProducing(self) -> None:
        """Drop the body: it is written, or its caller is gone."""
        self.body = b""
        self.inbound.conn.factory.buffers.release(self)

    def evict(self) -> None:
        """Abort the answer to a caller that reads too slowly."""
        self.inbound.abort()
        self.stopProducing()


Handler = Callable[[InboundRequest], None]


class ServerConnection(Protocol):
    """A caller's connection; one request at a time."""

    transport: Any

    def __init__(self, factory: "ServerFactory") -> None:
        self.factory = factory
        self.conn = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=factory.limits.max_head_bytes,
        )
        self.current: InboundRequest | None = None
        self.incoming: Any = None
        self.body = bytearray()
        self.timer: Any = None
        self.reading = False
        self.is_rejected = False

    def connectionMade(self) -> None:
        """Start to wait for a request."""
        self.transport.setTcpNoDelay(True)
        self.factory.connections.add(self)
        self._start_timer(self.factory.limits.idle_timeout_s)

    def connectionLost(self, reason: Any = None) -> None:
        """Notify the request in progress that its caller disconnected."""
        self._cancel_timer()
        self.factory.connections.discard(self)
        self.factory.buffers.release(self)
        if self.current is not None:
            self.current.notify_disconnect()

    def closes_after_answer(self) -> bool:
        """Return whether the connection is closed after its answer."""
        return self.factory.draining

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes; a malformed request closes the connection."""
        if self.is_rejected:
            return
        if self.current is None and not self.reading:
            self.reading = True
            self._start_timer(self.factory.limits.head_timeout_s)
        try:
            self.conn.receive_data(data)
            self._process_events()
        except h11.RemoteProtocolError as exc:
            self._reject(exc.error_status_hint)

    def write(self, event: Any) -> None:
        """Send an h11 event of the answer."""
        data = self.conn.send(event)
        if data:
            self.transport.write(data)

    def request_done(self) -> None:
        """Wait for the next request after an answer, or close."""
        self.current = None
        self.reading = False
        if self.conn.our_state is not h11.DONE:
            self.transport.loseConnection()
            return
        if self.conn.their_state is not h11.DONE:
            self.transport.loseConnection()
            return
        self.conn.start_next_cycle()
        self._start_timer(self.factory.limits.idle_timeout_s)
        reactor.callLater(0, self._resume_reading)

    def close_if_idle(self) -> None:
        """Close the connection if no request is in progress."""
        if self.current is None and not self.reading:
            self.transport.loseConnection()

    def reject_incomplete(self, status: int) -> None:
        """Reject a request that has not been read completely."""
        if self.current is None and self.reading:
            self._reject(status)

    def _resume_reading(self) -> None:
        if self.current is None and self.conn.trailing_data[0]:
            self.dataReceived(b"")

    def _process_events(self) -> None:
        while self.current is None:
            event = self.conn.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.ConnectionClosed):
                self.transport.loseConnection()
                return
            if not self._handle_event(event):
                return

    def _handle_event(self, event: Any) -> bool:
        """Handle one event of a request; return whether to continue."""
        if isinstance(event, h11.Request):
            self.incoming = InboundRequest(self, event)
            if _head_size(self.incoming) > self.factory.limits.max_head_bytes:
                self._reject(431)
                return False
            if _has_conflicting_framing(self.incoming.headers):
                self._reject(400)
                return False
            if self.conn.they_are_waiting_for_100_continue:
                self.transport.write(CONTINUE_RESPONSE)
        elif isinstance(event, h11.Data):
            size = len(self.body) + len(event.data)
            if size > self.factory.limits.max_body_bytes:
                self._reject(413)
                return False
            self.body += event.data
            self.factory.buffers.hold(self, size)
            return not self.is_rejected
        elif isinstance(event, h11.EndOfMessage):
            self._cancel_timer()
            inbound = self.incoming
            inbound.body = bytes(self.body)
            self.body = bytearray()
            self.factory.buffers.release(self)
            self.current = inbound
            self.factory.handler(inbound)
            return False
        return True

    def evict(self) -> None:
        """Reject a request whose body takes too much of this host's memory."""
        self.body = bytearray()
        self._reject(503)

    def _reject(self, status: int) -> None:
        """Reject a request with a status and close the connection."""
        self.is_rejected = True
        self.factory.on_rejected(status)
        if self.conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            head = h11.Response(
                status_code=status,
                headers=[
                    (b"Content-Length", b"0"),
                    (b"Connection", b"close"),
                ],
                reason=REASON_PHRASES.get(status, b""),
            )
            self.write(head)
            self.write(h11.EndOfMessage())
        self.transport.loseConnection()

    def _start_timer(self, delay_s: float) -> None:
        self._cancel_timer()
        self.timer = reactor.callLater(delay_s, self._timed_out)

    def _cancel_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None

    def _timed_out(self) -> None:
        self.timer = None
        if self.reading:
            self._reject(408)
            return
        self.transport.loseConnection()


def _head_size(inbound: InboundRequest) -> int:
    """Return the size of a complete head; h11 limits incomplete ones."""
    headers_size = sum(
        len(name) + len(value) + 4 for name, value in inbound.headers
    )
    return headers_size + len(inbound.target)


def _has_conflicting_framing(headers: Headers) -> bool:
    """Return whether a head has two headers that frame the body."""
    names = [name for name, _ in headers]
    return b"transfer-encoding" in names and b"content-length" in names


class ServerFactory(Factory):
    """Factory for the connections of callers."""

    noisy = False

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        *,
        on_rejected: Callable[[int], None] = lambda status: None,
        buffers: BufferBudget | None = None,
    ) -> None:
        self.buffers = buffers or BufferBudget(MAX_BUFFERED_BYTES)
        self.handler = handler
        self.limits = limits
        self.on_rejected = on_rejected
        self.draining = False
        self.connections: set[ServerConnection] = set()

    def buildProtocol(self, addr: Any) -> ServerConnection:
        """Return the protocol of a new connection."""
        return ServerConnection(self)

    def drain(self) -> None:
        """From now on, close each connection after its answer."""
        self.draining = True
