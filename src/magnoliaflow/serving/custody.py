"""The owner's part in custody of idempotent requests.

The owner copies a request to a standby before the caller hears that it
was accepted, and releases a token only when the standby holds it.
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
from magnoliaflow.serving.membership import pick_standby
from magnoliaflow.serving.membership import serving_peers
from magnoliaflow.work.requests import Request
from magnoliaflow.work.requests import Role

RESEND_S = 0.5


def place_copy(state: GatewayState, req: Request) -> None:
    """Give the request a standby and send it the whole copy.

    Without any peer to hold it, the request is served alone.
    """
    before = req.standby
    req.standby = pick_standby(state, req.request_id, avoid=before)
    req.acked = 0
    req.finish_acked = False
    if req.standby == "":
        req.standby = before if before in state.peers else ""
    state.requests.touch(req.request_id)
    if req.standby == "":
        confirm(state, req)
        release(state, req)
        return
    if before and before != req.standby:
        state.send(before, Drop(req.request_id, req.epoch, req.owner))
    send_copy(state, req)


def send_copy(state: GatewayState, req: Request) -> None:
    """Send the whole request to its standby and watch for the answer."""
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
    arm_resend(state, req)


def arm_resend(state: GatewayState, req: Request) -> None:
    """Watch for the standby's answer with one timer a request."""
    if req.resend_armed:
        return
    req.resend_armed = True
    state.set_timer(RESEND_S, "resend copy", req.request_id)


def caught_up(req: Request) -> bool:
    """Return whether the standby holds all there is to hold."""
    ended = req.complete or req.settled
    if ended and not req.finish_acked:
        return False
    return req.confirmed and req.acked >= len(req.tokens)


def send_finish(state: GatewayState, req: Request) -> None:
    """Tell the standby how the request ends."""
    code = req.code if req.settled else Code.DONE
    state.send(
        req.standby,
        Finish(
            req.request_id, req.epoch, req.owner, int(code), len(req.tokens)
        ),
    )


@on_timer("resend copy")
def resend_copy(state: GatewayState, request_id: str) -> None:
    """Send the copy again if the standby has not caught up."""
    req = state.requests.get(request_id)
    if req is None:
        return
    req.resend_armed = False
    if req.role is not Role.OWNER or not req.standby or caught_up(req):
        return
    if state.now - req.hold_sent_at < RESEND_S:
        arm_resend(state, req)
        return
    send_copy(state, req)


def confirm(state: GatewayState, req: Request) -> None:
    """Let the caller hear that the request is accepted."""
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
    """Append tokens of the answer and pass them to the standby."""
    offset = len(req.tokens)
    req.tokens.extend(tokens)
    if not req.standby:
        release(state, req)
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
    arm_resend(state, req)


def finish_answer(state: GatewayState, req: Request) -> None:
    """Note that the answer is whole; it settles once it is held."""
    req.complete = True
    if req.standby:
        send_finish(state, req)
        arm_resend(state, req)
    release(state, req)


def release(state: GatewayState, req: Request) -> None:
    """Let the caller read every token that the standby holds."""
    held = req.acked if req.standby else len(req.tokens)
    fresh = held - req.released
    if fresh > 0:
        _observe_release(state, req, fresh)
        req.released = held
        state.notify_waiters(req.request_id)
    end_held = req.finish_acked or not req.standby
    if req.complete and end_held and req.released == len(req.tokens):
        settle(state, req, Code.DONE)


def _observe_release(state: GatewayState, req: Request, fresh: int) -> None:
    """Record latency metrics for newly released tokens."""
    metrics = state.metrics
    metrics.tokens.inc(fresh)
    if req.first_token_at == 0.0:
        req.first_token_at = state.now
        if req.attempts_made == 1 and req.predicted_s > 0.0:
            state.forecast(req.profile.backend).note(
                predicted_s=req.predicted_s,
                actual_s=state.now - req.accepted_at,
                target_s=req.profile.first_token_s,
            )
        metrics.first_token.labels(req.profile.name).observe(
            state.now - req.accepted_at
        )
    else:
        gap = (state.now - req.last_token_at) / fresh
        metrics.token_gap.observe(max(0.0, gap))
    req.last_token_at = state.now


def settle(state: GatewayState, req: Request, code: Code) -> None:
    """End a request with a result code, once."""
    if req.settled:
        return
    req.code = code
    if req.profile.backend in state.queues:
        state.queue(req.profile.backend).drop(req.request_id)
    state.requests.touch(req.request_id)
    if req.standby and code is not Code.DONE:
        send_finish(state, req)
        arm_resend(state, req)
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
    """Drop a request that ended long enough ago."""
    req = state.requests.get(request_id)
    if req is None:
        return
    if req.settled or req.role is Role.MOVED:
        state.requests.drop(request_id)
        state.notify_waiters(request_id)


@receives(HoldAck)
def take_ack(state: GatewayState, sender: str, msg: HoldAck) -> None:
    """Release what the standby holds; send again what it lacks."""
    req = state.requests.get(msg.request_id)
    if req is None or req.role is not Role.OWNER or sender != req.standby:
        if msg.owner == state.identity:
            state.send(sender, Drop(msg.request_id, msg.epoch, msg.owner))
        return
    if (msg.epoch, msg.owner) != req.branch:
        return
    req.finish_acked = msg.finished
    if msg.length < 0 or msg.length < req.acked:
        send_copy(state, req)
        return
    req.acked = min(msg.length, len(req.tokens))
    confirm(state, req)
    release(state, req)


@system(50)
def end_solitude(state: GatewayState) -> None:
    """Give a standby to requests that had none to be had before."""
    if not state.requests.count("without_standby", True) or not serving_peers(
        state
    ):
        return
    for request_id in state.requests.find("without_standby", True):
        place_copy(state, state.requests.rows[request_id])
