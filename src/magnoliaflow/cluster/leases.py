"""Leases kept on the log; the claiming record's offset is the fence."""

from dataclasses import dataclass
from dataclasses import field
from typing import Any

from magnoliaflow.common.records import LeaseClaim
from magnoliaflow.common.records import LeaseRenew

NO_FENCE = -1


@dataclass(slots=True)
class Lease:
    """A lease as the log's order left it.

    ``seen_at`` is this reader's monotonic time of the last record, and
    ``offset`` the record's.
    """

    name: str
    holder: str
    fence: int
    last_read_at: float
    offset: int = NO_FENCE


@dataclass(slots=True)
class LeaseTable:
    """Leases in force, derived from the log.

    Offsets decide who holds a lease.  Time only decides when its holder
    must stop (counted from before its append) and when others may claim
    (counted from after they read it), so the former comes first.

    ``conditional``: each append is made only where its writer had read the
    log to its end, so every record that stands on the log is valid, also
    for a reader who lacks the log's beginning.
    """

    ttl_s: float
    margin_s: float
    leases: dict[str, Lease] = field(default_factory=dict)
    append_started_at: dict[str, float] = field(default_factory=dict)
    valid_from: dict[str, float] = field(default_factory=dict)
    applied: int = -1
    conditional: bool = False

    def apply(self, offset: int, record: Any, now: float) -> bool:
        """Apply the record at an offset, read at monotonic ``now``."""
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
        """Note the record at an offset, which stood on the log by ``at``."""
        known = self.leases.get(name)
        if known is not None and (fence, offset) <= (
            known.fence,
            known.offset,
        ):
            return
        self.leases[name] = Lease(name, holder, fence, at, offset)

    def append_started(self, record_id: str, now: float) -> None:
        """Note when this process began to append its own record."""
        self.append_started_at[record_id] = now

    def append_confirmed(self, record_id: str, name: str) -> None:
        """Note that this process read its own valid record back."""
        started = self.append_started_at.pop(record_id, None)
        if started is None:
            return
        self.valid_from[name] = max(self.valid_from.get(name, 0.0), started)

    def held_by(self, name: str, holder: str, now: float) -> bool:
        """Return whether the holder may still act at ``now``."""
        lease = self.leases.get(name)
        if lease is None or lease.holder != holder:
            return False
        start = self.valid_from.get(name)
        if start is None:
            return False
        return now < start + self.ttl_s - self.margin_s

    def may_claim(self, name: str, now: float) -> bool:
        """Return whether the last holder must have stopped by ``now``."""
        lease = self.leases.get(name)
        if lease is None:
            return True
        return now >= lease.last_read_at + self.ttl_s + self.margin_s

    def fence(self, name: str) -> int:
        """Return the fencing number in force, NO_FENCE if none."""
        lease = self.leases.get(name)
        return NO_FENCE if lease is None else lease.fence
