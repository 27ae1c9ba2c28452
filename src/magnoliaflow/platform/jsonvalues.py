"""JSON from untrusted writers, bounded to what the wire formats can hold."""

from json import dumps
from json import loads
from math import isfinite
from typing import Any

from magnoliaflow.common.errors import FormatError

# The thrift messages between hosts carry integers of 64 bits.
MAX_INT = 2**63 - 1
MIN_INT = -(2**63)


def decode_json(data: bytes) -> Any:
    """Return the decoded value of UTF-8 bytes; raises FormatError.

    Numbers that are not finite or do not fit into 64 bits, text that cannot
    be encoded again and nesting beyond the interpreter's stack are errors.
    """
    try:
        value = loads(
            data.decode(),
            parse_int=_parse_int,
            parse_float=_parse_float,
            parse_constant=_reject_constant,
        )
        if b"\\u" in data:
            # An escaped surrogate without its pair raises UnicodeEncodeError.
            dumps(value, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as exc:
        raise FormatError(
            f"{len(data)} bytes are not usable JSON: {str(exc)[:200]}"
        ) from exc
    return value


def _parse_int(text: str) -> int:
    value = int(text)
    if not MIN_INT <= value <= MAX_INT:
        raise ValueError("integer does not fit into 64 bits")
    return value


def _parse_float(text: str) -> float:
    value = float(text)
    if not isfinite(value):
        raise ValueError("number is not finite")
    return value


def _reject_constant(name: str) -> float:
    raise ValueError(f"{name} is not a JSON value")
