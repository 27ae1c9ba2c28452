"""One long seeded run under overload and all faults, without a violation."""

from collections import Counter
from json import dumps
from pathlib import Path

from checkers import violations
from magnoliaflow.cluster.profiles import Decision
from magnoliaflow.common.codes import Code
from magnoliaflow.common.codes import Executed

REQUEST_COUNT = 10_500
RATE_PER_S = 70.0
SEED = 20261204
PROFILES = ("counter-chat", "quote-draft", "ticket-lookup", "voucher-booking")
WEIGHTS = (40, 20, 20, 20)
CHANGED_SPEC = {
    "target": "model",
    "idempotent": True,
    "deadline_s": 60,
    "backend": "repair-model",
    "max_tokens": 200,
}


def schedule_calls(world):
    """Schedule all calls at a constant rate."""
    for number in range(REQUEST_COUNT):
        world.after(number / RATE_PER_S, lambda n=number: make_call(world, n))


def make_call(world, number):
    """Make one call, unless no gateway is live; submit some keys twice."""
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


def schedule_faults(world):
    """Schedule host and network faults, log outages and profile conflicts.

    Low rates of late appends, lost append replies, reordered pieces and
    unanswered calls apply to the whole run.
    """
    for start_s in range(10, 150, 20):
        world.after(start_s, lambda: inject_faults(world))
        world.after(start_s + 4, lambda: publish_conflicting_changes(world))
    for start_s in (30, 80, 120):
        world.after(start_s, lambda: setattr(world.log, "down", True))
        world.after(start_s + 8, lambda: setattr(world.log, "down", False))
    world.log.lose_replies = 0.05
    world.log.late_probability = 0.02
    for engine in world.engines.values():
        engine.reorder_probability = 0.05
    for service in world.services.values():
        service.never = 0.01


def inject_faults(world):
    """Inject a gateway fault, silence an engine and reclaim an engine."""
    names = world.live()
    victim = world.rng.choice(names)
    fault = world.rng.choice(("reclaim", "kill", "pause", "cut"))
    if fault == "reclaim":
        world.notice(victim, 2.0)
        world.after(12.0, lambda: world.start(victim))
    elif fault == "kill":
        world.kill(victim)
        world.after(0.5, lambda: world.start(victim))
    elif fault == "pause":
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
    reclaimed = world.rng.choice(list(world.engines.values()))
    if reclaimed.alive:
        world.notice(reclaimed.cfg.host, 2.0)
        world.after(10.0, lambda: replace_engine(reclaimed))


def replace_engine(engine):
    """Start a replacement of a reclaimed engine."""
    engine.alive = True
    engine.attempts.clear()


def publish_conflicting_changes(world):
    """Publish changes by two operators on the same base version."""
    node = world.nodes[world.live()[0]]
    base = node.state.profiles.version("quote-draft")
    for operator in ("ann", "bob"):
        change_id = f"{operator}-{world.now:.0f}"
        world.conflicting_changes.append(change_id)
        world.publish(
            "quote-draft", CHANGED_SPEC, base=base, change_id=change_id
        )


def count_decisions(world):
    """Return the counts of decisions on the conflicting changes.

    They are counted at the live gateway that knows the most decisions.
    """
    profile_table = max(
        (world.nodes[name].state.profiles for name in world.live()),
        key=lambda profile_table: len(profile_table.decisions),
    )
    return Counter(
        profile_table.decision(change_id)
        for change_id in world.conflicting_changes
    )


def summary(world, found_violations):
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
        "violations": len(found_violations),
    }


def test_long_run(make_world, record_property):
    world = make_world(SEED)
    world.conflicting_changes = []
    schedule_calls(world)
    schedule_faults(world)
    world.run(REQUEST_COUNT / RATE_PER_S + 1.0)
    world.heal()
    settled = world.settle(limit=200.0)
    world.run(20.0)
    found_violations = violations(world)
    counts = summary(world, found_violations)
    print(dumps(counts))
    folder = Path(__file__).parent.parent / "run"
    folder.mkdir(exist_ok=True)
    (folder / "long_run.json").write_text(dumps(counts, indent=2))
    open_calls = [call for call in world.calls if not call.done]
    unsettled = [call for call in open_calls if Code.ACCEPTED in call.codes]
    assert unsettled == []
    assert found_violations == []
    assert len(world.calls) >= 10_000
    assert settled or all(
        call.code.executed is Executed.UNKNOWN for call in open_calls
    )
    decisions = count_decisions(world)
    assert decisions[Decision.IN_FORCE] <= len(world.conflicting_changes) / 2
    assert decisions[Decision.IN_FORCE] >= 1
