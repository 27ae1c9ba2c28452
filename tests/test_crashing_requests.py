"""Requests that end engines and come again under new ids: real processes."""

from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPException
from itertools import count
from json import loads
from time import sleep

import pytest

from entrysite import Deployment
from entrysite import make_config
from entrysite import send_request
from entrysite import wait_until
from magnoliaflow.common.codes import Code

# The rule BUDGET of the platform's page: the third end, and the sends later
# than the contact timeout after it.
MAX_ENDS = 3
MAX_LATE_ENDS = 3
CONTACT_TIMEOUT_S = 3.0
# Ends by requests on their way when the third engine ended: one for each host
# that does not know of it yet.
MAX_EARLY_ENDS = 2
POISON = b"crash"
PACE_S = 0.25
NUMBERS = count(1)


@pytest.fixture
def fleet(tmp_path):
    """Return two entry processes and three engines of a plain service."""
    deployment = Deployment(tmp_path)
    deployment.add_engine("a3", "app")
    tenants = [
        {"name": "north", "apiKeys": ["key-n"]},
        {"name": "south", "apiKeys": ["key-o"]},
    ]
    config = make_config(2, tenants=tenants)
    deployment.store.put("keyed.op", "config", config)
    seeds = ()
    for number in range(2):
        log = (tmp_path / f"e-{number}.log").open("wb")
        ports = deployment.start(f"e-{number}", seeds, log=log)
        seeds = (f"127.0.0.1:{ports['controlPlane']}",)
    for name in ("a1", "a2", "a3"):
        deployment.engines[name].crashing_bodies = frozenset([POISON])
        deployment.engines[name].restart_s = 1.0
    yield deployment
    deployment.close()


def ask(deployment, host, path="/look/x", body=POISON, key="key-n"):
    """Send a request under a new id; return its status and result code."""
    port = deployment.entry_ports[host]["frontend"]
    try:
        status, _, data = send_request(port, "POST", path, body, key)
    except (OSError, HTTPException):
        return 0, 0
    return status, loads(data)["code"] if status == 503 else 0


def total_ends(deployment):
    """Return how often engines have ended."""
    return sum(engine.ends for engine in deployment.engines.values())


def wait_for_engines(deployment):
    """Wait until all engines have started again."""
    wait_until(
        lambda: not any(
            engine.down.is_set() for engine in deployment.engines.values()
        ),
        "the engines are back",
    )


def crash_until_held(deployment, **request):
    """Send a request to both hosts in turn, as its client does again."""
    while total_ends(deployment) < MAX_ENDS:
        ask(deployment, next(NUMBERS) % 2, **request)
        sleep(PACE_S)
    wait_for_engines(deployment)


@pytest.mark.parametrize(
    "request_fields",
    [
        {"path": "/look/x"},
        {"path": "/book/x"},
        {"path": "/open/x", "key": ""},
        {"path": "/chat/s"},
    ],
)
def test_a_request_that_ended_three_engines_is_refused_at_all_hosts(
    fleet, request_fields
):
    """Each time under a new id, at either host."""
    for engine in fleet.engines.values():
        engine.crashing_bodies = frozenset([POISON])
    crash_until_held(fleet, **request_fields)
    sleep(CONTACT_TIMEOUT_S)
    ends = total_ends(fleet)
    assert ends <= MAX_ENDS + MAX_EARLY_ENDS
    answers = []
    for number in range(12):
        answers.append(ask(fleet, number % 2, **request_fields))
        sleep(PACE_S)
        wait_for_engines(fleet)
    assert total_ends(fleet) <= ends + MAX_LATE_ENDS
    assert answers[-4:] == [(503, int(Code.PROMPT_HELD))] * 4


def test_requests_that_differ_in_path_account_or_body_stay_served(fleet):
    for name in ("a1", "a2", "a3"):
        fleet.engines[name].crashing_accounts = frozenset(["north"])
    crash_until_held(fleet)
    sleep(1.0)
    for number in range(6):
        host = number % 2
        assert ask(fleet, host, body=b"sound")[0] == 200
        assert ask(fleet, host, key="key-o")[0] == 200
        assert ask(fleet, host, path="/open/y", key="")[0] == 200


def test_requests_beside_it_on_an_engine_of_few_slots_stay_served(fleet):
    """Their clients send them again, too."""
    for name in ("a1", "a2", "a3"):
        fleet.engines[name].pause_s = 0.2
    refused = []

    def send_again(number):
        body = b"beside %d" % number
        for _ in range(40):
            status, code = ask(fleet, number % 2, body=body)
            if code == Code.PROMPT_HELD:
                refused.append(body)
            sleep(0.05)
        return status

    with ThreadPoolExecutor(8) as pool:
        futures = [pool.submit(send_again, number) for number in range(6)]
        for _ in range(24):
            ask(fleet, next(NUMBERS) % 2)
            sleep(PACE_S)
        statuses = [fut.result() for fut in futures]
    assert refused == []
    assert statuses == [200] * 6
    assert total_ends(fleet) <= MAX_ENDS + MAX_EARLY_ENDS + MAX_LATE_ENDS


def test_logs_and_explain_name_the_request_and_the_evidence(fleet):
    crash_until_held(fleet)
    wait_until(lambda: ask(fleet, 0)[1] == Code.PROMPT_HELD, "it is held back")
    lines = [
        loads(line)
        for line in (fleet.folder / "e-0.log").read_text().splitlines()
    ]
    names = {
        line["same_as"]
        for line in lines
        if line["event_name"] == "ATTEMPT_FAILED"
    }
    held = [line for line in lines if line["event_name"] == "REQUEST_HELD"]
    assert names.issuperset(held[-1]["requests"])
    assert len(held[-1]["engines"]) >= MAX_ENDS
    assert held[-1]["until_s"] > 0
