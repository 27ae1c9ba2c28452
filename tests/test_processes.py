"""Tests of a deployment of real processes under signals and faults."""

from http.client import HTTPConnection
from json import dumps
from json import loads
from pathlib import Path
from signal import SIGCONT
from signal import SIGSTOP
from threading import Thread
from time import monotonic
from time import sleep

import pytest
from twisted.internet.defer import inlineCallbacks

from magnoliaflow.client import make_key
from magnoliaflow.common.codes import Code
from magnoliaflow_standins.fleet import LocalFleet
from magnoliaflow_standins.fleet import run_in_reactor
from magnoliaflow_standins.fleet import start_reactor
from magnoliaflow_standins.fleet import write_settings
from magnoliaflow_standins.tokens import is_valid_answer

ROOT = Path(__file__).parent.parent
PROMPT = "Repair file of a coat, zip number 8, nickel. " * 40
ACCOUNT = "schools"
SHORT_REQUEST = {"prompt": PROMPT, "max_tokens": 20}
PAUSE_S = 5.0
RECLAIM_NOTICE_S = 4.0


@pytest.fixture(scope="module")
def running_fleet(tmp_path_factory):
    """Run one deployment shared by the tests of this module."""
    folder = tmp_path_factory.mktemp("fleet")
    path = write_settings(
        ROOT / "examples/repair-office.yaml",
        folder,
        engines=3,
        services=2,
        timings={"drain_s": 15.0},
    )
    start_reactor()
    fleet = LocalFleet(path)
    try:
        fleet.start()
        profiles = ROOT / "examples/repair-profiles.yaml"
        code, text = fleet.run_command("profile", "publish", str(profiles))
        assert code == 0, text
        yield fleet
    finally:
        fleet.stop_all()


@pytest.fixture
def fleet(running_fleet):
    """Return the deployment; restart stopped gateways after each test."""
    yield running_fleet
    for host in running_fleet.cfg.entry_hosts:
        name = f"gateway-{host.name}"
        process = running_fleet.processes.get(name)
        if process is None or process.poll() is not None:
            running_fleet.start_daemon("gateway", host.name)
    running_fleet.wait_for_gateways()


def client_at(fleet, host):
    """Return a client that knows only one entry host for the first second."""
    client = fleet.client(ACCOUNT)
    client.addresses = [fleet.cfg.entry_host(host).caller_address]
    client.expires_at = monotonic() + 1.0
    return client


def call(fleet, host, profile, *, fault=None, streamed=False, **options):
    """Make a call at an entry host and return its final answer.

    The fault is injected once the request is accepted or, if streamed, once
    more than five tokens have arrived.
    """
    client = client_at(fleet, host)
    received_tokens = []
    answers = []

    @inlineCallbacks
    def submit_and_wait():
        answer = yield client.submit(profile, **options)
        answers.append(answer)
        if streamed:
            yield client.stream(answer, on_tokens=received_tokens.extend)
        return (yield client.wait(answer))

    def inject_fault():
        fleet.wait_until(
            lambda: len(received_tokens) > 5 if streamed else answers
        )
        fault(fleet, host)

    thread = Thread(target=inject_fault)
    if fault is not None:
        thread.start()
    answer = run_in_reactor(submit_and_wait)
    if fault is not None:
        thread.join()
    return answer


def kill(fleet, host):
    """Kill a gateway."""
    fleet.kill(f"gateway-{host}")


def kill_and_restart(fleet, host):
    """Kill a gateway and start it again at the same address."""
    fleet.kill(f"gateway-{host}")
    fleet.start_daemon("gateway", host)


def pause(fleet, host):
    """Pause a gateway until its work has been taken over, then resume it."""
    fleet.signal(f"gateway-{host}", SIGSTOP)
    sleep(PAUSE_S)
    fleet.signal(f"gateway-{host}", SIGCONT)


def terminate(fleet, host):
    """Stop a gateway gracefully."""
    assert fleet.stop(f"gateway-{host}") == 0


