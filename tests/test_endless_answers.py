"""Bytes without end from a faulty server, and sends after a suspension."""

from itertools import repeat
from time import process_time
import tracemalloc

from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from magnoliaflow.common.errors import NotSentError
from magnoliaflow.common.errors import PortError
from magnoliaflow.policy.eventstream import EventSplitter
from magnoliaflow.policy.eventstream import EventTooLargeError
from magnoliaflow.policy.eventstream import MAX_EVENT_BYTES
from magnoliaflow.transport import client
from magnoliaflow.transport.client import Exchange

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# Bytes after which a server that sends no answer must have been cut off.
MAX_BYTES = 2 * 1024 * 1024
PIECE = 1400
# A tenth of a core for as long as a megabyte takes over a link of 100 Mbit/s
# would be 8 ms; ten times as much is allowed on a busy machine.
MAX_CPU_S_PER_MB = 0.1


class StubTransport:
    """A transport that records whether it was aborted."""

    def __init__(self):
        self.aborted = False
        self.written = b""
        self.paused = False

    def write(self, data):
        """Record written bytes."""
        self.written += data

    def abortConnection(self):
        """Record the abort."""
        self.aborted = True

    def pauseProducing(self):
        """Record that reading is paused."""
        self.paused = True

    def resumeProducing(self):
        """Record that reading goes on."""
        self.paused = False

    def setTcpNoDelay(self, enabled):
        """Accept the option."""

    def getHandle(self):
        """Return this object in place of a socket."""
        return self

    def setsockopt(self, *option):
        """Accept the option."""


@pytest.fixture
def start_fetch(monkeypatch):
    """Return a function that starts a fetch without a network.

    It returns the list of results, the exchange and its transport.
    """
    exchanges = []

    def open_exchange(address, exchange, listener, *, connect_s):
        exchange.listener = listener
        exchanges.append(exchange)
        return exchange

    monkeypatch.setattr(client, "open_exchange", open_exchange)
    monkeypatch.setattr(
        Deferred, "addTimeout", lambda self, *args, **kwargs: self
    )

    def start(**options):
        results = []
        client.fetch(
            "10.0.0.1:1", b"GET", b"/", timeout_s=1.0, **options
        ).addBoth(results.append)
        transport = StubTransport()
        exchanges[0].makeConnection(transport)
        return results, exchanges[0], transport

    return start


