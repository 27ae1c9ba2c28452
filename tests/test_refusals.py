"""For each code that says "not run", refused work indeed does not run."""

import pytest

from checkers import violations
from magnoliaflow.common.codes import Code
from magnoliaflow.common.codes import Executed
from magnoliaflow.core.inputs import CancelRequested
from magnoliaflow.core.inputs import DrainRequested

# Tested in tests/test_entry_process.py, tests/test_crashing_prompts.py and
# tests/test_joined_versions.py; the gateway's own API has no routes, holds no
# prompts and knows no software versions.
PLATFORM_CODES = {Code.NO_ROUTE, Code.PROMPT_HELD, Code.ORIGIN_UNKNOWN}
# Tested in tests/test_processes.py; the HTTP layer answers with these codes.
HTTP_CODES = {
    Code.BAD_REQUEST,
    Code.UNAUTHENTICATED,
    Code.BODY_TOO_LARGE,
}


def draining(world):
    """Call a draining gateway."""
    world.call("claim-review", answer_tokens=40, at="entry-1")
    world.run(0.2)
    world.nodes["entry-1"].feed(DrainRequested(False, 20.0))
    return world.call("quote-draft", at="entry-1")


def profiles_stale(world):
    """Call a gateway that is partitioned from the log and its peers."""
    world.nodes["entry-1"].log_unreachable = True
    for name in world.live()[1:]:
        world.partition("entry-1", name)
    world.run(20.0)
    return world.call("quote-draft", at="entry-1")


def unknown_profile(world):
    """Call with a profile that is not in force."""
    return world.call("no-such-profile")


def account_over_share(world):
    """Open more requests than an account's share of a busy gateway."""
    for _ in range(30):
        world.call("claim-review", at="entry-1", account="schools")
    return world.calls[-1]


def deadline_unreachable(world):
    """Submit more than the engines can finish before the deadline."""
    for _ in range(600):
        world.call("counter-chat", at="entry-1", answer_tokens=100)
    return world.calls[-1]


def no_backend(world):
    """Call while every engine's host is leaving."""
    for engine in world.engines.values():
        world.notice(engine.cfg.host, 60.0)
    world.run(1.0)
    return world.call("quote-draft")


def log_down(world):
    """Submit non-idempotent work during a log outage."""
    world.log.down = True
    world.run(4.0)
    return world.call("voucher-booking", key="v")


def key_missing(world):
    """Submit non-idempotent work without a key."""
    call = world.call("voucher-booking", key="")
    return call


def key_expired(world):
    """Use a key that is older than the key window."""
    return world.call("voucher-booking", raw_key="1600000000-old")


def key_conflict(world):
    """Use one key for two bodies at the same entry host."""
    world.call("voucher-booking", key="v", prompt="one", at="entry-1")
    world.run(0.02)
    call = world.call("voucher-booking", key="v", prompt="two", at="entry-1")
    return call


def key_conflict_elsewhere(world):
    """Use one key for two bodies at two entry hosts concurrently."""
    world.call("voucher-booking", key="v", prompt="one", at="entry-1")
    return world.call("voucher-booking", key="v", prompt="two", at="entry-2")


def not_started(world):
    """Let the submitter give up on an Accept that does not land in time."""
    world.log.late_probability = 1.0
    world.log.late_s = 500.0
    call = world.call("voucher-booking", key="v")
    world.run(20.5)
    world.log.late_probability = 0.0
    return call


def cancelled_claim(world):
    """Cancel a claim before its dispatch."""
    call = world.call("voucher-booking", key="v")
    key = f"{call.account}/{call.key}"
    world.nodes[call.entry_host].feed(CancelRequested(key))
    return call


def cancelled_answer(world):
    """Cancel an answer before it was sent to any engine."""
    for engine in world.engines.values():
        for node in world.nodes.values():
            node.state.routing.engines[engine.name].limit = 1.0
            node.state.routing.engines[engine.name].local_running = 1
    call = world.call("quote-draft")
    world.run(0.1)
    world.nodes[call.entry_host].feed(CancelRequested(call.request_id))
    return call


SCENARIOS = [
    (draining, Code.DRAINING),
    (profiles_stale, Code.PROFILES_STALE),
    (unknown_profile, Code.UNKNOWN_PROFILE),
    (account_over_share, Code.ACCOUNT_OVER_SHARE),
    (deadline_unreachable, Code.DEADLINE_UNREACHABLE),
    (no_backend, Code.NO_BACKEND),
    (log_down, Code.LOG_DOWN),
    (key_missing, Code.KEY_MISSING),
    (key_expired, Code.KEY_EXPIRED),
    (key_conflict, Code.KEY_CONFLICT),
    (key_conflict_elsewhere, Code.KEY_CONFLICT),
    (not_started, Code.NOT_STARTED),
    (cancelled_claim, Code.CANCELLED_NOT_RUN),
    (cancelled_answer, Code.CANCELLED_NOT_RUN),
]


@pytest.mark.parametrize(
    "scenario, code",
    SCENARIOS,
    ids=[case[0].__name__ for case in SCENARIOS],
)
def test_refused_work_is_not_run(make_world, scenario, code):
    limits = {"open_requests": 20} if code is Code.ACCOUNT_OVER_SHARE else {}
    world = make_world(1, limits=limits)
    call = scenario(world)
    world.run_until(lambda: call.done, limit=60.0)
    assert call.code is code
    assert code.executed is Executed.NO
    world.run(5.0)
    assert world.settle()
    assert call.request_id not in {
        attempt.request_id for _, _, attempt in world.attempts()
    }
    assert violations(world) == []


def test_every_code_for_work_not_run_is_covered():
    codes = {code for _, code in SCENARIOS} | HTTP_CODES
    codes |= PLATFORM_CODES
    assert codes == {code for code in Code if code.executed is Executed.NO}


def test_late_cancel_reports_that_work_may_have_run(make_world):
    """Work cancelled after its start is reported as possibly run."""
    world = make_world(2)
    call = world.call("claim-review", answer_tokens=100)
    world.run(0.5)
    world.nodes[call.entry_host].feed(CancelRequested(call.request_id))
    assert world.settle()
    assert call.code is Code.CANCELLED
    assert call.code.executed is Executed.UNKNOWN


def test_key_can_be_reused_after_a_refusal(make_world):
    """After "not run", the key may start a new submission; it runs once."""
    world = make_world(3)
    call = cancelled_claim(world)
    assert world.settle() and call.code is Code.CANCELLED_NOT_RUN
    call.codes.clear()
    world.submit(call, "entry-2")
    assert world.settle()
    assert call.code is Code.DONE
    assert violations(world) == []
