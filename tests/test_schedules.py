"""Random schedules of faults, derandomized; checked by all checkers.

Faults that take a gateway away are at least four seconds apart, so that
the copies of a request are never both lost without notice.
"""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from checkers import violations
from magnoliaflow.common.codes import Code

GAP_S = 4.0


def kill(world, name):
    """Kill a gateway and start it again a little later."""
    world.kill(name)
    world.after(1.0, lambda: world.start(name))


def reclaim(world, name):
    """Reclaim a gateway's host and replace it."""
    world.notice(name, 2.0)
    world.after(3.0, lambda: world.start(name))


def pause(world, name):
    """Pause a gateway past its take-over."""
    node = world.nodes[name]
    node.freeze()
    world.after(3.5, node.wake)


def cut(world, name):
    """Cut a gateway off from its peers for a while."""
    for other in world.nodes:
        if other != name:
            world.cut(name, other)
    world.after(3.0, world.heal)


def cut_log(world, name):
    """Cut a gateway off from the log for a while."""
    world.nodes[name].log_cut = True
    world.after(3.0, world.heal)


def stop_log(world, name):
    """Take the log down for a while."""
    world.log.down = True
    world.after(3.0, lambda: setattr(world.log, "down", False))


def lose_appends(world, name):
    """Let appends land late or lose their replies."""
    world.log.late = world.log.lose_replies = 0.5
    world.after(3.0, lambda: setattr(world.log, "late", 0.0))


def silence(world, name):
    """Let every open stream go silent."""
    for engine in world.engines.values():
        engine.silent |= set(engine.runs)


def lose_engine(world, name):
    """Lose the host of an engine that runs something."""
    busy = [
        engine
        for engine in world.engines.values()
        if engine.alive
        and any(not attempt["done"] for attempt in engine.runs.values())
    ]
    alive_count = sum(engine.alive for engine in world.engines.values())
    if busy and alive_count > 2:
        world.reclaim(busy[0].cfg.host)


FAULTS = (
    kill,
    reclaim,
    pause,
    cut,
    cut_log,
    stop_log,
    lose_appends,
    silence,
    lose_engine,
)
SCHEDULES = st.lists(
    st.tuples(
        st.sampled_from(FAULTS),
        st.sampled_from(["entry-1", "entry-2", "entry-3", "entry-4"]),
        st.floats(0.0, 1.0),
    ),
    min_size=1,
    max_size=5,
)


def call_all(world):
    """Make one call of each kind at a gateway that answers."""
    live = world.live()
    if not live:
        return
    name = world.rng.choice(live)
    world.call("claim-review", n=30, at=name)
    world.call("ticket-lookup", at=name)
    key = f"v{len(world.calls)}"
    original = world.call("voucher-booking", key=key, at=name)
    world.call(
        "voucher-booking",
        raw_key=original.key,
        prompt=original.prompt,
        at=world.rng.choice(live),
    )


@settings(max_examples=60)
@given(schedule=SCHEDULES, seed=st.integers(0, 1000))
def test_schedule(new_world, schedule, seed):
    world = new_world(seed)
    for fault, victim, delay in schedule:
        call_all(world)
        world.run(delay)
        if victim in world.live():
            fault(world, victim)
        call_all(world)
        world.run(GAP_S)
    world.heal()
    world.log.down = False
    settled = world.settle(limit=90.0)
    world.run(15.0)
    assert violations(world) == []
    unheard = [
        call.told
        for call in world.calls
        if not call.done and Code.ACCEPTED in call.told
    ]
    assert unheard == []
    assert settled or all(
        call.done or call.code is Code.PENDING or not call.told
        for call in world.calls
    )
    assert sum(call.resets for call in world.calls if call.key) == 0
