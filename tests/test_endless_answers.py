"""Bytes without end from a faulty server, and sends after a suspension."""

from itertools import repeat
from time import process_time

from hypothesis import given
from hypothesis import strategies as st
import pytest
from twisted.internet.defer import Deferred

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

    def write(self, data):
        """Record written bytes."""
        self.written += data

    def abortConnection(self):
        """Record the abort."""
        self.aborted = True

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
