"""The product's own log comes back from a copy of some seconds ago."""

from dataclasses import replace
from itertools import product
from json import dumps

from conftest import world_factory
import pytest

from checkers import violations
from magnoliaflow.common.codes import Code
from magnoliaflow.common.records import Accept
from magnoliaflow.common.records import Record
from magnoliaflow.common.records import Refuse
from magnoliaflow.core.state import CLAIM_STREAM

SEEDS = (1, 2, 3)
SIZES = (37, 78)
LOST_S = 3.0
AWAY_S = 1.0
SETTLE_S = 25.0
SPEC = {
    "target": "service",
    "idempotent": True,
    "deadline_s": 5.0,
    "backend": "counter",
}


def go_back(world, *, lost_s=LOST_S, away_s=AWAY_S):
    """Let the log be away for a moment and come back without some seconds."""
    world.log.down = True
    world.run(away_s)
    world.log.go_back(lost_s + away_s)
    world.log.down = False


def keep_all(world):
    """Disturb nothing else."""


def restart_one(world):
    """Kill a gateway and start it again at once."""
    world.kill("entry-1")
    world.start("entry-1")


def kill_one(world):
    """Kill a gateway and start it again after the log is back."""
    world.kill("entry-1")
    world.after(6.0, lambda: world.start("entry-1"))


def cut_one(world):
    """Keep a gateway from the log for longer than the others."""
    world.nodes["entry-2"].log_unreachable = True
    world.after(4.0, world.heal)


def cut_one_from_all(world):
    """Keep a gateway from the log and from its peers."""
    cut_one(world)
    for other in world.nodes:
        if other != "entry-2":
            world.partition("entry-2", other)


def go_back_again(world):
    """Let the log go back once more while it is being read again."""
    world.after(AWAY_S + 2.0, lambda: world.log.go_back(2.5))


def late_appends(world):
    """Let appends land long after they were reported as failed."""
    world.log.late_probability = 0.5
    world.after(4.0, lambda: setattr(world.log, "late_probability", 0.0))


@pytest.fixture
def make_large_world(cfg):
    """Return a function that starts a world with many gateways."""

    def make(hosts, seed):
        known = cfg.entry_hosts
        entry_hosts = tuple(
            replace(
                known[number % len(known)],
                name=f"entry-{number + 1}",
                address=f"127.0.0.{number + 1}",
            )
            for number in range(hosts)
        )
        large_cfg = replace(cfg, entry_hosts=entry_hosts)
        return world_factory(large_cfg)(seed, nodes=hosts)

    return make


FAULTS = (
    keep_all,
    restart_one,
    kill_one,
    cut_one,
    cut_one_from_all,
    go_back_again,
    late_appends,
)


@pytest.mark.parametrize("fault, seed", list(product(FAULTS, SEEDS)))
def test_accepted_claims_run_once_and_finish(make_world, fault, seed):
    world = make_world(seed)
    for number in range(24):
        world.call("voucher-booking", key=f"v{number}")
        world.run(0.25)
        if number == 16:
            fault(world)
            go_back(world)
    assert world.settle(), [item.codes for item in world.calls]
    world.run(SETTLE_S)
    assert violations(world) == []
    assert max(world.executions().values()) == 1


@pytest.mark.parametrize("fault, seed", list(product(FAULTS, SEEDS)))
def test_a_key_that_was_answered_does_not_run_again(make_world, fault, seed):
    world = make_world(seed)
    before = [world.call("voucher-booking", key=f"v{n}") for n in range(6)]
    assert world.settle()
    fault(world)
    go_back(world)
    world.run(1.0)
    for call in before:
        world.call("voucher-booking", raw_key=call.key, prompt=call.prompt)
    world.run(SETTLE_S)
    for call in before:
        world.call("voucher-booking", raw_key=call.key, prompt=call.prompt)
    assert world.settle()
    assert set(world.executions().values()) == {1}
    again = [call.code for call in world.calls[-len(before) :]]
    assert set(again) == {Code.DONE}


@pytest.mark.parametrize("seed", SEEDS)
def test_a_gateway_that_starts_then_does_not_run_lost_claims(make_world, seed):
    """Only the others have read what the log has lost."""
    world = make_world(seed)
    before = [world.call("voucher-booking", key=f"v{n}") for n in range(6)]
    assert world.settle()
    go_back(world)
    world.kill("entry-1")
    world.start("entry-1")
    world.run(0.5)
    for call in before:
        world.call(
            "voucher-booking",
            at="entry-1",
            raw_key=call.key,
            prompt=call.prompt,
        )
    world.run(SETTLE_S)
    assert set(world.executions().values()) == {1}


