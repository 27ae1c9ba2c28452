"""Loading of YAML settings files and their validation."""

from dataclasses import fields
from pathlib import Path
from typing import Any

from jsonschema import Draft202012Validator
from jsonschema import ValidationError
from yaml import safe_load
from yaml import YAMLError

from magnoliaflow.common.errors import SettingsError
from magnoliaflow.common.settings import BackendServer
from magnoliaflow.common.settings import ClientAccount
from magnoliaflow.common.settings import EntryHost
from magnoliaflow.common.settings import Limits
from magnoliaflow.common.settings import Platform
from magnoliaflow.common.settings import Settings
from magnoliaflow.common.settings import Timings

TEXT = {"type": "string", "minLength": 1}
PORT = {"type": "integer", "minimum": 1, "maximum": 65535}
SECONDS = {"type": "number", "exclusiveMinimum": 0}
POSITIVE = {"type": "number", "exclusiveMinimum": 0}
COUNT = {"type": "integer", "minimum": 1}
IP_ADDRESS = {"type": "string", "pattern": r"^\d{1,3}(\.\d{1,3}){3}$"}
IP_PORT = {"type": "string", "pattern": r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"}


def _closed_object(
    properties: dict[str, Any], *, required: tuple[str, ...] | None = None
) -> dict[str, Any]:
    """Return the schema of an object that allows no other keys."""
    names = tuple(properties) if required is None else required
    return {
        "type": "object",
        "additionalProperties": False,
        "required": list(names),
        "properties": properties,
    }


def _list_of(item_schema: dict[str, Any]) -> dict[str, Any]:
    return {"type": "array", "minItems": 1, "items": item_schema}


SCHEMA: dict[str, Any] = _closed_object(
    {
        "deployment": TEXT,
        "platform": _closed_object(
            {
                "adapter": TEXT,
                "log": IP_PORT,
                "host_list": IP_PORT,
                "cloud": IP_PORT,
                "weight_store": IP_PORT,
            }
        ),
        "entry_hosts": _list_of(
            _closed_object(
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
            _closed_object(
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
            _closed_object(
                {"name": TEXT, "token_file": TEXT, "weight": POSITIVE},
                required=("name", "token_file"),
            )
        ),
        "operator_token_file": TEXT,
        "timings": _closed_object(
            {field.name: SECONDS for field in fields(Timings)}, required=()
        ),
        "limits": _closed_object(
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
VALIDATOR = Draft202012Validator(SCHEMA)


def load_settings(path: Path) -> Settings:
    """Return the settings in a YAML file.

    Raises SettingsError with one line that contains the file and, for each
    fault, the key path, the value found and what is allowed.
    """
    try:
        values = safe_load(path.read_text())
    except OSError as exc:
        raise SettingsError(f"{path}: {exc.strerror}") from exc
    except YAMLError as exc:
        reason = " ".join(str(exc).split())
        raise SettingsError(f"{path}: invalid YAML: {reason}") from exc
    errors = sorted(
        VALIDATOR.iter_errors(values), key=lambda error: error.json_path
    )
    if errors:
        faults = "; ".join(map(_describe_error, errors))
        raise SettingsError(f"{path}: {faults}")
    settings = _build(values, path.parent)
    _check_consistency(settings, path)
    return settings


def _describe_error(error: ValidationError) -> str:
    """Return a one-line description of a schema error."""
    schema: Any = error.schema
    allowed = {
        "required": "add the key",
        "additionalProperties": "allowed keys: "
        + ", ".join(schema.get("properties", {})),
    }.get(str(error.validator), f"allowed: {error.validator_value}")
    location = error.json_path.removeprefix("$.").replace("$", "top level")
    message = " ".join(error.message.split())
    return f"{location}: {message}; {allowed}"


def _build(values: dict[str, Any], folder: Path) -> Settings:
    return Settings(
        deployment=values["deployment"],
        platform=Platform(**values["platform"]),
        entry_hosts=tuple(EntryHost(**host) for host in values["entry_hosts"]),
        backend_servers=tuple(
            BackendServer(**server) for server in values["backend_servers"]
        ),
        client_accounts=tuple(
            ClientAccount(**account) for account in values["client_accounts"]
        ),
        operator_token_file=values["operator_token_file"],
        timings=Timings(**values.get("timings", {})),
        limits=Limits(**values.get("limits", {})),
        folder=folder,
    )


def _check_consistency(settings: Settings, path: Path) -> None:
    """Raise SettingsError for duplicate names or conflicting times."""
    lists = {
        "entry_hosts": [host.name for host in settings.entry_hosts],
        "backend_servers": [
            server.name for server in settings.backend_servers
        ],
        "client_accounts": [
            account.name for account in settings.client_accounts
        ],
    }
    for key, names in lists.items():
        duplicates = {name for name in names if names.count(name) > 1}
        if duplicates:
            raise SettingsError(
                f"{path}: {key}: duplicate name {min(duplicates)!r}; "
                "names must be unique"
            )
    timings = settings.timings
    if timings.key_window_s * 2 > timings.retention_s:
        raise SettingsError(
            f"{path}: timings.key_window_s: {timings.key_window_s} is more "
            f"than half of retention_s {timings.retention_s}; lower it"
        )
