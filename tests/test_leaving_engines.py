"""Engines that say in their answers that they leave: real processes."""

from contextlib import suppress
from http.client import HTTPException
from json import loads
from time import monotonic
from time import sleep

import pytest

from entrysite import Deployment
from entrysite import FIRST_BORN
from entrysite import send_request
from entrysite import wait_until
from magnoliaflow.common.codes import Code

DRAIN_S = 0.5
SETTINGS = (f"bounds.drainTimeoutMs={DRAIN_S * 1000:.0f}",)
SERVICES = {"app": ("a1", "a2", "a3"), "llm": ("m1", "m2")}
# Requests after the bound; an engine in use gets a third of them.
LATER_REQUESTS = 24


@pytest.fixture
def site(tmp_path):
    """Return a deployment with two hosts and a third engine of the app."""
    deployment = Deployment(tmp_path)
    deployment.add_engine("a3", "app")
    first = deployment.start("h-0", lines=SETTINGS)
    seeds = (f"127.0.0.1:{first['controlPlane']}",)
    deployment.start("h-1", seeds, lines=SETTINGS)
    yield deployment
    deployment.close()


def send(site, path, host=0):
    """Send a request to a host; its answer may break off."""
    port = site.entry_ports[host]["frontend"]
    method = "POST" if path.endswith("/s") else "GET"
    with suppress(OSError, HTTPException):
        send_request(port, method, path)


def send_until_reached(site, engine, path):
    """Send requests to the first host until one reaches an engine.

    The other engines of its service are not registered meanwhile.
    """
    service, names = next(
        item
        for item in SERVICES.items()
        if engine in map(site.engines.get, item[1])
    )
    others = [name for name in names if site.engines[name] is not engine]
    for name in others:
        site.store.put("keyed.servers", name, b"")

    count = len(engine.arrivals)

    def reached():
        send(site, path)
        return len(engine.arrivals) > count

    wait_until(reached, f"a request reaches {engine.engine_id}")
    for name in others:
        site.register(name, service)


def arrivals_later(site, engine, path, hosts=(0,)):
    """Return how many requests reach an engine after the drain bound."""
    sleep(DRAIN_S)
    since = monotonic()
    for number in range(LATER_REQUESTS):
        send(site, path, hosts[number % len(hosts)])
    return sum(at > since for at in engine.arrivals)


ANSWERS = {
    "plain": ("a1", "/look/x", ""),
    "failed": ("a1", "/look/x", "failed"),
    "refused": ("a1", "/look/x", "shed"),
    "unsigned": ("a1", "/look/x", "unsigned"),
    "other-id": ("a1", "/look/x", "stranger"),
    "stream": ("m1", "/draft/s", ""),
    "cut-stream": ("m1", "/draft/s", "cut"),
}


@pytest.mark.parametrize("answer", ANSWERS)
def test_no_request_reaches_an_engine_whose_answer_said_it_leaves(
    site, answer
):
    name, path, fault = ANSWERS[answer]
    engine = site.engines[name]
    engine.leaving, engine.fault, engine.fault_count = True, fault, 1
    send_until_reached(site, engine, path)
    assert arrivals_later(site, engine, path) == 0


def test_no_request_reaches_an_engine_that_leaves_and_answers_421(site):
    engine = site.engines["a1"]
    engine.leaving, engine.engine_id = True, "another"
    send_until_reached(site, engine, "/look/x")
    assert arrivals_later(site, engine, "/look/x") == 0


def test_an_entry_written_as_ready_does_not_bring_a_leaving_engine_back(site):
    engine = site.engines["a1"]
    engine.leaving = True
    send_until_reached(site, engine, "/look/x")
    for slots in (5, 6):
        site.register("a1", "app", slots=slots)
    site.store.put("keyed.servers", "a1", b"")
    site.register("a1", "app", slots=7)
    assert arrivals_later(site, engine, "/look/x") == 0


def test_a_new_run_of_an_engine_that_left_serves_again(site):
    engine = site.engines["a1"]
    engine.leaving = True
    send_until_reached(site, engine, "/look/x")
    engine.leaving = False
    site.register("a1", "app", born=FIRST_BORN + 1)
    sleep(DRAIN_S)
    count = len(engine.arrivals)

    def reached():
        send(site, "/look/x")
        return len(engine.arrivals) > count

    assert wait_until(reached, "the new run gets a request")


def test_all_hosts_learn_that_an_engine_leaves_from_the_first_to_hear(site):
    engine = site.engines["a1"]
    engine.leaving = True
    send_until_reached(site, engine, "/look/x")
    assert arrivals_later(site, engine, "/look/x", hosts=(1,)) == 0


def test_a_request_with_no_engine_but_leaving_ones_is_refused_as_not_run(
    site,
):
    for name in ("a1", "a2", "a3"):
        engine = site.engines[name]
        engine.leaving = True
        send_until_reached(site, engine, "/look/x")
    sleep(DRAIN_S)
    port = site.entry_ports[0]["frontend"]
    status, headers, body = send_request(port, "POST", "/book/x", b"b")
    assert status == 503 and headers["Retry-After"]
    assert loads(body)["code"] == Code.NO_BACKEND
