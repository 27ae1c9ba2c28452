"""Runs a deployment on loopback, each daemon and stand-in as a process."""

from json import dumps
from json import loads
from os import environ
from pathlib import Path
from signal import SIGKILL
from signal import SIGTERM
from socket import socket
from subprocess import PIPE
from subprocess import Popen
from subprocess import run
from sys import executable
from threading import Thread
from time import monotonic
from time import sleep
from typing import Any
from urllib.request import Request
from urllib.request import urlopen

from twisted.internet.threads import blockingCallFromThread
from yaml import safe_dump
from yaml import safe_load

from magnoliaflow.client import Client
from magnoliaflow.common.loop import reactor
from magnoliaflow.common.settings import Settings
from magnoliaflow.common.settingsfile import load_settings

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 40.0
COMMAND_TIMEOUT_S = 120.0
STANDIN = "magnoliaflow_standins."


def free_port(address: str) -> int:
    """Return a port that is currently free at an address."""
    with socket() as probe:
        probe.bind((address, 0))
        return int(probe.getsockname()[1])


def assign_free_ports(
    settings: dict[str, Any], *, engines: int, services: int
) -> None:
    """Give every process a free port and limit the backend servers.

    The first ``engines`` model servers and ``services`` services are
    kept.
    """
    for role in ("log", "host_list", "cloud", "weight_store"):
        address = settings["platform"][role].partition(":")[0]
        settings["platform"][role] = f"{address}:{free_port(address)}"
    for host in settings["entry_hosts"]:
        for name in tuple(host):
            if name.endswith("_port"):
                host[name] = free_port(host["address"])
    servers = settings["backend_servers"]
    model_servers = [
        server for server in servers if server["kind"] == "model"
    ][:engines]
    service_servers = [
        server for server in servers if server["kind"] == "service"
    ]
    settings["backend_servers"] = model_servers + service_servers[:services]
    for server in settings["backend_servers"]:
        address = server["address"].partition(":")[0]
        server["address"] = f"{address}:{free_port(address)}"


def write_settings(
    example: Path,
    folder: Path,
    *,
    engines: int,
    services: int,
    timings: dict[str, float] | None = None,
) -> Path:
    """Write a copy of an example's settings and its token files.

    Ports are replaced by free ones; ``timings`` overrides single values.
    """
    settings = safe_load(example.read_text())
    assign_free_ports(settings, engines=engines, services=services)
    settings["timings"] = {**settings.get("timings", {}), **(timings or {})}
    tokens = folder / "tokens"
    tokens.mkdir(parents=True, exist_ok=True)
    names = [account["name"] for account in settings["client_accounts"]]
    for name in [*names, "operator"]:
        (tokens / name).write_text(f"token-of-{name}\n")
    path = folder / example.name
    path.write_text(safe_dump(settings, sort_keys=False))
    return path


