"""Histories of several gateways under faults, each checked by all checkers.

Each case injects one fault, a given delay after the call, with one seed.
"""

from itertools import product

import pytest

from checkers import violations
from magnoliaflow.common.codes import Code

SEEDS = (1, 2, 3)
FAULT_DELAYS_S = (0.0, 0.004, 0.012, 0.03, 0.3)


def kill_owner(world, call):
    """Kill the gateway that owns a call."""
    world.kill(call.entry_host)


def restart_owner(world, call):
    """Kill the owner and soon restart it at the same address."""
    world.kill(call.entry_host)
    world.after(0.2, lambda: world.start(call.entry_host))


def pause_owner(world, call):
    """Pause the owner until after the takeover, then resume it."""
    node = world.nodes[call.entry_host]
    node.freeze()
    world.after(8.0, node.unfreeze)


def reclaim_owner(world, call):
    """Reclaim the host of the owner with two seconds' notice."""
    world.notices[call.entry_host] = world.now
    world.notice(call.entry_host, 2.0)


def cut_owner(world, call):
    """Partition the owner from its peers, then heal the network."""
    for name in world.nodes:
        if name != call.entry_host:
            world.partition(name, call.entry_host)
    world.after(10.0, world.heal)


def cut_owner_log(world, call):
    """Partition the owner from the log, then heal the network."""
    world.nodes[call.entry_host].log_unreachable = True
    world.after(10.0, world.heal)


def stop_log(world, call):
    """Make the log unavailable for a while."""
    world.log.down = True
    world.after(6.0, lambda: setattr(world.log, "down", False))


def lose_replies(world, call):
    """Let appends succeed but lose their replies."""
    world.log.lose_replies = 1.0
    world.after(5.0, lambda: setattr(world.log, "lose_replies", 0.0))


def late_appends(world, call):
    """Let appends land long after they were reported as failed."""
    world.log.late_probability = 0.7
    world.after(10.0, lambda: setattr(world.log, "late_probability", 0.0))


def silent_service(world, call):
    """Let services execute calls without ever answering."""
    for service in world.services.values():
        service.never = 1.0


def late_service(world, call):
    """Let services answer late."""
    for service in world.services.values():
        service.late_s = 4.0


def reclaim_two_hosts(world, call):
    """Reclaim the owner's host and another one at the same time."""
    names = [call.entry_host]
    names += [name for name in world.nodes if name != call.entry_host][:1]
    for name in names:
        world.notices[name] = world.now
        world.notice(name, 2.0)


def kill_two(world, call):
    """Kill the owner and, shortly after, a possible successor."""
    world.kill(call.entry_host)
    successor = next(name for name in world.nodes if name != call.entry_host)
    world.after(2.5, lambda: world.kill(successor))


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
    reclaim_two_hosts,
    kill_two,
)


@pytest.mark.parametrize(
    "fault, delay, seed", list(product(CLAIM_FAULTS, FAULT_DELAYS_S, SEEDS))
)
def test_claim_under_fault(make_world, fault, delay, seed):
    world = make_world(seed)
    call = world.call("voucher-booking", key="v1")
    duplicate = world.call("voucher-booking", key="v1", prompt=call.prompt)
    world.run(delay)
    fault(world, call)
    assert world.settle(), [item.codes for item in world.calls]
    world.run(5.0)
    assert violations(world) == []
    if Code.DONE in (call.code, duplicate.code):
        assert world.executions()[f"{call.account}/{call.key}"] == 1


def kill_engine(world, call):
    """Reclaim the host of a call's engine without notice."""
    world.reclaim(engine_of(world, call).cfg.host)


def reclaim_engine(world, call):
    """Reclaim the host of a call's engine with two seconds' notice."""
    host = engine_of(world, call).cfg.host
    world.notices[host] = world.now
    world.notice(host, 2.0)


def silence_engine(world, call):
    """Stop delivery on every open engine stream."""
    for engine in world.engines.values():
        engine.silent_attempts |= set(engine.attempts)


def jumble_pieces(world, call):
    """Let engines deliver pieces late, out of order and twice."""
    for engine in world.engines.values():
        engine.reorder_probability = 0.5


def reclaim_zone(world, call):
    """Reclaim every host of the owner's availability zone."""
    zone = world.nodes[call.entry_host].host.zone
    servers = world.cfg.backend_servers + world.cfg.entry_hosts
    hosts = {
        getattr(server, "host", server.name)
        for server in servers
        if server.zone == zone
    }
    for host in sorted(hosts):
        world.notices[host] = world.now
        world.notice(host, 2.0)


def die_in_handover(world, call):
    """Reclaim the owner's host and kill it during its handover."""
    reclaim_owner(world, call)
    world.after(0.4, lambda: world.kill(call.entry_host))


def engine_of(world, call):
    """Return the engine of a call's latest attempt, or any engine."""
    attempts = [
        (at, engine.name)
        for at, engine, attempt in world.attempts()
        if attempt.request_id == call.request_id
    ]
    return world.engines[max(attempts)[1] if attempts else "engine-1"]


ANSWER_FAULTS = (
    kill_owner,
    restart_owner,
    pause_owner,
    reclaim_owner,
    cut_owner,
    stop_log,
    reclaim_two_hosts,
    kill_engine,
    reclaim_engine,
    silence_engine,
    jumble_pieces,
    reclaim_zone,
    die_in_handover,
)
ANSWER_FAULT_DELAYS_S = (0.02, 0.3, 0.62, 1.1)


@pytest.mark.parametrize(
    "fault, delay, seed",
    list(product(ANSWER_FAULTS, ANSWER_FAULT_DELAYS_S, SEEDS)),
)
def test_answer_under_fault(make_world, fault, delay, seed):
    world = make_world(seed)
    call = world.call("claim-review", answer_tokens=40)
    for _ in range(3):
        world.call("quote-draft", answer_tokens=30)
    world.run(delay)
    fault(world, call)
    assert world.settle(), [item.codes for item in world.calls]
    world.run(3.0)
    assert violations(world) == []
    assert [item.code for item in world.calls] == [Code.DONE] * 4
    if fault is not cut_owner:
        assert [item.resets for item in world.calls] == [0] * 4


def test_ended_calls_free_service_slots(make_world):
    """Services report no load, so each ended call must free its slot."""
    world = make_world(1)
    for number in range(200):
        world.after(
            number * 0.05, lambda: world.call("ticket-lookup", at="entry-1")
        )
    world.run(10.0)
    assert world.settle(limit=20.0)
    assert violations(world) == []


def test_unreplicated_request_gets_a_standby_when_a_peer_returns(make_world):
    """A request accepted without a peer is replicated once one returns.

    After that it survives the loss of its owner.
    """
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
