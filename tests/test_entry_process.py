"""The entry process against stand-ins of the users' platform."""

from http.client import HTTPConnection
from http.client import HTTPException
from json import loads
from signal import SIGTERM
from socket import socket
from time import sleep

import pytest

from entrysite import Deployment
from entrysite import HOST
from entrysite import make_config
from entrysite import send_request
from entrysite import WAIT_S
from entrysite import wait_until
from magnoliaflow.common.codes import Code


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    """Return a deployment with one entry process."""
    deployment = Deployment(tmp_path_factory.mktemp("site"))
    deployment.start("e-1")
    yield deployment
    deployment.close()


@pytest.fixture
def port(site):
    """Return the callers' port; engines are sound again."""
    for engine in site.engines.values():
        engine.fault_count = 0
        engine.executed_ids.clear()
        engine.request_headers.clear()
    sleep(0.6)
    return site.entry_ports[0]["frontend"]


def fail_all(site, fault, faults=9):
    for engine in site.engines.values():
        engine.fault, engine.fault_count = fault, faults


def fail_first(site, fault):
    """Let just the first request meet a fault, whichever engine has it."""

    class Shared:
        left = 1

    def take(engine):
        def taken():
            if Shared.left == 0:
                return ""
            Shared.left = 0
            return fault

        return taken

    for engine in site.engines.values():
        engine.take_fault = take(engine)


def heal(site):
    for engine in site.engines.values():
        engine.__dict__.pop("take_fault", None)


def test_a_request_reaches_one_engine_with_our_headers(site, port):
    status, headers, body = send_request(
        port, "POST", "/book/x", b"shoes", X_Tenant="forged"
    )
    assert (status, body) == (200, b"answer to shoes")
    assert headers["X-Response-Signature"]
    assert len(site.executed_ids()) == 1
    head = next(
        row.request_headers[0]
        for row in site.engines.values()
        if row.request_headers
    )
    head = {name.lower(): value for name, value in head.items()}
    assert head["x-tenant"] == "north"
    assert "x-credential" not in head
    assert 0 < int(head["x-deadline-ms"]) <= 3000


@pytest.mark.parametrize(
    "path, key, status",
    [
        ("/look/x", "wrong", 401),
        ("/look/x", "", 401),
        ("/nowhere/x", "key-n", 404),
        ("/look", "key-n", 404),
        ("/open/x", "", 200),
    ],
)
def test_who_may_call_what(port, path, key, status):
    found, _, body = send_request(port, "GET", path, key=key)
    assert found == status
    codes = {401: Code.UNAUTHENTICATED, 404: Code.NO_ROUTE}
    if status in codes:
        assert loads(body)["code"] == codes[status]


def test_what_may_not_run_twice_is_not_sent_again(site, port):
    fail_all(site, "lost")
    status, _, body = send_request(port, "POST", "/book/x", b"order")
    assert status == 502
    assert loads(body)["code"] == 4001
    assert len(site.executed_ids()) == 1


@pytest.mark.parametrize("fault", ["lost", "cut", "failed", "stranger"])
def test_what_may_be_repeated_is_sent_to_another(site, port, fault):
    fail_first(site, fault)
    try:
        assert send_request(port, "GET", "/look/x")[0] == 200
    finally:
        heal(site)
    assert len(site.executed_ids()) == 2


def test_refused_by_every_engine_is_said_not_to_have_run(site, port):
    fail_all(site, "shed")
    status, headers, _ = send_request(port, "POST", "/book/x", b"order")
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    assert site.executed_ids() == []


def test_shed_once_goes_to_another_engine(site, port):
    fail_first(site, "shed")
    try:
        assert send_request(port, "POST", "/book/x", b"order")[0] == 200
    finally:
        heal(site)
    assert len(site.executed_ids()) == 1


def test_an_answer_without_receipt_is_no_success(site, port):
    fail_all(site, "unsigned")
    assert send_request(port, "POST", "/book/x", b"order")[0] == 502
    assert len(site.executed_ids()) == 1


def test_a_stream_arrives_whole(port):
    status, _, body = send_request(port, "POST", "/chat/s", b"hi")
    assert status == 200
    assert body == b"".join(
        b"id: %d\ndata: t%d\n\n" % (number, number) for number in range(4)
    )


def test_a_resumable_stream_goes_on_within_its_answer(site, port):
    fail_first(site, "cut")
    try:
        _, headers, body = send_request(port, "POST", "/draft/s", b"hi")
    finally:
        heal(site)
    assert body == b"".join(
        b"id: %d\ndata: t%d\n\n" % (number, number) for number in range(4)
    )
    assert len(site.executed_ids()) == 2
    first = next(
        row for row in site.engines.values() if len(row.executed_ids) == 1
    )
    assert headers["X-Response-Signature"] in ("m1", "m2") and first


def test_a_stream_that_may_not_resume_is_cut(site, port):
    fail_first(site, "cut")
    try:
        with pytest.raises((HTTPException, OSError)):
            send_request(port, "POST", "/chat/s", b"hi")
    finally:
        heal(site)
    assert len(site.executed_ids()) == 1


def test_a_cap_refuses_with_the_time_to_come_back(port):
    answers = [
        send_request(port, "GET", "/look/x", key="key-s") for _ in range(8)
    ]
    refused = [row for row in answers if row[0] == 429]
    assert refused and float(refused[0][1]["Retry-After"]) > 0


