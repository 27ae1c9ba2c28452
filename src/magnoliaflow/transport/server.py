"""HTTP server connections of callers, parsed strictly by h11."""

from collections.abc import Callable
from typing import Any

import h11
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol

from magnoliaflow.common.loop import reactor
from magnoliaflow.policy.callermemory import caller_connections
from magnoliaflow.transport.client import Headers
from magnoliaflow.transport.connections import OpenConnections
from magnoliaflow.transport.inbound import InboundRequest
from magnoliaflow.transport.inbound import REASON_PHRASES
from magnoliaflow.transport.memory import BufferBudget

# Bodies that a server without a budget of its own may buffer.
MAX_BUFFERED_BYTES = 16 * 1024 * 1024
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Events of one connection in one turn of the reactor, each about 15 us.
MAX_EVENTS_PER_TURN = 32
# Bytes behind a request in progress at which its connection is not read.
MAX_PIPELINED_BYTES = 16 * 1024
# Memory of an incomplete request beside its body: parser and objects.
CONNECTION_BYTES = 32 * 1024
# Unused part of a buffer that grows: one byte in eight.
GROWTH_SHARE = 8
# A body in progress is kept once, and once more until its engine has read it.
RUNNING_COPIES = 2
# A body up to this length does not wait for room.
SMALL_BODY_BYTES = 16 * 1024
# A rejected caller that still sends may read its answer for so long.
LINGER_S = 0.5
# Retry-After of a body for which there is no room.
NO_ROOM_RETRY_AFTER = b"1"


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


Handler = Callable[[InboundRequest], None]


