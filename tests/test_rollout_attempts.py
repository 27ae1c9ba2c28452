"""Attempts at engines of two versions: what is sent, and what is counted."""

from dataclasses import replace
from logging import getLogger
from random import Random
from types import SimpleNamespace
from unittest.mock import Mock

import pytest
from test_entry_attempts import BOOT_FILE
from test_entry_attempts import SERVER
from test_entry_attempts import StubHandler

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.codes import Code
from magnoliaflow.entry import attempts
from magnoliaflow.entry.attempts import Attempt
from magnoliaflow.entry.attempts import Failure
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.versions import find_sides
from magnoliaflow.platform.nodefile import decode_host_settings
from magnoliaflow.policy.engines import new_engine
from magnoliaflow.policy.rollouts import RolloutDecision
from magnoliaflow.policy.rollouts import RolloutOrder
from magnoliaflow.policy.rollouts import RolloutStage
from magnoliaflow.policy.routes import RouteKind
from magnoliaflow.policy.routing import choose
from magnoliaflow.policy.routing import find_policy
from magnoliaflow.policy.routing import RoutingRequest

SHARES = (("look", 1.0),)


@pytest.fixture
def state():
    """Return a host with an order, 40 old engines and one new one."""
    state = EntryState(
        decode_host_settings(BOOT_FILE + "contracts=rollout\n"),
        identity="e-1-a",
        rng=Random(1),
        logger=getLogger("attempts"),
    )
    names = [(f"old{number}", "v1") for number in range(40)]
    for name, version in [*names, ("new", "v2")]:
        state.routing.add(
            new_engine(replace(SERVER, name=name, version=version))
        )
    order = RolloutOrder("desk", "v2", 12.0, 5)
    state.rollouts.learn_order(order, boot_time(), is_new=True)
    decide(state, RolloutStage.RAMP, 1)
    return state


def decide(state, stage, number):
    now = boot_time()
    state.rollouts.observe(
        RolloutDecision("desk", "v2", 5, number, stage, SHARES, 1.0, ""),
        *(1, now, now),
    )


def make_attempt(state):
    """Return an attempt at the new version's engine."""
    handler = StubHandler(state)
    handler.service = "desk"
    handler.route = SimpleNamespace(name="look", kind=RouteKind.IDEMPOTENT)
    handler.call = SimpleNamespace(request_id="r1")
    handler.code = Code.ACCEPTED
    handler.attempt = Attempt(handler, state.routing.engines["new"], 10)
    return handler.attempt


@pytest.mark.parametrize("policy", ["first_token", "least_busy"])
def test_the_chosen_engine_is_of_the_side(state, policy):
    """Guards against one new engine that a sample of many leaves out."""
    handler = make_attempt(state).handler
    request = RoutingRequest(
        *("r1", "desk", (1, 2), 10, 1, 1.0, 0.0), sides=find_sides(handler)
    )
    function, now = find_policy(policy), boot_time()
    for _ in range(20):
        assert choose(state.routing, request, function, now).engine == "new"
    state.routing.engines["new"].leaving_at = now
    assert "old" in choose(state.routing, request, function, now).engine
    decide(state, RolloutStage.ROLLED_BACK, 2)
    state.routing.engines["new"].leaving_at = float("inf")
    request = replace(request, sides=find_sides(handler))
    for _ in range(20):
        assert "old" in choose(state.routing, request, function, now).engine


def test_nothing_is_sent_to_a_version_that_went_back_meanwhile(state):
    """Guards against sends whose connection opened after the decision."""
    attempt = make_attempt(state)
    decide(state, RolloutStage.ROLLED_BACK, 2)
    attempt.on_open()
    assert not attempt.sent
    assert attempt.handler.failures == [Failure.UNSENT]
    assert state.rollouts.tallies("desk") == {}


def test_answers_are_counted_once_and_open_ones_beyond_an_order(state):
    book = state.rollouts

    def counts():
        tally = book.tallies("desk")["look", True]
        latencies = sum(tally.latencies)
        return [
            tally.sent,
            tally.finished,
            tally.failed,
            tally.running,
            latencies,
        ]

    made = [make_attempt(state) for _ in range(4)]
    for attempt in made:
        attempt.on_open()
    assert counts() == [4, 0, 0, 4, 0]
    made[0]._fail(Failure.MAY_HAVE_RUN, "reset", engine_fault=True)
    assert counts() == [4, 1, 1, 3, 0]
    made[1]._fail(Failure.NOT_RUN, "shed")
    assert counts() == [4, 2, 1, 2, 0]
    made[2].handler.code = Code.CANCELLED
    made[2].abandon()
    assert counts() == [4, 3, 1, 1, 0]
    order = RolloutOrder("desk", "v3", 12.0, 6)
    book.learn_order(order, boot_time(), is_new=True)
    assert book.tallies("desk")["look", False].running == 1
    made[3].abandon()
    tally = book.tallies("desk").get(("look", False))
    assert tally is None or (tally.running, tally.finished) == (0, 0)


def test_a_connecting_attempt_runs(state, monkeypatch):
    """Guards against a completion while a request goes to an old engine."""
    for name in ("open_exchange", "encode_forward", "Exchange"):
        monkeypatch.setattr(attempts, name, Mock())
    attempt = make_attempt(state)
    call = SimpleNamespace(method="POST", target="/", body=b"", request_id="r")
    attempt.handler.call = call
    attempt.open(call, None)
    tally = state.rollouts.tallies("desk")["look", True]
    assert (tally.running, tally.sent) == (1, 0)
    attempt._fail(Failure.UNSENT, "refused")
    assert state.rollouts.tallies("desk") == {}
