"""The platform's configuration document, decoded into a RouteBook."""

import re
from typing import Any

from magnoliaflow.common.errors import FormatError
from magnoliaflow.platform.jsonvalues import decode_json
from magnoliaflow.policy.routes import Account
from magnoliaflow.policy.routes import CallerLimits
from magnoliaflow.policy.routes import Route
from magnoliaflow.policy.routes import RouteKind
from magnoliaflow.policy.routes import RouteTable
from magnoliaflow.policy.routes import Scaling
from magnoliaflow.policy.routes import Service
from magnoliaflow.policy.routes import TrafficShare

KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
MS = 1000.0
TOKENS_UNIT = "token_count"
# What decoding a malformed document raises.
DOCUMENT_ERRORS = (
    ArithmeticError,
    AttributeError,
    FormatError,
    LookupError,
    TypeError,
    ValueError,
)
# An account's name is sent to engines in a header.
NAME_PATTERN = re.compile(r"[^\x00-\x20\x7f]+( +[^\x00-\x20\x7f]+)*")


def decode_document(data: bytes) -> RouteTable:
    """Return the decoded configuration; raises FormatError."""
    try:
        values = decode_json(data)
        return RouteTable(
            version=_version(values),
            routes=tuple(decode_route(route) for route in values["routes"]),
            services={
                _name(service): decode_service(service)
                for service in values["services"]
            },
            accounts={
                _name(tenant): decode_account(tenant)
                for tenant in values.get("tenants") or ()
            },
            keys={
                str(key): _name(tenant)
                for tenant in values.get("tenants") or ()
                for key in tenant.get("apiKeys") or ()
            },
            limits=decode_limits(values.get("limits") or {}),
        )
    except DOCUMENT_ERRORS as exc:
        raise FormatError(
            f"invalid configuration of {len(data)} bytes: {exc!r}; the "
            "current version stays in force"
        ) from exc


def _version(values: dict[str, Any]) -> int:
    value = values["version"]
    if type(value) is not int or value < 0:
        raise TypeError(f"version: {value!r} is not a whole number")
    return value


def _text(values: dict[str, Any], field: str) -> str:
    value = values[field]
    if not isinstance(value, str):
        raise TypeError(f"{field}: {value!r} is not a text")
    return value


def _name(values: dict[str, Any]) -> str:
    name = _text(values, "name")
    if not NAME_PATTERN.fullmatch(name):
        raise ValueError(f"name: {name!r} cannot be sent in a header")
    return name


def decode_route(values: dict[str, Any]) -> Route:
    """Return a route; raises one of DOCUMENT_ERRORS."""
    split = values.get("trafficSplit")
    shares = (
        tuple(
            TrafficShare(share["service"], float(share["weight"]))
            for share in split
        )
        if split
        else (TrafficShare(values["service"], 1.0),)
    )
    return Route(
        name=_name(values),
        host=_text(values, "host"),
        prefix=_text(values, "pathPrefix"),
        kind=KINDS[values["kind"]],
        shares=shares,
        timeout_s=values["timeoutMs"] / MS,
        target_s=values.get("targetLatencyMs", values["timeoutMs"]) / MS,
        priority=int(values.get("priority") or 0),
        max_engines=max(1, int(values.get("maxAttempts") or 1)),
        anonymous=bool(values.get("anonymous")),
        resumable=bool(values.get("streamResumption")),
        gap_target_s=float(values.get("targetGapMs") or 0.0) / MS,
    )


def decode_service(values: dict[str, Any]) -> Service:
    """Return a service; raises one of DOCUMENT_ERRORS."""
    # "engineId" holds the properties of a model engine, not an ID.
    engine = values.get("engineId")
    return Service(
        name=_name(values),
        model=engine is not None,
        max_connections=int(values.get("connectionLimit") or 0),
        cache_tokens=int((engine or {}).get("kvCapacityTokens") or 0),
        slots=int((engine or {}).get("slots") or 0),
        scaling=_scaling(values.get("scaling")),
    )


def _scaling(values: dict[str, Any] | None) -> Scaling | None:
    if values is None:
        return None
    return Scaling(
        min_engines=int(values["minimum"]),
        max_engines=int(values["maximum"]),
        boot_s=float(values.get("bootTimeS") or 0.0),
        # Price of a reclaimable engine as a share of the regular price.
        spot_price=float(values.get("spotPrice") or 1.0),
        zone_prices={
            zone: float(price)
            for zone, price in (values.get("zonePrices") or {}).items()
        },
    )


def decode_account(values: dict[str, Any]) -> Account:
    """Return a client account; raises one of DOCUMENT_ERRORS."""
    priority = values.get("priority")
    return Account(
        name=_name(values),
        priority=None if priority is None else int(priority),
        rate=float(values.get("ratePerS") or 0.0),
        burst=float(values.get("burst") or 0.0),
        by_tokens=values.get("unit") == TOKENS_UNIT,
        # Tokens counted for a request whose headers state none.
        default_tokens=int(values.get("uncachedTokens") or 1),
    )


def decode_limits(values: dict[str, Any]) -> CallerLimits:
    """Return the limits on callers; raises one of DOCUMENT_ERRORS."""
    defaults = CallerLimits()
    return CallerLimits(
        max_head_bytes=int(
            values.get("maxHeaderBytes") or defaults.max_head_bytes
        ),
        max_body_bytes=int(
            values.get("maxBodyBytes") or defaults.max_body_bytes
        ),
        head_timeout_s=(
            values.get("headerTimeoutMs") or defaults.head_timeout_s * MS
        )
        / MS,
        idle_timeout_s=(
            values.get("idleTimeoutMs") or defaults.idle_timeout_s * MS
        )
        / MS,
    )
