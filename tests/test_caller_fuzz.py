"""Pipelined requests over real sockets, from callers that read slowly."""

import random
import socket
import subprocess
import sys
from threading import Thread
import time

import pytest

# The transport pauses its producer over 65,536 bytes, heads included.
ANSWER_BYTES = [3000, 60_000, 65_400, 65_440, 65_470, 65_500, 65_537, 200_000]
BODY_BYTES = [0, 0, 100, 5000, 20_000, 50_000]
CHUNKED = (
    b"POST /9 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"%x\r\n%s\r\n0\r\n\r\n"
)
SERVER = """
from magnoliaflow.common.loop import reactor
from magnoliaflow.transport.limits import ServerLimits
from magnoliaflow.transport.server import ServerFactory

class Full:
    def evict(self):
        raise AssertionError

full = Full()

def handle(inbound):
    size = int(inbound.target[1:])
    if size == 8:
        factory.buffers.hold(full, 15 << 20, fixed=True)
        reactor.callLater(0.5, factory.buffers.release, full)
    if size == 9:
        print("run", flush=True)
    answer = lambda: inbound.respond(200, [], b"x" * size)
    if size == 7:
        inbound.on_disconnect = lambda: print("left", flush=True)
    elif size % 3:
        reactor.callLater((size % 3 - 1) * 0.002, answer)
    else:
        answer()

factory = ServerFactory(handle, ServerLimits())
port = reactor.listenTCP(0, factory, interface="127.0.0.1")
print(port.getHost().port, flush=True)
reactor.run()
"""


@pytest.fixture(scope="module")
def server():
    """Return a process that answers with as many bytes as a target names."""
    with subprocess.Popen(
        [sys.executable, "-c", SERVER], stdout=subprocess.PIPE
    ) as process:
        process.port = int(process.stdout.readline())
        yield process
        process.kill()


def encode(answer, body):
    head = b"POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
    return head % (answer, body) + b"b" * body


def connect(server, window=65_536):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
    sock.settimeout(4)
    sock.connect(("127.0.0.1", server.port))
    return sock


def read_answers(sock, count, rand):
    """Return the number of answers that arrive, at most ``count``."""
    seen, tail, mark = 0, b"", b"HTTP/1.1 200"
    while seen < count:
        try:
            data = sock.recv(rand.choice([2000, 65_536, 1 << 20]))
        except OSError:
            break
        if not data:
            break
        seen += (tail + data).count(mark) - tail.count(mark)
        tail = data[1 - len(mark) :]
    return seen


@pytest.mark.parametrize("seed", range(24))
def test_every_pipelined_request_is_answered(server, seed):
    rand = random.Random(seed)
    rows = [
        (
            rand.choice(ANSWER_BYTES) - rand.randint(0, 60),
            rand.choice(BODY_BYTES),
        )
        for _ in range(rand.randint(20, 100))
    ]
    with connect(server, rand.choice([4096, 65_536, 300_000])) as sock:
        data = b"".join(encode(*row) for row in rows)
        Thread(target=sock.sendall, args=(data,), daemon=True).start()
        time.sleep(rand.choice([0, 0.05, 0.2]))
        assert read_answers(sock, len(rows), rand) == len(rows)


def test_a_caller_that_leaves_a_pipelined_request_is_noticed(server):
    with connect(server) as sock:
        sock.sendall(encode(0, 0) + encode(7, 20_000))
        assert read_answers(sock, 1, random.Random(0)) == 1
        time.sleep(0.1)
    assert read_line(server) == b"left\n"


def test_a_caller_that_leaves_much_behind_a_request_is_noticed(server):
    with connect(server) as sock:
        sock.sendall(encode(7, 0))
        time.sleep(0.1)
        sock.sendall(encode(9, 30_000))
        time.sleep(0.1)
    assert read_line(server) == b"left\n"


def test_a_body_whose_caller_left_while_it_waited_does_not_run(server):
    rand = random.Random(0)
    with connect(server) as sock:
        sock.sendall(encode(8, 0))
        assert read_answers(sock, 1, rand) == 1
        with connect(server) as gone:
            gone.sendall(CHUNKED % (50_000, b"b" * 50_000))
            time.sleep(0.1)
        time.sleep(0.6)
        sock.sendall(encode(7, 0))
        time.sleep(0.1)
    assert read_line(server) == b"left\n"


def read_line(server):
    """Return the next line that the server writes, b'' if none comes."""
    lines = []
    reader = Thread(
        target=lambda: lines.append(server.stdout.readline()), daemon=True
    )
    reader.start()
    reader.join(2)
    return lines[0] if lines else b""
