"""HTTP client with one new connection per request, parsed strictly by h11.

A connection carries a single exchange: bytes that follow a complete answer
belong to no request and are dropped with the connection.
"""

from collections.abc import Callable
from collections import deque
from socket import IPPROTO_TCP
from socket import SO_KEEPALIVE
from socket import SOL_SOCKET
from socket import TCP_KEEPCNT
from socket import TCP_KEEPIDLE
from socket import TCP_KEEPINTVL
from socket import TCP_USER_TIMEOUT
from typing import Any
from typing import Protocol as Interface

import h11
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Protocol

from magnoliaflow.common.errors import NotSentError
from magnoliaflow.common.errors import PortError
from magnoliaflow.common.loop import reactor
from magnoliaflow.common.sockets import release_local_port
from magnoliaflow.transport.requestwriter import PART_BYTES
from magnoliaflow.transport.requestwriter import RequestWriter

# A connection is aborted when sent data stays unacknowledged for this long.
# Twice the longest round trip between regions would suffice; the rest covers
# lost packets.
TCP_USER_TIMEOUT_MS = 1500
# Keep-alive probes detect an unresponsive peer while nothing is sent.  They
# start after one idle second and are sent one second apart, up to
# KEEPALIVE_PROBES of them.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_PROBES = 2
# Limits on the memory that one answer may use.
MAX_HEAD_BYTES = 65536
MAX_REPLY_BYTES = 8 * 1024 * 1024
# Interim (1xx) responses before an answer; a faulty peer may go on with them.
MAX_INTERIM_RESPONSES = 8
# Work on one connection, in units of one parsed h11 event, about 15 us.  Other
# connections are read between two turns; a connection that goes on to need
# more than WORK_PER_S is read more slowly.
MAX_WORK_PER_TURN = 64
WORK_PER_S = 640
MAX_WORK_CREDIT = 128
SLICE_BYTES = 1024
SLICE_WORK = 0.03
# Work of one part that the listener finds in a slice, such as a stream event.
PART_WORK = 0.167

Headers = list[tuple[bytes, bytes]]


class ExchangeListener(Interface):
    """Callbacks of an exchange, in the order in which they occur."""

    def on_open(self) -> None:
        """Handle the opened connection, before the request is sent."""

    def on_head(self, status: int, headers: Headers) -> None:
        """Handle the status and headers of the answer."""

    def on_data(self, data: bytes) -> int:
        """Handle a chunk of the answer's body; return its number of parts."""

    def on_end(self) -> None:
        """Handle the end of a complete answer."""

    def on_failure(self, reason: str, *, sent: bool) -> None:
        """Handle a failure; ``sent`` if the peer may have received data."""


