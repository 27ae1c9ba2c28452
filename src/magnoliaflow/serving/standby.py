"""The holder's part in custody: keeping a copy and taking over.

To take over is to acknowledge no more, so an owner that is wrongly taken
for dead can release nothing further.
"""

from json import loads

from magnoliaflow.cluster.profiles import parse_spec
from magnoliaflow.cluster.profiles import Target
from magnoliaflow.common.blocks import prefix_blocks
from magnoliaflow.common.codes import Code
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.lifecycle import Phase
from magnoliaflow.common.messages import Drop
from magnoliaflow.common.messages import Extend
from magnoliaflow.common.messages import Finish
from magnoliaflow.common.messages import Handover
from magnoliaflow.common.messages import Hold
from magnoliaflow.common.messages import HoldAck
from magnoliaflow.common.messages import Parting
from magnoliaflow.common.messages import Stop
from magnoliaflow.core.state import GatewayState
from magnoliaflow.core.systems import on_timer
from magnoliaflow.core.systems import receives
from magnoliaflow.serving.attempts import enqueue
from magnoliaflow.serving.branches import other_branch
from magnoliaflow.serving.custody import place_copy
from magnoliaflow.serving.membership import on_death
from magnoliaflow.work.requests import Request
from magnoliaflow.work.requests import Role

COPY_CHECK_S = 30.0


@receives(Hold)
def take_copy(state: GatewayState, sender: str, msg: Hold) -> None:
    """Hold a copy of a peer's request and say how much is held."""
    req = state.requests.get(msg.request_id)
    if req is not None and other_branch(
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
    if other_branch(state, sender, req, msg.epoch, msg.owner):
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
    if other_branch(state, sender, req, msg.epoch, msg.owner):
        return
    if len(req.tokens) == msg.length and not req.settled:
        req.code = Code(msg.code)
        req.complete = req.code is Code.DONE
        state.requests.touch(req.request_id)
        state.set_timer(
            state.cfg.timings.finished_keep_s,
            "forget request",
            req.request_id,
        )
    _acknowledge(state, sender, req)


@receives(Drop)
def take_drop(state: GatewayState, sender: str, msg: Drop) -> None:
    """Release a copy that its owner no longer needs here."""
    req = state.requests.get(msg.request_id)
    if req is None or req.role is not Role.STANDBY:
        return
    if (msg.epoch, msg.owner) == req.branch:
        state.requests.drop(msg.request_id)


@on_timer("check copy")
def check_copy(state: GatewayState, request_id: str) -> None:
    """Ask the owner of a quiet copy, who drops it if it is not needed."""
    req = state.requests.get(request_id)
    if req is None or req.role is not Role.STANDBY:
        return
    if state.now - req.hold_sent_at >= COPY_CHECK_S:
        _acknowledge(state, req.owner, req)
    state.set_timer(COPY_CHECK_S, "check copy", request_id)


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
    state.notify_waiters(req.request_id)


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
