"""Attempts to serve requests: dispatch, cancellation and moves."""

from math import inf

from magnoliaflow.cluster.profiles import Target
from magnoliaflow.common.blocks import prompt_tokens
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.ports import GenerateCall
from magnoliaflow.core.commands import CancelAttempt
from magnoliaflow.core.commands import ResumeAttempt
from magnoliaflow.core.commands import StartAttempt
from magnoliaflow.core.inputs import CacheEventsArrived
from magnoliaflow.core.inputs import EngineUnreachable
from magnoliaflow.core.inputs import LoadReportArrived
from magnoliaflow.core.state import GatewayState
from magnoliaflow.core.systems import handles
from magnoliaflow.core.systems import system
from magnoliaflow.policy.fairness import DueQueue
from magnoliaflow.policy.fairness import QueueEntry
from magnoliaflow.policy.routing import choose
from magnoliaflow.policy.routing import RoutingRequest
from magnoliaflow.policy.routing import Selection
from magnoliaflow.work.requests import Attempt
from magnoliaflow.work.requests import Request
from magnoliaflow.work.requests import Role

ENGINE_COOLDOWN_S = 2.0
NEXT_TOKEN_TARGET_S = 0.5
DISPATCH_INTERVAL_S = 0.05
MAX_BLOCKED_ENTRIES = 32
MAX_ENGINE_QUEUE_S = 0.6


def make_routing_request(req: Request, now: float) -> RoutingRequest:
    """Return the properties of a request that routing depends on.

    Tokens that were already produced count as part of the prompt.
    ``first_token_s`` is the rest of the latency target, or
    ``NEXT_TOKEN_TARGET_S`` for an answer that has started.
    """
    tokens_done = len(req.tokens)
    target_s = req.profile.first_token_s
    left_s = (
        NEXT_TOKEN_TARGET_S
        if tokens_done
        else req.accepted_at + target_s - now
    )
    return RoutingRequest(
        request_id=req.request_id,
        backend=req.profile.backend,
        blocks=req.blocks,
        prompt_tokens=prompt_tokens(req.prompt) + tokens_done,
        answer_tokens=max(1, req.max_tokens - tokens_done),
        first_token_s=left_s,
        token_gap_s=req.profile.token_gap_s,
        target_s=target_s,
        value=req.profile.cost_limit,
    )


def enqueue(state: GatewayState, req: Request) -> None:
    """Queue a request; retried and moved requests are due immediately."""
    if req.settled or req.attempt_id:
        return
    state.next_dispatch_at = state.now
    routing_request = make_routing_request(req, state.now)
    moved = bool(req.attempts_made or req.tokens)
    target_s = 0.0 if moved else req.profile.first_token_s
    state.queue(req.profile.backend).push(
        req.request_id,
        due=req.accepted_at + target_s,
        prompt_tokens=state.routing.least_uncached(routing_request, state.now),
    )


@system(60)
def dispatch_requests(state: GatewayState) -> None:
    """Dispatch queued requests to engines that have capacity."""
    if state.now < state.next_dispatch_at:
        return
    state.next_dispatch_at = state.now + DISPATCH_INTERVAL_S
    for backend, queue in state.queues.items():
        _update_backlog(state, backend, queue)
        blocked: list[QueueEntry] = []
        while len(queue) and len(blocked) < MAX_BLOCKED_ENTRIES:
            entry = queue.pop()
            if entry is None:
                break
            if not _try_send(state, entry):
                blocked.append(entry)
        for entry in blocked:
            queue.push_entry(entry)


def _update_backlog(
    state: GatewayState, backend: str, queue: DueQueue
) -> None:
    """Update the time that the queued prompts take to prefill."""
    rate = sum(
        state.routing.engines[name].cfg.prefill_rate
        for name in state.routing.groups.get(backend, ())
    )
    waiting = queue.prompt_tokens * state.routing.load_factor
    state.routing.backlog_s = waiting / rate if rate else 0.0


