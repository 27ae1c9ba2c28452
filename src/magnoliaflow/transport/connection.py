"""A caller's connection, parsed strictly by h11 and read as memory allows."""

from typing import Any

import h11

from magnoliaflow.common.loop import reactor
from magnoliaflow.policy.callermemory import held_bytes
from magnoliaflow.transport.bodybuffer import BodyBuffer
from magnoliaflow.transport.framing import body_length
from magnoliaflow.transport.framing import head_fault
from magnoliaflow.transport.inbound import InboundRequest
from magnoliaflow.transport.inbound import rejection
from magnoliaflow.transport.inbound import WRITE_BYTES
from magnoliaflow.transport.limits import LINGER_S
from magnoliaflow.transport.limits import MAX_EVENTS_PER_TURN
from magnoliaflow.transport.limits import MAX_PIPELINED_BYTES
from magnoliaflow.transport.limits import MAX_WAIT_S
from magnoliaflow.transport.pausable import PausableProtocol

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ServerConnection(PausableProtocol):
    """A caller's connection; one request at a time.

    ``pauses`` holds the causes for which it is not read: ``turn`` (others
    are read first), ``memory`` (its body waits for room), ``pipeline``
    (enough bytes behind the request in progress).
    """

    def __init__(self, factory: Any) -> None:
        super().__init__()
        self.factory = factory
        self.conn = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=factory.limits.max_head_bytes,
        )
        self.current: InboundRequest | None = None
        self.incoming: Any = None
        self.body = BodyBuffer()
        self.reading = False
        self.is_rejected = False
        self.is_held = False
        self.is_unread = False
        self.keys: tuple[str, ...] = ()
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
        self._release()
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
        is_reading = self.current is None and self.reading
        if not is_reading and self.unparsed > MAX_PIPELINED_BYTES:
            self._pause("pipeline")
            self.account()

    def set_source(self, source: Any) -> None:
        """Set what writes the answer; it is paused with the transport."""
        self.source = source
        if source is not None and self.is_unread:
            source.pauseProducing()

    def pauseProducing(self) -> None:
        """Stop to answer a caller that does not read."""
        self.is_unread = True
        self.account()
        if self.source is not None:
            self.source.pauseProducing()

    def resumeProducing(self) -> None:
        """Go on to answer a caller that reads again."""
        self.is_unread = False
        if self.is_rejected or self.transport.disconnecting:
            self.transport.unregisterProducer()
            return
        self.account()
        if self.source is not None:
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
        self.account()
        if {self.conn.our_state, self.conn.their_state} != {h11.DONE}:
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
            self._reject(status, linger=False)

    def make_room(self) -> None:
        """Close the connection in favour of one that was opened later."""
        if self.reading:
            self._reject(503, linger=False, has_room=False)
        else:
            self._close()

    def evict(self) -> None:
        """Drop what takes too much of this host's memory.

        An incomplete request is rejected; an answer that its caller does not
        read is aborted.
        """
        if self.is_unread:
            self.transport.abortConnection()
        else:
            self._reject(503, has_room=False)

    def _release(self) -> None:
        if self.is_held:
            self.is_held = False
            self.factory.buffers.release(self)

    def account(self) -> None:
        """Set what this connection holds in the account of the host."""
        if self.is_lost or self.is_rejected:
            return
        size = held_bytes(
            incomplete=len(self.body),
            running=0 if self.current is None else len(self.current.body),
            unparsed=self.unparsed,
            unsent=WRITE_BYTES if self.is_unread else 0,
        )
        if not size:
            self._release()
            return
        self.is_held = True
        self.factory.buffers.hold(
            self,
            size,
            keys=self.keys,
            fixed=self.current is not None and not self.is_unread,
            waiting="memory" in self.pauses,
        )

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
        if self.transport.disconnecting:
            return
        if self.is_unread:
            self._pause("pipeline")
            return
        if self.unparsed and not self.pauses & {"memory", "turn"}:
            self._begin_reading()
            self._parse()
        is_reading = self.current is None and self.reading
        if is_reading or self.unparsed <= MAX_PIPELINED_BYTES:
            self._resume("pipeline")

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
        self._start_timer(self.factory.limits.idle_timeout_s)
        self._resume("memory")
        self._expect_body()
        # A caller that has left is noticed first.
        reactor.callLater(0, self._parse_waited)

    def _parse_waited(self) -> None:
        if self.is_lost or self.is_rejected or self.current is not None:
            return
        if self.reading and not self.pauses & {"memory", "turn"}:
            self._parse()

    def _parse(self) -> None:
        """Handle the next events and account for what is left."""
        try:
            self._process_events()
        except h11.RemoteProtocolError as exc:
            self._reject(exc.error_status_hint)
            return
        if self.current is None and self.reading:
            self.account()

    def _process_events(self) -> None:
        for _ in range(MAX_EVENTS_PER_TURN):
            if self.current is not None:
                return
            event = self.conn.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                if self.conn.their_state is h11.SEND_BODY:
                    self.unparsed = len(self.conn.trailing_data[0])
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
            self.body.add(event.data)
        elif isinstance(event, h11.EndOfMessage):
            self._handle_request()
            return False
        return True

    def _handle_head(self, event: h11.Request) -> bool:
        inbound = InboundRequest(self, event)
        self.incoming = inbound
        limits = self.factory.limits
        fault = head_fault(inbound.target, inbound.headers, limits)
        if fault:
            self._reject(fault)
            return False
        length = body_length(inbound.headers)
        if not length:
            return True
        if length < 0:
            length = limits.max_body_bytes
        account = self.factory.name_account(inbound)
        address = self.keys[0]
        self.keys = (address, f"account {account}") if account else (address,)
        self._release()
        self._start_timer(limits.idle_timeout_s)
        if self.factory.buffers.must_wait(length):
            self._pause("memory")
            self._start_timer(min(limits.idle_timeout_s, MAX_WAIT_S))
            self.factory.buffers.wait(
                self, length, self.keys, self._resume_body
            )
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
        self.unparsed = len(self.conn.trailing_data[0])
        self.factory.buffers.stop_waiting(self)
        size = held_bytes(running=len(self.body))
        if self.factory.buffers.crowds_out(self.keys, size):
            self._reject(503, has_room=False)
            return
        inbound.body = self.body.take()
        self.current = inbound
        self.factory.open.set_running(self)
        self.account()
        self.factory.handler(inbound)

    def _reject(
        self, status: int, *, linger: bool = True, has_room: bool = True
    ) -> None:
        """Reject a request with a status and close the connection."""
        if self.is_rejected:
            return
        self.is_rejected = True
        self.body.clear()
        self.factory.buffers.stop_waiting(self)
        self._release()
        self.factory.on_rejected(status)
        if self.conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.write(rejection(status, has_room))
            self.write(h11.EndOfMessage())
        # The rest of the input is not kept.
        self.conn = h11.Connection(h11.SERVER)
        self.unparsed = 0
        if (
            linger
            and not self.is_unread
            and self.factory.open.may_linger(self)
        ):
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
        self.timer = reactor.callLater(LINGER_S, self._close)

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

    def _timed_out(self) -> None:
        self.timer = None
        if not self.reading:
            self._close()
        elif "memory" in self.pauses:
            self._reject(503, has_room=False)
        elif self.conn.their_state is h11.SEND_BODY and self.has_moved:
            self._start_timer(self.factory.limits.idle_timeout_s)
        else:
            self._reject(408)
