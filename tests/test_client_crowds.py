"""Crowds of clients outside the limits do not end a process.

The bounds are those that the settings of the host state.  Run these tests
one at a time, apart from other load (tools/runtests.py).
"""

from itertools import chain

from crowds import chunks
from crowds import Crowd
from crowds import descriptors
from crowds import endless
from crowds import head
from crowds import memory_mb
from crowds import pieces
import pytest

from entrysite import Deployment
from entrysite import HOST
from entrysite import make_config
from entrysite import send_request
from entrysite import wait_until

MEMORY_MB = 96
DESCRIPTORS = 400
BODY_BYTES = 4_000_000
# Far over the limit on bodies.
FLOOD_BYTES = 24_000_000
# What a body lacks when its client stops.
MISSING_BYTES = 10
CHUNKED = head(HOST, "Transfer-Encoding: chunked")
WHOLE = head(HOST, f"Content-Length: {BODY_BYTES}")
ANNOUNCED = head(HOST, "Content-Length: 400000000")
RUNNING = head(HOST, method="GET")
UNKNOWN = head(HOST, method="GET", path="/nowhere")
HEADS = CHUNKED[:-2]
# Name, number of clients and what each of them sends.
CROWDS = {
    "large chunks": (40, lambda: chunked(65536, BODY_BYTES - 70_000)),
    "chunks of one byte": (40, lambda: chunked(1, 400_000)),
    "whole bodies": (40, lambda: [WHOLE + b"x" * (BODY_BYTES - 10)]),
    "bodies in pieces": (
        40,
        lambda: chain([WHOLE], pieces(BODY_BYTES - MISSING_BYTES, 4096)),
    ),
    "announced": (20, lambda: chain([ANNOUNCED], pieces(FLOOD_BYTES))),
    "just sent": (20, lambda: chunked(65536, FLOOD_BYTES)),
    "endless heads": (
        40,
        lambda: chain([HEADS], endless(b"X-A: b\r\n", FLOOD_BYTES)),
    ),
    "endless trailers": (
        40,
        lambda: chain(
            [CHUNKED, b"0\r\n"], endless(b"X-A: b\r\n", FLOOD_BYTES)
        ),
    ),
    "pipelined": (40, lambda: endless(RUNNING, 4_000_000)),
    "bodies behind a request": (
        40,
        lambda: chain([RUNNING, WHOLE], pieces(BODY_BYTES - MISSING_BYTES)),
    ),
    "answers never read": (40, lambda: endless(UNKNOWN, 4_000_000)),
    "idle": (500, lambda: [b""]),
    "heads left open": (500, lambda: [HEADS]),
    "small bodies left open": (500, lambda: [WHOLE + b"x" * 30_000]),
}


def chunked(size, total):
    """Return a request with chunks of a size that does not end."""
    return chain([CHUNKED], chunks(size, total))


# Crowds whose own requests take all places of the slow engines; the ordinary
# request goes to other engines.
RUNNING_CROWDS = {"pipelined"}


@pytest.fixture
def site(tmp_path, name):
    """Return a deployment of one small host with slow engines."""
    deployment = Deployment(tmp_path)
    limits = {"maxBodyBytes": BODY_BYTES, "maxHeaderBytes": 16384}
    deployment.store.put("keyed.op", "config", make_config(2, limits=limits))
    slow = deployment.engines
    if name in RUNNING_CROWDS:
        slow = ("a1", "a2")
    for engine in slow:
        deployment.engines[engine].pause_s = 1.0
    deployment.start(
        "e-1",
        lines=(
            f"limits.memoryMb={MEMORY_MB}",
            f"limits.fileDescriptors={DESCRIPTORS}",
        ),
    )
    yield deployment
    deployment.close()


def is_answered(port, path):
    try:
        return send_request(port, "POST", path, b"b" * 500)[0] == 200
    except OSError:
        return False


@pytest.mark.parametrize("name", CROWDS)
def test_a_crowd_leaves_the_process_within_its_host(site, name):
    """The ordinary request is sent while the crowd is still connected."""
    number, make_parts = CROWDS[name]
    process = site.processes[0]
    port = site.entry_ports[0]["frontend"]
    path = "/chat/y/s" if name in RUNNING_CROWDS else "/look/y"
    most = [0]

    def observe():
        assert process.poll() is None
        most[0] = max(most[0], descriptors(process.pid))

    crowd = Crowd(port, [make_parts() for _ in range(number)], observe)
    try:
        crowd.send()
        wait_until(lambda: is_answered(port, path), "an ordinary request")
        observe()
        peak_mb = memory_mb(process.pid, "VmHWM")
    finally:
        crowd.close()
    print(f"{name}: {peak_mb:.0f} MB, {most[0]} descriptors")
    assert peak_mb < MEMORY_MB
    assert most[0] < DESCRIPTORS
    wait_until(lambda: is_answered(port, path), "a request after the crowd")
