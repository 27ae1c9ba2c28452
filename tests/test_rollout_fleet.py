"""Roll-outs over the messages of 4 to 78 hosts, in virtual time."""

from collections import deque
from json import dumps
from json import loads

import pytest
from test_rollout_duty import Clock
from test_rollout_duty import Host
from test_rollout_duty import Store

from magnoliaflow.common.codec import message_from_wire
from magnoliaflow.common.codec import message_to_wire
from magnoliaflow.entry import duties
from magnoliaflow.entry import heartbeats
from magnoliaflow.entry.heartbeats import handle_message
from magnoliaflow.entry.heartbeats import HeartbeatSender
from magnoliaflow.entry import reports
from magnoliaflow.entry.reports import ReportSender
from magnoliaflow.entry import rolloutentries
from magnoliaflow.entry import rolloutmessages
from magnoliaflow.entry.rolloutmessages import rollout_details
from magnoliaflow.entry.rolloutmessages import RolloutSender
from magnoliaflow.entry import rollouts
from magnoliaflow.policy.rollouts import latency_class
from magnoliaflow.policy.rollouts import RolloutStage

TICK_S, DELAY_S, ANSWER_S = 0.05, 0.05, 0.3
REQUESTS_PER_S, DURATION_S = 120.0, 12.0
EXPOSURE_SHARE, EXPOSURE_TOLERANCE = 0.1, 50


class Links:
    def __init__(self, fleet, host):
        self.fleet = fleet
        self.host = host

    def send(self, address, message):
        at = self.fleet.clock.now + DELAY_S
        self.fleet.sent[type(message).__name__, address] = (
            self.fleet.sent.get((type(message).__name__, address), 0) + 1
        )
        self.fleet.queue.append((at, self.host, address, message))


class Fleet:
    """Hosts that exchange all their messages; the first one has the duty."""

    def __init__(self, count, clock):
        self.clock = clock
        self.queue = deque()
        self.sent = {}
        self.open = deque()
        self.number = self.ended = 0
        self.requests = {True: [], False: []}
        self.is_bad = False
        self.dead = set()
        self.store = Store()
        self.hosts = [Host(self.store, n, clock) for n in range(count)]
        for host in self.hosts:
            links = Links(self, host)
            host.senders = [
                HeartbeatSender(host.state, links),
                ReportSender(host.state, links),
                RolloutSender(host.state, links),
            ]
            host.address = host.state.host_settings.peer_address
            host.state.lifecycle.ready()
        for host in self.hosts:
            for other in self.hosts:
                if other is not host:
                    host.state.view.meet(
                        other.state.own_fact(clock.now), clock.now
                    )
                    host.state.peer_addresses[other.address] = clock.now
        self.by_address = {host.address: host for host in self.hosts}

    def run(self, seconds, *, traffic=False):
        for _ in range(round(seconds / TICK_S)):
            self.clock.now += TICK_S
            self.deliver()
            for host in self.hosts:
                if host in self.dead:
                    continue
                for sender in host.senders:
                    sender.tick(self.clock.now)
            if self.hosts[0] not in self.dead:
                self.hosts[0].duty_log.tick(self.clock.now)
                self.hosts[0].duty.tick(self.clock.now)
            if traffic:
                self.serve()

    def deliver(self):
        while self.queue and self.queue[0][0] <= self.clock.now:
            _, sender, address, message = self.queue.popleft()
            receiver = self.by_address[address]
            if sender in self.dead or receiver in self.dead:
                continue
            handle_message(
                receiver.state,
                sender.state.identity,
                message_from_wire(message_to_wire(message)),
            )

    def serve(self):
        """Send the requests of a tick, and end those that are due."""
        now = self.clock.now
        while self.open and self.open[0][0] <= now:
            _, host, key, is_target = self.open.popleft()
            book = host.state.rollouts
            book.running[key] -= 1
            tally = book.tally(*key)
            tally.finished += 1
            self.ended += is_target
            if is_target and self.is_bad and self.ended % 2:
                tally.failed += 1
            else:
                tally.latencies[latency_class(ANSWER_S)] += 1
        for _ in range(round(REQUESTS_PER_S * TICK_S)):
            self.number += 1
            host = self.hosts[self.number * 7 % len(self.hosts)]
            if host in self.dead:
                continue
            self.send(host, now)

    def send(self, host, now):
        book = host.state.rollouts
        registered = host.state.routing.versions["app"]
        sides = book.sides(
            "app",
            "look",
            f"r{self.number}",
            registered,
            now=now,
            orders_read_at=now,
            began_on=None,
        )
        # Without a restriction, engines of any version get requests.
        allowed = sides[0] if sides else tuple(registered)
        version = allowed[self.number % len(allowed)]
        key = ("app", "look", version)
        self.requests[version == "v2"].append(now)
        if book.target_of("app")[0]:
            book.running[key] += 1
            book.tally(*key).sent += 1
            self.open.append((now + ANSWER_S, host, key, version == "v2"))

    def stages(self):
        return {
            host.decision.stage if host.decision else None
            for host in self.hosts
            if host not in self.dead
        }


@pytest.fixture
def make_fleet(monkeypatch):
    clock = Clock()
    for module in (
        duties,
        rollouts,
        rolloutentries,
        rolloutmessages,
        reports,
        heartbeats,
    ):
        monkeypatch.setattr(module, "boot_time", clock)

    def make(count):
        fleet = Fleet(count, clock)
        fleet.run(5.0)
        assert fleet.hosts[0].state.lease_manager.holds(clock.now)
        fleet.ordered_at = clock.now
        fleet.hosts[0].order()
        fleet.sent.clear()
        return fleet

    return make


@pytest.mark.parametrize("count", [4, 26, 78])
@pytest.mark.parametrize("is_bad", [False, True])
def test_all_hosts_follow_one_decision(make_fleet, count, is_bad):
    """Guards against hosts that go on with a bad version."""
    fleet = make_fleet(count)
    fleet.is_bad = is_bad
    fleet.run(DURATION_S, traffic=True)
    expected = RolloutStage.ROLLED_BACK if is_bad else RolloutStage.COMPLETED
    assert fleet.stages() == {expected}
    if is_bad:
        new, old = fleet.requests[True], fleet.requests[False]
        total = len(new) + len(old)
        assert len(new) <= EXPOSURE_SHARE * total + EXPOSURE_TOLERANCE
    received = {}
    for (kind, address), number in fleet.sent.items():
        if kind == "RolloutCounts":
            received[address] = number
    rounds = DURATION_S / 0.4
    assert max(received.values()) <= 25 * (rounds + 2)
    (row,) = loads(dumps(rollout_details(fleet.hosts[-1].state)))
    assert row["stage"] == expected.name and row["to"] == "v2"


def test_a_group_that_loses_its_publisher_completes(make_fleet):
    """Guards against counts that are lost with the host that sums them."""
    fleet = make_fleet(26)
    view = fleet.hosts[0].state.view
    victim = next(
        host
        for host in fleet.hosts[1:]
        if host.state.view.rank() == 0 and host.state.view.group != view.group
    )
    fleet.run(4.0, traffic=True)
    fleet.dead.add(victim)
    fleet.run(DURATION_S - 4.0, traffic=True)
    assert fleet.stages() <= {RolloutStage.COMPLETED, RolloutStage.FULL}
    fleet.run(DURATION_S, traffic=True)
    assert fleet.stages() == {RolloutStage.COMPLETED}
