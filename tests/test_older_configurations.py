"""Hosts never act by a configuration that is older than its bound."""

from dataclasses import replace
from logging import getLogger
from math import inf
from random import Random
from signal import SIGCONT
from signal import SIGKILL
from signal import SIGSTOP
from time import monotonic
from time import sleep

import pytest

from entrysite import Deployment
from entrysite import make_config
from entrysite import make_route
from entrysite import send_request
from entrysite import wait_until
from magnoliaflow.cluster.groups import group_names
from magnoliaflow.cluster.groups import rank_aggregators
from magnoliaflow.common.codes import Code
from magnoliaflow.entry.admission import Refusal
from magnoliaflow.entry.admission import resolve_route
from magnoliaflow.entry.followers import ConfigFollower
from magnoliaflow.entry.heartbeats import handle_message
from magnoliaflow.entry.heartbeats import make_heartbeat
from magnoliaflow.entry.reports import make_report
from magnoliaflow.entry.reports import ReportSender
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.updates import apply_config
from magnoliaflow.platform.document import decode_document
from magnoliaflow.platform.nodefile import decode_host_settings
from magnoliaflow.platform.store import CONFIG_KEY
from magnoliaflow.platform.store import Entry
from magnoliaflow.platform.store import Page
from magnoliaflow.work.calls import Call

# The platform's bounds in these tests.
CONFIG_S = 2.0
REVOCATION_S = 5.0
BOUNDS = (
    f"bounds.configPropagationMs={CONFIG_S * 1000:.0f}",
    f"bounds.revocationMs={REVOCATION_S * 1000:.0f}",
)
# A bound that is easily kept while the aggregators live.
SHORT_CONFIG_S = 1.0
HOSTS = 10
OLD_ROUTES = [make_route("old", "idempotent", anonymous=True)]
NEW_ROUTES = [make_route("new", "idempotent", anonymous=True)]
BOOT_FILE = """nodeName=e-{0}
zone=z1
listenAddresses.frontend=10.0.0.{0}:1
listenAddresses.controlPlane=10.0.0.{0}:2
platform.address=10.0.0.9:3
"""
# A link of 5 Mbit/s carries this much in the bound, other traffic aside.
SLOW_LINK_BYTES = 5e6 / 8 * CONFIG_S


@pytest.fixture
def site(tmp_path):
    """Return a deployment without entry processes."""
    deployment = Deployment(tmp_path)
    yield deployment
    deployment.close()


def start_hosts(site, number, lines=BOUNDS):
    """Start hosts, each with the first one as its seed."""
    seeds = ()
    for index in range(number):
        ports = site.start(f"h-{index}", seeds, lines=lines)
        seeds = seeds or (f"127.0.0.1:{ports['controlPlane']}",)


def status_at(site, index, path, key="key-n"):
    """Return the status of a host's answer."""
    port = site.entry_ports[index]["frontend"]
    return send_request(port, "GET", path, key=key)[0]


def test_a_change_is_in_force_in_time_when_a_group_loses_its_aggregators(
    site,
):
    site.store.put("keyed.op", "config", make_config(2, routes=OLD_ROUTES))
    start_hosts(
        site,
        HOSTS,
        (f"bounds.configPropagationMs={SHORT_CONFIG_S * 1000:.0f}",),
    )
    sleep(2 * CONFIG_S)
    names = [f"h-{index}" for index in range(HOSTS)]
    group = group_names(dict.fromkeys(names, "z1"))[names[0]]
    lost = rank_aggregators(group, names)[:2]
    for name in lost:
        site.processes[names.index(name)].send_signal(SIGSTOP)
    site.store.put("keyed.op", "config", make_config(3, routes=NEW_ROUTES))
    sleep(SHORT_CONFIG_S)
    kept = [index for index in range(HOSTS) if names[index] not in lost]
    statuses = [status_at(site, index, "/old/x") for index in kept]
    for name in lost:
        site.processes[names.index(name)].send_signal(SIGCONT)
    assert statuses == [404] * len(kept)


