"""Log lines lead from a failed request's id to its cause.

docs/OPERATIONS.md describes the search.
"""

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
def logged_site(tmp_path):
    """Return a deployment, its port for callers and a search of its log."""
    deployment = Deployment(tmp_path)
    path = tmp_path / "entry.log"
    with path.open("wb") as log:
        deployment.start("e-1", log=log)

        def find_lines(**wanted):
            records = [loads(line) for line in path.read_text().splitlines()]
            return [
                record
                for record in records
                if all(
                    record.get(key) == value for key, value in wanted.items()
                )
            ]

        yield deployment, deployment.entry_ports[0]["frontend"], find_lines
        deployment.close()


def ended_line(find_lines, request_id):
    """Return the line that ends a request."""
    return wait_until(
        lambda: find_lines(request=request_id, event_name="CALL_ENDED"),
        "the end of the request",
    )[0]


def test_refused_requests_name_code_and_account(logged_site):
    deployment, port, find_lines = logged_site
    refused = None
    while refused is None:
        status, _, body = send_request(
            port, "GET", "/look/x", key="key-s", X_Attempt_Id="s"
        )
        refused = body if status == 429 else None
    matching = wait_until(
        lambda: find_lines(request="s", status=429),
        "the log line of the refusal",
    )
    assert matching[0]["code"] == loads(refused)["code"] == 3000
    assert (matching[0]["account"], matching[0]["sends"]) == ("small", 0)


def test_a_lost_answer_names_engine_and_reason(logged_site):
    deployment, port, find_lines = logged_site
    for engine in deployment.engines.values():
        engine.fault, engine.fault_count = "lost", 1
    assert (
        send_request(port, "POST", "/book/x", b"a", X_Attempt_Id="b1")[0]
        == 502
    )
    end = ended_line(find_lines, "b1")
    assert (end["code"], end["sends"]) == (4001, 1)
    failed = find_lines(request="b1", event_name="ATTEMPT_FAILED")[0]
    assert failed["engine"] == end["engine"]
    assert failed["failure"] == "may have run" and failed["reason"]
    placed = find_lines(request="b1", event_name="CALL_PLACED")[0]
    assert {"running", "expected_s", "left_s", "version"} <= set(placed)
    assert find_lines(event_name="ENGINE_CHANGED", engine=end["engine"])


def test_a_stream_that_times_out_during_a_drain_is_logged_as_a_timeout(
    logged_site,
):
    deployment, port, find_lines = logged_site
    for engine in deployment.engines.values():
        engine.pause_s, engine.event_count = 0.4, 30
    conn = HTTPConnection("127.0.0.1", port, timeout=9)
    headers = {"Host": HOST, "X-Attempt-Id": "st", "X-Credential": "key-n"}
    conn.request("POST", "/chat/s", body=b"hi", headers=headers)
    wait_until(
        lambda: find_lines(request="st", event_name="CALL_PLACED"),
        "the request is sent to an engine",
    )
    deployment.processes[0].send_signal(SIGTERM)
    assert deployment.processes[0].wait(WAIT_S) == 0
    assert ended_line(find_lines, "st")["code"] == 4001
    reasons = [
        record["reason"]
        for record in find_lines(request="st")
        if "reason" in record
    ]
    assert reasons == ["deadline or timeout reached"]
    assert find_lines(event_name="PROCESS_DRAINING")[0]["in_flight"] == 1
    assert find_lines(event_name="PROCESS_STOPPED")