class ServerConnection(Protocol):
    """A caller's connection; one request at a time.

    ``pauses`` holds the causes for which it is not read: ``turn`` (others
    are read first), ``memory`` (its body waits for room), ``pipeline``
    (enough bytes behind the request in progress).
    """

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
        self.is_lost = False
        self.is_unread = False
        self.has_moved = False
        self.keys: tuple[str, ...] = ()
        self.pauses: set[str] = set()
        self.source: Any = None
        self.unparsed = 0

    def connectionMade(self) -> None:
        """Start to wait for a request."""
        self.transport.setTcpNoDelay(True)
        self.keys = (f"address {self.transport.getPeer().host}",)
        self.factory.connections.add(self)
        self.transport.registerProducer(self, True)
        self._start_timer(self.factory.limits.idle_timeout_s)
        self.factory.open.add(self)

    def connectionLost(self, reason: Any = None) -> None:
        """Notify the request in progress that its caller disconnected."""
        self.is_lost = True
        self._cancel_timer()
        self.factory.connections.discard(self)
        self.factory.open.discard(self)
        self.factory.buffers.stop_waiting(self)
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
        self.has_moved = True
        self.unparsed += len(data)
        self._begin_reading()
        try:
            self.conn.receive_data(data)
        except h11.RemoteProtocolError as exc:
            self._reject(exc.error_status_hint)
            return
        if self.current is None:
            self._parse()
        elif self.unparsed > MAX_PIPELINED_BYTES:
            self._pause("pipeline")

    def set_source(self, source: Any) -> None:
        """Set what writes the answer; it is paused with the transport."""
        self.source = source
        self.transport.unregisterProducer()
        self.transport.registerProducer(self, True)
        if source is not None and self.is_unread:
            source.pauseProducing()

    def pauseProducing(self) -> None:
        """Stop to answer a caller that does not read."""
        self.is_unread = True
        if self.source is not None:
            self.source.pauseProducing()

    def resumeProducing(self) -> None:
        """Go on to answer a caller that reads again."""
        self.is_unread = False
        if self.is_rejected or self.transport.disconnecting:
            self.transport.unregisterProducer()
        elif self.source is not None:
            self.source.resumeProducing()
        elif self.current is None:
            self._resume_reading()

    def stopProducing(self) -> None:
        """Do nothing: the connection is lost."""

    def write(self, event: Any) -> None:
        """Send an h11 event of the answer."""
        data = self.conn.send(event)
        if data:
            self.transport.write(data)

    def request_done(self) -> None:
        """Wait for the next request after an answer, or close."""
        self.current = None
        self.reading = False
        self.factory.buffers.release(self)
        if (
            self.conn.our_state is not h11.DONE
            or self.conn.their_state is not h11.DONE
        ):
            self._close()
            return
        self.conn.start_next_cycle()
        self.factory.open.set_idle(self)
        self._start_timer(self.factory.limits.idle_timeout_s)
        reactor.callLater(0, self._resume_reading)

    def close_if_idle(self) -> None:
        """Close the connection if no request is in progress."""
        if self.current is None and not self.reading:
            self._close()

    def reject_incomplete(self, status: int) -> None:
        """Reject a request that has not been read completely."""
        if self.current is None and self.reading:
            self._reject(status)

    def make_room(self) -> None:
        """Close the connection in favour of one that was opened later."""
        if self.reading:
            self._reject(503, linger=False)
        else:
            self._close()

    def evict(self) -> None:
        """Reject a request whose body takes too much of this host's memory."""
        self.body = bytearray()
        self._reject(503)

    def _begin_reading(self) -> None:
        if self.current is not None:
            return
        if not self.reading:
            self.reading = True
            self._start_timer(self.factory.limits.head_timeout_s)
        self.factory.open.set_reading(self)

    def _resume_reading(self) -> None:
        """Parse what has arrived behind the last request."""
        if self.is_lost or self.is_rejected or self.current is not None:
            return
        if self.is_unread:
            self._pause("pipeline")
            return
        if self.unparsed and not self.pauses & {"memory", "turn"}:
            self._begin_reading()
            self._parse()
        if self.current is None:
            self._resume("pipeline")

    def _pause(self, cause: str) -> None:
        if not self.pauses:
            self.transport.pauseProducing()
        self.pauses.add(cause)

    def _resume(self, cause: str) -> None:
        if cause not in self.pauses:
            return
        self.pauses.discard(cause)
        if not (self.pauses or self.is_lost or self.transport.disconnecting):
            self.transport.resumeProducing()

    def _take_turn(self) -> None:
        if self.is_lost or self.is_rejected:
            return
        self._resume("turn")
        if "memory" not in self.pauses and self.current is None:
            self._parse()

    def _resume_body(self) -> None:
        """Read a body for which there is room now."""
        if self.is_lost or self.is_rejected:
            return
        self.has_moved = True
        self._resume("memory")
        self._expect_body()
        if "turn" not in self.pauses:
            self._parse()

    def _parse(self) -> None:
        """Handle the next events and account for what is left."""
        try:
            self._process_events()
        except h11.RemoteProtocolError as exc:
            self._reject(exc.error_status_hint)
            return
        if self.current is None and self.reading and not self.is_rejected:
            size = len(self.body)
            self.factory.buffers.hold(
                self,
                size + size // GROWTH_SHARE + self.unparsed + CONNECTION_BYTES,
                keys=self.keys,
                waiting="memory" in self.pauses,
            )

    def _process_events(self) -> None:
        for _ in range(MAX_EVENTS_PER_TURN):
            if self.current is not None:
                return
            event = self.conn.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                if self.conn.their_state is h11.SEND_BODY:
                    self.unparsed = 0
                return
            if isinstance(event, h11.ConnectionClosed):
                self._close()
                return
            if not self._handle_event(event):
                return
        if self.current is None:
            self._pause("turn")
            reactor.callLater(0, self._take_turn)

    def _handle_event(self, event: Any) -> bool:
        """Handle one event of a request; return whether to continue."""
        if isinstance(event, h11.Request):
            return self._handle_head(event)
        if isinstance(event, h11.Data):
            size = len(self.body) + len(event.data)
            if size > self.factory.limits.max_body_bytes:
                self._reject(413)
                return False
            self.body += event.data
        elif isinstance(event, h11.EndOfMessage):
            self._handle_request()
            return False
        return True

    def _handle_head(self, event: h11.Request) -> bool:
        self.incoming = InboundRequest(self, event)
        limits = self.factory.limits
        if _head_size(self.incoming) > limits.max_head_bytes:
            self._reject(431)
            return False
        if _has_conflicting_framing(self.incoming.headers):
            self._reject(400)
            return False
        length = _body_length(self.incoming.headers)
        if length > limits.max_body_bytes and length >= 0:
            self._reject(413)
            return False
        if not length:
            return True
        account = self.factory.name_account(self.incoming)
        self.keys = self.keys[:1]
        if account:
            self.keys += (f"account {account}",)
        self.factory.buffers.release(self)
        self._start_timer(limits.idle_timeout_s)
        small = 0 < length <= SMALL_BODY_BYTES
        if not small and self.factory.buffers.is_short():
            self._pause("memory")
            self.factory.buffers.wait(self, self._resume_body)
            return False
        self._expect_body()
        return True

    def _expect_body(self) -> None:
        if self.conn.they_are_waiting_for_100_continue:
            self.transport.write(CONTINUE_RESPONSE)

    def _handle_request(self) -> None:
        """Hand a complete request to the handler."""
        self._cancel_timer()
        inbound = self.incoming
        inbound.body = bytes(self.body)
        self.body = bytearray()
        self.unparsed = len(self.conn.trailing_data[0])
        self.current = inbound
        self.factory.open.set_running(self)
        if inbound.body:
            self.factory.buffers.hold(
                self,
                len(inbound.body) * RUNNING_COPIES + CONNECTION_BYTES,
                keys=self.keys,
                fixed=True,
            )
        else:
            self.factory.buffers.release(self)
        self.factory.handler(inbound)

    def _reject(self, status: int, *, linger: bool = True) -> None:
        """Reject a request with a status and close the connection."""
        if self.is_rejected:
            return
        self.is_rejected = True
        self.body = bytearray()
        self.factory.buffers.stop_waiting(self)
        self.factory.buffers.release(self)
        self.factory.on_rejected(status)
        if self.conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
            if status == 503:
                headers.append((b"Retry-After", NO_ROOM_RETRY_AFTER))
            head = h11.Response(
                status_code=status,
                headers=headers,
                reason=REASON_PHRASES.get(status, b""),
            )
            self.write(head)
            self.write(h11.EndOfMessage())
        # The rest of the input is not kept.
        self.conn = h11.Connection(h11.SERVER)
        self.unparsed = 0
        if linger and self.factory.open.may_linger(self):
            self._linger()
        else:
            self._close()

    def _linger(self) -> None:
        """Read on for a short time, so that a reset takes no answer away."""
        self._cancel_timer()
        self.pauses.clear()
        self.transport.unregisterProducer()
        self.transport.resumeProducing()
        self.transport.loseWriteConnection()
        self.timer = reactor.callLater(
            LINGER_S, self.transport.abortConnection
        )

    def _close(self) -> None:
        """Close once the answer is sent, or when it is not read."""
        if self.is_lost:
            return
        self._cancel_timer()
        self.factory.open.set_running(self)
        self.transport.loseConnection()
        self.timer = reactor.callLater(
            self.factory.limits.idle_timeout_s, self.transport.abortConnection
        )

    def _start_timer(self, delay_s: float) -> None:
        self._cancel_timer()
        self.has_moved = False
        self.timer = reactor.callLater(delay_s, self._timed_out)

    def _cancel_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None

    def _timed_out(self) -> None:
        self.timer = None
        if not self.reading:
            self._close()
        elif "memory" in self.pauses:
            self._reject(503)
        elif self.conn.their_state is h11.SEND_BODY and self.has_moved:
            self._start_timer(self.factory.limits.idle_timeout_s)
        else:
            self._reject(408)


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


