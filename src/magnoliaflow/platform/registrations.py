"""Decoding of engine registrations in the platform's store."""

import re
from typing import Any

from magnoliaflow.common.endpoints import is_endpoint
from magnoliaflow.common.errors import FormatError
from magnoliaflow.common.messages import EngineEntry
from magnoliaflow.platform.jsonvalues import decode_json
from magnoliaflow.platform.jsonvalues import MAX_INT

# An engine's id is sent to it in a header.
ID_PATTERN = re.compile(r"[!-~]{1,255}")
MAX_NAME_CHARS = 255
# The thrift messages between hosts carry slots in 32 bits.
MAX_SLOTS = 2**31 - 1
# About 30 years.
MAX_LEAVES_MS = 1e12
STATES = ("ready", "draining")
MS = 1000.0


def decode_registration(engine_id: str, data: bytes) -> EngineEntry | None:
    """Return the decoded entry, or None if it names no usable engine.

    Entries come from untrusted writers.  A missing or mistyped field makes
    only its own entry unusable.
    """
    try:
        fields = decode_json(data)
        if not isinstance(fields, dict) or not ID_PATTERN.fullmatch(engine_id):
            return None
        state = _name(fields, "state")
        address = _name(fields, "address")
        if state not in STATES or not is_endpoint(address):
            return None
        return EngineEntry(
            engine=engine_id,
            backend=_name(fields, "service"),
            address=address,
            zone=_name(fields, "zone"),
            slots=int(_number(fields, "slots", 1, 0, MAX_SLOTS)),
            leaving=state == "draining",
            # Seconds until an announced reclaim, 0 if none is announced.
            leaves_s=_number(
                fields, "leaves_ms", 0, -MAX_LEAVES_MS, MAX_LEAVES_MS
            )
            / MS,
            # All reclaimable engines of a zone may be reclaimed at once.
            spot=fields.get("isSpot") is True,
            # Start of this engine run; a new run begins without any state.
            born=int(_number(fields, "born", 0, 0, MAX_INT)),
            # Grows with each heartbeat of the run.
            sequence=int(_number(fields, "sequence", -1, 0, MAX_INT)),
            version=_version(fields),
        )
    except FormatError:
        return None


def _name(fields: dict[str, Any], field: str) -> str:
    value = fields.get(field)
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_CHARS:
        raise FormatError(f"{field}: not a name")
    return value


def _version(fields: dict[str, Any]) -> str:
    """Return the version of an engine's software, '' without a usable one.

    An engine serves whatever its version.
    """
    try:
        return _name(fields, "version")
    except FormatError:
        return ""


def _number(
    fields: dict[str, Any],
    field: str,
    default: int,
    minimum: float,
    maximum: float,
) -> float:
    """Return a number within bounds, the default if the field is missing.

    Raises FormatError for any other value.
    """
    value = fields.get(field)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise FormatError(f"{field}: not a number")
    if not minimum <= value <= maximum:
        raise FormatError(f"{field}: {value} is out of range")
    return value
