"""Prompts that end engines, with real processes and stand-in engines."""

from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPException
from itertools import count
from json import loads
from subprocess import run
from sys import executable
from threading import Event

import pytest

from entrysite import Deployment
from entrysite import free_ports
from entrysite import make_config
from entrysite import make_route
from entrysite import send_request
from entrysite import wait_until

CRASHING = "c0de"
# Bounds of the platform's page: engines that may end under one part, and how
# many more later than the contact timeout after that.
MAX_ENDS = 5
MAX_LATE_ENDS = 3
CONTACT_TIMEOUT_S = 3.0
# Share of sound requests that are served at the first attempt, against all
# without such a part (the platform's page).
MIN_SERVED = 0.5
NUMBERS = count(1)


@pytest.fixture
def fleet(tmp_path):
    """Return two entry processes and twelve engines."""
    deployment = Deployment(tmp_path)
    routes = [
        make_route("draft", "streaming", service="llm", streamResumption=True)
    ]
    names = [f"m{number}" for number in range(1, 13)]
    for name in names:
        deployment.add_engine(name, "llm")
    deployment.store.put("keyed.op", "config", make_config(2, routes=routes))
    ports = deployment.start("e-1")
    deployment.start("e-2", (f"127.0.0.1:{ports['controlPlane']}",))
    for name in names:
        engine = deployment.engines[name]
        engine.crashing_parts = frozenset([CRASHING])
    yield deployment
    deployment.close()


def ask(deployment, host, middle):
    """Send a request with a prompt of three parts; return its status."""
    port = deployment.entry_ports[host]["frontend"]
    prefix = f"a1:600,{middle}:200,{next(NUMBERS):x}e:50"
    try:
        return send_request(
            port,
            "POST",
            "/draft/s",
            b"hi",
            X_Prompt_Prefix=prefix,
            X_Token_Usage="850,20",
        )[0]
    except (OSError, HTTPException):
        return 0


def total_ends(deployment):
    """Return how often engines have ended."""
    return sum(engine.ends for engine in deployment.engines.values())


def test_a_part_that_ends_engines_is_held_back_at_all_hosts(fleet):
    """Requests with one part ended engine after engine (inc1)."""
    statuses = []
    for number in range(12):
        statuses.append(ask(fleet, number % 2, CRASHING))
        wait_until(
            lambda: ask(fleet, number % 2, "b0") == 200, "a sound answer"
        )
    assert total_ends(fleet) <= MAX_ENDS
    assert statuses[-4:] == [503] * 4


def test_sound_requests_that_share_other_parts_stay_served(fleet):
    """The rule LOST: sound requests share the caller and the first part."""
    finished = Event()

    def send_crashing(host):
        while not finished.wait(0.1):
            ask(fleet, host, CRASHING)

    with ThreadPoolExecutor(4) as pool:
        for host in (0, 1):
            pool.submit(send_crashing, host)
        wait_until(lambda: total_ends(fleet) >= 2, "engines have ended")
        finished.wait(CONTACT_TIMEOUT_S)
        ends = total_ends(fleet)
        statuses = []
        for number in range(40):
            statuses.append(ask(fleet, number % 2, f"b{number % 5}"))
            finished.wait(0.1)
        finished.set()
    assert statuses.count(200) >= MIN_SERVED * len(statuses)
    assert total_ends(fleet) <= ends + MAX_LATE_ENDS


@pytest.fixture
def explained(tmp_path):
    """Return a deployment, its log, and an address to ask it."""
    deployment = Deployment(tmp_path)
    deployment.metrics_port = free_ports(1)[0]
    for number in range(3, 7):
        deployment.add_engine(f"m{number}", "llm")
    path = tmp_path / "entry.log"
    with path.open("wb") as log:
        deployment.start("e-1", log=log)
        for engine in deployment.engines.values():
            engine.crashing_parts = frozenset([CRASHING])
            engine.rate_limit = 5.0
        yield deployment, path, f"127.0.0.1:{deployment.metrics_port}"
        deployment.close()


def test_logs_and_explain_name_parts_engines_and_times(explained):
    deployment, path, address = explained
    ask(deployment, 0, "b0")
    wait_until(
        lambda: ask(deployment, 0, CRASHING) == 503, "the part is held back"
    )
    held = wait_until(
        lambda: [
            loads(line)
            for line in path.read_text().splitlines()
            if "PART_HELD" in line
        ],
        "the log line",
    )
    text = path.read_text()
    assert CRASHING in held[-1]["parts"] and held[-1]["until_s"] > 0
    assert len(held[-1]["engines"]) >= 3
    assert "ENGINE_ENDED" in text and "ENGINE_LIMITED" in text
    for name in (CRASHING, held[-1]["engines"][0].partition("/")[0]):
        result = run(
            [
                *(executable, "-m", "magnoliaflow"),
                *("explain", name, "--at", address),
            ],
            capture_output=True,
            text=True,
        )
        assert result.returncode == 0 and "until_s=" in result.stdout
