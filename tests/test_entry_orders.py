"""Orders of engines during capacity shortages, in virtual time."""

from logging import getLogger
from random import Random

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.defer import fail
from twisted.internet.defer import succeed

from magnoliaflow.common.errors import StartRefusedError
from magnoliaflow.common.messages import EngineEntry
from magnoliaflow.entry.orders import OrderDuty
from magnoliaflow.entry.orders import REGISTRATION_SETTLE_S
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.updates import apply_registration
from magnoliaflow.entry.updates import DEFAULT_PREFILL_RATE
from magnoliaflow.platform.nodefile import decode_host_settings
from magnoliaflow.policy.rollouts import RolloutDecision
from magnoliaflow.policy.rollouts import RolloutOrder
from magnoliaflow.policy.rollouts import RolloutStage
from magnoliaflow.policy.routes import RouteTable
from magnoliaflow.policy.routes import Scaling
from magnoliaflow.policy.routes import Service

BOOT_FILE = """nodeName=e-1
zone=a
listenAddresses.frontend=10.0.0.1:1
listenAddresses.controlPlane=10.0.0.1:2
platform.address=10.0.0.9:3
"""
TICK_S = 0.05
BOOT_S = 4.0
SCALING = Scaling(1, 3, BOOT_S, 0.2, {"a": 0.85, "b": 1.2, "c": 1.0})


class SimulatedDeployment:
    """Engines of one service in three zones, started and stopped by orders.

    ``on_demand_engine_s`` is the total running time of on-demand engines.
    """

    def __init__(self, state):
        self.state = state
        self.now = 0.0
        self.in_shortage = False
        self.engines = {}
        self.starting = []
        self.order_count = 0
        self.offset = 0
        self.next_lease_offset = 0
        self.on_demand_engine_s = 0.0

    def order_engines(self, service, zone, count, *, spot, fence):
        """Carry out or refuse an order as the platform does."""
        self.order_count += 1
        if spot and self.in_shortage and count > self._count(zone, spot):
            return fail(StartRefusedError("no reclaimable capacity"))
        missing = (
            count - self._count(zone, spot) - self._starting_count(zone, spot)
        )
        for _ in range(missing):
            self.starting.append((self.now + BOOT_S, zone, spot))
        for _ in range(min(-missing, self._starting_count(zone, spot))):
            self.starting.remove(
                next(
                    engine
                    for engine in self.starting
                    if engine[1:] == (zone, spot)
                )
            )
        for name in self._names(zone, spot)[count:]:
            self.deregister(name)
        return succeed(None)

    def register(self, zone, spot):
        """Register a new engine."""
        self.offset += 1
        name = f"m{self.offset}"
        entry = EngineEntry(
            name, "llm", f"h:{self.offset}", zone, 64, False, spot=spot
        )
        self.engines[name] = (zone, spot)
        apply_registration(self.state, name, entry, self.offset)

    def deregister(self, name):
        """Remove an engine."""
        self.offset += 1
        del self.engines[name]
        apply_registration(self.state, name, None, self.offset)

    def reclaim(self, zone):
        """Reclaim a zone's reclaimable engines and start a shortage."""
        self.in_shortage = True
        self.starting = [engine for engine in self.starting if not engine[2]]
        for name in self._names(zone, True):
            self.deregister(name)

    def simulate(self, duty, until, tokens_per_s):
        """Simulate a load; return the lowest number of running engines."""
        fewest = len(self.engines)
        while self.now < until:
            self.now += TICK_S
            self._renew_lease()
            for engine in [
                engine for engine in self.starting if engine[0] <= self.now
            ]:
                self.starting.remove(engine)
                self.register(*engine[1:])
            tokens = tokens_per_s * TICK_S
            self.state.local_loads["llm"].record(tokens, self.now)
            duty.tick(self.now)
            fewest = min(fewest, len(self.engines))
            self.on_demand_engine_s += TICK_S * self.on_demand_count()
        return fewest

    def on_demand_count(self):
        """Return how many on-demand engines run."""
        return sum(not spot for _, spot in self.engines.values())

    def _renew_lease(self):
        record = self.state.lease_manager.tick(self.now, 0.0)
        if record is not None:
            self.state.lease_manager.apply(
                self.next_lease_offset, record, self.now
            )
            self.next_lease_offset += 1

    def _names(self, zone, spot):
        return [
            name for name, kind in self.engines.items() if kind == (zone, spot)
        ]

    def _count(self, zone, spot):
        return len(self._names(zone, spot))

    def _starting_count(self, zone, spot):
        return sum(engine[1:] == (zone, spot) for engine in self.starting)


