"""Engines that name a limit of requests a second, with real processes."""

from time import monotonic
from time import sleep

import pytest

from entrysite import Deployment
from entrysite import send_request

# The rule LIMIT of the platform's page: arrivals in a window, counted from the
# contact timeout after the limit was first named.
ENGINES = ("m1", "m2", "m3")
LIMIT_PER_S = 1.0
WINDOW_S = 4.0
CONTACT_TIMEOUT_S = 3.0
MAX_ARRIVALS = 1.5 * LIMIT_PER_S * WINDOW_S + 5


@pytest.fixture
def fleet(tmp_path):
    """Return two entry processes and three engines."""
    deployment = Deployment(tmp_path)
    deployment.add_engine("m3", "llm")
    ports = deployment.start("e-1")
    deployment.start("e-2", (f"127.0.0.1:{ports['controlPlane']}",))
    yield deployment
    deployment.close()


def send_for(deployment, seconds):
    """Send requests to both hosts in turn; return their statuses."""
    statuses = []
    end = monotonic() + seconds
    while monotonic() < end:
        port = deployment.entry_ports[len(statuses) % 2]["frontend"]
        statuses.append(send_request(port, "POST", "/draft/s", b"hi")[0])
        sleep(0.03)
    return statuses


def most_arrivals(times, since):
    """Return the most arrivals in any window that begins after a time."""
    later = [at for at in times if at >= since]
    return max(
        (
            sum(1 for other in later if at <= other < at + WINDOW_S)
            for at in later
        ),
        default=0,
    )


def limit_engines(deployment, names, limit):
    """Let engines name a limit; return the time."""
    for name in names:
        deployment.engines[name].rate_limit = limit
    return monotonic()


def test_engines_get_no_more_than_the_limits_that_they_name(fleet):
    """Hosts ignored the limits of engines in need (second1)."""
    named_at = limit_engines(fleet, ENGINES, LIMIT_PER_S)
    statuses = send_for(fleet, CONTACT_TIMEOUT_S + 2 * WINDOW_S)
    since = named_at + CONTACT_TIMEOUT_S
    arrivals = [
        most_arrivals(fleet.engines[name].arrivals, since) for name in ENGINES
    ]
    assert 1 <= max(arrivals) <= MAX_ARRIVALS
    assert set(statuses) == {200, 503}


def test_engines_without_a_limit_take_what_limited_ones_do_not(fleet):
    limit_engines(fleet, ENGINES[:1], LIMIT_PER_S)
    statuses = send_for(fleet, CONTACT_TIMEOUT_S + WINDOW_S)
    assert statuses.count(200) == len(statuses)


def test_engines_whose_limits_have_lapsed_are_used_as_before(fleet):
    limit_engines(fleet, ENGINES, LIMIT_PER_S)
    send_for(fleet, WINDOW_S)
    limit_engines(fleet, ENGINES, None)
    send_for(fleet, CONTACT_TIMEOUT_S)
    statuses = send_for(fleet, WINDOW_S)
    assert statuses.count(200) == len(statuses)
