"""Stand-ins of the platform for the scripts of this review.

A metadata store (a log with keyed topics), the platform's API, plain engines
and the entry processes of the deploy file, all on loopback.  They need the
standard library only and follow the users' pages.
"""

from base64 import b64encode
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from json import dumps
from json import loads
import os
from pathlib import Path
from random import randrange
from resource import RLIMIT_NOFILE
from resource import setrlimit
from select import poll
from select import POLLIN
import signal
from socket import MSG_PEEK
from socket import SHUT_RDWR
from socket import socket
from struct import pack
from struct import unpack_from
from subprocess import DEVNULL
from subprocess import Popen
import sys
from tempfile import TemporaryDirectory
from threading import Condition
from threading import Event
from threading import Lock
from threading import Thread
from time import monotonic
from time import sleep
from time import time
from urllib.error import HTTPError
from urllib.parse import parse_qs
from urllib.parse import urlsplit
from urllib.request import urlopen

ROOT = Path(__file__).resolve().parent.parent.parent
HEARTBEAT_S = 1.2
APPEND_S = 0.004
START_WAIT_S = 20.0
FIRST_PORT = 12000
LAST_PORT = 32000
# Bounds of the sheet of the repair office.
BOUNDS = (
    "bounds.seedLagS=3",
    "bounds.addressReuseS=2",
    "bounds.contactTimeoutMs=3000",
    "bounds.ackTimeoutMs=4000",
    "bounds.catchUpS=4",
    "bounds.drainTimeoutMs=2000",
    "bounds.gracePeriodS=8",
    "bounds.lossSlackMs=200",
    "bounds.configPropagationMs=2000",
    "bounds.rollbackSlackMs=250",
    "bounds.partitionExtensionMs=5000",
    "bounds.revocationStrict=true",
    "bounds.revocationMs=5000",
    "bounds.retryBudgetRatio=0.2",
    "bounds.budgetWindowS=10",
    "bounds.retryBudgetExtra=52",
    "bounds.quotaWindowS=8",
    "bounds.quotaOverage=0.1",
    "bounds.quotaTolerance=110000",
    "bounds.fencingEnforced=false",
    "bounds.leaseDurationMs=3000",
    "bounds.thawSlackMs=300",
    "bounds.usageWindowS=5",
    "bounds.usageTolerance=0.05",
    "bounds.usageDelayS=10",
    "bounds.recoveryS=12",
    "bounds.deliverySlackMs=120",
    "bounds.cacheReuseS=10",
    "bounds.ttl_max_s=5",
)


class Record:
    """The record of a run: one line an event, with the time of day."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.lock = Lock()
        self.begun = time()

    def add(self, text):
        """Write one line."""
        with self.lock:
            self.file.write(f"{time() - self.begun:8.3f}  {text}\n")


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, handler, owner):
        super().__init__(("127.0.0.1", 0), handler)
        self.owner = owner
        self.address = f"127.0.0.1:{self.server_address[1]}"
        Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):
        """Ignore connections that their clients have left."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    @property
    def owner(self):
        return self.server.owner

    def log_message(self, format, *args):
        """Discard the message."""

    def body(self):
        """Return the body of the request."""
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    headers_of_all = ()

    def reply(self, status, body=b"", headers=()):
        """Send a complete answer."""
        self.send_response(status)
        for name, value in (*self.headers_of_all, *headers):
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Store:
    """The platform's store; records expire after ``keep_s`` seconds.

    The newest record of each key of a keyed topic stays listed.  ``bases``
    holds the offsets of the first records of topics, 0 if they have none: what
    was written before has expired.
    """

    def __init__(self, keep_s):
        self.keep_s = keep_s
        self.bases = {}
        self.changed = Condition()
        self.topics = {}
        self.first = {}
        self.written_at = {}
        self.newest = {}
        self.server = _Server(_StoreHandler, self)
        self.address = self.server.address

    def expire(self, topic):
        """Drop the records that are too old; call it with the lock held."""
        first = self.first.get(topic, 0)
        times = self.written_at.get(topic, [])
        while first < len(times) and times[first] < monotonic() - self.keep_s:
            first += 1
        self.first[topic] = first

    def end(self, topic):
        """Return the offset at which a topic ends."""
        return self.bases.get(topic, 0) + len(self.topics.get(topic, []))

    def append(self, topic, records, at=None):
        """Append records; return their offset, None at another end."""
        sleep(APPEND_S)
        with self.changed:
            stored = self.topics.setdefault(topic, [])
            offset = self.end(topic)
            if at is not None and at != offset:
                return None
            times = self.written_at.setdefault(topic, [])
            for number, record in enumerate(records):
                stored.append(record)
                times.append(monotonic())
                if topic.startswith("keyed."):
                    key = record[1 : 1 + record[0]].decode()
                    value = record[1 + record[0] :]
                    keys = self.newest.setdefault(topic, {})
                    keys.pop(key, None)
                    if value:
                        keys[key] = (offset + number, value)
            self.changed.notify_all()
            return offset

    def put(self, topic, key, value):
        """Write the record of a key, as the operator or an engine does."""
        name = key.encode()
        self.append(topic, [bytes((len(name),)) + name + value])


