"""Each mechanism switched off: its checker must see the violation."""

import pytest

from checkers import LEAVING_BOUND_S
from checkers import violations
from magnoliaflow.common.codes import Code
from magnoliaflow.core.inputs import DrainRequested
from magnoliaflow.core.inputs import HostLeaving
from magnoliaflow.core.systems import SYSTEMS
from magnoliaflow.core.systems import TIMER_HANDLERS
from magnoliaflow.serving import answers
from magnoliaflow.serving import claimdispatch
from magnoliaflow.serving import claimtakeover
from magnoliaflow.serving import draining
from magnoliaflow.serving.membership import NOTICE_HOOKS
from magnoliaflow.serving import replication
from magnoliaflow.work.requests import Role
import world as world_module


def send_again(monkeypatch):
    """Repeat dispatched work whose owner is dead."""
    monkeypatch.setattr(claimtakeover, "ask_status", claimdispatch.send_claim)


def no_standby(monkeypatch):
    """Accept idempotent work without a copy."""
    monkeypatch.setattr(replication, "select_standby", lambda *a, **k: "")


def release_early(monkeypatch):
    """Release tokens that the standby does not hold."""
    add_tokens = replication.add_tokens

    def add_and_release(state, req, tokens):
        add_tokens(state, req, tokens)
        req.released = len(req.tokens)

    monkeypatch.setattr(answers, "add_tokens", add_and_release)


def no_branches(monkeypatch):
    """Read an answer on wherever the caller is, whatever it has read."""
    release_early(monkeypatch)

    def offset(req, last):
        return min(int(last.rpartition(".")[2] or 0), len(req.tokens))

    monkeypatch.setattr(world_module, "resume_offset", offset)


def no_order(monkeypatch):
    """Take pieces as they come."""

    def take(pieces, length):
        return tuple(
            token for offset in list(pieces) for token in pieces.pop(offset)
        )

    monkeypatch.setattr(answers, "pop_contiguous", take)


def no_notices(monkeypatch):
    """Do nothing about engines on leaving hosts."""
    monkeypatch.setattr(
        "magnoliaflow.serving.membership.NOTICE_HOOKS",
        [
            hook
            for hook in NOTICE_HOOKS
            if hook is not draining.evacuate_engines
        ],
    )


def refuse_unread(monkeypatch):
    """Say not run before the Refuse is read back."""

    def give_up(state, key):
        job = state.claim_jobs.get(key)
        if job is not None and key not in state.claims.claims:
            job.code = int(Code.NOT_STARTED)

    monkeypatch.setitem(TIMER_HANDLERS, "give up accept", give_up)


def stop_at_once(monkeypatch):
    """End as soon as a stop is asked for."""
    systems = list(SYSTEMS)
    monkeypatch.setattr(draining, "hand_over", lambda *a: None)

    def leave(state):
        if state.phase.name == "DRAINING":
            state.drain_deadline = state.now
            draining.exit_when_done(state)

    rows = [
        (order, name, leave if name == "exit_when_done" else function)
        for order, name, function in systems
    ]
    monkeypatch.setattr("magnoliaflow.core.systems.SYSTEMS", rows)


def owner_dies(world):
    """Kill the owner of a claim after its dispatch."""
    for service in world.services.values():
        service.late_s = 4.0
    call = world.call("voucher-booking", key="v")
    world.run(0.2)
    world.kill(call.entry_host)


def owner_lost(world):
    """Kill the owner of an answer while it is produced."""
    call = world.call("claim-review", answer_tokens=40)
    world.run(0.5)
    world.kill(call.entry_host)


def standby_lags(world):
    """Cut the owner off from its standby for a moment, then kill it."""
    call = world.call("claim-review", answer_tokens=60)
    world.run(0.6)
    for name in world.nodes:
        if name != call.entry_host:
            world.partition(name, call.entry_host)
    world.run(0.5)
    world.kill(call.entry_host)
    world.heal()
    for engine in world.engines.values():
        for run in engine.attempts.values():
            run["gone"] = True


def jumbled(world):
    """Deliver pieces out of order."""
    for engine in world.engines.values():
        engine.reorder_probability = 0.6
    for _ in range(4):
        world.call("claim-review", answer_tokens=40)


def long_notice(world):
    """Go on calling while an engine's host is leaving."""
    host = "model-host-2"
    world.notices[host] = world.now
    world.notice(host, 12.0)
    for number in range(80):
        world.after(
            number * 0.1, lambda: world.call("quote-draft", answer_tokens=10)
        )
    world.run(10.0)


def late_accept(world):
    """Let an Accept land long after its submitter gave it up."""
    world.log.late_probability = 1.0
    world.log.late_s = 60.0
    world.call("voucher-booking", key="v")
    world.run(0.3)
    world.log.late_probability = 0.0
    world.log.down = True
    world.run(25.0)
    world.log.down = False
    world.run(40.0)


