"""Starts entry processes with the command of the deploy file on loopback."""

from contextlib import contextmanager
from http.client import HTTPConnection
from http.client import HTTPException
from itertools import count
from json import dumps
from os import environ
from pathlib import Path
from signal import alarm
from signal import SIG_IGN
from signal import SIGALRM
from signal import SIGHUP
from signal import SIGINT
from signal import SIGKILL
from signal import signal
from signal import SIGTERM
from socket import socket
from subprocess import Popen
from tempfile import TemporaryDirectory
from threading import Lock
from time import monotonic
from time import sleep
from traceback import format_exc

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "desk.example"
KEY = "key-north-1"
TENANT = "north"
NUMBERS = count(1)
# A script that has not ended by itself is given up after this time.
LIMIT_S = 110
SIGNALS = (SIGALRM, SIGHUP, SIGINT, SIGTERM)
MODEL_ENGINE = {
    "slots": 64,
    "kvCapacityTokens": 368854,
    "models": [{"name": "m"}],
}
SETTINGS = """\
nodeName={name}
role=entry
machineClass=edge
servedRoles=edge,directory,control
ipAddress=127.0.0.1
zone=z1
region=r1
zones.z1=r1
listenAddresses.frontend=127.0.0.1:{frontend}
listenAddresses.ready=127.0.0.1:{ready}
listenAddresses.controlPlane=127.0.0.1:{control}
listenAddresses.directoryService=127.0.0.1:{directory}
seedNodes={seeds}
isBootstrap={bootstrap}
limits.cpuShare=0.817
limits.cpuCores=2
limits.memoryMb={memory_mb}
limits.fileDescriptors=6150
heartbeatIntervalMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,\
leader,platform
bounds.contactTimeoutMs=3000
bounds.drainTimeoutMs=2000
bounds.gracePeriodS=8
bounds.configPropagationMs=2000
bounds.revocationStrict=true
bounds.revocationMs=5000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.retryBudgetExtra=52
bounds.quotaWindowS=8
bounds.quotaOverage=0.1
bounds.quotaTolerance=110000
bounds.fencingEnforced=false
bounds.leaseDurationMs=3000
bounds.thawSlackMs=300
bounds.usageWindowS=5
bounds.usageTolerance=0.05
bounds.usageDelayS=10
bounds.ttl_max_s=5
platform.address={store}
platform.form=log
platform.writesPerS=400
platform.readsPerS=2000
platform.maxRecordBytes=262144
platform.maxCallBytes=2097152
platform.keep_s={keep_s}
platform.partitionMb=200
cloudApi.address={cloud}
cloudApi.ratePerS=50.0
cloudApi.duties=usage_reporting
cloudApi.dutyPerS=50.0
"""


def free_ports(number):
    """Return free ports of 127.0.0.1."""
    socks = [socket() for _ in range(number)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def route(name, kind, service, **overrides):
    """Return a route of the configuration."""
    fields = {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "anonymous": False,
        "sessionAffinity": False,
        "streamResumption": False,
    }
    return {**fields, **overrides}


def config(version, routes, services, *, models=(), tenants=None):
    """Return an encoded configuration; ``models`` are model engines."""
    if tenants is None:
        tenants = [{"name": TENANT, "apiKeys": [KEY]}]
    return dumps(
        {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "healthPath": "/health",
                    "connectionLimit": 360 if name in models else 96,
                    **({"engineId": MODEL_ENGINE} if name in models else {}),
                }
                for name in services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": tenants,
        }
    ).encode()


class Record:
    """What was sent, answered and run, one line each in ``record.txt``."""

    def __init__(self, path):
        self.began = monotonic()
        self.lock = Lock()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, kind, **fields):
        text = dumps(fields, sort_keys=True) if fields else ""
        with self.lock:
            at = monotonic() - self.began
            self.file.write(f"{at:9.3f} {kind} {text}\n")
            self.file.flush()


