"""Decisions on callers' memory, and the reader of requests under noise."""

from unittest.mock import Mock
from unittest.mock import patch

import h11
from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.entry import callerlog
from magnoliaflow.policy.callermemory import CallerMemory
from magnoliaflow.transport import client
from magnoliaflow.transport.client import Exchange
from magnoliaflow.transport import connection
from magnoliaflow.transport.connections import OpenConnections
from magnoliaflow.transport import inbound
from magnoliaflow.transport.limits import ServerLimits
from magnoliaflow.transport import memory
from magnoliaflow.transport.memory import BufferBudget
from magnoliaflow.transport.memory import Eviction
from magnoliaflow.transport import pausable
from magnoliaflow.transport.server import ServerFactory

LIMIT = 1000


@pytest.fixture
def account():
    """Return an account with a limit of 1000 bytes."""
    return CallerMemory(LIMIT)


def test_a_slow_body_outlives_one_that_has_stopped(account):
    account.put("stopped", 500, now=0.0)
    for step in range(1, 100):
        account.put("slow", 5 * step, now=step / 10)
    assert account.choose(1, 9.9) == ["stopped"]
    assert account.choose(1, 9.9, idle_s=1.0) == ["stopped"]


def test_an_address_over_its_share_loses_its_own_work_first(account):
    for number in range(6):
        account.put(number, 100, now=number, keys=("address a",))
    account.put("stopped", 90, now=0.0, keys=("address b",))
    chosen = account.choose(600, 10.0)
    assert set(chosen) == set(range(6))


def test_requests_that_run_are_not_dropped_and_those_that_wait_last(account):
    account.put("running", 800, now=0.0, fixed=True)
    account.put("waiting", 100, now=0.0, waiting=True)
    account.put("reading", 90, now=9.0)
    assert account.choose(2000, 9.0) == ["reading", "waiting"]
    assert account.choose(2000, 9.0, idle_s=1.0) == []


def test_answers_of_work_that_is_done_outlive_bodies_of_a_crowd(account):
    account.limit_bytes = 4_000_000
    for number in range(50):
        account.put(f"answer {number}", 3000, now=0.0, ran=True)
    for number in range(20):
        account.put(number, 900_000, now=9.0)
    account.put("endless answer", 900_000, now=0.0, ran=True)
    chosen = account.choose(account.total - account.limit_bytes, 9.5)
    assert chosen[0] == "endless answer" and len(chosen) == 17
    assert set(chosen[1:]) < set(range(20))
    stalled = account.choose(account.total, 11.0, idle_s=1.0)
    assert len(stalled) == 21


@given(
    st.lists(
        st.tuples(
            st.integers(0, 5), st.integers(0, 900), st.sampled_from("ab")
        ),
        max_size=40,
    )
)
def test_the_account_is_the_sum_of_its_holders(steps):
    account = CallerMemory(LIMIT)
    for now, (holder, size, key) in enumerate(steps):
        if size:
            account.put(holder, size, now=now, keys=(key,))
        else:
            account.drop(holder)
        sizes = [share.size for share in account.shares.values()]
        assert account.total == sum(sizes) == sum(account.by_key.values())
        excess = account.total - LIMIT
        chosen = account.choose(excess, now)
        freed = sum(account.shares[row].size for row in chosen)
        assert freed >= excess and bool(chosen) == (excess > 0)


def test_a_new_connection_closes_the_least_recent_of_the_right_kind():
    crowded = []
    opened = OpenConnections(3, crowded.append)
    conns = [Mock() for _ in range(6)]
    for conn in conns[:3]:
        opened.add(conn)
    opened.set_reading(conns[1])
    opened.set_reading(conns[2])
    opened.set_reading(conns[1])
    for number, victim in ((3, 0), (4, 3)):
        opened.add(conns[number])
        conns[victim].make_room.assert_called_once()
        opened.discard(conns[victim])
    opened.set_running(conns[4])
    opened.add(conns[5])
    conns[2].make_room.assert_called_once()
    opened.discard(conns[2])
    opened.set_running(conns[1])
    opened.set_running(conns[5])
    opened.add(conns[0])
    conns[0].transport.abortConnection.assert_called_once()
    assert len(crowded) == 4


class Transport(StringTransport):
    """A transport that accepts what a socket does."""

    def setTcpNoDelay(self, enabled):
        """Do nothing."""

    def loseWriteConnection(self):
        """Do nothing: the connection is aborted later."""


