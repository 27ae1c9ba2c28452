"""Lookup of the gateway that serves a request."""

from magnoliaflow.common.messages import Find
from magnoliaflow.common.messages import Found
from magnoliaflow.core.state import GatewayState
from magnoliaflow.core.systems import receives
from magnoliaflow.work.requests import Role


def serving_address(state: GatewayState, request_id: str) -> str:
    """Return the caller address of a request's owner, '' if unknown."""
    req = state.requests.get(request_id)
    if req is None:
        return ""
    if req.role is Role.OWNER:
        return state.host.caller_address
    peer = state.peers.get(req.owner)
    return "" if peer is None else peer.caller_address


@receives(Find)
def handle_find(state: GatewayState, sender: str, msg: Find) -> None:
    """Tell a peer which gateway serves a request, if it is known."""
    address = serving_address(state, msg.request_id)
    if address:
        state.send(sender, Found(msg.request_id, address))