def _body_length(headers: Headers) -> int:
    """Return the length of the body, -1 if it comes in chunks."""
    for name, value in headers:
        if name == b"content-length":
            return int(value)
        if name == b"transfer-encoding":
            return -1
    return 0


class ServerFactory(Factory):
    """Factory for the connections of callers.

    ``name_account`` returns the account of a request, '' if it names none.
    """

    noisy = False

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        *,
        on_rejected: Callable[[int], None] = lambda status: None,
        buffers: BufferBudget | None = None,
        max_connections: int = 0,
        name_account: Callable[[InboundRequest], str] = lambda inbound: "",
        on_crowded: Callable[[str], None] = lambda address: None,
    ) -> None:
        self.buffers = buffers or BufferBudget(MAX_BUFFERED_BYTES)
        self.handler = handler
        self.limits = limits
        self.on_rejected = on_rejected
        self.name_account = name_account
        self.draining = False
        self.connections: set[ServerConnection] = set()
        self.open = OpenConnections(
            max_connections or caller_connections(0), on_crowded
        )

    def buildProtocol(self, addr: Any) -> ServerConnection:
        """Return the protocol of a new connection."""
        return ServerConnection(self)

    def drain(self) -> None:
        """From now on, close each connection after its answer."""
        self.draining = True
