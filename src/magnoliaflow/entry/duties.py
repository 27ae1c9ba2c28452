"""The log of the duty lease and of the usage reports of its holder.

Lease records and the usage counts of each window are kept in one log.  An
append succeeds only at the offset up to which its writer has read.  So the
counts of a report are fixed before it is sent, by a holder that has not been
replaced.  When the store has gone back, the log is read again from its
beginning, and the holder writes again what it lacks.
"""

from math import inf
from typing import Any

from twisted.internet.defer import inlineCallbacks

from magnoliaflow.cluster.usageledger import UsageLedger
from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.codec import decode_record
from magnoliaflow.common.codec import encode_record
from magnoliaflow.common.errors import PortError
from magnoliaflow.common.errors import RecordError
from magnoliaflow.common.errors import RestoredError
from magnoliaflow.common.errors import TrimmedError
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.lifecycle import Phase
from magnoliaflow.common.records import LeaseClaim
from magnoliaflow.common.records import LeaseRenew
from magnoliaflow.common.records import Record
from magnoliaflow.common.records import RolloutStep
from magnoliaflow.common.records import UsageReport
from magnoliaflow.entry.followers import record_store_failure
from magnoliaflow.entry.followers import record_store_success
from magnoliaflow.entry.rolloutentries import apply_logged_step
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.storeera import observe_store_era
from magnoliaflow.platform.store import ConflictError
from magnoliaflow.platform.store import DUTY_TOPIC
from magnoliaflow.platform.store import StoreClient

# Retry delay after a failed call to the store: a few of its usual response
# times.
STORE_RETRY_DELAY_S = 0.3
# A candidate that has seen no renewal for this share of the lease's TTL reads
# the log at this interval.
RENEWAL_CHECK_SHARE = 0.7
RENEWAL_CHECK_INTERVAL_S = 0.8
# The same in groups, where renewals pass several hosts.  Hosts that are not
# aggregators claim only if every aggregator fails to.
AGGREGATOR_RENEWAL_CHECK_SHARE = 1.0
MEMBER_RENEWAL_CHECK_SHARE = 2.0
# Candidates delay their claims by a random part of this time, scaled by the
# number of peers up to FULL_JITTER_HOSTS.
MAX_CLAIM_JITTER_S = 0.4
FULL_JITTER_HOSTS = 16


