"""Division of account caps and admission rates among the hosts."""

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.state import load_age
from magnoliaflow.entry.systems import system
from magnoliaflow.policy.caps import Bucket
from magnoliaflow.policy.caps import granted_limit
from magnoliaflow.policy.caps import host_share
from magnoliaflow.policy.caps import Limit
from magnoliaflow.policy.ratelimit import set_rate_limit
from magnoliaflow.policy.routes import Account

# Demand and engines change little within this time.
RATE_UPDATE_INTERVAL_S = 0.2


def account_limit(state: EntryState, account: Account) -> Limit:
    """Return the limit granted to an account over all hosts."""
    host_settings = state.host_settings
    return granted_limit(
        account.rate,
        account.burst,
        overage=host_settings.cap_overage,
        tolerance=host_settings.cap_tolerance if account.by_tokens else 0.0,
        heartbeat_interval_s=load_age(state),
    )


def update_cap_shares(state: EntryState, now: float) -> None:
    """Recompute this host's cap shares before it reports its usage."""
    live_hosts = len(state.live_hosts(now))
    live_share = _live_share(state, live_hosts)
    others = state.others_demand(now)
    accounts = {} if state.route_table is None else state.route_table.accounts
    for name, cap in state.caps.items():
        limit = account_limit(state, accounts[name])
        cap.rate, cap.burst = limit.rate, limit.burst
        local_rate = state.reported_demands.get(name, 0.0)
        others_rate = max(0.0, others.rates.get(name, 0.0))
        cap.set_shares(
            host_share(local_rate, others_rate, live_hosts),
            live_share,
            now,
            unseen_use=(local_rate + others_rate) * load_age(state),
        )


@system(20)
def update_rate_limits(state: EntryState) -> None:
    """Set this host's admission rates from the last reported demands."""
    now = boot_time()
    if now < state.next_rate_update_at:
        return
    state.next_rate_update_at = now + RATE_UPDATE_INTERVAL_S
    live_hosts = len(state.live_hosts(now))
    live_share = _live_share(state, live_hosts)
    services = {} if state.route_table is None else state.route_table.services
    others = state.others_demand(now)
    for name, service in services.items():
        if not service.model:
            continue
        engines = [
            engine
            for key in state.routing.groups.get(name, ())
            if (engine := state.routing.engines[key]).usable(now)
        ]
        share = live_share * host_share(
            state.local_loads[name].demand.current(now),
            others.services.get(name, (0.0, 0.0))[0],
            live_hosts,
        )
        bucket = state.rate_limits.get(name)
        remembered = state.remembered_rates.get(name, 0.0)
        if bucket is None:
            bucket = state.rate_limits[name] = Bucket(0.0, 0.0, updated_at=now)
            set_rate_limit(bucket, engines, share, remembered)
            bucket.level = bucket.burst * share
        bucket.refill(now)
        set_rate_limit(bucket, engines, share, remembered)


def _live_share(state: EntryState, live_hosts: int) -> float:
    """Return the share of a limit that this host and the live ones divide.

    Each silent host keeps an even share, since it may still be serving; a
    leaving host keeps none.
    """
    hosts = max(state.host_count() - state.leaving_hosts(), 1 + live_hosts)
    return (1 + live_hosts) / hosts
