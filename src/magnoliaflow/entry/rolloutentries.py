"""Orders and decisions of roll-outs, as they are read and taken in."""

from math import inf

from magnoliaflow.cluster.positions import make_position
from magnoliaflow.cluster.rollouts import KnownOrder
from magnoliaflow.cluster.rolloutsteps import decision_of
from magnoliaflow.cluster.rolloutsteps import ENDED
from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.errors import PortError
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.records import RolloutStep
from magnoliaflow.entry.state import EntryState
from magnoliaflow.platform.rollouts import decode_order
from magnoliaflow.platform.rollouts import service_of
from magnoliaflow.platform.store import Entry
from magnoliaflow.policy.rollouts import RolloutOrder

# Services with an order, whose decisions go to all hosts.
MAX_ORDERS = 256
# Longest time for which a decision on the log is taken as older than its
# reader's clock shows.
MAX_LOGGED_AGE_S = 3600.0
# Shortest time taken for the duration of an order that is gone.
MIN_DURATION_S = 1.0


def apply_step(
    state: EntryState, step: RolloutStep, confirmed_at: float
) -> None:
    """Take in a decision, confirmed as the newest at a time."""
    now = boot_time()
    decision = decision_of(step)
    if decision is None:
        state.log(
            LogEvent.RECORD_UNREADABLE,
            reason=f"roll-out of {step.backend[:64]!r}: stage {step.stage}",
        )
        return
    if state.rollouts.observe(decision, step.fence, confirmed_at, now):
        state.log(
            LogEvent.ROLLOUT_APPLIED,
            service=decision.service,
            to=decision.target,
            stage=decision.stage.name,
            number=decision.number,
            shares=dict(decision.shares),
            order=decision.order,
            fence=step.fence,
            reason=decision.reason,
        )


def apply_logged_step(state: EntryState, step: RolloutStep, era: int) -> None:
    """Take in a decision that is on the log of the duties."""
    if not state.host_settings.judges_rollouts:
        return
    now = boot_time()
    apply_step(state, step, -inf)
    decision = decision_of(step)
    if decision is None:
        return
    state.rollouts.logged[step.backend] = (era, decision)
    age = min(
        MAX_LOGGED_AGE_S, max(0.0, state.true_time(now) - step.written_at)
    )
    state.rollouts.date_order(decision, now - age - step.elapsed)


def lost_orders(state: EntryState, since: float) -> list[KnownOrder]:
    """Return orders in progress that are gone, with the time they had.

    The store was read to its end after a time, and the decision is on none of
    the orders, or on one of which only the target is known.
    """
    book = state.rollouts
    if state.orders_read_at < since:
        return []
    lost = []
    for service, last in book.decisions.items():
        decision, known = last.decision, book.orders.get(service)
        has_order = (
            known is not None
            and known.order.duration_s > 0
            and known.order.position >= decision.order
        )
        if decision.stage not in ENDED and not has_order:
            order = RolloutOrder(
                *(service, decision.target),
                *(max(MIN_DURATION_S, decision.elapsed_s), decision.order),
            )
            ordered_at = last.since - decision.elapsed_s
            lost.append(KnownOrder(order, ordered_at, False))
    return lost


def take_order_entry(
    state: EntryState, entry: Entry, era: int, *, is_new: bool
) -> None:
    """Take in an entry beside the configuration if it orders a roll-out."""
    service = service_of(entry.key)
    if not service or not state.host_settings.judges_rollouts:
        return
    position = make_position(era, entry.offset)
    orders = state.rollouts.orders
    if entry.value is None:
        state.rollouts.withdraw_order(service, position)
        return
    if service not in orders and len(orders) >= MAX_ORDERS:
        state.log(
            LogEvent.RECORD_UNREADABLE,
            reason=f"more than {MAX_ORDERS} services with roll-outs",
        )
        return
    try:
        order = decode_order(entry.key, entry.value, position)
    except PortError as exc:
        state.log(LogEvent.RECORD_UNREADABLE, reason=str(exc)[:200])
        return
    learn_order(state, order, boot_time(), is_new=is_new)


def learn_order(
    state: EntryState, order: RolloutOrder, ordered_at: float, *, is_new: bool
) -> None:
    """Take in an order and log it once."""
    if state.rollouts.learn_order(order, ordered_at, is_new=is_new):
        state.log(
            LogEvent.ROLLOUT_ORDERED,
            service=order.service,
            to=order.target,
            duration_s=order.duration_s,
            order=order.position,
            is_new=is_new,
        )
