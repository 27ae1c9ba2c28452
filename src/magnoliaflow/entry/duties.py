"""Duties of one host at a time: the lease, usage reports, engine orders.

The lease and each window's usage stand in one log, and every append is
made only where its writer had read the log to its end.  So a report's
content is fixed before it is sent, by a holder that nobody replaced.
"""

from math import inf
from typing import Any

from twisted.internet.defer import inlineCallbacks

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.codec import decode_record
from magnoliaflow.common.codec import encode_record
from magnoliaflow.common.errors import PortError
from magnoliaflow.common.errors import RecordError
from magnoliaflow.common.errors import TrimmedError
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.lifecycle import Phase
from magnoliaflow.common.records import AccountCount
from magnoliaflow.common.records import LeaseClaim
from magnoliaflow.common.records import LeaseRenew
from magnoliaflow.common.records import Record
from magnoliaflow.common.records import UsageReport
from magnoliaflow.entry.follow import note_store_failure
from magnoliaflow.entry.follow import note_store_success
from magnoliaflow.entry.state import EntryState
from magnoliaflow.platform.cloud import CloudClient
from magnoliaflow.platform.store import ConflictError
from magnoliaflow.platform.store import DUTY_TOPIC
from magnoliaflow.platform.store import StoreClient

# Time after a window's end before its usage is reported: beats of all hosts
# have come by then, also over a connection that had to be made anew.
SETTLE_SHARE = 0.4
# Pause after a failed call to the store: a few of its usual answer times.
READ_PAUSE_S = 0.3
# A candidate that heard of no renewal for this share of the lease reads the
# log for them, this often.
LOOK_SHARE = 0.7
LOOK_S = 0.8
# Pause after a failed report; several fit into the delay that is allowed.
CALL_PAUSE_S = 0.5
# Candidates of a large deployment spread their claims over this time.
CLAIM_SPREAD_S = 0.4
SPREAD_HOSTS = 16
# Windows looked back at: one that was due two holders ago is too late.
KEPT = 5


class DutyLog:
    """This host's view of the duties' log, and its appends to it."""

    __slots__ = (
        "busy",
        "caught_up",
        "next_at",
        "read_to",
        "reports",
        "held",
        "looked_at",
        "state",
        "store",
        "spread",
    )

    def __init__(self, state: EntryState, store: StoreClient) -> None:
        self.state = state
        self.store = store
        self.read_to = 0
        self.caught_up = False
        self.busy = False
        self.held = False
        self.next_at = -inf
        self.looked_at = -inf
        self.spread = state.rng.random() * CLAIM_SPREAD_S
        self.reports: dict[int, dict[str, int]] = {}

    def step(self, now: float) -> None:
        """Read, claim or renew, whichever is due."""
        self._note_change(now)
        if self.busy or now < self.next_at:
            return
        if self.state.phase >= Phase.DRAINING:
            return
        if not self.caught_up or self._lapsing(now):
            self._run(self._read())
            return
        if not self.held and not self._claim_due(now):
            return
        record = self.state.keeper.tick(now, self.state.true_time(now))
        if record is not None:
            self._run(self.append(record))

    def _lapsing(self, now: float) -> bool:
        """Return whether to look for renewals that no beat told of."""
        lease_table = self.state.keeper.lease_table
        lease = lease_table.leases.get(self.state.keeper.name)
        if self.held or lease is None or now < self.looked_at + LOOK_S:
            return False
        return now > lease.last_read_at + lease_table.ttl_s * LOOK_SHARE

    def _claim_due(self, now: float) -> bool:
        """Return whether this candidate's turn to claim has come."""
        crowd = min(1.0, len(self.state.hosts) / SPREAD_HOSTS)
        return (
            self.state.keeper.lease_table.may_claim(
                self.state.keeper.name, now - self.spread * crowd
            )
            or self.state.keeper.held_by_local_host()
        )

    def _note_change(self, now: float) -> None:
        held = self.state.keeper.holds(now)
        if held == self.held:
            return
        self.held = held
        self.state.metrics.lease_held.set(int(held))
        event = LogEvent.LEASE_ACQUIRED if held else LogEvent.LEASE_LOST
        self.state.log(event, fence=self.state.keeper.fence)

    def _run(self, work: Any) -> None:
        self.busy = True
        work.addBoth(self._over)

    def _over(self, result: Any) -> Any:
        self.busy = False
        return result

    @inlineCallbacks
    def _read(self) -> Any:
        """Read to the log's end."""
        self.looked_at = boot_time()
        try:
            page = yield self.store.read(DUTY_TOPIC, self.read_to)
        except TrimmedError as exc:
            self.read_to = exc.first_offset
            return
        except PortError as exc:
            note_store_failure(self.state, "duties", exc)
            self.next_at = boot_time() + READ_PAUSE_S
            return
        note_store_success(self.state)
        now = boot_time()
        for entry in page.entries:
            self._take(entry.offset, entry.value or b"", now)
            self.read_to = entry.offset + 1
        if not page.entries:
            self.read_to = max(self.read_to, page.end)
        self.caught_up = self.read_to >= page.end

    def _take(self, offset: int, data: bytes, now: float) -> None:
        try:
            record = decode_record(data)
        except RecordError as exc:
            self.state.log(LogEvent.RECORD_UNREADABLE, reason=str(exc))
            return
        self._apply(offset, record, now)

    def _apply(self, offset: int, record: Record, now: float) -> None:
        body = record.body
        if isinstance(body, (LeaseClaim, LeaseRenew)):
            self.state.keeper.apply(offset, record, now)
        elif isinstance(body, UsageReport):
            counts = {row.account: row.count for row in body.counts}
            self.reports.setdefault(body.window, counts)

    @inlineCallbacks
    def append(self, record: Record) -> Any:
        """Append where this host has read to; return whether it stands."""
        try:
            offset = yield self.store.append(
                DUTY_TOPIC, encode_record(record), at=self.read_to
            )
        except ConflictError:
            self.caught_up = False
            self.state.keeper.append_failed()
            return False
        except PortError as exc:
            note_store_failure(self.state, "duties", exc)
            self.caught_up = False
            self.next_at = boot_time() + READ_PAUSE_S
            return False
        note_store_success(self.state)
        self.read_to = offset + 1
        self._apply(offset, record, boot_time())
        return True