@pytest.fixture
def deployment(monkeypatch):
    """Return a deployment in which the host under test holds the duties."""
    state = EntryState(
        decode_host_settings(BOOT_FILE),
        identity="e-1-a",
        rng=Random(1),
        logger=getLogger("orders"),
    )
    deployment = SimulatedDeployment(state)
    monkeypatch.setattr(
        "magnoliaflow.entry.orders.boot_time", lambda: deployment.now
    )
    state.started_at = 0.0
    service = Service("llm", True, 100, 300_000, SCALING)
    state.route_table = RouteTable(1, services={"llm": service})
    return deployment


def simulate_until_settled(deployment, load):
    """Return the duty once reclaimable engines replaced the first ones."""
    for zone in "aabbc":
        deployment.register(zone, False)
    duty = OrderDuty(deployment.state, deployment)
    deployment.simulate(duty, 14.0, 0.0)
    deployment.simulate(duty, 30.0, load)
    assert deployment.on_demand_count() == 0
    return duty


@pytest.mark.parametrize("busy_engines", (0.5, 1.2, 2.2))
@pytest.mark.parametrize("zones", ("cab", "abc", "bca"))
def test_a_capacity_shortage_leaves_the_engines_that_the_load_needs(
    deployment, busy_engines, zones
):
    """Zones are reclaimed one after the other; the shortage lasts 18 s."""
    load = DEFAULT_PREFILL_RATE * busy_engines
    duty = simulate_until_settled(deployment, load)
    for zone in zones:
        deployment.reclaim(zone)
        deployment.simulate(duty, deployment.now + BOOT_S + 1.0, load)
        assert len(deployment.engines) * DEFAULT_PREFILL_RATE > load
    deployment.simulate(duty, deployment.now + 3.0, load)
    deployment.in_shortage = False
    fewest = deployment.simulate(duty, deployment.now + 30.0, load)
    assert fewest * DEFAULT_PREFILL_RATE > load
    assert deployment.on_demand_count() == 0


def test_on_demand_engines_stay_until_reclaimable_ones_run(deployment):
    """Accepted orders are not yet running engines.

    Guards against stopping every on-demand engine once they are accepted.
    """
    load = DEFAULT_PREFILL_RATE * 1.2
    duty = simulate_until_settled(deployment, load)
    for zone in "abc":
        deployment.reclaim(zone)
    deployment.simulate(duty, deployment.now + 12.0, load)
    previous_count = len(deployment.engines)
    deployment.in_shortage = False
    assert deployment.simulate(duty, deployment.now + BOOT_S, load) >= min(
        previous_count, 2
    )


def test_a_new_deployment_replaces_its_first_engines_before_its_load(
    deployment,
):
    for zone in "aabbc":
        deployment.register(zone, False)
    duty = OrderDuty(deployment.state, deployment)
    assert deployment.simulate(duty, 10.0, 0.0) >= 1
    assert deployment.on_demand_count() == 0 and len(deployment.engines) >= 4
    # Once all had the time to register, one stays until reclaimable engines
    # run.
    waited_s = 5 * REGISTRATION_SETTLE_S
    assert deployment.on_demand_engine_s < waited_s + 2 * BOOT_S


def test_engines_that_register_one_after_another_are_all_kept(deployment):
    """An order that releases engines also releases unregistered ones.

    So a deployment that has just started must not give up most of its
    engines before it knows of them.
    """
    duty = OrderDuty(deployment.state, deployment)
    for index in range(40):
        deployment.register("abc"[index % 3], False)
        deployment.simulate(duty, 0.05 * (index + 1), 0.0)
    assert deployment.on_demand_count() == 40


def restart_duty(deployment):
    """Return the duty of a process that has just restarted."""
    state = deployment.state
    state.started_at = deployment.now
    state.local_loads.clear()
    state.local_loads["llm"].demand.record(1.0, deployment.now)
    return OrderDuty(state, deployment)


