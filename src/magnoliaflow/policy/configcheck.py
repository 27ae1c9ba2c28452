"""Findings in a configuration before it is sent.

Guards against a valid configuration that does not do what its operator
means: entries that never match, and limits that contradict each other.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections import Counter
from dataclasses import dataclass

from magnoliaflow.policy.routes import RouteTable

# Characters of a key that are printed.
SHOWN_KEY_CHARS = 4


@dataclass(frozen=True, slots=True)
class Finding:
    """A fault of a configuration.

    ``name`` is one of those in docs/OPERATORS.md, ``place`` the path of the
    entry in the file, ``text`` what was found and how to mend it.
    """

    name: str
    place: str
    text: str


Check = Callable[[RouteTable], Iterator[Finding]]
CHECKS: list[Check] = []


def check(function: Check) -> Check:
    """Register a check of a decoded configuration."""
    CHECKS.append(function)
    return function


def check_table(table: RouteTable) -> list[Finding]:
    """Return the findings of every check."""
    return [finding for function in CHECKS for finding in function(table)]


def check_successor(table: RouteTable, in_force: RouteTable) -> list[Finding]:
    """Return a finding if hosts would not apply a version."""
    if table.version > in_force.version:
        return []
    return [
        Finding(
            "version-not-newer",
            "version",
            f"{table.version} is not above {in_force.version}, which is in "
            "force, so that hosts ignore it; raise it",
        )
    ]


@check
def find_unmatched_routes(table: RouteTable) -> Iterator[Finding]:
    """Find routes that no request can select."""
    positions = Counter((route.host, route.prefix) for route in table.routes)
    for route in table.routes:
        place = f"routes[{route.name}]"
        if positions[route.host, route.prefix] > 1 and (
            table.find(route.host, route.prefix) is not route
        ):
            yield Finding(
                "route-hidden",
                place,
                f"another route has {route.host}{route.prefix} too and is "
                "used in its place; remove one of them",
            )
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield Finding(
                "route-prefix",
                place,
                f"no path matches {route.prefix!r}; begin and end it with a "
                "slash",
            )
        if not route.host or route.host != route.host.lower().strip():
            yield Finding(
                "route-host",
                place,
                f"hosts of requests are compared in lower case, so that "
                f"{route.host!r} never matches; correct it",
            )
        if ":" in route.host:
            yield Finding(
                "route-host",
                place,
                f"hosts are compared without their port, so that "
                f"{route.host!r} never matches; remove the port",
            )


@check
def find_shares(table: RouteTable) -> Iterator[Finding]:
    """Find shares of routes that send nothing, or to no service."""
    for route in table.routes:
        place = f"routes[{route.name}]"
        total = sum(share.weight for share in route.shares)
        if total <= 0:
            yield Finding(
                "share-total",
                place,
                f"the weights sum to {total:g}; give a service a weight "
                "above 0",
            )
        for share in route.shares:
            if share.service not in table.services:
                yield Finding(
                    "service-missing",
                    place,
                    f"{share.service!r} is not among the services; add it, "
                    "or correct the name",
                )
            if share.weight <= 0:
                yield Finding(
                    "share-unused",
                    place,
                    f"{share.service!r} has the weight {share.weight:g} and "
                    "gets nothing; remove the share",
                )


@check
def find_unused_services(table: RouteTable) -> Iterator[Finding]:
    """Find services that no route leads to."""
    used = {
        share.service
        for route in table.routes
        for share in route.shares
        if share.weight > 0
    }
    for name in table.services:
        if name not in used:
            yield Finding(
                "service-unused",
                f"services[{name}]",
                "no route leads to it; remove it, or add a route",
            )


@check
def find_unusable_accounts(table: RouteTable) -> Iterator[Finding]:
    """Find accounts that no request can use."""
    with_key = set(table.keys.values())
    for name in table.accounts:
        if name not in with_key:
            yield Finding(
                "account-without-key",
                f"accounts[{name}]",
                "it has no key, so that no request belongs to it; add a key, "
                "or remove the account",
            )
    for key, name in table.keys.items():
        if not key or key != key.strip() or not key.isprintable():
            yield Finding(
                "key-unusable",
                f"accounts[{name}]",
                f"no request can carry the key {show_key(key)}; replace it",
            )


@check
def find_route_contradictions(table: RouteTable) -> Iterator[Finding]:
    """Find routes whose times or attempts contradict each other."""
    for route in table.routes:
        place = f"routes[{route.name}]"
        if route.timeout_s <= 0:
            yield Finding(
                "timeout-zero",
                place,
                f"a timeout of {route.timeout_s:g} s ends each request at "
                "once; raise it",
            )
        if route.timeout_s < route.target_s:
            yield Finding(
                "timeout-below-target",
                place,
                f"requests end after {route.timeout_s:g} s, before the "
                f"latency target of {route.target_s:g} s; raise the timeout",
            )
        if route.priority < 0:
            yield Finding(
                "priority-negative",
                place,
                f"0 is the most urgent priority, not {route.priority}; "
                "raise it",
            )


@check
def find_cap_contradictions(table: RouteTable) -> Iterator[Finding]:
    """Find caps that refuse every request of their account."""
    for account in table.accounts.values():
        request = account.default_tokens if account.by_tokens else 1
        if account.rate < 0 or account.burst < 0:
            yield Finding(
                "cap-negative",
                f"accounts[{account.name}]",
                f"rate {account.rate:g} and burst {account.burst:g} must not "
                "be negative; 0 is no cap",
            )
        elif account.rate > 0 and account.burst < request:
            yield Finding(
                "burst-below-request",
                f"accounts[{account.name}]",
                f"a burst of {account.burst:g} is below the {request} that "
                "one request counts; raise it",
            )
        elif account.rate == 0 and account.burst > 0:
            yield Finding(
                "burst-without-rate",
                f"accounts[{account.name}]",
                f"a rate of 0 is no cap, so that the burst of "
                f"{account.burst:g} limits nothing; set a rate",
            )


@check
def find_scaling_contradictions(table: RouteTable) -> Iterator[Finding]:
    """Find bounds on engines that cannot be kept."""
    for service in table.services.values():
        scaling = service.scaling
        if scaling is None:
            continue
        if scaling.min_engines > scaling.max_engines:
            yield Finding(
                "scaling-bounds",
                f"services[{service.name}]",
                f"the minimum of {scaling.min_engines} engines is above the "
                f"maximum of {scaling.max_engines}; lower it",
            )
        elif scaling.max_engines < 1:
            yield Finding(
                "scaling-bounds",
                f"services[{service.name}]",
                "a maximum of 0 engines serves nothing; raise it",
            )


@check
def find_limit_contradictions(table: RouteTable) -> Iterator[Finding]:
    """Find limits on callers that refuse every request."""
    limits = table.limits
    values = {
        "max_head_bytes": limits.max_head_bytes,
        "max_body_bytes": limits.max_body_bytes,
        "head_timeout_s": limits.head_timeout_s,
        "idle_timeout_s": limits.idle_timeout_s,
    }
    for name, value in values.items():
        if value < 0:
            yield Finding(
                "limit-negative",
                f"limits.{name}",
                f"{value:g} refuses every request; raise it",
            )


def show_key(key: str) -> str:
    """Return the beginning of a key, which is a secret."""
    return f"{key[:SHOWN_KEY_CHARS]!r}..."