class DutyLog:
    """Reads and appends to the log of the lease and the usage reports.

    ``next_offset`` was taken in ``era``.
    """

    __slots__ = (
        "busy",
        "caught_up",
        "era",
        "retry_at",
        "next_offset",
        "ledger",
        "held_since",
        "holds_lease",
        "last_read_at",
        "state",
        "store",
        "claim_jitter",
    )

    def __init__(self, state: EntryState, store: StoreClient) -> None:
        self.state = state
        self.store = store
        self.era = 0
        self.next_offset = 0
        self.caught_up = False
        self.busy = False
        self.holds_lease = False
        self.held_since = inf
        self.retry_at = -inf
        self.last_read_at = -inf
        self.claim_jitter = state.rng.random() * MAX_CLAIM_JITTER_S
        self.ledger = UsageLedger()

    def tick(self, now: float) -> None:
        """Read the log, or claim or renew the lease, whichever is due."""
        self._update_lease_held(now)
        if self.state.store_era > self.era:
            self._begin_era(self.state.store_era, now)
        if self.busy or now < self.retry_at:
            return
        if self.state.phase >= Phase.DRAINING:
            return
        if not self.caught_up or self._renewals_missing(now):
            self._start(self._read())
            return
        if not self.holds_lease and not self._claim_due(now):
            return
        record = self.state.lease_manager.tick(now, self.state.true_time(now))
        if record is not None:
            self._start(self.append(record))

    def _begin_era(self, era: int, now: float) -> None:
        """Read the log again, whose offsets have gone back.

        A process that has just started does not know either what was lost.
        """
        state = self.state
        manager = state.lease_manager
        is_sole = now < manager.sole_until()
        self.ledger.begin_era(state.true_time(now), is_sole=is_sole)
        known = not self.era and state.host_settings.first_start
        manager.begin_era(era, now, wait=not known)
        if self.era and not is_sole:
            self.retry_at = now + self.claim_jitter
        self.era = era
        self.next_offset = 0
        self.caught_up = False

    def _renewals_missing(self, now: float) -> bool:
        """Return whether to read the log for unreported renewals."""
        lease_table = self.state.lease_manager.lease_table
        lease = lease_table.leases.get(self.state.lease_manager.name)
        if (
            self.holds_lease
            or lease is None
            or now < self.last_read_at + RENEWAL_CHECK_INTERVAL_S
        ):
            return False
        share = RENEWAL_CHECK_SHARE
        if self.state.uses_groups():
            share = (
                AGGREGATOR_RENEWAL_CHECK_SHARE
                if self.state.view.is_aggregator()
                else MEMBER_RENEWAL_CHECK_SHARE
            )
        return now > lease.last_read_at + lease_table.ttl_s * share

    def _claim_due(self, now: float) -> bool:
        """Return whether this candidate may claim the lease now."""
        others = self.state.host_count() - 1
        jitter_share = min(1.0, others / FULL_JITTER_HOSTS)
        return self.state.lease_manager.may_claim(
            now, delay_s=self.claim_jitter * jitter_share
        )

    def _update_lease_held(self, now: float) -> None:
        holds_lease = self.state.lease_manager.holds(now)
        if holds_lease == self.holds_lease:
            return
        self.holds_lease = holds_lease
        self.held_since = now if holds_lease else inf
        self.state.metrics.lease_held.set(int(holds_lease))
        event = LogEvent.LEASE_ACQUIRED if holds_lease else LogEvent.LEASE_LOST
        self.state.log(
            event, fence=self.state.lease_manager.fence, era=self.era
        )

    def _start(self, work: Any) -> None:
        self.busy = True
        work.addBoth(self._finished)

    def _finished(self, result: Any) -> Any:
        self.busy = False
        return result

    @inlineCallbacks
    def _read(self) -> Any:
        """Read the next page of the log."""
        self.last_read_at = boot_time()
        era = self.era
        try:
            page = yield self.store.read(DUTY_TOPIC, self.next_offset, era=era)
        except RestoredError as exc:
            self.caught_up = False
            observe_store_era(self.state, exc.era)
            return
        except TrimmedError as exc:
            self.next_offset = exc.first_offset
            return
        except PortError as exc:
            record_store_failure(self.state, "duties", exc)
            self.retry_at = boot_time() + STORE_RETRY_DELAY_S
            return
        record_store_success(self.state)
        if era != self.era:
            return
        now = boot_time()
        for entry in page.entries:
            self._apply_entry(entry.offset, entry.value or b"", now)
            self.next_offset = entry.offset + 1
        if not page.entries:
            self.next_offset = max(self.next_offset, page.end)
        self.caught_up = self.next_offset >= page.end

    def _apply_entry(self, offset: int, data: bytes, now: float) -> None:
        try:
            record = decode_record(data)
        except RecordError as exc:
            self.state.log(LogEvent.RECORD_UNREADABLE, reason=str(exc))
            return
        self._apply_record(offset, record, now)

    def _apply_record(self, offset: int, record: Record, now: float) -> None:
        body = record.body
        if isinstance(body, (LeaseClaim, LeaseRenew)):
            self.state.lease_manager.apply(offset, record, now)
        elif isinstance(body, UsageReport):
            counts = {entry.account: entry.count for entry in body.counts}
            self.ledger.record(body.window, counts)
        elif isinstance(body, RolloutStep):
            apply_logged_step(self.state, body, self.era)

    @inlineCallbacks
    def append(self, record: Record) -> Any:
        """Append a record at the next offset; return whether it succeeded."""
        era = self.era
        try:
            offset = yield self.store.append(
                DUTY_TOPIC,
                encode_record(record),
                at=self.next_offset,
                era=era,
            )
        except RestoredError as exc:
            self.caught_up = False
            observe_store_era(self.state, exc.era)
            return False
        except ConflictError:
            self.caught_up = False
            self.state.lease_manager.append_failed()
            return False
        except PortError as exc:
            record_store_failure(self.state, "duties", exc)
            self.caught_up = False
            self.retry_at = boot_time() + STORE_RETRY_DELAY_S
            return False
        record_store_success(self.state)
        if era != self.era:
            return False
        self.next_offset = offset + 1
        self._apply_record(offset, record, boot_time())
        return True