class _StoreHandler(_Handler):
    # The page on stores that come back from a copy has it in all answers.
    headers_of_all = (("Store-Era", "1"),)

    def do_POST(self):
        """Append records."""
        url = urlsplit(self.path)
        query = {
            name: values[0] for name, values in parse_qs(url.query).items()
        }
        data, records, position = self.body(), [], 0
        while position < len(data):
            (length,) = unpack_from(">I", data, position)
            records.append(data[position + 4 : position + 4 + length])
            position += 4 + length
        at = int(query["at"]) if "at" in query else None
        offset = self.owner.append(query["topic"], records, at)
        end = self.owner.end(query["topic"])
        if offset is None:
            self.reply(412, dumps({"endOffset": end}).encode())
            return
        values = {"offset": offset, "endOffset": offset + len(records)}
        self.reply(200, dumps(values).encode())

    def do_GET(self):
        """Read a topic, or list the newest records of its keys."""
        url = urlsplit(self.path)
        query = {
            name: values[0] for name, values in parse_qs(url.query).items()
        }
        store, topic = self.owner, query["topic"]
        if url.path.endswith("log-newest"):
            with store.changed:
                items = [
                    {
                        "key": key,
                        "value": b64encode(value).decode(),
                        "offset": offset,
                    }
                    for key, (offset, value) in store.newest.get(
                        topic, {}
                    ).items()
                ]
                end = store.end(topic)
            values = {"items": items, "hasMore": False, "endOffset": end}
            self.reply(200, dumps(values).encode())
            return
        start = int(query["source"])
        wait_s = int(query.get("waitTimeoutMs", "0")) / 1000
        with store.changed:
            store.changed.wait_for(lambda: store.end(topic) > start, wait_s)
            store.expire(topic)
            base, end = store.bases.get(topic, 0), store.end(topic)
            first = base + store.first.get(topic, 0)
            records = store.topics.get(topic, [])[max(0, start - base) :]
        if start < first:
            self.reply(410, dumps({"firstOffset": first}).encode())
            return
        body = pack(">QQ", end, first)
        body += b"".join(
            pack(">I", len(record)) + record for record in records
        )
        self.reply(200, body)


class CloudApi:
    """The platform's API; ``reports`` holds every usage report it accepted."""

    def __init__(self, record):
        self.record = record
        self.reports = []
        self.server = _Server(_CloudHandler, self)
        self.address = self.server.address


class _CloudHandler(_Handler):
    def do_POST(self):
        """Accept a call; fences are not checked."""
        values = loads(self.body())
        holder = self.headers["X-Duty-Holder"]
        fence = int(self.headers["X-Fencing-Token"])
        if self.path == "/usage":
            window, counts = values["windowNumber"], values["counts"]
            self.owner.reports.append((window, counts, holder, fence))
            self.owner.record.add(
                f"platform accepts usage of window {window} from {holder}"
                f" (fence {fence}): {dumps(counts, sort_keys=True)}"
            )
        self.reply(200, b"{}", [("Content-Type", "application/json")])


