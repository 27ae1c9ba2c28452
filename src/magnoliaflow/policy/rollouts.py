"""Stub of the roll-out decisions, replaced by branch rollpolicy."""

from dataclasses import dataclass
from dataclasses import field
from enum import IntEnum

from xxhash import xxh64_intdigest


class RolloutStage(IntEnum):
    """Stage of a roll-out."""

    CANARY = 1
    RAMP = 2
    FULL = 3
    COMPLETED = 4
    ROLLED_BACK = 5


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An order."""

    service: str
    target: str
    duration_s: float
    position: int


@dataclass(frozen=True, slots=True)
class RolloutLimits:
    """Bounds."""

    exposure_share: float
    exposure_tolerance: float
    rollback_s: float


@dataclass(frozen=True, slots=True)
class RolloutDecision:
    """A decision."""

    service: str
    target: str
    order: int
    number: int
    stage: RolloutStage
    shares: tuple[tuple[str, float], ...]
    elapsed_s: float
    reason: str


@dataclass(slots=True)
class VersionTally:
    """Counts of a version."""

    sent: int = 0
    finished: int = 0
    failed: int = 0
    running: int = 0
    latencies: list[int] = field(default_factory=lambda: [0] * 40)

    def add(self, other: "VersionTally") -> None:
        """Add other counts."""
        self.sent += other.sent
        self.finished += other.finished
        self.failed += other.failed
        self.running += other.running
        for index, count in enumerate(other.latencies):
            self.latencies[index] += count


def latency_class(seconds: float) -> int:
    """Return the class of a latency."""
    index, bound = 0, 0.001
    while seconds > bound and index < 39:
        bound *= 1.4
        index += 1
    return index


Tallies = dict[tuple[str, bool], VersionTally]


def share_in_force(
    decision: RolloutDecision | None, route: str, age_s: float
) -> float:
    """Return the share of a route's requests for the target."""
    if decision is None or decision.stage is RolloutStage.ROLLED_BACK:
        return 0.0
    if decision.stage is RolloutStage.COMPLETED:
        return 1.0
    if age_s > 2.0:
        return 0.0
    return dict(decision.shares).get(
        route, dict(decision.shares).get("", 0.0)
    )


def sends_to_target(
    decision: RolloutDecision | None,
    route: str,
    request_id: str,
    age_s: float,
) -> bool:
    """Return whether a request goes to the target."""
    share = share_in_force(decision, route, age_s)
    return xxh64_intdigest(request_id.encode(), seed=7) / 2.0**64 < share


class RolloutPlan:
    """Stub plan: 10% until 40 answers, full, completed."""

    def __init__(
        self,
        order: RolloutOrder,
        limits: RolloutLimits,
        targets_s: dict[str, float],
        *,
        elapsed_s: float,
        previous: RolloutDecision | None,
    ) -> None:
        self.order = order
        self.targets_s = targets_s
        self.last = previous

    def _decide(
        self, stage: RolloutStage, share: float, elapsed_s: float, reason: str
    ) -> RolloutDecision | None:
        if self.last is not None and self.last.stage == stage:
            return None
        self.last = RolloutDecision(
            self.order.service,
            self.order.target,
            self.order.position,
            1 if self.last is None else self.last.number + 1,
            stage,
            tuple((route, share) for route in sorted(self.targets_s)),
            elapsed_s,
            reason,
        )
        return self.last

    def step(
        self,
        elapsed_s: float,
        tallies: Tallies,
        *,
        news_age_s: float,
        hosts_in_force: bool,
        target_engines: int,
        old_engines: int,
    ) -> RolloutDecision | None:
        """Return a changed decision."""
        if self.last is not None and self.last.stage >= 4:
            return None
        new = [tally for key, tally in tallies.items() if key[1]]
        old = [tally for key, tally in tallies.items() if not key[1]]
        bad = sum(tally.failed for tally in new)
        if bad > 5:
            return self._decide(
                RolloutStage.ROLLED_BACK, 0.0, elapsed_s, f"{bad} failed"
            )
        if not target_engines:
            return None
        if self.last is None or self.last.stage == 1:
            if sum(tally.finished for tally in new) < 40:
                return self._decide(RolloutStage.CANARY, 0.1, elapsed_s, "new")
            return self._decide(RolloutStage.FULL, 1.0, elapsed_s, "good")
        if hosts_in_force and not sum(tally.running for tally in old):
            return self._decide(RolloutStage.COMPLETED, 1.0, elapsed_s, "done")
        return None

    def withdraw(self, elapsed_s: float) -> RolloutDecision:
        """Return the decision that ends the order."""
        found = self._decide(
            RolloutStage.ROLLED_BACK, 0.0, elapsed_s, "withdrawn"
        )
        assert found is not None
        return found