def test_a_caller_who_leaves_frees_the_engine(site, port):
    for engine in site.engines.values():
        engine.pause_s, engine.event_count = 0.1, 40
    sock = socket()
    sock.connect(("127.0.0.1", port))
    sock.sendall(
        b"POST /chat/s HTTP/1.1\r\nHost: desk.example\r\n"
        b"X-Attempt-Id: gone\r\nX-Credential: key-n\r\n"
        b"Content-Length: 2\r\n\r\nhi"
    )
    assert sock.recv(1000)
    sock.close()
    left = wait_until(
        lambda: [row for row in site.engines.values() if row.disconnected_ids],
        "freed",
    )
    assert left[0].disconnected_ids == ["gone"]
    for engine in site.engines.values():
        engine.pause_s, engine.event_count = 0.0, 4


@pytest.mark.parametrize(
    "raw, status",
    [
        (b"nonsense\r\n\r\n", 400),
        (
            b"POST /book/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n",
            400,
        ),
        (
            b"POST /book/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3000\r\n"
            b"\r\n" + b"x" * 3000,
            413,
        ),
        (b"GET / HTTP/1.1\r\nHost: " + b"a" * 9000 + b"\r\n\r\n", 431),
    ],
    ids=["nonsense", "two framings", "long body", "long head"],
)
def test_malformed_requests_get_their_status(site, port, raw, status):
    sock = socket()
    sock.settimeout(5)
    sock.connect(("127.0.0.1", port))
    sock.sendall(raw)
    assert sock.recv(100).split()[1] == str(status).encode()
    sock.close()
    assert site.executed_ids() == []


def test_a_chunked_body_arrives_whole(port):
    sock = socket()
    sock.settimeout(5)
    sock.connect(("127.0.0.1", port))
    sock.sendall(
        b"POST /book/x HTTP/1.1\r\nHost: desk.example\r\n"
        b"X-Attempt-Id: chunky\r\nX-Credential: key-n\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n3\r\nsho\r\n2\r\nes\r\n0\r\n\r\n"
    )
    data = b""
    while b"answer to shoes" not in data:
        data += sock.recv(1000)
    sock.close()


def test_a_leaving_engine_gets_no_more_work(site, port):
    site.register("a1", "app", state="draining")
    sleep(1.0)
    for _ in range(6):
        assert send_request(port, "GET", "/look/x")[0] == 200
    assert site.engines["a1"].executed_ids == []
    site.register("a1", "app")
    sleep(1.0)


def test_a_taken_key_is_refused_and_an_old_version_never_returns(site, port):
    taken = [{"name": "north", "apiKeys": ["other"]}]
    site.store.put("keyed.op", "config", make_config(5, tenants=taken))
    wait_until(
        lambda: send_request(port, "GET", "/look/x")[0] == 401,
        "key is refused",
    )
    site.store.put("keyed.op", "config", make_config(4))
    sleep(0.5)
    assert send_request(port, "GET", "/look/x")[0] == 401
    site.store.put("keyed.op", "config", make_config(6))
    wait_until(
        lambda: send_request(port, "GET", "/look/x")[0] == 200, "key is back"
    )


def test_a_host_cut_off_stops_serving_keys_but_not_the_rest(site, port):
    site.store.down = True
    try:
        wait_until(
            lambda: send_request(port, "GET", "/look/x")[0] == 503, "stale"
        )
        assert send_request(port, "GET", "/open/x", key="")[0] == 200
    finally:
        site.store.down = False
    wait_until(
        lambda: send_request(port, "GET", "/look/x")[0] == 200, "fresh again"
    )


def test_history_that_is_gone_is_listed_anew(site, port):
    site.store.trim("keyed.op")
    site.store.trim("keyed.servers")
    site.store.put("keyed.op", "config", make_config(9))
    sleep(1.0)
    assert send_request(port, "GET", "/look/x")[0] == 200


def test_a_stop_finishes_what_is_in_progress(tmp_path):
    deployment = Deployment(tmp_path)
    try:
        first = deployment.start("e-1")
        second = deployment.start(
            "e-2", seeds=(f"127.0.0.1:{first['controlPlane']}",)
        )

        def listed():
            status, _, body = send_request(
                second["directoryService"],
                "GET",
                "/magnoliaflow/resolution?name=x&region=r&zone=z1",
            )
            return loads(body)["addresses"] if status == 200 else []

        wait_until(lambda: len(listed()) == 2, "both are listed")
        for engine in deployment.engines.values():
            engine.pause_s = 0.3
        conn = HTTPConnection("127.0.0.1", first["frontend"], timeout=9)
        conn.request(
            "POST",
            "/chat/s",
            body=b"hi",
            headers={
                "Host": HOST,
                "X-Attempt-Id": "slow",
                "X-Credential": "key-n",
            },
        )
        deployment.processes[0].send_signal(SIGTERM)
        wait_until(lambda: len(listed()) == 1, "the leaving host is unlisted")
        reply = conn.getresponse()
        assert reply.read().count(b"data") == 4
        assert reply.headers["Connection"] == "close"
        assert deployment.processes[0].wait(WAIT_S) == 0
    finally:
        deployment.close()