def reclaim(fleet, host):
    """Announce the reclaim of an entry host; its gateway must exit."""
    fleet.set_switches("cloud", reclaim={host: RECLAIM_NOTICE_S})
    process = fleet.processes.pop(f"gateway-{host}")
    assert process.wait(timeout=10) == 0
    sleep(RECLAIM_NOTICE_S)


def silence_engines(fleet, host):
    """Stop all output on every open stream of every engine."""
    for number in (1, 2, 3):
        fleet.set_switches(f"engine-{number}", silence=monotonic())


def executions(fleet, key):
    """Return how often a key was executed."""
    entries = [
        entry
        for number in (1, 2)
        for entry in fleet.server_history(f"counter-{number}")
    ]
    return sum(
        1
        for entry in entries
        if entry["kind"] == "executed" and entry["key"].endswith(key)
    )


STREAM_CASES = [
    (kill, "entry-1"),
    (kill_and_restart, "entry-2"),
    (pause, "entry-3"),
    (terminate, "entry-1"),
    (silence_engines, "entry-2"),
    (reclaim, "entry-4"),
]


@pytest.mark.parametrize(
    "fault, host",
    STREAM_CASES,
    ids=[case[0].__name__ for case in STREAM_CASES],
)
def test_stream_under_fault(fleet, fault, host):
    answer = call(
        fleet,
        host,
        "counter-chat",
        fault=fault,
        streamed=True,
        prompt=PROMPT + fault.__name__,
        max_tokens=100,
    )
    assert (answer.code, answer.resets) == (Code.DONE, 0)
    assert len(answer.tokens) == 100
    names = ["engine-1", "engine-2", "engine-3"]
    assert is_valid_answer(PROMPT + fault.__name__, answer.tokens, names)


def after_execution(fault):
    """Return a fault that is injected once the claim has been executed."""

    def inject_fault(fleet, host):
        fleet.wait_until(lambda: executions(fleet, fault.__name__) >= 1)
        fault(fleet, host)

    return inject_fault


@pytest.mark.parametrize(
    "fault, host",
    [
        (kill, "entry-1"),
        (kill_and_restart, "entry-2"),
        (pause, "entry-3"),
        (terminate, "entry-1"),
    ],
)
def test_executed_claim_under_fault(fleet, fault, host):
    """The fault occurs after the execution and before the service replies."""
    for number in (1, 2):
        fleet.set_switches(f"counter-{number}", late_s=1.0)
    key = make_key(fault.__name__)
    answer = call(
        fleet,
        host,
        "voucher-booking",
        fault=after_execution(fault),
        payload={"voucher": 1},
        key=key,
    )
    for number in (1, 2):
        fleet.set_switches(f"counter-{number}", late_s=0.0)
    assert answer.code is Code.DONE
    assert executions(fleet, key) == 1


def test_owner_killed_at_acceptance(fleet):
    """A kill between Dispatch and send leaves the outcome unknown."""
    key = make_key("at-acceptance")
    answer = call(
        fleet,
        "entry-2",
        "voucher-booking",
        fault=kill,
        payload={"voucher": 2},
        key=key,
    )
    count = executions(fleet, key)
    expected = {Code.DONE: (1,), Code.OUTCOME_UNKNOWN: (0, 1)}
    assert count in expected[answer.code]


def test_lost_reply_of_a_service_is_settled_by_its_status(fleet):
    for number in (1, 2):
        fleet.set_switches(f"counter-{number}", lose_replies=1, late_s=0.0)
    key = make_key("lost-reply")
    answer = call(fleet, "entry-1", "voucher-booking", payload={}, key=key)
    for number in (1, 2):
        fleet.set_switches(f"counter-{number}", lose_replies=0)
    assert answer.code is Code.DONE
    assert executions(fleet, key) == 1


def test_lost_reply_of_the_log_is_settled_by_reading(fleet):
    fleet.set_switches("log", lose_replies=3)
    key = make_key("lost-append")
    answer = call(fleet, "entry-1", "voucher-booking", payload={}, key=key)
    assert answer.code is Code.DONE
    assert executions(fleet, key) == 1


