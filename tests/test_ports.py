"""Tests of the contract of each port, against the HTTP adapter."""

from dataclasses import replace
from pathlib import Path

import pytest

from magnoliaflow.adapters import httpports
from magnoliaflow.common.errors import NotStartedError
from magnoliaflow.common.errors import PortError
from magnoliaflow.common.errors import SettingsError
from magnoliaflow.common.errors import StaleFenceError
from magnoliaflow.common.errors import StartRefusedError
from magnoliaflow.common.errors import TrimmedError
from magnoliaflow.common.errors import UnknownOutcomeError
from magnoliaflow.common.ports import EngineOrder
from magnoliaflow.common.ports import GenerateCall
from magnoliaflow.common.ports import Offer
from magnoliaflow.common.ports import open_port
from magnoliaflow_standins.fleet import LocalFleet
from magnoliaflow_standins.fleet import run_in_reactor
from magnoliaflow_standins.fleet import start_reactor
from magnoliaflow_standins.fleet import write_settings
from magnoliaflow_standins.tokens import is_valid_answer

ROOT = Path(__file__).parent.parent
ADAPTERS = (httpports,)
OFFER = Offer("gauteng-a", "small", 1.0, True)
CALL = GenerateCall("r", "a-1", "prompt " * 200, (), 20, 1)


@pytest.fixture(scope="module")
def standins(tmp_path_factory):
    """Run stand-ins of the platform, one engine and one service."""
    path = write_settings(
        ROOT / "examples/repair-office.yaml",
        tmp_path_factory.mktemp("ports"),
        engines=1,
        services=1,
    )
    start_reactor()
    fleet = LocalFleet(path)
    try:
        fleet.start_platform()
        fleet.start_server("engine-1")
        fleet.start_server("counter-1")
        fleet.wait_for_standins()
        yield fleet
    finally:
        fleet.stop_all()


@pytest.fixture
def open_standin_port(standins):
    """Return a function that opens a port to a stand-in over HTTP."""

    def open_named_port(kind, name):
        return open_port("http", kind, standins.address_of(name))

    return open_named_port


def test_log(standins, open_standin_port):
    log = open_standin_port("log", "log")
    run_in_reactor(log.append, "s", (b"one", b"two"))
    page = run_in_reactor(log.read, "s", 0)
    assert [(record.offset, record.data) for record in page.records] == [
        (0, b"one"),
        (1, b"two"),
    ]
    assert page.end == 2
    assert run_in_reactor(log.read, "s", 2).records == ()
    standins.set_switches("log", lose_replies=1)
    with pytest.raises(UnknownOutcomeError):
        run_in_reactor(log.append, "s", (b"three",))
    assert run_in_reactor(log.read, "s", 2).records[0].data == b"three"
    standins.set_switches("log", outage=True)
    with pytest.raises(PortError):
        run_in_reactor(log.append, "s", (b"four",))
    standins.set_switches("log", outage=False, keep=1)
    run_in_reactor(log.append, "s", (b"five",))
    with pytest.raises(TrimmedError) as exc_info:
        run_in_reactor(log.read, "s", 0)
    assert exc_info.value.first_offset == 3


def test_cloud_and_host_list(standins, open_standin_port):
    cloud = open_standin_port("cloud", "cloud")
    standins.set_switches("cloud", offers=[_as_dict(OFFER)], refuse_starts=1)
    assert run_in_reactor(cloud.offers) == (OFFER,)
    with pytest.raises(StartRefusedError):
        run_in_reactor(cloud.start, "t-1", OFFER)
    started = run_in_reactor(cloud.start, "t-2", OFFER)
    standins.set_switches("cloud", lose_replies=1)
    with pytest.raises(UnknownOutcomeError):
        run_in_reactor(cloud.start, "t-3", OFFER)
    listed = run_in_reactor(cloud.started)
    assert started in listed
    assert [host.tag for host in listed] == ["t-2", "t-3"]
    standins.set_switches("cloud", reclaim={"h": 5.0})
    (notice,) = run_in_reactor(cloud.notices)
    assert notice.host == "h" and 0 < notice.seconds_left <= 5.0
    host_list = open_standin_port("host_list", "host_list")
    host_entry = {"name": "h", "zone": "z"}
    standins.set_switches("host_list", hosts=[host_entry], reclaim={"h": 5.0})
    assert [
        (host.name, host.leaving) for host in run_in_reactor(host_list.hosts)
    ] == [("h", True)]


def _as_dict(offer):
    return {name: getattr(offer, name) for name in offer.__slots__}


def test_weight_store(open_standin_port):
    weights = open_standin_port("weight_store", "weight_store")
    assert run_in_reactor(weights.reserve, "m") == pytest.approx(0.0, abs=0.01)
    assert run_in_reactor(weights.reserve, "m") > 0.5


def test_model_engine(standins, open_standin_port):
    engine = open_standin_port("model_engine", "engine-1")
    pieces = []
    run_in_reactor(engine.generate, CALL, pieces.append)
    tokens = [token for piece in pieces for token in piece.tokens]
    assert pieces[-1].done and len(tokens) == CALL.max_tokens
    assert is_valid_answer(CALL.prompt, tokens, ["engine-1"])
    resumed_pieces = []
    resume_call = replace(CALL, prefix=tuple(tokens[:5]))
    run_in_reactor(engine.resume, resume_call, resumed_pieces.append)
    assert [
        token for piece in resumed_pieces for token in piece.tokens
    ] == tokens[5:]
    run_in_reactor(engine.cancel, CALL.attempt_id)
    with pytest.raises(NotStartedError):
        run_in_reactor(engine.resume, resume_call, resumed_pieces.append)
    assert run_in_reactor(engine.report).engine == "engine-1"
    events = run_in_reactor(engine.cache_events, 0)
    assert [event.number for event in events] == [
        number + 1 for number in range(len(events))
    ]
    run_in_reactor(engine.order, EngineOrder(7, ("m",), "mixed"))
    with pytest.raises(StaleFenceError):
        run_in_reactor(engine.order, EngineOrder(6, ("n",), "mixed"))
    assert run_in_reactor(engine.state) == EngineOrder(7, ("m",), "mixed")
    standins.set_switches("engine-1", ignore_fence=True)
    run_in_reactor(engine.order, EngineOrder(6, ("n",), "mixed"))
    assert run_in_reactor(engine.state).models == ("n",)


def test_service(standins, open_standin_port):
    service = open_standin_port("service", "counter-1")
    assert run_in_reactor(service.status, "k") is None
    assert run_in_reactor(service.call_once, "op", "k", b"{}").succeeded
    assert run_in_reactor(service.status, "k").succeeded
    standins.set_switches("counter-1", refuse=True)
    with pytest.raises(NotStartedError):
        run_in_reactor(service.call_once, "op", "k2", b"{}")
    assert run_in_reactor(service.status, "k2") is None
    standins.set_switches("counter-1", refuse=False, lose_replies=1)
    with pytest.raises(UnknownOutcomeError):
        run_in_reactor(service.call_once, "op", "k3", b"{}")
    assert run_in_reactor(service.status, "k3").succeeded
    unreachable = open_port("http", "service", "127.0.0.9:1")
    with pytest.raises(NotStartedError):
        run_in_reactor(unreachable.call_once, "op", "k4", b"{}")


def test_unknown_adapter_error_lists_the_known_ones():
    with pytest.raises(SettingsError, match="allowed: http"):
        open_port("smoke", "log", "127.0.0.1:1")