class Entry:
    """One entry process, which can be started again."""

    def __init__(
        self, folder, name, *, store, cloud, keep_s=300, memory_mb=430
    ):
        self.name = name
        self.ports = dict(
            zip(
                ("frontend", "ready", "control", "directory", "metrics"),
                free_ports(5),
            )
        )
        self.fields = {
            "name": name,
            "store": store,
            "cloud": cloud,
            "keep_s": keep_s,
            "memory_mb": memory_mb,
        }
        self.memory_mb = memory_mb
        self.path = folder / f"{name}.conf"
        self.log = open(folder / f"{name}.log", "ab")
        self.process = None

    def start(self, seeds, *, bootstrap):
        """Start the process of the deploy file."""
        self.path.write_text(
            SETTINGS.format(
                **self.fields,
                **self.ports,
                seeds=",".join(seeds),
                bootstrap=str(bootstrap).lower(),
            )
        )
        self.process = Popen(
            [
                "python3",
                "deploy/entry.py",
                "--metrics-port",
                str(self.ports["metrics"]),
            ],
            cwd=ROOT,
            env={
                **{
                    key: environ[key]
                    for key in ("PATH", "HOME", "LANG")
                    if key in environ
                },
                "PYTHONPATH": "target/deps",
                "PYTHONDONTWRITEBYTECODE": "1",
                "MAGNOLIAFLOW_NODE_FILE": str(self.path),
            },
            stdout=self.log,
            stderr=self.log,
        )

    @property
    def seed(self):
        return f"127.0.0.1:{self.ports['control']}"

    def is_ready(self):
        """Return whether the readiness check is answered with 200."""
        conn = HTTPConnection("127.0.0.1", self.ports["ready"], timeout=1)
        try:
            conn.request("GET", "/magnoliaflow/readiness")
            return conn.getresponse().status == 200
        except OSError:
            return False
        finally:
            conn.close()

    def resident_mb(self):
        """Return the resident memory of the process, 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        sizes = [
            int(line.split()[1]) / 1024
            for line in text.splitlines()
            if line.startswith("VmRSS:")
        ]
        return sizes[0] if sizes else 0.0

    def kill(self):
        self.process.send_signal(SIGKILL)
        self.process.wait()


class Deployment:
    """Entry processes and their folder."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.entries = []

    def add(self, name, **fields):
        entry = Entry(self.folder, name, **fields)
        self.entries.append(entry)
        return entry

    def start(self):
        """Start all processes and wait until they are ready."""
        seeds = [entry.seed for entry in self.entries[:3]]
        for entry in self.entries:
            entry.start(seeds, bootstrap=True)
        wait_for(
            lambda: all(entry.is_ready() for entry in self.entries),
            20.0,
            "entry processes are not ready",
        )
        return seeds

    def stop(self):
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.kill()
            entry.log.close()


@contextmanager
def deployment():
    """Yield a deployment that ends all processes that it started."""
    with TemporaryDirectory(prefix="magnoliaflow-review-") as folder:
        found = Deployment(folder)
        try:
            yield found
        finally:
            found.stop()


class CannotRunError(Exception):
    """The case could not run."""


def _give_up(signum, frame):
    """End the case once; what it has started is ended on the way out."""
    for other in SIGNALS:
        signal(other, SIG_IGN)
    raise CannotRunError(f"ended by signal {signum}")


def pause(seconds):
    """Sleep in short steps, between which a signal is handled."""
    end = monotonic() + seconds
    while (left := end - monotonic()) > 0:
        sleep(min(0.2, left))


def run_case(run, folder):
    """Run a case; return its exit status: 0 held, 1 broken, 2 not run.

    ``run`` is called with the record and whether to play the disruption, and
    returns whether the rule held.
    """
    for signum in SIGNALS:
        signal(signum, _give_up)
    alarm(LIMIT_S)
    record = Record(folder / "record.txt")
    began = monotonic()
    try:
        held = run(record, environ.get("TROUBLE", "1") != "0")
    except Exception as exc:
        record("cannot run", reason=repr(exc), trace=format_exc())
        print(f"cannot run: {exc!r}")
        return 2
    print(f"rule {'held' if held else 'broken'}, {monotonic() - began:.0f} s")
    return 0 if held else 1


def wait_for(condition, limit_s, reason):
    """Wait for a true value; raise CannotRunError after a time."""
    end = monotonic() + limit_s
    while not condition():
        if monotonic() > end:
            raise CannotRunError(reason)
        sleep(0.05)


def send(
    record,
    entry,
    method,
    path,
    *,
    body=b"",
    deadline_ms=3000,
    key=KEY,
    headers=None,
):
    """Send one request on a new connection; return (id, status, body).

    The status is 0 if the connection ended without a whole answer.
    """
    request = f"r{next(NUMBERS):06d}"
    conn = HTTPConnection(
        "127.0.0.1", entry.ports["frontend"], timeout=deadline_ms / 1000 + 1
    )
    record("sent", request=request, to=entry.name, path=path)
    try:
        conn.request(
            method,
            path,
            body=body or None,
            headers={
                "Host": HOST,
                "X-Attempt-Id": request,
                "X-Deadline-Ms": str(deadline_ms),
                "X-Credential": key,
                **(headers or {}),
            },
        )
        reply = conn.getresponse()
        status, data = reply.status, reply.read()
    except (HTTPException, OSError) as exc:
        status, data = 0, repr(exc).encode()
    finally:
        conn.close()
    record("answered", request=request, status=status)
    return request, status, data
