"""Messages of roll-outs between hosts: counts and decisions.

Counts go up, decisions come down: between all hosts and the lease holder in a
small deployment, by the publishers of the groups in a large one.  Decisions
name the last counts received from their receiver, which bounds their age.
"""

from math import inf

from magnoliaflow.cluster.leasemanager import host_of
from magnoliaflow.cluster.peers import PeerLinks
from magnoliaflow.cluster.rollouts import HostCounts
from magnoliaflow.cluster.rolloutsteps import add_rows
from magnoliaflow.cluster.rolloutsteps import make_step
from magnoliaflow.cluster.rolloutsteps import tally_rows
from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.messages import HostFact
from magnoliaflow.common.messages import RolloutCount
from magnoliaflow.common.messages import RolloutCounts
from magnoliaflow.common.messages import RolloutDecisions
from magnoliaflow.common.records import RolloutStep
from magnoliaflow.entry.rolloutentries import apply_step
from magnoliaflow.entry.rolloutentries import learn_order
from magnoliaflow.entry.state import EntryState
from magnoliaflow.policy.rollouts import RolloutOrder
from magnoliaflow.policy.rollouts import share_in_force
from magnoliaflow.policy.rollouts import Tallies

# Interval of counts and decisions while an order is in progress and for a
# time after; decisions go on at the second one, for hosts that start later.
DECISIONS_INTERVAL_S = 0.4
ENDED_INTERVAL_S = 2.0
ENDED_DECISIONS_S = 5.0
# Counts that are older may be of a host that has ended.
FRESH_S = 2.0
UNKNOWN_AGE_S = 1e6


class RolloutSender:
    """Sends this host's counts, and decisions to those that it serves."""

    __slots__ = (
        "links",
        "next_counts_at",
        "next_decisions_at",
        "number",
        "sent_change",
        "state",
    )

    def __init__(self, state: EntryState, links: PeerLinks) -> None:
        self.state = state
        self.links = links
        self.number = 0
        self.next_counts_at = -inf
        self.next_decisions_at = -inf
        self.sent_change = -inf

    def tick(self, now: float) -> None:
        """Send what is due."""
        state = self.state
        book = state.rollouts
        if not state.host_settings.judges_rollouts or not (
            book.orders or book.decisions
        ):
            return
        is_recent = self._is_recent(now)
        if is_recent and now >= self.next_counts_at:
            self.next_counts_at = now + DECISIONS_INTERVAL_S
            self.send_counts(now)
        if now >= self.next_decisions_at or book.changed_at > self.sent_change:
            self.sent_change = book.changed_at
            self.next_decisions_at = now + (
                DECISIONS_INTERVAL_S if is_recent else ENDED_INTERVAL_S
            )
            self._send_decisions(now)

    def _is_recent(self, now: float) -> bool:
        book = self.state.rollouts
        return (
            book.any_in_progress() or now < book.changed_at + ENDED_DECISIONS_S
        )

    def send_counts(self, now: float) -> None:
        """Send counts of orders of late towards the lease holder."""
        state = self.state
        if not (state.host_settings.judges_rollouts and self._is_recent(now)):
            return
        self._set_gauges(now)
        holder = host_of(state.lease_manager.holder_identity())
        own = state.host_settings.host
        if holder == own:
            return
        to, group = holder, ""
        counts = state.rollouts.own_counts(now)
        hosts = 1
        if state.uses_groups():
            if state.view.rank() == 0:
                group = state.view.group
                counts, hosts = group_counts(state, counts, now)
            else:
                to = state.view.aggregators(state.view.group)[0]
        address = self._address_of(to)
        if not address or not counts:
            return
        self.number += 1
        state.rollout_counts_sent.append((self.number, now))
        self.links.send(
            address,
            RolloutCounts(
                state.own_fact(now),
                self.number,
                hosts,
                group,
                tuple(counts.values()),
            ),
        )

    def _set_gauges(self, now: float) -> None:
        book = self.state.rollouts
        table = self.state.route_table
        for service, known in book.decisions.items():
            routes = [] if table is None else table.routes_to(service)
            for route in routes:
                self.state.metrics.rollout_share.labels(
                    service, route.name
                ).set(
                    share_in_force(
                        known.decision, route.name, book.age_s(service, now)
                    )
                )

    def _address_of(self, host: str) -> str:
        peer = self.state.peers.get(host)
        if peer is not None:
            return peer.heartbeat.peer_address
        known = self.state.view.hosts.get(host)
        return "" if known is None else known.fact.peer_address

    def _send_decisions(self, now: float) -> None:
        """Send decisions to the hosts that this one serves."""
        state = self.state
        receivers = self._receivers(now)
        if not receivers:
            return
        steps, ages = make_steps(state, now)
        for fact in receivers:
            identity, number = state.rollout_counts_received.get(
                fact.host, ("", -1)
            )
            self.links.send(
                fact.peer_address,
                RolloutDecisions(
                    state.host_settings.host,
                    state.identity,
                    steps,
                    ages,
                    number if identity == fact.identity else -1,
                ),
            )

    def _receivers(self, now: float) -> list[HostFact]:
        state, view = self.state, self.state.view
        holds = state.lease_manager.holds(now)
        # Hosts that leave still send requests, and their counts.
        leaving = [
            row.fact
            for row in state.rollouts.counts.values()
            if row.fact.leaving
            and not row.group
            and now - row.received_at < FRESH_S
        ]
        if not state.uses_groups():
            return [*state.live_hosts(now), *leaving] if holds else []
        hosts: set[str] = set()
        if view.rank() == 0:
            hosts.update(view.members)
        if holds:
            groups = {view.group, *view.groups}
            for group in groups:
                hosts.update(view.aggregators(group))
        hosts.difference_update(fact.host for fact in leaving)
        facts = [view.hosts[host].fact for host in hosts if host in view.hosts]
        return facts + leaving