class LocalFleet:
    """The processes of one deployment."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.cfg: Settings = load_settings(path)
        self.processes: dict[str, Popen[bytes]] = {}
        self.folder = path.parent

    def start(self) -> None:
        """Start the stand-ins, then the daemons, waiting for both."""
        self.start_platform()
        for server in self.cfg.backend_servers:
            self.start_server(server.name)
        self.wait_for_standins()
        for host in self.cfg.entry_hosts:
            self.start_daemon("gateway", host.name)
            self.start_daemon("controller", host.name)
        self.wait_for_gateways()

    def start_platform(self) -> None:
        """Start the stand-ins of the platform's services."""
        platform = self.cfg.platform
        self.spawn("log", STANDIN + "log", "--listen", platform.log)
        for role in ("host_list", "cloud", "weight_store"):
            self.spawn(
                role,
                STANDIN + "platform",
                *("--listen", getattr(platform, role), "--role", role),
            )

    def start_server(self, name: str) -> None:
        """Start one backend server's stand-in."""
        server = next(
            server
            for server in self.cfg.backend_servers
            if server.name == name
        )
        args = ["--listen", server.address, "--name", name]
        if server.kind == "service":
            self.spawn(name, STANDIN + "service", *args)
            return
        args += ["--prefill-rate", str(server.prefill_rate)]
        args += ["--token-rate", str(server.token_rate)]
        args += ["--slots", str(server.slots)]
        self.spawn(name, STANDIN + "engine", *args)

    def start_daemon(self, kind: str, host: str) -> None:
        """Start a gateway or a controller."""
        settings = ("--settings", str(self.path))
        self.spawn(
            f"{kind}-{host}",
            *("magnoliaflow", *settings, kind, "--host", host),
        )

    def spawn(self, name: str, module: str, *args: str) -> None:
        """Start a Python module as a process that logs to a file."""
        with open(self.folder / f"{name}.out", "ab") as output:
            self.processes[name] = Popen(
                [executable, "-m", module, *args],
                stdout=output,
                stderr=output,
                env={**environ, "PYTHONUNBUFFERED": "1"},
            )

    def signal(self, name: str, signum: int) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(signum)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.signal(name, SIGKILL)
        self.processes.pop(name).wait()

    def stop(self, name: str) -> int:
        """Stop a process gracefully and return its exit code."""
        self.signal(name, SIGTERM)
        return self.processes.pop(name).wait(timeout=STOP_TIMEOUT_S)

    def stop_all(self) -> None:
        """Kill all processes."""
        for name in list(self.processes):
            self.kill(name)

    def wait_for_standins(self) -> None:
        """Wait until the stand-ins answer, except for the weight store."""
        addresses = [self.cfg.platform.log, self.cfg.platform.cloud]
        addresses += [self.cfg.platform.host_list]
        addresses += [server.address for server in self.cfg.backend_servers]
        for address in addresses:
            self.wait_until(lambda: self.history(address) is not None)

    def wait_for_gateways(self, *, peers: int | None = None) -> None:
        """Wait until gateways see their peers, the log and a usable server."""
        count = len(self.cfg.entry_hosts) - 1 if peers is None else peers
        for host in self.cfg.entry_hosts:
            if f"gateway-{host.name}" in self.processes:
                self.wait_until(lambda: self._is_ready(host.name, count))

    def _is_ready(self, host: str, peer_count: int) -> bool:
        status = self.status(host)
        if status is None or not status["log_up"]:
            return False
        engines = [server["usable"] for server in status["backend_servers"]]
        return len(status["peers"]) >= peer_count and any(engines)

    def wait_until(
        self, condition: Any, *, timeout_s: float = START_TIMEOUT_S
    ) -> Any:
        """Wait until a condition returns a true value and return it.

        An OSError counts as false.  Raises TimeoutError.
        """
        deadline = monotonic() + timeout_s
        while monotonic() < deadline:
            try:
                result = condition()
            except OSError:
                result = None
            if result:
                return result
            sleep(0.05)
        raise TimeoutError(f"condition not met within {timeout_s} s")

    def status(self, host: str) -> Any:
        """Return the status that a gateway shows to operators."""
        entry = self.cfg.entry_host(host)
        token = self.cfg.read_token(self.cfg.operator_token_file).decode()
        return fetch_json(
            f"http://{entry.caller_address}/v1/status",
            headers={"Authorization": f"Bearer {token}"},
        )

    def history(self, address: str) -> Any:
        """Return a stand-in's history and a dummy entry at its end."""
        return fetch_json(f"http://{address}/history")["history"] + [{"at": 0}]

    def server_history(self, name: str) -> list[dict[str, Any]]:
        """Return the history of a backend server's stand-in."""
        entries = self.history(self.address_of(name))[:-1]
        return list(entries)

    def address_of(self, name: str) -> str:
        """Return the address of a platform service or backend server."""
        if hasattr(self.cfg.platform, name):
            return str(getattr(self.cfg.platform, name))
        return next(
            server.address
            for server in self.cfg.backend_servers
            if server.name == name
        )

    def set_switches(self, name: str, **switches: Any) -> None:
        """Set fault switches of a stand-in."""
        fetch_json(
            f"http://{self.address_of(name)}/control",
            data=dumps(switches).encode(),
        )

    def restore_log(self, age_s: float) -> None:
        """Let the log come back from a copy of this age."""
        fetch_json(
            f"http://{self.address_of('log')}/restore",
            data=dumps({"age_s": age_s}).encode(),
        )

    def run_command(self, *args: str) -> tuple[int, str]:
        """Run a magnoliaflow command; return its exit code and output."""
        result = run(
            [
                *(executable, "-m", "magnoliaflow"),
                *("--settings", str(self.path), *args),
            ],
            stdout=PIPE,
            stderr=PIPE,
            timeout=COMMAND_TIMEOUT_S,
        )
        return result.returncode, (result.stdout + result.stderr).decode()

    def client(self, account: str) -> Client:
        """Return a client that calls on behalf of a client account."""
        token = (self.folder / "tokens" / account).read_text().strip()
        seeds = tuple(host.caller_address for host in self.cfg.entry_hosts)
        return Client(token, seeds)


def fetch_json(
    url: str, *, data: bytes | None = None, headers: Any = None
) -> Any:
    """Return the JSON at a URL."""
    req = Request(url, data=data, headers=headers or {})
    with urlopen(req, timeout=5) as reply:
        return loads(reply.read())


def start_reactor() -> None:
    """Run the reactor in a background thread, unless it runs already."""
    if reactor.running:
        return
    Thread(
        target=reactor.run,
        kwargs={"installSignalHandlers": False},
        daemon=True,
    ).start()


def run_in_reactor(function: Any, *args: Any, **options: Any) -> Any:
    """Run a function in the reactor thread and wait for its result."""
    return blockingCallFromThread(reactor, function, *args, **options)
