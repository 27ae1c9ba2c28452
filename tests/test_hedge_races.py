"""Two engines at work on one request: how each of the two may end."""

from collections import defaultdict
from dataclasses import replace
from math import inf
from types import SimpleNamespace
from unittest.mock import MagicMock

import pytest

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.lifecycle import Phase
from magnoliaflow.entry import attempts
from magnoliaflow.entry.attempts import Attempt
from magnoliaflow.entry.attempts import Failure
from magnoliaflow.entry import calls as calls_module
from magnoliaflow.entry.calls import CallHandler
from magnoliaflow.entry import hedges
from magnoliaflow.entry.hedges import Hedge
from magnoliaflow.policy.budget import RetryBudget
from magnoliaflow.policy.eventstream import EventSplitter
from magnoliaflow.policy.hedging import Hedging
from magnoliaflow.policy.hedging import TimeClass
from magnoliaflow.policy.routes import Route
from magnoliaflow.policy.routes import RouteKind

ELAPSED_S = 0.05
TARGET_S = 0.8


class Request:
    """A request at a first engine, with stubs for all that it calls."""

    def __init__(self, monkeypatch, kind, *, model=False, resumable=True):
        self.timers = []
        monkeypatch.setattr(hedges, "reactor", self)
        monkeypatch.setattr(
            hedges,
            "choose",
            lambda *args: SimpleNamespace(engine="e-2", uncached_tokens=1),
        )
        self.route = Route(
            "r", "h", "/", kind, (), 9, TARGET_S, 0, 2, True, resumable
        )
        monkeypatch.setattr(
            hedges,
            "resolve_route",
            lambda *args: SimpleNamespace(route=self.route),
        )
        monkeypatch.setattr(hedges, "first_token_s", lambda *args: 0.01)
        now = self.now = boot_time()
        monkeypatch.setattr(hedges, "boot_time", lambda: now)
        hedging = Hedging(0.2)
        for _ in range(100):
            hedging.record_first_send("s", now)
        for _ in range(40):
            hedging.record_time(
                TimeClass("s", "r", 0), 0.02, now - 2, counted=False
            )
        engine = self.engine("e-2")
        self.first = self.attempt(self.engine("e-1"), sent=True)
        self.second = self.attempt(engine, sent=False)
        self.opened = []
        self.budget = RetryBudget(0.5, 10)
        self.budget.balance = 5.0
        handler = MagicMock(
            attempt=self.first,
            attempts_sent=1,
            deadline_at=now + 5,
            done=False,
            last_event=-1,
            may_have_run=False,
            response_started=False,
            route=self.route,
            service="s",
            tried_engines=set(),
        )
        handler.find_hold.return_value = None
        handler.serves_model.return_value = model
        handler.open_attempt = self.open
        handler.state.hedging = hedging
        handler.state.host_settings.judges_rollouts = False
        handler.state.phase = Phase.SERVING
        handler.state.retry_budgets = {"s": self.budget}
        handler.state.routing.engines = {"e-2": engine}
        self.handler = handler
        self.hedge = handler.hedge = Hedge(handler)
        self.hedge.begin()

    @staticmethod
    def engine(name):
        """Return an engine with free slots."""
        return SimpleNamespace(
            name=name,
            local_running=0,
            peer_running=0,
            cfg=SimpleNamespace(slots=4, version="v1"),
            slowness=1.0,
            record_slowness=lambda slowness: None,
        )

    def attempt(self, engine, *, sent):
        """Return an attempt that began ELAPSED_S ago."""
        attempt = MagicMock(
            ended=False,
            engine=engine,
            expected_s=0.01,
            head=None,
            opened_at=self.now - ELAPSED_S,
            prompt_read=False,
            sent=sent,
            splitter=None,
            started_at=self.now - ELAPSED_S,
            uncached=1,
        )
        attempt.abandon = lambda: setattr(attempt, "ended", True)
        return attempt

    def callLater(self, delay_s, callback, *args):  # noqa: N802
        """Keep a timer, in place of the reactor."""
        timer = MagicMock(delay_s=delay_s, callback=callback, args=args)
        timer.cancel = lambda: self.timers.remove(timer)
        timer.active = lambda: timer in self.timers
        self.timers.append(timer)
        return timer

    def fire(self, name):
        """Fire the timers of a callback; return how many there were."""
        due = [t for t in self.timers if t.callback.__name__ == name]
        for timer in due:
            self.timers.remove(timer)
            timer.callback(*timer.args)
        return len(due)

    def open(self, engine, *args):
        """Open the second attempt."""
        self.opened.append(engine.name)
        return self.second