class Engine:
    """An engine that answers after ``work_s``; ``mute`` ones never do.

    ``runs`` holds the time, tenant, tokens and id of each request that it
    began to work on.
    """

    def __init__(self, name, service, record, *, work_s=0.02, slots=64):
        self.name = name
        self.service = service
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.mute = 0.0
        self.state = "ready"
        self.ended = False
        self.born = int(time() * 1000)
        self.sequence = 0
        self.connections = set()
        self.runs = []
        self.lock = Lock()
        self.count = 0
        self.server = _Server(_EngineHandler, self)
        self.address = self.server.address

    def keep_registered(self, store, stopped):
        """Write heartbeats to the store until the run ends."""
        while not self.ended:
            self.register(store)
            if stopped.wait(HEARTBEAT_S):
                return

    def register(self, store):
        """Write the engine's entry to the store."""
        with self.lock:
            self.sequence += 1
            entry = {
                "service": self.service,
                "address": self.address,
                "zone": "gp-north",
                "version": "1",
                "slots": self.slots,
                "state": self.state,
                "coldRemainingMs": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
        store.put("keyed.servers", self.name, dumps(entry).encode())

    def leave(self, store):
        """Report that the engine is draining; it goes on to serve."""
        self.state = "draining"
        self.register(store)

    def end(self, store):
        """Remove the entry and end with all connections."""
        self.ended = True
        store.put("keyed.servers", self.name, b"")
        self.server.shutdown()
        self.server.server_close()
        for sock in list(self.connections):
            try:
                sock.shutdown(SHUT_RDWR)
            except OSError:
                continue

    def is_mute(self):
        """Return whether the next request gets no answer."""
        with self.lock:
            self.count += 1
            return self.count * self.mute % 1.0 + self.mute >= 1.0


class _EngineHandler(_Handler):
    def do_GET(self):
        """Answer a request without a body, or a health probe."""
        self._serve()

    def do_POST(self):
        """Answer a request with a body."""
        self._serve()

    def _left(self, seconds):
        """Wait; return whether the sender has closed the connection."""
        end = monotonic() + seconds
        while (left := end - monotonic()) > 0:
            poller = poll()
            poller.register(self.connection, POLLIN)
            if poller.poll(left * 1000):
                try:
                    return not self.connection.recv(1, MSG_PEEK)
                except OSError:
                    return True
        return False

    def setup(self):
        """Keep the connection in mind until it ends."""
        super().setup()
        self.owner.connections.add(self.connection)

    def finish(self):
        """Forget the connection."""
        self.owner.connections.discard(self.connection)
        super().finish()

    def _serve(self):
        engine = self.owner
        body = self.body()
        expected = self.headers["X-Expected-Instance"]
        if expected is not None and expected != engine.name:
            self.reply(421, b"", [("X-Instance-Id", engine.name)])
            return
        if self.path == "/health":
            self.reply(200, b"", [("X-Instance-Id", engine.name)])
            return
        request, tenant = (
            self.headers["X-Attempt-Id"],
            self.headers["X-Tenant"],
        )
        usage = (self.headers["X-Token-Usage"] or "0,200").split(",")
        tokens = sum(int(part) for part in usage)
        engine.runs.append((time(), tenant, tokens, request))
        engine.record.add(f"engine {engine.name} runs {request} of {tenant}")
        if engine.is_mute():
            limit_s = int(self.headers["X-Deadline-Ms"]) / 1000
            self._left(limit_s)
            self.close_connection = True
            return
        if self._left(engine.work_s):
            self.close_connection = True
            return
        answer = [
            ("X-Attempt-Id", request),
            ("X-Response-Signature", f"{engine.name}.{request}"),
        ]
        self.reply(200, b"answer to " + body, answer)


def run_case(play, path):
    """Play a case; return its exit code, 2 if it could not run.

    ``play`` gets a temporary folder and the record, which is written to a
    file in the folder of the case.
    """
    signal.signal(signal.SIGTERM, lambda signum, frame: sys.exit(2))
    record = Record(path)
    try:
        with TemporaryDirectory() as temporary:
            return play(Path(temporary), record)
    except Exception as exc:
        record.add(f"the case could not run: {exc!r}")
        return 2


def free_ports(number):
    """Return a number of distinct free ports of the loopback interface.

    They are below those that kernels give to outgoing connections.
    """
    socks = []
    while len(socks) < number:
        sock = socket()
        try:
            sock.bind(("127.0.0.1", randrange(FIRST_PORT, LAST_PORT)))
        except OSError:
            sock.close()
            continue
        socks.append(sock)
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Host:
    """An entry host: its settings and the process of the deploy file."""

    def __init__(self, name, folder, *, store, cloud, keep_s, duties):
        self.name = name
        self.memory_mb = 430
        self.descriptors = 6150
        self.limits_descriptors = False
        self.path = folder / f"{name}.conf"
        self.log_path = folder / f"{name}.log"
        ports = free_ports(5)
        self.frontend, self.ready, self.control, self.directory = ports[:4]
        self.metrics = ports[4]
        self.store, self.cloud = store, cloud
        self.keep_s, self.duties = keep_s, duties
        self.process = None

    def write_settings(self, seeds, *, is_first):
        """Write the settings file; ``is_first``: the system starts anew."""
        lines = [
            f"nodeName={self.name}",
            "role=entry",
            "machineClass=edge",
            "servedRoles=edge,control,directory",
            "ipAddress=127.0.0.1",
            "zone=gp-north",
            "region=gauteng",
            "zones.gp-north=gauteng",
            "zones.gp-central=gauteng",
            "zones.gp-east=gauteng",
            f"listenAddresses.frontend=127.0.0.1:{self.frontend}",
            f"listenAddresses.ready=127.0.0.1:{self.ready}",
            f"listenAddresses.controlPlane=127.0.0.1:{self.control}",
            f"listenAddresses.directoryService=127.0.0.1:{self.directory}",
            f"seedNodes={','.join(seeds)}",
            f"isBootstrap={'true' if is_first else 'false'}",
            f"limits.memoryMb={self.memory_mb}",
            f"limits.fileDescriptors={self.descriptors}",
            "heartbeatIntervalMs=1200",
            "contracts=base,drain,config,cost,retry,recover,engine,stream,"
            "tenants,quota,leader,platform",
            *BOUNDS,
            f"platform.address={self.store.address}",
            "platform.form=log",
            f"platform.keep_s={self.keep_s}",
            f"cloudApi.address={self.cloud.address}",
            f"cloudApi.duties={self.duties}",
            "cloudApi.dutyPerS=50.0",
        ]
        self.path.write_text("\n".join(lines) + "\n")

    def start(self):
        """Start the process with the command of the deploy file."""
        with open(self.log_path, "ab") as log:
            self.process = Popen(
                [
                    *("python3", "deploy/entry.py"),
                    *("--metrics-port", str(self.metrics)),
                ],
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": "target/deps",
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "MAGNOLIAFLOW_NODE_FILE": str(self.path),
                },
                stdout=log,
                stderr=DEVNULL,
                preexec_fn=self._limit if self.limits_descriptors else None,
            )

    def _limit(self):
        """Give the new process its number of descriptors, as platforms do."""
        setrlimit(RLIMIT_NOFILE, (self.descriptors, self.descriptors))

    def kill(self):
        """Kill the process."""
        self.process.kill()
        self.process.wait()

    def is_ready(self):
        """Return whether the platform's readiness check succeeds."""
        url = f"http://127.0.0.1:{self.ready}/magnoliaflow/readiness"
        try:
            with urlopen(url, timeout=1) as reply:
                return reply.status == 200
        except (HTTPError, OSError):
            return False


