"""Reading and writing again after the log has gone back.

A log that comes back from a copy has lost its latest records and gives out
their offsets again.  Each process reads it from the beginning and compares it
with what it had read before.  The process next in line, and after a while any
process, writes again what is missing.  Until then nothing else is written, so
that no key starts anew whose claim was lost.
"""

from collections.abc import Callable
from collections.abc import Iterator

from magnoliaflow.cluster.profiles import ProfileTable
from magnoliaflow.common.codes import Code
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.records import Outcome
from magnoliaflow.common.records import ProfileSnapshot
from magnoliaflow.common.records import RecordBody
from magnoliaflow.common.records import Refuse
from magnoliaflow.core.inputs import StreamRestored
from magnoliaflow.core.state import CLAIM_STREAM
from magnoliaflow.core.state import GatewayState
from magnoliaflow.core.state import PROFILE_STREAM
from magnoliaflow.core.state import StreamCursor
from magnoliaflow.core.state import StreamRestore
from magnoliaflow.core.systems import handles
from magnoliaflow.core.systems import system
from magnoliaflow.serving.claimtakeover import make_restate
from magnoliaflow.serving.logstreams import append
from magnoliaflow.serving.membership import successor_of
from magnoliaflow.work.claims import Claim
from magnoliaflow.work.claims import ClaimState
from magnoliaflow.work.claims import ClaimTable
from magnoliaflow.work.claims import key_created_at

# Time in which all processes that reach the log notice that it went back, by
# the end of a read that got no answer, and write what is missing.
SETTLE_S = 5.0
# Time before the end of SETTLE_S at which any process writes what is missing.
LAST_CHANCE_S = 2.0
# Settled claims that changed earlier than this are not written again: a copy
# is some seconds old.
MAX_LOST_S = 600.0

LostRecords = Callable[
    [GatewayState, StreamRestore, bool], Iterator[RecordBody]
]
LOST_RECORDS: dict[str, LostRecords] = {}


def finds_lost(stream: str) -> Callable[[LostRecords], LostRecords]:
    """Register the function that returns what a stream has lost.

    Its last argument tells whether to return what other processes are next
    in line for.
    """

    def register(function: LostRecords) -> LostRecords:
        LOST_RECORDS[stream] = function
        return function

    return register


@handles(StreamRestored)
def handle_restored(state: GatewayState, restored: StreamRestored) -> None:
    """Begin to read a stream again."""
    cursor = state.cursors[restored.stream]
    if restored.era <= cursor.era:
        return
    known_offset = cursor.next_offset
    if cursor.restore is not None:
        known_offset = max(known_offset, cursor.restore.known_offset)
        for record_id in cursor.restore.record_ids:
            state.pending_appends.drop(record_id)
    if known_offset:
        state.metrics.log_restores.inc()
        state.log(
            LogEvent.STORE_RESTORED,
            stream=restored.stream,
            era=restored.era,
            previous=cursor.era,
            next_offset=cursor.next_offset,
        )
    state.metrics.log_era.set(restored.era)
    cursor.era = restored.era
    cursor.next_offset = 0
    cursor.restore = StreamRestore(
        table=(
            ProfileTable()
            if restored.stream == PROFILE_STREAM
            else ClaimTable(window_s=state.claims.window_s)
        ),
        known_offset=known_offset,
        settles_at=state.now + SETTLE_S,
    )


@system(65)
def write_lost_records(state: GatewayState) -> None:
    """Write again what streams have lost, and end what is settled."""
    for stream, cursor in state.cursors.items():
        restore = cursor.restore
        if restore is None or not restore.caught_up or not state.log_up:
            continue
        is_last = state.now >= restore.settles_at - LAST_CHANCE_S
        if not restore.begun or (is_last and not restore.completed):
            restore.begun = True
            restore.completed = is_last
            _write_lost(state, stream, restore, everything=is_last)
        pending = restore.record_ids & state.pending_appends.rows.keys()
        if state.now >= restore.settles_at and not pending:
            _end_restore(state, stream, cursor)


def _write_lost(
    state: GatewayState,
    stream: str,
    restore: StreamRestore,
    *,
    everything: bool,
) -> None:
    bodies = list(LOST_RECORDS[stream](state, restore, everything))
    restore.record_ids.update(append(state, stream, body) for body in bodies)
    state.log(
        LogEvent.LOG_READ_AGAIN,
        stream=stream,
        era=state.cursors[stream].era,
        end=state.cursors[stream].next_offset,
        lost=len(bodies),
    )
    for body in bodies:
        state.log(
            LogEvent.RECORD_WRITTEN_AGAIN,
            stream=stream,
            era=state.cursors[stream].era,
            record=type(body).__name__,
            request=getattr(body, "key", ""),
        )


def _end_restore(
    state: GatewayState, stream: str, cursor: StreamCursor
) -> None:
    """Allow new records, and make the next mark or snapshot due."""
    cursor.restore = None
    if stream == PROFILE_STREAM:
        state.profiles.last_snapshot_at = state.last_snapshot_at = 0.0
    else:
        state.claims.marked_at = state.last_mark_at = 0.0


@finds_lost(PROFILE_STREAM)
def lost_profiles(
    state: GatewayState, restore: StreamRestore, everything: bool
) -> Iterator[ProfileSnapshot]:
    """Yield a snapshot if a version in force is not on the log."""
    if not everything and successor_of(state, "snapshot") != state.identity:
        return
    logged = restore.table.entries
    if any(
        name not in logged
        or (entry.version, entry.change_id)
        != (logged[name].version, logged[name].change_id)
        for name, entry in state.profiles.entries.items()
    ):
        yield state.profiles.snapshot(written_at=state.wall)


@finds_lost(CLAIM_STREAM)
def lost_claims(
    state: GatewayState, restore: StreamRestore, everything: bool
) -> Iterator[RecordBody]:
    """Yield the records that make the log tell what is known of claims."""
    claim_table = state.claims
    if not claim_table.complete:
        return
    logged = restore.table
    oldest = max(state.wall, claim_table.horizon) - MAX_LOST_S

    def is_next(key: str) -> bool:
        return everything or successor_of(state, key) == state.identity

    for claim in claim_table.claims.values():
        is_settled = claim.state in (ClaimState.CLOSED, ClaimState.REFUSED)
        if is_settled and claim.changed_at < oldest:
            continue
        if claim.owner == state.identity or is_next(claim.key):
            yield from _missing_records(state, claim, logged)
    for submission, key in claim_table.voided.items():
        is_current = claim_table.current(key, submission) is not None
        if is_current or submission in logged.voided:
            continue
        if key_created_at(key) >= oldest and is_next(key):
            code = int(Code.NOT_STARTED)
            yield Refuse(key, submission, code, state.wall)


def _missing_records(
    state: GatewayState, claim: Claim, logged: ClaimTable
) -> Iterator[RecordBody]:
    """Yield what the log lacks of one claim."""
    if claim.state is ClaimState.REFUSED:
        if claim.submission not in logged.voided:
            yield Refuse(claim.key, claim.submission, claim.code, state.wall)
        return
    known = logged.current(claim.key, claim.submission)
    if known is None or known.progress < claim.progress:
        yield make_restate(state, claim)
    is_closed = claim.state is ClaimState.CLOSED
    if is_closed and (known is None or known.state is not ClaimState.CLOSED):
        yield Outcome(
            claim.key,
            claim.submission,
            claim.epoch,
            claim.code,
            claim.result,
            state.wall,
        )
