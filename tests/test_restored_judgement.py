"""A store that goes back, played with 4 to 410 hosts in virtual time."""

from itertools import pairwise

import pytest
from restores import LAPSE_S
from restores import RestoreFleet

from magnoliaflow.cluster.leasemanager import LeaseManager
from magnoliaflow.cluster.leases import LeaseTable
from magnoliaflow.cluster.listings import ListingSchedule
from magnoliaflow.cluster.listings import REWRITE_S
from magnoliaflow.cluster.positions import make_position
from magnoliaflow.cluster.registry import EngineRegistry
from magnoliaflow.cluster.usageledger import UsageLedger
from magnoliaflow.common.messages import EngineEntry
from magnoliaflow.common.records import LeaseClaim

# Bounds of the platform's pages.
CONTACT_TIMEOUT_S = 3.0
DRAIN_S = 2.0
LEASE_S = 3.0
SIZES = ((4, 12), (37, 40), (78, 80), (410, 100))
READY = EngineEntry("m1", "llm", "h:1", "a", 4, False, born=7, sequence=3)
LEAVING = EngineEntry("m1", "llm", "h:1", "a", 4, True, born=7, sequence=5)


@pytest.fixture
def make_fleet():
    """Return a function that starts a fleet and plays some seconds.

    It returns the fleet and a copy of the store from before engines and the
    holder of the lease have changed.
    """

    def make(hosts, engines, **options):
        fleet = RestoreFleet(hosts, engines, **options)
        fleet.run(16.0)
        copy = fleet.store.copy()
        for number in range(engines // 4):
            fleet.add_engine(f"new{number}")
        fleet.leave("m0")
        fleet.run(3.0)
        fleet.leave("m1")
        fleet.run(3.0)
        return fleet, copy

    return make


def assert_duties_in_order(fleet):
    """Check the rule ONE: fences, holders and counts."""
    for (at, _, fence), (later, _, next_fence) in pairwise(fleet.acts):
        assert next_fence >= fence, (at, later)
    holders = {}
    for _, host, fence in fleet.acts:
        assert holders.setdefault(fence, host) == host
    terms = [fleet.acts[0]]
    ended_at = {}
    for previous, act in pairwise(fleet.acts):
        if act[1] == terms[-1][1]:
            continue
        ended_at[terms[-1][1]] = previous[0]
        assert act[0] - ended_at.get(act[1], -LEASE_S) >= LEASE_S
        terms.append(act)
    counts = {}
    for window, rows, _ in fleet.sent:
        assert counts.setdefault(window, rows) == rows


def assert_leaving_gets_nothing(fleet, name, hosts=None):
    """Check the rule DRAIN for an engine that leaves now."""
    fleet.leave(name)
    fleet.run(DRAIN_S)
    using = [
        host.name
        for host in hosts or fleet.hosts
        if name in host.usable() and not host.is_old
    ]
    assert using == []


def live_engines(fleet):
    """Return the engines that neither leave nor have left."""
    return {
        name
        for name, engine in fleet.engines.items()
        if not (engine.leaving or engine.left)
    }


def assert_state_recovers(fleet):
    """Check what hosts know and do once the store is back."""
    fleet.run(CONTACT_TIMEOUT_S)
    assert_leaving_gets_nothing(fleet, "m2")
    fleet.run(20.0)
    for host in fleet.hosts:
        assert host.usable() == live_engines(fleet)
    assert_duties_in_order(fleet)


@pytest.mark.parametrize("hosts,engines", SIZES)
@pytest.mark.parametrize("delay_s", [0.05, 0.6])
def test_engines_are_known_as_before_and_changes_in_force(
    make_fleet, hosts, engines, delay_s
):
    fleet, copy = make_fleet(hosts, engines, delay_s=delay_s)
    fleet.go_back(copy)
    for _ in range(40):
        fleet.run(0.1)
        for host in fleet.hosts:
            assert not {"m0", "m1"} & host.usable()
            assert host.usable() >= live_engines(fleet)
    assert_leaving_gets_nothing(fleet, "m2")
    fleet.vanish("m3")
    fleet.run(DRAIN_S)
    fleet.run(LAPSE_S + REWRITE_S)
    for host in fleet.hosts:
        assert host.usable() == live_engines(fleet)
    assert_duties_in_order(fleet)


@pytest.mark.parametrize("hosts,engines", SIZES)
def test_two_restores_in_a_row(make_fleet, hosts, engines):
    fleet, copy = make_fleet(hosts, engines)
    fleet.go_back(copy, away_s=0.5)
    fleet.run(1.0)
    fleet.go_back(copy)
    assert_state_recovers(fleet)


@pytest.mark.parametrize("hosts,engines", SIZES)
@pytest.mark.parametrize("restarted", ["holder", "all"])
@pytest.mark.parametrize("away_s", [0.2, 2.0])
def test_hosts_that_start_meanwhile_learn_the_state_and_keep_order(
    make_fleet, hosts, engines, restarted, away_s
):
    """The lost part has a takeover; the copy names the holder before."""
    fleet, copy = make_fleet(hosts, engines)
    fleet.restart(fleet.holder()).cut = True
    fleet.run(6.0)
    ending = [fleet.holder()] if restarted == "holder" else list(fleet.hosts)
    for host in ending:
        fleet.restart(host)
    fleet.go_back(copy, away_s)
    for host in fleet.hosts:
        host.cut = False
    assert_state_recovers(fleet)
    assert fleet.acts[-1][0] > fleet.now - 1.0


@pytest.mark.parametrize("hosts,engines", SIZES)
def test_a_host_that_was_cut_off_catches_up(make_fleet, hosts, engines):
    """It held the lease before; another host took over, unknown to it."""
    fleet, copy = make_fleet(hosts, engines)
    cut = fleet.holder()
    cut.cut = True
    fleet.run(6.0)
    assert fleet.holder() is not cut
    fleet.go_back(copy)
    fleet.run(1.0)
    cut.cut = False
    assert_state_recovers(fleet)


@pytest.mark.parametrize("hosts,engines", SIZES)
def test_a_holder_that_the_copy_lacks_acts_alone(make_fleet, hosts, engines):
    """It reaches the others, not the store; the copy names another holder."""
    fleet, _ = make_fleet(hosts, engines)
    previous = fleet.holder()
    copy = fleet.store.copy()
    previous.cut = True
    fleet.run(6.0)
    holder = fleet.holder()
    assert holder is not previous
    holder.cut = True
    fleet.go_back(copy, away_s=0.1)
    previous.cut = False
    fleet.run(8.0)
    holder.cut = False
    fleet.run(16.0)
    assert_duties_in_order(fleet)


@pytest.mark.parametrize("hosts,engines", SIZES)
@pytest.mark.parametrize("lost_s", [2.0, 4.5])
def test_counts_that_only_the_lost_log_had_are_not_sent_again(
    make_fleet, hosts, engines, lost_s
):
    """Their holder ends while the store is away."""
    fleet, _ = make_fleet(hosts, engines)
    copy = fleet.store.copy()
    sent = len(fleet.sent)
    while len(fleet.sent) == sent:
        fleet.run(0.1)
    fleet.run(lost_s)
    fleet.hosts.remove(fleet.holder())
    fleet.go_back(copy)
    fleet.run(25.0)
    assert_duties_in_order(fleet)
    assert len(fleet.sent) > sent + 2


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("away_s", [0.2, 1.5, 4.0])
def test_late_appends_break_no_order(make_fleet, seed, away_s):
    """Appends of before the store went back land in the new log."""
    fleet, copy = make_fleet(4, 12, seed=seed, append_delay_s=0.5)
    for _ in range(3):
        fleet.restart(fleet.holder())
        fleet.run(0.7 * (seed % 5))
        fleet.go_back(copy, away_s)
        copy = fleet.store.copy()
        fleet.run(5.0)
    fleet.run(20.0)
    assert_duties_in_order(fleet)


@pytest.mark.parametrize("hosts,engines", SIZES[:3])
def test_new_hosts_beside_old_ones_keep_their_promises(
    make_fleet, hosts, engines
):
    fleet, copy = make_fleet(hosts, engines, old_hosts=hosts // 4)
    new = [host for host in fleet.hosts if not host.is_old]
    fleet.go_back(copy)
    fleet.run(CONTACT_TIMEOUT_S)
    assert_leaving_gets_nothing(fleet, "m2", new)
    fleet.run(10.0)
    for host in new:
        assert host.usable() == live_engines(fleet)


def test_fences_rise_while_old_hosts_are_replaced():
    fleet = RestoreFleet(4, 12, old_hosts=4)
    fleet.run(10.0)
    for number in range(4):
        fleet.hosts[number].cut = True
        fleet.run(6.0)
        fleet.restart(fleet.hosts[number]).is_old = False
        fleet.run(4.0)
    assert_duties_in_order(fleet)
    assert {host for _, host, _ in fleet.acts} > {fleet.acts[0][1]}


def test_a_copy_of_an_older_entry_brings_no_engine_back():
    registry = EngineRegistry()
    registry.apply("m1", READY, make_position(1, 3))
    registry.apply("m1", LEAVING, make_position(1, 9))
    assert registry.apply("m1", READY, make_position(2, 3)) is None
    registry.record_listing(make_position(2, 8))
    assert registry.entries["m1"].leaving


def test_entries_without_a_sequence_bring_no_engine_back():
    ready = EngineEntry("m1", "llm", "h:1", "a", 4, False, born=7)
    leaving = EngineEntry("m1", "llm", "h:1", "a", 4, True, born=7)
    registry = EngineRegistry()
    registry.apply("m1", leaving, make_position(1, 9))
    assert registry.apply("m1", ready, make_position(2, 3)) is None
    registry.record_listing(make_position(2, 8))
    assert registry.apply("m1", ready, make_position(2, 9)) is not None


def test_a_newer_run_of_an_engine_replaces_the_run_before():
    registry = EngineRegistry()
    registry.apply("m1", LEAVING, make_position(1, 9))
    run = EngineEntry("m1", "llm", "h:1", "a", 4, False, born=8, sequence=1)
    assert registry.apply("m1", run, make_position(2, 2)) is not None
    assert registry.apply("m1", LEAVING, make_position(2, 1)) is None


def test_what_a_host_alone_has_seen_reaches_a_new_host_as_newer():
    """A late message from before counts more than the copy it started from."""
    registry = EngineRegistry()
    registry.apply("m1", READY, make_position(2, 3))
    registry.record_listing(make_position(2, 8))
    late = EngineEntry(
        "m1", "llm", "h:1", "a", 4, True, born=7, sequence=5, offset=9
    )
    assert registry.apply("m1", late, make_position(1, 9)).leaving


def test_records_that_are_read_again_keep_their_fences():
    table = LeaseTable(2.4, 0.3, conditional=True)
    table.begin_era(1, 0.0, wait=False)
    claim = LeaseClaim("duty", "h1-a", -1, 0.0, era=1, generation=1)
    later = LeaseClaim("duty", "h2-a", 5, 0.0, era=1, generation=1)
    table.apply(5, claim, 0.0)
    table.apply(9, later, 1.0)
    table.begin_era(2, 2.0, wait=True)
    assert not table.apply(5, claim, 2.0)
    assert table.leases["duty"].holder == "h2-a"
    assert table.next_generation("duty") == 2
    assert not table.may_claim("duty", 2.0 + 2.4)
    assert table.may_claim("duty", 2.0 + 2.4 + 0.4)


def test_an_append_of_the_era_before_extends_no_lease():
    manager = LeaseManager(
        name="duty", holder="h1-a", ttl_s=2.4, margin_s=0.3, conditional=True
    )
    record = manager.tick(0.0, 0.0)
    manager.begin_era(2, 1.0, wait=True)
    manager.apply(7, record, 1.1)
    assert not manager.holds(1.2)


def test_the_holder_renews_at_once_in_a_new_era():
    manager = LeaseManager(
        name="duty", holder="h1-a", ttl_s=2.4, margin_s=0.3, conditional=True
    )
    manager.begin_era(1, 0.0, wait=False)
    manager.apply(0, manager.tick(0.0, 0.0), 0.0)
    assert manager.tick(0.1, 0.1) is None
    manager.begin_era(2, 0.2, wait=True)
    renewal = manager.tick(0.2, 0.2)
    assert renewal.body.fence == manager.fence and renewal.body.era == 2


def test_an_engine_that_left_without_a_word_stays_away_until_copies_lapse():
    """Its removal is lost, and the copy lists it with the same sequence."""
    schedule, registry = ListingSchedule(lapse_s=3.6), EngineRegistry()
    schedule.begin(1, 0.0)
    registry.apply("m1", READY, make_position(1, 3))
    registry.apply("m1", None, make_position(1, 9))
    for at, stays_away in ((20.0, True), (22.0, True), (25.7, False)):
        schedule.begin(2, at)
        alive = schedule.entries_are_alive(at)
        registry.apply("m1", READY, make_position(2, 3), alive=alive)
        assert registry.any_gone({"m1"}) is stays_away
        schedule.finish(at, any_missing=False, any_returned=stays_away)
        schedule.observe_era(2, at + 5.7, 0.0)
        assert schedule.is_due is stays_away
        registry.record_listing(make_position(2, 5))


def test_windows_whose_counts_may_have_been_lost_are_left_out():
    ledger = UsageLedger()
    ledger.record(3, {"a": 1})
    ledger.begin_era(30.0, is_sole=False)
    assert ledger.missing() == [(3, {"a": 1})]
    assert ledger.may_be_lost(24.0) and not ledger.may_be_lost(30.1)
    ledger.record(3, {"a": 2})
    assert ledger.missing() == [] and ledger.counts(3) == {"a": 1}


def test_the_memory_of_the_ledger_is_bounded():
    ledger = UsageLedger()
    for window in range(10_000):
        ledger.record(window, {"a": window})
    assert len(ledger._counts) <= 16
    assert len(ledger._on_log) <= 16
    assert ledger.counts(9_999) and ledger.counts(9_990)
    for _ in range(4):
        ledger.begin_era(0.0, is_sole=False)
        for window in range(9_997):
            ledger.record(window, {"a": window})
        lost = [window for window, _ in ledger.missing()]
        assert lost[-3:] == [9_997, 9_998, 9_999]
        assert len(ledger._counts) <= 48
