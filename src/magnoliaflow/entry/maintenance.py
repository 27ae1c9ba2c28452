"""Small systems of the entry process: budgets, waiting requests, gauges."""

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.systems import system
from magnoliaflow.policy.budget import RetryBudget

# Part of the agreed budget that is used: hosts count alone, and a run that
# was killed may have used its own burst up.
BUDGET_SHARE = 0.7


@system(30)
def update_retry_budgets(state: EntryState) -> None:
    """Keep a retry budget for each service: this host's even share."""
    if state.route_table is None:
        return
    hosts = 1 + len(state.peers)
    burst = max(1, int(state.site.retry_extra * BUDGET_SHARE / hosts))
    for name in state.route_table.services:
        budget = state.retry_budgets.get(name)
        if budget is None:
            ratio = state.site.retry_ratio * BUDGET_SHARE
            state.retry_budgets[name] = RetryBudget(ratio=ratio, burst=burst)
        else:
            budget.burst = burst
            budget.balance = min(budget.balance, float(burst))


@system(40)
def dispatch_waiting(state: EntryState) -> None:
    """Look for engines for the requests that wait for one."""
    for handler in list(state.waiting_calls.values()):
        handler.dispatch()


@system(90)
def update_gauges(state: EntryState) -> None:
    """Bring the gauges up to date."""
    now = boot_time()
    state.metrics.in_flight.set(len(state.calls))
    state.metrics.config_age.set(min(1e6, state.config_age(now)))
    state.metrics.engines.set(
        sum(
            1
            for engine in state.routing.engines.values()
            if engine.usable(now)
        )
    )
