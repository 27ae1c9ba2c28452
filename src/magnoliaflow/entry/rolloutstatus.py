"""Writer of the status of roll-outs, for the holder of the duty."""

from dataclasses import dataclass
from math import inf
from typing import Any

from magnoliaflow.cluster.rolloutsteps import ENDED
from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.errors import PortError
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.entry.followers import record_store_failure
from magnoliaflow.entry.state import EntryState
from magnoliaflow.platform.rollouts import encode_status
from magnoliaflow.platform.rollouts import status_key
from magnoliaflow.platform.store import STATUS_TOPIC
from magnoliaflow.platform.store import StoreClient
from magnoliaflow.policy.rollouts import RolloutDecision
from magnoliaflow.policy.rollouts import RolloutStage

# Retry delay after a failed call to the store.
RETRY_DELAY_S = 0.2
# A put without an answer may land so long after; a status is put again then.
LATE_PUT_S = 3.0


@dataclass(frozen=True, slots=True)
class Status:
    """What is written of a service: an order, its stage, the store's era.

    ``is_settled``: it was written after all that a former holder has sent,
    and after what this one has sent without an answer.
    """

    order: int
    stage: RolloutStage
    era: int
    is_settled: bool


class StatusWriter:
    """Puts the status of each service until the store confirms it."""

    __slots__ = ("busy", "failed_at", "retry_at", "state", "store", "written")

    def __init__(self, state: EntryState, store: StoreClient) -> None:
        self.state = state
        self.store = store
        self.busy = False
        self.retry_at = -inf
        # Time of the last put of each service that failed.
        self.failed_at: dict[str, float] = {}
        self.written: dict[str, Status] = {}

    def tick(self, now: float, era: int, *, settled_at: float) -> None:
        """Write one status that the store has not confirmed yet.

        The caller holds the lease.
        """
        if self.busy or now < self.retry_at:
            return
        for service, known in self.state.rollouts.decisions.items():
            decision = known.decision
            stage = decision.stage
            if stage not in ENDED:
                stage = RolloutStage.CANARY
            late_until = self.failed_at.get(service, -inf) + LATE_PUT_S
            is_settled = now >= max(settled_at, late_until)
            wanted = Status(decision.order, stage, era, is_settled)
            if self.written.get(service) not in (
                wanted,
                Status(decision.order, stage, era, True),
            ):
                self._put(decision, wanted)
                return

    def _put(self, decision: RolloutDecision, status: Status) -> None:
        service = decision.service
        self.busy = True

        def done(offset: int) -> None:
            self.busy = False
            self.written[service] = status
            self.state.log(
                LogEvent.ROLLOUT_STATUS_WRITTEN,
                service=service,
                to=decision.target,
                stage=status.stage.name,
            )

        def failed(failure: Any) -> None:
            self.busy = False
            now = boot_time()
            self.retry_at = now + RETRY_DELAY_S
            self.failed_at[service] = now
            failure.trap(PortError)
            record_store_failure(self.state, "status", failure.value)

        self.store.put(
            STATUS_TOPIC,
            status_key(service),
            encode_status(status.stage, decision.target),
        ).addCallbacks(done, failed).addErrback(
            lambda failure: self.state.record_fault(
                "rollout status", failure.value
            )
        )
