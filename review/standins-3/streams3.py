"""A model engine that streams, ends and starts again under its id.

Its address stays open while it is down, as that of an engine behind a proxy or
a supervisor on its machine: connections that arrive meanwhile wait until it is
back.  Without ``keeps_address`` they are refused.
"""

from json import dumps
from select import poll
from select import POLLIN
from socket import MSG_PEEK
from socket import SHUT_RDWR
from socket import SO_LINGER
from socket import SO_REUSEADDR
from socket import socket
from socket import SOL_SOCKET
from struct import pack
from threading import Event
from threading import Lock
from threading import Thread
from time import monotonic
from time import sleep
from time import time

HEARTBEAT_S = 1.2


class StreamEngine:
    """Streams ``events`` events, ``gap_s`` apart, that name its version.

    It ends when it begins to write an answer on a prompt with the part
    ``deadly``, other than the last, and is back after ``down_s``.  ``ends``
    holds the times of these ends, ``arrivals`` when such requests arrived.
    """

    def __init__(self, name, service, version, record, *, events, gap_s):
        self.name = name
        self.service = service
        self.version = version
        self.record = record
        self.events = events
        self.gap_s = gap_s
        self.born = int(time() * 1000)
        self.sequence = 0
        self.keeps_address = True
        self.deadly = ""
        self.down_s = 2.0
        self.ends = []
        self.arrivals = []
        self.cut = 0
        self.up = Event()
        self.up.set()
        self.open = set()
        self.lock = Lock()
        self.store = None
        self.listener = _listen(0)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        Thread(target=self._accept, daemon=True).start()

    def keep_registered(self, store, stopped):
        """Write heartbeats to the store until the run ends."""
        self.store = store
        while True:
            if self.up.is_set():
                self.register()
            if stopped.wait(HEARTBEAT_S):
                return

    def register(self):
        """Write the engine's entry to the store."""
        with self.lock:
            self.sequence += 1
            entry = {
                "service": self.service,
                "address": self.address,
                "zone": "gp-north",
                "version": self.version,
                "slots": 64,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
        self.store.put("keyed.servers", self.name, dumps(entry).encode())

    def restart(self, version, down_s):
        """End with all answers, and start again as another version."""
        with self.lock:
            if not self.up.is_set():
                return
            self.up.clear()
            broken, self.open = self.open, set()
            self.ends.append(time())
            self.cut += len(broken)
        for sock in broken:
            # A reset, as from a process that ended.
            try:
                sock.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
            except OSError:
                # Its answer has just ended.
                continue
            sock.close()
        self.record.add(
            f"engine {self.name} ({self.version}) ends with {len(broken)}"
            " connections"
        )
        if not self.keeps_address:
            self.listener.shutdown(SHUT_RDWR)
            self.listener.close()
        sleep(down_s)
        if not self.keeps_address:
            self.listener = _listen(int(self.address.rpartition(":")[2]))
            Thread(target=self._accept, daemon=True).start()
        with self.lock:
            self.version = version
            self.born = int(time() * 1000)
            self.sequence = 0
        self.up.set()
        self.register()
        self.record.add(f"engine {self.name} has started again as {version}")

    def _accept(self):
        listener = self.listener
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        try:
            self.up.wait()
            with self.lock:
                self.open.add(sock)
            self._answer(sock)
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.open.discard(sock)
            sock.close()

    def _answer(self, sock):
        """Answer one request and close the connection."""
        head, headers, body = _read_request(sock)
        if head.startswith("GET /health"):
            _send_plain(sock, "200 OK", [("X-Instance-Id", self.name)])
            return
        expected = headers.get("x-expected-instance")
        if expected is not None and expected != self.name:
            self.record.add(f"engine {self.name} answers 421")
            _send_plain(
                sock, "421 Misdirected Request", [("X-Instance-Id", self.name)]
            )
            return
        request = headers["x-attempt-id"]
        start = int(headers.get("last-event-id") or -1) + 1
        version = self.version
        self.record.add(
            f"engine {self.name} ({version}) runs {request} from event {start}"
        )
        sock.sendall(
            (
                "HTTP/1.1 200 OK\r\n"
                f"X-Attempt-Id: {request}\r\n"
                f"X-Response-Signature: {self.name}.{request}\r\n"
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
            ).encode()
        )
        parts = headers.get("x-prompt-prefix", "").split(",")[:-1]
        if self.deadly in [part.partition(":")[0] for part in parts]:
            self.arrivals.append(time())
            sock.sendall(b"3\r\nid:\r\n")
            sleep(0.05)
            args = (self.version, self.down_s)
            Thread(target=self.restart, args=args, daemon=True).start()
            sleep(self.down_s)
            return
        for number in range(start, self.events):
            if _left(sock, self.gap_s):
                return
            event = b"id: %d\ndata: %s t%d\n\n" % (
                number,
                version.encode(),
                number,
            )
            sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        sock.sendall(b"0\r\n\r\n")


def _listen(port):
    """Return a socket that listens on a port, 0 for a free one."""
    listener = socket()
    listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    listener.listen(128)
    return listener


def _read_request(sock):
    """Return the first line, the headers and the body of a request."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(65536)
        if not part:
            raise ValueError("no request")
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    rows = [line.partition(":") for line in lines[1:]]
    headers = {name.lower(): value.strip() for name, _, value in rows}
    while len(body) < int(headers.get("content-length", "0")):
        part = sock.recv(65536)
        if not part:
            raise ValueError("incomplete body")
        body += part
    return lines[0], headers, body


def _send_plain(sock, status, headers):
    lines = [
        f"HTTP/1.1 {status}",
        *(f"{name}: {text}" for name, text in headers),
    ]
    lines += ["Content-Length: 0", "Connection: close", "", ""]
    sock.sendall("\r\n".join(lines).encode())


def _left(sock, seconds):
    """Wait; return whether the other side has closed the connection."""
    end = monotonic() + seconds
    poller = poll()
    poller.register(sock, POLLIN)
    while (left := end - monotonic()) > 0:
        if poller.poll(left * 1000):
            return not sock.recv(1, MSG_PEEK)
    return False
