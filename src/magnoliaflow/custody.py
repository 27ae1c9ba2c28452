"""Custody of idempotent requests by two gateways.

The owner copies a request to a standby before the caller hears that it
was accepted, and releases a token only when the standby holds it.  To
take over is to acknowledge no more, so an owner that is wrongly taken for
dead can release nothing further.
"""

from json import loads

from magnoliaflow.attempts import enqueue
from magnoliaflow.attempts import stop_attempt
from magnoliaflow.blocks import prefix_blocks
from magnoliaflow.codes import Code
from magnoliaflow.eventlog import LogEvent
from magnoliaflow.lifecycle import Phase
from magnoliaflow.membership import on_death
from magnoliaflow.membership import pick_standby
from magnoliaflow.membership import serving_peers
from magnoliaflow.messages import Drop
from magnoliaflow.messages import Extend
from magnoliaflow.messages import Find
from magnoliaflow.messages import Finish
from magnoliaflow.messages import Found
from magnoliaflow.messages import Handover
from magnoliaflow.messages import Hold
from magnoliaflow.messages import HoldAck
from magnoliaflow.messages import Parting
from magnoliaflow.messages import Stop
from magnoliaflow.profiles import parse_spec
from magnoliaflow.profiles import profile_spec
from magnoliaflow.profiles import Target
from magnoliaflow.requests import Request
from magnoliaflow.requests import Role
from magnoliaflow.state import GatewayState
from magnoliaflow.systems import on_timer
from magnoliaflow.systems import receives
from magnoliaflow.systems import system

RESEND_S = 0.5
COPY_CHECK_S = 30.0
MOVED_KEPT_S = 120.0


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
    state.changed(req.request_id)


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
        state.changed(req.request_id)
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
    req.settled_at = state.now
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
    state.changed(req.request_id)


@on_timer("forget request")
def forget_request(state: GatewayState, request_id: str) -> None:
    """Drop a request that ended long enough ago."""
    req = state.requests.get(request_id)
    if req is None:
        return
    if req.settled or req.role is Role.MOVED:
        state.requests.drop(request_id)
        state.changed(request_id)


def _other_branch(
    state: GatewayState, sender: str, req: Request, epoch: int, owner: str
) -> bool:
    """Settle a meeting of two branches; return whether ours goes on."""
    if (epoch, owner) == req.branch:
        return False
    if (epoch, owner) < req.branch:
        state.send(sender, Stop(req.request_id, *req.branch))
        return True
    if req.role is Role.OWNER:
        yield_branch(state, req, epoch, owner)
    return False


def yield_branch(
    state: GatewayState, req: Request, epoch: int, owner: str
) -> None:
    """Stop serving a request because a higher branch goes on."""
    stop_attempt(state, req)
    if req.profile.backend in state.queues:
        state.queue(req.profile.backend).drop(req.request_id)
    req.role = Role.MOVED
    req.epoch = epoch
    req.owner = owner
    req.standby = ""
    state.requests.touch(req.request_id)
    state.trail(req.request_id, "moved", owner=owner)
    state.set_timer(MOVED_KEPT_S, "forget request", req.request_id)
    state.changed(req.request_id)


@receives(Hold)
def take_copy(state: GatewayState, sender: str, msg: Hold) -> None:
    """Hold a copy of a peer's request and say how much is held."""
    req = state.requests.get(msg.request_id)
    if req is not None and _other_branch(
        state, sender, req, msg.epoch, msg.owner
    ):
        return
    if state.phase is Phase.STOPPED:
        return
    if req is None or req.role is Role.MOVED:
        req = _copy_of(state, msg)
        state.requests.put(msg.request_id, req)
        state.set_timer(COPY_CHECK_S, "check copy", msg.request_id)
    elif req.role is Role.STANDBY:
        _refresh_copy(req, msg)
        state.requests.touch(msg.request_id)
    _acknowledge(state, sender, req)


def _copy_of(state: GatewayState, msg: Hold) -> Request:
    """Return the row of a copy."""
    name, _, spec = msg.profile.partition(" ")
    content = loads(msg.body) if msg.body else {}
    profile = parse_spec(name, spec)
    prompt = str(content.get("prompt", ""))
    wanted = int(content.get("max_tokens", 0)) or profile.max_tokens
    req = Request(
        request_id=msg.request_id,
        account=msg.account,
        profile=profile,
        body=msg.body,
        prompt=prompt,
        blocks=prefix_blocks(prompt),
        max_tokens=min(wanted, profile.max_tokens),
        accepted_at=state.now,
        deadline_at=state.now + msg.deadline_s,
        role=Role.STANDBY,
        owner=msg.owner,
        confirmed=True,
        maybe_run=True,
    )
    _refresh_copy(req, msg)
    return req


def _refresh_copy(req: Request, msg: Hold) -> None:
    """Take over what the owner says of its branch."""
    same_branch = (msg.epoch, msg.owner) == req.branch
    req.epoch = msg.epoch
    req.owner = msg.owner
    req.lineage = msg.lineage
    if not same_branch or len(msg.tokens) >= len(req.tokens):
        req.tokens = list(msg.tokens)
    req.resume_engine = msg.engine
    req.resume_attempt = msg.attempt_id


def _acknowledge(state: GatewayState, sender: str, req: Request) -> None:
    state.send(
        sender,
        HoldAck(
            req.request_id,
            req.epoch,
            req.owner,
            len(req.tokens),
            req.settled,
        ),
    )


