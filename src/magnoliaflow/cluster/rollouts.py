"""What one host has of roll-outs: orders, decisions, versions and tallies.

A decision is on the log of the duties, written by the holder of the lease, and
passed on by messages.  What a host has of it therefore has an owner and a
number, and a late or repeated message changes nothing.  Ages are counted by
the receiver's own clock from before it asked.
"""

from collections import Counter
from dataclasses import dataclass
from dataclasses import replace
from math import inf

from magnoliaflow.cluster.positions import era_of
from magnoliaflow.cluster.rolloutsteps import concerns
from magnoliaflow.cluster.rolloutsteps import ENDED
from magnoliaflow.cluster.rolloutsteps import tally_rows
from magnoliaflow.cluster.rolloutversions import ALL_VERSIONS
from magnoliaflow.cluster.rolloutversions import ServiceVersions
from magnoliaflow.common.messages import HostFact
from magnoliaflow.common.messages import RolloutCount
from magnoliaflow.policy.rolloutdecisions import HOLD_S
from magnoliaflow.policy.rollouts import RolloutDecision
from magnoliaflow.policy.rollouts import RolloutOrder
from magnoliaflow.policy.rollouts import RolloutStage
from magnoliaflow.policy.rollouts import sends_to_target
from magnoliaflow.policy.rollouts import share_in_force
from magnoliaflow.policy.rollouts import Tallies
from magnoliaflow.policy.rollouts import VersionTally

# An engine of a version that no order names takes requests this long after it
# was seen first, if the orders have been read to their end since: an order is
# written before the engines of its version register, and passes up to two
# hosts.
UNORDERED_WAIT_S = 2.0
# Time after the end of a roll-out in which the engines of the other version
# stop: the drain of the platform and a few heartbeats.
SETTLE_S = 10.0


@dataclass(slots=True)
class KnownDecision:
    """A decision, when it was last confirmed and since when it is known."""

    decision: RolloutDecision
    fence: int
    confirmed_at: float = -inf
    since: float = -inf


@dataclass(slots=True)
class KnownOrder:
    """An order and when it was written, as far as this host has seen.

    ``is_new``: it was not there when this host began to read.  A duration of
    0 is not known.
    """

    order: RolloutOrder
    ordered_at: float
    is_new: bool
    is_withdrawn: bool = False


@dataclass(slots=True)
class HostCounts:
    """The last counts of another host, or of the hosts of a group."""

    fact: HostFact
    counts: dict[str, RolloutCount]
    hosts: int
    group: str
    received_at: float


