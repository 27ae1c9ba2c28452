"""The duties' lease over conditional appends: one holder at a time."""

from dataclasses import dataclass
from dataclasses import field
from random import Random

import pytest

from magnoliaflow.cluster.leasemanager import LeaseManager
from magnoliaflow.common.records import LeaseClaim

TTL_S, MARGIN_S, STEP_S = 2.4, 0.3, 0.05
LATE_S = 6.0


@dataclass
class Landing:
    """An append on its way to the log."""

    at: float
    end: int
    record: object
    node: int
    answered: bool


@dataclass
class Log:
    """A log whose appends may be answered late, or never."""

    records: list = field(default_factory=list)
    flying: list = field(default_factory=list)


class Cluster:
    """Hosts that keep one lease, with pauses and lost answers."""

    def __init__(self, seed, *, margin_s=MARGIN_S, conditional=True):
        self.rng = Random(seed)
        self.conditional = conditional
        self.now = 0.0
        self.log = Log()
        self.nodes = [self.node(number, 0) for number in range(3)]
        self.read = [0] * 3
        self.paused_until = [0.0] * 3
        self.margin_s = margin_s
        self.acts = []

    def node(self, number, run):
        return LeaseManager(
            name="duty",
            holder=f"host{number}-{run}",
            ttl_s=TTL_S,
            margin_s=MARGIN_S,
            conditional=True,
        )

    def step(self):
        self.now += STEP_S
        self.land()
        for number in range(3):
            if self.rng.random() < 0.004:
                pause = self.rng.choice([0.5, 2.0, 4.0, 7.0])
                self.paused_until[number] = self.now + pause
            if self.rng.random() < 0.002:
                run = int(self.now * 100)
                self.nodes[number] = self.node(number, run)
                self.read[number] = 0
            if self.now >= self.paused_until[number]:
                self.act(number)

    def act(self, number):
        node = self.nodes[number]
        if node.holds(self.now):
            self.acts.append((self.now, number, node.fence))
        behind = self.read[number] < len(self.log.records)
        if behind and self.rng.random() < 0.3:
            self.catch_up(number)
        record = node.tick(self.now, self.now)
        if record is None:
            return
        delay = self.rng.choice([0.01, 0.01, 0.01, 0.3, LATE_S])
        self.log.flying.append(
            Landing(
                self.now + delay,
                self.read[number],
                record,
                number,
                delay < 1.0 and self.rng.random() > 0.1,
            )
        )

    def catch_up(self, number):
        for offset in range(self.read[number], len(self.log.records)):
            self.nodes[number].apply(
                offset, self.log.records[offset], self.now
            )
        self.read[number] = len(self.log.records)

    def land(self):
        due = [row for row in self.log.flying if row.at <= self.now]
        for row in due:
            self.log.flying.remove(row)
            fits = row.end == len(self.log.records)
            if fits or not self.conditional:
                self.log.records.append(row.record)
                if row.answered and fits:
                    offset = len(self.log.records) - 1
                    if self.read[row.node] == offset:
                        self.read[row.node] = offset + 1
                        self.nodes[row.node].apply(
                            offset, row.record, self.now
                        )
            elif row.answered:
                self.nodes[row.node].append_failed()
                self.catch_up(row.node)

    def violations(self):
        found, top, last = [], -1, {}
        for at, number, fence in self.acts:
            if fence < top:
                found.append(("older fence acted", at))
            top = max(top, fence)
            others = [seen for host, seen in last.items() if host != number]
            if any(abs(at - seen) < STEP_S / 2 for seen in others):
                found.append(("two at once", at))
            last[number] = at
        return found


@pytest.mark.parametrize("seed", range(40))
def test_one_holder_at_a_time_and_fences_grow(seed):
    cluster = Cluster(seed)
    for _ in range(2400):
        cluster.step()
    assert cluster.acts
    assert cluster.violations() == []


def test_unconditional_appends_break_it():
    """The condition is what makes every record on the log valid."""
    found = []
    for seed in range(40):
        cluster = Cluster(seed, conditional=False)
        for _ in range(2400):
            cluster.step()
        found += cluster.violations()
    assert found


def test_no_holder_follows_itself_within_the_agreed_bound():
    for seed in range(20):
        cluster = Cluster(seed)
        for _ in range(2400):
            cluster.step()
        turns = [cluster.acts[0]]
        ends = []
        previous = cluster.acts[0]
        for act in cluster.acts[1:]:
            if act[1] != turns[-1][1]:
                ends.append((turns[-1][1], previous[0]))
                turns.append(act)
                gap = [act[0] - at for host, at in ends if host == act[1]]
                assert not gap or min(gap) >= 3.0
            previous = act


def test_a_restarted_host_takes_its_own_lease_at_once():
    first = LeaseManager(
        name="duty",
        holder="host1-a",
        ttl_s=TTL_S,
        margin_s=MARGIN_S,
        conditional=True,
    )
    record = first.tick(0.0, 0.0)
    again = LeaseManager(
        name="duty",
        holder="host1-b",
        ttl_s=TTL_S,
        margin_s=MARGIN_S,
        conditional=True,
    )
    again.apply(0, record, 0.1)
    assert isinstance(again.tick(0.2, 0.2).body, LeaseClaim)
    other = LeaseManager(
        name="duty",
        holder="host2-a",
        ttl_s=TTL_S,
        margin_s=MARGIN_S,
        conditional=True,
    )
    other.apply(0, record, 0.1)
    assert other.tick(0.2, 0.2) is None
