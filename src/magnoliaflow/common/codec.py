"""Conversion between typed values and thrift compact bytes."""

from dataclasses import fields
from dataclasses import MISSING
from operator import attrgetter
import re
from typing import Any
from typing import TypeVar

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from magnoliaflow.common.errors import RecordError
from magnoliaflow.common import messages
from magnoliaflow.common import records
from magnoliaflow.wire import ttypes

T = TypeVar("T")


def snake_case(name: str) -> str:
    """Return the name of the wire field for a type name.

    >>> snake_case("ProfileChange")
    'profile_change'
    """
    return re.sub(r"(?<!^)(?=[A-Z])", "_", name).lower()


def _dataclasses_in(module: Any) -> dict[str, Any]:
    """Return the dataclasses in a module by name."""
    return {
        name: value
        for name, value in vars(module).items()
        if hasattr(value, "__dataclass_fields__")
    }


TYPES = {**_dataclasses_in(records), **_dataclasses_in(messages)}
WIRE_TYPES = {
    name: getattr(ttypes, name) for name in TYPES if hasattr(ttypes, name)
}
FIELD_NAMES = {
    name: tuple(field.name for field in fields(record_type))
    for name, record_type in TYPES.items()
}
# Defaults of fields that earlier versions do not send.
DEFAULTS = {
    name: {
        field.name: field.default
        for field in fields(record_type)
        if field.default is not MISSING
    }
    for name, record_type in TYPES.items()
}
PRIMITIVES = (str, bytes, int, float)
NAMES_BY_WIRE_TYPE = {
    wire_type: name for name, wire_type in WIRE_TYPES.items()
}
# Functions that return all fields of a value; a single one is not in a tuple.
GETTERS = {name: attrgetter(*names) for name, names in FIELD_NAMES.items()}
RECORD_FIELDS = tuple(
    name for name in ttypes.Record.__slots__ if name != "record_id"
)
MESSAGE_FIELDS = tuple(ttypes.PeerMessage.__slots__)


def to_wire(value: Any) -> Any:
    """Return the thrift form of a typed value."""
    if isinstance(value, tuple):
        if value and isinstance(value[0], PRIMITIVES):
            return list(value)
        return [to_wire(item) for item in value]
    name = type(value).__name__
    wire_type = WIRE_TYPES.get(name)
    if wire_type is None:
        return value
    return wire_type(
        **{
            field_name: to_wire(getattr(value, field_name))
            for field_name in FIELD_NAMES[name]
        }
    )


def from_wire(value: Any) -> Any:
    """Return the typed form of a thrift value.

    Raises RecordError if a field is missing.
    """
    if isinstance(value, list):
        if value and isinstance(value[0], PRIMITIVES):
            return tuple(value)
        return tuple([from_wire(item) for item in value])
    name = NAMES_BY_WIRE_TYPE.get(type(value))
    if name is None:
        return value
    values = GETTERS[name](value)
    if len(FIELD_NAMES[name]) == 1:
        values = (values,)
    if None in values:
        values = _with_defaults(name, values)
    return TYPES[name](
        *[
            item if isinstance(item, PRIMITIVES) else from_wire(item)
            for item in values
        ]
    )


def _with_defaults(name: str, values: tuple[Any, ...]) -> tuple[Any, ...]:
    """Return a value's fields with defaults for those that are missing."""
    defaults = DEFAULTS[name]
    filled = tuple(
        defaults.get(field_name) if item is None else item
        for field_name, item in zip(FIELD_NAMES[name], values)
    )
    for field_name, item in zip(FIELD_NAMES[name], filled):
        if item is None and field_name not in defaults:
            raise RecordError(
                f"{name}: required field {field_name} is missing; "
                "its writer is faulty"
            )
    return filled


def _encode(wire: Any) -> bytes:
    """Return a thrift value as compact bytes."""
    buffer = TMemoryBuffer()
    wire.write(TCompactProtocolAccelerated(buffer, fallback=True))
    return bytes(buffer.getvalue())


def _decode(wire: Any, data: bytes) -> None:
    """Fill a thrift value from compact bytes; raises RecordError."""
    try:
        wire.read(
            TCompactProtocolAccelerated(
                TMemoryBuffer(data),
                fallback=True,
                string_length_limit=len(data),
                container_length_limit=len(data),
            )
        )
    except Exception as exc:
        # Malformed bytes raise errors of many types.
        raise RecordError(
            f"cannot decode {type(wire).__name__} of {len(data)} bytes: {exc}"
        ) from exc


def encode_record(record: records.Record) -> bytes:
    """Return a record as bytes for the log."""
    field_name = snake_case(type(record.body).__name__)
    wire = ttypes.Record(
        record_id=record.record_id, **{field_name: to_wire(record.body)}
    )
    return _encode(wire)


def decode_record(data: bytes) -> records.Record:
    """Return the record that the bytes encode.

    Raises RecordError if the bytes are malformed or the record type is
    unknown to this version.
    """
    wire = ttypes.Record()
    _decode(wire, data)
    body = next(
        (
            getattr(wire, name)
            for name in RECORD_FIELDS
            if getattr(wire, name) is not None
        ),
        None,
    )
    if body is None or wire.record_id is None:
        raise RecordError(f"record of {len(data)} bytes has no known type")
    return records.Record(wire.record_id, from_wire(body))


def encode_value(value: Any) -> bytes:
    """Return a typed value as bytes, without its type."""
    return _encode(to_wire(value))


def decode_value(value_type: type[T], data: bytes) -> T:
    """Return the value of a known type; raises RecordError."""
    wire = WIRE_TYPES[value_type.__name__]()
    _decode(wire, data)
    value: T = from_wire(wire)
    return value


def message_to_wire(message: messages.Message) -> Any:
    """Return a peer message in its thrift envelope."""
    field_name = snake_case(type(message).__name__)
    return ttypes.PeerMessage(**{field_name: to_wire(message)})


def message_from_wire(envelope: Any) -> messages.Message | None:
    """Return the message in an envelope, None if its type is unknown."""
    bodies = (getattr(envelope, name) for name in MESSAGE_FIELDS)
    body = next((item for item in bodies if item is not None), None)
    return None if body is None else from_wire(body)
