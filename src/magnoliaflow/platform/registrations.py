"""Decoding of engine registrations in the platform's store."""

from json import loads
from typing import Any

from magnoliaflow.common.messages import EngineEntry


def decode_registration(engine_id: str, data: bytes) -> EngineEntry | None:
    """Return the decoded entry, or None if it names no usable engine.

    Entries come from untrusted writers.  A missing or mistyped field makes
    only its own entry unusable.
    """
    try:
        fields = loads(data)
    except ValueError:
        return None
    if not isinstance(fields, dict):
        return None
    texts = [fields.get(name) for name in ("service", "address", "zone")]
    if not all(isinstance(text, str) and text for text in texts):
        return None
    state = fields.get("state")
    if state not in ("ready", "draining") or not _is_address(texts[1]):
        return None
    return EngineEntry(
        engine=engine_id,
        backend=str(texts[0]),
        address=str(texts[1]),
        zone=str(texts[2]),
        slots=_parse_int(fields.get("slots"), 1),
        leaving=state == "draining",
        # Seconds until an announced reclaim, 0 if none is announced.
        leaves_s=_parse_int(fields.get("leaves_ms"), 0) / 1000.0,
        # All reclaimable engines of a zone may be reclaimed at once.
        spot=fields.get("isSpot") is True,
        # Start of this engine run; a new run begins without any state.
        born=_parse_int(fields.get("born"), 0),
        # Grows with each heartbeat of the run.
        sequence=_parse_int(fields.get("sequence"), -1),
    )


def _parse_int(value: Any, default: int) -> int:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return default
    return int(value)


def _is_address(text: Any) -> bool:
    host, _, port = str(text).rpartition(":")
    parts = host.split(".")
    return (
        port.isdigit()
        and 0 < int(port) < 65536
        and len(parts) == 4
        and all(part.isdigit() and int(part) < 256 for part in parts)
    )
