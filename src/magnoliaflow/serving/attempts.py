"""Attempts: sending requests to backend servers, and what comes back."""

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
from magnoliaflow.policy.fairness import Ticket
from magnoliaflow.policy.routing import choose
from magnoliaflow.policy.routing import Need
from magnoliaflow.policy.routing import Pick
from magnoliaflow.work.requests import Attempt
from magnoliaflow.work.requests import Request
from magnoliaflow.work.requests import Role

SHUN_S = 2.0
MOVED_TARGET_S = 0.5
DISPATCH_PERIOD_S = 0.05
LOOK_AHEAD = 32
ENGINE_QUEUE_S = 0.6


def need_of(req: Request, now: float) -> Need:
    """Return what a request asks of an engine, from its prefix on.

    Its first token, or the next one, is wanted within what is left of
    the latency target.
    """
    done = len(req.tokens)
    target = req.profile.first_token_s
    left_s = MOVED_TARGET_S if done else req.accepted_at + target - now
    return Need(
        request_id=req.request_id,
        backend=req.profile.backend,
        blocks=req.blocks,
        prompt_tokens=prompt_tokens(req.prompt) + done,
        answer_tokens=max(1, req.max_tokens - done),
        first_token_s=left_s,
        token_gap_s=req.profile.token_gap_s,
        target_s=target,
        value=req.profile.cost_limit,
    )


def enqueue(state: GatewayState, req: Request) -> None:
    """Let a request wait for an engine; a moved one is due at once."""
    if req.settled or req.attempt_id:
        return
    state.next_dispatch_at = state.now
    need = need_of(req, state.now)
    moved = bool(req.attempts_made or req.tokens)
    target_s = 0.0 if moved else req.profile.first_token_s
    state.queue(req.profile.backend).push(
        req.request_id,
        due=req.accepted_at + target_s,
        prompt_tokens=state.routing.least_uncached(need, state.now),
    )


@system(60)
def dispatch(state: GatewayState) -> None:
    """Send waiting requests to engines that have room."""
    if state.now < state.next_dispatch_at:
        return
    state.next_dispatch_at = state.now + DISPATCH_PERIOD_S
    for backend, queue in state.queues.items():
        _note_backlog(state, backend, queue)
        blocked: list[Ticket] = []
        while len(queue) and len(blocked) < LOOK_AHEAD:
            ticket = queue.take()
            if ticket is None:
                break
            if not _send(state, ticket):
                blocked.append(ticket)
        for ticket in blocked:
            queue.push_back(ticket)


def _note_backlog(state: GatewayState, backend: str, queue: DueQueue) -> None:
    """Tell routing how long the queue would take to prefill."""
    rate = sum(
        state.routing.engines[name].cfg.prefill_rate
        for name in state.routing.groups.get(backend, ())
    )
    waiting = queue.prompt_tokens * state.routing.crowd
    state.routing.backlog_s = waiting / rate if rate else 0.0


def _send(state: GatewayState, ticket: Ticket) -> bool:
    """Send one request on; return False if it has to wait."""
    req = state.requests.get(ticket.request_id)
    if req is None or req.settled or req.role is not Role.OWNER:
        return True
    if resume(state, req):
        return True
    need = need_of(req, state.now)
    pick = choose(state.routing, need, state.policy, state.now)
    if pick is None or not _has_room(state, pick):
        return False
    start(state, req, pick)
    return True


def _has_room(state: GatewayState, pick: Pick) -> bool:
    """Return whether an engine may be sent more now.

    What waits is better kept here, in order of due times, than in an
    engine's own queue.
    """
    engine = state.routing.engines[pick.engine]
    if engine.occupied() >= max(1.0, engine.limit):
        return False
    if engine.cfg.kind == "service":
        return True
    ahead = state.routing.prefill_ahead_s(engine)
    return ahead <= ENGINE_QUEUE_S


def resume(state: GatewayState, req: Request) -> bool:
    """Read on a running attempt of a former owner, if one is known."""
    name, attempt_id = req.resume_engine, req.resume_attempt
    req.resume_engine = ""
    req.resume_attempt = ""
    engine = state.routing.engines.get(name)
    if engine is None or not attempt_id or not engine.usable(state.now):
        return False
    if req.profile.target is not Target.MODEL or attempt_id in state.attempts:
        return False
    attempt = _add_attempt(state, req, attempt_id, name, 0, resumed=True)
    read_on(state, req, attempt)
    return True


def read_on(state: GatewayState, req: Request, attempt: Attempt) -> None:
    """Read a running attempt on over a new connection."""
    call = _call(req, attempt.attempt_id)
    state.emit(ResumeAttempt(attempt.engine, call))


