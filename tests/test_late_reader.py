"""Claim readers that start on a trimmed log agree with all others."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from checkers import violations
from magnoliaflow.common.codes import Code
from magnoliaflow.common.records import Accept
from magnoliaflow.common.records import Dispatch
from magnoliaflow.common.records import Mark
from magnoliaflow.common.records import Outcome
from magnoliaflow.common.records import Refuse
from magnoliaflow.common.records import Restate
from magnoliaflow.common.records import Takeover
from magnoliaflow.core.state import CLAIM_STREAM
from magnoliaflow.work.claims import ClaimState
from magnoliaflow.work.claims import ClaimTable
from magnoliaflow.work.claims import Verdict

WINDOW_S = 100.0
START_TIME = 1000.0
KEYS = ("a/1000-x", "a/1001-y")


def make_record(kind, key, submission, owner, epoch, at):
    """Return a claim record of the given kind."""
    return {
        "accept": Accept(key, submission, owner, "a", "p", b"", at),
        "dispatch": Dispatch(key, submission, owner, epoch, at),
        "takeover": Takeover(key, submission, owner, epoch, at),
        "refuse": Refuse(key, submission, int(Code.NOT_STARTED), at),
        "outcome": Outcome(key, submission, epoch, 1000, b"", at),
    }[kind]


RECORD_FIELDS = st.lists(
    st.tuples(
        st.sampled_from(
            ["accept", "dispatch", "takeover", "refuse", "outcome"]
        ),
        st.sampled_from(KEYS),
        st.sampled_from(["s1", "s2"]),
        st.sampled_from(["o1", "o2"]),
        st.integers(0, 2),
    ),
    max_size=14,
)


def make_restate(claim, claim_table, at):
    """Return a Restate of a claim as of the table's last record."""
    return Restate(
        claim.key,
        claim.submission,
        claim.owner,
        claim.epoch,
        claim.state is ClaimState.DISPATCHED,
        claim.account,
        claim.profile,
        claim.body,
        claim_table.applied,
        at,
    )


def unsettled_claims(claim_table):
    """Return the unsettled claims of a table by key."""
    return {
        claim.key: (claim.submission, claim.owner, claim.epoch, claim.state)
        for claim in claim_table.unsettled()
    }


@given(RECORD_FIELDS, RECORD_FIELDS, st.integers(0, 14), st.integers(0, 14))
def test_late_reader_agrees(trimmed, retained, trim, delay):
    """A late reader agrees however late the Restates land.

    The settings require trimmed records to be older than the key window, so
    their keys cannot be accepted again.
    """
    records = [
        make_record(kind, f"{key}", f"{sub}{key}", owner, epoch, START_TIME)
        for kind, key, sub, owner, epoch in trimmed
    ]
    full_reader = ClaimTable(window_s=WINDOW_S)
    for offset, record in enumerate(records):
        full_reader.apply(offset, record)
    restated_at = START_TIME + 2 * WINDOW_S
    trimmed_count = len(records)
    restatement = [Mark(trimmed_count - 1, restated_at, restated_at)]
    restatement += [
        make_restate(claim, full_reader, restated_at)
        for claim in full_reader.unsettled()
    ]
    records_read = [
        make_record(kind, key, f"{sub}{key}", owner, epoch, restated_at)
        for kind, key, sub, owner, epoch in retained
    ]
    landing = min(delay, len(records_read))
    records_read[landing:landing] = restatement
    late_reader = ClaimTable(window_s=WINDOW_S)
    late_reader.restart(trimmed_count)
    for number, record in enumerate(records_read):
        full_reader.apply(trimmed_count + number, record)
        late_reader.apply(trimmed_count + number, record)
    assert late_reader.complete
    for key, state in unsettled_claims(late_reader).items():
        assert unsettled_claims(full_reader).get(key) == state
    assert unsettled_claims(late_reader) == unsettled_claims(full_reader)


def test_a_stale_restate_is_ignored():
    """A Restate that does not cover all trimmed records is ignored."""
    claim_table = ClaimTable(window_s=WINDOW_S)
    claim_table.restart(10)
    claim_table.apply(10, Mark(9, START_TIME, START_TIME))
    stale = Restate(KEYS[0], "s", "o", 0, False, "a", "p", b"", 5, START_TIME)
    assert claim_table.apply(11, stale) is Verdict.VOID
    assert not claim_table.claims


def test_records_after_a_restates_as_of_are_applied():
    """A Dispatch between a Restate's as_of and its offset is applied."""
    claim_table = ClaimTable(window_s=WINDOW_S)
    claim_table.restart(10)
    claim_table.apply(10, Mark(9, START_TIME, START_TIME))
    claim_table.apply(11, Dispatch(KEYS[0], "s", "o", 0, START_TIME))
    claim_table.apply(
        12, Restate(KEYS[0], "s", "o", 0, False, "a", "p", b"", 10, START_TIME)
    )
    assert claim_table.claims[KEYS[0]].state is ClaimState.DISPATCHED


@pytest.mark.parametrize("dispatched_at", ["trimmed", "retained"])
def test_a_refuse_before_its_restate_loses_no_dispatched_claim(dispatched_at):
    """The reader does not know the claim yet when it reads the Refuse."""
    was_dispatched = dispatched_at == "trimmed"
    claim_table = ClaimTable(window_s=WINDOW_S)
    claim_table.restart(10)
    claim_table.apply(10, Mark(9, START_TIME, START_TIME))
    if not was_dispatched:
        claim_table.apply(11, Dispatch(KEYS[0], "s", "o", 0, START_TIME))
    claim_table.apply(
        12, Refuse(KEYS[0], "s", int(Code.NOT_STARTED), START_TIME)
    )
    restate = Restate(
        KEYS[0], "s", "o", 0, was_dispatched, "a", "p", b"", 9, START_TIME
    )
    assert claim_table.apply(13, restate) is Verdict.APPLIED
    assert claim_table.claims[KEYS[0]].state is ClaimState.DISPATCHED


def test_expired_key_is_refused_by_every_reader():
    """The age of a key is relative to the times in the log's records."""
    claim_table = ClaimTable(window_s=WINDOW_S)
    written_at = START_TIME + 3 * WINDOW_S
    claim_table.apply(0, Refuse(KEYS[1], "other", 3006, written_at))
    record = Accept(KEYS[0], "s", "o", "a", "p", b"", START_TIME)
    assert claim_table.apply(1, record) is Verdict.VOID


def test_late_reader_learns_a_claim_older_than_retention(make_world):
    """Restates keep an open claim known past retention; it runs once."""
    world = make_world(11, timings={"retention_s": 40.0, "key_window_s": 15.0})
    for service in world.services.values():
        service.alive = False
    call = world.call("voucher-booking", key="v", at="entry-1")
    world.run(30.0)
    world.log.keep = 4
    world.run(30.0)
    first_offset = world.log.first_offsets[CLAIM_STREAM]
    world.kill("entry-2")
    world.run(1.0)
    late_node = world.start("entry-2")
    known = world.run_until(
        lambda: f"{call.account}/{call.key}" in late_node.state.claims.claims,
        limit=30.0,
    )
    for service in world.services.values():
        service.alive = True
    assert world.settle(limit=30.0)
    assert first_offset > 1 and known
    assert call.code is Code.DONE
    assert violations(world) == []