class RolloutBook:
    """Orders, decisions and tallies by service."""

    __slots__ = (
        "changed_at",
        "counts",
        "decisions",
        "logged",
        "orders",
        "own_order",
        "own_tallies",
        "running",
        "versions",
    )

    def __init__(self) -> None:
        self.orders: dict[str, KnownOrder] = {}
        self.decisions: dict[str, KnownDecision] = {}
        self.versions: dict[str, ServiceVersions] = {}
        # Decisions on the log, with the era of the store.
        self.logged: dict[str, tuple[int, RolloutDecision]] = {}
        self.own_order: dict[str, int] = {}
        self.own_tallies: dict[str, Tallies] = {}
        # Open attempts by service, route and version.
        self.running: Counter[tuple[str, str, str]] = Counter()
        self.counts: dict[str, HostCounts] = {}
        self.changed_at = -inf

    def learn_order(
        self, order: RolloutOrder, ordered_at: float, *, is_new: bool
    ) -> bool:
        """Take in an order; return whether it was not known.

        A store that went back holds an order at another position: one of a
        later era with the same content is the known one.
        """
        known = self.orders.get(order.service)
        if known is not None and order.position < known.order.position:
            return False
        if known is not None and order.position == known.order.position:
            known.ordered_at = min(known.ordered_at, ordered_at)
            if not known.order.duration_s:
                known.order = order
            return False
        if known is not None and _is_copy(order, known.order):
            known.order = order
            return False
        self.orders[order.service] = KnownOrder(order, ordered_at, is_new)
        if not self._ended_as(order):
            self._versions(order.service).barred.discard(order.target)
        self.changed_at = max(self.changed_at, ordered_at)
        return True

    def withdraw_order(self, service: str, position: int) -> None:
        """Note that the entry of an order was removed."""
        known = self.orders.get(service)
        if known is not None and position > known.order.position:
            known.is_withdrawn = True

    def date_order(self, decision: RolloutDecision, ordered_at: float) -> None:
        """Note that a decision was made so long after its order."""
        known = self.orders.get(decision.service)
        if known is not None and concerns(decision, known.order):
            known.ordered_at = min(known.ordered_at, ordered_at)

    def _ended_as(self, order: RolloutOrder) -> bool:
        known = self.decisions.get(order.service)
        return known is not None and concerns(known.decision, order)

    def decision_for(self, order: RolloutOrder) -> RolloutDecision | None:
        """Return the decision in force on an order, None without one."""
        known = self.decisions.get(order.service)
        if known is None or not concerns(known.decision, order):
            return None
        return known.decision

    def observe(
        self,
        decision: RolloutDecision,
        fence: int,
        confirmed_at: float,
        now: float,
    ) -> bool:
        """Take in a decision; return whether it supersedes the known one."""
        known = self.decisions.get(decision.service)
        if known is not None and _rank(known.decision, known.fence) >= _rank(
            decision, fence
        ):
            if known.decision == decision:
                known.confirmed_at = max(known.confirmed_at, confirmed_at)
            return False
        self.decisions[decision.service] = KnownDecision(
            decision, fence, confirmed_at, now
        )
        self._follow(decision)
        self.changed_at = max(self.changed_at, now)
        return True

    def _follow(self, decision: RolloutDecision) -> None:
        """Note what the end of a roll-out means for later requests."""
        versions = self._versions(decision.service)
        if decision.stage is RolloutStage.COMPLETED:
            versions.old = (versions.in_force | versions.first_seen.keys()) - {
                decision.target
            }
            versions.in_force = {decision.target}
            versions.barred.discard(decision.target)
            versions.seen = set(versions.first_seen)
        elif decision.stage is RolloutStage.ROLLED_BACK:
            if versions.in_force == {decision.target}:
                return
            versions.barred.add(decision.target)
            versions.in_force.discard(decision.target)
            versions.seen = set(versions.first_seen)

    def _versions(self, service: str) -> ServiceVersions:
        return self.versions.setdefault(service, ServiceVersions())

    def barred(self, service: str) -> set[str]:
        """Return the versions of a service that were rolled back."""
        return self._versions(service).barred

    def target_of(self, service: str) -> tuple[str, int, RolloutStage | None]:
        """Return the last ordered version, the order and the stage.

        The version is empty without an order; the stage is None before the
        first decision.
        """
        order, known = self.orders.get(service), self.decisions.get(service)
        if order is not None and (
            known is None or not concerns(known.decision, order.order)
        ):
            if known is None or known.decision.order < order.order.position:
                return order.order.target, order.order.position, None
        if known is not None:
            decision = known.decision
            return decision.target, decision.order, decision.stage
        return "", -1, None

    def in_progress(self, service: str) -> bool:
        """Return whether an order of a service has not ended."""
        target, _, stage = self.target_of(service)
        return bool(target) and stage not in ENDED

    def has_two_versions(self, service: str, now: float) -> bool:
        """Return whether a roll-out is in progress or has just ended."""
        known = self.decisions.get(service)
        return self.in_progress(service) or (
            known is not None and now < known.since + SETTLE_S
        )

    def any_in_progress(self) -> bool:
        """Return whether any order has not ended."""
        services = self.orders.keys() | self.decisions.keys()
        return any(self.in_progress(service) for service in services)

    def age_s(self, service: str, now: float) -> float:
        """Return the seconds since the decision was confirmed."""
        known = self.decisions.get(service)
        return inf if known is None else now - known.confirmed_at

    def sides(
        self,
        service: str,
        route: str,
        request_id: str,
        registered: dict[str, list[str]],
        *,
        now: float,
        orders_read_at: float,
        began_on: str | None,
    ) -> tuple[tuple[str, ...], ...]:
        """Return versions in order of preference, empty for no restriction.

        ``registered``: engines by version; ``orders_read_at``: when the
        orders were last read to their end; ``began_on``: the version to which
        the request was sent before.
        """
        versions = self._versions(service)
        usable = versions.note(registered, now)
        target, _, stage = self.target_of(service)
        if not target or stage in ENDED:
            return versions.without_order(
                usable, min(now, orders_read_at) - UNORDERED_WAIT_S
            )
        barred = versions.barred
        others = tuple(
            name for name in usable if name != target and name not in barred
        )
        is_only = versions.seen - barred == {target}
        if not others and (is_only or target in versions.in_force):
            return ALL_VERSIONS if barred.isdisjoint(usable) else ((target,),)
        known = self.decisions.get(service)
        decision = None if known is None or stage is None else known.decision
        age_s = self.age_s(service, now)
        is_target = sends_to_target(decision, route, request_id, age_s)
        if began_on is not None:
            holds = stage is RolloutStage.FULL or age_s <= HOLD_S
            is_target = holds and began_on == target
        if not others and share_in_force(decision, route, age_s) > 0.0:
            # Nothing else serves it; the share is 0 once the budget is spent.
            is_target = True
        if stage is RolloutStage.FULL and target in usable:
            # Only what began there before runs on old engines, and is counted.
            if began_on is None:
                return ((target,),)
        if is_target:
            return ((target,), others)
        if stage is RolloutStage.FULL:
            return (others, (target,))
        return (others,)

    def tally(self, service: str, route: str, version: str) -> VersionTally:
        """Return the own tally of a version's side since the last order.

        What runs is counted apart, as it may have begun before the order.
        """
        target, order, _ = self.target_of(service)
        if self.own_order.get(service) != order:
            self.own_order[service] = order
            self.own_tallies[service] = {}
        return self.own_tallies[service].setdefault(
            (route, version == target), VersionTally()
        )

    def tallies(self, service: str) -> Tallies:
        """Return the own tallies since the last order, with what runs."""
        target, order, _ = self.target_of(service)
        tallies: Tallies = {}
        if self.own_order.get(service) == order:
            tallies = {
                key: replace(tally, latencies=list(tally.latencies))
                for key, tally in self.own_tallies[service].items()
            }
        for (name, route, version), count in self.running.items():
            if name == service and count:
                tallies.setdefault(
                    (route, version == target), VersionTally()
                ).running += count
        return tallies

    def own_counts(self, now: float) -> dict[str, RolloutCount]:
        """Return this host's counts of the orders that it has."""
        counts = {}
        for service in self.orders.keys() | self.decisions.keys():
            _, order, stage = self.target_of(service)
            known = self.decisions.get(service)
            number = known.decision.number if known and stage else 0
            counts[service] = RolloutCount(
                service,
                order,
                number,
                int(stage or 0),
                0.0,
                tally_rows(self.tallies(service)),
            )
        return counts


def _is_copy(order: RolloutOrder, known: RolloutOrder) -> bool:
    return (
        era_of(order.position) > era_of(known.position)
        and replace(order, position=known.position) == known
    )


def _rank(decision: RolloutDecision, fence: int) -> tuple[int, bool, int, int]:
    """Return the order of decisions; the end of an order stays."""
    return (
        decision.order,
        decision.stage in ENDED,
        fence,
        decision.number,
    )
