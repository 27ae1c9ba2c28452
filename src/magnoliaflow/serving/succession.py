"""Claims whose owner leaves or is dead, and records about to age out."""

from magnoliaflow.common.lifecycle import Phase
from magnoliaflow.common.messages import ClaimHandover
from magnoliaflow.common.records import Mark
from magnoliaflow.common.records import Restate
from magnoliaflow.common.records import Takeover
from magnoliaflow.core.state import CLAIM_STREAM
from magnoliaflow.core.state import GatewayState
from magnoliaflow.core.systems import on_timer
from magnoliaflow.core.systems import receives
from magnoliaflow.serving.dispatching import ask_status
from magnoliaflow.serving.logsession import append
from magnoliaflow.serving.membership import is_live
from magnoliaflow.serving.membership import successor_of
from magnoliaflow.work.claims import Claim
from magnoliaflow.work.claims import ClaimState

SWEEP_S = 1.0
HISTORY_WAIT_S = 5.0


def hand_over_claim(state: GatewayState, claim: Claim) -> None:
    """Name a successor for an undispatched claim."""
    heir = successor_of(state, claim.key)
    if heir == state.identity:
        return
    state.send(heir, ClaimHandover(claim.key, claim.submission, claim.epoch))


@receives(ClaimHandover)
def take_claim_handover(
    state: GatewayState, sender: str, msg: ClaimHandover
) -> None:
    """Append the Takeover for which a leaving owner asked."""
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
    """Take over from dead owners; restate what is about to age out."""
    state.set_timer(SWEEP_S, "sweep claims", "")
    if state.phase is not Phase.SERVING or not state.log_up:
        return
    silence = state.cfg.timings.silence_s
    settled_in = state.now - state.started_at > 2 * silence
    for claim in list(state.claims.unsettled()):
        if claim.owner != state.identity:
            if settled_in and not is_live(state, claim.owner):
                _adopt(state, claim)
        _restate_if_old(state, claim)
    _mark_if_due(state)
    state.claims.forget()


def _adopt(state: GatewayState, claim: Claim) -> None:
    """Do a dead owner's part for a claim, if this process is its heir."""
    if successor_of(state, claim.key) != state.identity:
        return
    waiting = any(
        getattr(row.record.body, "key", "") == claim.key
        for row in state.pending_appends
    )
    if waiting or claim.key in state.status_replies_due:
        return
    if claim.state is ClaimState.OPEN:
        append_takeover(state, claim)
        return
    ask_status(state, claim)


def _restate_if_old(state: GatewayState, claim: Claim) -> None:
    """Restate an unsettled claim before its records leave the log."""
    age = max(state.wall, state.claims.horizon) - claim.stated_at
    if age < state.cfg.timings.retention_s / 3:
        return
    if successor_of(state, claim.key) != state.identity:
        return
    claim.stated_at = state.wall
    append(
        state,
        CLAIM_STREAM,
        Restate(
            claim.key,
            claim.submission,
            claim.owner,
            claim.epoch,
            claim.state is ClaimState.DISPATCHED,
            claim.account,
            claim.profile,
            claim.body,
            state.claims.applied,
            state.wall,
        ),
    )


def _mark_if_due(state: GatewayState) -> None:
    """Tell readers without history the horizon, in time.

    When no process that knows the history is left, the wall clock stands
    for the horizon: what was trimmed is older than the window.
    """
    book = state.claims
    period = state.cfg.timings.retention_s / 4
    if not book.complete:
        period = HISTORY_WAIT_S
    if state.wall - max(book.marked_at, state.last_mark_at) < period:
        return
    if successor_of(state, "mark") != state.identity:
        return
    state.last_mark_at = state.wall
    mark = Mark(book.applied, book.horizon, state.wall)
    if not book.complete:
        mark = Mark(book.first_offset - 1, state.wall, state.wall)
    append(state, CLAIM_STREAM, mark)
