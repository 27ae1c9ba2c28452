"""The entry process with stand-ins of the users' platform."""

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

WHOLE_STREAM = b"".join(
    b"id: %d\ndata: t%d\n\n" % (number, number) for number in range(4)
)


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    """Return a deployment with one entry process."""
    deployment = Deployment(tmp_path_factory.mktemp("site"))
    deployment.start("e-1")
    yield deployment
    deployment.close()


@pytest.fixture
def port(site):
    """Return the port for callers; engines have no faults and no records."""
    for engine in site.engines.values():
        engine.fault_count = 0
        engine.executed_ids.clear()
        engine.request_headers.clear()
    sleep(0.6)
    return site.entry_ports[0]["frontend"]


def fail_all_engines(site, fault, count=9):
    for engine in site.engines.values():
        engine.fault, engine.fault_count = fault, count


def fail_first_request(site, fault):
    """Inject a fault into the next request only, at whichever engine."""

    class Budget:
        remaining = 1

    def make_take_fault(engine):
        def take_fault():
            if Budget.remaining == 0:
                return ""
            Budget.remaining = 0
            return fault

        return take_fault

    for engine in site.engines.values():
        engine.take_fault = make_take_fault(engine)


def restore_engines(site):
    for engine in site.engines.values():
        engine.__dict__.pop("take_fault", None)


def test_a_request_reaches_one_engine_with_trusted_headers(site, port):
    status, headers, body = send_request(
        port, "POST", "/book/x", b"shoes", X_Tenant="forged"
    )
    assert (status, body) == (200, b"answer to shoes")
    assert headers["X-Response-Signature"]
    assert len(site.executed_ids()) == 1
    forwarded = next(
        engine.request_headers[0]
        for engine in site.engines.values()
        if engine.request_headers
    )
    forwarded = {name.lower(): value for name, value in forwarded.items()}
    assert forwarded["x-tenant"] == "north"
    assert "x-credential" not in forwarded
    assert 0 < int(forwarded["x-deadline-ms"]) <= 3000


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
def test_keys_and_routes_decide_who_may_call(port, path, key, status):
    answer_status, _, body = send_request(port, "GET", path, key=key)
    assert answer_status == status
    codes = {401: Code.UNAUTHENTICATED, 404: Code.NO_ROUTE}
    if status in codes:
        assert loads(body)["code"] == codes[status]


def test_a_non_idempotent_request_is_not_retried(site, port):
    fail_all_engines(site, "lost")
    status, _, body = send_request(port, "POST", "/book/x", b"order")
    assert status == 502
    assert loads(body)["code"] == 4001
    assert len(site.executed_ids()) == 1


@pytest.mark.parametrize("fault", ["lost", "cut", "failed", "stranger"])
def test_an_idempotent_request_is_retried_at_another_engine(site, port, fault):
    fail_first_request(site, fault)
    try:
        assert send_request(port, "GET", "/look/x")[0] == 200
    finally:
        restore_engines(site)
    assert len(site.executed_ids()) == 2


def test_a_request_that_every_engine_sheds_is_refused_as_not_run(site, port):
    fail_all_engines(site, "shed")
    status, headers, _ = send_request(port, "POST", "/book/x", b"order")
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    assert site.executed_ids() == []


def test_a_request_shed_once_goes_to_another_engine(site, port):
    fail_first_request(site, "shed")
    try:
        assert send_request(port, "POST", "/book/x", b"order")[0] == 200
    finally:
        restore_engines(site)
    assert len(site.executed_ids()) == 1


def test_an_unsigned_answer_is_no_success(site, port):
    fail_all_engines(site, "unsigned")
    assert send_request(port, "POST", "/book/x", b"order")[0] == 502
    assert len(site.executed_ids()) == 1


def test_a_stream_arrives_whole(port):
    status, _, body = send_request(port, "POST", "/chat/s", b"hi")
    assert status == 200
    assert body == b"".join(
        b"id: %d\ndata: t%d\n\n" % (number, number) for number in range(4)
    )


def test_a_resumable_stream_continues_within_its_answer(site, port):
    fail_first_request(site, "cut")
    try:
        _, headers, body = send_request(port, "POST", "/draft/s", b"hi")
    finally:
        restore_engines(site)
    assert body == b"".join(
        b"id: %d\ndata: t%d\n\n" % (number, number) for number in range(4)
    )
    assert len(site.executed_ids()) == 2
    resumed_engine = next(
        engine
        for engine in site.engines.values()
        if len(engine.executed_ids) == 1
    )
    assert headers["X-Response-Signature"] in ("m1", "m2") and resumed_engine


