"""Replicas held for other processes, and takeover of their requests.

After a takeover the standby acknowledges nothing more, so an owner that is
wrongly considered dead cannot release further tokens.
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
from magnoliaflow.serving.conflicts import resolve_conflict
from magnoliaflow.serving.membership import on_death
from magnoliaflow.serving.replication import assign_standby
from magnoliaflow.work.requests import Request
from magnoliaflow.work.requests import Role

REPLICA_CHECK_INTERVAL_S = 30.0


@receives(Hold)
def handle_hold(state: GatewayState, sender: str, msg: Hold) -> None:
    """Store or update a replica and acknowledge its length."""
    req = state.requests.get(msg.request_id)
    if req is not None and resolve_conflict(
        state, sender, req, msg.epoch, msg.owner
    ):
        return
    if state.phase is Phase.STOPPED:
        return
    if req is None or req.role is Role.MOVED:
        req = _new_replica(state, msg)
        state.requests.put(msg.request_id, req)
        state.set_timer(REPLICA_CHECK_INTERVAL_S, "check copy", msg.request_id)
    elif req.role is Role.STANDBY:
        _update_replica(req, msg)
        state.requests.touch(msg.request_id)
    _acknowledge(state, sender, req)


def _new_replica(state: GatewayState, msg: Hold) -> Request:
    """Return a replica as its owner describes it."""
    name, _, spec = msg.profile.partition(" ")
    fields = loads(msg.body) if msg.body else {}
    profile = parse_spec(name, spec)
    prompt = str(fields.get("prompt", ""))
    requested = int(fields.get("max_tokens", 0)) or profile.max_tokens
    req = Request(
        request_id=msg.request_id,
        account=msg.account,
        profile=profile,
        body=msg.body,
        prompt=prompt,
        blocks=prefix_blocks(prompt),
        max_tokens=min(requested, profile.max_tokens),
        accepted_at=state.now,
        deadline_at=state.now + msg.deadline_s,
        role=Role.STANDBY,
        owner=msg.owner,
        confirmed=True,
        may_have_run=True,
    )
    _update_replica(req, msg)
    return req


def _update_replica(req: Request, msg: Hold) -> None:
    """Update the branch, tokens and attempt of a replica.

    Tokens of the same branch are never shortened.
    """
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
def handle_extend(state: GatewayState, sender: str, msg: Extend) -> None:
    """Append tokens to a replica; answer a gap with the length held."""
    req = state.requests.get(msg.request_id)
    if req is None:
        ack = HoldAck(msg.request_id, msg.epoch, msg.owner, -1, False)
        state.send(sender, ack)
        return
    if resolve_conflict(state, sender, req, msg.epoch, msg.owner):
        return
    if req.role is not Role.STANDBY or req.owner != msg.owner:
        return
    already_held = len(req.tokens) - msg.offset
    if 0 <= already_held < len(msg.tokens):
        req.tokens.extend(msg.tokens[already_held:])
    req.resume_engine = msg.engine
    req.resume_attempt = msg.attempt_id
    req.hold_sent_at = state.now
    _acknowledge(state, sender, req)


@receives(Finish)
def handle_finish(state: GatewayState, sender: str, msg: Finish) -> None:
    """Settle a replica once it holds all of its tokens."""
    req = state.requests.get(msg.request_id)
    if req is None or req.role is not Role.STANDBY:
        return
    if resolve_conflict(state, sender, req, msg.epoch, msg.owner):
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
def handle_drop(state: GatewayState, sender: str, msg: Drop) -> None:
    """Drop a replica that its owner no longer needs."""
    req = state.requests.get(msg.request_id)
    if req is None or req.role is not Role.STANDBY:
        return
    if (msg.epoch, msg.owner) == req.branch:
        state.requests.drop(msg.request_id)


@on_timer("check copy")
def check_replica(state: GatewayState, request_id: str) -> None:
    """Acknowledge an idle replica; its owner drops an obsolete one."""
    req = state.requests.get(request_id)
    if req is None or req.role is not Role.STANDBY:
        return
    if state.now - req.hold_sent_at >= REPLICA_CHECK_INTERVAL_S:
        _acknowledge(state, req.owner, req)
    state.set_timer(REPLICA_CHECK_INTERVAL_S, "check copy", request_id)


@receives(Handover)
def handle_handover(state: GatewayState, sender: str, msg: Handover) -> None:
    """Take over a request because its owner is draining."""
    req = state.requests.get(msg.request_id)
    if req is None or req.role is not Role.STANDBY:
        return
    if (msg.epoch, msg.owner) == req.branch:
        take_over(state, req, "handover")


def take_over(state: GatewayState, req: Request, reason: str) -> None:
    """Become the owner of a replicated request, on a new branch.

    The answer continues from the tokens of the replica, so nothing that the
    caller may have read changes.
    """
    previous = req.owner
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
    state.send(previous, Stop(req.request_id, req.epoch, req.owner))
    assign_standby(state, req)
    if not settled:
        enqueue(state, req)
    state.notify_waiters(req.request_id)


@on_death
def handle_peer_death(state: GatewayState, identity: str) -> None:
    """Take over from a dead owner; replace a dead standby."""
    for request_id in state.requests.find("owner", identity):
        req = state.requests.rows[request_id]
        if req.role is Role.STANDBY:
            take_over(state, req, "owner dead")
    for request_id in state.requests.find("standby", identity):
        req = state.requests.rows[request_id]
        if req.role is Role.OWNER:
            assign_standby(state, req)