def test_log_outage_refuses_claims_and_answers_go_on(fleet):
    fleet.set_switches("log", outage=True)
    sleep(4.0)
    key = make_key("in-outage")
    with pytest.raises(Exception, match=str(int(Code.LOG_DOWN))):
        call(fleet, "entry-1", "voucher-booking", payload={}, key=key)
    answer = call(fleet, "entry-1", "quote-draft", **SHORT_REQUEST)
    fleet.set_switches("log", outage=False)
    fleet.wait_until(lambda: fleet.status("entry-1")["log_up"])
    assert answer.code is Code.DONE
    assert executions(fleet, key) == 0


def test_one_of_two_concurrent_changes_is_accepted(fleet, tmp_path):
    text = (ROOT / "examples/repair-profiles.yaml").read_text()
    path = tmp_path / "one.yaml"
    path.write_text(text.split("quote-draft")[0])
    codes = []

    def publish():
        args = ("profile", "publish", str(path), "--base", "1")
        codes.append(fleet.run_command(*args)[0])

    threads = [Thread(target=publish) for _ in range(2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(codes) == [0, 3]
    code, output = fleet.run_command("profile", "history", "claim-review")
    assert code == 0 and output.count("conflict") == 1
    for command in ("list", "get claim-review", f"diff {path}"):
        assert fleet.run_command("profile", *command.split())[0] == 0


INVALID_REQUEST_CASES = [
    ({"headers": {}}, 401, Code.UNAUTHENTICATED),
    ({"headers": {"Authorization": "Bearer x"}}, 401, Code.UNAUTHENTICATED),
    ({"body": b"{"}, 400, Code.BAD_REQUEST),
    ({"body": b'{"profile": 3}'}, 400, Code.BAD_REQUEST),
    ({"body": b'{"profile": "nope"}'}, 404, Code.UNKNOWN_PROFILE),
    ({"body": b"x" * 1_000_001}, 413, Code.BODY_TOO_LARGE),
]


def test_bad_input_gets_a_code_and_the_connection_stays_open(fleet):
    host = fleet.cfg.entry_host("entry-1")
    token = (fleet.folder / "tokens" / ACCOUNT).read_text().strip()
    conn = HTTPConnection(host.address, host.caller_port, timeout=5)
    for options, status, code in INVALID_REQUEST_CASES:
        headers = options.get("headers", {"Authorization": f"Bearer {token}"})
        body = options.get("body", b'{"profile": "ticket-lookup"}')
        conn.request("POST", "/v1/requests", body=body, headers=headers)
        reply = conn.getresponse()
        content = loads(reply.read())
        assert (reply.status, content["code"]) == (status, int(code))
        assert content["run"] == "no"
    valid_body = dumps({"profile": "ticket-lookup", "wait_s": 5}).encode()
    headers = {"Authorization": f"Bearer {token}"}
    conn.request("POST", "/v1/requests", body=valid_body, headers=headers)
    assert loads(conn.getresponse().read())["code"] == int(Code.DONE)
    output = "".join(
        path.read_text() for path in fleet.folder.glob("gateway-*.out")
    )
    assert token not in output


def test_explain_shows_the_request_and_status_every_host(fleet):
    answer = call(fleet, "entry-1", "quote-draft", **SHORT_REQUEST)
    code, output = fleet.run_command("explain", answer.request_id)
    assert code == 0 and "settled code=DONE" in output and "sent" in output
    code, output = fleet.run_command("status")
    assert code == 0 and len(loads(output)) == 4


def test_log_connections_that_go_silent_are_abandoned(fleet):
    """Requests sent during the hang get no reply; later connections work."""
    fleet.set_switches("log", hang=True)
    fleet.wait_until(lambda: not fleet.status("entry-1")["log_up"])
    fleet.set_switches("log", hang=False)
    key = make_key("silent-log")
    fleet.wait_until(lambda: fleet.status("entry-1")["log_up"])
    answer = call(fleet, "entry-1", "voucher-booking", payload={}, key=key)
    assert answer.code is Code.DONE
    assert executions(fleet, key) == 1


def test_service_that_never_answers_is_asked_for_the_status(fleet):
    for number in (1, 2):
        fleet.set_switches(f"counter-{number}", never=True)
    key = make_key("never")
    answer = call(fleet, "entry-1", "voucher-booking", payload={}, key=key)
    for number in (1, 2):
        fleet.set_switches(f"counter-{number}", never=False)
    assert answer.code is Code.DONE
    assert executions(fleet, key) == 1


def lease_events(fleet, host):
    """Return the names of a controller's logged lease events, in order."""
    text = (fleet.folder / f"controller-{host}.out").read_text()
    entries = [loads(line) for line in text.splitlines() if line[:1] == "{"]
    names = [entry.get("event_name") for entry in entries]
    return [name for name in names if name and name.startswith("LEASE")]


def test_paused_lease_holder_loses_the_lease(fleet):
    hosts = [host.name for host in fleet.cfg.entry_hosts]

    def holders():
        return [
            host
            for host in hosts
            if lease_events(fleet, host)[-1:] == ["LEASE_ACQUIRED"]
        ]

    (paused_host,) = fleet.wait_until(holders)
    fleet.signal(f"controller-{paused_host}", SIGSTOP)
    new_holders = fleet.wait_until(
        lambda: [host for host in holders() if host != paused_host]
    )
    fleet.signal(f"controller-{paused_host}", SIGCONT)
    fleet.wait_until(
        lambda: lease_events(fleet, paused_host)[-1:] == ["LEASE_LOST"]
    )
    assert len(new_holders) == 1
    assert holders() == new_holders


def test_cancelled_answer_stops_at_its_engine(fleet):
    client = client_at(fleet, "entry-1")

    @inlineCallbacks
    def submit_and_cancel():
        answer = yield client.submit("claim-review", prompt=PROMPT)
        return (yield client.cancel(answer))

    answer = run_in_reactor(submit_and_cancel)
    assert answer.code in (Code.CANCELLED, Code.CANCELLED_NOT_RUN)
    fleet.wait_until(
        lambda: fleet.status("entry-1")["owned"] == 0, timeout_s=5.0
    )


def test_addresses_leave_out_a_host_that_is_stopping(fleet):
    stopped_address = fleet.cfg.entry_host("entry-3").caller_address
    client = fleet.client(ACCOUNT)
    initial = run_in_reactor(client.find_addresses)
    terminate(fleet, "entry-3")
    cached = run_in_reactor(client.find_addresses)
    client.expires_at = 0.0
    refreshed = run_in_reactor(client.find_addresses)
    assert stopped_address in initial and cached == initial
    assert stopped_address not in refreshed and len(refreshed) == 3


def test_what_a_log_that_went_back_has_lost_is_written_again(fleet, tmp_path):
    key = make_key("lost")
    first = call(fleet, "entry-1", "voucher-booking", payload={}, key=key)
    path = tmp_path / "p.yaml"
    path.write_text((ROOT / "examples/repair-profiles.yaml").read_text())
    fleet.run_command("profile", "publish", str(path))
    published = fleet.status("entry-2")["profiles"]
    fleet.restore_log(60.0)
    hosts = ("entry-1", "entry-2", "entry-4")
    fleet.wait_until(
        lambda: all(fleet.status(host)["log_era"] == 1 for host in hosts)
    )
    kill_and_restart(fleet, "entry-1")
    fleet.wait_for_gateways()
    sleep(6.0)
    again = call(fleet, "entry-1", "voucher-booking", payload={}, key=key)
    assert (first.code, again.code) == (Code.DONE, Code.DONE)
    assert executions(fleet, key) == 1
    assert fleet.status("entry-1")["profiles"] == published
    code, output = fleet.run_command("profile", "publish", str(path))
    assert code == 0, output
    versions = fleet.status("entry-1")["profiles"]
    assert all(versions[name] > published[name] for name in published)
