"""Bounded exhaustive search over the record rules of non-idempotent work.

The rules are the project's own ClaimBook, replayed over every order in
which records may land.  The search lets readers lag, records land late or
never, and processes crash and restart; a step that the rules allow at any
time is tried at every time.
"""

from dataclasses import dataclass
from dataclasses import replace
from functools import lru_cache

import pytest

from magnoliaflow.common.records import Accept
from magnoliaflow.common.records import Dispatch
from magnoliaflow.common.records import Refuse
from magnoliaflow.common.records import Takeover
from magnoliaflow.work.claims import ClaimState
from magnoliaflow.work.claims import ClaimTable
from magnoliaflow.work.claims import Verdict

KEY = "a/1000-k"
STATES_MOST = 400_000


@dataclass(frozen=True)
class Rules:
    """The mechanisms that the search may switch off."""

    refuse_read_back: bool = True
    identity_per_start: bool = True
    dispatch_read_back: bool = True


@dataclass(frozen=True)
class Process:
    """One run of a process and what it has read."""

    name: str
    start: int = 0
    applied: int = 0
    submission: str = ""
    refusing: bool = False
    sent: bool = False


@dataclass(frozen=True)
class World:
    """A state of the search."""

    log: tuple = ()
    flying: frozenset = frozenset()
    processes: tuple = ()
    executed: tuple = ()
    denied: frozenset = frozenset()
    crashes: int = 0
    written: int = 0


@dataclass(frozen=True)
class Bounds:
    """How far the search goes."""

    submitters: int
    records: int
    crashes: int
    takeovers: int
    landings: int = 0
    accepts_only: bool = False


@lru_cache(maxsize=None)
def replay(log):
    """Return the book after a log, and the verdict on its last record."""
    book = ClaimTable(window_s=1e9)
    verdict = Verdict.VOID
    for offset, record in enumerate(log):
        verdict = book.apply(offset, record)
    return book, verdict


def identity(process, rules):
    """Return the identity under which a process writes."""
    start = process.start if rules.identity_per_start else 0
    return f"{process.name}{start}"


def steps(world, bounds, rules):
    """Yield every state that can follow a state."""
    for record in world.flying:
        yield replace(
            world,
            log=(*world.log, record),
            flying=world.flying - {record},
        )
        again = isinstance(record, Accept) or not bounds.accepts_only
        if again and record not in world.log:
            if len(world.log) < bounds.landings:
                yield replace(world, log=(*world.log, record))
    for index, process in enumerate(world.processes):
        yield from process_steps(world, index, process, bounds, rules)


def process_steps(world, index, process, bounds, rules):
    """Yield every state that one process can bring about."""

    def become(changed, *, record=None, **parts):
        rows = list(world.processes)
        rows[index] = changed
        if record is not None:
            parts["flying"] = world.flying | {record}
            parts["written"] = world.written + 1
        return replace(world, processes=tuple(rows), **parts)

    room = world.written < bounds.records
    me = identity(process, rules)
    book, _ = replay(world.log[: process.applied])
    claim = book.claims.get(KEY)
    if room and not process.submission and index < bounds.submitters:
        name = f"s{index}.{process.start}"
        accept = Accept(KEY, name, me, "a", "p", b"", 1000.0)
        yield become(replace(process, submission=name), record=accept)
    if process.applied < len(world.log):
        yield from read_steps(world, process, become, me, room, rules)
    if room and process.submission and not process.refusing:
        refuse = Refuse(KEY, process.submission, 3006, 1000.0)
        denied = world.denied
        if not rules.refuse_read_back and claim is None:
            denied = denied | {process.submission}
        yield become(
            replace(process, refusing=True), record=refuse, denied=denied
        )
    taken = sum(
        isinstance(record, Takeover) for record in (*world.log, *world.flying)
    )
    heir = claim is not None and claim.owner != me
    if room and heir and claim.state is ClaimState.OPEN:
        if taken < bounds.takeovers:
            takeover = Takeover(
                KEY, claim.submission, me, claim.epoch + 1, 1000.0
            )
            yield become(process, record=takeover)
    if world.crashes < bounds.crashes:
        fresh = Process(process.name, start=process.start + 1)
        yield become(fresh, crashes=world.crashes + 1)


