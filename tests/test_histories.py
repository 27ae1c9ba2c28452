"""Histories of several gateways under faults, each checked by all checkers.

Cases are rows of a table: a fault, the moment it strikes, and its victim.
"""

from itertools import product

import pytest

from checkers import violations
from magnoliaflow.common.codes import Code

SEEDS = (1, 2, 3)
MOMENTS_S = (0.0, 0.004, 0.012, 0.03, 0.3)


def kill_owner(world, call):
    """Kill the gateway that owns a call."""
    world.kill(call.entry_host)


def restart_owner(world, call):
    """Kill the owner and start it again at the same address at once."""
    world.kill(call.entry_host)
    world.after(0.2, lambda: world.start(call.entry_host))


def pause_owner(world, call):
    """Pause the owner past its take-over, then wake it."""
    node = world.nodes[call.entry_host]
    node.freeze()
    world.after(8.0, node.unfreeze)


def reclaim_owner(world, call):
    """Reclaim the host of the owner with two seconds' notice."""
    world.notices[call.entry_host] = world.now
    world.notice(call.entry_host, 2.0)


def cut_owner(world, call):
    """Cut the owner off from its peers, then heal the network."""
    for name in world.nodes:
        if name != call.entry_host:
            world.partition(name, call.entry_host)
    world.after(10.0, world.heal)


def cut_owner_log(world, call):
    """Cut the owner off from the log, then heal the network."""
    world.nodes[call.entry_host].log_unreachable = True
    world.after(10.0, world.heal)


def stop_log(world, call):
    """Take the log down for a while."""
    world.log.down = True
    world.after(6.0, lambda: setattr(world.log, "down", False))


def lose_replies(world, call):
    """Let appends take effect and lose their replies."""
    world.log.lose_replies = 1.0
    world.after(5.0, lambda: setattr(world.log, "lose_replies", 0.0))


def late_appends(world, call):
    """Let appends land long after they were said to fail."""
    world.log.late_probability = 0.7
    world.after(10.0, lambda: setattr(world.log, "late_probability", 0.0))


def silent_service(world, call):
    """Let services execute and never answer."""
    for service in world.services.values():
        service.never = 1.0


def late_service(world, call):
    """Let services answer late."""
    for service in world.services.values():
        service.late_s = 4.0


def two_waves(world, call):
    """Reclaim the owner's host and the next one in one wave."""
    names = [call.entry_host]
    names += [name for name in world.nodes if name != call.entry_host][:1]
    for name in names:
        world.notices[name] = world.now
        world.notice(name, 2.0)


def kill_two(world, call):
    """Kill the owner, and its likely successor a moment later."""
    world.kill(call.entry_host)
    other = next(name for name in world.nodes if name != call.entry_host)
    world.after(2.5, lambda: world.kill(other))


CLAIM_FAULTS = (
    kill_owner,
    restart_owner,
    pause_owner,
    reclaim_owner,
    cut_owner,
    cut_owner_log,
    stop_log,
    lose_replies,
    late_appends,
    silent_service,
    late_service,
    two_waves,
    kill_two,
)


@pytest.mark.parametrize(
    "fault, moment, seed", list(product(CLAIM_FAULTS, MOMENTS_S, SEEDS))
)
def test_claim_under_fault(make_world, fault, moment, seed):
    world = make_world(seed)
    call = world.call("voucher-booking", key="v1")
    twin = world.call("voucher-booking", key="v1", prompt=call.prompt)
    world.run(moment)
    fault(world, call)
    assert world.settle(), [item.codes for item in world.calls]
    world.run(5.0)
    assert violations(world) == []
    if Code.DONE in (call.code, twin.code):
        assert world.executions()[f"{call.account}/{call.key}"] == 1


def kill_engine(world, call):
    """Lose the engine that runs a call, without notice."""
    world.reclaim(engine_of(world, call).cfg.host)


def reclaim_engine(world, call):
    """Reclaim the host of the engine that runs a call."""
    host = engine_of(world, call).cfg.host
    world.notices[host] = world.now
    world.notice(host, 2.0)


def silence_engine(world, call):
    """Let open streams of every engine go silent for good."""
    for engine in world.engines.values():
        engine.silent_attempts |= set(engine.attempts)


def jumble_pieces(world, call):
    """Deliver pieces late, out of order and twice."""
    for engine in world.engines.values():
        engine.reorder_probability = 0.5


def reclaim_zone(world, call):
    """Reclaim every host of the owner's availability zone."""
    zone = world.nodes[call.entry_host].host.zone
    servers = world.cfg.backend_servers + world.cfg.entry_hosts
    hosts = {
        getattr(item, "host", item.name)
        for item in servers
        if item.zone == zone
    }
    for host in sorted(hosts):
        world.notices[host] = world.now
        world.notice(host, 2.0)


def die_in_handover(world, call):
    """Reclaim the owner's host; it dies partway through its handover."""
    reclaim_owner(world, call)
    world.after(0.4, lambda: world.kill(call.entry_host))


def engine_of(world, call):
    """Return the engine that was given a call last, or any."""
    given = [
        (at, engine.name)
        for at, engine, row in world.attempts()
        if row.request_id == call.request_id
    ]
    return world.engines[max(given)[1] if given else "engine-1"]


ANSWER_FAULTS = (
    kill_owner,
    restart_owner,
    pause_owner,
    reclaim_owner,
    cut_owner,
    stop_log,
    two_waves,
    kill_engine,
    reclaim_engine,
    silence_engine,
    jumble_pieces,
    reclaim_zone,
    die_in_handover,
)
ANSWER_MOMENTS_S = (0.02, 0.3, 0.62, 1.1)


@pytest.mark.parametrize(
    "fault, moment, seed",
    list(product(ANSWER_FAULTS, ANSWER_MOMENTS_S, SEEDS)),
)
def test_answer_under_fault(make_world, fault, moment, seed):
    world = make_world(seed)
    call = world.call("claim-review", answer_tokens=40)
    for _ in range(3):
        world.call("quote-draft", answer_tokens=30)
    world.run(moment)
    fault(world, call)
    assert world.settle(), [item.codes for item in world.calls]
    world.run(3.0)
    assert violations(world) == []
    assert [item.code for item in world.calls] == [Code.DONE] * 4
    if fault is not cut_owner:
        assert [item.resets for item in world.calls] == [0] * 4


def test_lookups_go_on_beyond_a_service_s_slots(make_world):
    """A service reports no load; ended calls must free its slots."""
    world = make_world(1)
    for number in range(200):
        world.after(
            number * 0.05, lambda: world.call("ticket-lookup", at="entry-1")
        )
    world.run(10.0)
    assert world.settle(limit=20.0)
    assert violations(world) == []


def test_request_served_alone_gets_a_standby_once_there_is_one(make_world):
    """A lone owner's request survives it once a peer has come back."""
    world = make_world(2)
    for name in ("entry-2", "entry-3", "entry-4"):
        world.kill(name)
    world.run(4.0)
    call = world.call("claim-review", answer_tokens=100, at="entry-1")
    world.run(0.5)
    world.start("entry-2")
    world.run(2.0)
    world.kill("entry-1")
    assert world.settle()
    assert violations(world) == []
    assert (call.code, call.resets) == (Code.DONE, 0)
