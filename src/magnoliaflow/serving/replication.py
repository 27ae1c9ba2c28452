"""Replication of idempotent requests from the owner to a standby.

The owner replicates a request before it tells the caller that the request is
accepted, and releases a token only when the standby holds it.
"""

from magnoliaflow.cluster.profiles import profile_spec
from magnoliaflow.common.codes import Code
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.messages import Drop
from magnoliaflow.common.messages import Extend
from magnoliaflow.common.messages import Finish
from magnoliaflow.common.messages import Hold
from magnoliaflow.common.messages import HoldAck
from magnoliaflow.core.state import GatewayState
from magnoliaflow.core.systems import on_timer
from magnoliaflow.core.systems import receives
from magnoliaflow.core.systems import system
from magnoliaflow.serving.membership import select_standby
from magnoliaflow.serving.membership import serving_peers
from magnoliaflow.work.requests import Request
from magnoliaflow.work.requests import Role

RESEND_INTERVAL_S = 0.5


def assign_standby(state: GatewayState, req: Request) -> None:
    """Select a standby and send it the whole request.

    Without another candidate the previous standby is kept.  Without any peer
    the request is served unreplicated.
    """
    previous = req.standby
    req.standby = select_standby(state, req.request_id, avoid=previous)
    req.acked = 0
    req.finish_acked = False
    if req.standby == "":
        req.standby = previous if previous in state.peers else ""
    state.requests.touch(req.request_id)
    if req.standby == "":
        confirm(state, req)
        release_tokens(state, req)
        return
    if previous and previous != req.standby:
        state.send(previous, Drop(req.request_id, req.epoch, req.owner))
    send_replica(state, req)


def send_replica(state: GatewayState, req: Request) -> None:
    """Send the whole request to its standby and schedule a resend."""
    attempt = state.attempts.get(req.attempt_id)
    req.hold_sent_at = state.now
    state.send(
        req.standby,
        Hold(
            request_id=req.request_id,
            epoch=req.epoch,
            owner=req.owner,
            lineage=req.lineage,
            account=req.account,
            profile=f"{req.profile.name} {profile_spec(req.profile)}",
            body=req.body,
            tokens=tuple(req.tokens),
            deadline_s=req.deadline_at - state.now,
            engine="" if attempt is None else attempt.engine,
            attempt_id="" if attempt is None else attempt.attempt_id,
        ),
    )
    if req.complete or req.settled:
        send_finish(state, req)
    schedule_resend(state, req)


def schedule_resend(state: GatewayState, req: Request) -> None:
    """Start the resend timer of a request unless it is running."""
    if req.resend_scheduled:
        return
    req.resend_scheduled = True
    state.set_timer(RESEND_INTERVAL_S, "resend copy", req.request_id)


def caught_up(req: Request) -> bool:
    """Return whether the standby holds all tokens and the end, if any."""
    ended = req.complete or req.settled
    if ended and not req.finish_acked:
        return False
    return req.confirmed and req.acked >= len(req.tokens)


def send_finish(state: GatewayState, req: Request) -> None:
    """Send the result code and the final length to the standby."""
    code = req.code if req.settled else Code.DONE
    state.send(
        req.standby,
        Finish(
            req.request_id, req.epoch, req.owner, int(code), len(req.tokens)
        ),
    )


@on_timer("resend copy")
def resend_replica(state: GatewayState, request_id: str) -> None:
    """Resend the request if the standby has not caught up."""
    req = state.requests.get(request_id)
    if req is None:
        return
    req.resend_scheduled = False
    if req.role is not Role.OWNER or not req.standby or caught_up(req):
        return
    if state.now - req.hold_sent_at < RESEND_INTERVAL_S:
        schedule_resend(state, req)
        return
    send_replica(state, req)


def confirm(state: GatewayState, req: Request) -> None:
    """Mark a request as accepted and notify its caller, once."""
    if req.confirmed:
        return
    req.confirmed = True
    state.log(LogEvent.REQUEST_ACCEPTED, request=req.request_id)
    state.trail(
        req.request_id,
        "accepted",
        owner=req.owner,
        standby=req.standby,
        profile=req.profile.name,
    )
    state.notify_waiters(req.request_id)