def test_a_host_that_starts_does_not_confirm_less_than_its_peer_has(site):
    site.store.put("keyed.op", "config", make_config(2))
    start_hosts(site, 2)
    copy = site.store.copy()
    tenants = [{"name": "north", "apiKeys": ["key-n"], "ratePerS": 0}]
    revoked = make_config(3, tenants=tenants)
    site.store.put("keyed.op", "config", revoked)
    wait_until(
        lambda: status_at(site, 0, "/look/x", "key-s") == 401, "key revoked"
    )
    site.store.go_back(copy, rewritten=())
    site.processes[1].send_signal(SIGKILL)
    site.processes[1].wait()
    site.launch(site.folder / "h-1.conf")
    ran = []
    end = monotonic() + CONFIG_S
    while monotonic() < end:
        try:
            ran.append(status_at(site, 1, "/look/x", "key-s"))
        except OSError:
            sleep(0.02)
    assert ran and 200 not in ran
    site.store.put("keyed.op", "config", revoked)
    wait_until(lambda: status_at(site, 1, "/look/x") == 200, "served again")


@pytest.fixture
def now(monkeypatch):
    """Return the time at which hosts in this process stand still."""
    at = 1000.0
    for module in ("admission", "followers", "heartbeats", "reports"):
        monkeypatch.setattr(
            f"magnoliaflow.entry.{module}.boot_time", lambda: at, raising=False
        )
    monkeypatch.setattr("magnoliaflow.entry.updates.boot_time", lambda: at)
    return at


def make_state(number, now, version=1, age_s=0.0):
    """Return the state of a host that confirmed a version some time ago."""
    settings = decode_host_settings(
        BOOT_FILE.format(number) + "\n".join(BOUNDS)
    )
    state = EntryState(
        settings,
        identity=f"e-{number}-a",
        rng=Random(number),
        logger=getLogger("older configurations"),
    )
    document = make_config(version, routes=OLD_ROUTES)
    apply_config(state, decode_document(document), document)
    state.config_confirmed_at = now - age_s
    state.registry_confirmed_at = now
    return state


def make_call(path):
    """Return a caller's request."""
    return Call(
        *("r1", "desk.example", path, "", None, 1, 1, True, (), ""),
        method=b"GET",
        target=path.encode(),
        headers=[],
        body=b"",
    )


@pytest.mark.parametrize("path", ["/new/x", "/old/x"])
def test_a_host_past_the_bound_does_not_answer_by_its_configuration(now, path):
    state = make_state(1, now, age_s=CONFIG_S + 0.1)
    found = resolve_route(state, make_call(path), now)
    assert isinstance(found, Refusal) and found.code is Code.PROFILES_STALE


def test_routes_are_served_past_the_bound_while_the_store_is_down(now):
    state = make_state(1, now, age_s=CONFIG_S + 0.1)
    state.config_read_failed = True
    assert not isinstance(
        resolve_route(state, make_call("/old/x"), now), Refusal
    )


@pytest.mark.parametrize("hosts", [4, 66, 410])
@pytest.mark.parametrize("config_s", [2.0, 3.0, 19.0])
def test_a_host_reads_before_its_configuration_is_as_old_as_the_bound(
    now, monkeypatch, hosts, config_s
):
    monkeypatch.setattr(EntryState, "host_count", lambda _: hosts)
    state = make_state(1, now)
    state.host_settings = replace(state.host_settings, config_s=config_s)
    monkeypatch.setattr(state.view.__class__, "rank", lambda _: hosts - 1)
    # A read takes up to a quarter of the bound on a slow host.
    state.config_confirmed_at = now - 0.75 * min(config_s, REVOCATION_S)
    assert ConfigFollower(state, None)._is_due()