@receives(Extend)
def take_tokens(state: GatewayState, sender: str, msg: Extend) -> None:
    """Add tokens to a held copy; a gap is answered with what is held."""
    req = state.requests.get(msg.request_id)
    if req is None:
        ack = HoldAck(msg.request_id, msg.epoch, msg.owner, -1, False)
        state.send(sender, ack)
        return
    if _other_branch(state, sender, req, msg.epoch, msg.owner):
        return
    if req.role is not Role.STANDBY or req.owner != msg.owner:
        return
    known = len(req.tokens) - msg.offset
    if 0 <= known < len(msg.tokens):
        req.tokens.extend(msg.tokens[known:])
    req.resume_engine = msg.engine
    req.resume_attempt = msg.attempt_id
    req.hold_sent_at = state.now
    _acknowledge(state, sender, req)


@receives(Finish)
def take_finish(state: GatewayState, sender: str, msg: Finish) -> None:
    """Note the end of a held request once all its tokens are held."""
    req = state.requests.get(msg.request_id)
    if req is None or req.role is not Role.STANDBY:
        return
    if _other_branch(state, sender, req, msg.epoch, msg.owner):
        return
    if len(req.tokens) == msg.length and not req.settled:
        req.code = Code(msg.code)
        req.settled_at = state.now
        req.complete = req.code is Code.DONE
        state.requests.touch(req.request_id)
        state.set_timer(
            state.cfg.timings.finished_keep_s,
            "forget request",
            req.request_id,
        )
    _acknowledge(state, sender, req)


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


@receives(Stop)
def take_stop(state: GatewayState, sender: str, msg: Stop) -> None:
    """Stop serving a request of which a higher branch goes on."""
    req = state.requests.get(msg.request_id)
    if req is None or (msg.epoch, msg.owner) <= req.branch:
        return
    if req.role is Role.OWNER:
        yield_branch(state, req, msg.epoch, msg.owner)
        return
    if req.role is Role.MOVED:
        req.epoch = msg.epoch
        req.owner = msg.owner


@receives(Drop)
def take_drop(state: GatewayState, sender: str, msg: Drop) -> None:
    """Release a copy that its owner no longer needs here."""
    req = state.requests.get(msg.request_id)
    if req is None or req.role is not Role.STANDBY:
        return
    if (msg.epoch, msg.owner) == req.branch:
        state.requests.drop(msg.request_id)


@receives(Handover)
def take_handover(state: GatewayState, sender: str, msg: Handover) -> None:
    """Take a request over because its owner leaves."""
    req = state.requests.get(msg.request_id)
    if req is None or req.role is not Role.STANDBY:
        return
    if (msg.epoch, msg.owner) == req.branch:
        take_over(state, req, "handover")


def take_over(state: GatewayState, req: Request, reason: str) -> None:
    """Become the owner of a held request, on a new branch.

    The answer continues from the tokens held here; nothing that the
    caller may have read changes.
    """
    before = req.owner
    settled = req.settled
    if not settled and req.profile.target is Target.SERVICE:
        req.tokens = []
    parting = Parting(req.epoch, req.owner, len(req.tokens))
    req.lineage = (*req.lineage, parting)
    req.epoch += 1
    req.owner = state.identity
    req.role = Role.OWNER
    req.standby = ""
    req.confirmed = True
    req.released = len(req.tokens)
    state.requests.touch(req.request_id)
    state.metrics.takeovers.labels(reason).inc()
    state.log(
        LogEvent.REQUEST_TAKEN_OVER, request=req.request_id, reason=reason
    )
    state.trail(
        req.request_id, "taken over", reason=reason, tokens=len(req.tokens)
    )
    state.send(before, Stop(req.request_id, req.epoch, req.owner))
    place_copy(state, req)
    if not settled:
        enqueue(state, req)
    state.changed(req.request_id)


@on_death
def replace_dead(state: GatewayState, identity: str) -> None:
    """Take over from a dead owner; replace a dead standby."""
    for request_id in state.requests.find("owner", identity):
        req = state.requests.rows[request_id]
        if req.role is Role.STANDBY:
            take_over(state, req, "owner dead")
    for request_id in state.requests.find("standby", identity):
        req = state.requests.rows[request_id]
        if req.role is Role.OWNER:
            place_copy(state, req)


@on_timer("check copy")
def check_copy(state: GatewayState, request_id: str) -> None:
    """Ask the owner of a quiet copy, who drops it if it is not needed."""
    req = state.requests.get(request_id)
    if req is None or req.role is not Role.STANDBY:
        return
    if state.now - req.hold_sent_at >= COPY_CHECK_S:
        _acknowledge(state, req.owner, req)
    state.set_timer(COPY_CHECK_S, "check copy", request_id)


@system(50)
def end_solitude(state: GatewayState) -> None:
    """Give a standby to requests that had none to be had before."""
    if not state.requests.count("alone", True) or not serving_peers(state):
        return
    for request_id in state.requests.find("alone", True):
        place_copy(state, state.requests.rows[request_id])


@receives(Find)
def answer_find(state: GatewayState, sender: str, msg: Find) -> None:
    """Tell a peer who serves a request, if it is known here."""
    address = serving_address(state, msg.request_id)
    if address:
        state.send(sender, Found(msg.request_id, address))


def serving_address(state: GatewayState, request_id: str) -> str:
    """Return the caller address that serves a request, '' if unknown."""
    req = state.requests.get(request_id)
    if req is None:
        return ""
    if req.role is Role.OWNER:
        return state.host.caller_address
    peer = state.peers.get(req.owner)
    return "" if peer is None else peer.caller_address
