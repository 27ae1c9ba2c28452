"""The platform's configuration document, decoded into a RouteBook."""

from json import loads
from typing import Any

from magnoliaflow.common.errors import FormatError
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


def decode_document(data: bytes) -> RouteTable:
    """Return the decoded configuration; raises FormatError."""
    try:
        values = loads(data)
        return RouteTable(
            version=int(values["version"]),
            routes=tuple(_route(item) for item in values["routes"]),
            services={
                item["name"]: _service(item) for item in values["services"]
            },
            accounts={
                item["name"]: _account(item)
                for item in values.get("tenants") or ()
            },
            keys={
                key: item["name"]
                for item in values.get("tenants") or ()
                for key in item.get("apiKeys") or ()
            },
            limits=_limits(values.get("limits") or {}),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise FormatError(
            f"invalid configuration of {len(data)} bytes: {exc!r}; the "
            "current version stays in force"
        ) from exc


def _route(item: dict[str, Any]) -> Route:
    split = item.get("trafficSplit")
    shares = (
        tuple(
            TrafficShare(row["service"], float(row["weight"])) for row in split
        )
        if split
        else (TrafficShare(item["service"], 1.0),)
    )
    return Route(
        name=item["name"],
        host=item["host"],
        prefix=item["pathPrefix"],
        kind=KINDS[item["kind"]],
        shares=shares,
        timeout_s=item["timeoutMs"] / MS,
        target_s=item.get("targetLatencyMs", item["timeoutMs"]) / MS,
        priority=int(item.get("priority") or 0),
        max_engines=max(1, int(item.get("maxAttempts") or 1)),
        anonymous=bool(item.get("anonymous")),
        resumable=bool(item.get("streamResumption")),
    )


def _service(item: dict[str, Any]) -> Service:
    # "engineId" holds the properties of a model engine, not an ID.
    engine = item.get("engineId")
    return Service(
        name=item["name"],
        model=engine is not None,
        max_connections=int(item.get("connectionLimit") or 0),
        cache_tokens=int((engine or {}).get("kvCapacityTokens") or 0),
        scaling=_scaling(item.get("scaling")),
    )


def _scaling(item: dict[str, Any] | None) -> Scaling | None:
    if item is None:
        return None
    return Scaling(
        min_engines=int(item["minimum"]),
        max_engines=int(item["maximum"]),
        boot_s=float(item.get("bootTimeS") or 0.0),
        # Price of a reclaimable engine as a share of the regular price.
        spot_price=float(item.get("spotPrice") or 1.0),
        zone_prices={
            zone: float(price)
            for zone, price in (item.get("zonePrices") or {}).items()
        },
    )


def _account(item: dict[str, Any]) -> Account:
    priority = item.get("priority")
    return Account(
        name=item["name"],
        priority=None if priority is None else int(priority),
        rate=float(item.get("ratePerS") or 0.0),
        burst=float(item.get("burst") or 0.0),
        by_tokens=item.get("unit") == TOKENS_UNIT,
        # Tokens counted for a request whose headers state none.
        default_tokens=int(item.get("uncachedTokens") or 1),
    )


def _limits(item: dict[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        max_head_bytes=int(
            item.get("maxHeaderBytes") or defaults.max_head_bytes
        ),
        max_body_bytes=int(
            item.get("maxBodyBytes") or defaults.max_body_bytes
        ),
        head_timeout_s=(
            item.get("headerTimeoutMs") or defaults.head_timeout_s * MS
        )
        / MS,
        idle_timeout_s=(
            item.get("idleTimeoutMs") or defaults.idle_timeout_s * MS
        )
        / MS,
    )
