"""One long seeded run: overload and every fault together, no violation."""

from collections import Counter
from json import dumps
from pathlib import Path

from checkers import violations
from magnoliaflow.cluster.profiles import Decision
from magnoliaflow.common.codes import Code
from magnoliaflow.common.codes import Executed

REQUESTS = 10_500
RATE = 70.0
SEED = 20261204
PROFILES = ("counter-chat", "quote-draft", "ticket-lookup", "voucher-booking")
WEIGHTS = (40, 20, 20, 20)
SPEC = {
    "target": "model",
    "idempotent": True,
    "deadline_s": 60,
    "backend": "repair-model",
    "max_tokens": 200,
}


def make_calls(world):
    """Schedule the calls; some keys are submitted at two entry hosts."""
    for number in range(REQUESTS):
        world.after(number / RATE, lambda n=number: one_call(world, n))


def one_call(world, number):
    """Make one call, if any entry host answers."""
    if not world.live():
        return
    (profile,) = world.rng.choices(PROFILES, WEIGHTS)
    account = world.rng.choice(world.cfg.client_accounts).name
    options = {"account": account, "answer_tokens": world.rng.randint(4, 12)}
    if profile == "voucher-booking":
        options["key"] = f"v{number}"
    call = world.call(profile, **options)
    if call.key and world.rng.random() < 0.2:
        world.call(
            profile,
            account=account,
            raw_key=call.key,
            prompt=call.prompt,
            answer_tokens=call.max_tokens,
        )


def make_faults(world):
    """Schedule reclaim waves, outages, races, pauses, cuts, silence."""
    for start in range(10, 150, 20):
        world.after(start, lambda: strike(world))
        world.after(start + 4, lambda: race(world))
    for start in (30, 80, 120):
        world.after(start, lambda: setattr(world.log, "down", True))
        world.after(start + 8, lambda: setattr(world.log, "down", False))
    world.log.lose_replies = 0.05
    world.log.late_probability = 0.02
    for engine in world.engines.values():
        engine.reorder_probability = 0.05
    for service in world.services.values():
        service.never = 0.01


def strike(world):
    """Let one wave of faults hit at once."""
    names = world.live()
    victim = world.rng.choice(names)
    kind = world.rng.choice(("reclaim", "kill", "pause", "cut"))
    if kind == "reclaim":
        world.notice(victim, 2.0)
        world.after(12.0, lambda: world.start(victim))
    elif kind == "kill":
        world.kill(victim)
        world.after(0.5, lambda: world.start(victim))
    elif kind == "pause":
        node = world.nodes[victim]
        node.freeze()
        world.after(6.0, node.unfreeze)
    else:
        for name in names:
            if name != victim:
                world.partition(name, victim)
        world.after(5.0, world.heal)
    engine = world.rng.choice(list(world.engines.values()))
    engine.silent_attempts |= set(engine.attempts)
    other = world.rng.choice(list(world.engines.values()))
    if other.alive:
        world.notice(other.cfg.host, 2.0)
        world.after(10.0, lambda: revive(other))


def revive(engine):
    """Let a replacement of a reclaimed engine serve."""
    engine.alive = True
    engine.attempts.clear()


def race(world):
    """Let two operators change one profile on the same base."""
    node = world.nodes[world.live()[0]]
    base = node.state.profiles.version("quote-draft")
    for operator in ("ann", "bob"):
        name = f"{operator}-{world.now:.0f}"
        world.races.append(name)
        world.publish("quote-draft", SPEC, base=base, change_id=name)


def decided(world):
    """Return what became of every racing change, at one gateway."""
    book = max(
        (world.nodes[name].state.profiles for name in world.live()),
        key=lambda book: len(book.decisions),
    )
    return Counter(book.decision(name) for name in world.races)


def summary(world, found):
    """Return the counts that docs/INVARIANTS.md shows."""
    codes = Counter(call.code.name for call in world.calls)
    return {
        "requests": len(world.calls),
        "seed": SEED,
        "codes": dict(sorted(codes.items())),
        "taken_over": world.takeover_count(),
        "resets": sum(call.resets for call in world.calls),
        "executions": sum(world.executions().values()),
        "attempts": len(world.attempts()),
        "violations": len(found),
    }


def test_long_run(make_world, record_property):
    world = make_world(SEED)
    world.races = []
    make_calls(world)
    make_faults(world)
    world.run(REQUESTS / RATE + 1.0)
    world.heal()
    settled = world.settle(limit=200.0)
    world.run(20.0)
    found = violations(world)
    counts = summary(world, found)
    print(dumps(counts))
    folder = Path(__file__).parent.parent / "run"
    folder.mkdir(exist_ok=True)
    (folder / "long_run.json").write_text(dumps(counts, indent=2))
    open_calls = [call for call in world.calls if not call.done]
    lost = [call for call in open_calls if Code.ACCEPTED in call.codes]
    assert lost == []
    assert found == []
    assert len(world.calls) >= 10_000
    assert settled or all(
        call.code.executed is Executed.UNKNOWN for call in open_calls
    )
    tally = decided(world)
    assert tally[Decision.IN_FORCE] <= len(world.races) / 2
    assert tally[Decision.IN_FORCE] >= 1
