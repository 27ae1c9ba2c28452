"""The duty of roll-outs: decides, puts decisions on the log, writes status.

A decision is in force once it is on the log of the duties, to which only the
holder of the lease can append.  Another holder reads it there and goes on.
"""

from dataclasses import replace
from math import inf
from typing import Any

from twisted.internet.defer import inlineCallbacks

from magnoliaflow.cluster.rollouts import HostCounts
from magnoliaflow.cluster.rollouts import KnownOrder
from magnoliaflow.cluster.rolloutsteps import add_rows
from magnoliaflow.cluster.rolloutsteps import ENDED
from magnoliaflow.cluster.rolloutsteps import ended_as
from magnoliaflow.cluster.rolloutsteps import ended_before
from magnoliaflow.cluster.rolloutsteps import first_step
from magnoliaflow.cluster.rolloutsteps import make_step
from magnoliaflow.cluster.rolloutsteps import moved_to
from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.errors import PortError
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.records import Record
from magnoliaflow.entry.duties import DutyLog
from magnoliaflow.entry.followers import record_store_failure
from magnoliaflow.entry.rolloutentries import lost_orders
from magnoliaflow.entry.rolloutmessages import FRESH_S
from magnoliaflow.entry.rolloutstatus import StatusWriter
from magnoliaflow.entry.state import EntryState
from magnoliaflow.platform.rollouts import decode_final
from magnoliaflow.platform.rollouts import status_key
from magnoliaflow.platform.store import STATUS_TOPIC
from magnoliaflow.platform.store import StoreClient
from magnoliaflow.policy.rollouts import RolloutDecision
from magnoliaflow.policy.rollouts import RolloutLimits
from magnoliaflow.policy.rollouts import RolloutPlan
from magnoliaflow.policy.rollouts import RolloutStage
from magnoliaflow.policy.rollouts import Tallies

# Interval of the steps of a plan: half of that of the counts.
STEP_INTERVAL_S = 0.2
# Retry delay after a failed call to the store.
RETRY_DELAY_S = 0.2
# A status is put again so long after a takeover: what the former holder has
# sent may land late.
RESTATE_S = 2.0


