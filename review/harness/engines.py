"""Sound engines, which run every request that names them."""

from json import dumps
from select import poll
from select import POLLERR
from select import POLLHUP
from select import POLLRDHUP
from threading import Event
from threading import Lock
from threading import Thread
from time import monotonic
from time import time

from magnoliaflow_standins.httpbase import QuietHandler
from magnoliaflow_standins.httpbase import QuietServer

HEARTBEAT_INTERVAL_S = 1.2
HEALTH_PATH = "/health"


class Run:
    """One request that an engine began to work on."""

    def __init__(self, request_id, engine_id):
        self.request_id = request_id
        self.engine_id = engine_id
        self.began_at = monotonic()
        self.ended_at = None
        self.outcome = "at work"

    def end(self, outcome):
        self.outcome = outcome
        self.ended_at = monotonic()


class Engine:
    """A sound engine that registers itself and writes heartbeats.

    A path that ends in ``/s`` is answered by a stream of ``event_count``
    events, one every ``gap_s``; any other after ``work_s``.  The ids of the
    events increase by ``id_step``.  An engine that ``reads_late`` answers
    before it has read the rest of a long body, keeps the channel and reads on
    after its answer.  A request is dropped when its channel closes.
    """

    def __init__(self, store, engine_id, service):
        self.store = store
        self.engine_id = engine_id
        self.service = service
        self.work_s = 0.05
        self.event_count = 20
        self.gap_s = 0.1
        self.id_step = 1
        self.reads_late = False
        self.born = int(time() * 1000)
        self.sequence = 0
        self.runs = []
        self.lock = Lock()
        self.stopped = Event()
        self.server = QuietServer(_Handler, self)
        self.address = self.server.address
        self.register()
        Thread(target=self._send_heartbeats, daemon=True).start()

    def register(self):
        """Write this engine's record to the store."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.store.put("keyed.servers", self.engine_id, dumps(entry).encode())

    def _send_heartbeats(self):
        while not self.stopped.wait(HEARTBEAT_INTERVAL_S):
            self.register()

    def begin(self, request_id):
        """Record that a request began to run."""
        run = Run(request_id, self.engine_id)
        with self.lock:
            self.runs.append(run)
        return run

    def close(self):
        """Stop serving."""
        self.stopped.set()
        self.server.close()


class _Handler(QuietHandler):
    def do_GET(self):
        if self.path == HEALTH_PATH:
            self._answer(200, [("X-Instance-Id", self.engine.engine_id)])
            return
        self._serve()

    def do_POST(self):
        size = int(self.headers["Content-Length"])
        if self.engine.reads_late:
            self._serve()
            if not self.close_connection:
                self.rfile.read(size)
            return
        self.rfile.read(size)
        self._serve()

    @property
    def engine(self):
        return self.server.standin

    def _serve(self):
        engine = self.engine
        if self.headers.get("X-Expected-Instance") != engine.engine_id:
            self._answer(421, [("X-Instance-Id", engine.engine_id)])
            return
        run = engine.begin(self.headers["X-Attempt-Id"])
        signed = [
            ("X-Attempt-Id", run.request_id),
            ("X-Response-Signature", f"{engine.engine_id}.{run.request_id}"),
        ]
        try:
            if self.path.endswith("/s"):
                self._stream(signed)
            else:
                self._work(engine.work_s)
                self._answer(200, signed, b"answer to " + b"x" * 200)
            run.end("complete")
        except OSError:
            run.end("its caller closed the channel")
            self.close_connection = True

    def _stream(self, headers):
        self.send_response(200)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(self.engine.event_count):
            self._work(self.engine.gap_s)
            event_id = number * self.engine.id_step
            data = b"id: %d\ndata: token %d\n\n" % (event_id, event_id)
            self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.wfile.write(b"0\r\n\r\n")

    def _work(self, work_s):
        """Work for a while; raise OSError if the channel closes meanwhile."""
        watcher = poll()
        watcher.register(self.connection, POLLRDHUP | POLLHUP | POLLERR)
        if watcher.poll(work_s * 1000):
            raise ConnectionResetError("the channel was closed")

    def _answer(self, status, headers, body=b""):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
