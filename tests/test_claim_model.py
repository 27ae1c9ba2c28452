"""Bounded exhaustive search over the record rules of non-idempotent work.

The rules under test are ClaimTable's, replayed over every order in which
records can land.  Readers may lag, records may land late or never, and
processes may crash and restart; every step is tried at each time at which
the rules allow it.
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
MAX_STATES = 400_000


@dataclass(frozen=True)
class Rules:
    """Safety rules, each of which the search can disable."""

    refuse_read_back: bool = True
    identity_per_incarnation: bool = True
    dispatch_read_back: bool = True


@dataclass(frozen=True)
class Process:
    """One incarnation of a process and how far it has read."""

    name: str
    incarnation: int = 0
    applied: int = 0
    submission: str = ""
    refusing: bool = False
    sent: bool = False


@dataclass(frozen=True)
class SearchState:
    """A state of the search."""

    log: tuple = ()
    pending_records: frozenset = frozenset()
    processes: tuple = ()
    executed: tuple = ()
    reported_not_run: frozenset = frozenset()
    crashes: int = 0
    written: int = 0


@dataclass(frozen=True)
class Bounds:
    """Limits of the search.

    While the log is shorter than ``duplicates_until``, a record may land
    twice.
    """

    submitters: int
    records: int
    crashes: int
    takeovers: int
    duplicates_until: int = 0
    duplicate_accepts_only: bool = False


@lru_cache(maxsize=None)
def replay(log):
    """Return the claim table after a log and the last record's verdict."""
    claim_table = ClaimTable(window_s=1e9)
    verdict = Verdict.VOID
    for offset, record in enumerate(log):
        verdict = claim_table.apply(offset, record)
    return claim_table, verdict


def identity(process, rules):
    """Return the identity under which a process writes."""
    incarnation = process.incarnation if rules.identity_per_incarnation else 0
    return f"{process.name}{incarnation}"


def next_states(state, bounds, rules):
    """Yield every state that can follow a state."""
    for record in state.pending_records:
        yield replace(
            state,
            log=(*state.log, record),
            pending_records=state.pending_records - {record},
        )
        may_duplicate = (
            isinstance(record, Accept) or not bounds.duplicate_accepts_only
        )
        if may_duplicate and record not in state.log:
            if len(state.log) < bounds.duplicates_until:
                yield replace(state, log=(*state.log, record))
    for index, process in enumerate(state.processes):
        yield from next_process_states(state, index, process, bounds, rules)


def next_process_states(state, index, process, bounds, rules):
    """Yield every state that a step of one process leads to."""

    def with_process(changed, *, record=None, **changes):
        processes = list(state.processes)
        processes[index] = changed
        if record is not None:
            changes["pending_records"] = state.pending_records | {record}
            changes["written"] = state.written + 1
        return replace(state, processes=tuple(processes), **changes)

    may_write = state.written < bounds.records
    own_identity = identity(process, rules)
    claim_table, _ = replay(state.log[: process.applied])
    claim = claim_table.claims.get(KEY)
    if may_write and not process.submission and index < bounds.submitters:
        name = f"s{index}.{process.incarnation}"
        accept = Accept(KEY, name, own_identity, "a", "p", b"", 1000.0)
        yield with_process(replace(process, submission=name), record=accept)
    if process.applied < len(state.log):
        yield from states_after_read(
            state, process, with_process, own_identity, may_write, rules
        )
    if may_write and process.submission and not process.refusing:
        refuse = Refuse(KEY, process.submission, 3006, 1000.0)
        reported_not_run = state.reported_not_run
        if not rules.refuse_read_back and claim is None:
            reported_not_run = reported_not_run | {process.submission}
        yield with_process(
            replace(process, refusing=True),
            record=refuse,
            reported_not_run=reported_not_run,
        )
    takeovers = sum(
        isinstance(record, Takeover)
        for record in (*state.log, *state.pending_records)
    )
    can_take_over = claim is not None and claim.owner != own_identity
    if may_write and can_take_over and claim.state is ClaimState.OPEN:
        if takeovers < bounds.takeovers:
            takeover = Takeover(
                KEY, claim.submission, own_identity, claim.epoch + 1, 1000.0
            )
            yield with_process(process, record=takeover)
    if state.crashes < bounds.crashes:
        restarted = Process(process.name, incarnation=process.incarnation + 1)
        yield with_process(restarted, crashes=state.crashes + 1)


