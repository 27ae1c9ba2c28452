"""A caller's request and its answer."""

from collections.abc import Callable
from typing import Any

import h11

from magnoliaflow.common.loop import reactor
from magnoliaflow.transport.client import Headers

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
# Retry-After of a request for which there is no room.
NO_ROOM_RETRY_AFTER = b"1"
# An answer is handed to the transport in parts of this size.
WRITE_BYTES = 64 * 1024


def rejection(status: int, has_room: bool) -> h11.Response:
    """Return the head of an answer to input that is not handled."""
    headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
    if not has_room:
        headers.append((b"Retry-After", NO_ROOM_RETRY_AFTER))
    return h11.Response(
        status_code=status,
        headers=headers,
        reason=REASON_PHRASES.get(status, b""),
    )


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

    def __init__(self, conn: Any, event: h11.Request) -> None:
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
        self.body = b""
        self.conn.account()
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
        if not self.closed:
            self.conn.set_source(source)

    def finish(self) -> None:
        """Complete the answer."""
        if self.answered or self.closed:
            return
        self.answered = True
        self.conn.set_source(None)
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
    """Pull producer that writes a body in slices, as its caller reads.

    A caller that reads nothing for the idle timeout loses the answer.
    """

    __slots__ = ("body", "has_moved", "inbound", "position", "timer")

    def __init__(self, inbound: InboundRequest, body: bytes) -> None:
        self.inbound = inbound
        self.body = body
        self.position = 0
        self.has_moved = False
        self.timer: Any = None

    def start(self) -> None:
        """Hold the body and write its first slice."""
        conn = self.inbound.conn
        conn.factory.buffers.hold(self, len(self.body), keys=conn.keys)
        if self.inbound.closed:
            return
        self._start_timer()
        conn.transport.unregisterProducer()
        conn.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Write the next slice once the last one is sent."""
        data = self.body[self.position : self.position + WRITE_BYTES]
        self.position += len(data)
        self.has_moved = True
        self.inbound.conn.factory.buffers.touch(self, len(data))
        self.inbound.send(data)
        if self.position >= len(self.body):
            conn = self.inbound.conn
            conn.transport.unregisterProducer()
            # A pause before this writer was registered is not resumed.
            conn.is_unread = False
            conn.transport.registerProducer(conn, True)
            self.inbound.finish()
            self.stopProducing()

    def stopProducing(self) -> None:
        """Drop the body: it is written, or its caller is gone."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.body = b""
        self.inbound.conn.factory.buffers.release(self)

    def evict(self) -> None:
        """Abort the answer to a caller that reads too slowly."""
        self.inbound.abort()
        self.stopProducing()

    def _start_timer(self) -> None:
        self.has_moved = False
        delay_s = self.inbound.conn.factory.limits.idle_timeout_s
        self.timer = reactor.callLater(delay_s, self._check_progress)

    def _check_progress(self) -> None:
        if self.has_moved:
            self._start_timer()
        else:
            self.evict()