def planned_stop(world):
    """Stop a gateway while it serves."""
    calls = [world.call("claim-review", answer_tokens=60) for _ in range(8)]
    world.run(0.5)
    stop_gateway(world, calls[0].entry_host)
    world.run(20.0)


def stop_gateway(world, name):
    """Ask a gateway to end as SIGTERM does."""
    world.nodes[name].feed(DrainRequested(reclaimed=False, seconds_left=20.0))


CASES = [
    (send_again, owner_dies, "at_most_once"),
    (no_standby, owner_lost, "unsettled"),
    (release_early, standby_lags, "reset"),
    (no_branches, standby_lags, "answers_are_whole"),
    (no_order, jumbled, "answers_are_whole"),
    (no_notices, long_notice, "leaving_hosts_get_no_work"),
    (refuse_unread, late_accept, "not_run_is_true"),
    (stop_at_once, planned_stop, "planned_stops_cut_nothing_off"),
]


def seen_in(world):
    """Return every violation, with what only the callers can tell."""
    settled = world.settle(limit=60.0)
    found = violations(world)
    found += ["unsettled: a caller waits"] if not settled else []
    resets = sum(call.resets for call in world.calls)
    return found + (["reset: an answer began anew"] if resets else [])


@pytest.mark.parametrize(
    "switch_off, scenario, name",
    CASES,
    ids=[case[0].__name__ for case in CASES],
)
def test_without_a_mechanism(
    make_world, monkeypatch, switch_off, scenario, name
):
    with monkeypatch.context() as patch:
        switch_off(patch)
        world = make_world(5)
        scenario(world)
        found = seen_in(world)
    assert any(item.startswith(name) for item in found), found


@pytest.mark.parametrize(
    "scenario",
    list(dict.fromkeys(case[1] for case in CASES)),
    ids=lambda scenario: scenario.__name__,
)
def test_with_every_mechanism(make_world, scenario):
    world = make_world(5)
    scenario(world)
    assert seen_in(world) == []


def test_a_planned_stop_serves_stale_callers(make_world):
    world = make_world(6)
    stopped = world.live()[0]
    calls = [
        world.call("claim-review", answer_tokens=60, at=stopped)
        for _ in range(6)
    ]
    world.run(0.4)
    stop_gateway(world, stopped)
    for number in range(30):
        world.after(
            number * 0.1,
            lambda: stopped in world.live()
            and world.call("quote-draft", at=stopped),
        )
    world.run(4.0)
    refused = [call for call in world.calls if call.code is Code.DRAINING]
    assert seen_in(world) == []
    assert refused and all(not call.request_id for call in refused)
    assert {call.code for call in calls} == {Code.DONE}
    assert not world.nodes[stopped].alive


def test_finished_answers_outlive_their_owner(make_world):
    world = make_world(7)
    call = world.call("quote-draft", answer_tokens=10)
    world.run(0.3)
    owner = call.entry_host
    req = world.nodes[owner].state.requests.rows[call.request_id]
    world.run_until(lambda: req.settled, limit=5.0)
    call.codes.clear()
    call.last_event_id, call.tokens = "", []
    stop_gateway(world, owner)
    world.run(3.0)
    world.follow(call)
    assert seen_in(world) == []
    assert call.code is Code.DONE
    holders = [
        name
        for name, node in world.nodes.items()
        if node.alive
        and call.request_id in node.state.requests
        and node.state.requests.rows[call.request_id].role is Role.OWNER
    ]
    assert len(holders) == 1


def test_notice_known_to_one_gateway_holds_everywhere(make_world):
    """The list lags or lies to the others; they learn from their peer."""
    world = make_world(8)
    host = "model-host-2"
    world.notices[host] = world.now
    world.nodes["entry-3"].feed(HostLeaving(host, 10.0))
    for number in range(80):
        world.after(
            number * 0.1, lambda: world.call("quote-draft", answer_tokens=10)
        )
    world.run(9.0)
    late = [
        at - world.notices[host]
        for at, engine, _ in world.attempts()
        if engine.cfg.host == host
    ]
    assert seen_in(world) == []
    assert max(late, default=0.0) < LEAVING_BOUND_S


def test_entry_host_that_leaves_is_given_no_new_copies(make_world):
    """After the bound nothing is held or owned on a leaving entry host."""
    world = make_world(9)
    world.notices["entry-2"] = world.now
    world.notice("entry-2", 8.0)
    world.run(LEAVING_BOUND_S)
    calls = [world.call("quote-draft", at="entry-1") for _ in range(20)]
    world.run(1.0)
    standbys = {
        world.nodes["entry-1"].state.requests.rows[call.request_id].standby
        for call in calls
    }
    assert world.nodes["entry-2"].identity not in standbys
    assert seen_in(world) == []
