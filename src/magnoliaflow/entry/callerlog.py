"""Log lines and metrics of callers that lose their work to the limits."""

from typing import Any

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.transport.memory import Eviction

# Lines a second; those beyond are counted in the next line.
MAX_LINES_PER_S = 10


class CallerLog:
    """Writes a bounded number of lines a second."""

    __slots__ = ("lines", "omitted", "second", "state")

    def __init__(self, state: Any) -> None:
        self.state = state
        self.second = 0
        self.lines = 0
        self.omitted = 0

    def record_eviction(self, row: Eviction) -> None:
        """Record that bytes were dropped for the limit on memory."""
        self.state.metrics.callers_closed.labels("memory").inc()
        names = dict(key.split(" ", 1) for key in row.keys)
        self._log(
            LogEvent.BODY_DROPPED,
            kind=row.kind,
            bytes=row.size,
            idle_s=round(row.idle_s, 3),
            held=row.held,
            limit=self.state.buffers.limit_bytes,
            address=names.get("address", ""),
            account=names.get("account", ""),
        )

    def record_crowding(self, address: str) -> None:
        """Record that a connection was closed in favour of a new one."""
        self.state.metrics.callers_closed.labels("connections").inc()
        self._log(LogEvent.CONNECTION_CLOSED, address=address)

    def record_rejection(self, status: int) -> None:
        """Record input that is not handled, by the status of its answer."""
        self.state.metrics.refusals.labels(f"HTTP_{status}").inc()
        self._log(LogEvent.CALL_REJECTED, status=status)

    def _log(self, event: LogEvent, **details: Any) -> None:
        second = int(boot_time())
        if second != self.second:
            self.second, self.lines = second, 0
        if self.lines >= MAX_LINES_PER_S:
            self.omitted += 1
            return
        self.lines += 1
        self.state.log(event, omitted=self.omitted, **details)
        self.omitted = 0
