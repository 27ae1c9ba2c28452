"""Systems for retry budgets, waiting requests and gauges."""

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.systems import system
from magnoliaflow.policy.budget import RetryBudget

# Share of the agreed retry budget that is used: hosts do not share their
# counts, and a killed process may have used up its own burst.
BUDGET_SHARE = 0.7
# Metrics are read no more often than this.
GAUGE_INTERVAL_S = 1.0


@system(30)
def update_retry_budgets(state: EntryState) -> None:
    """Set this host's even share of each service's retry budget."""
    if state.route_table is None:
        return
    hosts = state.host_count()
    burst = max(1, int(state.host_settings.retry_extra * BUDGET_SHARE / hosts))
    for name in state.route_table.services:
        budget = state.retry_budgets.get(name)
        if budget is None:
            ratio = state.host_settings.retry_ratio * BUDGET_SHARE
            state.retry_budgets[name] = RetryBudget(ratio=ratio, burst=burst)
        else:
            budget.burst = burst
            budget.balance = min(budget.balance, float(burst))


@system(40)
def dispatch_waiting(state: EntryState) -> None:
    """Dispatch the requests that wait for an engine."""
    for handler in list(state.waiting_calls.values()):
        handler.dispatch()


@system(90)
def update_gauges(state: EntryState) -> None:
    """Set the gauges from the state."""
    now = boot_time()
    if now < state.next_gauges_at:
        return
    state.next_gauges_at = now + GAUGE_INTERVAL_S
    state.metrics.in_flight.set(len(state.calls))
    state.metrics.config_age.set(min(1e6, state.config_age(now)))
    state.metrics.engines.set(
        sum(
            1
            for engine in state.routing.engines.values()
            if engine.usable(now)
        )
    )
