"""Orders of engines through dry spells, in virtual time."""

from logging import getLogger
from random import Random

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.defer import fail
from twisted.internet.defer import succeed

from magnoliaflow.common.errors import StartRefusedError
from magnoliaflow.common.messages import EngineEntry
from magnoliaflow.entry.orders import OrderDuty
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.updates import apply_registration
from magnoliaflow.entry.updates import DEFAULT_PREFILL_RATE
from magnoliaflow.platform.nodefile import decode_host_settings
from magnoliaflow.policy.routes import RouteTable
from magnoliaflow.policy.routes import Scaling
from magnoliaflow.policy.routes import Service

BOOT = """nodeName=e-1
zone=a
listenAddresses.frontend=10.0.0.1:1
listenAddresses.controlPlane=10.0.0.1:2
platform.address=10.0.0.9:3
"""
STEP_S = 0.05
BOOT_S = 4.0
SCALING = Scaling(1, 3, BOOT_S, 0.2, {"a": 0.85, "b": 1.2, "c": 1.0})


class Yard:
    """Engines of one service in three zones, as orders change them."""

    def __init__(self, state):
        self.state = state
        self.now = 0.0
        self.dry = False
        self.engines = {}
        self.starting = []
        self.orders = 0
        self.offset = 0
        self.leased = 0
        self.kept = 0.0

    def order_engines(self, service, zone, count, *, spot, fence):
        """Take an order as the platform does."""
        self.orders += 1
        if spot and self.dry and count > self._count(zone, spot):
            return fail(StartRefusedError("none to be had"))
        lacking = count - self._count(zone, spot) - self._coming(zone, spot)
        for _ in range(lacking):
            self.starting.append((self.now + BOOT_S, zone, spot))
        for _ in range(min(-lacking, self._coming(zone, spot))):
            self.starting.remove(
                next(row for row in self.starting if row[1:] == (zone, spot))
            )
        for name in self._names(zone, spot)[count:]:
            self.leave(name)
        return succeed(None)

    def add(self, zone, spot):
        """Let an engine register."""
        self.offset += 1
        name = f"m{self.offset}"
        row = EngineEntry(
            name, "llm", f"h:{self.offset}", zone, 64, False, spot=spot
        )
        self.engines[name] = (zone, spot)
        apply_registration(self.state, name, row, self.offset)

    def leave(self, name):
        """Let an engine go."""
        self.offset += 1
        del self.engines[name]
        apply_registration(self.state, name, None, self.offset)

    def reclaim(self, zone):
        """Take a zone's reclaimable engines; no others are to be had."""
        self.dry = True
        self.starting = [row for row in self.starting if not row[2]]
        for name in self._names(zone, True):
            self.leave(name)

    def run(self, duty, until, tokens_per_s):
        """Play a load; return the fewest engines that stood."""
        fewest = len(self.engines)
        while self.now < until:
            self.now += STEP_S
            self._renew()
            for row in [row for row in self.starting if row[0] <= self.now]:
                self.starting.remove(row)
                self.add(*row[1:])
            tokens = tokens_per_s * STEP_S
            self.state.local_loads["llm"].demand.record(tokens, self.now)
            duty.tick(self.now)
            fewest = min(fewest, len(self.engines))
            self.kept += STEP_S * self.on_demand()
        return fewest

    def on_demand(self):
        """Return how many on-demand engines stand."""
        return sum(not spot for _, spot in self.engines.values())

    def _renew(self):
        record = self.state.lease_manager.tick(self.now, 0.0)
        if record is not None:
            self.state.lease_manager.apply(self.leased, record, self.now)
            self.leased += 1

    def _names(self, zone, spot):
        return [
            name for name, row in self.engines.items() if row == (zone, spot)
        ]

    def _count(self, zone, spot):
        return len(self._names(zone, spot))

    def _coming(self, zone, spot):
        return sum(row[1:] == (zone, spot) for row in self.starting)


@pytest.fixture
def yard(monkeypatch):
    """Return a deployment in which the host under test holds the duties."""
    state = EntryState(
        decode_host_settings(BOOT),
        identity="e-1-a",
        rng=Random(1),
        logger=getLogger("orders"),
    )
    yard = Yard(state)
    monkeypatch.setattr(
        "magnoliaflow.entry.orders.boot_time", lambda: yard.now
    )
    state.started_at = 0.0
    service = Service("llm", True, 100, 300_000, SCALING)
    state.route_table = RouteTable(1, services={"llm": service})
    return yard