def make_steps(
    state: EntryState, now: float
) -> tuple[tuple[RolloutStep, ...], tuple[float, ...]]:
    """Return decisions, and orders without one, with their ages."""
    book = state.rollouts
    steps, ages = [], []
    for service in sorted(book.orders.keys() | book.decisions.keys()):
        target, position, stage = book.target_of(service)
        known, order = book.decisions.get(service), book.orders.get(service)
        if known is not None:
            steps.append(make_step(known.decision, known.fence, 0.0))
            ages.append(min(UNKNOWN_AGE_S, now - known.confirmed_at))
        if stage is None and order is not None:
            elapsed = now - order.ordered_at
            steps.append(
                RolloutStep(
                    *(-1, service, target, position, 0, 0),
                    *((), (), elapsed, "", 0.0),
                )
            )
            ages.append(0.0)
    return tuple(steps), tuple(ages)


def group_counts(
    state: EntryState, own: dict[str, RolloutCount], now: float
) -> tuple[dict[str, RolloutCount], int]:
    """Return the counts of this host's group and the number of its hosts."""
    rows = fresh_members(state, now)
    hosts = 1 + sum(
        is_fresh and state.view.is_live(row.fact.host, now)
        for row, is_fresh in rows
    )
    total = {}
    for service, count in own.items():
        tallies: Tallies = {}
        add_rows(tallies, count.tallies, is_live=True)
        lowest, age = count, 0.0
        for row, is_fresh in rows:
            found = row.counts.get(service)
            if found is not None and found.order == count.order:
                add_rows(tallies, found.tallies, is_live=is_fresh)
            if is_fresh and found is not None:
                lowest = min(
                    lowest, found, key=lambda item: (item.order, item.number)
                )
                age = max(age, now - row.received_at + found.age)
        total[service] = RolloutCount(
            service,
            count.order,
            lowest.number if lowest.order == count.order else 0,
            count.stage,
            age,
            tally_rows(tallies),
        )
    return total, hosts


def fresh_members(
    state: EntryState, now: float
) -> list[tuple[HostCounts, bool]]:
    """Return the counts of the own group's hosts, and which are of late.

    The lease holder's are left out: it adds its own.
    """
    view = state.view
    holder = host_of(state.lease_manager.holder_identity())
    return [
        (row, now - row.received_at < FRESH_S and _is_present(state, row))
        for name, row in state.rollouts.counts.items()
        if not row.group
        and view.group_of(name) == view.group
        and name != holder
    ]


def _is_present(state: EntryState, row: HostCounts) -> bool:
    """Return whether no later process of the host has been seen."""
    known = state.view.hosts.get(row.fact.host)
    return known is None or known.fact.identity == row.fact.identity


def handle_rollout_counts(state: EntryState, message: RolloutCounts) -> None:
    """Take in the counts of another host or group."""
    book = state.rollouts
    fact = message.fact
    state.rollout_counts_received[fact.host] = (
        fact.identity,
        message.number,
    )
    name = message.group or fact.host
    book.counts[name] = HostCounts(
        fact,
        {count.backend: count for count in message.counts},
        message.hosts,
        message.group,
        boot_time(),
    )


def handle_rollout_decisions(
    state: EntryState, decisions: RolloutDecisions
) -> None:
    """Take in decisions from another host."""
    if not state.host_settings.judges_rollouts:
        return
    now = boot_time()
    made_after = max(
        (
            at
            for number, at in state.rollout_counts_sent
            if number == decisions.heard_number
        ),
        default=-inf,
    )
    for step, age in zip(decisions.steps, decisions.ages):
        if not step.stage:
            order = RolloutOrder(step.backend, step.target, 0.0, step.order)
            learn_order(state, order, now - step.elapsed, is_new=True)
            continue
        apply_step(state, step, made_after - age)


def rollout_details(state: EntryState) -> list[dict[str, object]]:
    """Return what this host has of roll-outs, for ``explain``."""
    now = boot_time()
    book = state.rollouts
    rows = []
    for service in sorted(book.orders.keys() | book.decisions.keys()):
        target, order, stage = book.target_of(service)
        known = book.decisions.get(service)
        decision = known.decision if known and stage else None
        rows.append(
            {
                "service": service,
                "to": target,
                "stage": stage.name if stage else "ORDERED",
                "number": decision.number if decision else 0,
                "shares": dict(decision.shares) if decision else {},
                "confirmed_s": round(
                    min(UNKNOWN_AGE_S, book.age_s(service, now)), 3
                ),
                "order": order,
                "reason": decision.reason if decision else "",
                "answers": {
                    f"{route}/{'new' if is_target else 'old'}": (
                        f"{tally.finished - tally.failed} good, "
                        f"{tally.failed} bad, {tally.running} open"
                    )
                    for (route, is_target), tally in sorted(
                        book.tallies(service).items()
                    )
                },
            }
        )
    return rows
