"""Checks of a request's head beyond those of h11."""

from magnoliaflow.transport.client import Headers
from magnoliaflow.transport.limits import ServerLimits


def _head_size(target: bytes, headers: Headers) -> int:
    """Return the size of a complete head; h11 limits incomplete ones."""
    headers_size = sum(len(name) + len(value) + 4 for name, value in headers)
    return headers_size + len(target)


def _has_conflicting_framing(headers: Headers) -> bool:
    """Return whether a head has two headers that frame the body."""
    names = [name for name, _ in headers]
    return b"transfer-encoding" in names and b"content-length" in names


def body_length(headers: Headers) -> int:
    """Return the length of the body, -1 if it comes in chunks."""
    for name, value in headers:
        if name == b"content-length":
            return int(value)
        if name == b"transfer-encoding":
            return -1
    return 0


def head_fault(target: bytes, headers: Headers, limits: ServerLimits) -> int:
    """Return the status with which to reject a head, 0 if it is sound."""
    if _head_size(target, headers) > limits.max_head_bytes:
        return 431
    if _has_conflicting_framing(headers):
        return 400
    return 413 if body_length(headers) > limits.max_body_bytes else 0
