"""Play a store that goes back with many hosts, in virtual time.

The hosts run the product's own registry of engines, schedule of listings,
lease and ledger of usage.  Their messages may be late; hosts may be restarted
or cut off from the store.
"""

from dataclasses import dataclass
from dataclasses import replace
from random import Random

from virtualtime import VirtualTime

from magnoliaflow.cluster.leasemanager import LeaseManager
from magnoliaflow.cluster.listings import ListingSchedule
from magnoliaflow.cluster.positions import make_position
from magnoliaflow.cluster.positions import offset_of
from magnoliaflow.cluster.registry import EngineRegistry
from magnoliaflow.cluster.usageledger import UsageLedger
from magnoliaflow.common.messages import EngineEntry
from magnoliaflow.common.messages import LeaseFact
from magnoliaflow.common.records import AccountCount
from magnoliaflow.common.records import Record
from magnoliaflow.common.records import UsageReport

TICK_S = 0.1
LEASE_TTL_S, LEASE_MARGIN_S = 2.4, 0.3
APPEND_S = 0.01
ENGINE_HEARTBEAT_S = 1.2
LAPSE_S = 3 * ENGINE_HEARTBEAT_S
LEAVE_S = 2.0
WINDOW_S, REPORT_DELAY_S = 5.0, 4.0
KEPT_WINDOWS = 5
GOSSIP_S = 0.35
GOSSIP_PEERS = 24
STALE_S = 1.0
LISTINGS_PER_S = 40.0
# Lost entries are written again within this time.
REWRITTEN_S = 1.5
# A host reads the log of duties when renewals are missing for this long.
RENEWALS_MISSING_S = 0.7 * LEASE_TTL_S


@dataclass
class PlayedEngine:
    """An engine and what it writes; it leaves at ``left_at`` at last."""

    name: str
    sequence: int = 0
    leaving: bool = False
    confirmed_at: float = -1.0
    left: bool = False

    def entry(self):
        """Return the entry that the engine writes now."""
        return EngineEntry(
            self.name,
            "llm",
            "10.0.0.1:1",
            "z",
            4,
            self.leaving,
            born=7,
            sequence=self.sequence,
        )


class PlayedStore:
    """The logs of engines and of duties, and the copies that were made.

    Records of ``servers`` are (engine, entry or None) pairs.
    """

    def __init__(self):
        self.era = 1
        self.down = False
        self.servers = []
        self.duty = []
        self.lapses_at = {}

    def newest(self):
        """Return the newest (offset, entry) of each engine."""
        newest = {}
        for offset, (name, entry) in enumerate(self.servers):
            newest[name] = (offset, entry)
        return newest

    def copy(self):
        """Return what the store would go back to."""
        return list(self.servers), list(self.duty)

    def go_back(self, copy, now):
        """Go back to a copy and return the entries that are lost."""
        lost = self.newest()
        self.servers, self.duty = list(copy[0]), list(copy[1])
        kept = self.newest()
        self.lapses_at = {
            name: now + LAPSE_S
            for name, (_, entry) in kept.items()
            if entry is not None
        }
        self.era += 1
        return {
            name: entry
            for name, (_, entry) in lost.items()
            if name not in kept or kept[name][1] != entry
        }


