"""Answers that are not what a request waits for: real processes."""

from socket import create_connection
from time import monotonic
from time import sleep

import pytest

from entrysite import Deployment
from entrysite import HOST
from entrysite import REQUEST_NUMBERS
from entrysite import send_request

DEADLINE_MS = 4000
# A stream that no engine can continue is cut within a quarter of its time.
MAX_CUT_S = DEADLINE_MS / 4000
# A host that is ready has a retry budget from its next tick on.
RETRIES_AFTER_S = 0.3
LAST_CHUNK = b"0\r\n\r\n"


@pytest.fixture
def site(tmp_path):
    """Return a deployment with one host."""
    deployment = Deployment(tmp_path)
    deployment.start("h-0")
    yield deployment
    deployment.close()


@pytest.fixture
def engines(site):
    """Return the model engines, all of which cut new streams."""
    engines = [site.engines["m1"], site.engines["m2"]]
    sleep(RETRIES_AFTER_S)
    for engine in engines:
        engine.cut_first = True
    return engines


def read_stream(port):
    """Return all bytes of a stream's answer, and the seconds it took."""
    head = (
        f"POST /draft/s HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Attempt-Id: f{next(REQUEST_NUMBERS)}\r\n"
        f"X-Deadline-Ms: {DEADLINE_MS}\r\nX-Credential: key-n\r\n"
        "Content-Length: 0\r\nConnection: close\r\n\r\n"
    )
    began = monotonic()
    received = b""
    with create_connection(("127.0.0.1", port), timeout=9) as conn:
        conn.sendall(head.encode())
        try:
            while data := conn.recv(65536):
                received += data
        except ConnectionResetError:
            pass
    return received, monotonic() - began


@pytest.mark.parametrize(
    "answer",
    ["500", "503", "404", "204", "302", "text", "unsigned", "unnamed", "half"],
)
def test_an_error_in_place_of_the_rest_of_a_stream_cuts_it(
    site, engines, answer
):
    for engine in engines:
        engine.resumed_answer = answer
    received, took_s = read_stream(site.entry_ports[0]["frontend"])
    assert received.count(b"HTTP/1.1") == 1 and b"data: t1" in received
    assert b"foreign" not in received.lower()
    assert not received.endswith(LAST_CHUNK)
    assert took_s < MAX_CUT_S


def test_the_rest_of_a_stream_that_was_cut_is_sent(site, engines):
    received, _ = read_stream(site.entry_ports[0]["frontend"])
    assert received.endswith(LAST_CHUNK) and received.count(b"data: t") == 4


def test_a_refusal_of_another_request_is_not_believed(site):
    """Told as not run, the client would run the request again."""
    engines = [site.engines["a1"], site.engines["a2"]]
    for engine in engines:
        engine.fault, engine.fault_count = "old refusal", 1
    before = len(site.executed_ids())
    port = site.entry_ports[0]["frontend"]
    status, _, _ = send_request(port, "POST", "/book/x", b"b")
    assert status == 502
    assert len(site.executed_ids()) == before + 1
