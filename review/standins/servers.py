"""Engines and the platform's API."""

from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from json import dumps
from json import loads
from socket import SHUT_RDWR
from socket import SO_LINGER
from socket import SOL_SOCKET
from struct import pack
from threading import Event
from threading import Thread
from threading import Timer
from time import monotonic
from time import sleep
from time import time

HEARTBEAT_S = 1.2


class _Quiet(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, format, *args):
        """Discard the message."""

    def answer(self, status, headers=(), body=b""):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _Server(ThreadingHTTPServer):
    daemon_threads = True

    def __init__(self, handler, owner):
        super().__init__(("127.0.0.1", 0), handler)
        self.owner = owner
        self.open = set()
        self.address = f"127.0.0.1:{self.server_address[1]}"
        Thread(target=self.serve_forever, args=(0.02,), daemon=True).start()

    def handle_error(self, request, client_address):
        """Ignore errors of connections that the other side closed."""

    def process_request(self, request, client_address):
        self.open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.open.discard(request)
        super().shutdown_request(request)

    def end(self, *, reset=False):
        """Stop listening and close every open connection."""
        self.shutdown()
        self.server_close()
        for sock in list(self.open):
            try:
                if reset:
                    sock.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
                sock.shutdown(SHUT_RDWR)
            except OSError:
                continue


class Engine:
    """An engine of one service; ``work`` answers a request.

    ``work`` gets the handler and the body, after the engine has begun to
    run the request.  ``runs`` holds (time, attempt id, tenant, path).
    """

    def __init__(self, store, name, service, record, *, slots=16, work=None):
        self.store = store
        self.name = name
        self.service = service
        self.record = record
        self.slots = slots
        self.work = work or answer_plainly
        self.runs = []
        self.running = 0
        self.ended = False
        self.cut = []
        self.sequence = 0
        self.state = "ready"
        self.born = int(time() * 1000)
        self.server = _Server(_EngineHandler, self)
        self.address = self.server.address
        self.silent = Event()
        self.write()
        Thread(target=self._beat, daemon=True).start()

    def write(self):
        """Write the entry of this engine to the store."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.store.put("keyed.servers", self.name, dumps(entry).encode())

    def _beat(self):
        silent = self.silent
        while not silent.wait(HEARTBEAT_S):
            self.write()

    def remove(self):
        """Remove the entry; return the time of the store's confirmation."""
        self.silent.set()
        self.store.put("keyed.servers", self.name)
        return monotonic()

    def crash(self, back_s):
        """Exit with all that runs; start again under the same id."""
        if self.ended:
            return
        self.ended = True
        self.silent.set()
        self.server.end(reset=True)
        timer = Timer(back_s, self._restart)
        timer.daemon = True
        timer.start()

    def _restart(self):
        self.server = _Server(_EngineHandler, self)
        self.address = self.server.address
        self.born = int(time() * 1000)
        self.sequence = 0
        self.running = 0
        self.ended = False
        self.silent = Event()
        self.write()
        Thread(target=self._beat, daemon=True).start()

    def end(self):
        """Exit: what runs is cut."""
        self.ended = True
        self.silent.set()
        self.server.end()


def answer_plainly(handler, body):
    """Answer a request with its body."""
    handler.answer(200, handler.signature(), b"ran " + body)


class _EngineHandler(_Quiet):
    def do_GET(self):
        self._serve(b"")

    def do_POST(self):
        self._serve(self.rfile.read(int(self.headers["Content-Length"])))

    def signature(self):
        return [
            ("X-Attempt-Id", self.headers["X-Attempt-Id"]),
            ("X-Response-Signature", f"sig-{self.server.owner.name}"),
        ]

    def _serve(self, body):
        engine = self.server.owner
        if self.headers["X-Expected-Instance"] not in (None, engine.name):
            self.answer(421, [("X-Instance-Id", engine.name)])
            return
        if engine.running >= engine.slots:
            self.answer(503, [("X-Not-Executed", "1")])
            return
        engine.running += 1
        request = self.headers["X-Attempt-Id"]
        engine.runs.append(
            (
                monotonic(),
                request,
                self.headers.get("X-Tenant", ""),
                self.path,
            )
        )
        engine.record("run", engine=engine.name, request=request)
        try:
            engine.work(self, body)
        except OSError:
            self.close_connection = True
        finally:
            engine.running -= 1
        if engine.ended:
            engine.cut.append(request)


class Cloud:
    """The platform's API; ``calls`` holds (time, path, holder, fence, body).

    It accepts the first report of a window and ignores exact repeats.
    """

    def __init__(self, record):
        self.record = record
        self.calls = []
        self.server = _Server(_CloudHandler, self)
        self.address = self.server.address


class _CloudHandler(_Quiet):
    def do_POST(self):
        body = loads(self.rfile.read(int(self.headers["Content-Length"])))
        cloud = self.server.owner
        holder = self.headers["X-Duty-Holder"]
        fence = int(self.headers["X-Fencing-Token"])
        cloud.calls.append((monotonic(), self.path, holder, fence, body))
        cloud.record(
            "call", path=self.path, holder=holder, fence=fence, body=body
        )
        sleep(0.004)
        self.answer(200)
