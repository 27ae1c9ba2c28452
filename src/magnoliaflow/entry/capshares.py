"""System that keeps this host's shares of the usage caps up to date."""

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.ticks import system
from magnoliaflow.policy.caps import share_of


@system(20)
def deal_caps(state: EntryState) -> None:
    """Set each bucket's share from the demands last told."""
    now = boot_time()
    heard = [row.beat for row in state.heard_hosts(now)]
    leaving = sum(1 for row in state.hosts if row.beat.leaving)
    unheard = len(state.hosts) - leaving - len(heard)
    told = [{row.account: row.rate for row in beat.demands} for beat in heard]
    for name, bucket in state.buckets.items():
        bucket.refill(now)
        bucket.share = share_of(
            state.told_demands.get(name, 0.0),
            [rates.get(name, 0.0) for rates in told],
            max(0, unheard),
        )
