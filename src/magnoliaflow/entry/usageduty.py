"""The usage reports of the lease holder, one a window.

The counts of a report are on the duty log before it is sent (duties).
"""

from math import inf
from typing import Any

from twisted.internet.defer import inlineCallbacks

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.errors import PortError
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.records import AccountCount
from magnoliaflow.common.records import Record
from magnoliaflow.common.records import UsageReport
from magnoliaflow.entry.duties import DutyLog
from magnoliaflow.entry.state import EntryState
from magnoliaflow.platform.cloud import CloudClient
from magnoliaflow.policy.usage import is_report_due
from magnoliaflow.policy.usage import MESH_TAKEOVER_S
from magnoliaflow.policy.usage import MIN_DELAY_SHARE

# Retry delay after a failed usage report; several fit into the allowed delay.
REPORT_RETRY_DELAY_S = 0.5
# Number of past windows to report: a window that was due two lease holders
# ago is too late.
KEPT_WINDOWS = 5


class UsageDuty:
    """Reports the usage of each window once."""

    __slots__ = (
        "busy",
        "cloud",
        "reported_windows",
        "first_window",
        "duty_log",
        "retry_at",
        "state",
    )

    def __init__(
        self, state: EntryState, duty_log: DutyLog, cloud: CloudClient
    ) -> None:
        self.state = state
        self.duty_log = duty_log
        self.cloud = cloud
        self.busy = False
        self.retry_at = -inf
        self.reported_windows: set[int] = set()
        # No process counted in windows from before the first start.
        self.first_window = 0
        if state.host_settings.first_start:
            self.first_window = state.usage.window(
                state.true_time(boot_time())
            )

    def tick(self, now: float) -> None:
        """Report the oldest window that is due."""
        usage = self.state.usage
        ledger = self.duty_log.ledger
        current = usage.window(self.state.true_time(now))
        oldest = current - KEPT_WINDOWS
        self.reported_windows = {
            window for window in self.reported_windows if window >= oldest
        }
        if self.busy or self.duty_log.busy or now < self.retry_at:
            return
        if (
            not self.state.lease_manager.holds(now)
            or not self.duty_log.caught_up
        ):
            return
        lost = ledger.missing()
        if lost:
            self._start(self._write_again(*lost[0]))
            return
        for window in range(max(self.first_window, oldest), current):
            if window in self.reported_windows:
                continue
            known = ledger.counts(window) is not None
            is_incomplete = not known and self._awaits_counts(window, now)
            if not self._is_due(window, now, is_incomplete=is_incomplete):
                continue
            if not known and ledger.may_be_lost(self._first_due_at(window)):
                self._leave_out(window)
                continue
            self._start(self._report(window))
            return

    def _first_due_at(self, window: int) -> float:
        """Return the true time from which a window may be reported."""
        host_settings = self.state.host_settings
        end = (window + 1) * host_settings.usage_window_s
        return end + host_settings.usage_delay_s * MIN_DELAY_SHARE

    def _is_due(self, window: int, now: float, *, is_incomplete: bool) -> bool:
        state = self.state
        return is_report_due(
            state.true_time(now),
            (window + 1) * state.host_settings.usage_window_s,
            state.host_settings.usage_delay_s,
            state.true_time(self.duty_log.held_since),
            is_incomplete=is_incomplete,
        )

    def _awaits_counts(self, window: int, now: float) -> bool:
        """Return whether other hosts' counts of a window may still come."""
        state = self.state
        if not state.uses_groups():
            return now < self.duty_log.held_since + MESH_TAKEOVER_S
        return bool(self._incomplete(window, now))

    def _incomplete(self, window: int, now: float) -> set[str]:
        """Return the processes whose counts of a window are not complete."""
        state = self.state
        if not state.uses_groups():
            return set()
        began_at = window * state.host_settings.usage_window_s
        awaited = state.view.counting_identities(
            now, began_at - state.clock_offset
        )
        return state.usage.incomplete(awaited, window)

    def _leave_out(self, window: int) -> None:
        """Report nothing for a window that may have been reported."""
        self.reported_windows.add(window)
        self.state.log(
            LogEvent.USAGE_LEFT_OUT, window=window, era=self.duty_log.era
        )

    def _start(self, work: Any) -> None:
        self.busy = True

        def finished(result: Any) -> Any:
            self.busy = False
            return result

        work.addBoth(finished)

    @inlineCallbacks
    def _write_again(self, window: int, counts: dict[str, int]) -> Any:
        """Put counts on the log again that the store has lost."""
        written = yield self._append_counts(window, counts)
        if written:
            self.state.log(
                LogEvent.RECORD_WRITTEN_AGAIN,
                record="usage",
                window=window,
                era=self.duty_log.era,
            )

    @inlineCallbacks
    def _report(self, window: int) -> Any:
        counts = self.duty_log.ledger.counts(window)
        details = {}
        if counts is None:
            if self.state.uses_groups():
                incomplete = self._incomplete(window, boot_time())
                details["incomplete"] = len(incomplete)
            counts = yield self._commit_counts(window)
            if counts is None:
                return
        lease_manager = self.state.lease_manager
        if not lease_manager.holds(boot_time()):
            return
        try:
            yield self.cloud.report_usage(
                window, counts, fence=lease_manager.fence + 1
            )
        except PortError as exc:
            self.retry_at = boot_time() + REPORT_RETRY_DELAY_S
            self.state.log(
                LogEvent.DUTY_FAILED,
                duty="usage",
                window=window,
                reason=str(exc),
            )
            return
        self.reported_windows.add(window)
        self.state.log(
            LogEvent.USAGE_REPORTED, window=window, counts=counts, **details
        )

    @inlineCallbacks
    def _commit_counts(self, window: int) -> Any:
        """Append a window's counts to the log and return the logged ones."""
        counts = self.state.usage.totals(window)
        appended = yield self._append_counts(window, counts)
        return self.duty_log.ledger.counts(window) if appended else None

    @inlineCallbacks
    def _append_counts(self, window: int, counts: dict[str, int]) -> Any:
        """Append the counts of a window; return whether it succeeded."""
        record = Record(
            f"usage-{self.state.identity}-{window}",
            UsageReport(
                self.state.lease_manager.fence,
                window,
                tuple(
                    AccountCount(name, window, count)
                    for name, count in sorted(counts.items())
                ),
                self.state.true_time(boot_time()),
            ),
        )
        self.duty_log.busy = True
        try:
            appended = yield self.duty_log.append(record)
        finally:
            self.duty_log.busy = False
        return appended
