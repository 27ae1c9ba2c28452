"""What a configuration changes for callers in the version in force.

Guards against changes that take access or capacity from callers unnoticed.
Versions are compared by meaning, not by line.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass

from magnoliaflow.policy.configcheck import show_key
from magnoliaflow.policy.routes import Account
from magnoliaflow.policy.routes import Route
from magnoliaflow.policy.routes import RouteTable
from magnoliaflow.policy.routes import Service


@dataclass(frozen=True, slots=True)
class Change:
    """A difference to the version in force and its effect."""

    place: str
    text: str


def compare_tables(new: RouteTable, old: RouteTable) -> list[Change]:
    """Return what a version changes for callers, by meaning."""
    routes_old = {route.name: route for route in old.routes}
    routes_new = {route.name: route for route in new.routes}
    return [
        *_compare(
            "routes",
            routes_new,
            routes_old,
            _describe_route,
            gone="its requests get 404, or another route's service",
        ),
        *_compare(
            "services",
            new.services,
            old.services,
            _describe_service,
            gone="its engines get no requests",
        ),
        *_compare(
            "accounts",
            new.accounts,
            old.accounts,
            _describe_account,
            gone="its keys are refused",
        ),
        *_compare_keys(new, old),
        *(
            Change(f"limits.{name}", f"{before:g} -> {after:g}")
            for name, before, after in _changed_limits(new, old)
        ),
    ]


def _compare(
    kind: str,
    new: dict[str, Route] | dict[str, Service] | dict[str, Account],
    old: dict[str, Route] | dict[str, Service] | dict[str, Account],
    describe: Callable[..., dict[str, str]],
    *,
    gone: str,
) -> Iterator[Change]:
    """Return the entries added, removed and changed between two versions."""
    for name in sorted(new.keys() | old.keys()):
        place = f"{kind}[{name}]"
        if name not in new:
            yield Change(place, f"removed: {gone}")
        elif name not in old:
            yield Change(place, "added")
        else:
            before, after = describe(old[name]), describe(new[name])
            for field in sorted(before.keys() | after.keys()):
                was, will = before.get(field, "-"), after.get(field, "-")
                if was != will:
                    yield Change(place, f"{field}: {was} -> {will}")


def _describe_route(route: Route) -> dict[str, str]:
    total = sum(share.weight for share in route.shares) or 1.0
    return {
        "address": f"{route.host}{route.prefix}",
        "kind": route.kind.value,
        "services": ", ".join(
            f"{share.service} {share.weight / total:.0%}"
            for share in sorted(route.shares, key=lambda item: item.service)
        ),
        "timeout": f"{route.timeout_s:g} s",
        "latency target": f"{route.target_s:g} s",
        "priority": str(route.priority),
        "engines a request": str(route.max_engines),
        "key": "not needed" if route.anonymous else "needed",
        "resumable": str(route.resumable).lower(),
    }


def _describe_service(service: Service) -> dict[str, str]:
    described = {
        "kind": "model" if service.model else "plain",
        "connections an engine": str(service.max_connections),
        "cache tokens an engine": str(service.cache_tokens),
    }
    if service.scaling is not None:
        scaling = service.scaling
        described |= {
            "engines a zone": f"{scaling.min_engines} to "
            f"{scaling.max_engines}",
            "boot time": f"{scaling.boot_s:g} s",
            "reclaimable price": f"{scaling.spot_price:g}",
            "zone prices": ", ".join(
                f"{zone} {price:g}"
                for zone, price in sorted(scaling.zone_prices.items())
            ),
        }
    return described


def _describe_account(account: Account) -> dict[str, str]:
    unit = "tokens" if account.by_tokens else "requests"
    capped = account.rate > 0
    return {
        "cap": f"{account.rate:g} {unit} a second" if capped else "none",
        "burst": f"{account.burst:g} {unit}" if capped else "none",
        "priority": "-" if account.priority is None else str(account.priority),
        "tokens counted without a header": str(account.default_tokens),
    }


def _compare_keys(new: RouteTable, old: RouteTable) -> Iterator[Change]:
    for key in sorted(new.keys.keys() | old.keys.keys()):
        was, will = old.keys.get(key), new.keys.get(key)
        if was == will:
            continue
        place = f"keys[{show_key(key)}]"
        if will is None:
            yield Change(place, f"ends: requests of {was} with it get 401")
        elif was is None:
            yield Change(place, f"begins: its requests count for {will}")
        else:
            yield Change(place, f"moves from {was} to {will}")


def _changed_limits(
    new: RouteTable, old: RouteTable
) -> Iterable[tuple[str, float, float]]:
    names = (
        "max_head_bytes",
        "max_body_bytes",
        "head_timeout_s",
        "idle_timeout_s",
    )
    pairs = (
        (name, getattr(old.limits, name), getattr(new.limits, name))
        for name in names
    )
    return [pair for pair in pairs if pair[1] != pair[2]]