def settle(yard, load):
    """Return the duty after the first engines were replaced."""
    for zone in "aabbc":
        yard.add(zone, False)
    duty = OrderDuty(yard.state, yard)
    yard.run(duty, 14.0, 0.0)
    yard.run(duty, 30.0, load)
    assert yard.on_demand() == 0
    return duty


@pytest.mark.parametrize("use", (0.5, 1.2, 2.2))
@pytest.mark.parametrize("order", ("cab", "abc", "bca"))
def test_a_dry_spell_leaves_the_engines_that_the_load_needs(yard, use, order):
    """Zones are reclaimed one after the other, none is to be had for 12 s."""
    load = DEFAULT_PREFILL_RATE * use
    duty = settle(yard, load)
    for zone in order:
        yard.reclaim(zone)
        yard.run(duty, yard.now + BOOT_S + 1.0, load)
        assert len(yard.engines) * DEFAULT_PREFILL_RATE > load
    yard.run(duty, yard.now + 3.0, load)
    yard.dry = False
    fewest = yard.run(duty, yard.now + 30.0, load)
    assert fewest * DEFAULT_PREFILL_RATE > load
    assert yard.on_demand() == 0


def test_on_demand_engines_stay_until_reclaimable_ones_stand(yard):
    """Accepted orders are no engines yet: all were given up for them."""
    load = DEFAULT_PREFILL_RATE * 1.2
    duty = settle(yard, load)
    for zone in "abc":
        yard.reclaim(zone)
    yard.run(duty, yard.now + 12.0, load)
    stood = len(yard.engines)
    yard.dry = False
    assert yard.run(duty, yard.now + BOOT_S, load) >= min(stood, 2)


def test_a_new_deployment_replaces_its_first_engines_before_its_load(yard):
    for zone in "aabbc":
        yard.add(zone, False)
    duty = OrderDuty(yard.state, yard)
    assert yard.run(duty, 10.0, 0.0) >= 1
    assert yard.on_demand() == 0 and len(yard.engines) >= 4
    # One stays until others stand.
    assert yard.kept < 2 * BOOT_S


def restart(yard):
    """Return the duty of a process that has just been started anew."""
    state = yard.state
    state.started_at = yard.now
    state.local_loads.clear()
    state.local_loads["llm"].demand.record(1.0, yard.now)
    return OrderDuty(state, yard)


def test_a_process_that_knows_no_load_yet_gives_nothing_back(yard):
    """All hosts were killed at once: eight of eleven engines were lost."""
    load = DEFAULT_PREFILL_RATE * 2.2
    yard.leased = 7
    settle(yard, load)
    stood = len(yard.engines)
    duty = restart(yard)
    assert yard.run(duty, yard.now + 1.0, 0.0) == stood
    assert yard.run(duty, yard.now + 30.0, load) * DEFAULT_PREFILL_RATE > load


def test_a_takeover_gives_nothing_back_at_once(yard):
    load = DEFAULT_PREFILL_RATE * 2.2
    yard.leased = 7
    duty = settle(yard, load)
    stood = len(yard.engines)
    duty.holds_lease = False
    assert yard.run(duty, yard.now + 5.0, load / 4) == stood


def test_an_idle_service_shrinks_after_a_restart(yard):
    yard.leased = 7
    settle(yard, DEFAULT_PREFILL_RATE * 2.2)
    stood = len(yard.engines)
    duty = restart(yard)
    yard.run(duty, yard.now + 30.0, 0.0)
    assert len(yard.engines) < stood


def test_a_refused_order_is_not_sent_again_at_once(yard):
    duty = settle(yard, DEFAULT_PREFILL_RATE)
    yard.reclaim("a")
    before = yard.orders
    yard.run(duty, yard.now + 10.0, DEFAULT_PREFILL_RATE)
    assert yard.orders - before < 20


def test_an_unanswered_order_is_not_sent_beside_itself(yard):
    duty = settle(yard, DEFAULT_PREFILL_RATE)
    sent = []

    def hang(service, zone, count, *, spot, fence):
        sent.append((zone, spot))
        return Deferred()

    yard.order_engines = hang
    yard.reclaim("a")
    yard.run(duty, yard.now + 3.0, DEFAULT_PREFILL_RATE)
    assert len(sent) == len(set(sent)) > 0