@pytest.fixture
def begin(monkeypatch):
    """Return a function that begins a request at a first engine."""

    def begin(kind, **options):
        return Request(monkeypatch, kind, **options)

    return begin


KINDS = [RouteKind.IDEMPOTENT, RouteKind.STREAM]


def test_an_engine_of_another_version_is_not_asked(begin):
    """A roll-out moves no request that began on the other version."""
    req = begin(RouteKind.STREAM)
    req.handler.state.routing.engines["e-2"].cfg.version = "v2"
    assert req.fire("_on_overdue") == 1
    assert req.opened == []


@pytest.mark.parametrize("kind", KINDS)
def test_a_request_that_waits_for_an_engine_is_not_sent_by_the_timer(
    begin, kind
):
    """Its first attempt has ended; dispatch alone sends it again."""
    req = begin(kind)
    req.first.ended = True
    assert req.fire("_on_overdue") == 1
    assert not req.opened and not req.handler.may_have_run
    assert not req.hedge.is_used


RACED = [
    (RouteKind.STREAM, False),
    (RouteKind.STREAM, True),
    (RouteKind.IDEMPOTENT, True),
]


@pytest.mark.parametrize(("kind", "model"), RACED)
@pytest.mark.parametrize("second_sent", [True, False])
def test_two_model_engines_are_at_work_for_a_bounded_time(
    begin, kind, model, second_sent
):
    """TWICE speaks of any request at model engines."""
    req = begin(kind, model=model)
    req.fire("_on_overdue")
    assert req.opened == ["e-2"]
    req.second.sent = second_sent
    assert req.fire("_end_race") == 1
    given_up, left = req.first, req.second
    if not second_sent:
        given_up, left = left, given_up
    assert given_up.ended and not left.ended
    assert req.handler.attempt is left and req.hedge.second is None


@pytest.mark.parametrize(("kind", "model"), RACED)
def test_a_race_that_is_decided_leaves_no_timer(begin, kind, model):
    req = begin(kind, model=model)
    req.fire("_on_overdue")
    req.second.sent = True
    assert req.hedge.wins(req.second)
    assert req.first.ended and not req.fire("_end_race")


@pytest.fixture
def scheduled(monkeypatch):
    """Return the calls that an attempt schedules."""
    calls = []
    reactor = SimpleNamespace(callLater=lambda *args: calls.append(args))
    for module in (attempts, calls_module):
        monkeypatch.setattr(module, "reactor", reactor)
    return calls


@pytest.mark.parametrize("is_second", [True, False])
def test_a_second_that_may_not_be_sent_leaves_the_first_alone(
    begin, scheduled, monkeypatch, is_second
):
    """A host whose configuration turns stale refuses no running request."""
    req = begin(RouteKind.STREAM)
    req.fire("_on_overdue")
    handler = req.handler
    handler.origin = None
    handler.route_table = handler.state.route_table
    handler.state.origins.sides.return_value = ()
    handler.state.origins.sent_to.return_value = None
    handler.state.is_config_fresh.return_value = False
    handler.may_send = lambda: CallHandler.may_send(handler)
    monkeypatch.setattr(attempts, "first_token_s", lambda *args: 0.01)
    engine = MagicMock(leaving_at=inf)
    handler.state.routing.engines = {engine.name: engine}
    load = SimpleNamespace(running=1)
    handler.state.local_loads = {engine.cfg.backend: load}
    opened = Attempt(handler, engine, 1)
    if is_second:
        req.hedge.second = opened
    else:
        req.hedge.second, handler.attempt = None, opened
    opened.on_open()
    assert opened.ended and not opened.sent and load.running == 0
    assert handler.attempt_failed.called == is_second
    assert [call[:2] for call in scheduled] == (
        [] if is_second else [(0, handler.refuse)]
    )


@pytest.mark.parametrize(
    ("kind", "resumable", "hedged"),
    [
        (RouteKind.IDEMPOTENT, False, True),
        (RouteKind.IDEMPOTENT, True, True),
        (RouteKind.STREAM, True, True),
        (RouteKind.STREAM, False, False),
        (RouteKind.NON_IDEMPOTENT, False, False),
        (RouteKind.NON_IDEMPOTENT, True, False),
    ],
)
def test_only_what_may_run_twice_is_sent_to_a_second_engine(
    begin, kind, resumable, hedged
):
    """A setting of streams makes no other request repeatable."""
    req = begin(kind, resumable=resumable)
    assert req.fire("_on_overdue") == hedged
    assert req.opened == ["e-2"] * hedged


