"""A store that comes back without what it had confirmed: real processes."""

from json import loads
from time import sleep

import pytest

from entrysite import Deployment
from entrysite import make_config
from entrysite import make_route
from entrysite import send_request
from entrysite import wait_until
from magnoliaflow_standins.cloudapi import CloudApi

# Bounds of the platform's pages; a change is in force, and a leaving engine
# gets nothing, this long after the store confirmed it.
DRAIN_S = 2.0
CONFIG_S = 2.0
# Disturbances of the store end this long before hosts are held to the bounds.
CONTACT_TIMEOUT_S = 3.0
AWAY_S = 0.6
REPORTS = 4


@pytest.fixture
def cloud():
    """Return a stand-in for the platform's API."""
    api = CloudApi()
    yield api
    api.close()


@pytest.fixture
def site(tmp_path, cloud):
    """Return a deployment with three entry processes."""
    deployment = Deployment(tmp_path)
    seeds = ()
    for number in range(3):
        ports = deployment.start(
            f"h-{number}",
            seeds,
            cloud=cloud.address,
            log=(tmp_path / f"h-{number}.log").open("wb"),
        )
        seeds = (*seeds, f"127.0.0.1:{ports['controlPlane']}")
    yield deployment
    deployment.close()


def go_back(site, copy):
    """Let the store be away for a moment and come back from a copy."""
    site.store.down = True
    sleep(AWAY_S)
    site.store.go_back(copy)
    site.store.down = False


def send_everywhere(site, path, duration_s):
    """Send requests to all hosts for a time and return the statuses."""
    statuses = []
    for _ in range(int(duration_s / 0.1)):
        for ports in site.entry_ports:
            statuses.append(send_request(ports["frontend"], "GET", path)[0])
        sleep(0.1)
    return statuses


def add_engines(site, number):
    """Register engines that stay, so that the log of engines grows."""
    for index in range(number):
        site.add_engine(f"x{index}", "app")


def test_leaving_engines_get_nothing_after_the_store_went_back(site):
    copy = site.store.copy()
    for _ in range(10):
        site.register("m2", "llm", leaves_ms=1)
    send_everywhere(site, "/look/x", 1.0)
    go_back(site, copy)
    sleep(CONTACT_TIMEOUT_S)
    site.register("a1", "app", state="draining")
    sleep(DRAIN_S)
    arrived = len(site.engines["a1"].arrivals)
    statuses = send_everywhere(site, "/look/x", 2.0)
    assert len(site.engines["a1"].arrivals) == arrived
    assert set(statuses) == {200}


def test_engines_that_left_before_the_store_went_back_stay_away(site):
    """The copy lists them as ready until they are written again."""
    copy = site.store.copy()
    site.register("a1", "app", state="draining")
    sleep(DRAIN_S)
    arrived = len(site.engines["a1"].arrivals)
    site.store.topics["keyed.servers"].pop()
    go_back(site, copy)
    statuses = send_everywhere(site, "/look/x", 3.0)
    assert len(site.engines["a1"].arrivals) == arrived
    assert set(statuses) <= {200, 503}


def test_engines_that_the_copy_lacks_stay_in_use(site):
    copy = site.store.copy()
    add_engines(site, 3)
    for name in ("a1", "a2"):
        site.register(name, "app", state="draining")
    sleep(DRAIN_S)
    removed = site.store.topics["keyed.servers"]
    site.store.topics["keyed.servers"] = [
        record for record in removed if not record[1:].startswith(b"x")
    ]
    go_back(site, copy)
    statuses = send_everywhere(site, "/look/x", 1.0)
    assert set(statuses) == {200}


def test_a_version_written_below_the_old_end_is_in_force_in_time(site):
    copy = site.store.copy()
    for version in (2, 3):
        site.store.put("keyed.op", "config", make_config(version))
    send_everywhere(site, "/look/x", 1.0)
    site.store.down = True
    sleep(AWAY_S)
    site.store.go_back(copy)
    routes = [
        make_route("look", "idempotent"),
        make_route("new", "idempotent"),
    ]
    site.store.put("keyed.op", "config", make_config(4, routes=routes))
    assert len(site.store.topics["keyed.op"]) == 3
    site.store.down = False
    sleep(CONTACT_TIMEOUT_S + CONFIG_S)
    assert set(send_everywhere(site, "/new/x", 0.5)) == {200}


@pytest.mark.parametrize("killed", ["none", "holder", "all"])
def test_fences_rise_and_sent_counts_stay_when_the_store_goes_back(
    site, cloud, killed
):
    """The lost part has a change of the holder; hosts end, twice."""
    for _ in range(2):
        wait_for_reports(site, cloud)
        copy = site.store.copy()
        previous = int(cloud.calls[-1].holder[-1])
        kill(site, [previous])
        wait_until(
            lambda: cloud.calls[-1].holder != f"h-{previous}", "a takeover"
        )
        start(site, [previous])
        holder = int(cloud.calls[-1].holder[-1])
        hosts = {"none": [], "holder": [holder], "all": [0, 1, 2]}[killed]
        site.store.down = True
        kill(site, hosts)
        sleep(AWAY_S)
        site.store.go_back(copy)
        site.store.down = False
        start(site, hosts)
        wait_for_reports(site, cloud)
    assert_duties_in_order(cloud.calls)


def wait_for_reports(site, cloud):
    """Send requests until some more windows were reported."""
    reported = len(cloud.calls)
    wait_until(
        lambda: send_everywhere(site, "/look/x", 0.1)
        and len(cloud.calls) >= reported + REPORTS,
        "windows are reported",
    )


def kill(site, hosts):
    """Kill the processes of hosts."""
    for index in hosts:
        site.processes[index].kill()
        site.processes[index].wait()


def start(site, hosts):
    """Start the processes of hosts and wait until they are ready."""
    for index in hosts:
        path = site.folder / f"h-{index}.conf"
        site.processes[index] = site.launch(path)
    for index in hosts:
        ports = site.entry_ports[index]
        wait_until(lambda: site.ready(ports) == 200, "the host is ready")


def assert_duties_in_order(calls):
    """Check that fences rise, each with one holder, and counts stay."""
    fences = [call.fence for call in calls]
    assert fences == sorted(fences)
    holders, counts = {}, {}
    for call in calls:
        assert holders.setdefault(call.fence, call.holder) == call.holder
        body = call.body
        window = body["windowNumber"]
        assert counts.setdefault(window, body["counts"]) == body["counts"]


def test_logs_name_the_era_and_what_was_read_again(site):
    copy = site.store.copy()
    site.register("m2", "llm", leaves_ms=1)
    go_back(site, copy)
    sleep(CONTACT_TIMEOUT_S)
    for number in range(3):
        lines = [
            loads(line)
            for line in (site.folder / f"h-{number}.log")
            .read_text()
            .splitlines()
        ]
        restored = [
            line for line in lines if line["event_name"] == "STORE_RESTORED"
        ]
        assert [(line["previous"], line["era"]) for line in restored] == [
            (1, 2)
        ]
        read_again = {
            line["reading"]
            for line in lines
            if line["event_name"] == "LOG_READ_AGAIN" and line["era"] == 2
        }
        assert read_again >= {"configuration", "engines"}
