"""Whom callers of a large deployment are told to use."""

from collections import Counter
from random import Random

import pytest

from magnoliaflow.policy.addresses import choose_addresses
from magnoliaflow.policy.addresses import MAX_ADDRESSES
from magnoliaflow.policy.addresses import ServingHost

ZONES = ("z0", "z1", "z2", "z3", "z4")
CALLERS = 280
# Open connections of a caller.
CONNECTIONS = 4
# Most load of a host, as a multiple of the mean.
MAX_UNEVENNESS = 2.0


def make_hosts(count=78):
    """Return hosts spread over the zones."""
    return [
        ServingHost(f"h{index}", ZONES[index % 5], f"10.0.0.{index}:80")
        for index in range(count)
    ]


class Caller:
    """A caller with open connections to random hosts of its answer."""

    def __init__(self, rng, zone, hosts):
        self.rng = rng
        self.zone = zone
        answer = choose_addresses(hosts, zone)
        self.conns = [rng.choice(answer) for _ in range(CONNECTIONS)]

    def look_up(self, hosts):
        """Return how many connections to live hosts a new answer closes."""
        answer = choose_addresses(hosts, self.zone)
        live = {item.address for item in hosts}
        closed = [conn for conn in self.conns if conn not in answer]
        self.conns = [
            conn if conn in answer else self.rng.choice(answer)
            for conn in self.conns
        ]
        return sum(1 for conn in closed if conn in live)


@pytest.fixture
def callers():
    rng = Random(5)
    hosts = make_hosts()
    return [Caller(rng, ZONES[index % 5], hosts) for index in range(CALLERS)]


def test_an_unchanged_deployment_closes_no_connection(callers):
    hosts = make_hosts()
    shuffled = Random(1).sample(hosts, len(hosts))
    assert sum(caller.look_up(shuffled) for caller in callers) == 0


def test_a_lost_host_closes_connections_to_itself_only(callers):
    hosts = [item for item in make_hosts() if item.host != "h7"]
    assert sum(caller.look_up(hosts) for caller in callers) == 0


def test_a_roll_closes_few_other_connections(callers):
    """Each host leaves for one lookup; those that filled in leave again."""
    closed = sum(
        caller.look_up([item for item in make_hosts() if item.host != name])
        for name in [item.host for item in make_hosts()]
        for caller in callers
    )
    lookups = 78 * CALLERS * CONNECTIONS
    assert closed < lookups / 78


def test_callers_of_a_lost_zone_use_the_others(callers):
    hosts = [item for item in make_hosts() if item.zone != "z0"]
    for caller in callers:
        caller.look_up(hosts)
    loads = Counter(conn for caller in callers for conn in caller.conns)
    assert len(loads) > 0.9 * len(hosts)


def test_the_load_is_even(callers):
    loads = Counter(conn for caller in callers for conn in caller.conns)
    mean = CALLERS * CONNECTIONS / 78
    assert max(loads.values()) < MAX_UNEVENNESS * mean


@pytest.mark.parametrize("count", [1, 4, 37, 64, 410])
def test_answers_fit_and_near_hosts_come_first(count):
    hosts = make_hosts(count)
    answer = choose_addresses(hosts, "z1")
    near = [item.address for item in hosts if item.zone == "z1"]
    assert len(answer) == min(count, MAX_ADDRESSES)
    assert set(near) <= set(answer) or len(near) > MAX_ADDRESSES
