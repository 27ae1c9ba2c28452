"""Leases and fencing: no two holders act at once, whatever is paused."""

from random import Random

import pytest

from magnoliaflow.cluster.leasemanager import LeaseManager

TTL_S = 6.0
MARGIN_S = 1.0


class LeaseWorld:
    """Lease managers over one fake log, in virtual time."""

    def __init__(self, names, *, seed=0):
        self.rng = Random(seed)
        self.now = 0.0
        self.log = []
        self.flying = []
        self.lease_managers = {
            name: LeaseManager(
                name="fleet", holder=name, ttl_s=TTL_S, margin_s=MARGIN_S
            )
            for name in names
        }
        self.read = dict.fromkeys(names, 0)
        self.paused = set()
        self.late_s = 0.0
        self.both = []

    def run(self, seconds, step_s=0.1):
        """Let time pass; note each moment at which two may act."""
        until = self.now + seconds
        while self.now < until:
            self.now += step_s
            landed = [row for row in self.flying if row[0] <= self.now]
            self.flying = [row for row in self.flying if row[0] > self.now]
            self.log += [record for _, record in sorted(landed, key=at)]
            for name, lease_manager in self.lease_managers.items():
                if name not in self.paused:
                    self.step(name, lease_manager)
            acting = [
                name
                for name, lease_manager in self.lease_managers.items()
                if lease_manager.holds(self.now)
            ]
            if len(acting) > 1:
                self.both.append((self.now, acting))

    def step(self, name, lease_manager):
        """Let one lease manager read on and append."""
        while self.read[name] < len(self.log):
            offset = self.read[name]
            lease_manager.apply(offset, self.log[offset], self.now)
            self.read[name] += 1
        record = lease_manager.tick(self.now, self.now)
        if record is not None:
            delay = 0.05 + self.rng.random() * self.late_s
            self.flying.append((self.now + delay, record))

    def run_until_held(self):
        """Let time pass until somebody may act."""
        for _ in range(100):
            self.run(0.1)
            if self.holder():
                return True
        return False

    def holder(self):
        """Return who may act now, '' if nobody."""
        names = [
            name
            for name, lease_manager in self.lease_managers.items()
            if lease_manager.holds(self.now)
        ]
        return names[0] if names else ""


def at(row):
    """Return when a record lands."""
    return row[0]


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("late_s", (0.0, 3.0, 10.0))
def test_two_never_act_at_once(seed, late_s):
    world = LeaseWorld("abc", seed=seed)
    world.late_s = late_s
    for _ in range(20):
        world.run(world.rng.random() * 10)
        victim = world.rng.choice("abc")
        if victim in world.paused:
            world.paused.discard(victim)
        else:
            world.paused.add(victim)
    assert world.both == []


def test_paused_holder_stops_before_another_begins():
    world = LeaseWorld("ab")
    world.run(3.0)
    first = world.holder()
    world.paused.add(first)
    world.run(30.0)
    second = world.holder()
    assert second and second != first
    world.paused.clear()
    world.run(3.0)
    assert world.holder() == second
    assert world.both == []


def test_without_the_margin_two_may_act(monkeypatch):
    """A reader that claims without waiting overlaps the paused holder."""
    monkeypatch.setattr(
        "magnoliaflow.cluster.leases.LeaseTable.may_claim", lambda *a: True
    )
    world = LeaseWorld("ab")
    world.run(10.0)
    assert world.run_until_held()
    world.paused.add(world.holder())
    world.run(4.0)
    assert world.both


def test_fences_rise_with_each_take_over():
    world = LeaseWorld("ab")
    fences = []
    for _ in range(4):
        world.run(20.0)
        holder = world.holder()
        fences.append(world.lease_managers[holder].fence)
        world.paused = {holder}
    assert fences == sorted(set(fences))


class Server:
    """An engine that takes orders, and may check the number."""

    def __init__(self, *, checks):
        self.checks = checks
        self.fence = -1
        self.models = ()

    def order(self, fence, models):
        """Take an order unless it is checked and old."""
        if self.checks and fence < self.fence:
            return False
        self.fence = fence
        self.models = models
        return True


@pytest.mark.parametrize("checks", (True, False))
def test_order_of_a_paused_holder_does_no_harm(checks):
    """An order sent before a pause lands late at either kind of server.

    One that checks refuses it.  For one that does not, the new holder
    waits until such orders have run out, reads what the server does and
    orders the desired end again.
    """
    world = LeaseWorld("ab")
    world.run(10.0)
    old = world.holder()
    stale = world.lease_managers[old].fence
    world.paused.add(old)
    server = Server(checks=checks)
    world.run(9.0)
    new = world.lease_managers[next(name for name in "ab" if name != old)]
    assert new.holds(world.now)
    if checks:
        assert server.order(new.fence, ("new",))
        assert not server.order(stale, ("old",))
    else:
        assert not new.previous_orders_expired(world.now)
        server.order(stale, ("old",))
        world.run(TTL_S + MARGIN_S)
        assert new.previous_orders_expired(world.now)
        if server.models != ("new",):
            server.order(new.fence, ("new",))
    assert server.models == ("new",)
