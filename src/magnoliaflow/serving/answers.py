"""Answer pieces, ends of attempts, retries and silent streams."""

from magnoliaflow.cluster.profiles import Target
from magnoliaflow.common.codes import Code
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.core.commands import CancelAttempt
from magnoliaflow.core.inputs import AttemptEnded
from magnoliaflow.core.inputs import Ending
from magnoliaflow.core.inputs import TokensArrived
from magnoliaflow.core.state import GatewayState
from magnoliaflow.core.systems import handles
from magnoliaflow.core.systems import on_timer
from magnoliaflow.serving.attempts import drop_attempt
from magnoliaflow.serving.attempts import enqueue
from magnoliaflow.serving.attempts import reconnect_attempt
from magnoliaflow.serving.attempts import start_cooldown
from magnoliaflow.serving.replication import add_tokens
from magnoliaflow.serving.replication import finish_answer
from magnoliaflow.serving.replication import settle
from magnoliaflow.work.requests import Attempt
from magnoliaflow.work.requests import Request
from magnoliaflow.work.requests import Role

RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 5.0


@handles(TokensArrived)
def handle_piece(state: GatewayState, piece: TokensArrived) -> None:
    """Append tokens in order; ignore late and duplicate ones."""
    attempt = state.attempts.get(piece.attempt_id)
    if attempt is None:
        return
    req = state.requests.get(attempt.request_id)
    if req is None or req.attempt_id != attempt.attempt_id:
        return
    if piece.done:
        attempt.final_length = piece.offset + len(piece.tokens)
    if piece.tokens:
        _record_token_gap(state, req, attempt, len(piece.tokens))
        attempt.pieces[piece.offset] = piece.tokens
    attempt.last_activity_at = state.now
    new_tokens = pop_contiguous(attempt.pieces, len(req.tokens))
    if new_tokens:
        add_tokens(state, req, new_tokens)
    if attempt.final_length == len(req.tokens):
        drop_attempt(state, attempt)
        finish_answer(state, req)


def pop_contiguous(
    pieces: dict[int, tuple[int, ...]], length: int
) -> tuple[int, ...]:
    """Remove and return the tokens that follow the first ``length``.

    Pieces beyond a gap stay; tokens that are already known are dropped.

    >>> pieces = {3: (7, 8), 0: (1, 2), 1: (2, 3)}
    >>> pop_contiguous(pieces, 0), pieces
    ((1, 2, 3, 7, 8), {})
    """
    new_tokens: list[int] = []
    for offset in sorted(pieces):
        next_offset = length + len(new_tokens)
        if offset > next_offset:
            break
        new_tokens.extend(pieces.pop(offset)[next_offset - offset :])
    return tuple(new_tokens)


def _record_token_gap(
    state: GatewayState, req: Request, attempt: Attempt, count: int
) -> None:
    """Update an engine's concurrency limit from the time between tokens."""
    engine = state.routing.engines.get(attempt.engine)
    if engine is None or len(req.tokens) == attempt.start_offset:
        return
    gap_s = (state.now - attempt.last_activity_at) / count
    engine.record_token_gap(gap_s, req.profile.token_gap_s, state.now)


@handles(AttemptEnded)
def handle_attempt_end(state: GatewayState, end: AttemptEnded) -> None:
    """Retry an attempt that ended before its answer was complete."""
    attempt = state.attempts.get(end.attempt_id)
    if attempt is None:
        return
    req = state.requests.get(attempt.request_id)
    drop_attempt(state, attempt)
    if req is None or req.settled or req.role is not Role.OWNER:
        return
    if attempt.resumed:
        enqueue(state, req)
        return
    state.log(
        LogEvent.ATTEMPT_FAILED,
        request=req.request_id,
        attempt=end.attempt_id,
        engine=attempt.engine,
        reason=end.reason,
    )
    state.trail(
        req.request_id,
        "attempt ended",
        attempt=end.attempt_id,
        ending=end.ending.value,
        reason=end.reason,
    )
    if end.ending is Ending.NOT_STARTED:
        req.may_have_run = req.attempts_made > 1
    if end.ending in (Ending.NOT_STARTED, Ending.LOST):
        start_cooldown(state, attempt.engine)
    if end.ending is Ending.FAILED:
        req.failures += 1
    if req.failures >= state.cfg.limits.attempts:
        settle(state, req, Code.BACKEND_FAILED)
        return
    schedule_retry(state, req, end.ending.name.lower())


def schedule_retry(state: GatewayState, req: Request, reason: str) -> None:
    """Schedule a retry with exponential backoff and jitter."""
    state.metrics.retries.labels(reason).inc()
    doublings = min(req.attempts_made, 5)
    delay_s = min(RETRY_DELAY_S * 2**doublings / 2, MAX_RETRY_DELAY_S)
    state.set_timer(
        delay_s * (0.5 + state.rng.random()), "retry", req.request_id
    )


@on_timer("retry")
def enqueue_retry(state: GatewayState, request_id: str) -> None:
    """Queue a retry once the retry budget allows it.

    An accepted request is never dropped: without budget its retry is
    postponed, which earns budget.
    """
    req = state.requests.get(request_id)
    if req is None or req.role is not Role.OWNER or req.attempt_id:
        return
    if not state.budget.spend():
        state.metrics.retries.labels("budget_wait").inc()
        state.budget.earn()
        state.set_timer(RETRY_DELAY_S, "retry", request_id)
        return
    enqueue(state, req)


@on_timer("check attempt")
def check_attempt(state: GatewayState, attempt_id: str) -> None:
    """Replace the connection of an attempt that has gone silent.

    The attempt is first read over a new connection.  If that is silent as
    well, or the backend is not a model engine, the request is queued again.
    """
    attempt = state.attempts.get(attempt_id)
    if attempt is None:
        return
    limit_s = state.cfg.timings.stream_silence_s
    silent_s = state.now - attempt.last_activity_at
    if silent_s < limit_s:
        state.set_timer(limit_s - silent_s, "check attempt", attempt_id)
        return
    req = state.requests.get(attempt.request_id)
    if req is None:
        return
    state.log(LogEvent.LINK_SILENT, engine=attempt.engine, attempt=attempt_id)
    state.metrics.retries.labels("silent").inc()
    if attempt.resumed or req.profile.target is not Target.MODEL:
        state.emit(CancelAttempt(attempt.engine, attempt_id))
        start_cooldown(state, attempt.engine)
        drop_attempt(state, attempt)
        enqueue(state, req)
        return
    attempt.resumed = True
    attempt.last_activity_at = state.now
    reconnect_attempt(state, req, attempt)
    state.set_timer(limit_s, "check attempt", attempt_id)