class RolloutDuty:
    """Runs one plan for each order while this host holds the lease."""

    __slots__ = (
        "busy",
        "checked",
        "complete",
        "duty_log",
        "holds_since",
        "next_step_at",
        "plans",
        "state",
        "status",
        "store",
    )

    def __init__(
        self, state: EntryState, duty_log: DutyLog, store: StoreClient
    ) -> None:
        self.state = state
        self.duty_log = duty_log
        self.store = store
        self.busy = False
        self.next_step_at = -inf
        self.holds_since = inf
        # Order and time at which the counts last covered all hosts.
        self.complete: dict[str, tuple[int, float]] = {}
        self.plans: dict[str, RolloutPlan] = {}
        self.checked: dict[str, int] = {}
        self.status = StatusWriter(state, store)

    def tick(self, now: float) -> None:
        """Decide on every order, then write the status that is due."""
        state = self.state
        if not state.host_settings.judges_rollouts:
            return
        if not state.lease_manager.holds(now):
            self._reset()
            return
        if not self.duty_log.caught_up:
            return
        if self.holds_since == inf:
            self.holds_since = now
        for service, last in state.rollouts.decisions.items():
            plan = self.plans.get(service)
            if last.decision.stage in ENDED or (
                plan is not None and plan.order.position == last.decision.order
            ):
                last.confirmed_at = now
        self.status.tick(
            now, self.duty_log.era, settled_at=self.holds_since + RESTATE_S
        )
        if self.busy or self.duty_log.busy or now < self.next_step_at:
            return
        self.next_step_at = now + STEP_INTERVAL_S
        for order in state.rollouts.orders.values():
            decision = self._decide(order, now)
            if decision is not None:
                self._start(self._append(decision))
            if self.busy:
                return
        for order in lost_orders(state, self.holds_since):
            decision = self._end_lost(order, now)
            if decision is not None:
                self._start(self._append(decision))
                return

    def _end_lost(
        self, known: KnownOrder, now: float
    ) -> RolloutDecision | None:
        """Return the end of an order that is gone, None while it may run.

        From FULL on old engines may have stopped: it is judged to its end.
        """
        decision = self.state.rollouts.decisions[known.order.service].decision
        if decision.stage is RolloutStage.FULL:
            return self._step(known, decision, now)
        return ended_as(decision, RolloutStage.ROLLED_BACK, "order is gone")

    def _reset(self) -> None:
        """Forget what only a holder has; the next one begins anew."""
        if self.holds_since < inf:
            self.plans.clear()
            self.status.written.clear()
            self.checked.clear()
            self.complete.clear()
            self.holds_since = inf

    def _start(self, work: Any) -> None:
        self.busy = True
        work.addBoth(self._finished)

    def _finished(self, result: Any) -> None:
        self.busy = False
        if result is not None:
            self.state.record_fault("rollout duty", result.value)

    def _decide(self, known: KnownOrder, now: float) -> RolloutDecision | None:
        """Return a decision to put on the log, None if nothing changes."""
        book, service = self.state.rollouts, known.order.service
        order = known.order
        last = book.decisions.get(service)
        decision = book.decision_for(order)
        if decision is None and last is not None:
            if last.decision.order > order.position:
                return None
            if last.decision.stage not in ENDED:
                return ended_as(
                    last.decision,
                    RolloutStage.ROLLED_BACK,
                    "another order replaces this one",
                )
        if decision is not None and decision.order != order.position:
            return moved_to(decision, order.position)
        if decision is not None and book.logged.get(service) != (
            self.duty_log.era,
            decision,
        ):
            return decision
        if decision is not None and decision.stage in ENDED:
            return None
        found = self._ended_elsewhere(known, decision)
        if found is not None:
            return found
        if not order.duration_s:
            return None
        if decision is None and not known.is_new:
            if self.checked.get(service) != order.position:
                self._start(self._read_status(known))
                return None
        return self._step(known, decision, now)

    def _ended_elsewhere(
        self, known: KnownOrder, decision: RolloutDecision | None
    ) -> RolloutDecision | None:
        """Return the end of an order that is at hosts but not on the log."""
        order = known.order
        for row in self.state.rollouts.counts.values():
            count = row.counts.get(order.service)
            if (
                count is not None
                and count.order == order.position
                and count.stage in ENDED
            ):
                base = decision or first_step(known.order)
                return ended_as(
                    replace(base, number=max(base.number, count.number)),
                    RolloutStage(count.stage),
                    "other hosts have this decision",
                )
        return None

    def _step(
        self, known: KnownOrder, decision: RolloutDecision | None, now: float
    ) -> RolloutDecision | None:
        state, order = self.state, known.order
        service = order.service
        elapsed_s = max(0.0, now - known.ordered_at)
        plan = self.plans.get(service)
        if plan is None or plan.order != order:
            plan = self._make_plan(known, decision, elapsed_s)
            self.plans[service] = plan
        # A decision whose append failed was never in force.
        plan.decision = decision
        if known.is_withdrawn:
            return plan.withdraw(elapsed_s)
        tallies, counts_age_s, in_force = self._gather(
            order.position, known, now
        )
        engines = [
            entry
            for entry in state.registry.entries.values()
            if entry.backend == service
            and not entry.gone
            and not entry.leaving
        ]
        barred = state.rollouts.barred(service)
        target = sum(entry.version == order.target for entry in engines)
        old = sum(
            entry.version not in (order.target, *barred) for entry in engines
        )
        made = plan.step(
            elapsed_s,
            tallies,
            counts_age_s=counts_age_s,
            hosts_in_force=in_force,
            target_engines=target,
            old_engines=old,
        )
        if made is not None:
            state.log(
                LogEvent.ROLLOUT_DECIDED,
                service=service,
                to=order.target,
                stage=made.stage.name,
                number=made.number,
                shares=dict(made.shares),
                elapsed_s=round(elapsed_s, 3),
                counts_age_s=round(counts_age_s, 3),
                engines=[target, old],
                answers={
                    f"{route}/{'new' if is_target else 'old'}": [
                        tally.sent,
                        tally.finished,
                        tally.failed,
                        tally.running,
                    ]
                    for (route, is_target), tally in sorted(tallies.items())
                },
                reason=made.reason,
            )
        return made

    def _make_plan(
        self,
        known: KnownOrder,
        decision: RolloutDecision | None,
        elapsed_s: float,
    ) -> RolloutPlan:
        state, order = self.state, known.order
        settings, table = state.host_settings, state.route_table
        routes = [] if table is None else table.routes_to(order.service)
        versions = state.rollouts.versions.get(order.service)
        return RolloutPlan(
            order,
            RolloutLimits(
                settings.exposure_share,
                settings.exposure_tolerance,
                settings.rollback_s,
            ),
            {route.name: route.target_s for route in routes},
            elapsed_s=elapsed_s,
            previous=decision,
            serving=(
                decision is None
                and versions is not None
                and order.target in versions.in_force
            ),
        )

    def _gather(
        self, position: int, known: KnownOrder, now: float
    ) -> tuple[Tallies, float, bool]:
        """Return all tallies, their age, and whether all hosts are current.

        Hosts are current that route by the last decision.
        """
        state, service = self.state, known.order.service
        book = state.rollouts
        decision = book.decision_for(known.order)
        tallies = book.tallies(service)
        live = {fact.host: fact.identity for fact in state.live_hosts(now)}
        groups = {state.view.group_of(host) for host in live}
        hosts, age_s, in_force = 1, 0.0, True
        for name, row in self._rows():
            is_fresh = now - row.received_at < FRESH_S
            is_live = (
                row.group in groups
                if row.group
                else live.get(name) == row.fact.identity
            )
            count = row.counts.get(service)
            if count is None or count.order != position:
                in_force = in_force and not (is_live and is_fresh)
                continue
            add_rows(tallies, count.tallies, is_live=is_live or is_fresh)
            is_behind = decision is None or count.number < decision.number
            if is_behind and (is_live or is_fresh):
                in_force = False
            if not is_live:
                continue
            hosts += row.hosts
            age_s = max(age_s, now - row.received_at + count.age)
        order, complete_at = self.complete.get(service, (-1, -inf))
        if order != position:
            complete_at = max(self.holds_since, known.ordered_at)
        if hosts >= 1 + len(live):
            complete_at = now
        else:
            in_force = False
        self.complete[service] = position, complete_at
        return tallies, max(age_s, now - complete_at), in_force

    def _rows(self) -> list[tuple[str, HostCounts]]:
        """Return the counts that together cover every host once."""
        state = self.state
        rows = state.rollouts.counts.items()
        if not state.uses_groups():
            return [(name, row) for name, row in rows if not row.group]
        view = state.view
        publishes = view.rank() == 0
        return [
            (name, row)
            for name, row in rows
            if (
                not (publishes and row.group == view.group)
                if row.group
                else publishes and view.group_of(name) == view.group
            )
        ]

    @inlineCallbacks
    def _append(self, decision: RolloutDecision) -> Any:
        """Put a decision on the log; it is in force from then on."""
        state = self.state
        fence = state.lease_manager.fence
        record = Record(
            f"rollout-{state.identity}-{decision.service}-"
            f"{decision.order}-{decision.number}",
            make_step(decision, fence, state.true_time(boot_time())),
        )
        self.duty_log.busy = True
        try:
            appended = yield self.duty_log.append(record)
        finally:
            self.duty_log.busy = False
        if appended:
            self.next_step_at = -inf

    @inlineCallbacks
    def _read_status(self, known: KnownOrder) -> Any:
        """Read whether an order that may be old has ended already."""
        order = known.order
        try:
            page = yield self.store.read_newest(STATUS_TOPIC)
        except PortError as exc:
            record_store_failure(self.state, "status", exc)
            self.next_step_at = boot_time() + RETRY_DELAY_S
            return
        self.checked[order.service] = order.position
        for entry in page.entries:
            if entry.key != status_key(order.service):
                continue
            try:
                final = decode_final(entry.value or b"{}")
            except PortError as exc:
                self.state.log(LogEvent.RECORD_UNREADABLE, reason=str(exc))
                continue
            if final is None or final[1] != order.target:
                continue
            _, last = self.state.rollouts.logged.get(order.service, (0, None))
            if last is not None and ended_before(last, order, final[0]):
                continue
            if not self.state.lease_manager.holds(boot_time()):
                return
            yield self._append(
                ended_as(
                    first_step(known.order), final[0], "status in the store"
                )
            )