@pytest.fixture(scope="module")
def open_connection():
    """Return a function that opens a connection without a network."""
    patches = pytest.MonkeyPatch()

    def start():
        clock = Clock()
        for module in (connection, inbound, memory, pausable):
            patches.setattr(module, "reactor", clock)
        seen = []

        def answer(request):
            seen.append((request.target, request.body))
            clock.callLater(0, request.respond, 200, [], b"done")

        factory = ServerFactory(answer, ServerLimits())
        conn = factory.buildProtocol(None)
        conn.makeConnection(Transport())
        return conn, clock, seen

    yield start
    patches.undo()


def feed(conn, clock, data, size):
    """Give bytes to a connection in pieces, as far as it reads."""
    for at in range(0, len(data), size):
        for _ in range(1000):
            if conn.transport.producerState == "producing":
                break
            clock.advance(0.001)
        if conn.transport.producerState != "producing":
            return
        conn.dataReceived(data[at : at + size])
    clock.pump([0.001] * 200)


def encode(target, body, chunk):
    head = b"POST /%d HTTP/1.1\r\nHost: a\r\n" % target
    if not chunk:
        return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    parts = [body[at : at + chunk] for at in range(0, len(body), chunk)]
    return b"".join(
        [
            head + b"Transfer-Encoding: chunked\r\n\r\n",
            *(b"%x\r\n%s\r\n" % (len(part), part) for part in parts),
            b"0\r\n\r\n",
        ]
    )


@given(
    st.lists(
        st.tuples(st.binary(max_size=400), st.integers(0, 5)), max_size=6
    ),
    st.integers(1, 300),
)
@example([(b"", 0), (b"", 0), (b"a", 0)], 300)
@example([(b"a" * 400, 1), (b"b", 0)], 300)
@example([(b"", 0), (b"b" * 40, 1)], 39)
def test_requests_are_read_whole_however_they_arrive(
    open_connection, rows, size
):
    """A pipelined request is not taken for the end of the input."""
    conn, clock, seen = open_connection()
    data = b"".join(
        encode(number, body, chunk)
        for number, (body, chunk) in enumerate(rows)
    )
    feed(conn, clock, data, size)
    assert seen == [
        (b"/%d" % number, body) for number, (body, _) in enumerate(rows)
    ]
    assert conn.transport.value().count(b" 200 OK") == len(rows)
    assert conn.factory.buffers.total == 0


@given(
    st.lists(
        st.sampled_from(
            [
                b"POST /0 HTTP/1.1\r\nHost: a\r\n",
                b"Transfer-Encoding: chunked\r\n",
                b"Content-Length: 9\r\n",
                b"Content-Length: 99999999999\r\n",
                b"Expect: 100-continue\r\n",
                b"\r\n",
                b"1\r\nx\r\n",
                b"0\r\n",
                b"x" * 20_000,
                b"\x00",
            ]
        ),
        max_size=30,
    ),
    st.integers(1, 30_000),
)
@example([b"POST /0 HTTP/1.1\r\nHost: a\r\n", b"x" * 20_000], 30_000)
def test_noise_leaves_nothing_behind(open_connection, parts, size):
    conn, clock, _ = open_connection()
    feed(conn, clock, b"".join(parts), size)
    conn.connectionLost(None)
    clock.pump([1.0] * 40)
    assert conn.factory.buffers.total == 0
    assert len(conn.factory.open) == 0 and not conn.factory.connections


def test_a_running_body_is_held_once(open_connection):
    """Its engine gets it in parts, so that no copy of it waits."""
    conn, _, _ = open_connection()
    conn.factory.handler = lambda request: None
    body = b"b" * 3_000_000
    conn.dataReceived(encode(0, body, 0))
    assert len(body) < conn.factory.buffers.total < 1.1 * len(body)

    exchange = Exchange(b"POST", b"/", [(b"Host", b"a")], body)
    exchange.request = h11.Request(
        method="POST",
        target="/",
        headers=[("Host", "a"), ("Content-Length", str(len(body)))],
    )
    exchange.listener = Mock()
    exchange.transport = transport = Transport()
    with patch.object(client, "set_socket_limits"):
        exchange.connectionMade()
    sent = 0
    while transport.producer is not None or transport.value():
        assert len(transport.value()) < 150_000
        sent += transport.value().count(b"b")
        transport.clear()
        if transport.producer is not None:
            transport.producer.resumeProducing()
    assert sent == len(body) and exchange.conn.our_state is h11.DONE


def fill(conn, share):
    """Hold a share of the limit for requests that run."""
    budget = conn.factory.buffers
    budget.hold(Mock(), int(budget.limit_bytes * share), fixed=True)


