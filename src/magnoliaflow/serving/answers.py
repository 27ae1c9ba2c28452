"""Answers as they arrive: pieces, endings, retries and silence."""

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
from magnoliaflow.serving.attempts import read_on
from magnoliaflow.serving.attempts import shun
from magnoliaflow.serving.custody import add_tokens
from magnoliaflow.serving.custody import finish_answer
from magnoliaflow.serving.custody import settle
from magnoliaflow.work.requests import Attempt
from magnoliaflow.work.requests import Request
from magnoliaflow.work.requests import Role

RETRY_DELAY_S = 0.2
RETRY_DELAY_MOST_S = 5.0


@handles(TokensArrived)
def take_piece(state: GatewayState, item: TokensArrived) -> None:
    """Add tokens in order; late and duplicate ones change nothing."""
    attempt = state.attempts.get(item.attempt_id)
    if attempt is None:
        return
    req = state.requests.get(attempt.request_id)
    if req is None or req.attempt_id != attempt.attempt_id:
        return
    if item.done:
        attempt.final_length = item.offset + len(item.tokens)
    if item.tokens:
        _note_gap(state, req, attempt, len(item.tokens))
        attempt.pieces[item.offset] = item.tokens
    attempt.heard_at = state.now
    fresh = take_ready(attempt.pieces, len(req.tokens))
    if fresh:
        add_tokens(state, req, fresh)
    if attempt.final_length == len(req.tokens):
        drop_attempt(state, attempt)
        finish_answer(state, req)


def take_ready(
    pieces: dict[int, tuple[int, ...]], length: int
) -> tuple[int, ...]:
    """Remove and return the tokens that follow the first ``length``.

    Pieces beyond a gap stay; what is known already is dropped.

    >>> pieces = {3: (7, 8), 0: (1, 2), 1: (2, 3)}
    >>> take_ready(pieces, 0), pieces
    ((1, 2, 3, 7, 8), {})
    """
    fresh: list[int] = []
    for offset in sorted(pieces):
        at = length + len(fresh)
        if offset > at:
            break
        fresh.extend(pieces.pop(offset)[at - offset :])
    return tuple(fresh)


def _note_gap(
    state: GatewayState, req: Request, attempt: Attempt, count: int
) -> None:
    """Learn from the time between the tokens of an engine."""
    engine = state.routing.engines.get(attempt.engine)
    if engine is None or len(req.tokens) == attempt.start:
        return
    gap = (state.now - attempt.heard_at) / count
    engine.note_gap(gap, req.profile.token_gap_s, state.now)


@handles(AttemptEnded)
def end_attempt(state: GatewayState, item: AttemptEnded) -> None:
    """Retry an attempt that ended before its answer was whole."""
    attempt = state.attempts.get(item.attempt_id)
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
        attempt=item.attempt_id,
        engine=attempt.engine,
        reason=item.reason,
    )
    state.trail(
        req.request_id,
        "attempt ended",
        attempt=item.attempt_id,
        ending=item.ending.value,
        reason=item.reason,
    )
    if item.ending is Ending.NOT_STARTED:
        req.maybe_run = req.attempts_made > 1
    if item.ending in (Ending.NOT_STARTED, Ending.LOST):
        shun(state, attempt.engine)
    if item.ending is Ending.FAILED:
        req.failures += 1
    if req.failures >= state.cfg.limits.attempts:
        settle(state, req, Code.BACKEND_FAILED)
        return
    retry(state, req, item.ending.name.lower())


def retry(state: GatewayState, req: Request, reason: str) -> None:
    """Let a request wait for another attempt, within the retry budget."""
    state.metrics.retries.labels(reason).inc()
    steps = min(req.attempts_made, 5)
    delay = min(RETRY_DELAY_S * 2**steps / 2, RETRY_DELAY_MOST_S)
    state.set_timer(
        delay * (0.5 + state.rng.random()), "retry", req.request_id
    )


@on_timer("retry")
def retry_due(state: GatewayState, request_id: str) -> None:
    """Queue a retry once the budget allows it; accepted work is kept."""
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
    """Abandon the connection of an attempt that has gone silent.

    The attempt is read on over a new connection first; if that is silent
    as well, the request goes elsewhere.
    """
    attempt = state.attempts.get(attempt_id)
    if attempt is None:
        return
    limit = state.cfg.timings.stream_silence_s
    silent_s = state.now - attempt.heard_at
    if silent_s < limit:
        state.set_timer(limit - silent_s, "check attempt", attempt_id)
        return
    req = state.requests.get(attempt.request_id)
    if req is None:
        return
    state.log(LogEvent.LINK_SILENT, engine=attempt.engine, attempt=attempt_id)
    state.metrics.retries.labels("silent").inc()
    if attempt.resumed or req.profile.target is not Target.MODEL:
        state.emit(CancelAttempt(attempt.engine, attempt_id))
        shun(state, attempt.engine)
        drop_attempt(state, attempt)
        enqueue(state, req)
        return
    attempt.resumed = True
    attempt.heard_at = state.now
    read_on(state, req, attempt)
    state.set_timer(limit, "check attempt", attempt_id)