class Exchange(Protocol):
    """A request and its answer on a connection of their own."""

    transport: Any

    def __init__(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> None:
        self.request = h11.Request(
            method=method, target=target, headers=headers
        )
        self.body = body
        self.listener: Any = None
        self.conn = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.connection_opened = False
        self.closed_by_peer = False
        self.finished = False
        self.interim_responses = 0
        self.connector: Any = None
        self.slices: deque[bytes] = deque()
        self.pauses: set[str] = set()
        self.turn_pending = False
        self.work_credit = float(MAX_WORK_CREDIT)
        self.credited_at = 0.0

    def connectionMade(self) -> None:
        """Send the request, a large body as the peer reads it."""
        if self.finished:
            self.transport.abortConnection()
            return
        self.connection_opened = True
        set_socket_limits(self.transport)
        self.listener.on_open()
        if self.finished:
            return
        data = self.conn.send(self.request)
        if len(self.body) > PART_BYTES:
            self.transport.write(data)
            self.transport.registerProducer(RequestWriter(self), False)
            return
        if self.body:
            data += self.conn.send(h11.Data(data=self.body))
        data += self.conn.send(h11.EndOfMessage())
        self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes and pass complete events to the listener."""
        if self.finished:
            return
        try:
            self.conn.receive_data(data)
        except h11.RemoteProtocolError as exc:
            self._fail(f"malformed answer: {exc}")
            return
        self._take_turn()

    def pauseProducing(self) -> None:
        """Stop reading while the receiver of the answer does not read."""
        self._pause("receiver")

    def resumeProducing(self) -> None:
        """Read on for the receiver of the answer."""
        self._resume("receiver")

    def stopProducing(self) -> None:
        """Do nothing: the owner of the exchange cancels it."""

    def connectionLost(self, reason: Any = None) -> None:
        """Complete an answer delimited by the connection's end, or fail."""
        if self.finished:
            return
        if not reason.check(ConnectionDone):
            self._fail("connection reset")
            return
        self.closed_by_peer = True
        if not self.turn_pending:
            self._end_input()

    def cancel(self) -> None:
        """Abort the connection; no callback follows."""
        if self.finished:
            return
        self.finished = True
        if self.connection_opened:
            self.transport.abortConnection()
        elif self.connector is not None:
            self.connector.stopConnecting()

    def _take_turn(self) -> None:
        """Process received bytes; leave the rest to a later turn."""
        now = reactor.seconds()
        self.work_credit = min(
            MAX_WORK_CREDIT,
            self.work_credit + (now - self.credited_at) * WORK_PER_S,
        )
        self.credited_at = now
        try:
            is_unfinished = self._process_events()
        except h11.RemoteProtocolError as exc:
            self._fail(f"malformed answer: {exc}")
            return
        self.turn_pending = is_unfinished or self.work_credit < 0
        if self.turn_pending:
            self._pause("turn")
            delay_s = max(0.0, -self.work_credit / WORK_PER_S)
            reactor.callLater(delay_s, self._take_next_turn)

    def _take_next_turn(self) -> None:
        if self.finished:
            return
        self._take_turn()
        if self.turn_pending or self.finished:
            return
        if self.closed_by_peer:
            self._end_input()
        else:
            self._resume("turn")

    def _end_input(self) -> None:
        """Complete an answer that ends with its connection, or fail."""
        try:
            self.conn.receive_data(b"")
            while self._process_events():
                continue
        except h11.RemoteProtocolError:
            pass
        if not self.finished:
            self._fail("connection closed before the answer was complete")

    def _pause(self, cause: str) -> None:
        if not self.pauses and not self.closed_by_peer:
            self.transport.pauseProducing()
        self.pauses.add(cause)

    def _resume(self, cause: str) -> None:
        self.pauses.discard(cause)
        if not self.pauses and not self.closed_by_peer and not self.finished:
            self.transport.resumeProducing()

    def _next_event(self) -> Any:
        """Return the next event; a large part of a body comes in slices."""
        if not self.slices:
            event = self.conn.next_event()
            if not isinstance(event, h11.Data):
                return event
            data = bytes(event.data)
            if len(data) <= SLICE_BYTES:
                return event
            self.slices.extend(
                data[start : start + SLICE_BYTES]
                for start in range(0, len(data), SLICE_BYTES)
            )
        # A slice of a large part is cheaper than an event of its own.
        self.work_credit += 1 - SLICE_WORK
        return h11.Data(data=self.slices.popleft())

    def _process_events(self) -> bool:
        """Pass events on; return whether some are left for a later turn."""
        least_credit = self.work_credit - MAX_WORK_PER_TURN
        while not self.finished:
            if self.work_credit <= least_credit:
                return True
            event = self._next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return False
            self.work_credit -= 1
            if isinstance(event, h11.Response):
                self.listener.on_head(event.status_code, list(event.headers))
            elif isinstance(event, h11.InformationalResponse):
                self.interim_responses += 1
                if self.interim_responses > MAX_INTERIM_RESPONSES:
                    self._fail("too many interim responses")
            elif isinstance(event, h11.Data):
                parts = self.listener.on_data(bytes(event.data))
                self.work_credit -= parts * PART_WORK
            elif isinstance(event, h11.EndOfMessage):
                self.finished = True
                self.transport.abortConnection()
                self.listener.on_end()
                return False
            elif isinstance(event, h11.ConnectionClosed):
                return False
        return False

    def _fail(self, reason: str) -> None:
        self.finished = True
        if self.connection_opened:
            self.transport.abortConnection()
        self.listener.on_failure(reason, sent=self.connection_opened)


class ExchangeFactory(ClientFactory):
    """Factory for the connection of one exchange."""

    noisy = False

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange

    def buildProtocol(self, addr: Any) -> Exchange:
        """Return the exchange as the protocol of the connection."""
        return self.exchange

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Report the failed connection; nothing was sent."""
        if self.exchange.finished:
            return
        self.exchange.finished = True
        self.exchange.listener.on_failure(
            f"connection failed: {reason.getErrorMessage()}", sent=False
        )


def set_socket_limits(transport: Any) -> None:
    """Let the kernel abort a connection whose peer stops responding."""
    transport.setTcpNoDelay(True)
    sock = transport.getHandle()
    sock.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    release_local_port(sock)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_IDLE_S)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


def open_exchange(
    address: str,
    exchange: Exchange,
    listener: ExchangeListener,
    *,
    connect_s: float,
) -> Exchange:
    """Start an exchange with ``IP:PORT`` and report it to the listener."""
    exchange.listener = listener
    host, _, port = address.rpartition(":")
    exchange.connector = reactor.connectTCP(
        host, int(port), ExchangeFactory(exchange), timeout=connect_s
    )
    return exchange


class Reply:
    """A complete answer."""

    __slots__ = ("body", "headers", "status")

    def __init__(self) -> None:
        self.status = 0
        self.headers: Headers = []
        self.body = b""


class _Collector:
    """Exchange listener that collects the answer for ``fetch``."""

    __slots__ = ("body", "cancel", "fut", "may_send", "reply")

    def __init__(
        self,
        fut: "Deferred[Reply]",
        cancel: Callable[[], None],
        may_send: Callable[[], bool],
    ) -> None:
        self.fut = fut
        self.cancel = cancel
        self.may_send = may_send
        self.reply = Reply()
        self.body = bytearray()

    def on_open(self) -> None:
        """Check once more whether the call may be sent.

        The process may have been suspended while it connected.
        """
        if not self.may_send():
            self.cancel()
            self.on_failure("no longer allowed to send", sent=False)

    def on_head(self, status: int, headers: Headers) -> None:
        """Store the head."""
        self.reply.status = status
        self.reply.headers = headers

    def on_data(self, data: bytes) -> int:
        """Store a chunk; an answer beyond the size limit fails."""
        if len(self.body) + len(data) > MAX_REPLY_BYTES:
            self.cancel()
            self.on_failure(
                f"answer exceeds {MAX_REPLY_BYTES} bytes", sent=True
            )
            return 0
        self.body += data
        return 0

    def on_end(self) -> None:
        """Fire the Deferred with the complete answer."""
        self.reply.body = bytes(self.body)
        self.fut.callback(self.reply)

    def on_failure(self, reason: str, *, sent: bool) -> None:
        """Fail the Deferred with PortError or NotSentError."""
        kind = PortError if sent else NotSentError
        self.fut.errback(kind(reason))


def fetch(
    address: str,
    method: bytes,
    target: bytes,
    *,
    body: bytes = b"",
    headers: Headers | None = None,
    timeout_s: float,
    may_send: Callable[[], bool] = lambda: True,
) -> "Deferred[Reply]":
    """Return the complete answer to one call; fails with PortError.

    With NotSentError the call cannot have been executed.  ``may_send`` is
    asked right before the call is written.
    """
    lines = [(b"Host", address.encode()), *(headers or [])]
    if body or method != b"GET":
        lines.append((b"Content-Length", str(len(body)).encode()))
    exchange = Exchange(method, target, lines, body)
    fut: Deferred[Reply] = Deferred(lambda _: exchange.cancel())
    open_exchange(
        address,
        exchange,
        _Collector(fut, exchange.cancel, may_send),
        connect_s=min(1.0, timeout_s),
    )
    return fut.addTimeout(timeout_s, reactor, onTimeoutCancel=_timed_out)


def _timed_out(result: Any, timeout_s: float) -> Any:
    raise PortError(f"no answer within {timeout_s:g} s")