@pytest.mark.parametrize("hosts", [4, 66])
def test_a_poll_lasts_less_than_half_of_the_bound(now, monkeypatch, hosts):
    monkeypatch.setattr(EntryState, "host_count", lambda _: hosts)
    state = make_state(1, now)
    waits = []

    class Store:
        def read(self, topic, offset, *, era, wait_s=0.0):
            waits.append(wait_s)

    follower = ConfigFollower(state, Store())
    follower.offset = 1
    follower._read()
    assert 0.0 < waits[0] < CONFIG_S / 2


def page_of(*values):
    """Return a page with configurations."""
    entries = [
        Entry(number, CONFIG_KEY, value) for number, value in enumerate(values)
    ]
    return Page(tuple(entries), len(entries))


def test_the_newest_readable_version_of_a_page_is_in_force(now):
    state = make_state(1, now)
    follower = ConfigFollower(state, None)
    follower.offset = 0
    follower._take(page_of(make_config(2), make_config(3), b"{"), now)
    assert state.route_table.version == 3


@pytest.mark.parametrize("version", ["7", 7.5, True, None, -1])
def test_a_version_that_is_no_whole_number_is_not_taken(now, version):
    state = make_state(1, now)
    follower = ConfigFollower(state, None)
    follower.offset = 0
    follower._take(page_of(make_config(version)), now)
    assert state.route_table.version == 1


def test_a_version_older_than_a_peers_is_not_confirmed(now):
    state, peer = make_state(1, now, age_s=inf), make_state(2, now, 2)
    handle_message(state, "e-2-a", make_heartbeat(peer, now, None))
    follower = ConfigFollower(state, None)
    follower._take(page_of(state.config_document), now)
    assert state.config_confirmed_at == -inf


def test_a_host_that_starts_after_the_store_went_back_waits_for_its_peers(
    now,
):
    state = make_state(1, now, age_s=inf)
    state.started_at, state.store_era = now, 2
    state.peer_addresses["10.0.0.2:2"] = now
    follower = ConfigFollower(state, None)
    page = replace(page_of(state.config_document), era=2)
    follower._take(page, now)
    assert state.config_confirmed_at == -inf
    peer = make_state(2, now, 1)
    handle_message(state, "e-2-a", make_heartbeat(peer, now, None))
    follower._take(page, now)
    assert state.config_confirmed_at == now


def test_a_host_reads_at_once_when_a_peer_has_a_newer_version(
    now, monkeypatch
):
    monkeypatch.setattr(EntryState, "host_count", lambda _: 66)
    state, peer = make_state(1, now), make_state(2, now, 2)
    monkeypatch.setattr(state.view.__class__, "rank", lambda _: 5)
    follower = ConfigFollower(state, None)
    assert not follower._is_due()
    handle_message(state, "e-2-a", make_report(peer, now))
    assert follower._is_due()


class Links:
    """Counts the bytes of the documents that are sent."""

    def __init__(self):
        self.document_bytes = 0

    def send(self, address, message):
        """Count a message."""
        self.document_bytes += len(getattr(message, "document", b""))


def test_a_large_configuration_does_not_fill_the_link_of_a_publisher(
    now, monkeypatch
):
    monkeypatch.setattr(EntryState, "host_count", lambda _: 66)
    state = make_state(1, now)
    routes = [
        make_route(f"r{number}", "idempotent", host=f"h{number}.example")
        for number in range(800)
    ]
    document = make_config(2, routes=routes)
    apply_config(state, decode_document(document), document)
    for number in range(2, 25):
        member = make_state(number, now)
        handle_message(state, f"e-{number}-a", make_report(member, now))
    links = Links()
    sender = ReportSender(state, links)
    monkeypatch.setattr(state.view.__class__, "rank", lambda _: 0)
    at = now
    while at < now + CONFIG_S:
        sender.send_changes(at)
        at += 0.2
    assert 0 < links.document_bytes < SLOW_LINK_BYTES / 2
