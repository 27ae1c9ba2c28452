"""Usage reports of 66 hosts in virtual time: calm, deaths, cuts, restarts."""

import pytest
from usagefleet import UsageFleet
from usagefleet import WINDOW_S

from magnoliaflow.common import clocks
from magnoliaflow.common.codec import decode_value
from magnoliaflow.common.codec import encode_value
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.messages import UsageCounts
from magnoliaflow.entry.heartbeats import handle_message
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.usagecounts import usage_counts
from magnoliaflow.policy.clockbounds import OffsetBounds
from magnoliaflow.policy.usage import is_report_due
from magnoliaflow.policy.usage import MAX_WINDOWS
from magnoliaflow.policy.usage import UsageCounter

HOSTS = 66
TOLERANCE = 0.05
# Messages that a host sends a second on average, and those of them with all
# usage counts at most: to three hosts each 1.6 s, and to a new holder at once.
MAX_MESSAGES_PER_S = 12
MAX_USAGE_MESSAGES_PER_S = 2.5


@pytest.fixture
def fleet(monkeypatch):
    """Return a fleet that has started."""
    fleet = UsageFleet(HOSTS, monkeypatch=monkeypatch)
    fleet.run(20.0)
    return fleet


def test_calm_windows_add_up(fleet):
    """Only what a clock may be off by is missing."""
    fleet.usage_sent.clear()
    fleet.run(30.0)
    assert max(fleet.usage_sent.values()) < 30 * MAX_USAGE_MESSAGES_PER_S
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


