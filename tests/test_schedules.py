"""Derandomized schedules of random faults, checked by all checkers.

Faults are at least four seconds apart, so that a request never loses its
owner and its standby at once without notice.
"""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from checkers import violations
from magnoliaflow.common.codes import Code

GAP_S = 4.0


def kill(world, name):
    """Kill a gateway and restart it shortly after."""
    world.kill(name)
    world.after(1.0, lambda: world.start(name))


def reclaim(world, name):
    """Reclaim a gateway's host and start a replacement."""
    world.notice(name, 2.0)
    world.after(3.0, lambda: world.start(name))


def pause(world, name):
    """Pause a gateway until after the takeover of its requests."""
    node = world.nodes[name]
    node.freeze()
    world.after(3.5, node.unfreeze)


def cut(world, name):
    """Partition a gateway from its peers for a while."""
    for other in world.nodes:
        if other != name:
            world.partition(name, other)
    world.after(3.0, world.heal)


def cut_log(world, name):
    """Partition a gateway from the log for a while."""
    world.nodes[name].log_unreachable = True
    world.after(3.0, world.heal)


def stop_log(world, name):
    """Make the log unavailable for a while."""
    world.log.down = True
    world.after(3.0, lambda: setattr(world.log, "down", False))


def lose_appends(world, name):
    """Let appends land late for a while; replies are lost from then on."""
    world.log.late_probability = world.log.lose_replies = 0.5
    world.after(3.0, lambda: setattr(world.log, "late_probability", 0.0))


def silence(world, name):
    """Stop delivery on every open engine stream."""
    for engine in world.engines.values():
        engine.silent_attempts |= set(engine.attempts)


def lose_engine(world, name):
    """Lose a busy engine's host while more than two engines are alive."""
    busy = [
        engine
        for engine in world.engines.values()
        if engine.alive
        and any(not attempt["done"] for attempt in engine.attempts.values())
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
    """Make one call of each kind at a live gateway, and submit a key twice."""
    live = world.live()
    if not live:
        return
    name = world.rng.choice(live)
    world.call("claim-review", answer_tokens=30, at=name)
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
        call.codes
        for call in world.calls
        if not call.done and Code.ACCEPTED in call.codes
    ]
    assert unheard == []
    assert settled or all(
        call.done or call.code is Code.PENDING or not call.codes
        for call in world.calls
    )
    assert sum(call.resets for call in world.calls if call.key) == 0