@pytest.mark.parametrize("seed", SEEDS)
def test_what_was_refused_as_not_run_does_not_run_later(make_world, seed):
    """Its Accept lands after the log went back and lost its Refuse."""
    world = make_world(seed)
    key = f"a/{int(world.wall)}-v1"
    refuse = Refuse(key, "s1", int(Code.NOT_STARTED), world.wall)
    world.log.commit(CLAIM_STREAM, [Record("r1", refuse)])
    world.run(1.0)
    go_back(world)
    for name in ("entry-1", "entry-2", "entry-3"):
        world.kill(name)
        world.start(name)
    world.run(15.0)
    accept = Accept(
        key, "s1", "gone", "a", "voucher-booking", b"{}", world.wall
    )
    world.log.commit(CLAIM_STREAM, [Record("r2", accept)])
    world.run(SETTLE_S)
    assert world.executions()[key] == 0


def versions(world, name):
    """Return the version of a profile at each live gateway."""
    return [
        node.state.profiles.version(name)
        for node in world.nodes.values()
        if node.alive
    ]


@pytest.mark.parametrize("fault, seed", list(product(FAULTS, SEEDS)))
def test_profiles_in_force_do_not_go_back(make_world, fault, seed):
    world = make_world(seed)
    for version in range(3):
        spec = SPEC | {"deadline_s": 5.0 + version}
        world.publish("p", spec, base=version, change_id=f"c{version}")
        world.run(1.0)
    assert versions(world, "p") == [3] * 4
    fault(world)
    go_back(world)
    world.run(SETTLE_S)
    assert versions(world, "p") == [3] * 4
    world.start("entry-4")
    world.run(5.0)
    assert versions(world, "p") == [3] * 4
    spec = SPEC | {"deadline_s": 9.0}
    world.publish("p", spec, base=3, change_id="c9")
    world.run(5.0)
    assert versions(world, "p") == [4] * 4
    specs = {
        dumps(node.state.profiles.entries["p"].spec)
        for node in world.nodes.values()
    }
    assert len(specs) == 1


def test_changes_made_after_it_went_back_are_decided_alike(make_world):
    """A change based on the version of the copy loses to the lost one."""
    world = make_world(1)
    world.publish("p", SPEC, base=0, change_id="c0")
    world.run(5.0)
    world.publish("p", SPEC | {"deadline_s": 6.0}, base=1, change_id="lost")
    world.run(1.0)
    world.log.go_back(3.0)
    world.publish("p", SPEC | {"deadline_s": 7.0}, base=1, change_id="late")
    world.kill("entry-1")
    world.start("entry-1")
    world.run(SETTLE_S)
    entries = {
        node.state.profiles.entries["p"].change_id
        for node in world.nodes.values()
    }
    assert entries == {"lost"}


@pytest.mark.parametrize("hosts", SIZES)
@pytest.mark.parametrize("fault", FAULTS)
def test_many_gateways_neither_run_twice_nor_revert(
    make_large_world, hosts, fault
):
    world = make_large_world(hosts, 1)
    world.publish("p", SPEC, base=0, change_id="c0")
    before = [world.call("voucher-booking", key=f"v{n}") for n in range(12)]
    assert world.settle()
    fault(world)
    go_back(world)
    for call in before:
        world.call("voucher-booking", raw_key=call.key, prompt=call.prompt)
        world.call("voucher-booking", key=f"n{call.name}")
        world.run(0.25)
    written = len(world.log.streams[CLAIM_STREAM])
    world.run(SETTLE_S)
    assert set(world.executions().values()) == {1}
    assert versions(world, "p") == [1] * hosts
    assert violations(world) == []
    added = len(world.log.streams[CLAIM_STREAM]) - written
    assert added < 20 * len(world.calls)


def test_gateways_serve_new_claims_soon_after(make_world):
    world = make_world(1)
    go_back(world)
    world.run(8.0)
    calls = [world.call("voucher-booking", key=f"n{n}") for n in range(4)]
    assert world.settle()
    assert {call.code for call in calls} == {Code.DONE}