def test_a_killed_host_is_awaited_only_for_windows_that_it_ran_in(fleet):
    """Later windows are reported as soon as all that run are complete."""
    killed = next(
        host
        for host in fleet.hosts.values()
        if not host.state.lease_manager.holds(fleet.now)
    )
    killed.gone = True
    first = int(fleet.true_time() // WINDOW_S) + 1
    fleet.run(30.0)
    assert max(fleet.off().values()) < TOLERANCE
    late = [
        fleet.reported[window][1]
        for window in fleet.reported
        if window >= first
    ]
    assert max(late) < 4.5


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
    fleet.usage_sent.clear()
    fleet.run(20.0)
    assert max(fleet.usage_sent.values()) < 20 * MAX_USAGE_MESSAGES_PER_S
    assert max(fleet.off().values()) < 0.02


@pytest.mark.parametrize("era", [0, 1])
def test_a_restarted_holder_repeats_its_reports(monkeypatch, era):
    """Also if it sees the era of the store for the first time."""
    fleet = UsageFleet(3, monkeypatch=monkeypatch)
    fleet.store_era = era
    fleet.run(30.0)
    for host in list(fleet.hosts.values()):
        host.gone = True
    for number in range(3):
        fleet.start(number, run=1)
    fleet.run(20.0)
    assert not fleet.conflicts()
    assert any(len(reports) > 1 for reports in fleet.reports.values())


@pytest.mark.parametrize("hosts", [3, 6, 20])
@pytest.mark.parametrize("jump_s", [40.0, 3600.0])
def test_a_clock_that_was_ahead_forgets_no_report(monkeypatch, hosts, jump_s):
    """A process starts with it, and takes over when it is corrected."""
    fleet = UsageFleet(hosts, monkeypatch=monkeypatch)
    fleet.run(30.0)
    restarted = next(
        host
        for host in fleet.hosts.values()
        if not host.state.lease_manager.holds(fleet.now)
    )
    restarted.gone = True
    monkeypatch.setattr(clocks, "time", lambda: fleet.true_time() + jump_s)
    restarted = fleet.start(restarted.number, run=1)
    monkeypatch.setattr(clocks, "time", fleet.true_time)
    fleet.run(5.0)
    for host in fleet.hosts.values():
        if host is not restarted:
            holds = host.state.lease_manager.holds(fleet.now)
            host.gone = hosts == 3 or holds
            # The others claim no lease.
            host.duty_log.retry_at = float("inf")
    fleet.run(15.0)
    assert restarted.state.lease_manager.holds(fleet.now)
    assert not fleet.conflicts()


def test_two_reports_of_a_window_that_differ_are_found(monkeypatch):
    """Also a report under a fence that was followed by a higher one."""
    fleet = UsageFleet(1, monkeypatch=monkeypatch)
    host = next(iter(fleet.hosts.values()))
    host.report_usage(1, {"a1": 2}, fence=1)
    host.report_usage(1, {"a1": 2}, fence=2)
    assert not fleet.off()
    host.report_usage(1, {"a1": 3}, fence=2)
    host.report_usage(2, {"a1": 2}, fence=2)
    host.report_usage(2, {"a1": 2}, fence=1)
    assert fleet.off() == {1: float("inf"), 2: float("inf")}


def test_counts_are_complete_only_if_their_process_says_so(monkeypatch):
    """Not if an aggregator sends on what reports have named so far."""
    fleet = UsageFleet(20, monkeypatch=monkeypatch)
    fleet.run(10.0)
    states = [host.state for host in fleet.hosts.values()]
    first = next(state for state in states if state.view.is_aggregator())
    second = next(state for state in states if state is not first)
    ended = f"{first.view.report_targets(fleet.now)[0].host}-9"
    current = first.usage.window(first.true_time(fleet.now))
    first.usage.merge(ended, "a1", current, 3)
    counts = usage_counts(first, fleet.now)
    earlier = UsageCounts(ended, counts.ended[0].usage)
    for message in (counts, earlier):
        message = decode_value(UsageCounts, encode_value(message))
        second.usage.counts[current].clear()
        handle_message(second, first.identity, message)
        assert second.usage.counts[current][(ended, "a1")] == 3
        assert second.usage.incomplete([ended], current - 1)
    handle_message(second, ended, earlier)
    assert not second.usage.incomplete([ended], current - 1)


@pytest.mark.parametrize(
    "delay_s, held_since, due_at",
    [
        (10.0, -60.0, 7.5),
        (10.0, 5.9, 7.9),
        (10.0, 7.5, 9.0),
        (3.0, 2.0, 2.0),
        (1.5, 2.0, 0.6),
    ],
)
def test_time_is_left_for_a_report_that_fails_once(
    delay_s, held_since, due_at
):
    """Seconds after the end of the window; counts are not complete."""
    for late, is_due in ((due_at - 0.01, False), (due_at + 0.01, True)):
        assert is_due is is_report_due(
            late, 0.0, delay_s, held_since, is_incomplete=True
        )


@pytest.mark.parametrize("hosts", [3, 20])
def test_the_log_names_incomplete_counts_once(monkeypatch, hosts):
    """As they were when the counts were fixed, in groups only."""
    logged = []
    monkeypatch.setattr(
        EntryState, "log", lambda _, event, **named: logged.append(named)
    )
    fleet = UsageFleet(hosts, monkeypatch=monkeypatch)
    fleet.run(30.0)
    fleet.holder().gone = True
    fleet.run(20.0)
    reports = [named for named in logged if "counts" in named]
    first = {named["window"]: named for named in reversed(reports)}
    assert len(reports) > len(first)
    for named in reports:
        is_first = named is first[named["window"]]
        assert ("incomplete" in named) is (is_first and hosts > 8)


def test_every_host_bounds_what_it_keeps_sends_and_logs(monkeypatch):
    """One that reports nothing; the lease changes and its clock jumps."""
    logged = []
    monkeypatch.setattr(
        EntryState, "log", lambda _, event, **named: logged.append(event)
    )
    fleet = UsageFleet(20, monkeypatch=monkeypatch)
    fleet.run(10.0)
    host = next(iter(fleet.hosts.values()))
    state, sender = host.state, host.usage_sender
    current = state.usage.window(state.true_time(fleet.now))
    for window in range(current - 50, current + 1):
        state.usage.merge("h2", "a1", window, 1)
    fleet.usage_sent.clear()
    logged.clear()
    for _ in range(20):
        fleet.now += 0.1
        sender.last_holder = "another"
        sender.tick(fleet.now)
        state.clock_offset -= 5.0
        offset = state.clock_offset + 5.0
        state.correct_clock([OffsetBounds(offset, offset + 0.1)] * 3)
    assert len(state.usage.counts) <= MAX_WINDOWS
    assert 0 < fleet.usage_sent[host.name] <= 3 * 6
    assert 0 < logged.count(LogEvent.CLOCK_CORRECTED) <= 3


def test_counts_that_are_not_reported_are_forgotten():
    usage = UsageCounter(window_s=5.0)
    for window in range(100):
        usage.add("h1", "a1", 5.0 * window)
    assert len(usage.counts) <= MAX_WINDOWS
    assert len(usage.take_changed("h1")) <= MAX_WINDOWS


def test_a_clock_that_is_ahead_for_a_while_drops_no_counts():
    """Rows of windows that are sent again replace no newer ones."""
    usage = UsageCounter(window_s=5.0)
    for window in range(100, 106):
        usage.merge("h2", "a1", window, 1)
    for ahead in (720, 360, 180, 90, 45, 20, 10, 5, 2, 1, 0):
        usage.add("h1", "a1", 5.0 * (105 + ahead))
        usage.forget_around(105 + ahead)
    for window in range(80, 106):
        usage.merge("h2", "a1", window, 1)
        usage.forget_around(105)
    rows = {window for window, _, _ in usage.counts_for("h2", 100)}
    assert rows == set(range(100, 106))
    assert len(usage.counts) <= MAX_WINDOWS