def read_steps(world, process, become, me, room, rules):
    """Yield the state after a process reads its next record."""
    record = world.log[process.applied]
    book, verdict = replay(world.log[: process.applied + 1])
    read = replace(process, applied=process.applied + 1)
    applied = verdict is Verdict.APPLIED
    owns = isinstance(record, (Accept, Takeover)) and record.owner == me
    claim = book.claims.get(KEY)
    if applied and owns and room:
        dispatch = Dispatch(KEY, record.submission, me, claim.epoch, 1000.0)
        executed = world.executed
        if not rules.dispatch_read_back:
            executed = (*executed, record.submission)
        yield become(read, record=dispatch, executed=executed)
        return
    if applied and isinstance(record, Dispatch) and record.owner == me:
        if rules.dispatch_read_back and not process.sent:
            yield become(
                replace(read, sent=True),
                executed=(*world.executed, record.submission),
            )
            return
    if applied and isinstance(record, Refuse):
        denied = denied_by(world.log[: process.applied + 1], record)
        if process.submission in denied:
            yield become(read, denied=world.denied | {process.submission})
            return
    yield become(read)


def denied_by(log, refuse):
    """Return the submissions whose callers hear "not run" of a Refuse.

    Beside its own, those that were judged duplicates of it: their callers
    are told what became of the one in force.
    """
    claim = replay(log)[0].claims.get(KEY)
    if claim is None or claim.submission != refuse.submission:
        return {refuse.submission}
    twins = {record.submission for record in log if isinstance(record, Accept)}
    return twins | {refuse.submission}


def violation(world):
    """Return what a state breaks, '' if nothing."""
    if len(world.executed) > 1:
        return "run twice"
    if set(world.executed) & world.denied:
        return "run after not run"
    return ""


def search(bounds, rules, names="ab"):
    """Return the violations found and the number of states seen."""
    first = World(processes=tuple(Process(name) for name in names))
    seen = {first}
    waiting = [first]
    found = set()
    while waiting and len(seen) < STATES_MOST:
        world = waiting.pop()
        broken = violation(world)
        if broken:
            found.add(broken)
            continue
        for following in steps(world, bounds, rules):
            if following not in seen:
                seen.add(following)
                waiting.append(following)
    assert len(seen) < STATES_MOST, "the search was cut off"
    return found, len(seen)


BOUNDS = [
    Bounds(submitters=1, records=5, crashes=1, takeovers=1),
    Bounds(submitters=2, records=5, crashes=0, takeovers=1),
    Bounds(submitters=2, records=4, crashes=1, takeovers=1),
    Bounds(submitters=1, records=6, crashes=0, takeovers=2),
    Bounds(submitters=2, records=6, crashes=0, takeovers=2),
    Bounds(submitters=1, records=4, crashes=0, takeovers=1, landings=2),
    Bounds(2, 4, crashes=0, takeovers=0, landings=3, accepts_only=True),
]
BROKEN = [
    (Rules(refuse_read_back=False), "run after not run"),
    (Rules(identity_per_start=False), "run twice"),
    (Rules(dispatch_read_back=False), "run twice"),
]


@pytest.mark.parametrize("bounds", BOUNDS)
def test_rules_hold_in_every_order(bounds, record_property):
    found, states = search(bounds, Rules())
    record_property("states", states)
    assert found == set()
    assert states > 1000


@pytest.mark.parametrize("rules, broken", BROKEN)
def test_search_finds_what_breaks_without_a_rule(rules, broken):
    found, _ = search(BOUNDS[0], rules)
    assert broken in found