@pytest.mark.parametrize("ended", ["first", "second", "race"])
def test_an_engine_that_is_left_alone_is_given_up_at_the_target(begin, ended):
    """It may have failed silently, as without a second send."""
    req = begin(RouteKind.IDEMPOTENT, model=ended == "race")
    req.handler.route = replace(req.route, max_engines=3)
    req.route = req.handler.route
    req.fire("_on_overdue")
    req.second.sent = True
    left = req.second
    # The first one's time is over while both are at work: nothing is sent.
    req.fire("_on_silent")
    assert not req.handler.dispatch.called
    if ended == "race":
        req.fire("_end_race")
    else:
        left = {"first": req.second, "second": req.first}[ended]
        assert req.hedge.goes_on(getattr(req, ended), Failure.UNSENT)
    (delay_s,) = [t.delay_s for t in req.timers]
    assert delay_s == pytest.approx(TARGET_S - ELAPSED_S)
    assert req.fire("_on_silent") == 1
    assert left.ended and req.handler.dispatch.called


def test_a_stream_that_is_left_alone_is_not_given_up(begin):
    req = begin(RouteKind.STREAM)
    req.fire("_on_overdue")
    assert req.hedge.goes_on(req.first, Failure.UNSENT)
    assert not req.timers


def test_a_request_may_have_run_from_the_send_of_its_second_attempt(begin):
    """A connection that does not open states nothing about the request."""
    req = begin(RouteKind.STREAM)
    req.fire("_on_overdue")
    assert not req.handler.may_have_run
    CallHandler.earn_retry(req.handler)
    assert not req.handler.may_have_run
    req.second.sent = True
    CallHandler.earn_retry(req.handler)
    assert req.handler.may_have_run


@pytest.mark.parametrize(
    ("failure", "may_have_run"),
    [
        (Failure.UNSENT, False),
        (Failure.NOT_RUN, False),
        (Failure.MAY_HAVE_RUN, True),
    ],
)
@pytest.mark.parametrize("ended", ["first", "second"])
def test_a_failure_of_one_of_two_decides_whether_the_request_may_have_run(
    begin, ended, failure, may_have_run
):
    """Both may fail: the answer then says "not run" only if it is true."""
    req = begin(RouteKind.STREAM)
    req.fire("_on_overdue")
    assert req.hedge.goes_on(getattr(req, ended), failure)
    assert req.handler.may_have_run == may_have_run


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("status", [400, 404, 429])
def test_a_refusal_of_the_second_leaves_the_first_at_work(begin, kind, status):
    """One engine may refuse what the other answers."""
    req = begin(kind)
    req.fire("_on_overdue")
    head = SimpleNamespace(status=status, headers=())
    req.second.sent, req.second.head = True, head
    CallHandler.forward_answer(req.handler, req.second, head, b"")
    assert not req.handler.inbound.respond.called
    assert req.handler.attempt is req.first and not req.first.ended
    # Once the other one has ended, its answer is the request's.
    CallHandler.forward_answer(req.handler, req.first, head, b"")
    assert req.handler.inbound.respond.call_count == 1


@pytest.mark.parametrize("status", [200, 304])
def test_an_answer_of_the_second_ends_the_first(begin, status):
    req = begin(RouteKind.IDEMPOTENT)
    req.fire("_on_overdue")
    head = SimpleNamespace(status=status, headers=())
    req.second.sent, req.second.head = True, head
    CallHandler.forward_answer(req.handler, req.second, head, b"")
    assert req.handler.inbound.respond.call_count == 1
    assert req.handler.attempt is req.second and req.first.ended