def test_a_process_that_does_not_know_the_load_stops_no_engines(deployment):
    """Guards against stopping engines after all hosts were killed at once.

    The restarted processes knew no load and stopped eight of eleven engines.
    """
    load = DEFAULT_PREFILL_RATE * 2.2
    deployment.next_lease_offset = 7
    simulate_until_settled(deployment, load)
    previous_count = len(deployment.engines)
    duty = restart_duty(deployment)
    assert (
        deployment.simulate(duty, deployment.now + 1.0, 0.0) == previous_count
    )
    assert (
        deployment.simulate(duty, deployment.now + 30.0, load)
        * DEFAULT_PREFILL_RATE
        > load
    )


def test_a_takeover_stops_no_engines_at_once(deployment):
    load = DEFAULT_PREFILL_RATE * 2.2
    deployment.next_lease_offset = 7
    duty = simulate_until_settled(deployment, load)
    previous_count = len(deployment.engines)
    duty.holds_lease = False
    assert (
        deployment.simulate(duty, deployment.now + 5.0, load / 4)
        == previous_count
    )


def test_an_idle_service_shrinks_after_a_restart(deployment):
    deployment.next_lease_offset = 7
    simulate_until_settled(deployment, DEFAULT_PREFILL_RATE * 2.2)
    previous_count = len(deployment.engines)
    duty = restart_duty(deployment)
    deployment.simulate(duty, deployment.now + 30.0, 0.0)
    assert len(deployment.engines) < previous_count


def test_a_refused_order_is_not_sent_again_at_once(deployment):
    duty = simulate_until_settled(deployment, DEFAULT_PREFILL_RATE)
    deployment.reclaim("a")
    previous_count = deployment.order_count
    deployment.simulate(duty, deployment.now + 10.0, DEFAULT_PREFILL_RATE)
    assert deployment.order_count - previous_count < 20


def test_a_pending_order_is_not_sent_again(deployment):
    duty = simulate_until_settled(deployment, DEFAULT_PREFILL_RATE)
    sent = []

    def never_answer(service, zone, count, *, spot, fence):
        sent.append((zone, spot))
        return Deferred()

    deployment.order_engines = never_answer
    deployment.reclaim("a")
    deployment.simulate(duty, deployment.now + 3.0, DEFAULT_PREFILL_RATE)
    assert len(sent) == len(set(sent)) > 0


def test_a_plan_is_logged_with_what_came(deployment, caplog):
    """Where rates are learned; the forecast is that of one boot time ago."""
    caplog.set_level("INFO", logger="orders")
    load = DEFAULT_PREFILL_RATE * 2.2
    deployment.state.learning_services = {"llm"}
    simulate_until_settled(deployment, load)
    plans = [
        record
        for record in caplog.records
        if getattr(record, "event_name", "") == "ENGINES_PLANNED"
    ]
    last = plans[-1]
    assert last.rate == pytest.approx(load, rel=0.1)
    assert last.foreseen_rate == pytest.approx(load, rel=0.1)
    assert last.planned_rate >= last.rate * 0.95
    assert len(deployment.engines) * DEFAULT_PREFILL_RATE > load


def test_a_rollout_gives_no_engines_back_and_its_end_is_no_loss(deployment):
    """Guards against engines stopped for a count that holds two versions."""
    load = DEFAULT_PREFILL_RATE * 1.2
    duty = simulate_until_settled(deployment, load)
    old = dict(deployment.engines)
    book = deployment.state.rollouts
    book.learn_order(
        RolloutOrder("llm", "v2", 12.0, 5), deployment.now, is_new=True
    )
    for zone, spot in old.values():
        deployment.register(zone, spot)
    until = deployment.now + 12.0
    assert deployment.simulate(duty, until, load) == 2 * len(old)
    completed = RolloutDecision(
        "llm", "v2", 5, 1, RolloutStage.COMPLETED, (), 12.0, ""
    )
    book.observe(completed, 1, deployment.now, deployment.now)
    for name in old:
        deployment.deregister(name)
    until = deployment.now + 20.0
    assert deployment.simulate(duty, until, load) >= len(old)
    assert deployment.on_demand_count() == 0
