"""Takeover of claims, and restatement before records are trimmed."""

from magnoliaflow.common.lifecycle import Phase
from magnoliaflow.common.messages import ClaimHandover
from magnoliaflow.common.records import Mark
from magnoliaflow.common.records import Restate
from magnoliaflow.common.records import Takeover
from magnoliaflow.core.state import CLAIM_STREAM
from magnoliaflow.core.state import GatewayState
from magnoliaflow.core.systems import on_timer
from magnoliaflow.core.systems import receives
from magnoliaflow.serving.claimdispatch import ask_status
from magnoliaflow.serving.logstreams import append
from magnoliaflow.serving.membership import is_live
from magnoliaflow.serving.membership import successor_of
from magnoliaflow.work.claims import Claim
from magnoliaflow.work.claims import ClaimState

SWEEP_INTERVAL_S = 1.0
HISTORY_TIMEOUT_S = 5.0


def hand_over_claim(state: GatewayState, claim: Claim) -> None:
    """Ask the successor to take over an undispatched claim."""
    successor = successor_of(state, claim.key)
    if successor == state.identity:
        return
    state.send(
        successor, ClaimHandover(claim.key, claim.submission, claim.epoch)
    )


@receives(ClaimHandover)
def handle_claim_handover(
    state: GatewayState, sender: str, msg: ClaimHandover
) -> None:
    """Append the Takeover that a draining owner asked for."""
    claim = state.claims.current(msg.key, msg.submission)
    if claim is None or claim.state is not ClaimState.OPEN:
        return
    if claim.epoch == msg.epoch and claim.owner != state.identity:
        append_takeover(state, claim)


def append_takeover(state: GatewayState, claim: Claim) -> None:
    append(
        state,
        CLAIM_STREAM,
        Takeover(
            claim.key,
            claim.submission,
            state.identity,
            claim.epoch + 1,
            state.wall,
        ),
    )


@on_timer("sweep claims")
def sweep_claims(state: GatewayState, subject: str) -> None:
    """Take over from dead owners; restate claims with old records."""
    state.set_timer(SWEEP_INTERVAL_S, "sweep claims", "")
    if state.phase is not Phase.SERVING or not state.log_up:
        return
    if state.cursors[CLAIM_STREAM].restore is not None:
        return
    silence_s = state.cfg.timings.silence_s
    startup_over = state.now - state.started_at > 2 * silence_s
    for claim in list(state.claims.unsettled()):
        if claim.owner != state.identity:
            if startup_over and not is_live(state, claim.owner):
                _recover_claim(state, claim)
        _restate_if_old(state, claim)
    _append_mark_if_due(state)
    state.claims.remove_expired()


def _recover_claim(state: GatewayState, claim: Claim) -> None:
    """Recover a dead owner's claim if this process is the successor.

    An open claim is taken over; services are asked for the status of a
    dispatched one.
    """
    if successor_of(state, claim.key) != state.identity:
        return
    record_pending = any(
        getattr(pending.record.body, "key", "") == claim.key
        for pending in state.pending_appends
    )
    if record_pending or claim.key in state.status_replies_due:
        return
    if claim.state is ClaimState.OPEN:
        append_takeover(state, claim)
        return
    ask_status(state, claim)


def _restate_if_old(state: GatewayState, claim: Claim) -> None:
    """Restate an unsettled claim before its records are trimmed."""
    age_s = max(state.wall, state.claims.horizon) - claim.stated_at
    if age_s < state.cfg.timings.retention_s / 3:
        return
    if successor_of(state, claim.key) != state.identity:
        return
    claim.stated_at = state.wall
    append(state, CLAIM_STREAM, make_restate(state, claim))


def make_restate(state: GatewayState, claim: Claim) -> Restate:
    """Return the record that restates a claim as this process knows it."""
    return Restate(
        claim.key,
        claim.submission,
        claim.owner,
        claim.epoch,
        claim.state in (ClaimState.DISPATCHED, ClaimState.CLOSED),
        claim.account,
        claim.profile,
        claim.body,
        state.claims.applied,
        state.wall,
    )


def _append_mark_if_due(state: GatewayState) -> None:
    """Append a Mark with the horizon for readers without history.

    If no process with the history is left to append one, the wall clock stands
    in for the horizon: trimmed records are older than the window.
    """
    claim_table = state.claims
    interval_s = state.cfg.timings.retention_s / 4
    if not claim_table.complete:
        interval_s = HISTORY_TIMEOUT_S
    if (
        state.wall - max(claim_table.marked_at, state.last_mark_at)
        < interval_s
    ):
        return
    if successor_of(state, "mark") != state.identity:
        return
    state.last_mark_at = state.wall
    mark = Mark(claim_table.applied, claim_table.horizon, state.wall)
    if not claim_table.complete:
        mark = Mark(claim_table.first_offset - 1, state.wall, state.wall)
    append(state, CLAIM_STREAM, mark)