def _try_send(state: GatewayState, entry: QueueEntry) -> bool:
    """Process a queue entry; return False if its request has to wait."""
    req = state.requests.get(entry.request_id)
    if req is None or req.settled or req.role is not Role.OWNER:
        return True
    if resume_attempt(state, req):
        return True
    routing_request = make_routing_request(req, state.now)
    choice = choose(state.routing, routing_request, state.policy, state.now)
    if choice is None or not _has_capacity(state, choice):
        return False
    start_attempt(state, req, choice)
    return True


def _has_capacity(state: GatewayState, choice: Selection) -> bool:
    """Return whether an engine may receive another request.

    Requests wait in the local queue, ordered by due time, rather than in the
    queue of an engine.
    """
    engine = state.routing.engines[choice.engine]
    if engine.occupied() >= max(1.0, engine.limit):
        return False
    if engine.cfg.kind == "service":
        return True
    queued_s = state.routing.prefill_ahead_s(engine)
    return queued_s <= MAX_ENGINE_QUEUE_S


def resume_attempt(state: GatewayState, req: Request) -> bool:
    """Resume a previous owner's attempt; return whether that succeeded."""
    name, attempt_id = req.resume_engine, req.resume_attempt
    req.resume_engine = ""
    req.resume_attempt = ""
    engine = state.routing.engines.get(name)
    if engine is None or not attempt_id or not engine.usable(state.now):
        return False
    if req.profile.target is not Target.MODEL or attempt_id in state.attempts:
        return False
    attempt = _add_attempt(state, req, attempt_id, name, 0, resumed=True)
    reconnect_attempt(state, req, attempt)
    return True


def reconnect_attempt(
    state: GatewayState, req: Request, attempt: Attempt
) -> None:
    """Continue reading a running attempt over a new connection."""
    call = _generate_call(req, attempt.attempt_id)
    state.emit(ResumeAttempt(attempt.engine, call))


def start_attempt(
    state: GatewayState, req: Request, choice: Selection
) -> None:
    """Start an attempt at the chosen engine."""
    attempt_id = state.next_id("a")
    source = state.routing.engines.get(req.export_from)
    req.export_from = ""
    _add_attempt(state, req, attempt_id, choice.engine, choice.uncached_tokens)
    if req.attempts_made and source is None:
        state.metrics.tokens_recomputed.labels(
            "moved" if req.moving else "retry"
        ).inc(choice.uncached_tokens)
    req.attempts_made += 1
    req.may_have_run = True
    req.moving = False
    state.routing.prefixes.add(choice.engine, req.blocks, state.now)
    state.metrics.cost.labels(req.profile.name).inc(choice.cost)
    state.log(
        LogEvent.ATTEMPT_STARTED,
        request=req.request_id,
        attempt=attempt_id,
        engine=choice.engine,
    )
    state.trail(
        req.request_id,
        "sent",
        engine=choice.engine,
        attempt=attempt_id,
        expected_wait_s=round(choice.wait_s, 4),
        uncached_tokens=choice.uncached_tokens,
        prefix=len(req.tokens),
    )
    call = _generate_call(
        req,
        attempt_id,
        import_from="" if source is None else source.cfg.address,
    )
    state.emit(StartAttempt(choice.engine, call, req.body))


def _generate_call(
    req: Request, attempt_id: str, *, import_from: str = ""
) -> GenerateCall:
    return GenerateCall(
        request_id=req.request_id,
        attempt_id=attempt_id,
        prompt=req.prompt,
        prefix=tuple(req.tokens),
        max_tokens=req.max_tokens,
        priority=req.profile.priority,
        import_from=import_from,
    )


