"""Entry processes on loopback, started as the deploy file says."""

from json import dumps
from os import environ
from pathlib import Path
from signal import SIGKILL
from socket import AF_INET
from socket import SOCK_STREAM
from socket import socket
from subprocess import Popen
from tempfile import TemporaryDirectory
from threading import Event
from threading import Thread
from time import monotonic
from time import sleep
import tomllib

from harness.clients import HOST
from harness.clients import KEY

from magnoliaflow_standins.cloudapi import CloudApi
from magnoliaflow_standins.metadatastore import MetadataStore

ROOT = Path(__file__).resolve().parent.parent.parent
START_S = 20.0
# The platform starts a process that has ended again after a short delay.
RESTART_DELAY_S = 0.5
# The bounds of the sheet of the first installation.
BOUNDS = """
bounds.contactTimeoutMs=3000
bounds.ackTimeoutMs=4000
bounds.drainTimeoutMs=2000
bounds.gracePeriodS=8
bounds.lossSlackMs=200
bounds.configPropagationMs=2000
bounds.rollbackSlackMs=250
bounds.partitionExtensionMs=5000
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
bounds.recoveryS=12
bounds.ttl_max_s=5
heartbeatIntervalMs=1200
cloudApi.duties=usage_reporting
isBootstrap=true
"""


def free_ports(number):
    """Return distinct free ports."""
    socks = [socket(AF_INET, SOCK_STREAM) for _ in range(number)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def make_route(name, kind, service, **overrides):
    """Return a route of a configuration."""
    fields = {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 1000,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "anonymous": False,
        "streamResumption": False,
    }
    return {**fields, **overrides}


def make_config(version):
    """Return a configuration with a plain and a model service."""
    config = {
        "version": version,
        "routes": [
            make_route("book", "non_idempotent", "desk-app"),
            make_route("look", "idempotent", "desk-app", maxAttempts=2),
            make_route("chat", "streaming", "desk-model", timeoutMs=15000),
            make_route(
                "draft",
                "streaming",
                "desk-model",
                timeoutMs=15000,
                maxAttempts=2,
                streamResumption=True,
            ),
        ],
        "services": [
            {
                "name": "desk-app",
                "healthPath": "/health",
                "connectionLimit": 200,
            },
            {
                "name": "desk-model",
                "healthPath": "/health",
                "connectionLimit": 200,
                "engineId": {"slots": 64, "kvCapacityTokens": 360000},
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "north", "apiKeys": [KEY], "ratePerS": 0}],
    }
    return dumps(config).encode()


class EntryHost:
    """An entry host: its process is started again whenever it ends."""

    def __init__(self, folder, name, store, cloud, seeds, **settings):
        self.name = name
        keys = ("frontend", "ready", "controlPlane", "directoryService")
        *ports, self.metrics_port = free_ports(5)
        self.ports = dict(zip(keys, ports))
        self.path = Path(folder) / f"{name}.conf"
        self.log_path = Path(folder) / f"{name}.log"
        self.ends = []
        self.expected_end = False
        self.closing = Event()
        lines = [
            f"nodeName={name}",
            "role=entry",
            "machineClass=edge",
            "servedRoles=edge,control,directory",
            "zone=z1",
            "region=r1",
            "zones.z1=r1",
            *(
                f"listenAddresses.{key}=127.0.0.1:{port}"
                for key, port in self.ports.items()
            ),
            f"seedNodes={','.join(seeds)}",
            f"platform.address={store}",
            "platform.form=log",
            f"cloudApi.address={cloud}",
        ]
        self.path.write_text("\n".join(lines) + BOUNDS)
        self.process = self._launch()
        self.supervisor = Thread(target=self._supervise, daemon=True)
        self.supervisor.start()

    @property
    def peer_address(self):
        return f"127.0.0.1:{self.ports['controlPlane']}"

    def _launch(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["entry"]["run"].split()
        words[words.index("--metrics-port") + 1] = str(self.metrics_port)
        log = self.log_path.open("ab")
        return Popen(
            words,
            cwd=ROOT,
            env={
                "PATH": environ["PATH"],
                "HOME": environ.get("HOME", "/"),
                "PYTHONPATH": "target/deps",
                "MAGNOLIAFLOW_NODE_FILE": str(self.path),
            },
            stdout=log,
            stderr=log,
        )

    def _supervise(self):
        while not self.closing.is_set():
            code = self.process.wait()
            if self.closing.is_set():
                return
            if not self.expected_end:
                self.ends.append((monotonic(), code))
            self.expected_end = False
            if self.closing.wait(RESTART_DELAY_S):
                return
            text = self.path.read_text()
            self.path.write_text(
                text.replace("isBootstrap=true", "isBootstrap=false")
            )
            self.process = self._launch()

    def signal(self, number):
        """Send a signal to the process."""
        self.expected_end = True
        self.process.send_signal(number)

    def is_ready(self):
        """Return whether the process accepts connections of callers."""
        with socket(AF_INET, SOCK_STREAM) as sock:
            sock.settimeout(0.5)
            try:
                sock.connect(("127.0.0.1", self.ports["ready"]))
                sock.sendall(
                    b"GET /magnoliaflow/readiness HTTP/1.1\r\nHost: x\r\n\r\n"
                )
                return sock.recv(100).startswith(b"HTTP/1.1 200")
            except OSError:
                return False

    def close(self):
        """Kill the process, and one that was started meanwhile."""
        self.closing.set()
        self.process.send_signal(SIGKILL)
        self.supervisor.join()
        self.process.send_signal(SIGKILL)
        self.process.wait()


class Deployment:
    """A store, a platform API and entry hosts; engines are added."""

    def __init__(self, host_names):
        self.folder = TemporaryDirectory()
        self.store = MetadataStore()
        self.cloud = CloudApi()
        self.engines = []
        self.hosts = []
        self.host_names = host_names
        self.store.put("keyed.op", "config", make_config(1))

    def start(self, *, store_address=""):
        """Start the entry hosts and wait until they are ready."""
        seeds = []
        for name in self.host_names:
            host = EntryHost(
                self.folder.name,
                name,
                store_address or self.store.address,
                self.cloud.address,
                seeds,
            )
            self.hosts.append(host)
            seeds.append(host.peer_address)
        end = monotonic() + START_S
        while not all(host.is_ready() for host in self.hosts):
            if monotonic() > end:
                raise RuntimeError("the entry processes do not become ready")
            sleep(0.1)

    def runs(self):
        """Return all runs of all engines by request id."""
        runs = {}
        for engine in self.engines:
            for run in list(engine.runs):
                runs.setdefault(run.request_id, []).append(run)
        return runs

    def close(self):
        """End all processes and stand-ins."""
        for host in self.hosts:
            host.close()
        for engine in self.engines:
            engine.close()
        self.cloud.close()
        self.store.close()
        self.folder.cleanup()
