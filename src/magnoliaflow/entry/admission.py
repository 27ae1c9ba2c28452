"""Admission control: route lookup, account caps and admission rates."""

from dataclasses import dataclass
from dataclasses import field
from typing import Any

from magnoliaflow.common.codes import Code
from magnoliaflow.common.lifecycle import Phase
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.state import UNKNOWN_AGE_S
from magnoliaflow.policy.caps import Bucket
from magnoliaflow.policy.caps import Cap
from magnoliaflow.policy.engines import Engine
from magnoliaflow.policy.placement import first_token_s
from magnoliaflow.policy.ratelimit import admit
from magnoliaflow.policy.routes import Account
from magnoliaflow.policy.routes import Route
from magnoliaflow.policy.routes import RouteTable
from magnoliaflow.work.calls import Call

# Retry-After while the configuration is stale; two reads of it fit into this.
STALE_CONFIG_RETRY_AFTER_S = 0.5
# Engines accept priorities from 0 (served first) to 9.  The account's
# priority outweighs the route's.
LOWEST_PRIORITY = 9
ACCOUNT_PRIORITY_WEIGHT = 3


@dataclass(frozen=True, slots=True)
class Refusal:
    """Result code of a refused request and when to retry, None for never.

    ``inputs`` are the values behind the decision, for the log.
    """

    code: Code
    retry_after_s: float | None
    inputs: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ResolvedRoute:
    """Route and account of a request in the current configuration."""

    route_table: RouteTable
    route: Route
    account: Account | None


def resolve_route(
    state: EntryState, call: Call, now: float
) -> ResolvedRoute | Refusal:
    """Return the route and account of a request, or a refusal.

    A stale configuration may lack a new route or key, so it is reported as
    stale instead of as a missing route or an invalid credential.
    """
    route_table = state.route_table
    stale = Refusal(
        Code.PROFILES_STALE,
        STALE_CONFIG_RETRY_AFTER_S,
        {"config_age_s": round(min(UNKNOWN_AGE_S, state.config_age(now)), 3)},
    )
    if route_table is None or state.phase is Phase.STARTING:
        return stale
    if not state.is_config_current(now):
        return stale
    knows_routes = state.knows_routes(now)
    route = route_table.find(call.host, call.path)
    if route is None:
        return Refusal(Code.NO_ROUTE, None) if knows_routes else stale
    if route.anonymous or not route_table.accounts:
        return ResolvedRoute(route_table, route, None)
    if not state.is_config_fresh(now):
        return stale
    name = route_table.keys.get(call.credential)
    if name is None:
        return Refusal(Code.UNAUTHENTICATED, None) if knows_routes else stale
    return ResolvedRoute(route_table, route, route_table.accounts[name])


def charge(
    state: EntryState, account: Account, call: Call, now: float
) -> float | Refusal:
    """Charge a request to its account's cap and return the amount."""
    amount = 1.0
    if account.by_tokens:
        tokens = call.prompt_tokens + call.answer_tokens
        amount = float(
            tokens if call.has_token_counts else account.default_tokens
        )
    state.account_demands[account.name].record(amount, now)
    cap = state.caps.get(account.name)
    if cap is None:
        return 0.0
    wait_s = cap.take(amount, now)
    if wait_s > 0:
        inputs = {"amount": amount, "allowance": round(cap.allowance, 1)}
        return Refusal(
            Code.ACCOUNT_OVER_SHARE, wait_s, inputs | _limit_state(cap)
        )
    state.spent[account.name] += amount
    return amount


def refund(state: EntryState, account: Account, amount: float) -> None:
    """Give the charge of a request that did not run back to the cap."""
    cap = state.caps.get(account.name)
    if cap is not None:
        cap.refund(amount)
        state.spent[account.name] -= amount


def _limit_state(limit: Bucket | Cap) -> dict[str, float]:
    """Return a limit's state for the log, in requests or tokens."""
    return {
        "rate": round(limit.rate, 1),
        "burst": round(limit.burst, 1),
        "share": round(limit.share, 3),
        "left": round(limit.level, 1),
    }


def check_rate_limit(
    state: EntryState, route: Route, engine: Engine, tokens: int, now: float
) -> Refusal | None:
    """Return a refusal if a prompt exceeds the admission rate, else None."""
    bucket = state.rate_limits.get(engine.cfg.backend)
    if bucket is None:
        return None
    queue_s = first_token_s(engine, 0, now)
    wait_s = admit(bucket, tokens, route.priority, queue_s, now)
    if wait_s <= 0:
        return None
    return Refusal(
        Code.DEADLINE_UNREACHABLE,
        wait_s,
        {"amount": tokens, "queue_s": round(queue_s, 3)}
        | _limit_state(bucket),
    )


def engine_priority(route: Route, account: Account | None) -> int:
    """Return a request's priority at its engine; 0 is served first."""
    priority = route.priority
    if account is not None and account.priority is not None:
        priority += ACCOUNT_PRIORITY_WEIGHT * account.priority
    return min(LOWEST_PRIORITY, priority)
