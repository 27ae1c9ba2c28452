"""Streams go on only at the software version that began them.

Real processes, and engines that name their version in each event.
"""

from http.client import HTTPConnection
from http.client import HTTPException
from signal import SIGKILL
from threading import Thread
from time import sleep

import pytest

from entrysite import Deployment
from entrysite import HOST
from entrysite import REQUEST_NUMBERS
from entrysite import send_request
from entrysite import wait_until
from magnoliaflow.common.codes import Code

VERSIONS = {"m1": "v1", "m2": "v1", "m3": "v2", "m4": "v2"}
EVENTS = 30
PAUSE_S = 0.1
STREAMS = 32
# The share of the streams that are taken up which must go on, where new ones
# begin.
MIN_RESUMED_SHARE = 0.5
DEADLINE_MS = 12_000
TRIES = 12


class Stream(Thread):
    """A client's stream, taken up after each break as the pages allow.

    ``pieces`` are the numbers and versions of its events, ``statuses`` those
    of the answers.  ``waits`` holds it between a break and its next try.
    """

    def __init__(self, ports, *, resumes="", pieces=()):
        super().__init__()
        self.ports = ports
        self.first_id = resumes
        self.pieces = list(pieces)
        self.statuses = []
        self.tries = 0

    def run(self):
        """Send the request, and again until the stream is whole."""
        while self.tries < TRIES and not self.is_whole():
            self.tries += 1
            try:
                self.attempt(self.ports[self.tries % len(self.ports)])
            except (OSError, HTTPException):
                sleep(0.3)
            else:
                if self.statuses[-1] != 200:
                    sleep(0.3)

    def is_whole(self):
        """Return whether all events have come."""
        return len(self.pieces) == EVENTS

    def is_joined(self):
        """Return whether the events are of two versions."""
        return len({version for _, version in self.pieces}) > 1

    def attempt(self, port):
        """Send the request once and read its answer to the end."""
        request_id = f"s{next(REQUEST_NUMBERS)}"
        headers = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": str(DEADLINE_MS),
            "X-Credential": "key-n",
        }
        if self.pieces:
            headers["Resumes"] = self.first_id
            headers["Last-Event-Id"] = str(self.pieces[-1][0])
        conn = HTTPConnection("127.0.0.1", port, timeout=5)
        try:
            conn.request("POST", "/draft/s", headers=headers)
            reply = conn.getresponse()
            self.statuses.append(reply.status)
            if reply.status != 200:
                return
            while line := reply.readline():
                if line.startswith(b"id: "):
                    number = int(line[4:])
                if line.startswith(b"data: "):
                    version = line.split()[-1].decode()
                    if not self.pieces:
                        self.first_id = request_id
                    assert number == len(self.pieces)
                    self.pieces.append((number, version))
        finally:
            conn.close()


@pytest.fixture
def site(tmp_path):
    """Return a deployment of two hosts with engines of two versions."""
    deployment = Deployment(tmp_path)
    for name, version in VERSIONS.items():
        deployment.add_engine(name, "llm", version=version)
        engine = deployment.engines[name]
        engine.version = version
        engine.event_count = EVENTS
        engine.pause_s = PAUSE_S
    first = deployment.start("h-0")
    deployment.start("h-1", (f"127.0.0.1:{first['controlPlane']}",))
    yield deployment
    deployment.close()


def frontends(site):
    """Return the ports at which hosts take requests."""
    return [ports["frontend"] for ports in site.entry_ports]


def begin_streams(site, number=STREAMS):
    """Start streams in both directions and wait until all have events."""
    ports = frontends(site)
    streams = [
        Stream(ports[:: 1 if index % 2 else -1]) for index in range(number)
    ]
    for stream in streams:
        stream.start()
    wait_until(
        lambda: all(stream.pieces for stream in streams), "all streams begin"
    )
    return streams


def kill_hosts(site):
    """Kill all hosts at once and start them again."""
    for process in site.launched:
        process.send_signal(SIGKILL)
    for process in site.launched:
        process.wait()
    for index in range(len(site.entry_ports)):
        site.launch(site.folder / f"h-{index}.conf")


def join_all(streams):
    """Wait for the ends of streams; none may hold two versions."""
    for stream in streams:
        stream.join()
    assert [stream.pieces for stream in streams if stream.is_joined()] == []


def whole_share(streams):
    """Return the share of the streams that came to their end."""
    return sum(stream.is_whole() for stream in streams) / len(streams)


def test_no_stream_goes_on_at_another_version_within_one_answer(site):
    for engine in map(site.engines.get, VERSIONS):
        engine.cut_first = True
    streams = begin_streams(site)
    join_all(streams)
    assert whole_share(streams) >= MIN_RESUMED_SHARE


@pytest.mark.parametrize("kills", [1, 2])
def test_no_stream_is_joined_of_two_versions_after_all_hosts_were_killed(
    site, kills
):
    streams = begin_streams(site)
    for _ in range(kills):
        sleep(0.8)
        kill_hosts(site)
    join_all(streams)
    assert whole_share(streams) >= MIN_RESUMED_SHARE


def test_streams_of_a_version_that_has_left_are_not_joined(site):
    streams = begin_streams(site)
    sleep(0.5)
    for name in ("m1", "m2"):
        site.store.put("keyed.servers", name, b"")
        site.engines[name].end()
    kill_hosts(site)
    join_all(streams)
    served = [stream for stream in streams if stream.pieces[0][1] == "v2"]
    assert whole_share(served) >= MIN_RESUMED_SHARE


def test_streams_that_began_before_a_second_version_came_go_on(site):
    for name in ("m3", "m4"):
        site.store.put("keyed.servers", name, b"")
    sleep(1.0)
    streams = begin_streams(site)
    for name in ("m3", "m4"):
        site.register(name, "llm", version="v2")
    sleep(1.0)
    kill_hosts(site)
    join_all(streams)
    assert whole_share(streams) >= MIN_RESUMED_SHARE


@pytest.mark.parametrize("resumes", ["", "nobody", "x" * 300])
def test_a_stream_of_unknown_origin_is_refused_while_two_versions_serve(
    site, resumes
):
    status, headers, body = send_request(
        frontends(site)[0],
        "POST",
        "/draft/s",
        b"b",
        Resumes=resumes,
        Last_Event_Id="3",
    )
    assert status == 503 and headers["Retry-After"]
    assert str(int(Code.ORIGIN_UNKNOWN)).encode() in body
    assert [name for name in VERSIONS if site.engines[name].executed_ids] == []


def test_a_stream_of_unknown_origin_goes_on_while_one_version_serves(
    tmp_path,
):
    deployment = Deployment(tmp_path)
    for name in ("m1", "m2"):
        deployment.register(name, "llm", version="v1")
    deployment.start("h-0")
    port = deployment.entry_ports[0]["frontend"]

    def goes_on():
        return (
            send_request(
                port,
                "POST",
                "/draft/s",
                b"b",
                Resumes="nobody",
                Last_Event_Id="1",
            )[0]
            == 200
        )

    try:
        wait_until(goes_on, "a stream goes on at the only version")
    finally:
        deployment.close()


def test_streams_are_not_joined_while_the_store_is_down(site):
    streams = begin_streams(site)
    site.store.down = True
    site.processes[1].send_signal(SIGKILL)
    site.processes[1].wait()
    join_all(streams)
