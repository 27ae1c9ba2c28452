"""How caps and paces are dealt among the hosts."""

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.entry.state import beat_period
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.state import Host
from magnoliaflow.entry.ticks import system
from magnoliaflow.policy.caps import Bucket
from magnoliaflow.policy.caps import granted_limit
from magnoliaflow.policy.caps import host_share
from magnoliaflow.policy.caps import Limit
from magnoliaflow.policy.ratelimit import set_rate_limit
from magnoliaflow.policy.routes import Account


def limit_of(state: EntryState, account: Account) -> Limit:
    """Return what is granted of an account's cap in this deployment."""
    site = state.site
    return granted_limit(
        account.rate,
        account.burst,
        overage=site.cap_overage,
        tolerance=site.cap_tolerance if account.by_tokens else 0.0,
        heartbeat_period_s=beat_period(len(state.hosts)),
    )


def deal_caps(state: EntryState, now: float) -> None:
    """Deal each cap anew, as this host tells the others what it took."""
    heard = state.heard_hosts(now)
    dealt = _dealt(state, heard)
    told = [
        {row.account: row.rate for row in host.beat.demands} for host in heard
    ]
    accounts = {} if state.book is None else state.book.accounts
    for name, cap in state.caps.items():
        limit = limit_of(state, accounts[name])
        cap.rate, cap.burst = limit.rate, limit.burst
        others = [rates.get(name, 0.0) for rates in told]
        share = host_share(state.told_demands.get(name, 0.0), others)
        cap.set_shares(share, dealt, now)


@system(20)
def deal_paces(state: EntryState) -> None:
    """Set each pace's share from the demands last told."""
    now = boot_time()
    heard = state.heard_hosts(now)
    dealt = _dealt(state, heard)
    services = {} if state.book is None else state.book.services
    told = [
        {row.backend: row.tokens_rate for row in host.beat.services}
        for host in heard
    ]
    for name, service in services.items():
        if not service.model:
            continue
        engines = [
            row
            for key in state.view.groups.get(name, ())
            if (row := state.view.engines[key]).usable(now)
        ]
        share = dealt * host_share(
            state.flows[name].demand.current(now),
            [rates.get(name, 0.0) for rates in told],
        )
        bucket = state.paces.get(name)
        if bucket is None:
            bucket = state.paces[name] = Bucket(0.0, 0.0, updated_at=now)
            set_rate_limit(bucket, engines, share)
            bucket.level = bucket.burst * share
        bucket.refill(now)
        set_rate_limit(bucket, engines, share)


def _dealt(state: EntryState, heard: list[Host]) -> float:
    """Return the part of a limit for this host and those that it hears.

    Each host that has fallen silent keeps an even part; one that leaves
    keeps none.
    """
    leaving = sum(1 for row in state.hosts if row.beat.leaving)
    hosts = max(1 + len(state.hosts) - leaving, 1 + len(heard))
    return (1 + len(heard)) / hosts
