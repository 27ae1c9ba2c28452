"""This process's dealings with the log: appends, reads, outages."""

from collections.abc import Callable
from itertools import islice

from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.records import Record
from magnoliaflow.common.records import RecordBody
from magnoliaflow.core.commands import Append
from magnoliaflow.core.inputs import AppendEnded
from magnoliaflow.core.inputs import RecordsRead
from magnoliaflow.core.inputs import StreamTrimmed
from magnoliaflow.core.state import GatewayState
from magnoliaflow.core.state import PendingAppend
from magnoliaflow.core.state import PROFILE_STREAM
from magnoliaflow.core.systems import handles
from magnoliaflow.core.systems import system

GROUP_COMMIT_RECORDS = 256
APPEND_RETRY_S = 0.5


def append(state: GatewayState, stream: str, body: RecordBody) -> str:
    """Let a record wait for the next append; return its id.

    It is appended again until it is read back: every rule makes a second
    copy of a record void.
    """
    record = Record(state.next_id("r"), body)
    state.pending_appends.put(record.record_id, PendingAppend(stream, record))
    return record.record_id


@system(70)
def commit(state: GatewayState) -> None:
    """Append all that waits, in one call for each stream."""
    if not len(state.pending_appends):
        return
    for stream in state.cursors:
        if any(
            row.append_running
            for row in state.pending_appends
            if row.stream == stream
        ):
            continue
        waiting = (
            row
            for row in state.pending_appends
            if row.stream == stream and row.retry_at <= state.now
        )
        group = list(islice(waiting, GROUP_COMMIT_RECORDS))
        if not group:
            continue
        for row in group:
            row.append_running = True
        state.emit(Append(stream, tuple(row.record for row in group)))


@handles(AppendEnded)
def end_append(state: GatewayState, item: AppendEnded) -> None:
    """Set the time after which a record not read back is tried again."""
    wait = APPEND_RETRY_S * (4 if item.succeeded else 1)
    for record_id in item.record_ids:
        row = state.pending_appends.get(record_id)
        if row is None:
            continue
        row.append_running = False
        row.retry_at = state.now + wait * (0.5 + state.rng.random())


@handles(RecordsRead)
def take_records(state: GatewayState, item: RecordsRead) -> None:
    """Apply records in order of their offsets, each once."""
    cursor = state.cursors[item.stream]
    if item.from_log:
        cursor.last_read_at = state.now
        if not state.log_up:
            state.log_up = True
            state.log(LogEvent.LOG_UP)
    for entry in item.records:
        if entry.offset != cursor.next_offset:
            continue
        cursor.next_offset += 1
        if entry.record is None:
            state.log(LogEvent.RECORD_UNREADABLE, offset=entry.offset)
            continue
        state.pending_appends.drop(entry.record.record_id)
        APPLIERS[item.stream](state, entry.offset, entry.record)
    state.metrics.applied_offset.labels(item.stream).set(
        cursor.next_offset - 1
    )


Applier = Callable[[GatewayState, int, Record], None]
APPLIERS: dict[str, Applier] = {}


def applies(stream: str) -> Callable[[Applier], Applier]:
    """Register what applies a stream's records."""

    def register(function: Applier) -> Applier:
        APPLIERS[stream] = function
        return function

    return register


@applies(PROFILE_STREAM)
def apply_profile(state: GatewayState, offset: int, rec: Record) -> None:
    """Apply a record of the profile stream."""
    if state.profiles.apply(offset, rec.body):
        state.log(
            LogEvent.PROFILE_IN_FORCE,
            offset=offset,
            profile=getattr(rec.body, "name", ""),
        )


@system(40)
def judge_log(state: GatewayState) -> None:
    """Take the log for down when a stream was not read for too long."""
    limit = state.cfg.timings.log_down_s
    oldest = min(cursor.last_read_at for cursor in state.cursors.values())
    if state.log_up and state.now - oldest > limit:
        state.log_up = False
        state.log(LogEvent.LOG_DOWN)
    state.metrics.log_up.set(1 if state.log_up else 0)


@handles(StreamTrimmed)
def skip_trimmed(state: GatewayState, item: StreamTrimmed) -> None:
    """Begin a stream anew because records were gone before being read."""
    cursor = state.cursors[item.stream]
    if item.first_offset <= cursor.next_offset:
        return
    state.log(
        LogEvent.LOG_TRIMMED,
        stream=item.stream,
        first_offset=item.first_offset,
    )
    cursor.next_offset = item.first_offset
    book = state.profiles if item.stream == PROFILE_STREAM else state.claims
    book.restart(item.first_offset)
