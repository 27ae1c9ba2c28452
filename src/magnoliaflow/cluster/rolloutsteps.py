"""Decisions and tallies of roll-outs as records and rows of messages."""

from dataclasses import replace

from magnoliaflow.cluster.positions import era_of
from magnoliaflow.common.messages import RolloutTally
from magnoliaflow.common.records import RolloutStep
from magnoliaflow.policy.rollouts import LATENCY_CLASSES
from magnoliaflow.policy.rollouts import RolloutDecision
from magnoliaflow.policy.rollouts import RolloutOrder
from magnoliaflow.policy.rollouts import RolloutStage
from magnoliaflow.policy.rollouts import Tallies
from magnoliaflow.policy.rollouts import VersionTally

ENDED = (RolloutStage.COMPLETED, RolloutStage.ROLLED_BACK)


def tally_rows(tallies: Tallies) -> tuple[RolloutTally, ...]:
    """Return tallies as rows of a message."""
    return tuple(
        RolloutTally(
            route,
            is_target,
            tally.sent,
            tally.finished,
            tally.failed,
            tally.running,
            tuple(tally.latencies),
        )
        for (route, is_target), tally in sorted(tallies.items())
    )


def add_rows(
    tallies: Tallies, rows: tuple[RolloutTally, ...], *, is_live: bool
) -> None:
    """Add rows of another host; nothing runs at one that has ended."""
    for row in rows:
        tallies.setdefault((row.route, row.target), VersionTally()).add(
            VersionTally(
                row.sent,
                row.finished,
                row.failed,
                row.running if is_live else 0,
                list(row.latencies[:LATENCY_CLASSES]),
            )
        )


def make_step(
    decision: RolloutDecision, fence: int, written_at: float
) -> RolloutStep:
    """Return a decision as a record."""
    return RolloutStep(
        fence,
        decision.service,
        decision.target,
        decision.order,
        decision.number,
        int(decision.stage),
        tuple(route for route, _ in decision.shares),
        tuple(share for _, share in decision.shares),
        decision.elapsed_s,
        decision.reason,
        written_at,
    )


def decision_of(step: RolloutStep) -> RolloutDecision | None:
    """Return the decision in a record, None if its stage is unknown."""
    try:
        stage = RolloutStage(step.stage)
    except ValueError:
        return None
    return RolloutDecision(
        step.backend,
        step.target,
        step.order,
        step.number,
        stage,
        tuple(zip(step.routes, step.shares)),
        step.elapsed,
        step.reason,
    )


def concerns(decision: RolloutDecision, order: RolloutOrder) -> bool:
    """Return whether a decision was made on an order.

    An order of a later era to the same version is taken for a copy.
    """
    return decision.order == order.position or (
        decision.target == order.target
        and era_of(order.position) > era_of(decision.order)
    )


def moved_to(decision: RolloutDecision, position: int) -> RolloutDecision:
    """Return a decision with its order at another position."""
    return replace(decision, order=position)


def first_step(order: RolloutOrder) -> RolloutDecision:
    """Return the base of the first decision on an order."""
    return RolloutDecision(
        *(order.service, order.target, order.position, 0),
        *(RolloutStage.CANARY, (), 0.0, ""),
    )


def ended_as(
    decision: RolloutDecision, stage: RolloutStage, reason: str
) -> RolloutDecision:
    """Return the decision that ends an order after another one."""
    return replace(
        decision,
        number=decision.number + 1,
        stage=stage,
        shares=(),
        reason=reason,
    )


def ended_before(
    decision: RolloutDecision, order: RolloutOrder, stage: RolloutStage
) -> bool:
    """Return whether an earlier order of the same version ended like this."""
    return (
        decision.order < order.position
        and decision.target == order.target
        and decision.stage is stage
    )