def test_ordinary_bodies_do_not_wait_for_large_ones(open_connection):
    conn, clock, seen = open_connection()
    fill(conn, 0.9)
    feed(conn, clock, encode(0, b"b" * 60_000, 0), 30_000)
    assert [len(body) for _, body in seen] == [60_000]
    conn.dataReceived(encode(1, b"b" * 70_000, 0))
    clock.advance(5.1)
    answer = conn.transport.value()
    assert b" 503 " in answer and b"Retry-After: 1\r\n" in answer
    assert len(seen) == 1


def test_one_account_does_not_take_the_room_of_those_that_wait(
    open_connection,
):
    conn, clock, seen = open_connection()
    budget = conn.factory.buffers
    budget.hold(
        Mock(),
        budget.limit_bytes // 2,
        keys=("account a", *conn.keys),
        fixed=True,
    )
    data = encode(0, b"b" * 70_000, 0)
    feed(conn, clock, data, 30_000)
    assert len(seen) == 1
    conn.dataReceived(data[:-1])
    other = Mock()
    budget.wait(other, budget.limit_bytes, conn.keys, Mock())
    conn.dataReceived(data[-1:])
    clock.pump([0.001] * 20)
    assert len(seen) == 2
    conn.dataReceived(data[:-1])
    budget.wait(other, budget.limit_bytes, ("account b",), Mock())
    conn.dataReceived(data[-1:])
    assert b" 503 " in conn.transport.value() and len(seen) == 2
    small, clock, seen = open_connection()
    small.factory.buffers = budget
    feed(small, clock, encode(0, b"b" * 500, 0), 600)
    assert len(seen) == 1


def test_no_more_bodies_go_on_than_fit_and_stalled_ones_give_way(
    open_connection, monkeypatch
):
    """Freed room must not be filled by all that wait at once."""
    now = [0.0]
    monkeypatch.setattr(memory, "boot_time", lambda: now[0])
    conn, clock, _ = open_connection()
    budget = BufferBudget(LIMIT * 1000)
    full = Mock()
    budget.hold(full, 900_000, fixed=True)
    resumed = []
    bodies = [Mock(name=str(number)) for number in range(6)]
    for body in bodies:
        assert budget.must_wait(200_000)
        budget.wait(body, 200_000, (), lambda body=body: resumed.append(body))
    budget.release(full)
    clock.advance(0)
    assert resumed == bodies[:3]
    assert budget.must_wait(200_000) and not budget.must_wait(60_000)
    budget.hold(bodies[0], 150_000)
    budget.release(bodies[0])
    budget.stop_waiting(bodies[0])
    clock.advance(0)
    assert resumed == bodies[:4]
    now[0] = 1.1
    clock.advance(0.6)
    assert resumed == bodies
    for body in bodies:
        budget.stop_waiting(body)
    assert budget.memory.promised == 0 and not budget.waiting


def test_a_crowd_that_is_rejected_writes_a_bounded_log(monkeypatch):
    now = [5.0]
    monkeypatch.setattr(callerlog, "boot_time", lambda: now[0])
    state = Mock()
    log = callerlog.CallerLog(state)
    for _ in range(100):
        log.record_eviction(Eviction("ServerConnection", 9, (), 0.0, 9))
        log.record_rejection(503)
    assert state.log.call_count == callerlog.MAX_LINES_PER_S
    assert state.metrics.refusals.labels().inc.call_count == 100
    now[0] = 6.0
    log.record_rejection(413)
    state.log.assert_called_with(
        LogEvent.CALL_REJECTED,
        omitted=200 - callerlog.MAX_LINES_PER_S,
        status=413,
    )


def test_no_request_is_handed_on_after_the_connection_is_closed(
    open_connection,
):
    """Its answer would be lost, and the work done with it."""
    conn, clock, _ = open_connection()
    seen = []

    def answer(request):
        seen.append(request.target)
        request.respond(200, [], b"")

    conn.factory.handler = answer
    conn.dataReceived(encode(0, b"", 0) + encode(1, b"", 0))
    conn.close_if_idle()
    clock.advance(1)
    assert seen == [b"/0"]


def test_trailers_are_counted(open_connection):
    conn, _, _ = open_connection()
    body = encode(0, b"b" * 10, 10).removesuffix(b"\r\n")
    conn.dataReceived(body + b"X-A: %s" % (b"a" * 9000))
    assert conn.factory.buffers.total > 9000
