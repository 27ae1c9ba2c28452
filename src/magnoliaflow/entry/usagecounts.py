"""Usage counts between the hosts of a large deployment.

Each host sends all of its counts to the lease holder.  The aggregators of its
group get what has changed with each report, so that the counts of a host that
is killed survive: the aggregators send them to the holder and each other.
"""

from collections.abc import Iterable

from magnoliaflow.cluster.leasemanager import host_of
from magnoliaflow.cluster.peers import PeerLinks
from magnoliaflow.common.messages import ProcessUsage
from magnoliaflow.common.messages import UsageCount
from magnoliaflow.common.messages import UsageCounts
from magnoliaflow.entry.state import EntryState
from magnoliaflow.policy.usage import KEPT_WINDOWS

# Usage counts go to the lease holder at this interval, so that several fit
# into the delay of a usage report.
USAGE_INTERVAL_S = 1.6
# Minimum interval, also while the lease changes hands.
MIN_INTERVAL_S = 0.4
# Named for counts that nothing shows to be complete.
NEVER_COMPLETE = -1.0


class UsageSender:
    """Sends this host's counts, and those of hosts that have ended."""

    __slots__ = ("last_holder", "links", "next_at", "sent_at", "state")

    def __init__(self, state: EntryState, links: PeerLinks) -> None:
        self.state = state
        self.links = links
        self.next_at = 0.0
        self.last_holder = ""
        self.sent_at = 0.0

    def tick(self, now: float) -> None:
        """Send the counts when they are due, and at once to a new holder.

        Forget old ones, also if this host reports no usage.
        """
        usage = self.state.usage
        usage.forget_around(usage.window(self.state.true_time(now)))
        if not self.state.uses_groups():
            return
        holder = self.state.lease_manager.holder_identity()
        is_new = holder != self.last_holder
        if is_new and now < self.sent_at + MIN_INTERVAL_S:
            return
        if is_new or now >= self.next_at:
            self.sent_at = now
            self.next_at = now + USAGE_INTERVAL_S
            self.last_holder = holder
            self.send(now)

    def send(self, now: float) -> None:
        """Send counts to the lease holder, and to the group's aggregators.

        These keep copies, so that the counts of a host that ended survive a
        change of the lease holder, and pass them on.
        """
        state = self.state
        view = state.view
        holder = state.lease_manager.holder_identity()
        hosts = {host_of(holder)} if holder else set()
        hosts.update(view.aggregators(view.group))
        message = usage_counts(state, now)
        for host in hosts:
            known = view.hosts.get(host)
            if known is not None:
                self.links.send(known.fact.peer_address, message)


def usage_rows(
    rows: Iterable[tuple[int, str, int]],
) -> tuple[UsageCount, ...]:
    """Return (window, account, count) rows as a message names them."""
    return tuple(
        UsageCount(account, window, count) for window, account, count in rows
    )


def recent_rows(
    state: EntryState, identity: str, now: float
) -> list[tuple[int, str, int]]:
    """Return the rows of one process that a report may still need."""
    current = state.usage.window(state.true_time(now))
    return state.usage.counts_for(identity, current - KEPT_WINDOWS)


def usage_counts(state: EntryState, now: float) -> UsageCounts:
    """Return this process's counts, and those that it sends on."""
    rows = usage_rows(recent_rows(state, state.identity, now))
    ended = tuple(
        ProcessUsage(
            identity,
            usage_rows(recent_rows(state, identity, now)),
            state.usage.until.get(identity, NEVER_COMPLETE),
        )
        for identity in _ended_identities(state, now)
    )
    return UsageCounts(state.identity, rows, state.true_time(now), ended)


def _ended_identities(state: EntryState, now: float) -> list[str]:
    """Return the ended processes of its group, for an aggregator."""
    view = state.view
    if not view.is_aggregator():
        return []
    live = {fact.identity for fact in view.live_hosts(now)}
    return [
        identity
        for identity in state.usage.identities()
        if identity not in live
        and identity != state.identity
        and view.in_group(host_of(identity))
    ]


def merge_usage(
    state: EntryState, identity: str, usage: Iterable[UsageCount]
) -> None:
    """Merge usage counts of another process."""
    for row in usage:
        state.usage.merge(identity, row.account, row.window, row.count)


def handle_usage_counts(
    state: EntryState, sender: str, message: UsageCounts, now: float
) -> None:
    """Merge all usage counts of another process.

    Earlier versions name no time; what a process sends of itself was complete
    just before, but not what another one has of it.
    """
    merge_usage(state, message.identity, message.usage)
    for counts in message.ended:
        merge_usage(state, counts.identity, counts.usage)
        if counts.until != NEVER_COMPLETE:
            state.usage.complete(counts.identity, counts.until)
    until = message.until
    if until is None and sender == message.identity:
        until = state.true_time(now)
    if until is not None:
        state.usage.complete(message.identity, until)
