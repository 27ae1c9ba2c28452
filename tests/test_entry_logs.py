"""docs/OPERATIONS.md: from a failed request's id to its cause."""

from http.client import HTTPConnection
from json import loads
from signal import SIGTERM

import pytest

from entrysite import Deployment
from entrysite import HOST
from entrysite import send_request
from entrysite import WAIT_S
from entrysite import wait_until


@pytest.fixture
def logged(tmp_path):
    """Return a deployment whose entry process writes to a file."""
    deployment = Deployment(tmp_path)
    path = tmp_path / "entry.log"
    with path.open("wb") as log:
        deployment.start("e-1", log=log)

        def lines(**wanted):
            rows = [loads(line) for line in path.read_text().splitlines()]
            return [
                row
                for row in rows
                if all(row.get(key) == value for key, value in wanted.items())
            ]

        yield deployment, deployment.entry_ports[0]["frontend"], lines
        deployment.close()


def last_of(lines, request):
    """Return the line that ends a request."""
    return wait_until(
        lambda: lines(request=request, event_name="CALL_ENDED"), "its end"
    )[0]


def test_refused_requests_name_code_and_account(logged):
    site, port, lines = logged
    refused = None
    while refused is None:
        status, _, body = send_request(
            port, "GET", "/look/x", key="key-s", X_Attempt_Id="s"
        )
        refused = body if status == 429 else None
    rows = wait_until(lambda: lines(request="s", status=429), "the refusal")
    assert rows[0]["code"] == loads(refused)["code"] == 3000
    assert (rows[0]["account"], rows[0]["sends"]) == ("small", 0)


def test_a_lost_answer_names_engine_and_reason(logged):
    site, port, lines = logged
    for engine in site.engines.values():
        engine.fault, engine.fault_count = "lost", 1
    assert (
        send_request(port, "POST", "/book/x", b"a", X_Attempt_Id="b1")[0]
        == 502
    )
    end = last_of(lines, "b1")
    assert (end["code"], end["sends"]) == (4001, 1)
    failed = lines(request="b1", event_name="ATTEMPT_FAILED")[0]
    assert failed["engine"] == end["engine"]
    assert failed["failure"] == "may have run" and failed["reason"]
    placed = lines(request="b1", event_name="CALL_PLACED")[0]
    assert {"running", "expected_s", "left_s", "version"} <= set(placed)
    assert lines(event_name="ENGINE_CHANGED", engine=end["engine"])


def test_a_stop_in_mid_stream_is_told_from_a_timeout(logged):
    site, port, lines = logged
    for engine in site.engines.values():
        engine.pause_s, engine.event_count = 0.4, 30
    conn = HTTPConnection("127.0.0.1", port, timeout=9)
    head = {"Host": HOST, "X-Attempt-Id": "st", "X-Credential": "key-n"}
    conn.request("POST", "/chat/s", body=b"hi", headers=head)
    wait_until(
        lambda: lines(request="st", event_name="CALL_PLACED"), "its send"
    )
    site.processes[0].send_signal(SIGTERM)
    assert site.processes[0].wait(WAIT_S) == 0
    assert last_of(lines, "st")["code"] == 4001
    reasons = [row["reason"] for row in lines(request="st") if "reason" in row]
    assert reasons == ["deadline or timeout reached"]
    assert lines(event_name="PROCESS_DRAINING")[0]["in_flight"] == 1
    assert lines(event_name="PROCESS_STOPPED")
