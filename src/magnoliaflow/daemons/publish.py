"""Publication of profile changes on the log."""

from collections.abc import Generator
from dataclasses import dataclass
from os import urandom
from time import monotonic
from time import time
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks

from magnoliaflow.cluster.positions import era_of
from magnoliaflow.cluster.positions import make_position
from magnoliaflow.cluster.profiles import Decision
from magnoliaflow.cluster.profiles import ProfileTable
from magnoliaflow.common.codec import decode_record
from magnoliaflow.common.codec import encode_record
from magnoliaflow.common.errors import MagnoliaflowError
from magnoliaflow.common.errors import RecordError
from magnoliaflow.common.errors import RestoredError
from magnoliaflow.common.errors import TrimmedError
from magnoliaflow.common.records import ProfileChange
from magnoliaflow.common.records import Record
from magnoliaflow.core.state import PROFILE_STREAM

# Time in which gateways write again what a log that went back has lost.
CONFIRMATION_WAIT_S = 10.0

DeferredGenerator = Generator[Deferred[Any], Any, Any]


@dataclass(slots=True)
class HistoryEntry:
    """A profile change read from the log."""

    offset: int
    change: ProfileChange
    took_effect: bool


class ProfileReader:
    """Reads the profile stream for a command."""

    def __init__(self, log_port: Any) -> None:
        self.log_port = log_port
        self.profile_table = ProfileTable()
        self.history: list[HistoryEntry] = []
        self.next_offset = 0
        self.era = 0

    @property
    def position(self) -> int:
        """Return the position of the next record."""
        return make_position(self.era, self.next_offset)

    def is_confirmed(self) -> bool:
        """Return whether a gateway has confirmed the profiles of this era.

        After the log went back, it may lack changes that are in force.
        """
        confirmed_era = era_of(self.profile_table.snapshot_as_of)
        return self.era == 0 or confirmed_era >= self.era

    @inlineCallbacks
    def read_page(self) -> DeferredGenerator:
        """Apply the next page; return whether there are more."""
        try:
            page = yield self.log_port.read(
                PROFILE_STREAM, self.next_offset, self.era
            )
        except RestoredError as exc:
            self.era = exc.era
            self.next_offset = 0
            self.history.clear()
            return True
        except TrimmedError as exc:
            self.next_offset = exc.first_offset
            self.profile_table.restart(self.position)
            return True
        for entry in page.records:
            self.next_offset = entry.offset + 1
            try:
                body = decode_record(entry.data).body
            except RecordError:
                continue
            took_effect = self.profile_table.apply(
                make_position(self.era, entry.offset), body
            )
            if isinstance(body, ProfileChange):
                self.history.append(
                    HistoryEntry(entry.offset, body, took_effect)
                )
        return self.next_offset < page.end

    @inlineCallbacks
    def read_all(self) -> DeferredGenerator:
        """Apply every record in the stream."""
        more = True
        while more:
            more = yield self.read_page()
        return self.profile_table


@inlineCallbacks
def publish_change(
    reader: ProfileReader,
    *,
    name: str,
    spec: str,
    operator: str,
    base_version: int | None = None,
    wait_s: float = 10.0,
) -> DeferredGenerator:
    """Publish a change and return the decision on it.

    PENDING means that the change may still take effect: its record was
    sent but not read back in time.  If the log goes back meanwhile, it is
    sent again: its id keeps it from taking effect twice.
    """
    yield reader.read_all()
    confirmed_by = monotonic() + CONFIRMATION_WAIT_S
    while not reader.is_confirmed() and monotonic() < confirmed_by:
        yield reader.read_page()
    base = base_version
    if base is None:
        base = reader.profile_table.version(name)
    change = ProfileChange(
        urandom(8).hex(), name, base, spec, operator, time()
    )
    data = encode_record(Record(change.change_id, change))
    deadline = monotonic() + wait_s
    sent_in_era = -1
    while monotonic() < deadline:
        if sent_in_era != reader.era:
            sent_in_era = reader.era
            try:
                yield reader.log_port.append(PROFILE_STREAM, (data,))
            except MagnoliaflowError:
                pass
        decision = reader.profile_table.decision(change.change_id)
        if decision is not Decision.PENDING:
            return decision
        try:
            yield reader.read_page()
        except MagnoliaflowError:
            continue
    return reader.profile_table.decision(change.change_id)
