"""Admission of a request: its route, its account, its cap and the pace."""

from dataclasses import dataclass
from dataclasses import field
from typing import Any

from magnoliaflow.common.codes import Code
from magnoliaflow.common.lifecycle import Phase
from magnoliaflow.entry.state import EntryState
from magnoliaflow.policy.caps import Bucket
from magnoliaflow.policy.caps import Cap
from magnoliaflow.policy.engines import Engine
from magnoliaflow.policy.placement import first_token_s
from magnoliaflow.policy.ratelimit import admit
from magnoliaflow.policy.routes import Account
from magnoliaflow.policy.routes import Route
from magnoliaflow.policy.routes import RouteTable
from magnoliaflow.work.calls import Call

# A host that lacks a fresh configuration says to come back after this: two
# tries of its read.
STALE_RETRY_S = 0.5
# Engines know priorities from 0, the first, to 9; an account's comes before
# its route's.
LOWEST_PRIORITY = 9
PRIORITY_STEP = 3


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is not served, and when to come back, if ever.

    ``inputs`` are the figures that decided it, for the log.
    """

    code: Code
    retry_after_s: float | None
    inputs: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Entrance:
    """Where the configuration in force lets a request go."""

    book: RouteTable
    route: Route
    account: Account | None


def find_entrance(
    state: EntryState, call: Call, now: float
) -> Entrance | Refusal:
    """Return the route and account of a request, or why there is none.

    A host that may have missed a change says so, and never that a route or
    key is not there.
    """
    book = state.book
    stale = Refusal(Code.PROFILES_STALE, STALE_RETRY_S)
    if book is None or state.phase is Phase.STARTING:
        return stale
    fresh = state.fresh(now)
    route = book.find(call.host, call.path)
    if route is None:
        return Refusal(Code.NO_ROUTE, None) if fresh else stale
    if route.anonymous or not book.accounts:
        return Entrance(book, route, None)
    if not fresh:
        return stale
    name = book.keys.get(call.credential)
    if name is None:
        return Refusal(Code.UNAUTHENTICATED, None)
    return Entrance(book, route, book.accounts[name])


def charge(
    state: EntryState, account: Account, call: Call, now: float
) -> float | Refusal:
    """Take a request out of its account's cap; return what was taken."""
    amount = 1.0
    if account.by_tokens:
        sized = call.prompt_tokens + call.answer_tokens
        amount = float(
            sized if call.has_token_counts else account.default_tokens
        )
    state.demands[account.name].record(amount, now)
    cap = state.caps.get(account.name)
    if cap is None:
        return 0.0
    wait_s = cap.take(amount, now)
    if wait_s > 0:
        inputs = {"amount": amount, "allowance": round(cap.allowance, 1)}
        return Refusal(Code.ACCOUNT_OVER_SHARE, wait_s, inputs | _figures(cap))
    state.spent[account.name] += amount
    return amount


def refund(state: EntryState, account: Account, amount: float) -> None:
    """Return to an account's cap what a request that did not run took."""
    cap = state.caps.get(account.name)
    if cap is not None:
        cap.refund(amount)
        state.spent[account.name] -= amount


def _figures(limit: Bucket | Cap) -> dict[str, float]:
    """Return a limit's state, in requests or tokens."""
    return {
        "rate": round(limit.rate, 1),
        "burst": round(limit.burst, 1),
        "share": round(limit.share, 3),
        "level": round(limit.level, 1),
    }


def pace_refusal(
    state: EntryState, route: Route, engine: Engine, tokens: int, now: float
) -> Refusal | None:
    """Return why a prompt is not admitted now, None if it is."""
    bucket = state.paces.get(engine.cfg.backend)
    if bucket is None:
        return None
    queue_s = first_token_s(engine, 0, now)
    wait_s = admit(bucket, tokens, route.priority, queue_s, now)
    if wait_s <= 0:
        return None
    return Refusal(
        Code.DEADLINE_UNREACHABLE,
        wait_s,
        {"amount": tokens, "queue_s": round(queue_s, 3)} | _figures(bucket),
    )


def rank(route: Route, account: Account | None) -> int:
    """Return a request's priority at its engine, 0 first."""
    own = route.priority
    if account is not None and account.priority is not None:
        own += PRIORITY_STEP * account.priority
    return min(LOWEST_PRIORITY, own)
