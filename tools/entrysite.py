"""A deployment of entry processes on loopback for tests.

The store and the engines are replaced by stand-ins.
"""

from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection
from itertools import count
from json import dumps
from os import environ
from pathlib import Path
from socket import socket
from subprocess import DEVNULL
from subprocess import Popen
from sys import executable
from time import monotonic
from time import sleep

from magnoliaflow_standins.batchengine import BatchEngine
from magnoliaflow_standins.metadatastore import MetadataStore

ROOT = Path(__file__).parent.parent
HOST = "desk.example"
WAIT_S = 15.0
MAX_CLOSERS = 16
# Unix millisecond at which the first run of an engine has started.
FIRST_BORN = 7
REQUEST_NUMBERS = count(1)


def free_ports(number):
    """Return a number of distinct free ports."""
    socks = [socket() for _ in range(number)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def wait_until(condition, description):
    """Wait until a condition returns a true value and return it.

    Raise AssertionError after WAIT_S seconds.
    """
    end = monotonic() + WAIT_S
    while monotonic() < end:
        result = condition()
        if result:
            return result
        sleep(0.02)
    raise AssertionError(f"timed out after {WAIT_S} s: {description}")


def make_route(name, kind, **overrides):
    """Return a route of a configuration, with fields overridden."""
    fields = {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 1000,
        "priority": 1,
        "service": "app",
        "maxAttempts": 2,
        "anonymous": False,
        "streamResumption": False,
    }
    return {**fields, **overrides}


def make_config(version, **overrides):
    """Return an encoded configuration, with fields overridden."""
    config = {
        "version": version,
        "routes": [
            make_route("look", "idempotent"),
            make_route("book", "non_idempotent"),
            make_route("chat", "streaming", service="llm"),
            make_route(
                "draft", "streaming", service="llm", streamResumption=True
            ),
            make_route("open", "idempotent", anonymous=True),
        ],
        "services": [
            {"name": "app", "healthPath": "/h", "connectionLimit": 90},
            {"name": "llm", "healthPath": "/h", "engineId": {"slots": 4}},
        ],
        "limits": {"maxBodyBytes": 2000, "maxHeaderBytes": 4000},
        "tenants": [
            {"name": "north", "apiKeys": ["key-n"], "ratePerS": 0},
            {
                "name": "small",
                "apiKeys": ["key-s"],
                "ratePerS": 1,
                "burst": 2,
                "unit": "request_count",
            },
        ],
    }
    return dumps({**config, **overrides}).encode()


class Deployment:
    """A store, engines of two services, and entry processes."""

    def __init__(self, folder):
        self.folder = folder
        self.metrics_port = 0
        self.options = ()
        self.store = MetadataStore()
        self.engines = {}
        self.sequences = Counter()
        self.processes = []
        self.launched = []
        self.entry_ports = []
        for service, name in (
            ("app", "a1"),
            ("app", "a2"),
            ("llm", "m1"),
            ("llm", "m2"),
        ):
            self.add_engine(name, service)
        self.store.put("keyed.op", "config", make_config(1))

    def add_engine(self, name, service, **overrides):
        """Start an engine, or stop its former run, and register it."""
        if name in self.engines:
            self.engines[name].close()
        engine = BatchEngine(name)
        engine.on_restart = lambda: self.register(
            name, service, **overrides | {"born": FIRST_BORN + engine.ends}
        )
        self.engines[name] = engine
        self.register(name, service, **overrides)

    def register(self, name, service, **overrides):
        """Write an engine's record to the store, as its heartbeat does."""
        self.sequences[name] += 1
        entry = {
            "service": service,
            "address": self.engines[name].address,
            "zone": "z1",
            "slots": 4,
            "state": "ready",
            "sequence": self.sequences[name],
            "born": FIRST_BORN,
        }
        self.store.put(
            "keyed.servers", name, dumps({**entry, **overrides}).encode()
        )

    def start(
        self, name, seeds=(), *, cloud="", links=None, log=None, lines=()
    ):
        """Start an entry process, wait until it is ready, return its ports.

        ``lines`` are added to its settings.
        """
        extra_lines = lines
        store = (links or {}).get("store", self.store.address)
        ports = dict(
            zip(
                ("frontend", "ready", "controlPlane", "directoryService"),
                free_ports(4),
            )
        )
        lines = [f"nodeName={name}", "zone=z1", "region=r"]
        lines += [
            f"listenAddresses.{key}=127.0.0.1:{port}"
            for key, port in ports.items()
        ]
        lines += [
            f"platform.address={store}",
            f"cloudApi.address={cloud}",
            "cloudApi.duties=usage_reporting" if cloud else "",
            "bounds.usageWindowS=1",
            "bounds.usageDelayS=2",
            f"seedNodes={','.join(seeds)}",
            "bounds.quotaTolerance=0",
            "bounds.retryBudgetExtra=200",
            *extra_lines,
        ]
        path = self.folder / f"{name}.conf"
        path.write_text("\n".join(lines))
        self.processes.append(self.launch(path, log))
        self.entry_ports.append(ports)
        wait_until(lambda: self.ready(ports) == 200, f"{name} is ready")
        return ports

    def launch(self, path, log=None):
        """Start the entry program with a settings file."""
        process = Popen(
            [
                *(executable, str(ROOT / "deploy/entry.py")),
                *("--metrics-port", str(self.metrics_port)),
                *self.options,
            ],
            env={**environ, "MAGNOLIAFLOW_NODE_FILE": str(path)},
            stdout=log or DEVNULL,
        )
        self.launched.append(process)
        return process

    def ready(self, ports):
        """Return the HTTP status of a readiness check, 0 if it failed."""
        try:
            return send_request(
                ports["ready"], "GET", "/magnoliaflow/readiness"
            )[0]
        except OSError:
            return 0

    def close(self):
        """Kill all processes and stop all stand-ins."""
        for process in self.launched:
            process.kill()
            process.wait()
        # Each close waits for its server's next poll.
        with ThreadPoolExecutor(MAX_CLOSERS) as pool:
            list(pool.map(BatchEngine.close, self.engines.values()))
        self.store.close()

    def executed_ids(self):
        """Return the ids of all requests executed by engines."""
        return [
            request_id
            for engine in self.engines.values()
            for request_id in engine.executed_ids
        ]


def send_request(port, method, path, body=b"", key="key-n", **headers):
    """Send a request and return its status, headers and body."""
    conn = HTTPConnection("127.0.0.1", port, timeout=5)
    request_headers = {
        "Host": HOST,
        "X-Attempt-Id": f"r{next(REQUEST_NUMBERS)}",
        "X-Deadline-Ms": "4000",
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    if key:
        request_headers["X-Credential"] = key
    try:
        conn.request(method, path, body=body or None, headers=request_headers)
        reply = conn.getresponse()
        return reply.status, reply.headers, reply.read()
    finally:
        conn.close()