@pytest.fixture
def unframed_site(site, port):
    """Return the site; answers end with their connection."""
    for engine in site.engines.values():
        engine.framed = False
    yield site
    for engine in site.engines.values():
        engine.framed = True


@pytest.mark.parametrize(
    "path, body",
    [
        ("/book/x", b"answer to hi"),
        ("/draft/s", WHOLE_STREAM),
    ],
)
def test_an_answer_that_ends_with_its_connection_is_whole(
    unframed_site, port, path, body
):
    status, headers, answer = send_request(port, "POST", path, b"hi")
    assert (status, answer) == (200, body)
    assert headers["X-Response-Signature"]


def test_a_stream_that_ends_inside_an_event_goes_on_elsewhere(
    unframed_site, port
):
    fail_first_request(unframed_site, "cut")
    try:
        _, _, body = send_request(port, "POST", "/draft/s", b"hi")
    finally:
        restore_engines(unframed_site)
    assert body == WHOLE_STREAM
    assert len(unframed_site.executed_ids()) == 2


def test_a_stream_that_ends_inside_an_event_never_looks_complete(
    unframed_site, port
):
    fail_first_request(unframed_site, "cut")
    try:
        with pytest.raises((HTTPException, OSError)):
            send_request(port, "POST", "/chat/s", b"hi")
    finally:
        restore_engines(unframed_site)


def test_a_stream_that_may_not_resume_is_cut(site, port):
    fail_first_request(site, "cut")
    try:
        with pytest.raises((HTTPException, OSError)):
            send_request(port, "POST", "/chat/s", b"hi")
    finally:
        restore_engines(site)
    assert len(site.executed_ids()) == 1


def test_a_cap_refuses_with_a_retry_delay(port):
    answers = [
        send_request(port, "GET", "/look/x", key="key-s") for _ in range(8)
    ]
    refused = [answer for answer in answers if answer[0] == 429]
    assert refused and float(refused[0][1]["Retry-After"]) > 0


def test_a_caller_that_disconnects_frees_the_engine(site, port):
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
    disconnected = wait_until(
        lambda: [
            engine
            for engine in site.engines.values()
            if engine.disconnected_ids
        ],
        "the engine is freed",
    )
    assert disconnected[0].disconnected_ids == ["gone"]
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


def test_a_revoked_key_is_refused_and_an_old_version_never_returns(site, port):
    revoked = [{"name": "north", "apiKeys": ["other"]}]
    site.store.put("keyed.op", "config", make_config(5, tenants=revoked))
    wait_until(
        lambda: send_request(port, "GET", "/look/x")[0] == 401,
        "the revoked key is refused",
    )
    site.store.put("keyed.op", "config", make_config(4))
    sleep(0.5)
    assert send_request(port, "GET", "/look/x")[0] == 401
    site.store.put("keyed.op", "config", make_config(6))
    wait_until(
        lambda: send_request(port, "GET", "/look/x")[0] == 200,
        "the key is accepted again",
    )


def test_a_host_without_the_store_serves_only_anonymous_routes(site, port):
    site.store.down = True
    try:
        wait_until(
            lambda: send_request(port, "GET", "/look/x")[0] == 503,
            "the configuration is stale",
        )
        assert send_request(port, "GET", "/open/x", key="")[0] == 200
    finally:
        site.store.down = False
    wait_until(
        lambda: send_request(port, "GET", "/look/x")[0] == 200,
        "the configuration is current again",
    )


def test_a_trimmed_log_is_listed_again(site, port):
    site.store.trim("keyed.op")
    site.store.trim("keyed.servers")
    site.store.put("keyed.op", "config", make_config(9))
    sleep(1.0)
    assert send_request(port, "GET", "/look/x")[0] == 200


def test_a_stop_finishes_requests_in_progress(tmp_path):
    deployment = Deployment(tmp_path)
    try:
        first = deployment.start("e-1")
        second = deployment.start(
            "e-2", seeds=(f"127.0.0.1:{first['controlPlane']}",)
        )

        def listed_addresses():
            status, _, body = send_request(
                second["directoryService"],
                "GET",
                "/magnoliaflow/resolution?name=x&region=r&zone=z1",
            )
            return loads(body)["addresses"] if status == 200 else []

        wait_until(
            lambda: len(listed_addresses()) == 2, "both hosts are listed"
        )
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
        wait_until(
            lambda: len(listed_addresses()) == 1,
            "the leaving host is unlisted",
        )
        response = conn.getresponse()
        assert response.read().count(b"data") == 4
        assert response.headers["Connection"] == "close"
        assert deployment.processes[0].wait(WAIT_S) == 0
    finally:
        deployment.close()
