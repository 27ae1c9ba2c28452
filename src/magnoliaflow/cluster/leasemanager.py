"""Acquires and renews one lease through records on the log."""

from math import inf

from magnoliaflow.cluster.leases import LeaseTable
from magnoliaflow.cluster.leases import NO_FENCE
from magnoliaflow.common.records import LeaseClaim
from magnoliaflow.common.records import LeaseRenew
from magnoliaflow.common.records import Record

RENEWALS_PER_TTL = 3.0


def host_of(identity: str) -> str:
    """Return the host of a process whose identity is HOST-RUN.

    >>> host_of("edge-a-1-5f3c")
    'edge-a-1'
    """
    return identity.rpartition("-")[0] or identity


class LeaseManager:
    """Acquires and renews a lease for one process.

    ``tick`` returns the record to append now, if any, and ``apply`` takes
    in the records of the log.  The holder may act only while ``holds``
    returns true and must check it right before each action.
    """

    __slots__ = (
        "acquired_at",
        "lease_table",
        "holder",
        "name",
        "serial",
        "pending_record_id",
        "pending_until",
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
        self.lease_table = LeaseTable(
            ttl_s=ttl_s, margin_s=margin_s, conditional=conditional
        )
        self.serial = 0
        self.pending_record_id = ""
        self.pending_until = -inf
        self.acquired_at = inf

    def holds(self, now: float) -> bool:
        """Return whether this process may act at monotonic ``now``."""
        return self.lease_table.held_by(self.name, self.holder, now)

    def holder_identity(self) -> str:
        """Return the last known holder of the lease, '' if there is none."""
        lease = self.lease_table.leases.get(self.name)
        return "" if lease is None else lease.holder

    @property
    def fence(self) -> int:
        """Return the current fencing token."""
        return self.lease_table.fence(self.name)

    def record_age(self, now: float) -> float:
        """Return the seconds since the last confirmed append began."""
        return now - self.lease_table.valid_from.get(self.name, now)

    @property
    def last_offset(self) -> int:
        """Return the position of the latest record of the lease."""
        lease = self.lease_table.leases.get(self.name)
        return NO_FENCE if lease is None else lease.offset

    @property
    def lease_era(self) -> int:
        """Return the era of the latest record of the lease, -1 without."""
        lease = self.lease_table.leases.get(self.name)
        return -1 if lease is None else lease.era

    def begin_era(self, era: int, now: float, *, wait: bool) -> None:
        """Begin to read the log of another era; see LeaseTable."""
        self.lease_table.begin_era(era, now, wait=wait)
        self.append_failed()

    def sole_until(self) -> float:
        """Return until when no other process can have claimed the lease."""
        return self.lease_table.sole_until(self.name, self.holder)

    def append_failed(self) -> None:
        """Allow a new append because the last record never reached the log."""
        self.pending_until = -inf

    def previous_orders_expired(self, now: float) -> bool:
        """Return whether orders of the previous holder have expired.

        Servers that ignore fencing tokens get no orders before that.
        """
        wait_s = self.lease_table.ttl_s + self.lease_table.margin_s
        return self.holds(now) and now >= self.acquired_at + wait_s

    def tick(self, now: float, wall: float) -> Record | None:
        """Return the record to append now, if any."""
        if now < self.pending_until:
            return None
        era = self.lease_table.era
        generation = self.lease_table.next_generation(self.name)
        body: LeaseClaim | LeaseRenew
        if self.holds(now):
            start = self.lease_table.valid_from[self.name]
            due_at = start + self.lease_table.ttl_s / RENEWALS_PER_TTL
            if now < due_at and self.lease_era == era:
                return None
            body = LeaseRenew(
                self.name, self.holder, self.fence, wall, era, generation
            )
        elif self.may_claim(now):
            body = LeaseClaim(
                self.name, self.holder, self.fence, wall, era, generation
            )
        else:
            return None
        self.serial += 1
        record = Record(f"lease-{self.holder}-{self.serial}", body)
        self.pending_record_id = record.record_id
        self.pending_until = now + self.lease_table.ttl_s / RENEWALS_PER_TTL
        self.lease_table.append_started(record.record_id, now)
        return record

    def may_claim(self, now: float, *, delay_s: float = 0.0) -> bool:
        """Return whether this process may claim the lease at ``now``.

        ``delay_s`` is waited after the previous holder of another host must
        have stopped.
        """
        if self.lease_table.may_claim(self.name, now - delay_s):
            return True
        if now < self.sole_until():
            return True
        return (
            self.held_by_local_host()
            and self.lease_era >= self.lease_table.era
        )

    def held_by_local_host(self) -> bool:
        """Return whether a process run of the local host holds the lease.

        A previous run on this host has ended, so its lease is claimed
        without waiting for it to expire.
        """
        lease = self.lease_table.leases.get(self.name)
        return lease is not None and host_of(lease.holder) == host_of(
            self.holder
        )

    def apply(self, offset: int, record: Record, now: float) -> None:
        """Apply a record of the lease stream, read at monotonic ``now``."""
        previous_fence = self.fence
        valid = self.lease_table.apply(offset, record.body, now)
        if record.record_id == self.pending_record_id:
            self.pending_until = -inf
        if not valid:
            return
        self.lease_table.append_confirmed(record.record_id, self.name)
        if self.fence != previous_fence:
            own = self.lease_table.leases[self.name].holder == self.holder
            self.acquired_at = now if own else inf