class Site:
    """A store, the platform's API, engines and entry hosts."""

    def __init__(self, folder, record, *, hosts, keep_s, duties):
        self.record = record
        self.stopped = Event()
        self.store = Store(keep_s)
        self.cloud = CloudApi(record)
        self.engines = []
        self.hosts = [
            Host(
                name,
                folder,
                store=self.store,
                cloud=self.cloud,
                keep_s=keep_s,
                duties=duties,
            )
            for name in hosts
        ]

    def seeds(self):
        """Return the addresses that each host knows at its start."""
        return [f"127.0.0.1:{host.control}" for host in self.hosts[:3]]

    def add_engine(self, engine):
        """Register an engine and keep it registered."""
        self.engines.append(engine)
        args = (self.store, self.stopped)
        Thread(target=engine.keep_registered, args=args, daemon=True).start()

    def configure(self, config):
        """Write a configuration, as the operator does."""
        self.store.put("keyed.op", "config", dumps(config).encode())
        self.record.add(f"operator's version {config['version']} confirmed")

    def start(self):
        """Start all hosts; return whether they became ready."""
        for host in self.hosts:
            host.write_settings(self.seeds(), is_first=True)
            host.start()
        end = monotonic() + START_WAIT_S
        while monotonic() < end:
            if all(host.is_ready() for host in self.hosts):
                return True
            sleep(0.1)
        return False

    def close(self):
        """End every process that was started."""
        self.stopped.set()
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.send_signal(signal.SIGKILL)
                host.process.wait()
