"""Settings of a deployment, read from YAML and checked by a schema."""

from dataclasses import dataclass
from dataclasses import fields
from pathlib import Path
from typing import Any

from jsonschema import Draft202012Validator
from jsonschema import ValidationError
from yaml import safe_load
from yaml import YAMLError

from magnoliaflow.common.errors import SettingsError


@dataclass(frozen=True, slots=True)
class EntryHost:
    """An entry host: its zone, its address and the ports of its daemons."""

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
        """Return the address that notices of controllers come from."""
        return f"{self.address}:{self.controller_port}"


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A model engine or a plain service behind the system.

    ``price`` is per hour of its host, ``prefill_rate`` in prompt tokens
    per second, ``token_rate`` in tokens per second of one stream.
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


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account, its weight, and the file with its token."""

    name: str
    token_file: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Platform:
    """Which adapter and address to use for each platform port."""

    adapter: str
    log: str
    host_list: str
    cloud: str
    weight_store: str


@dataclass(frozen=True, slots=True)
class Timings:
    """Times in seconds that bound the system's waits."""

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
    """Limits on what the system accepts, and its policies' weights.

    ``recompute_weight`` is the cost of one recomputed token, in the
    currency of ``price``, times a million.
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
    """Everything a process learns from its settings file."""

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

        Raises SettingsError naming those that exist.
        """
        for host in self.entry_hosts:
            if host.name == name:
                return host
        known = ", ".join(host.name for host in self.entry_hosts)
        raise SettingsError(f"entry host {name!r} is not one of {known}")

    def read_token(self, path: str) -> bytes:
        """Return the token in a file named relative to the settings."""
        try:
            return (self.folder / path).read_text().strip().encode()
        except OSError as exc:
            raise SettingsError(
                f"token file {path}: {exc.strerror}; create it beside "
                "the settings file"
            ) from exc


