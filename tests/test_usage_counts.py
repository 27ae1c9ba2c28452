"""Usage reports of 66 hosts in virtual time: calm, deaths, cuts, restarts."""

import pytest
from usagefleet import UsageFleet

from magnoliaflow.entry.usagecounts import handle_usage_counts
from magnoliaflow.entry.usagecounts import usage_counts
from magnoliaflow.policy.usage import KEPT_WINDOWS
from magnoliaflow.policy.usage import UsageCounter

HOSTS = 66
TOLERANCE = 0.05
# Messages that a host sends a second.
MAX_MESSAGES_PER_S = 12


@pytest.fixture
def fleet(monkeypatch):
    """Return a fleet that has started."""
    fleet = UsageFleet(HOSTS, monkeypatch=monkeypatch)
    fleet.run(20.0)
    return fleet


def test_calm_windows_add_up(fleet):
    """Only what a clock may be off by is missing."""
    fleet.run(30.0)
    assert len(fleet.off()) >= 7
    assert max(fleet.off().values()) < 0.005
    assert fleet.sent / HOSTS / 50.0 < MAX_MESSAGES_PER_S


@pytest.mark.parametrize("hosts", [6, HOSTS])
def test_a_dead_holder_loses_little(monkeypatch, hosts):
    """Its successor reports in time, with what all had counted."""
    fleet = UsageFleet(hosts, monkeypatch=monkeypatch)
    fleet.run(20.0)
    fleet.holder().gone = True
    fleet.run(30.0)
    assert max(fleet.off().values()) < (0.01 if hosts > 6 else TOLERANCE)


def test_counts_of_earlier_builds_are_not_waited_for(monkeypatch):
    """Half of the hosts; the holder dies, a window is due meanwhile."""
    fleet = UsageFleet(HOSTS, monkeypatch=monkeypatch, old_hosts=33)
    fleet.run(20.0)
    fleet.holder().gone = True
    fleet.run(30.0)
    assert max(fleet.off().values()) < TOLERANCE
    late = [late for window, (_, late) in fleet.reported.items()]
    assert sorted(late)[len(late) // 2] < 4.5


def test_many_killed_hosts_lose_little(fleet):
    """A quarter of the hosts ends at once, and starts again 2 s later."""
    killed = [host for host in fleet.hosts.values() if host.number % 4 == 1]
    for host in killed:
        host.gone = True
    fleet.run(2.0)
    for host in killed:
        fleet.start(host.number, run=1)
    fleet.run(30.0)
    assert max(fleet.off().values()) < TOLERANCE


def test_hosts_cut_off_for_a_while_are_waited_for(fleet):
    """A sixth is cut off at the end of a window."""
    fleet.run(4.0)
    cut = [host for host in fleet.hosts.values() if host.number % 6 == 1]
    for host in cut:
        host.cut = True
    fleet.run(5.5)
    for host in cut:
        host.cut = False
    fleet.run(30.0)
    assert max(fleet.off().values()) < 0.01


def test_restarts_in_turn_lose_nothing(fleet):
    """Every second host is told to stop, the others are killed in turn."""
    for host in list(fleet.hosts.values()):
        if host.number % 2:
            host.stop()
        else:
            host.gone = True
        fleet.run(0.3)
        fleet.start(host.number, run=1)
    fleet.run(20.0)
    assert max(fleet.off().values()) < 0.02


def test_counts_that_nobody_reports_are_forgotten():
    usage = UsageCounter(window_s=5.0)
    for window in range(100):
        usage.add("h1", "a1", 5.0 * window)
    assert len(usage.counts) <= KEPT_WINDOWS + 1
    assert len(usage.take_changed("h1")) <= KEPT_WINDOWS + 1


def test_copies_from_reports_alone_are_not_taken_as_complete(fleet):
    """An aggregator passes on what it has of a process that ended."""
    aggregator, holder = list(fleet.hosts.values())[:2]
    aggregator.state.usage.merge("ended", "a1", 200_003, 3)
    message = usage_counts(aggregator.state, "ended", fleet.now)
    handle_usage_counts(holder.state, message, fleet.now)
    assert holder.state.usage.lacking(["ended"], 200_003) == {"ended"}
