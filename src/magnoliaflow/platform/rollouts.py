"""Words of roll-outs in the platform's store: orders and their status."""

from json import dumps
from typing import Any

from magnoliaflow.common.errors import FormatError
from magnoliaflow.platform.jsonvalues import decode_json
from magnoliaflow.policy.rollouts import RolloutOrder
from magnoliaflow.policy.rollouts import RolloutStage

# Orders lie beside the configuration, the status in a topic of its own, both
# under this key and the name of the service.
KEY_PREFIX = "rollout/"
MAX_NAME_CHARS = 255
MAX_DURATION_S = 1e6
STATES = {
    RolloutStage.COMPLETED: "completed",
    RolloutStage.ROLLED_BACK: "rolled_back",
}
IN_PROGRESS = "in_progress"


def service_of(key: str) -> str:
    """Return the service that an entry orders a roll-out of, '' if none.

    >>> service_of("rollout/app"), service_of("config")
    ('app', '')
    """
    return key.removeprefix(KEY_PREFIX) if key.startswith(KEY_PREFIX) else ""


def decode_order(key: str, data: bytes, position: int) -> RolloutOrder:
    """Return the order in an entry; raises FormatError."""
    fields = decode_json(data)
    if not isinstance(fields, dict):
        raise FormatError(f"{key}: not an object")
    service = _name(key, fields, "service")
    if service != service_of(key):
        raise FormatError(f"{key}: names the service {service[:64]!r}")
    duration = fields.get("durationS")
    if (
        isinstance(duration, bool)
        or not isinstance(duration, (int, float))
        or not 0 < duration <= MAX_DURATION_S
    ):
        raise FormatError(f"{key}: durationS is not a time in seconds")
    return RolloutOrder(
        service, _name(key, fields, "to"), float(duration), position
    )


def status_key(service: str) -> str:
    """Return the key of a service's status.

    >>> status_key("app")
    'rollout/app'
    """
    return KEY_PREFIX + service


def encode_status(stage: RolloutStage, target: str) -> bytes:
    """Return the status of a roll-out to a version."""
    return dumps(
        {"state": STATES.get(stage, IN_PROGRESS), "to": target}
    ).encode()


def decode_final(data: bytes) -> tuple[RolloutStage, str] | None:
    """Return the stage and the target of a roll-out that has ended.

    None for any other status; raises FormatError.
    """
    fields = decode_json(data)
    if not isinstance(fields, dict):
        raise FormatError("status of a roll-out: not an object")
    for stage, state in STATES.items():
        if fields.get("state") == state:
            return stage, _name("status of a roll-out", fields, "to")
    return None


def _name(key: str, fields: dict[str, Any], field: str) -> str:
    value = fields.get(field)
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_CHARS:
        raise FormatError(f"{key}: {field} is not a name")
    return value