TEXT = {"type": "string", "minLength": 1}
PORT = {"type": "integer", "minimum": 1, "maximum": 65535}
SECONDS = {"type": "number", "exclusiveMinimum": 0}
POSITIVE = {"type": "number", "exclusiveMinimum": 0}
COUNT = {"type": "integer", "minimum": 1}
IP_ADDRESS = {"type": "string", "pattern": r"^\d{1,3}(\.\d{1,3}){3}$"}
IP_PORT = {"type": "string", "pattern": r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"}


def _closed(
    properties: dict[str, Any], *, required: tuple[str, ...] | None = None
) -> dict[str, Any]:
    """Return the schema of an object without other keys."""
    names = tuple(properties) if required is None else required
    return {
        "type": "object",
        "additionalProperties": False,
        "required": list(names),
        "properties": properties,
    }


def _list_of(item: dict[str, Any]) -> dict[str, Any]:
    return {"type": "array", "minItems": 1, "items": item}


SCHEMA: dict[str, Any] = _closed(
    {
        "deployment": TEXT,
        "platform": _closed(
            {
                "adapter": TEXT,
                "log": IP_PORT,
                "host_list": IP_PORT,
                "cloud": IP_PORT,
                "weight_store": IP_PORT,
            }
        ),
        "entry_hosts": _list_of(
            _closed(
                {
                    "name": TEXT,
                    "zone": TEXT,
                    "address": IP_ADDRESS,
                    "caller_port": PORT,
                    "peer_port": PORT,
                    "metrics_port": PORT,
                    "controller_port": PORT,
                }
            )
        ),
        "backend_servers": _list_of(
            _closed(
                {
                    "name": TEXT,
                    "kind": {"enum": ["model", "service"]},
                    "host": TEXT,
                    "zone": TEXT,
                    "address": IP_PORT,
                    "backend": TEXT,
                    "checks_fencing": {"type": "boolean"},
                    "machine_class": TEXT,
                    "price": POSITIVE,
                    "reclaimable": {"type": "boolean"},
                    "slots": COUNT,
                    "prefill_rate": POSITIVE,
                    "token_rate": POSITIVE,
                    "answers_status": {"type": "boolean"},
                },
                required=(
                    "name",
                    "kind",
                    "host",
                    "zone",
                    "address",
                    "backend",
                    "checks_fencing",
                ),
            )
        ),
        "client_accounts": _list_of(
            _closed(
                {"name": TEXT, "token_file": TEXT, "weight": POSITIVE},
                required=("name", "token_file"),
            )
        ),
        "operator_token_file": TEXT,
        "timings": _closed(
            {part.name: SECONDS for part in fields(Timings)}, required=()
        ),
        "limits": _closed(
            {
                "body_bytes": COUNT,
                "open_requests": COUNT,
                "retry_ratio": POSITIVE,
                "retry_burst": COUNT,
                "attempts": COUNT,
                "policy": TEXT,
                "recompute_weight": {"type": "number", "minimum": 0},
                "latency_weight": {"type": "number", "minimum": 0},
                "zone_headroom": {"type": "boolean"},
            },
            required=(),
        ),
    },
    required=(
        "deployment",
        "platform",
        "entry_hosts",
        "backend_servers",
        "client_accounts",
        "operator_token_file",
    ),
)
CHECKER = Draft202012Validator(SCHEMA)


def load_settings(path: Path) -> Settings:
    """Return the settings in a YAML file.

    Raises SettingsError with one line that names file, key path, what
    was found and what is allowed.
    """
    try:
        values = safe_load(path.read_text())
    except OSError as exc:
        raise SettingsError(f"{path}: {exc.strerror}") from exc
    except YAMLError as exc:
        reason = " ".join(str(exc).split())
        raise SettingsError(f"{path}: not YAML: {reason}") from exc
    faults = sorted(
        CHECKER.iter_errors(values), key=lambda fault: fault.json_path
    )
    if faults:
        raise SettingsError(f"{path}: {_fault_text(faults[0])}")
    settings = _build(values, path.parent)
    _check_names(settings, path)
    return settings


def _fault_text(fault: ValidationError) -> str:
    """Return one line on a schema fault."""
    schema: Any = fault.schema
    allowed = {
        "required": "add the key",
        "additionalProperties": "allowed keys: "
        + ", ".join(schema.get("properties", {})),
    }.get(str(fault.validator), f"allowed: {fault.validator_value}")
    place = fault.json_path.removeprefix("$.").replace("$", "top level")
    message = " ".join(fault.message.split())
    return f"{place}: {message}; {allowed}"


def _build(values: dict[str, Any], folder: Path) -> Settings:
    return Settings(
        deployment=values["deployment"],
        platform=Platform(**values["platform"]),
        entry_hosts=tuple(EntryHost(**item) for item in values["entry_hosts"]),
        backend_servers=tuple(
            BackendServer(**item) for item in values["backend_servers"]
        ),
        client_accounts=tuple(
            ClientAccount(**item) for item in values["client_accounts"]
        ),
        operator_token_file=values["operator_token_file"],
        timings=Timings(**values.get("timings", {})),
        limits=Limits(**values.get("limits", {})),
        folder=folder,
    )


def _check_names(settings: Settings, path: Path) -> None:
    """Raise SettingsError when a list names two items alike."""
    lists = {
        "entry_hosts": [item.name for item in settings.entry_hosts],
        "backend_servers": [item.name for item in settings.backend_servers],
        "client_accounts": [item.name for item in settings.client_accounts],
    }
    for key, names in lists.items():
        twice = {name for name in names if names.count(name) > 1}
        if twice:
            raise SettingsError(
                f"{path}: {key}: name {min(twice)!r} stands twice; "
                "names must differ"
            )
    timings = settings.timings
    if timings.key_window_s * 2 > timings.retention_s:
        raise SettingsError(
            f"{path}: timings.key_window_s: {timings.key_window_s} is more "
            f"than half of retention_s {timings.retention_s}; lower it"
        )
