"""Leases on the log; the offset of a claim record is its fence."""

from dataclasses import dataclass
from dataclasses import field
from typing import Any

from magnoliaflow.common.records import LeaseClaim
from magnoliaflow.common.records import LeaseRenew

NO_FENCE = -1


@dataclass(slots=True)
class Lease:
    """A lease as derived from the order of the log.

    ``last_read_at`` is the local monotonic time at which the latest record
    of the lease was read, and ``offset`` is the offset of that record.
    """

    name: str
    holder: str
    fence: int
    last_read_at: float
    offset: int = NO_FENCE


@dataclass(slots=True)
class LeaseTable:
    """Current leases, derived from the log.

    Offsets alone decide who holds a lease.  Time decides when the holder
    must stop, counted from before its append, and when others may claim,
    counted from after they read the record.  The holder therefore always
    stops before another process claims.

    With ``conditional``, a record is appended only if its writer had read
    the log to the end.  Every record on the log is then valid, also for a
    reader of a log whose beginning was trimmed.
    """

    ttl_s: float
    margin_s: float
    leases: dict[str, Lease] = field(default_factory=dict)
    append_started_at: dict[str, float] = field(default_factory=dict)
    valid_from: dict[str, float] = field(default_factory=dict)
    applied: int = -1
    conditional: bool = False

    def apply(self, offset: int, record: Any, now: float) -> bool:
        """Apply a record read at ``now``; return whether it is valid."""
        if offset <= self.applied:
            return False
        self.applied = offset
        lease = self.leases.get(record.name)
        fence = NO_FENCE if lease is None else lease.fence
        if isinstance(record, LeaseClaim):
            if record.replaces != fence and not self.conditional:
                return False
            self.leases[record.name] = Lease(
                record.name, record.holder, offset, now, offset
            )
            return True
        if isinstance(record, LeaseRenew):
            if self.conditional:
                self.observe_holder(
                    record.name, record.holder, record.fence, offset, now
                )
                return True
            if lease is None or record.fence != fence:
                return False
            lease.last_read_at = now
            return True
        return False

    def observe_holder(
        self, name: str, holder: str, fence: int, offset: int, at: float
    ) -> None:
        """Apply a lease record that was on the log no later than ``at``."""
        known = self.leases.get(name)
        if known is not None and (fence, offset) <= (
            known.fence,
            known.offset,
        ):
            return
        self.leases[name] = Lease(name, holder, fence, at, offset)

    def append_started(self, record_id: str, now: float) -> None:
        """Record when this process began to append its own record."""
        self.append_started_at[record_id] = now

    def append_confirmed(self, record_id: str, name: str) -> None:
        """Extend the lease, counted from when its append began."""
        started = self.append_started_at.pop(record_id, None)
        if started is None:
            return
        self.valid_from[name] = max(self.valid_from.get(name, 0.0), started)

    def held_by(self, name: str, holder: str, now: float) -> bool:
        """Return whether the holder may act at monotonic ``now``."""
        lease = self.leases.get(name)
        if lease is None or lease.holder != holder:
            return False
        start = self.valid_from.get(name)
        if start is None:
            return False
        return now < start + self.ttl_s - self.margin_s

    def may_claim(self, name: str, now: float) -> bool:
        """Return whether the previous holder must have stopped by ``now``."""
        lease = self.leases.get(name)
        if lease is None:
            return True
        return now >= lease.last_read_at + self.ttl_s + self.margin_s

    def fence(self, name: str) -> int:
        """Return the current fencing token, or NO_FENCE without a lease."""
        lease = self.leases.get(name)
        return NO_FENCE if lease is None else lease.fence
