"""Unexpected errors are logged and counted, and the process goes on."""

from logging import getLogger
from random import Random
from types import SimpleNamespace

import pytest

from magnoliaflow.common import faults
from magnoliaflow.common.faults import FaultLog
from magnoliaflow.common.faults import REPEAT_INTERVAL_S
from magnoliaflow.entry.daemon import EntryProcess
from magnoliaflow.entry import followers
from magnoliaflow.entry.followers import RegistrationFollower
from magnoliaflow.entry.state import EntryState
from magnoliaflow.platform.nodefile import decode_host_settings

SETTINGS = """nodeName=e-1
zone=a
listenAddresses.frontend=10.0.0.1:1
listenAddresses.controlPlane=10.0.0.1:2
platform.address=10.0.0.9:3
"""


@pytest.fixture
def state():
    """Return the state of an entry process."""
    return EntryState(
        decode_host_settings(SETTINGS),
        identity="e-1-a",
        rng=Random(1),
        logger=getLogger("faults"),
    )


def fault_count(state, place):
    value = state.metrics.registry.get_sample_value(
        "magnoliaflow_entry_faults_total", {"place": place}
    )
    return value or 0


def test_a_fault_that_goes_on_is_reported_once_an_interval(monkeypatch):
    clock = SimpleNamespace(now=5.0)
    monkeypatch.setattr(faults, "boot_time", lambda: clock.now)
    reports = []
    log = FaultLog(lambda place, trace, count: reports.append((place, count)))
    for _ in range(3):
        log.record("tick", ValueError("odd"))
    log.record("orders", ValueError("odd"))
    clock.now += REPEAT_INTERVAL_S
    log.record("tick", ValueError("odd"))
    assert reports == [("tick", 1), ("orders", 1), ("tick", 3)]


def test_an_error_in_a_part_of_a_tick_does_not_leave_it(state):
    """Guards against processes that ended on one error in a tick."""

    def fail(now):
        raise ZeroDivisionError

    EntryProcess._run(SimpleNamespace(state=state), "orders", fail, 0.0)
    assert fault_count(state, "orders") == 1


def test_an_error_in_one_entry_does_not_leave_the_follower(state, monkeypatch):
    """Guards against followers that ended on one entry of an engine."""

    def fail(*args, **kwargs):
        raise OverflowError

    monkeypatch.setattr(followers, "apply_registration", fail)
    RegistrationFollower(state, None)._apply("m1", None, 1)
    assert fault_count(state, "engine entry") == 1
