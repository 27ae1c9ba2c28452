"""Operators' changes of profiles, published on the log."""

from collections.abc import Generator
from dataclasses import dataclass
from os import urandom
from time import monotonic
from time import time
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks

from magnoliaflow.cluster.profiles import Decision
from magnoliaflow.cluster.profiles import ProfileTable
from magnoliaflow.common.codec import decode_record
from magnoliaflow.common.codec import encode_record
from magnoliaflow.common.errors import MagnoliaflowError
from magnoliaflow.common.errors import RecordError
from magnoliaflow.common.errors import TrimmedError
from magnoliaflow.common.records import ProfileChange
from magnoliaflow.common.records import Record
from magnoliaflow.core.state import PROFILE_STREAM

Steps = Generator[Deferred[Any], Any, Any]


@dataclass(slots=True)
class HistoryEntry:
    """One change as the log shows it."""

    offset: int
    change: ProfileChange
    took_hold: bool


class ProfileReader:
    """Follows the profile stream for one command."""

    def __init__(self, log_port: Any) -> None:
        self.log_port = log_port
        self.book = ProfileTable()
        self.history: list[HistoryEntry] = []
        self.next_offset = 0

    @inlineCallbacks
    def read_page(self) -> Steps:
        """Apply the next page; return whether more is there."""
        try:
            page = yield self.log_port.read(PROFILE_STREAM, self.next_offset)
        except TrimmedError as exc:
            self.next_offset = exc.first_offset
            self.book.restart(exc.first_offset)
            return True
        for item in page.records:
            self.next_offset = item.offset + 1
            try:
                body = decode_record(item.data).body
            except RecordError:
                continue
            took_hold = self.book.apply(item.offset, body)
            if isinstance(body, ProfileChange):
                self.history.append(HistoryEntry(item.offset, body, took_hold))
        return self.next_offset < page.end

    @inlineCallbacks
    def read_all(self) -> Steps:
        """Apply everything that the stream holds now."""
        more = True
        while more:
            more = yield self.read_page()
        return self.book


@inlineCallbacks
def publish_change(
    reader: ProfileReader,
    *,
    name: str,
    spec: str,
    operator: str,
    base_version: int | None = None,
    wait_s: float = 10.0,
) -> Steps:
    """Publish a change and return what became of it.

    Pending means that the change may still take hold: its record was
    sent and not read back in time.
    """
    yield reader.read_all()
    base = base_version
    if base is None:
        base = reader.book.version(name)
    change = ProfileChange(
        urandom(8).hex(), name, base, spec, operator, time()
    )
    data = encode_record(Record(change.change_id, change))
    try:
        yield reader.log_port.append(PROFILE_STREAM, (data,))
    except MagnoliaflowError:
        pass
    until = monotonic() + wait_s
    while monotonic() < until:
        decision = reader.book.decision(change.change_id)
        if decision is not Decision.PENDING:
            return decision
        try:
            yield reader.read_page()
        except MagnoliaflowError:
            continue
    return reader.book.decision(change.change_id)
