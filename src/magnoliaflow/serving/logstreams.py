"""Appends to the log's streams, reads from them and log outages."""

from collections.abc import Callable
from itertools import islice

from magnoliaflow.cluster.positions import era_of
from magnoliaflow.cluster.positions import make_position
from magnoliaflow.cluster.positions import offset_of
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.records import Mark
from magnoliaflow.common.records import Record
from magnoliaflow.common.records import RecordBody
from magnoliaflow.core.commands import Append
from magnoliaflow.core.inputs import AppendEnded
from magnoliaflow.core.inputs import RecordsRead
from magnoliaflow.core.inputs import StreamTrimmed
from magnoliaflow.core.state import GatewayState
from magnoliaflow.core.state import PendingAppend
from magnoliaflow.core.state import PROFILE_STREAM
from magnoliaflow.core.state import StreamRestore
from magnoliaflow.core.systems import handles
from magnoliaflow.core.systems import system

MAX_GROUP_COMMIT_RECORDS = 256
APPEND_RETRY_DELAY_S = 0.5


def append(state: GatewayState, stream: str, body: RecordBody) -> str:
    """Queue a record for the next append and return its id.

    The record is appended again until it is read back.  This is safe because
    the rules for applying records ignore duplicates.
    """
    record = Record(state.next_id("r"), body)
    state.pending_appends.put(record.record_id, PendingAppend(stream, record))
    return record.record_id


@system(70)
def commit_pending(state: GatewayState) -> None:
    """Append the queued records, with one call for each stream.

    A stream that went back gets what it has lost before anything else.
    """
    if not len(state.pending_appends):
        return
    for stream, cursor in state.cursors.items():
        restore = cursor.restore
        if any(
            pending.append_running
            for pending in state.pending_appends
            if pending.stream == stream
        ):
            continue
        waiting = (
            pending
            for pending in state.pending_appends
            if pending.stream == stream
            and pending.retry_at <= state.now
            and (
                restore is None
                or pending.record.record_id in restore.record_ids
            )
        )
        group = list(islice(waiting, MAX_GROUP_COMMIT_RECORDS))
        if not group:
            continue
        for pending in group:
            pending.append_running = True
        state.emit(Append(stream, tuple(pending.record for pending in group)))


@handles(AppendEnded)
def handle_append_end(state: GatewayState, append_end: AppendEnded) -> None:
    """Set the retry time of records that were not read back yet."""
    delay_s = APPEND_RETRY_DELAY_S * (4 if append_end.succeeded else 1)
    for record_id in append_end.record_ids:
        pending = state.pending_appends.get(record_id)
        if pending is None:
            continue
        pending.append_running = False
        pending.retry_at = state.now + delay_s * (0.5 + state.rng.random())


@handles(RecordsRead)
def handle_records(state: GatewayState, batch: RecordsRead) -> None:
    """Apply records in order of their offsets, each once."""
    cursor = state.cursors[batch.stream]
    if batch.era != cursor.era:
        return
    if batch.from_log:
        cursor.last_read_at = state.now
        if not state.log_up:
            state.log_up = True
            state.log(LogEvent.LOG_UP)
    for entry in batch.records:
        if entry.offset != cursor.next_offset:
            continue
        cursor.next_offset += 1
        if entry.record is None:
            state.log(LogEvent.RECORD_UNREADABLE, offset=entry.offset)
            continue
        state.pending_appends.drop(entry.record.record_id)
        position = make_position(cursor.era, entry.offset)
        APPLIERS[batch.stream](state, position, entry.record)
        if cursor.restore is not None:
            _apply_restored(state, cursor.restore, position, entry.record)
    if cursor.restore is not None and cursor.next_offset >= batch.end:
        cursor.restore.caught_up = True
    state.metrics.applied_offset.labels(batch.stream).set(
        cursor.next_offset - 1
    )


def _apply_restored(
    state: GatewayState, restore: StreamRestore, position: int, rec: Record
) -> None:
    """Apply a record of a log that went back to the table of its own.

    A mark of the same era tells that others have settled.
    """
    restore.table.apply(position, rec.body)
    if isinstance(rec.body, Mark):
        if era_of(rec.body.as_of) == era_of(position):
            restore.settles_at = min(restore.settles_at, state.now)


Applier = Callable[[GatewayState, int, Record], None]
APPLIERS: dict[str, Applier] = {}


def applies(stream: str) -> Callable[[Applier], Applier]:
    """Register the function that applies a stream's records."""

    def register(function: Applier) -> Applier:
        APPLIERS[stream] = function
        return function

    return register


@applies(PROFILE_STREAM)
def apply_profile(state: GatewayState, position: int, rec: Record) -> None:
    """Apply a record of the profile stream."""
    if state.profiles.apply(position, rec.body):
        state.log(
            LogEvent.PROFILE_IN_FORCE,
            offset=offset_of(position),
            era=era_of(position),
            profile=getattr(rec.body, "name", ""),
        )


@system(40)
def check_log(state: GatewayState) -> None:
    """Consider the log down if a stream was not read for too long."""
    limit_s = state.cfg.timings.log_down_s
    oldest_read_at = min(
        cursor.last_read_at for cursor in state.cursors.values()
    )
    if state.log_up and state.now - oldest_read_at > limit_s:
        state.log_up = False
        state.log(LogEvent.LOG_DOWN)
    state.metrics.log_up.set(1 if state.log_up else 0)


@handles(StreamTrimmed)
def handle_trimmed(state: GatewayState, trimmed: StreamTrimmed) -> None:
    """Restart a stream whose next records were trimmed."""
    cursor = state.cursors[trimmed.stream]
    if trimmed.first_offset <= cursor.next_offset:
        return
    state.log(
        LogEvent.LOG_TRIMMED,
        stream=trimmed.stream,
        first_offset=trimmed.first_offset,
    )
    cursor.next_offset = trimmed.first_offset
    first_position = cursor.position
    restore = cursor.restore
    if restore is not None:
        restore.table.restart(first_position)
        if trimmed.first_offset <= restore.known_offset:
            return
    table = (
        state.profiles if trimmed.stream == PROFILE_STREAM else state.claims
    )
    table.restart(first_position)