def _add_attempt(
    state: GatewayState,
    req: Request,
    attempt_id: str,
    engine: str,
    uncached: int,
    *,
    resumed: bool = False,
) -> Attempt:
    """Register an attempt and start its silence timer."""
    attempt = Attempt(
        attempt_id=attempt_id,
        request_id=req.request_id,
        engine=engine,
        start_offset=len(req.tokens),
        started_at=state.now,
        last_activity_at=state.now,
        uncached_tokens=uncached,
        resumed=resumed,
    )
    state.attempts.put(attempt_id, attempt)
    req.attempt_id = attempt_id
    state.routing.engines[engine].record_sent(uncached, state.now)
    state.set_timer(
        state.cfg.timings.stream_silence_s, "check attempt", attempt_id
    )
    return attempt


def drop_attempt(state: GatewayState, attempt: Attempt) -> None:
    """Remove an attempt; further input for it is ignored."""
    state.attempts.drop(attempt.attempt_id)
    state.next_dispatch_at = state.now
    engine = state.routing.engines.get(attempt.engine)
    if engine is not None:
        engine.record_ended()
    req = state.requests.get(attempt.request_id)
    if req is not None and req.attempt_id == attempt.attempt_id:
        req.attempt_id = ""


def stop_attempt(state: GatewayState, req: Request) -> None:
    """Cancel the running attempt of a request, if any."""
    attempt = state.attempts.get(req.attempt_id)
    if attempt is None:
        return
    state.emit(CancelAttempt(attempt.engine, attempt.attempt_id))
    drop_attempt(state, attempt)


def start_cooldown(state: GatewayState, name: str) -> None:
    """Send no work to an engine for ``ENGINE_COOLDOWN_S``."""
    engine = state.routing.engines.get(name)
    if engine is not None:
        engine.excluded_until = state.now + ENGINE_COOLDOWN_S


@handles(LoadReportArrived)
def handle_report(state: GatewayState, update: LoadReportArrived) -> None:
    """Replace the last load report of an engine."""
    engine = state.routing.engines.get(update.report.engine)
    if engine is None:
        return
    engine.update_report(update.report, state.now)
    state.next_dispatch_at = state.now


@handles(CacheEventsArrived)
def handle_cache_events(
    state: GatewayState, batch: CacheEventsArrived
) -> None:
    """Apply the cache events of an engine, which may have gaps."""
    for event in batch.events:
        state.routing.prefixes.apply_event(
            batch.engine,
            event.number,
            event.block,
            event.present,
            state.now,
        )
    state.routing.prefixes.raise_trust(batch.engine)


@handles(EngineUnreachable)
def handle_engine_unreachable(
    state: GatewayState, unreachable: EngineUnreachable
) -> None:
    """Exclude an unreachable engine and move its requests."""
    engine = state.routing.engines.get(unreachable.engine)
    if engine is None:
        return
    engine.excluded_until = state.now + ENGINE_COOLDOWN_S
    if engine.leaving_at < inf:
        return
    state.routing.prefixes.remove_engine(unreachable.engine)
    move_requests(state, unreachable.engine, "silent")


def move_requests(state: GatewayState, name: str, reason: str) -> None:
    """Move an engine's requests, those with most to recompute first."""
    attempts = [
        state.attempts.rows[key] for key in state.attempts.find("engine", name)
    ]
    moves = [
        (attempt, state.requests.rows[attempt.request_id])
        for attempt in attempts
        if attempt.request_id in state.requests
    ]
    moves.sort(
        key=lambda move: -make_routing_request(
            move[1], state.now
        ).prompt_tokens
    )
    for attempt, req in moves:
        move_request(state, attempt, req, reason)


def move_request(
    state: GatewayState, attempt: Attempt, req: Request, reason: str
) -> None:
    """Cancel an attempt and continue its answer on another engine."""
    state.emit(CancelAttempt(attempt.engine, attempt.attempt_id))
    drop_attempt(state, attempt)
    state.metrics.retries.labels(reason).inc()
    state.trail(req.request_id, "moving", engine=attempt.engine, reason=reason)
    req.moving = True
    if reason != "silent":
        req.export_from = attempt.engine
    enqueue(state, req)
