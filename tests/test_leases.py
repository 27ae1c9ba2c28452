"""Tests that at most one process acts as the holder of a lease."""

from random import Random

import pytest

from magnoliaflow.cluster.leasemanager import LeaseManager

TTL_S = 6.0
MARGIN_S = 1.0


class LeaseWorld:
    """Lease managers that share a simulated log, in virtual time."""

    def __init__(self, names, *, seed=0):
        self.rng = Random(seed)
        self.now = 0.0
        self.log = []
        self.appends_in_flight = []
        self.lease_managers = {
            name: LeaseManager(
                name="fleet", holder=name, ttl_s=TTL_S, margin_s=MARGIN_S
            )
            for name in names
        }
        self.next_offset = dict.fromkeys(names, 0)
        self.era = 0
        self.eras = dict.fromkeys(names, 0)
        self.fences = {}
        self.paused = set()
        self.max_delay_s = 0.0
        self.overlaps = []

    def run(self, seconds, step_s=0.1):
        """Advance time and record when more than one of them may act."""
        until = self.now + seconds
        while self.now < until:
            self.now += step_s
            landed = [
                append
                for append in self.appends_in_flight
                if append[0] <= self.now
            ]
            self.appends_in_flight = [
                append
                for append in self.appends_in_flight
                if append[0] > self.now
            ]
            self.log += [
                record for _, record in sorted(landed, key=landing_time)
            ]
            for name, lease_manager in self.lease_managers.items():
                if name not in self.paused:
                    self.advance_lease_manager(name, lease_manager)
            acting = [
                name
                for name, lease_manager in self.lease_managers.items()
                if lease_manager.holds(self.now)
            ]
            for name in acting:
                fence = self.lease_managers[name].fence
                self.fences.setdefault(fence, set()).add(name)
            if len(acting) > 1:
                self.overlaps.append((self.now, acting))

    def advance_lease_manager(self, name, lease_manager):
        """Let one lease manager read new records and append its own."""
        if self.eras[name] < self.era:
            self.eras[name] = self.era
            self.next_offset[name] = 0
            lease_manager.begin_era(self.era, self.now, wait=True)
        while self.next_offset[name] < len(self.log):
            offset = self.next_offset[name]
            lease_manager.apply(offset, self.log[offset], self.now)
            self.next_offset[name] += 1
        record = lease_manager.tick(self.now, self.now)
        if record is not None:
            delay = 0.05 + self.rng.random() * self.max_delay_s
            self.appends_in_flight.append((self.now + delay, record))

    def go_back(self, lost):
        """Come back without the last records, in a new era."""
        del self.log[max(0, len(self.log) - lost) :]
        self.era += 1

    def restart(self, name):
        """Replace a process by one that knows nothing."""
        self.lease_managers[name] = LeaseManager(
            name="fleet",
            holder=f"{name}-{self.now}",
            ttl_s=TTL_S,
            margin_s=MARGIN_S,
        )
        self.next_offset[name] = self.eras[name] = 0

    def run_until_held(self):
        """Advance time until one may act; return whether that happened."""
        for _ in range(100):
            self.run(0.1)
            if self.holder():
                return True
        return False

    def holder(self):
        """Return the name of the manager that may act now, or an empty one."""
        names = [
            name
            for name, lease_manager in self.lease_managers.items()
            if lease_manager.holds(self.now)
        ]
        return names[0] if names else ""


def landing_time(append):
    """Return the time at which an append reaches the log."""
    return append[0]


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("max_delay_s", (0.0, 3.0, 10.0))
def test_at_most_one_holder_may_act(seed, max_delay_s):
    world = LeaseWorld("abc", seed=seed)
    world.max_delay_s = max_delay_s
    for _ in range(20):
        world.run(world.rng.random() * 10)
        name = world.rng.choice("abc")
        if name in world.paused:
            world.paused.discard(name)
        else:
            world.paused.add(name)
    assert world.overlaps == []


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("max_delay_s", (0.0, 3.0))
def test_a_log_that_goes_back_lets_one_act_and_no_fence_return(
    seed, max_delay_s
):
    """Also twice in a row, beside restarts and pauses."""
    world = LeaseWorld("abc", seed=seed)
    world.max_delay_s = max_delay_s
    for _ in range(12):
        world.run(world.rng.random() * 12)
        name = world.rng.choice("abc")
        step = world.rng.choice(("back", "back", "restart", "pause"))
        if step == "restart":
            world.restart(name)
        elif step == "pause":
            world.paused ^= {name}
        else:
            world.go_back(world.rng.randrange(1, 8))
    world.paused.clear()
    world.run(30.0)
    assert world.holder()
    assert world.overlaps == []
    assert all(len(names) == 1 for names in world.fences.values())


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
    assert world.overlaps == []


def test_claims_before_expiry_let_two_act(monkeypatch):
    """A claim before the lease has expired overlaps the paused holder."""
    monkeypatch.setattr(
        "magnoliaflow.cluster.leases.LeaseTable.may_claim", lambda *a: True
    )
    world = LeaseWorld("ab")
    world.run(10.0)
    assert world.run_until_held()
    world.paused.add(world.holder())
    world.run(4.0)
    assert world.overlaps


def test_fence_increases_with_each_takeover():
    world = LeaseWorld("ab")
    fences = []
    for _ in range(4):
        world.run(20.0)
        holder = world.holder()
        fences.append(world.lease_managers[holder].fence)
        world.paused = {holder}
    assert fences == sorted(set(fences))


class FakeEngine:
    """An engine that executes orders and may check the fence."""

    def __init__(self, *, checks_fence):
        self.checks_fence = checks_fence
        self.fence = -1
        self.models = ()

    def order(self, fence, models):
        """Execute an order, or return False if its fence is stale."""
        if self.checks_fence and fence < self.fence:
            return False
        self.fence = fence
        self.models = models
        return True


@pytest.mark.parametrize("checks_fence", (True, False))
def test_stale_order_has_no_lasting_effect(checks_fence):
    """An order sent before a pause reaches the engine after a takeover.

    An engine that checks fences refuses it.  If the engine does not check,
    the new holder waits until such orders can no longer arrive, reads the
    engine's state and repeats its own order.
    """
    world = LeaseWorld("ab")
    world.run(10.0)
    old_holder = world.holder()
    stale_fence = world.lease_managers[old_holder].fence
    world.paused.add(old_holder)
    engine = FakeEngine(checks_fence=checks_fence)
    world.run(9.0)
    new_lease_manager = world.lease_managers[
        next(name for name in "ab" if name != old_holder)
    ]
    assert new_lease_manager.holds(world.now)
    if checks_fence:
        assert engine.order(new_lease_manager.fence, ("new",))
        assert not engine.order(stale_fence, ("old",))
    else:
        assert not new_lease_manager.previous_orders_expired(world.now)
        engine.order(stale_fence, ("old",))
        world.run(TTL_S + MARGIN_S)
        assert new_lease_manager.previous_orders_expired(world.now)
        if engine.models != ("new",):
            engine.order(new_lease_manager.fence, ("new",))
    assert engine.models == ("new",)
