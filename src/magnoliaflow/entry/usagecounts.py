"""Usage counts between the hosts of a large deployment.

Each host sends all of its counts to the lease holder.  The aggregators of its
group get what has changed with each report, so that the counts of a host that
is killed survive: the aggregators send them to the holder and each other.
"""

from collections.abc import Iterable

from magnoliaflow.cluster.leasemanager import host_of
from magnoliaflow.cluster.peers import PeerLinks
from magnoliaflow.common.messages import UsageCount
from magnoliaflow.common.messages import UsageCounts
from magnoliaflow.entry.state import EntryState

# Usage counts go to the lease holder at this interval, so that several fit
# into the delay of a usage report.
USAGE_INTERVAL_S = 1.6
# Named for counts that nothing shows to be complete; 0 is what earlier
# versions send.
NEVER_COMPLETE = -1.0


class UsageSender:
    """Sends this host's counts, and those of hosts that have ended."""

    __slots__ = ("last_holder", "links", "next_at", "state")

    def __init__(self, state: EntryState, links: PeerLinks) -> None:
        self.state = state
        self.links = links
        self.next_at = 0.0
        self.last_holder = ""

    def tick(self, now: float) -> None:
        """Send the counts when they are due, and at once to a new holder."""
        if not self.state.uses_groups():
            return
        holder = self.state.lease_manager.holder_identity()
        if now >= self.next_at or holder != self.last_holder:
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
        live = {fact.identity for fact in view.live_hosts(now)}
        identities = [state.identity]
        if view.is_aggregator():
            identities += [
                identity
                for identity in state.usage.identities()
                if identity not in live and identity != state.identity
            ]
        for host in hosts:
            known = view.hosts.get(host)
            if known is None:
                continue
            for identity in identities:
                self.links.send(
                    known.fact.peer_address,
                    usage_counts(state, identity, now),
                )


def usage_rows(
    rows: Iterable[tuple[int, str, int]],
) -> tuple[UsageCount, ...]:
    """Return (window, account, count) rows as a message names them."""
    return tuple(
        UsageCount(account, window, count) for window, account, count in rows
    )


def usage_counts(state: EntryState, identity: str, now: float) -> UsageCounts:
    """Return the usage counts of one process as far as they are known."""
    until = state.usage.until.get(identity, NEVER_COMPLETE)
    if identity == state.identity:
        until = state.true_time(now)
    rows = usage_rows(state.usage.counts_for(identity))
    return UsageCounts(identity, rows, until)


def merge_usage(
    state: EntryState, identity: str, usage: Iterable[UsageCount]
) -> None:
    """Merge usage counts of another process."""
    for row in usage:
        state.usage.merge(identity, row.account, row.window, row.count)


def handle_usage_counts(
    state: EntryState, message: UsageCounts, now: float
) -> None:
    """Merge all usage counts of another process.

    Earlier versions name no time; what they send was complete just before.
    """
    merge_usage(state, message.identity, message.usage)
    state.usage.complete(
        message.identity, message.until or state.true_time(now)
    )