class PlayedHost:
    """One entry host; an old one does not know of eras."""

    def __init__(self, fleet, name, run, *, is_old=False, first=False):
        self.fleet = fleet
        self.name = name
        self.identity = f"{name}-{run}"
        self.is_old = is_old
        self.first = first
        self.registry = EngineRegistry()
        self.listings = ListingSchedule(lapse_s=LAPSE_S)
        self.confirmed_at = -1.0
        self.known_era = 0
        self.lease_manager = LeaseManager(
            name="duty",
            holder=self.identity,
            ttl_s=LEASE_TTL_S,
            margin_s=LEASE_MARGIN_S,
            conditional=True,
        )
        self.ledger = UsageLedger()
        self.duty_era = 0
        self.next_offset = 0
        self.caught_up = False
        self.appending = False
        self.reported = set()
        self.started_at = fleet.now
        self.cut = False
        self.next_gossip_at = 0.0

    def era(self):
        """Return the era of the store as this host sees it."""
        return 0 if self.is_old else self.fleet.store.era

    def usable(self):
        """Return the engines that get requests."""
        return {
            name
            for name, entry in self.registry.entries.items()
            if not (entry.gone or entry.leaving)
        }

    def tick(self):
        """Read and write, as the entry process does."""
        now, store = self.fleet.now, self.fleet.store
        if self.lease_manager.holds(now):
            self.fleet.acts.append(
                (now, self.name, self.lease_manager.fence + 1)
            )
            self._report(now)
            self._gossip(now)
        if store.down or self.cut:
            return
        self.known_era = max(self.known_era, self.era())
        self._read_engines(now)
        self._tend_lease(now)

    def _read_engines(self, now):
        spread_s = len(self.fleet.hosts) / LISTINGS_PER_S
        self.listings.observe_era(
            self.known_era, now, self.fleet.rng.random() * spread_s
        )
        stale = now - self.confirmed_at > STALE_S
        if not (
            self.listings.is_due or stale or self.lease_manager.holds(now)
        ):
            return
        store = self.fleet.store
        start = offset_of(max(0, self.registry.end))
        if self.listings.era != self.era() or start > len(store.servers):
            self.listings.is_due = True
        end = make_position(self.era(), len(store.servers))
        if self.listings.is_due:
            self._apply_listing(store.newest(), end, now)
        else:
            for offset, (name, entry) in enumerate(
                store.servers[start:], start
            ):
                self._apply(name, entry, offset)
        self.registry.advance(end)
        self.confirmed_at = now

    def _apply_listing(self, newest, end, now):
        listings, registry = self.listings, self.registry
        listings.begin(self.era(), now)
        alive = listings.entries_are_alive(now)
        present = set()
        for name, (offset, entry) in newest.items():
            if entry is not None:
                present.add(name)
                self._apply(name, entry, offset, alive=alive)
        missing = registry.missing(present)
        if listings.finish(
            now,
            any_missing=bool(missing),
            any_returned=registry.any_gone(present),
        ):
            for name in missing:
                registry.apply(name, None, end)
        registry.record_listing(end)

    def _apply(self, name, entry, offset, *, alive=False):
        if self.is_old and entry is not None:
            entry = replace(entry, sequence=-1)
        position = make_position(self.era(), offset)
        self.registry.apply(name, entry, position, alive=alive)

    def _gossip(self, now):
        if now < self.next_gossip_at:
            return
        self.next_gossip_at = now + GOSSIP_S
        others = [host for host in self.fleet.hosts if host is not self]
        peers = min(len(others), GOSSIP_PEERS)
        for other in self.fleet.rng.sample(others, peers):
            entries = (
                ()
                if other.is_old and not self.is_old
                else self.registry.changed_since(max(0, other.registry.end))
            )
            delay = self.fleet.rng.random() * self.fleet.delay_s
            lease = self.lease_manager.lease_table.leases["duty"]
            age = self.lease_manager.record_age(now)
            fact = LeaseFact(
                self.identity,
                lease.fence,
                lease.offset,
                age,
                -1 if self.is_old else lease.era,
            )
            self.fleet.push(delay, other.hear, entries, self.known_era, fact)

    def hear(self, entries, era, lease):
        """Take in the entries and the lease that another host passes on."""
        self.lease_manager.lease_table.observe_holder(
            "duty",
            lease.holder,
            lease.fence,
            lease.offset,
            self.fleet.now - lease.age,
            -1 if self.is_old else lease.era,
        )
        self.known_era = max(self.known_era, 0 if self.is_old else era)
        for entry in entries:
            self.registry.apply(entry.engine, entry, entry.offset)

    def _tend_lease(self, now):
        if self.known_era > self.duty_era:
            self._begin_era(now)
        if self.appending:
            return
        lease = self.lease_manager.lease_table.leases.get("duty")
        if (
            self.caught_up
            and not self.lease_manager.holds(now)
            and lease is not None
            and now < lease.last_read_at + RENEWALS_MISSING_S
        ):
            return
        store = self.fleet.store
        self.next_offset = min(self.next_offset, len(store.duty))
        while self.next_offset < len(store.duty):
            self._apply_duty(self.next_offset, store.duty[self.next_offset])
            self.next_offset += 1
        self.caught_up = True
        record = self.lease_manager.tick(now, now)
        if record is not None:
            self._append(record)

    def _begin_era(self, now):
        is_sole = now < self.lease_manager.sole_until()
        self.ledger.begin_era(now, is_sole=is_sole)
        wait = bool(self.duty_era) or not self.first
        self.lease_manager.begin_era(self.known_era, now, wait=wait)
        self.duty_era = self.known_era
        self.next_offset = 0
        self.caught_up = False

    def _apply_duty(self, offset, record):
        body = getattr(record, "body", record)
        if self.is_old and not isinstance(body, UsageReport):
            body = replace(body, era=-1, generation=-1)
            record = replace(record, body=body)
        if isinstance(body, UsageReport):
            counts = {row.account: row.count for row in body.counts}
            self.ledger.record(body.window, counts)
        else:
            self.lease_manager.apply(offset, record, self.fleet.now)

    def _append(self, record):
        """Append at the offset read to; the answer comes later."""
        self.appending = True
        if self.is_old and isinstance(record, Record):
            body = replace(record.body, era=-1, generation=-1)
            record = replace(record, body=body)
        at, era = self.next_offset, self.duty_era
        delay = APPEND_S + self.fleet.rng.random() * self.fleet.append_delay_s
        self.fleet.push(delay, self._land, record, at, era)

    def _land(self, record, at, era):
        store = self.fleet.store
        self.appending = False
        if store.down or self.cut:
            return
        landed = at == len(store.duty)
        if landed:
            store.duty.append(record)
        gone = self not in self.fleet.hosts
        if gone or (not self.is_old and store.era != era):
            return
        if self.duty_era != era:
            return
        if not landed:
            self.lease_manager.append_failed()
            return
        if self.next_offset == at:
            self._apply_duty(at, record)
            self.next_offset = at + 1

    def _report(self, now):
        if not self.caught_up or self.appending or self.fleet.store.down:
            return
        for window, counts in self.ledger.missing():
            self._append(usage_record(window, counts))
            return
        current = int(now // WINDOW_S)
        oldest = max(int(self.started_at // WINDOW_S), current - KEPT_WINDOWS)
        for window in range(oldest, current):
            due_at = (window + 1) * WINDOW_S + REPORT_DELAY_S
            if window in self.reported or now < due_at:
                continue
            counts = self.ledger.counts(window)
            if counts is None and self.ledger.may_be_lost(due_at):
                self.reported.add(window)
                continue
            if counts is None:
                # Hosts that lack messages would count differently.
                self._append(usage_record(window, {self.identity: window}))
                return
            self.reported.add(window)
            self.fleet.sent.append((window, tuple(counts.items()), self.name))


def usage_record(window, counts):
    """Return the record that fixes the counts of a window."""
    rows = tuple(
        AccountCount(name, window, number) for name, number in counts.items()
    )
    return UsageReport(0, window, rows, 0.0)


class RestoreFleet(VirtualTime):
    """Hosts, engines and the store.

    ``acts`` are (time, host, fence) of each tick in which a host may act,
    ``sent`` the usage reports.
    """

    def __init__(
        self,
        hosts,
        engines,
        *,
        seed=1,
        delay_s=0.05,
        append_delay_s=0.0,
        old_hosts=0,
    ):
        super().__init__()
        self.rng = Random(seed)
        self.delay_s = delay_s
        self.append_delay_s = append_delay_s
        self.acts = []
        self.sent = []
        self.store = PlayedStore()
        self.engines = {}
        self.hosts = [
            PlayedHost(
                self, f"h{number}", 0, is_old=number < old_hosts, first=True
            )
            for number in range(hosts)
        ]
        for number in range(engines):
            self.add_engine(f"m{number}")
        for host in self.hosts:
            self.push(self.rng.random() * TICK_S, self._tick, host)

    def _tick(self, host):
        if host in self.hosts:
            self.push(TICK_S, self._tick, host)
            host.tick()

    def add_engine(self, name):
        """Start an engine, which writes its entry with each heartbeat."""
        engine = self.engines[name] = PlayedEngine(name)
        self._heartbeat(engine)

    def _heartbeat(self, engine):
        if engine.left:
            return
        self.push(ENGINE_HEARTBEAT_S, self._heartbeat, engine)
        engine.sequence += 1
        if not self.store.down:
            self._write(engine)

    def _write(self, engine):
        """Write an entry; one that differs only in its sequence is kept."""
        store = self.store
        store.lapses_at[engine.name] = self.now + LAPSE_S
        _, stored = store.newest().get(engine.name, (0, None))
        entry = engine.entry()
        if stored is None or replace(stored, sequence=entry.sequence) != entry:
            store.servers.append((engine.name, entry))

    def leave(self, name):
        """Let an engine announce that it leaves, and leave."""
        engine = self.engines[name]
        engine.sequence += 1
        engine.leaving = True
        self._write(engine)
        engine.confirmed_at = self.now
        self.push(LEAVE_S, self._remove, engine)

    def vanish(self, name):
        """Let an engine leave without a word: its entry is removed."""
        self.engines[name].confirmed_at = self.now
        self._remove(self.engines[name])

    def _remove(self, engine):
        engine.left = True
        self.store.servers.append((engine.name, None))
        self.store.lapses_at.pop(engine.name, None)

    def lapse(self):
        """Remove the entries of silent engines."""
        for name, at in list(self.store.lapses_at.items()):
            if at < self.now:
                del self.store.lapses_at[name]
                self.store.servers.append((name, None))

    def go_back(self, copy, away_s=2.0):
        """Let the store be away for a time and come back from a copy."""
        self.store.down = True
        self.run(away_s)
        lost = self.store.go_back(copy, self.now)
        self.store.down = False
        for name, entry in lost.items():
            self.push(
                self.rng.random() * REWRITTEN_S, self._write_again, name, entry
            )
        self.push(LAPSE_S + TICK_S, self.lapse)

    def _write_again(self, name, entry):
        """Write a lost entry again unless its engine has written since."""
        engine = self.engines[name]
        _, stored = self.store.newest().get(name, (0, None))
        if self.store.down or (entry is not None and engine.left):
            return
        if entry is None:
            self.store.servers.append((name, None))
            self.store.lapses_at.pop(name, None)
        elif stored is None or stored.sequence < entry.sequence:
            self.store.servers.append((name, entry))
            self.store.lapses_at[name] = self.now + LAPSE_S

    def restart(self, host):
        """Replace a host's process by one that knows nothing."""
        index = self.hosts.index(host)
        run = int(self.now * 10)
        new = PlayedHost(self, host.name, run, is_old=host.is_old)
        self.hosts[index] = new
        self.push(TICK_S, self._tick, new)
        return new

    def holder(self):
        """Return the host that acted last."""
        name = self.acts[-1][1]
        return next(host for host in self.hosts if host.name == name)
