"""A claim reader that begins at a trimmed log agrees with all others."""

from hypothesis import given
from hypothesis import strategies as st

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
START = 1000.0
KEYS = ("a/1000-x", "a/1001-y")


def body_of(kind, key, submission, owner, epoch, at):
    """Return a record of one kind."""
    return {
        "accept": Accept(key, submission, owner, "a", "p", b"", at),
        "dispatch": Dispatch(key, submission, owner, epoch, at),
        "takeover": Takeover(key, submission, owner, epoch, at),
        "refuse": Refuse(key, submission, int(Code.NOT_STARTED), at),
        "outcome": Outcome(key, submission, epoch, 1000, b"", at),
    }[kind]


STEPS = st.lists(
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


def restate_of(claim, book, at):
    """Return the Restate that a writer makes of a claim."""
    return Restate(
        claim.key,
        claim.submission,
        claim.owner,
        claim.epoch,
        claim.state is ClaimState.DISPATCHED,
        claim.account,
        claim.profile,
        claim.body,
        book.applied,
        at,
    )


def seen(book):
    """Return the unsettled claims as a reader knows them."""
    return {
        claim.key: (claim.submission, claim.owner, claim.epoch, claim.state)
        for claim in book.unsettled()
    }


@given(STEPS, STEPS, st.integers(0, 14), st.integers(0, 14))
def test_late_reader_agrees(before, after, trim, delay):
    """Restates land after any delay; the late reader still agrees.

    The trimmed part is older than the window, as settings demand, so its
    keys cannot be accepted anew.
    """
    records = [
        body_of(kind, f"{key}", f"{sub}{key}", owner, epoch, START)
        for kind, key, sub, owner, epoch in before
    ]
    whole = ClaimTable(window_s=WINDOW_S)
    for offset, record in enumerate(records):
        whole.apply(offset, record)
    later = START + 2 * WINDOW_S
    whole_at = len(records)
    news = [Mark(whole_at - 1, later, later)]
    news += [restate_of(claim, whole, later) for claim in whole.unsettled()]
    tail = [
        body_of(kind, key, f"{sub}{key}", owner, epoch, later)
        for kind, key, sub, owner, epoch in after
    ]
    cut = min(delay, len(tail))
    tail[cut:cut] = news
    late = ClaimTable(window_s=WINDOW_S)
    late.restart(whole_at)
    for number, record in enumerate(tail):
        whole.apply(whole_at + number, record)
        late.apply(whole_at + number, record)
    assert late.complete
    for key, state in seen(late).items():
        assert seen(whole).get(key) == state
    assert seen(late) == seen(whole)


def test_a_stale_restate_is_ignored():
    """A Restate from before what a reader missed tells it nothing."""
    book = ClaimTable(window_s=WINDOW_S)
    book.restart(10)
    book.apply(10, Mark(9, START, START))
    stale = Restate(KEYS[0], "s", "o", 0, False, "a", "p", b"", 5, START)
    assert book.apply(11, stale) is Verdict.VOID
    assert not book.claims


def test_records_after_a_restate_count():
    """A Dispatch between a Restate's as_of and its offset is not lost."""
    book = ClaimTable(window_s=WINDOW_S)
    book.restart(10)
    book.apply(10, Mark(9, START, START))
    book.apply(11, Dispatch(KEYS[0], "s", "o", 0, START))
    book.apply(
        12, Restate(KEYS[0], "s", "o", 0, False, "a", "p", b"", 10, START)
    )
    assert book.claims[KEYS[0]].state is ClaimState.DISPATCHED


def test_expired_key_is_refused_by_every_reader():
    """The age of a key is judged by the log's own time."""
    book = ClaimTable(window_s=WINDOW_S)
    late = START + 3 * WINDOW_S
    book.apply(0, Refuse(KEYS[1], "other", 3006, late))
    record = Accept(KEYS[0], "s", "o", "a", "p", b"", START)
    assert book.apply(1, record) is Verdict.VOID


def test_claim_outlives_retention_and_a_late_reader_drives_it(make_world):
    """Restates carry an open claim past retention; it runs once."""
    world = make_world(11, timings={"retention_s": 40.0, "key_window_s": 15.0})
    for service in world.services.values():
        service.alive = False
    call = world.call("voucher-booking", key="v", at="entry-1")
    world.run(30.0)
    world.log.keep = 4
    world.run(30.0)
    first = world.log.first_offsets[CLAIM_STREAM]
    world.kill("entry-2")
    world.run(1.0)
    late = world.start("entry-2")
    known = world.run_until(
        lambda: f"{call.account}/{call.key}" in late.state.claims.claims,
        limit=30.0,
    )
    for service in world.services.values():
        service.alive = True
    assert world.settle(limit=30.0)
    assert first > 1 and known
    assert call.code is Code.DONE
    assert violations(world) == []
