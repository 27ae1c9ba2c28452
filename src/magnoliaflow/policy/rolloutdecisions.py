"""Orders and decisions of rollouts, and how a host applies them.

They answer a host that the holder of the duty does not reach for long.
"""

from dataclasses import dataclass
from enum import IntEnum

from xxhash import xxh64_intdigest

# A host that the holder has not confirmed the decision to for longer sends
# nothing to the target before FULL; below the time of a rollback.
HOLD_S = 2.5


class RolloutStage(IntEnum):
    """Stages; from FULL on, all new requests go to the target."""

    CANARY = 1
    RAMP = 2
    FULL = 3
    COMPLETED = 4
    ROLLED_BACK = 5


ENDED = frozenset((RolloutStage.COMPLETED, RolloutStage.ROLLED_BACK))


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order; ``position`` in the store.

    A later order of a service replaces an earlier one.
    """

    service: str
    target: str
    duration_s: float
    position: int


@dataclass(frozen=True, slots=True)
class RolloutLimits:
    """Bounds of a bad version's requests (part, count) and rollback."""

    exposure_share: float
    exposure_tolerance: float
    rollback_s: float


@dataclass(frozen=True, slots=True)
class RolloutDecision:
    """What all hosts apply.

    ``order``: position of the order; ``number``: from 1, grows with each
    decision of an order; ``shares``: (route, part of its new requests that go
    to the target), 0 for others before FULL.
    """

    service: str
    target: str
    order: int
    number: int
    stage: RolloutStage
    shares: tuple[tuple[str, float], ...]
    elapsed_s: float
    reason: str


def share_in_force(
    decision: RolloutDecision | None, route: str, age_s: float
) -> float:
    """Return the share of a route's new requests that go to the target.

    ``age_s``: time since the holder last confirmed the decision.  A host that
    it was not confirmed to sends nothing there before FULL; from FULL on the
    decision holds, since the old engines may have stopped.
    """
    if decision is None or decision.stage == RolloutStage.ROLLED_BACK:
        return 0.0
    if decision.stage >= RolloutStage.FULL:
        return 1.0
    if age_s > HOLD_S:
        return 0.0
    return dict(decision.shares).get(route, 0.0)


def sends_to_target(
    decision: RolloutDecision | None,
    route: str,
    request_id: str,
    age_s: float,
) -> bool:
    """Tell whether a new request goes to the target, drawn from its id.

    A higher share keeps the requests of a lower one.
    """
    share = share_in_force(decision, route, age_s)
    if decision is None or not 0.0 < share < 1.0:
        return share >= 1.0
    point = xxh64_intdigest(request_id.encode(), seed=decision.order % 2**63)
    return point / 2.0**64 < share
