"""Checkers of histories: each returns the violations that it finds."""

from magnoliaflow.common.codes import Code
from magnoliaflow.common.codes import Executed
from magnoliaflow_standins.tokens import is_valid_answer

CHECKERS = {}
LEAVING_BOUND_S = 3.0
PROFILE_BOUND_S = 19.0


def checker(function):
    """Register a checker under its function name."""
    CHECKERS[function.__name__] = function
    return function


def violations(world):
    """Return the violations that all checkers find in a run."""
    return [
        f"{name}: {violation}"
        for name, function in CHECKERS.items()
        for violation in function(world)
    ]


@checker
def at_most_once(world):
    """A key that is not idempotent is executed at most once."""
    keys = {f"{call.account}/{call.key}" for call in world.calls if call.key}
    return [
        f"{key} ran {times} times"
        for key, times in world.executions().items()
        if key in keys and times > 1
    ]


@checker
def not_run_is_true(world):
    """Work that was reported as not run has not run."""
    ran = set(world.executions())
    ran |= {call.request_id for _, _, call in world.attempts()}
    found = []
    for call in world.calls:
        if call.code.executed is not Executed.NO:
            continue
        duplicates = [
            other
            for other in world.calls
            if call.key
            and other.key == call.key
            and other.code.executed is not Executed.NO
        ]
        name = f"{call.account}/{call.key}" if call.key else call.request_id
        if name in ran and not duplicates:
            found.append(f"{call.name} ran after {call.code.name}")
    return found


@checker
def answers_are_whole(world):
    """A caller told DONE has its own complete answer, from one branch."""
    engines = list(world.engines)
    found = []
    for call in world.calls:
        if call.key or call.code is not Code.DONE:
            continue
        profile = call.profile
        if profile == "ticket-lookup":
            text = bytes(call.tokens).decode()
            if call.request_id not in text:
                found.append(f"{call.name} got another call's answer: {text}")
            continue
        if len(call.tokens) != call.max_tokens:
            found.append(
                f"{call.name}: {len(call.tokens)} of {call.max_tokens} tokens"
            )
        if not is_valid_answer(call.prompt, call.tokens, engines):
            found.append(f"{call.name}: tokens do not form one answer")
    return found


@checker
def accepted_work_finishes(world):
    """Accepted work is answered or cancelled.

    Work with a key may also end as failed or with an unknown outcome.
    """
    found = []
    for call in world.calls:
        if Code.ACCEPTED not in call.codes:
            continue
        allowed = {Code.DONE, Code.CANCELLED, Code.CANCELLED_NOT_RUN}
        if call.key:
            allowed |= {Code.OUTCOME_UNKNOWN, Code.BACKEND_FAILED}
        if call.code not in allowed:
            found.append(f"{call.name} accepted, then {call.code.name}")
    return found


@checker
def outcomes_agree(world):
    """A key whose caller was told DONE was executed."""
    ran = world.executions()
    return [
        f"{call.name} done but never ran"
        for call in world.calls
        if call.key
        and call.code is Code.DONE
        and not ran[f"{call.account}/{call.key}"]
    ]


@checker
def leaving_hosts_get_no_work(world):
    """A host gets no new attempt later than the bound after its notice."""
    noticed = getattr(world, "notices", {})
    return [
        f"{engine.name} got {call.attempt_id} "
        f"{at - noticed_at:.2f} s after its notice"
        for at, engine, call in world.attempts()
        for noticed_at in [noticed.get(engine.cfg.host)]
        if noticed_at is not None and at > noticed_at + LEAVING_BOUND_S
    ]


@checker
def profiles_agree(world):
    """All live gateways have the same versions of all profiles."""
    nodes = [node for node in world.nodes.values() if node.alive]
    found = []
    versions = {
        node.identity: {
            name: (entry.version, entry.change_id)
            for name, entry in node.state.profiles.entries.items()
        }
        for node in nodes
    }
    if len({str(sorted(known.items())) for known in versions.values()}) > 1:
        found.append(f"profiles differ: {versions}")
    return found


@checker
def planned_stops_cut_nothing_off(world):
    """A gateway that exited by itself had nothing in progress."""
    return [
        f"{node.identity} left {node.in_progress_at_exit} in progress"
        for node in world.all_nodes
        if node.in_progress_at_exit
    ]