def add_tokens(
    state: GatewayState, req: Request, tokens: tuple[int, ...]
) -> None:
    """Append tokens to the answer and replicate them."""
    offset = len(req.tokens)
    req.tokens.extend(tokens)
    if not req.standby:
        release_tokens(state, req)
        return
    attempt = state.attempts.get(req.attempt_id)
    state.send(
        req.standby,
        Extend(
            req.request_id,
            req.epoch,
            req.owner,
            offset,
            tokens,
            "" if attempt is None else attempt.engine,
            req.attempt_id,
        ),
    )
    if req.acked == offset:
        req.hold_sent_at = state.now
    schedule_resend(state, req)


def finish_answer(state: GatewayState, req: Request) -> None:
    """Mark the answer as complete; it settles once it is replicated."""
    req.complete = True
    if req.standby:
        send_finish(state, req)
        schedule_resend(state, req)
    release_tokens(state, req)


def release_tokens(state: GatewayState, req: Request) -> None:
    """Release replicated tokens and settle a complete answer."""
    replicated = req.acked if req.standby else len(req.tokens)
    new_count = replicated - req.released
    if new_count > 0:
        _observe_release(state, req, new_count)
        req.released = replicated
        state.notify_waiters(req.request_id)
    end_replicated = req.finish_acked or not req.standby
    if req.complete and end_replicated and req.released == len(req.tokens):
        settle(state, req, Code.DONE)


def _observe_release(
    state: GatewayState, req: Request, new_count: int
) -> None:
    """Update latency metrics and forecast for released tokens."""
    metrics = state.metrics
    metrics.tokens.inc(new_count)
    if req.first_token_at == 0.0:
        req.first_token_at = state.now
        if req.attempts_made == 1 and req.predicted_s > 0.0:
            state.forecast(req.profile.backend).record(
                predicted_s=req.predicted_s,
                actual_s=state.now - req.accepted_at,
                target_s=req.profile.first_token_s,
            )
        metrics.first_token.labels(req.profile.name).observe(
            state.now - req.accepted_at
        )
    else:
        gap_s = (state.now - req.last_token_at) / new_count
        metrics.token_gap.observe(max(0.0, gap_s))
    req.last_token_at = state.now


def settle(state: GatewayState, req: Request, code: Code) -> None:
    """Settle a request with a result code, once."""
    if req.settled:
        return
    req.code = code
    if req.profile.backend in state.queues:
        state.queue(req.profile.backend).remove(req.request_id)
    state.requests.touch(req.request_id)
    if req.standby and code is not Code.DONE:
        send_finish(state, req)
        schedule_resend(state, req)
    state.metrics.answers.labels(req.profile.name, code.name).inc()
    state.metrics.latency.labels(req.profile.name).observe(
        state.now - req.accepted_at
    )
    state.log(
        LogEvent.REQUEST_FINISHED, request=req.request_id, code=int(code)
    )
    state.trail(req.request_id, "settled", code=code.name)
    state.set_timer(
        state.cfg.timings.finished_keep_s, "forget request", req.request_id
    )
    state.notify_waiters(req.request_id)


@on_timer("forget request")
def forget_request(state: GatewayState, request_id: str) -> None:
    """Remove a settled or moved request after its retention time."""
    req = state.requests.get(request_id)
    if req is None:
        return
    if req.settled or req.role is Role.MOVED:
        state.requests.drop(request_id)
        state.notify_waiters(request_id)


@receives(HoldAck)
def handle_hold_ack(state: GatewayState, sender: str, msg: HoldAck) -> None:
    """Release what the standby holds; resend what it lacks."""
    req = state.requests.get(msg.request_id)
    if req is None or req.role is not Role.OWNER or sender != req.standby:
        if msg.owner == state.identity:
            state.send(sender, Drop(msg.request_id, msg.epoch, msg.owner))
        return
    if (msg.epoch, msg.owner) != req.branch:
        return
    req.finish_acked = msg.finished
    if msg.length < 0 or msg.length < req.acked:
        send_replica(state, req)
        return
    req.acked = min(msg.length, len(req.tokens))
    confirm(state, req)
    release_tokens(state, req)


@system(50)
def assign_missing_standbys(state: GatewayState) -> None:
    """Assign standbys to unreplicated requests once there are peers."""
    if not state.requests.count("without_standby", True) or not serving_peers(
        state
    ):
        return
    for request_id in state.requests.find("without_standby", True):
        assign_standby(state, state.requests.rows[request_id])