class UsageDuty:
    """Reports each window's usage once."""

    __slots__ = ("busy", "cloud", "done", "first", "log", "next_at", "state")

    def __init__(
        self, state: EntryState, log: DutyLog, cloud: CloudClient
    ) -> None:
        self.state = state
        self.log = log
        self.cloud = cloud
        self.busy = False
        self.next_at = -inf
        self.done: set[int] = set()
        self.first = state.usage.window(state.true_time(boot_time()))

    def step(self, now: float) -> None:
        """Report the oldest window that is due."""
        book = self.state.usage
        current = book.window(self.state.true_time(now))
        book.forget_before(current - KEPT)
        if self.busy or self.log.busy or now < self.next_at:
            return
        if not self.state.keeper.holds(now) or not self.log.caught_up:
            return
        for window in range(max(self.first, current - KEPT), current):
            if window not in self.done and self._due(window, now):
                self._run(window)
                return

    def _due(self, window: int, now: float) -> bool:
        width = self.state.site.usage_window_s
        end = (window + 1) * width
        settle = self.state.site.usage_delay_s * SETTLE_SHARE
        return self.state.true_time(now) >= end + settle

    def _run(self, window: int) -> None:
        self.busy = True

        def over(result: Any) -> Any:
            self.busy = False
            return result

        self._report(window).addBoth(over)

    @inlineCallbacks
    def _report(self, window: int) -> Any:
        counts = self.log.reports.get(window)
        if counts is None:
            counts = yield self._fix(window)
            if counts is None:
                return
        keeper = self.state.keeper
        if not keeper.holds(boot_time()):
            return
        try:
            yield self.cloud.report_usage(
                window, counts, fence=keeper.fence + 1
            )
        except PortError as exc:
            self.next_at = boot_time() + CALL_PAUSE_S
            self.state.log(
                LogEvent.DUTY_FAILED,
                duty="usage",
                window=window,
                reason=str(exc),
            )
            return
        self.done.add(window)
        self.state.log(LogEvent.USAGE_REPORTED, window=window, counts=counts)

    @inlineCallbacks
    def _fix(self, window: int) -> Any:
        """Put a window's content on the log; return what stands there."""
        counts = self.state.usage.totals(window)
        record = Record(
            f"usage-{self.state.identity}-{window}",
            UsageReport(
                self.state.keeper.fence,
                window,
                tuple(
                    AccountCount(name, window, count)
                    for name, count in sorted(counts.items())
                ),
                self.state.true_time(boot_time()),
            ),
        )
        self.log.busy = True
        try:
            stands = yield self.log.append(record)
        finally:
            self.log.busy = False
        return self.log.reports.get(window) if stands else None
