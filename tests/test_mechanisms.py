"""With any one mechanism disabled, its checker must report a violation."""

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
    """Send dispatched claims of a dead owner again."""
    monkeypatch.setattr(claimtakeover, "ask_status", claimdispatch.send_claim)


def no_standby(monkeypatch):
    """Accept idempotent requests without a replica."""
    monkeypatch.setattr(replication, "select_standby", lambda *a, **k: "")


def release_early(monkeypatch):
    """Release tokens that the standby does not hold."""
    add_tokens = replication.add_tokens

    def add_and_release(state, req, tokens):
        add_tokens(state, req, tokens)
        req.released = len(req.tokens)

    monkeypatch.setattr(answers, "add_tokens", add_and_release)


def ignore_branches(monkeypatch):
    """Resume an answer at the caller's offset, whatever branch it read."""
    release_early(monkeypatch)

    def resume_at_any_offset(req, last_event_id):
        return min(int(last_event_id.rpartition(".")[2] or 0), len(req.tokens))

    monkeypatch.setattr(world_module, "resume_offset", resume_at_any_offset)


def ignore_piece_order(monkeypatch):
    """Append pieces in the order in which they arrive."""

    def pop_all(pieces, length):
        return tuple(
            token for offset in list(pieces) for token in pieces.pop(offset)
        )

    monkeypatch.setattr(answers, "pop_contiguous", pop_all)


def no_notices(monkeypatch):
    """Keep using engines on leaving hosts."""
    monkeypatch.setattr(
        "magnoliaflow.serving.membership.NOTICE_HOOKS",
        [
            hook
            for hook in NOTICE_HOOKS
            if hook is not draining.evacuate_engines
        ],
    )


def refuse_unread(monkeypatch):
    """Report "not run" before the Refuse is read back."""

    def settle_unread(state, key):
        job = state.claim_jobs.get(key)
        if job is not None and key not in state.claims.claims:
            job.code = int(Code.NOT_STARTED)

    monkeypatch.setitem(TIMER_HANDLERS, "give up accept", settle_unread)


def stop_at_once(monkeypatch):
    """Exit without a handover as soon as a stop is requested."""
    systems = list(SYSTEMS)
    monkeypatch.setattr(draining, "hand_over", lambda *a: None)

    def exit_at_once(state):
        if state.phase.name == "DRAINING":
            state.drain_deadline = state.now
            draining.exit_when_done(state)

    patched_systems = [
        (order, name, exit_at_once if name == "exit_when_done" else function)
        for order, name, function in systems
    ]
    monkeypatch.setattr("magnoliaflow.core.systems.SYSTEMS", patched_systems)


def claim_owner_dies(world):
    """Kill the owner of a claim after its dispatch."""
    for service in world.services.values():
        service.late_s = 4.0
    call = world.call("voucher-booking", key="v")
    world.run(0.2)
    world.kill(call.entry_host)


def answer_owner_dies(world):
    """Kill the owner of an answer while the answer is generated."""
    call = world.call("claim-review", answer_tokens=40)
    world.run(0.5)
    world.kill(call.entry_host)


def standby_lags(world):
    """Partition the owner from its peers, then kill it.

    All attempts are lost, so the successor must generate the rest anew.
    """
    call = world.call("claim-review", answer_tokens=60)
    world.run(0.6)
    for name in world.nodes:
        if name != call.entry_host:
            world.partition(name, call.entry_host)
    world.run(0.5)
    world.kill(call.entry_host)
    world.heal()
    for engine in world.engines.values():
        for attempt in engine.attempts.values():
            attempt["gone"] = True


def pieces_out_of_order(world):
    """Deliver pieces out of order."""
    for engine in world.engines.values():
        engine.reorder_probability = 0.6
    for _ in range(4):
        world.call("claim-review", answer_tokens=40)


def long_notice(world):
    """Keep making calls while an engine's host is leaving."""
    host = "model-host-2"
    world.notices[host] = world.now
    world.notice(host, 12.0)
    for number in range(80):
        world.after(
            number * 0.1, lambda: world.call("quote-draft", answer_tokens=10)
        )
    world.run(10.0)


def late_accept(world):
    """Let an Accept land long after its submitter voided it."""
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
    """Stop a gateway while it serves requests."""
    calls = [world.call("claim-review", answer_tokens=60) for _ in range(8)]
    world.run(0.5)
    stop_gateway(world, calls[0].entry_host)
    world.run(20.0)


def stop_gateway(world, name):
    """Ask a gateway to drain, as SIGTERM does."""
    world.nodes[name].feed(DrainRequested(reclaimed=False, seconds_left=20.0))


CASES = [
    (send_again, claim_owner_dies, "at_most_once"),
    (no_standby, answer_owner_dies, "unsettled"),
    (release_early, standby_lags, "reset"),
    (ignore_branches, standby_lags, "answers_are_whole"),
    (ignore_piece_order, pieces_out_of_order, "answers_are_whole"),
    (no_notices, long_notice, "leaving_hosts_get_no_work"),
    (refuse_unread, late_accept, "not_run_is_true"),
    (stop_at_once, planned_stop, "planned_stops_cut_nothing_off"),
]


def all_violations(world):
    """Settle and return all violations.

    Unsettled calls and reset answers count too; no checker sees these.
    """
    settled = world.settle(limit=60.0)
    found = violations(world)
    found += ["unsettled: a call has no final code"] if not settled else []
    resets = sum(call.resets for call in world.calls)
    return found + (["reset: an answer was restarted"] if resets else [])


@pytest.mark.parametrize(
    "switch_off, scenario, name",
    CASES,
    ids=[case[0].__name__ for case in CASES],
)
def test_checkers_detect_a_disabled_mechanism(
    make_world, monkeypatch, switch_off, scenario, name
):
    with monkeypatch.context() as patch:
        switch_off(patch)
        world = make_world(5)
        scenario(world)
        found = all_violations(world)
    assert any(item.startswith(name) for item in found), found


@pytest.mark.parametrize(
    "scenario",
    list(dict.fromkeys(case[1] for case in CASES)),
    ids=lambda scenario: scenario.__name__,
)
def test_checkers_pass_with_every_mechanism(make_world, scenario):
    world = make_world(5)
    scenario(world)
    assert all_violations(world) == []


def test_planned_stop_refuses_only_new_calls(make_world):
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
    assert all_violations(world) == []
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
    assert all_violations(world) == []
    assert call.code is Code.DONE
    owners = [
        name
        for name, node in world.nodes.items()
        if node.alive
        and call.request_id in node.state.requests
        and node.state.requests.rows[call.request_id].role is Role.OWNER
    ]
    assert len(owners) == 1


def test_notice_to_one_gateway_applies_at_all_gateways(make_world):
    """A gateway that gets no notice of its own learns of it from a peer.

    The platform's host list may be stale or wrong for the others.
    """
    world = make_world(8)
    host = "model-host-2"
    world.notices[host] = world.now
    world.nodes["entry-3"].feed(HostLeaving(host, 10.0))
    for number in range(80):
        world.after(
            number * 0.1, lambda: world.call("quote-draft", answer_tokens=10)
        )
    world.run(9.0)
    delays_s = [
        at - world.notices[host]
        for at, engine, _ in world.attempts()
        if engine.cfg.host == host
    ]
    assert all_violations(world) == []
    assert max(delays_s, default=0.0) < LEAVING_BOUND_S


def test_leaving_entry_host_gets_no_new_replicas(make_world):
    """After the bound, a leaving entry host is no standby of new requests."""
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
    assert all_violations(world) == []
