"""Sends that are no longer allowed once their connection is open."""

from logging import getLogger
from random import Random
from types import SimpleNamespace

import pytest

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.settings import BackendServer
from magnoliaflow.entry.attempts import Attempt
from magnoliaflow.entry.attempts import Failure
from magnoliaflow.entry.attempts import MAX_OPEN_DELAY_S
from magnoliaflow.entry.state import EntryState
from magnoliaflow.platform.nodefile import decode_host_settings
from magnoliaflow.policy.engines import new_engine
from magnoliaflow.policy.routes import Route
from magnoliaflow.policy.routes import RouteKind
from magnoliaflow.policy.routes import RouteTable
from magnoliaflow.policy.routes import TrafficShare

BOOT_FILE = """nodeName=e-1
zone=a
listenAddresses.frontend=10.0.0.1:1
listenAddresses.controlPlane=10.0.0.1:2
platform.address=10.0.0.9:3
"""
SERVER = BackendServer(
    name="m1",
    kind="service",
    host="m1",
    zone="a",
    address="10.0.0.5:80",
    backend="desk",
    checks_fencing=False,
    reclaimable=False,
    slots=4,
    prefill_rate=1.0,
)


class StubHandler:
    """Records how an attempt ends."""

    def __init__(self, state):
        self.state = state
        self.origin = None
        self.route_table = state.route_table
        self.service = "desk"
        self.attempts_sent = 0
        self.usage_counted = False
        self.account = SimpleNamespace(name="a1")
        self.route = SimpleNamespace(kind=RouteKind.STREAM, resumable=False)
        self.failures = []

    def may_send(self):
        """Allow the send."""
        return True

    def earn_retry(self):
        """Do nothing."""

    def attempt_failed(self, attempt, failure, reason):
        """Record the failure."""
        self.failures.append(failure)


@pytest.fixture
def attempt():
    """Return an attempt at a registered engine."""
    state = EntryState(
        decode_host_settings(BOOT_FILE),
        identity="e-1-a",
        rng=Random(1),
        logger=getLogger("attempts"),
    )
    engine = new_engine(SERVER)
    state.routing.add(engine)
    return Attempt(StubHandler(state), engine, 10)


@pytest.mark.parametrize("service", [None, "desk", "other"])
def test_a_request_whose_route_moved_while_it_connected_is_not_sent(
    attempt, service
):
    handler = attempt.handler
    handler.call = SimpleNamespace(
        host="h", path="/a/x", request_id="r1", resumes=""
    )
    shares = (TrafficShare(service, 1.0),)
    route = Route(
        *("r", "h", "/a/", RouteKind.IDEMPOTENT, shares, 1, 1, 0, 1),
        anonymous=True,
        resumable=False,
    )
    handler.state.route_table = RouteTable(2, (route,) if service else ())
    attempt.on_open()
    assert attempt.sent == (service == "desk")
    assert handler.failures == ([] if service == "desk" else [Failure.UNSENT])


def test_a_request_is_sent_once_its_connection_is_open(attempt):
    attempt.on_open()
    assert attempt.sent and attempt.handler.attempts_sent == 1


def test_a_request_is_not_sent_to_an_engine_that_left_meanwhile(attempt):
    attempt.engine.leaving_at = boot_time()
    attempt.on_open()
    assert not attempt.sent
    assert attempt.handler.failures == [Failure.UNSENT]


def test_a_request_is_not_sent_to_a_former_run_of_an_engine(attempt):
    routing = attempt.handler.state.routing
    routing.remove("m1")
    routing.add(new_engine(SERVER))
    attempt.on_open()
    assert attempt.handler.failures == [Failure.UNSENT]


def test_a_request_is_not_sent_after_a_suspension(attempt, monkeypatch):
    """Its deadline header states the time that was left before."""
    resumed = boot_time() + MAX_OPEN_DELAY_S + 0.1
    monkeypatch.setattr(
        "magnoliaflow.entry.attempts.boot_time", lambda: resumed
    )
    attempt.on_open()
    assert not attempt.sent
    assert attempt.handler.failures == [Failure.UNSENT]


def test_answers_of_all_requests_are_bounded_together(attempt):
    """A host has less memory than one large answer for each request."""
    state = attempt.handler.state
    attempt.on_open()
    sound = Attempt(StubHandler(state), attempt.engine, 10)
    sound.on_open()
    sound._buffer(b"x" * 800)
    attempt._buffer(b"x" * 1000)
    state.buffers.limit_bytes = 1801
    sound._buffer(b"x" * 2)
    assert attempt.handler.failures == [Failure.MAY_HAVE_RUN]
    assert sound.handler.failures == [] and state.buffers.total == 802


@pytest.mark.parametrize("kind", [RouteKind.STREAM, RouteKind.IDEMPOTENT])
def test_a_request_counts_once_also_if_its_answers_are_lost(
    attempt, kind, monkeypatch
):
    """Engines began it, whatever became of their answers."""
    monkeypatch.setattr(
        "magnoliaflow.entry.attempts.record_broken_answer", lambda _: None
    )
    handler = attempt.handler
    handler.route.kind = kind
    for again in (attempt, Attempt(handler, attempt.engine, 10)):
        again.exchange = SimpleNamespace(cancel=lambda: None)
        again.on_open()
        again.on_failure("connection reset", sent=True)
    rows = handler.state.usage.counts_for("e-1-a")
    assert [(account, count) for _, account, count in rows] == [("a1", 1)]


def test_a_request_that_was_not_sent_does_not_count(attempt):
    attempt.on_failure("connection failed", sent=False)
    assert not attempt.handler.state.usage.counts
