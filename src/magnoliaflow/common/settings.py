"""Typed settings of a deployment."""

from dataclasses import dataclass
from pathlib import Path

from magnoliaflow.common.errors import SettingsError


@dataclass(frozen=True, slots=True)
class EntryHost:
    """An entry host with its zone, address and the ports of its daemons."""

    name: str
    zone: str
    address: str
    caller_port: int
    peer_port: int
    metrics_port: int
    controller_port: int

    @property
    def caller_address(self) -> str:
        """Return the address that callers connect to."""
        return f"{self.address}:{self.caller_port}"

    @property
    def peer_address(self) -> str:
        """Return the address that other gateways connect to."""
        return f"{self.address}:{self.peer_port}"

    @property
    def controller_address(self) -> str:
        """Return the address of the host's controller."""
        return f"{self.address}:{self.controller_port}"


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A model engine or a plain service that executes requests.

    ``price`` is per host and hour, ``prefill_rate`` in prompt tokens per
    second, ``token_rate`` in tokens per second of one stream.  ``version``
    is that of its software, empty if unknown.
    """

    name: str
    kind: str
    host: str
    zone: str
    address: str
    backend: str
    checks_fencing: bool
    machine_class: str = "standard"
    price: float = 1.0
    reclaimable: bool = True
    slots: int = 8
    prefill_rate: float = 4000.0
    token_rate: float = 40.0
    answers_status: bool = False
    version: str = ""


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account with its weight and the file of its token."""

    name: str
    token_file: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Platform:
    """The adapter and the address of each platform port."""

    adapter: str
    log: str
    host_list: str
    cloud: str
    weight_store: str


@dataclass(frozen=True, slots=True)
class Timings:
    """Intervals, timeouts and retention times in seconds."""

    tick_s: float = 0.05
    heartbeat_s: float = 0.25
    silence_s: float = 1.5
    probe_s: float = 0.5
    append_s: float = 1.0
    stream_silence_s: float = 2.0
    report_s: float = 0.25
    log_down_s: float = 3.0
    profile_bound_s: float = 19.0
    drain_s: float = 20.0
    finished_keep_s: float = 60.0
    key_window_s: float = 3600.0
    retention_s: float = 14400.0
    lease_ttl_s: float = 6.0
    lease_margin_s: float = 1.0
    address_ttl_s: float = 5.0
    late_append_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Admission limits and weights of the policies.

    ``recompute_weight`` is the cost of a million recomputed tokens, in the
    currency of ``price``.
    """

    body_bytes: int = 1_000_000
    open_requests: int = 2000
    retry_ratio: float = 0.2
    retry_burst: int = 20
    attempts: int = 6
    policy: str = "expected_cost"
    recompute_weight: float = 30.0
    latency_weight: float = 1.0
    zone_headroom: bool = True


@dataclass(frozen=True, slots=True)
class Settings:
    """The content of a settings file."""

    deployment: str
    platform: Platform
    entry_hosts: tuple[EntryHost, ...]
    backend_servers: tuple[BackendServer, ...]
    client_accounts: tuple[ClientAccount, ...]
    operator_token_file: str
    timings: Timings
    limits: Limits
    folder: Path

    def entry_host(self, name: str) -> EntryHost:
        """Return the entry host of this name.

        Raises SettingsError listing the known names.
        """
        for host in self.entry_hosts:
            if host.name == name:
                return host
        known = ", ".join(host.name for host in self.entry_hosts)
        raise SettingsError(f"unknown entry host {name!r}; known: {known}")

    def read_token(self, path: str) -> bytes:
        """Return the token in a file; the path is relative to the settings."""
        try:
            return (self.folder / path).read_text().strip().encode()
        except OSError as exc:
            raise SettingsError(
                f"token file {path}: {exc.strerror}; create it, or correct "
                "its path, which is relative to the settings file"
            ) from exc
