"""Thrift links between peers, with one ordered queue per address."""

from collections.abc import Callable
from typing import Any

from thrift.protocol import TCompactProtocol
from thrift.transport.TTwisted import ThriftClientProtocol
from thrift.transport.TTwisted import ThriftServerFactory
from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks
from twisted.internet.endpoints import connectProtocol
from twisted.internet.endpoints import TCP4ClientEndpoint
from zope.interface import implementer

from magnoliaflow.common.codec import message_from_wire
from magnoliaflow.common.codec import message_to_wire
from magnoliaflow.common.errors import RecordError
from magnoliaflow.common.loop import reactor
from magnoliaflow.common.messages import Beat
from magnoliaflow.common.messages import Findings
from magnoliaflow.common.messages import Message
from magnoliaflow.common.messages import Report
from magnoliaflow.common.messages import RolloutCounts
from magnoliaflow.common.messages import RolloutDecisions
from magnoliaflow.common.messages import View
from magnoliaflow.common.sockets import release_local_port
from magnoliaflow.wire import Peer

REPLY_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1
MAX_QUEUED_MESSAGES = 20_000
# Messages that replace an earlier one that still waits for the connection.
SUPERSEDING = (Beat, Report, View, Findings, RolloutCounts, RolloutDecisions)
RETRY_DELAY_S = 0.1
PROTOCOL = TCompactProtocol.TCompactProtocolAcceleratedFactory(fallback=True)

MessageCallback = Callable[[str, Message], None]
FailureCallback = Callable[[str, str], None]


@implementer(Peer.Iface)
class PeerService:
    """Server side of a peer link."""

    def __init__(self, on_message: MessageCallback) -> None:
        self.on_message = on_message

    def deliver(self, sender: str, messages: list[Any]) -> None:
        """Pass on the messages that this version can decode."""
        for envelope in messages:
            try:
                message = message_from_wire(envelope)
            except RecordError:
                continue
            if message is not None:
                self.on_message(sender, message)


def peer_factory(on_message: MessageCallback) -> ThriftServerFactory:
    """Return the server factory for the peer port."""
    processor = Peer.Processor(PeerService(on_message))
    return ThriftServerFactory(processor, PROTOCOL)


def _connect(address: str) -> "Deferred[Any]":
    host, _, port = address.partition(":")
    endpoint = TCP4ClientEndpoint(
        reactor, host, int(port), timeout=CONNECT_TIMEOUT_S
    )
    connected = connectProtocol(
        endpoint, ThriftClientProtocol(Peer.Client, PROTOCOL)
    )
    return connected.addCallback(_release_port)


def _release_port(conn: Any) -> Any:
    release_local_port(conn.transport.getHandle())
    return conn


class PeerLink:
    """Sends messages to one address in order, one batch at a time.

    ``on_failure`` is called at the first failure of a series.  If a batch is
    not acknowledged in time, its messages and the connection are dropped; the
    sender repeats what is still needed.
    """

    __slots__ = (
        "address",
        "busy",
        "conn",
        "failing",
        "on_failure",
        "queue",
        "sender",
    )

    def __init__(
        self, address: str, sender: str, on_failure: FailureCallback
    ) -> None:
        self.address = address
        self.sender = sender
        self.on_failure = on_failure
        self.queue: list[Message] = []
        self.conn: Any = None
        self.busy = False
        self.failing = False

    def send(self, message: Message) -> None:
        """Queue a message; drop the oldest if the queue is full.

        A heartbeat, report or view replaces one that waits.
        """
        if isinstance(message, SUPERSEDING):
            self.queue = [
                queued
                for queued in self.queue
                if type(queued) is not type(message)
            ]
        elif len(self.queue) >= MAX_QUEUED_MESSAGES:
            self.on_failure(self.address, "queue is full; oldest dropped")
            self.queue.pop(0)
        self.queue.append(message)
        if not self.busy:
            self.busy = True
            reactor.callLater(0, self._send_queued)

    @inlineCallbacks
    def _send_queued(self) -> Any:
        """Send batches until the queue is empty."""
        while self.queue:
            batch = self.queue
            self.queue = []
            try:
                yield self._send_batch(batch)
                self.failing = False
            except Exception as exc:
                # Thrift, Twisted and the peer raise errors of many types.
                if not self.failing:
                    self.on_failure(
                        self.address, f"{len(batch)} messages lost: {exc!r}"
                    )
                self.failing = True
                self._drop_connection()
                break
        self.busy = False

    @inlineCallbacks
    def _send_batch(self, batch: list[Message]) -> Any:
        if self.conn is None:
            self.conn = yield _connect(self.address)
        reply = self.conn.client.deliver(
            self.sender, [message_to_wire(message) for message in batch]
        )
        yield reply.addTimeout(REPLY_TIMEOUT_S, reactor)

    def _drop_connection(self) -> None:
        """Abort a connection that failed or timed out."""
        if self.conn is not None and self.conn.transport is not None:
            self.conn.transport.abortConnection()
        self.conn = None


class PeerLinks:
    """Peer links by address, opened on first use."""

    __slots__ = ("links", "on_failure", "sender")

    def __init__(
        self,
        sender: str,
        on_failure: FailureCallback = lambda address, reason: None,
    ) -> None:
        self.sender = sender
        self.on_failure = on_failure
        self.links: dict[str, PeerLink] = {}

    def send(self, address: str, message: Message) -> None:
        """Queue a message to an address."""
        link = self.links.get(address)
        if link is None:
            link = PeerLink(address, self.sender, self.on_failure)
            self.links[address] = link
        link.send(message)

    @inlineCallbacks
    def probe(self, address: str, message: Message) -> Any:
        """Return whether an address replies over a new connection."""
        conn = None
        try:
            conn = yield _connect(address)
            reply = conn.client.deliver(
                self.sender, [message_to_wire(message)]
            )
            yield reply.addTimeout(REPLY_TIMEOUT_S, reactor)
        except Exception:
            return False
        finally:
            if conn is not None:
                conn.transport.abortConnection()
        return True
