"""Decoding and encoding of request and answer headers."""

from json import dumps
import re
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from magnoliaflow.transport.client import Headers
from magnoliaflow.transport.inbound import InboundRequest
from magnoliaflow.work.calls import AddressLookup
from magnoliaflow.work.calls import Call
from magnoliaflow.work.calls import EngineResponseHead
from magnoliaflow.work.calls import ForwardContext

READINESS = "/magnoliaflow/readiness"
RESOLUTION = "/magnoliaflow/resolution"
MS = 1000.0
# Larger counts and times are malformed.
MAX_DIGITS = 15
PART_PATTERN = re.compile(r"([0-9a-fA-F]{1,64}):([0-9]{1,15})")
RATE_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")

# Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that this system
# sets itself.
DROPPED_REQUEST_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
        b"x-credential",
        b"x-tenant",
        b"x-deadline-ms",
        b"x-expected-instance",
        b"x-expected-version",
        b"x-request-priority",
        b"x-hold-duration",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
    )
)
DROPPED_RESPONSE_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)


def decode_call(inbound: InboundRequest) -> Call:
    """Return the decoded request of a caller."""
    first_values: dict[bytes, bytes] = {}
    for name, value in inbound.headers:
        first_values.setdefault(name, value)

    def text(name: bytes) -> str:
        return first_values.get(name, b"").decode("latin-1").strip()

    target = inbound.target.decode("latin-1")
    tokens = [_parse_int(part) for part in text(b"x-token-usage").split(",")]
    has_token_counts = len(tokens) == 2 and None not in tokens
    deadline = _parse_int(text(b"x-deadline-ms"))
    dropped = DROPPED_REQUEST_HEADERS | {
        part.strip().lower().encode("latin-1")
        for part in text(b"connection").split(",")
    }
    return Call(
        request_id=text(b"x-attempt-id"),
        host=text(b"host").partition(":")[0].lower(),
        path=target.partition("?")[0],
        credential=text(b"x-credential"),
        deadline_s=None if deadline is None else deadline / MS,
        prompt_tokens=(tokens[0] or 0) if has_token_counts else 0,
        answer_tokens=(tokens[1] or 0) if has_token_counts else 0,
        has_token_counts=has_token_counts,
        parts=_prompt_parts(text(b"x-prompt-prefix")),
        resume_after=text(b"last-event-id"),
        method=inbound.method,
        target=inbound.target,
        headers=[
            header for header in inbound.headers if header[0] not in dropped
        ],
        body=inbound.body,
        resumes=text(b"resumes"),
    )


def credential(inbound: InboundRequest) -> str:
    """Return the key in a request's head, '' without one."""
    for name, value in inbound.headers:
        if name == b"x-credential":
            return value.decode("latin-1").strip()
    return ""


def encode_forward(call: Call, forward: ForwardContext) -> Headers:
    """Return the headers of a request forwarded to an engine."""
    headers = [
        header
        for header in call.headers
        if not (forward.resume_after and header[0] == b"last-event-id")
    ]
    headers.append((b"x-expected-instance", forward.engine.encode()))
    left_ms = max(1, int(forward.remaining_s * MS))
    headers.append((b"x-deadline-ms", str(left_ms).encode()))
    if forward.account:
        headers.append((b"x-tenant", forward.account.encode()))
    if forward.priority is not None:
        headers.append((b"x-request-priority", str(forward.priority).encode()))
    if forward.resume_after:
        headers.append((b"last-event-id", forward.resume_after.encode()))
    if call.body or call.method not in (b"GET", b"HEAD"):
        headers.append((b"content-length", str(len(call.body)).encode()))
    return headers


def decode_engine_head(status: int, headers: Headers) -> EngineResponseHead:
    """Return the decoded head of an engine's answer."""
    first_values: dict[bytes, bytes] = {}
    for name, value in headers:
        first_values.setdefault(name, value)
    return EngineResponseHead(
        status=status,
        request_id=first_values.get(b"x-attempt-id", b"").decode("latin-1"),
        signed=b"x-response-signature" in first_values,
        not_run=b"x-not-executed" in first_values or status == 421,
        is_event_stream=first_values.get(b"content-type", b"").startswith(
            b"text/event-stream"
        ),
        headers=[
            header
            for header in headers
            if header[0] not in DROPPED_RESPONSE_HEADERS
        ],
        rate_limit=_parse_rate(first_values.get(b"server-limit", b"")),
        leaving=first_values.get(b"server-leaving", b"").strip() == b"1",
        misdirected=status == 421,
    )


def json_answer_headers(retry_after_s: float | None) -> Headers:
    """Return the headers of an answer generated locally."""
    headers = [(b"Content-Type", b"application/json")]
    if retry_after_s is not None:
        headers.append((b"Retry-After", f"{retry_after_s:.2f}".encode()))
    return headers


def decode_lookup(inbound: InboundRequest) -> AddressLookup | None:
    """Return a directory query, or None for another path."""
    try:
        target = urlsplit(inbound.target.decode("latin-1"))
    except ValueError:
        return None
    if target.path != RESOLUTION:
        return None
    query = parse_qs(target.query)
    return AddressLookup(
        region=query.get("region", [""])[0], zone=query.get("zone", [""])[0]
    )


def is_readiness(inbound: InboundRequest) -> bool:
    """Return whether the request is the platform's readiness check."""
    return inbound.target.partition(b"?")[0].decode("latin-1") == READINESS


def encode_addresses(addresses: list[str], ttl_s: float) -> bytes:
    """Return the directory's answer."""
    return dumps({"addresses": addresses, "ttlS": ttl_s}).encode()


def _prompt_parts(text: str) -> tuple[tuple[int, int], ...]:
    """Return the prompt's parts as (id, tokens), empty if malformed."""
    parts = []
    for entry in filter(None, (part.strip() for part in text.split(","))):
        match = PART_PATTERN.fullmatch(entry)
        if match is None:
            return ()
        parts.append((int(match[1], 16), int(match[2])))
    return tuple(parts)


def _parse_rate(value: bytes) -> float | None:
    """Return a decimal number of requests a second, None if malformed."""
    text = value.decode("latin-1").strip()
    return float(text) if RATE_PATTERN.fullmatch(text) else None


def _parse_int(text: str) -> int | None:
    text = text.strip()
    if len(text) > MAX_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    return int(text)