def states_after_read(
    state, process, with_process, own_identity, may_write, rules
):
    """Yield the state after a process reads its next record."""
    record = state.log[process.applied]
    claim_table, verdict = replay(state.log[: process.applied + 1])
    after_read = replace(process, applied=process.applied + 1)
    applied = verdict is Verdict.APPLIED
    owned = (
        isinstance(record, (Accept, Takeover)) and record.owner == own_identity
    )
    claim = claim_table.claims.get(KEY)
    if applied and owned and may_write:
        dispatch = Dispatch(
            KEY, record.submission, own_identity, claim.epoch, 1000.0
        )
        executed = state.executed
        if not rules.dispatch_read_back:
            executed = (*executed, record.submission)
        yield with_process(after_read, record=dispatch, executed=executed)
        return
    if (
        applied
        and isinstance(record, Dispatch)
        and record.owner == own_identity
    ):
        if rules.dispatch_read_back and not process.sent:
            yield with_process(
                replace(after_read, sent=True),
                executed=(*state.executed, record.submission),
            )
            return
    if applied and isinstance(record, Refuse):
        affected = reported_not_run_after(
            state.log[: process.applied + 1], record
        )
        if process.submission in affected:
            yield with_process(
                after_read,
                reported_not_run=state.reported_not_run | {process.submission},
            )
            return
    yield with_process(after_read)


def reported_not_run_after(log, refuse):
    """Return the submissions whose callers a Refuse reports as not run.

    Besides its own, these are the duplicates of the submission in force,
    whose callers get that submission's result.
    """
    claim = replay(log)[0].claims.get(KEY)
    if claim is None or claim.submission != refuse.submission:
        return {refuse.submission}
    submissions = {
        record.submission for record in log if isinstance(record, Accept)
    }
    return submissions | {refuse.submission}


def violation(state):
    """Return the violation in a state, '' if there is none."""
    if len(state.executed) > 1:
        return "run twice"
    if set(state.executed) & state.reported_not_run:
        return "run after not run"
    return ""


def search(bounds, rules, names="ab"):
    """Return the violations found and the number of states seen."""
    initial = SearchState(processes=tuple(Process(name) for name in names))
    seen = {initial}
    unexplored = [initial]
    found = set()
    while unexplored and len(seen) < MAX_STATES:
        state = unexplored.pop()
        found_violation = violation(state)
        if found_violation:
            found.add(found_violation)
            continue
        for next_state in next_states(state, bounds, rules):
            if next_state not in seen:
                seen.add(next_state)
                unexplored.append(next_state)
    assert len(seen) < MAX_STATES, "the search exceeded MAX_STATES"
    return found, len(seen)


BOUNDS = [
    Bounds(submitters=1, records=5, crashes=1, takeovers=1),
    Bounds(submitters=2, records=5, crashes=0, takeovers=1),
    Bounds(submitters=2, records=4, crashes=1, takeovers=1),
    Bounds(submitters=1, records=6, crashes=0, takeovers=2),
    Bounds(submitters=2, records=6, crashes=0, takeovers=2),
    Bounds(
        submitters=1, records=4, crashes=0, takeovers=1, duplicates_until=2
    ),
    Bounds(
        2,
        4,
        crashes=0,
        takeovers=0,
        duplicates_until=3,
        duplicate_accepts_only=True,
    ),
]
DISABLED_RULES = [
    (Rules(refuse_read_back=False), "run after not run"),
    (Rules(identity_per_incarnation=False), "run twice"),
    (Rules(dispatch_read_back=False), "run twice"),
]


@pytest.mark.parametrize("bounds", BOUNDS)
def test_rules_hold_in_every_order(bounds, record_property):
    found, states = search(bounds, Rules())
    record_property("states", states)
    assert found == set()
    assert states > 1000


@pytest.mark.parametrize("rules, expected", DISABLED_RULES)
def test_search_finds_what_breaks_without_a_rule(rules, expected):
    found, _ = search(BOUNDS[0], rules)
    assert expected in found