@pytest.mark.parametrize(
    "start, endless",
    [
        (b"", b"x" * PIECE),
        (b"HTTP/1.1 200 OK\r\nX-Long: ", b"y" * PIECE),
        (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 50),
        (HEAD + b"5;", b"e" * PIECE),
        (HEAD + b"0\r\n", b"T: " + b"t" * PIECE + b"\r\n"),
    ],
    ids=["noise", "head", "interim", "extension", "trailer"],
)
def test_an_answer_that_never_begins_or_ends_is_cut_off(
    start_fetch, start, endless
):
    results, exchange, transport = start_fetch()
    exchange.dataReceived(start)
    for _ in range(MAX_BYTES // len(endless)):
        if transport.aborted:
            break
        exchange.dataReceived(endless)
    assert transport.aborted
    assert results[0].check(PortError)


def test_a_body_without_end_fails_instead_of_looking_complete(
    start_fetch, monkeypatch
):
    monkeypatch.setattr(client, "MAX_REPLY_BYTES", 100_000)
    results, exchange, transport = start_fetch()
    exchange.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 140000\r\n\r\n")
    for data in repeat(b"b" * PIECE, 100):
        exchange.dataReceived(data)
    assert results[0].check(PortError)
    assert transport.aborted


def test_an_event_without_end_is_cut_off_at_low_cost():
    splitter = EventSplitter()
    began = process_time()
    with pytest.raises(EventTooLargeError):
        for _ in range(MAX_BYTES // PIECE):
            splitter.feed(b"d" * PIECE)
    spent = process_time() - began
    assert spent < MAX_CPU_S_PER_MB * MAX_BYTES / 1e6


def test_a_large_event_in_small_pieces_costs_little():
    splitter = EventSplitter()
    data = b"id: 7\ndata: " + b"d" * (MAX_EVENT_BYTES - 100) + b"\n\n"
    began = process_time()
    events = [
        event
        for start in range(0, len(data), 64)
        for event in splitter.feed(data[start : start + 64])
    ]
    assert [event.event_id for event in events] == [7]
    assert process_time() - began < MAX_CPU_S_PER_MB * 2


@given(
    st.lists(
        st.sampled_from([b"id: 1", b"data: x", b"\n", b"\r\n", b"\n\n", b":"]),
        max_size=30,
    ),
    st.integers(1, 7),
)
def test_events_do_not_depend_on_how_bytes_arrive(parts, size):
    data = b"".join(parts)
    whole, pieces = EventSplitter(), EventSplitter()
    expected = whole.feed(data)
    found = [
        event
        for start in range(0, len(data), size)
        for event in pieces.feed(data[start : start + size])
    ]
    assert found == expected
    assert pieces.buffer == whole.buffer


def test_a_call_is_not_sent_once_its_permission_has_expired(start_fetch):
    """The process may have been suspended while it connected."""
    results, _, transport = start_fetch(may_send=lambda: False)
    assert transport.written == b"" and transport.aborted
    assert results[0].check(NotSentError)


def test_a_call_with_permission_is_sent(start_fetch):
    results, exchange, transport = start_fetch(may_send=lambda: True)
    assert transport.written.startswith(b"GET / HTTP/1.1")
    assert results == [] and isinstance(exchange, Exchange)


class Collector:
    """Listener that keeps the parts of a body and counts events in them."""

    def __init__(self):
        self.body = b""
        self.ends = []

    def on_open(self):
        """Do nothing."""

    def on_head(self, status, headers):
        """Do nothing."""

    def on_data(self, data):
        """Keep a part."""
        self.body += data
        return data.count(b"\n\n")

    def on_end(self):
        """Record the end."""
        self.ends.append("whole")

    def on_failure(self, reason, *, sent):
        """Record the failure."""
        self.ends.append(reason)


@pytest.fixture
def clock(monkeypatch):
    """Return the clock that exchanges use."""
    clock = Clock()
    monkeypatch.setattr(client, "reactor", clock)
    return clock


@pytest.fixture
def open_exchange(clock):
    """Return a function that opens an exchange without a network."""

    def start():
        exchange = Exchange(b"GET", b"/", [(b"Host", b"x")], b"")
        exchange.listener = Collector()
        exchange.makeConnection(StubTransport())
        return exchange

    return start


def chunked(body, size):
    parts = (body[at : at + size] for at in range(0, len(body), size))
    return HEAD + b"".join(
        b"%x\r\n%s\r\n" % (len(part), part) for part in parts
    )


@pytest.mark.parametrize("size", [1, 9000])
def test_one_turn_of_the_reactor_does_a_bounded_amount_of_work(
    open_exchange, clock, size
):
    """Guards against one engine that delays all other requests."""
    exchange = open_exchange()
    body = b"d\n\n" * 3000
    exchange.dataReceived(chunked(body, size))
    done = exchange.listener.body
    assert exchange.transport.paused
    assert done.count(b"\n\n") * client.PART_WORK < 3 * (
        client.MAX_WORK_PER_TURN
    )
    clock.pump([0.1] * 200)
    assert exchange.listener.body == body
    assert not exchange.transport.paused


def test_a_connection_that_goes_on_needs_no_more_than_its_share(
    open_exchange, clock
):
    exchange = open_exchange()
    exchange.dataReceived(HEAD)
    seconds = 5
    for _ in range(seconds * 100):
        if not exchange.transport.paused:
            exchange.dataReceived(b"1\r\nd\r\n" * 1000)
        clock.advance(0.01)
    assert len(exchange.listener.body) <= (
        client.WORK_PER_S * (seconds + 1) + 2 * client.MAX_WORK_CREDIT
    )


def test_a_receiver_that_does_not_read_keeps_the_exchange_paused(
    open_exchange, clock
):
    exchange = open_exchange()
    exchange.pauseProducing()
    exchange.dataReceived(chunked(b"d" * 1000, 1))
    clock.pump([0.1] * 100)
    assert exchange.transport.paused
    exchange.resumeProducing()
    assert not exchange.transport.paused


@given(
    body=st.binary(max_size=20_000),
    size=st.integers(1, 9000),
    read=st.integers(1, 9000),
    ended=st.booleans(),
)
@settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
def test_an_answer_is_whole_however_it_arrives(
    open_exchange, clock, body, size, read, ended
):
    exchange = open_exchange()
    data = chunked(body, size) + (b"0\r\n\r\n" if ended else b"")
    for at in range(0, len(data), read):
        while exchange.transport.paused:
            clock.advance(0.1)
        exchange.dataReceived(data[at : at + read])
    exchange.connectionLost(Failure(ConnectionDone()))
    clock.pump([0.1] * 500)
    assert exchange.listener.body == body
    assert len(exchange.listener.ends) == 1
    assert (exchange.listener.ends == ["whole"]) is ended


def test_a_body_in_many_small_parts_takes_little_more_than_its_bytes(
    open_exchange, clock
):
    """Guards against 40 bytes of overhead for each byte of a body."""
    results = []
    collector = client._Collector(results, lambda: None, lambda: True)
    tracemalloc.start()
    for _ in range(200_000):
        collector.on_data(b"d")
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert size < 2 * 200_000
