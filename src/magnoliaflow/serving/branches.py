"""Meeting branches of one answer: the higher name goes on."""

from magnoliaflow.common.messages import Stop
from magnoliaflow.core.state import GatewayState
from magnoliaflow.core.systems import receives
from magnoliaflow.serving.attempts import stop_attempt
from magnoliaflow.work.requests import Request
from magnoliaflow.work.requests import Role

MOVED_KEPT_S = 120.0


def other_branch(
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
    state.notify_waiters(req.request_id)


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