def test_a_refusal_of_the_second_is_answered_if_the_first_has_failed(begin):
    req = begin(RouteKind.IDEMPOTENT)
    req.fire("_on_overdue")
    head = SimpleNamespace(status=404, headers=())
    req.second.sent, req.second.head = True, head
    assert req.hedge.goes_on(req.first, Failure.MAY_HAVE_RUN)
    CallHandler.forward_answer(req.handler, req.second, head, b"")
    assert req.handler.inbound.respond.call_count == 1


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    "end",
    [
        CallHandler.on_caller_gone,
        CallHandler.on_deadline,
        CallHandler.on_drain_end,
    ],
)
def test_the_end_of_a_request_ends_both_engines(begin, monkeypatch, kind, end):
    """GONE: no timer and no engine is left at work."""
    req = begin(kind)
    req.fire("_on_overdue")
    req.second.sent = True
    handler = req.handler
    handler.charged_amount = 0.0
    handler.refuse = lambda *args: CallHandler.refuse(handler, *args)
    handler._finish = lambda code: CallHandler._finish(handler, code)
    monkeypatch.setattr(calls_module, "record_end", lambda *args: None)
    end(handler)
    assert handler.done and req.first.ended and req.second.ended
    assert not req.timers and req.hedge.second is None


@pytest.mark.parametrize(
    ("cause", "exhaust"),
    [
        ("not allowed", lambda r: setattr(r.handler, "attempts_sent", 2)),
        ("retry budget", lambda r: setattr(r.budget, "balance", 0.9)),
        (
            "limit",
            lambda r: [
                None
                for _ in iter(lambda: r.handler.state.hedging.spend("s"), 0)
            ],
        ),
    ],
)
def test_no_second_send_beyond_a_bound(begin, cause, exhaust):
    """Neither the retry budget nor the limit is spent in vain."""
    req = begin(RouteKind.STREAM)
    exhaust(req)
    extra = req.handler.state.hedging.service("s")
    before = (req.budget.balance, extra.balance)
    req.fire("_on_overdue")
    assert not req.opened and not req.hedge.is_used
    assert (req.budget.balance, extra.balance) == before
    req.handler.state.metrics.hedges_refused.labels.assert_called_with(cause)


@pytest.mark.parametrize("winner", ["first", "second"])
def test_the_usage_of_a_request_at_two_engines_is_counted_once(
    begin, monkeypatch, winner
):
    monkeypatch.setattr(attempts, "first_token_s", lambda *args: 0.01)
    req = begin(RouteKind.STREAM)
    handler = req.handler
    handler.state.local_loads = defaultdict(lambda: SimpleNamespace(running=1))
    handler.usage_counted = False
    handler.forward_events = lambda *args: CallHandler.forward_events(
        handler, *args
    )
    both = {}
    for name in ("first", "second"):
        both[name] = one = Attempt(handler, MagicMock(slowness=1.0), 1)
        one.sent, one.opened_at = True, boot_time()
        one.head, one.splitter = SimpleNamespace(status=200), EventSplitter()
    handler.attempt = req.hedge.first = both["first"]
    req.hedge.second = both["second"]
    event = b"id: 0\ndata: x\n\n"
    loser = both["second" if winner == "first" else "first"]
    assert both[winner].on_data(event) == 1
    assert loser.ended and loser.on_data(event) == 0
    assert handler.state.usage.add.call_count == 1


MAY, NOT_RUN, UNSENT = Failure.MAY_HAVE_RUN, Failure.NOT_RUN, Failure.UNSENT


@pytest.mark.parametrize("second_first", [False, True])
@pytest.mark.parametrize(
    ("first", "second", "next_step", "may_have_run"),
    [
        (MAY, MAY, "fail_unserved", True),
        (MAY, NOT_RUN, "fail_unserved", True),
        (MAY, UNSENT, "dispatch", True),
        (NOT_RUN, MAY, "fail_unserved", True),
        (NOT_RUN, NOT_RUN, "fail_unserved", True),
        (NOT_RUN, UNSENT, "dispatch", False),
    ],
)
def test_a_request_ends_once_if_both_engines_fail(
    begin, first, second, next_step, may_have_run, second_first
):
    """The first failure leaves it to the other engine, the next decides."""
    req = begin(RouteKind.STREAM)
    req.fire("_on_overdue")
    handler = req.handler
    if second is not UNSENT:
        req.second.sent, handler.attempts_sent = True, 2
        CallHandler.earn_retry(handler)
    handler.unsent = 0
    steps = [(req.first, first), (req.second, second)]
    for attempt, failure in steps[::-1] if second_first else steps:
        assert not handler.dispatch.called
        assert not handler.fail_unserved.called
        attempt.abandon()
        CallHandler.attempt_failed(handler, attempt, failure, "reason")
    called = [
        name
        for name in ("dispatch", "fail_unserved", "refuse")
        if getattr(handler, name).called
    ]
    assert called == [next_step]
    assert handler.may_have_run == may_have_run and not req.fire("_end_race")
