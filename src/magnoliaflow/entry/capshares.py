"""System that deals caps and paces among the hosts."""

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.messages import Beat
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.ticks import system
from magnoliaflow.policy.caps import Bucket
from magnoliaflow.policy.caps import share_of
from magnoliaflow.policy.pacing import set_pace


@system(20)
def deal_shares(state: EntryState) -> None:
    """Set each bucket's share from the demands last told."""
    now = boot_time()
    heard = [row.beat for row in state.heard_hosts(now)]
    leaving = sum(1 for row in state.hosts if row.beat.leaving)
    unheard = max(0, len(state.hosts) - leaving - len(heard))
    _deal_caps(state, heard, unheard, now)
    _deal_paces(state, heard, unheard, now)


def _deal_caps(
    state: EntryState, heard: list[Beat], unheard: int, now: float
) -> None:
    told = [{row.account: row.rate for row in beat.demands} for beat in heard]
    for name, bucket in state.buckets.items():
        bucket.refill(now)
        bucket.share = share_of(
            state.told_demands.get(name, 0.0),
            [rates.get(name, 0.0) for rates in told],
            unheard,
        )


def _deal_paces(
    state: EntryState, heard: list[Beat], unheard: int, now: float
) -> None:
    services = {} if state.book is None else state.book.services
    told = [
        {row.backend: row.tokens_rate for row in beat.services}
        for beat in heard
    ]
    for name, service in services.items():
        if not service.model:
            continue
        engines = [
            row
            for key in state.view.groups.get(name, ())
            if (row := state.view.engines[key]).usable(now)
        ]
        share = share_of(
            state.flows[name].demand.current(now),
            [rates.get(name, 0.0) for rates in told],
            unheard,
        )
        bucket = state.paces.get(name)
        if bucket is None:
            bucket = state.paces[name] = Bucket(0.0, 0.0, at=now)
            set_pace(bucket, engines, share)
            bucket.level = bucket.burst * share
        bucket.refill(now)
        set_pace(bucket, engines, share)
