"""Retries of a request within its route's bound and the retry budget."""

from typing import Any

from magnoliaflow.common.clocks import boot_time


def may_retry(handler: Any, reason: str) -> bool:
    """Spend a retry if the route and the budget allow another send."""
    state = handler.state
    if handler.attempts_sent >= handler.route.max_engines:
        return False
    if handler.find_hold(boot_time()) is not None:
        return False
    budget = state.retry_budgets.get(handler.service)
    if budget is None or not budget.spend():
        return False
    state.metrics.retries.labels(reason).inc()
    return True
