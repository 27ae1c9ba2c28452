"""Taking and keeping one lease through records on the log."""

from math import inf

from magnoliaflow.cluster.leases import LeaseBook
from magnoliaflow.cluster.leases import NO_FENCE
from magnoliaflow.common.records import LeaseClaim
from magnoliaflow.common.records import LeaseRenew
from magnoliaflow.common.records import Record

RENEW_FRACTION = 3.0


def host_of(identity: str) -> str:
    """Return the host of a process whose identity is HOST-RUN.

    >>> host_of("edge-a-1-5f3c")
    'edge-a-1'
    """
    return identity.rpartition("-")[0] or identity


class LeaseKeeper:
    """One process's part in a lease.

    ``step`` returns the record to append now, if any; ``read`` applies
    what the log holds.  The holder may act only while ``holds`` is true,
    and must ask it again right before each act.
    """

    __slots__ = (
        "acquired_at",
        "book",
        "holder",
        "name",
        "serial",
        "waiting_id",
        "waiting_until",
    )

    def __init__(
        self,
        *,
        name: str,
        holder: str,
        ttl_s: float,
        margin_s: float,
        conditional: bool = False,
    ) -> None:
        self.name = name
        self.holder = holder
        self.book = LeaseBook(
            ttl_s=ttl_s, margin_s=margin_s, conditional=conditional
        )
        self.serial = 0
        self.waiting_id = ""
        self.waiting_until = -inf
        self.acquired_at = inf

    def holds(self, now: float) -> bool:
        """Return whether this process may act at monotonic ``now``."""
        return self.book.held_by(self.name, self.holder, now)

    @property
    def fence(self) -> int:
        """Return the fencing number in force."""
        return self.book.fence(self.name)

    def record_age(self, now: float) -> float:
        """Return the time since the holder began its last append."""
        return now - self.book.valid_from.get(self.name, now)

    @property
    def last_offset(self) -> int:
        """Return the offset of the last record of the lease."""
        lease = self.book.leases.get(self.name)
        return NO_FENCE if lease is None else lease.offset

    def not_appended(self) -> None:
        """Note that the last record of ``step`` never reached the log."""
        self.waiting_until = -inf

    def settled(self, now: float) -> bool:
        """Return whether a former holder's orders have run out.

        Servers that ignore fencing numbers are ordered only after this.
        """
        wait_s = self.book.ttl_s + self.book.margin_s
        return self.holds(now) and now >= self.acquired_at + wait_s

    def step(self, now: float, wall: float) -> Record | None:
        """Return the record to append now, None if there is none."""
        if now < self.waiting_until:
            return None
        lease = self.book.leases.get(self.name)
        mine = lease is not None and lease.holder == self.holder
        if mine and self.holds(now):
            start = self.book.valid_from[self.name]
            if now < start + self.book.ttl_s / RENEW_FRACTION:
                return None
            body: LeaseClaim | LeaseRenew = LeaseRenew(
                self.name, self.holder, self.fence, wall
            )
        elif self.is_own() or self.book.may_claim(self.name, now):
            body = LeaseClaim(self.name, self.holder, self.fence, wall)
        else:
            return None
        self.serial += 1
        record = Record(f"lease-{self.holder}-{self.serial}", body)
        self.waiting_id = record.record_id
        self.waiting_until = now + self.book.ttl_s / RENEW_FRACTION
        self.book.append_started(record.record_id, now)
        return record

    def is_own(self) -> bool:
        """Return whether this host's process, now or before, holds it.

        A former run on this host is dead, so its lease need not lapse.
        """
        lease = self.book.leases.get(self.name)
        return lease is not None and host_of(lease.holder) == host_of(
            self.holder
        )

    def read(self, offset: int, record: Record, now: float) -> None:
        """Apply a record of the lease stream, read at ``now``."""
        before = self.fence
        valid = self.book.apply(offset, record.body, now)
        if record.record_id == self.waiting_id:
            self.waiting_until = -inf
        if not valid:
            return
        self.book.append_read(record.record_id, self.name)
        if self.fence != before:
            own = self.book.leases[self.name].holder == self.holder
            self.acquired_at = now if own else inf
