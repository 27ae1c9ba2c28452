"""Leases on the log; the position of a claim record is its fence."""

from dataclasses import dataclass
from dataclasses import field
from math import inf
from typing import Any

from magnoliaflow.cluster.positions import era_of
from magnoliaflow.cluster.positions import make_position
from magnoliaflow.common.records import LeaseClaim
from magnoliaflow.common.records import LeaseRenew

NO_FENCE = -1


@dataclass(slots=True)
class Lease:
    """A lease as derived from the order of the log.

    ``last_read_at`` is the local monotonic time at which the latest record
    of the lease was read, ``offset`` is the position of that record, and
    ``era`` the era of the store in which it was written.
    """

    name: str
    holder: str
    fence: int
    last_read_at: float
    offset: int = NO_FENCE
    era: int = 0


@dataclass(slots=True)
class LeaseTable:
    """Current leases, derived from the log.

    Offsets alone decide who holds a lease.  Time decides when the holder
    must stop, counted from before its append, and when others may claim,
    counted from after they read the record.  The holder therefore always
    stops before another process claims.

    With ``conditional``, a record is appended only if its writer had read
    the log to the end.  Every record on the log is then valid, also for a
    reader of a log whose beginning was trimmed.  So is, without it, the first
    record of a lease in an era: what it replaces may be lost.

    A store that goes back begins an ``era`` and gives out offsets again.  The
    position of a record is therefore its offset and a generation, which grows
    with the era; records that are read again keep their positions.  What was
    lost may have had another holder, so that nobody claims a lease of an
    earlier era before ``claims_from``, except its holder.
    """

    ttl_s: float
    margin_s: float
    leases: dict[str, Lease] = field(default_factory=dict)
    append_started_at: dict[str, float] = field(default_factory=dict)
    valid_from: dict[str, float] = field(default_factory=dict)
    applied: int = -1
    conditional: bool = False
    era: int = 0
    read_generation: int = 0
    claims_from: float = -inf

    def begin_era(self, era: int, now: float, *, wait: bool) -> None:
        """Begin to read the log of another era from its beginning.

        Appends whose result is not known do not count.  ``wait``: holders
        that are not known may still act.
        """
        self.era = era
        self.read_generation = 0
        self.append_started_at.clear()
        if wait:
            self.claims_from = now + self.ttl_s + self.margin_s

    def next_generation(self, name: str) -> int:
        """Return the generation of a record that is written now."""
        lease = self.leases.get(name)
        if lease is None:
            return self.era
        return era_of(lease.offset) + self.era - lease.era

    def apply(self, offset: int, record: Any, now: float) -> bool:
        """Apply a record read at ``now``; return whether it is valid."""
        if not isinstance(record, (LeaseClaim, LeaseRenew)):
            return False
        # Older builds write no generation; theirs is that of the records
        # before.
        generation = record.generation
        if generation < 0:
            generation = self.read_generation
        self.read_generation = max(self.read_generation, generation)
        position = make_position(generation, offset)
        if position <= self.applied:
            return False
        self.applied = position
        era = self.era if record.era < 0 else record.era
        lease = self.leases.get(record.name)
        fence = NO_FENCE if lease is None else lease.fence
        adopts = self.conditional or era > (0 if lease is None else lease.era)
        if isinstance(record, LeaseClaim):
            if record.replaces != fence and not adopts:
                return False
            self.leases[record.name] = Lease(
                record.name, record.holder, position, now, position, era
            )
            return True
        if adopts:
            self.observe_holder(
                record.name, record.holder, record.fence, position, now, era
            )
            return True
        if lease is None or record.fence != fence:
            return False
        lease.last_read_at = now
        return True

    def observe_holder(
        self,
        name: str,
        holder: str,
        fence: int,
        offset: int,
        at: float,
        era: int = -1,
    ) -> None:
        """Apply a lease record that was on the log no later than ``at``.

        ``offset`` is its position; ``era`` is that in which it was written,
        -1 if its writer does not know of eras.
        """
        known = self.leases.get(name)
        if known is not None and (fence, offset) <= (
            known.fence,
            known.offset,
        ):
            return
        era = self.era if era < 0 else era
        self.leases[name] = Lease(name, holder, fence, at, offset, era)

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
            return now >= self.claims_from
        if lease.era < self.era and now < self.claims_from:
            return False
        return now >= lease.last_read_at + self.ttl_s + self.margin_s

    def sole_until(self, name: str, holder: str) -> float:
        """Return until when no other process can have claimed a lease.

        It is -inf if the holder has not held it.
        """
        lease = self.leases.get(name)
        start = self.valid_from.get(name)
        if lease is None or lease.holder != holder or start is None:
            return -inf
        return start + self.ttl_s + self.margin_s

    def fence(self, name: str) -> int:
        """Return the current fencing token, or NO_FENCE without a lease."""
        lease = self.leases.get(name)
        return NO_FENCE if lease is None else lease.fence
