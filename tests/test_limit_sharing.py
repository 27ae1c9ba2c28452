"""Limits that engines name, shared by 4 to 410 hosts in virtual time."""

import pytest
from troubles import LimitFleet

from magnoliaflow.policy.enginelimits import EngineLimit
from magnoliaflow.policy.enginelimits import EngineLimits
from magnoliaflow.policy.enginelimits import LIMIT_TTL_S
from magnoliaflow.policy.enginelimits import MAX_LIMITS

# The rule LIMIT of the platform's page.
WINDOW_S = 4.0
CONTACT_TIMEOUT_S = 3.0
SIZES = (4, 37, 78, 410)
REQUESTS_PER_S = 50.0


def allowed(rate):
    """Return the arrivals that are allowed in a window."""
    return 1.5 * rate * WINDOW_S + 5


@pytest.fixture
def make_fleet():
    """Return a function that starts a fleet whose engine names a limit."""

    def make(hosts, rate=1.0, **options):
        fleet = LimitFleet(hosts, **options)
        fleet.run(2.0, REQUESTS_PER_S)
        fleet.rate = rate
        fleet.named_at = fleet.now
        return fleet

    return make


@pytest.mark.parametrize("hosts", SIZES)
@pytest.mark.parametrize("rate", [0.2, 1.0, 8.0])
@pytest.mark.parametrize("delay_s", [0.05, 0.6])
def test_all_hosts_together_keep_to_a_limit(make_fleet, hosts, rate, delay_s):
    fleet = make_fleet(hosts, rate, delay_s=delay_s)
    fleet.run(15.0, REQUESTS_PER_S)
    since = fleet.named_at + CONTACT_TIMEOUT_S
    assert fleet.most_arrivals(WINDOW_S, since) <= allowed(rate)


@pytest.mark.parametrize("hosts", SIZES)
def test_a_limit_that_changes_is_kept_to(make_fleet, hosts):
    fleet = make_fleet(hosts, 8.0)
    fleet.run(8.0, REQUESTS_PER_S)
    fleet.rate = 1.0
    changed_at = fleet.now
    fleet.run(12.0, REQUESTS_PER_S)
    since = changed_at + CONTACT_TIMEOUT_S
    assert fleet.most_arrivals(WINDOW_S, since) <= allowed(1.0)


@pytest.mark.parametrize("hosts", SIZES)
def test_a_limit_that_lapses_frees_the_engine(make_fleet, hosts):
    fleet = make_fleet(hosts, 2.0)
    fleet.run(8.0, REQUESTS_PER_S)
    fleet.rate = None
    fleet.run(2.0 * LIMIT_TTL_S, REQUESTS_PER_S)
    refused = fleet.refused
    fleet.run(5.0, REQUESTS_PER_S)
    assert fleet.refused == refused


@pytest.mark.parametrize("hosts", SIZES)
def test_a_limit_ends_with_the_run_of_its_engine(make_fleet, hosts):
    fleet = make_fleet(hosts, 1.0)
    fleet.run(5.0, REQUESTS_PER_S)
    fleet.run_name, fleet.rate = "m1/1", None
    refused = fleet.refused
    fleet.run(5.0, REQUESTS_PER_S)
    assert fleet.refused == refused


@pytest.mark.parametrize("hosts", SIZES)
def test_a_restarted_host_and_one_cut_off_keep_to_it(make_fleet, hosts):
    """The host that is cut off is told by the engine itself."""
    fleet = make_fleet(hosts, 1.0)
    fleet.hosts["h2"].cut = True
    fleet.run(5.0, REQUESTS_PER_S)
    fleet.restart("h1")
    fleet.run(5.0, REQUESTS_PER_S)
    fleet.hosts["h2"].cut = False
    fleet.run(6.0, REQUESTS_PER_S)
    others = fleet.hosts.keys() - {"h1"}
    since = fleet.named_at + CONTACT_TIMEOUT_S
    assert fleet.most_arrivals(WINDOW_S, since, others) <= allowed(1.0)


def test_new_hosts_keep_to_a_limit_beside_old_ones(make_fleet):
    fleet = make_fleet(37, 1.0, old_hosts=5)
    fleet.run(12.0, REQUESTS_PER_S)
    new = {host.name for host in fleet.hosts.values() if not host.is_old}
    since = fleet.named_at + CONTACT_TIMEOUT_S
    assert fleet.most_arrivals(WINDOW_S, since, new) <= allowed(1.0)


def test_late_messages_do_not_revive_a_limit():
    limits = EngineLimits()
    limits.observe("m1/0", 2.0, 10.0)
    limits.observe("m1/0", None, 20.0)
    assert not limits.merge([EngineLimit("m1/0", 2.0, 15.0)], 21.0)
    assert limits.rate("m1/0") is None


def test_the_memory_of_limits_is_bounded():
    limits = EngineLimits()
    for number in range(5_000):
        limits.observe(f"m{number}/0", 1.0, 0.0)
    assert len(limits) <= MAX_LIMITS
