"""The lease of the duties over conditional appends: one holder at a time."""

from dataclasses import dataclass
from dataclasses import field
from random import Random

import pytest

from magnoliaflow.cluster.leasemanager import LeaseManager
from magnoliaflow.common.records import LeaseClaim

TTL_S, MARGIN_S, TICK_S = 2.4, 0.3, 0.05
LATE_APPEND_S = 6.0


@dataclass
class PendingAppend:
    """An append that has not reached the log yet."""

    lands_at: float
    expected_end: int
    record: object
    host_number: int
    answered: bool


@dataclass
class Log:
    """A log whose appends may be answered late or never."""

    records: list = field(default_factory=list)
    pending: list = field(default_factory=list)


class Cluster:
    """Hosts that share one lease, with pauses, restarts and lost answers."""

    def __init__(self, seed, *, margin_s=MARGIN_S, conditional=True):
        self.rng = Random(seed)
        self.conditional = conditional
        self.now = 0.0
        self.log = Log()
        self.lease_managers = [
            self.make_lease_manager(number, 0) for number in range(3)
        ]
        self.read_ends = [0] * 3
        self.paused_until = [0.0] * 3
        self.margin_s = margin_s
        self.actions = []

    def make_lease_manager(self, number, incarnation):
        return LeaseManager(
            name="duty",
            holder=f"host{number}-{incarnation}",
            ttl_s=TTL_S,
            margin_s=MARGIN_S,
            conditional=True,
        )

    def tick(self):
        self.now += TICK_S
        self.finish_appends()
        for number in range(3):
            if self.rng.random() < 0.004:
                pause = self.rng.choice([0.5, 2.0, 4.0, 7.0])
                self.paused_until[number] = self.now + pause
            if self.rng.random() < 0.002:
                incarnation = int(self.now * 100)
                self.lease_managers[number] = self.make_lease_manager(
                    number, incarnation
                )
                self.read_ends[number] = 0
            if self.now >= self.paused_until[number]:
                self.act_for(number)

    def act_for(self, number):
        lease_manager = self.lease_managers[number]
        if lease_manager.holds(self.now):
            self.actions.append((self.now, number, lease_manager.fence))
        behind = self.read_ends[number] < len(self.log.records)
        if behind and self.rng.random() < 0.3:
            self.read_to_end(number)
        record = lease_manager.tick(self.now, self.now)
        if record is None:
            return
        delay = self.rng.choice([0.01, 0.01, 0.01, 0.3, LATE_APPEND_S])
        self.log.pending.append(
            PendingAppend(
                self.now + delay,
                self.read_ends[number],
                record,
                number,
                delay < 1.0 and self.rng.random() > 0.1,
            )
        )

    def read_to_end(self, number):
        for offset in range(self.read_ends[number], len(self.log.records)):
            self.lease_managers[number].apply(
                offset, self.log.records[offset], self.now
            )
        self.read_ends[number] = len(self.log.records)

    def finish_appends(self):
        due = [
            append
            for append in self.log.pending
            if append.lands_at <= self.now
        ]
        for append in due:
            self.log.pending.remove(append)
            at_end = append.expected_end == len(self.log.records)
            if at_end or not self.conditional:
                self.log.records.append(append.record)
                if append.answered and at_end:
                    offset = len(self.log.records) - 1
                    if self.read_ends[append.host_number] == offset:
                        self.read_ends[append.host_number] = offset + 1
                        self.lease_managers[append.host_number].apply(
                            offset, append.record, self.now
                        )
            elif append.answered:
                self.lease_managers[append.host_number].append_failed()
                self.read_to_end(append.host_number)

    def violations(self):
        found, newest_fence, last_acted_at = [], -1, {}
        for at, number, fence in self.actions:
            if fence < newest_fence:
                found.append(("older fence acted", at))
            newest_fence = max(newest_fence, fence)
            others = [
                acted_at
                for host, acted_at in last_acted_at.items()
                if host != number
            ]
            if any(abs(at - acted_at) < TICK_S / 2 for acted_at in others):
                found.append(("two at once", at))
            last_acted_at[number] = at
        return found


@pytest.mark.parametrize("seed", range(40))
def test_one_holder_at_a_time_and_fences_grow(seed):
    cluster = Cluster(seed)
    for _ in range(2400):
        cluster.tick()
    assert cluster.actions
    assert cluster.violations() == []


def test_unconditional_appends_violate_the_lease():
    """Conditional appends are what makes every record on the log valid."""
    found = []
    for seed in range(40):
        cluster = Cluster(seed, conditional=False)
        for _ in range(2400):
            cluster.tick()
        found += cluster.violations()
    assert found


def test_a_host_regains_the_lease_no_sooner_than_the_agreed_bound():
    for seed in range(20):
        cluster = Cluster(seed)
        for _ in range(2400):
            cluster.tick()
        terms = [cluster.actions[0]]
        term_ends = []
        previous = cluster.actions[0]
        for action in cluster.actions[1:]:
            if action[1] != terms[-1][1]:
                term_ends.append((terms[-1][1], previous[0]))
                terms.append(action)
                gaps_s = [
                    action[0] - at
                    for host, at in term_ends
                    if host == action[1]
                ]
                assert not gaps_s or min(gaps_s) >= 3.0
            previous = action


def test_a_restarted_host_takes_its_own_lease_at_once():
    first = LeaseManager(
        name="duty",
        holder="host1-a",
        ttl_s=TTL_S,
        margin_s=MARGIN_S,
        conditional=True,
    )
    record = first.tick(0.0, 0.0)
    restarted = LeaseManager(
        name="duty",
        holder="host1-b",
        ttl_s=TTL_S,
        margin_s=MARGIN_S,
        conditional=True,
    )
    restarted.apply(0, record, 0.1)
    assert isinstance(restarted.tick(0.2, 0.2).body, LeaseClaim)
    other = LeaseManager(
        name="duty",
        holder="host2-a",
        ttl_s=TTL_S,
        margin_s=MARGIN_S,
        conditional=True,
    )
    other.apply(0, record, 0.1)
    assert other.tick(0.2, 0.2) is None
