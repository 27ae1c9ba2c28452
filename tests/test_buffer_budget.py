"""Buffered bodies of all requests on a host are bounded together."""

from http.client import HTTPConnection
from pathlib import Path
from socket import create_connection
from time import sleep

from hypothesis import given
from hypothesis import strategies as st
import pytest

from entrysite import Deployment
from entrysite import HOST
from entrysite import make_config
from entrysite import send_request
from magnoliaflow.transport.memory import BufferBudget

LIMIT = 1000


class Holder:
    """Holds bytes in a budget until it is evicted."""

    def __init__(self, budget):
        self.budget = budget
        self.size = 0
        self.is_evicted = False

    def evict(self):
        """Drop all bytes, as an attempt or a connection does."""
        self.is_evicted = True
        self.size = 0
        self.budget.release(self)


@given(
    st.lists(
        st.tuples(st.integers(0, 5), st.integers(0, 2 * LIMIT)), max_size=40
    )
)
def test_a_budget_never_holds_more_than_its_limit(steps):
    budget = BufferBudget(LIMIT)
    holders = [Holder(budget) for _ in range(6)]
    for number, size in steps:
        holder = holders[number]
        others = [other.size for other in holders if other is not holder]
        if holder.is_evicted:
            continue
        holder.size = size
        budget.hold(holder, size)
        assert budget.total == sum(other.size for other in holders)
        assert budget.total <= LIMIT
        if sum(others) + size <= LIMIT:
            assert not holder.is_evicted


def test_an_eviction_is_reported_with_its_bytes():
    reports = []
    budget = BufferBudget(
        LIMIT, on_evicted=lambda row: reports.append((row.kind, row.size))
    )
    budget.hold(Holder(budget), 900)
    budget.hold(Holder(budget), 200)
    assert reports == [("Holder", 900)]


@pytest.fixture
def site(tmp_path):
    """Return a deployment of one host that takes bodies of 4 MB."""
    deployment = Deployment(tmp_path)
    limits = {"maxBodyBytes": 4_000_000, "maxHeaderBytes": 4000}
    deployment.store.put("keyed.op", "config", make_config(2, limits=limits))
    deployment.start("e-1")
    yield deployment
    deployment.close()


def resident_mb(site):
    status = Path(f"/proc/{site.processes[0].pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0]) / 1024


def test_callers_that_do_not_read_large_answers_lose_them_not_others(site):
    """Guards against answers that pile up until the process is ended."""
    port = site.entry_ports[0]["frontend"]
    before = resident_mb(site)
    body = b"x" * 3_900_000
    head = (
        f"POST /look/x HTTP/1.1\r\nHost: {HOST}\r\nX-Credential: key-n\r\n"
        f"Content-Length: {len(body)}\r\nX-Attempt-Id: big\r\n\r\n"
    )
    conns = []
    for _ in range(60):
        conn = create_connection(("127.0.0.1", port))
        conn.sendall(head.encode() + body)
        conns.append(conn)
    sleep(1.0)
    assert resident_mb(site) - before < 200
    for _ in range(5):
        assert send_request(port, "GET", "/look/x")[0] == 200
    for conn in conns:
        conn.close()


def test_a_large_answer_is_whole_for_a_caller_that_reads_slowly(site):
    port = site.entry_ports[0]["frontend"]
    conn = HTTPConnection("127.0.0.1", port, timeout=5)
    body = bytes(range(256)) * 8000
    conn.request(
        "POST",
        "/look/x",
        body=body,
        headers={
            "Host": HOST,
            "X-Attempt-Id": "slow",
            "X-Credential": "key-n",
        },
    )
    response = conn.getresponse()
    data = b""
    while piece := response.read(100_000):
        data += piece
        sleep(0.02)
    assert data == b"answer to " + body
    headers = {"Host": HOST, "X-Attempt-Id": "next"}
    conn.request("GET", "/open/x", headers=headers)
    assert conn.getresponse().status == 200
