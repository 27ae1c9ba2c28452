"""Branch conflicts: the branch with the higher (epoch, owner) continues."""

from magnoliaflow.common.messages import Stop
from magnoliaflow.core.state import GatewayState
from magnoliaflow.core.systems import receives
from magnoliaflow.serving.attempts import stop_attempt
from magnoliaflow.work.requests import Request
from magnoliaflow.work.requests import Role

MOVED_RETENTION_S = 120.0


def resolve_conflict(
    state: GatewayState, sender: str, req: Request, epoch: int, owner: str
) -> bool:
    """Resolve a branch conflict; return whether the local branch wins."""
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
    """Stop serving a request because a higher branch continues it."""
    stop_attempt(state, req)
    if req.profile.backend in state.queues:
        state.queue(req.profile.backend).remove(req.request_id)
    req.role = Role.MOVED
    req.epoch = epoch
    req.owner = owner
    req.standby = ""
    state.requests.touch(req.request_id)
    state.trail(req.request_id, "moved", owner=owner)
    state.set_timer(MOVED_RETENTION_S, "forget request", req.request_id)
    state.notify_waiters(req.request_id)


@receives(Stop)
def handle_stop(state: GatewayState, sender: str, msg: Stop) -> None:
    """Stop serving a request that a higher branch continues."""
    req = state.requests.get(msg.request_id)
    if req is None or (msg.epoch, msg.owner) <= req.branch:
        return
    if req.role is Role.OWNER:
        yield_branch(state, req, msg.epoch, msg.owner)
        return
    if req.role is Role.MOVED:
        req.epoch = msg.epoch
        req.owner = msg.owner