def start(state: GatewayState, req: Request, pick: Pick) -> None:
    """Send a request to the engine that was chosen."""
    attempt_id = state.next_id("a")
    source = state.routing.engines.get(req.export_from)
    req.export_from = ""
    _add_attempt(state, req, attempt_id, pick.engine, pick.uncached_tokens)
    if req.attempts_made and source is None:
        state.metrics.tokens_recomputed.labels(
            "moved" if req.moving else "retry"
        ).inc(pick.uncached_tokens)
    req.attempts_made += 1
    req.maybe_run = True
    req.moving = False
    state.routing.prefixes.add(pick.engine, req.blocks, state.now)
    state.metrics.cost.labels(req.profile.name).inc(pick.cost)
    state.log(
        LogEvent.ATTEMPT_STARTED,
        request=req.request_id,
        attempt=attempt_id,
        engine=pick.engine,
    )
    state.trail(
        req.request_id,
        "sent",
        engine=pick.engine,
        attempt=attempt_id,
        expected_wait_s=round(pick.wait_s, 4),
        uncached_tokens=pick.uncached_tokens,
        prefix=len(req.tokens),
    )
    call = _call(
        req,
        attempt_id,
        import_from="" if source is None else source.cfg.address,
    )
    state.emit(StartAttempt(pick.engine, call, req.body))


def _call(
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
    """Add the row of an attempt and watch it for silence."""
    attempt = Attempt(
        attempt_id=attempt_id,
        request_id=req.request_id,
        engine=engine,
        start=len(req.tokens),
        started_at=state.now,
        heard_at=state.now,
        uncached_tokens=uncached,
        resumed=resumed,
    )
    state.attempts.put(attempt_id, attempt)
    req.attempt_id = attempt_id
    state.routing.engines[engine].note_sent(uncached, state.now)
    state.set_timer(
        state.cfg.timings.stream_silence_s, "check attempt", attempt_id
    )
    return attempt


def drop_attempt(state: GatewayState, attempt: Attempt) -> None:
    """Forget an attempt; what still arrives for it is ignored."""
    state.attempts.drop(attempt.attempt_id)
    state.next_dispatch_at = state.now
    engine = state.routing.engines.get(attempt.engine)
    if engine is not None:
        engine.note_ended()
    req = state.requests.get(attempt.request_id)
    if req is not None and req.attempt_id == attempt.attempt_id:
        req.attempt_id = ""


def stop_attempt(state: GatewayState, req: Request) -> None:
    """Cancel the running attempt of a request, if there is one."""
    attempt = state.attempts.get(req.attempt_id)
    if attempt is None:
        return
    state.emit(CancelAttempt(attempt.engine, attempt.attempt_id))
    drop_attempt(state, attempt)


def shun(state: GatewayState, name: str) -> None:
    """Give an engine no work for a while."""
    engine = state.routing.engines.get(name)
    if engine is not None:
        engine.shunned_until = state.now + SHUN_S


@handles(LoadReportArrived)
def take_report(state: GatewayState, item: LoadReportArrived) -> None:
    """Replace an engine's last load report."""
    engine = state.routing.engines.get(item.report.engine)
    if engine is None:
        return
    engine.take_report(item.report, state.now)
    state.next_dispatch_at = state.now


@handles(CacheEventsArrived)
def take_cache_events(state: GatewayState, item: CacheEventsArrived) -> None:
    """Apply cache events, which may have gaps."""
    for event in item.events:
        state.routing.prefixes.event(
            item.engine,
            event.number,
            event.block,
            event.present,
            state.now,
        )
    state.routing.prefixes.confirm(item.engine)


@handles(EngineUnreachable)
def take_engine_silence(state: GatewayState, item: EngineUnreachable) -> None:
    """Give a silent engine no work and move what it runs."""
    engine = state.routing.engines.get(item.engine)
    if engine is None:
        return
    engine.shunned_until = state.now + SHUN_S
    if engine.leaving_at < inf:
        return
    state.routing.prefixes.forget(item.engine)
    move_all(state, item.engine, "silent")


def move_all(state: GatewayState, name: str, reason: str) -> None:
    """Move an engine's requests, those with most to recompute first."""
    attempts = [
        state.attempts.rows[key] for key in state.attempts.find("engine", name)
    ]
    rows = [
        (attempt, state.requests.rows[attempt.request_id])
        for attempt in attempts
        if attempt.request_id in state.requests
    ]
    rows.sort(key=lambda row: -need_of(row[1], state.now).prompt_tokens)
    for attempt, req in rows:
        move(state, attempt, req, reason)


def move(
    state: GatewayState, attempt: Attempt, req: Request, reason: str
) -> None:
    """Stop an attempt and continue its answer on another engine."""
    state.emit(CancelAttempt(attempt.engine, attempt.attempt_id))
    drop_attempt(state, attempt)
    state.metrics.retries.labels(reason).inc()
    state.trail(req.request_id, "moving", engine=attempt.engine, reason=reason)
    req.moving = True
    if reason != "silent":
        req.export_from = attempt.engine
    enqueue(state, req)
