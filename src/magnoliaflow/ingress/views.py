"""JSON values that are returned to callers and operators."""

from dataclasses import asdict
from json import loads
from typing import Any

from magnoliaflow.cluster.profiles import Target
from magnoliaflow.common.codes import Code
from magnoliaflow.core.state import GatewayState
from magnoliaflow.serving.claimprocessing import claim_code
from magnoliaflow.serving.membership import caller_addresses
from magnoliaflow.work.claimids import ClaimId
from magnoliaflow.work.claims import ClaimState
from magnoliaflow.work.requests import Request
from magnoliaflow.work.requests import Role

RETRY_AFTER_S = {
    Code.ACCOUNT_OVER_SHARE: 2.0,
    Code.DEADLINE_UNREACHABLE: 2.0,
    Code.LOG_DOWN: 5.0,
    Code.NO_BACKEND: 2.0,
    Code.PROFILES_STALE: 2.0,
    Code.PENDING: 1.0,
    Code.DRAINING: 0.0,
}
CODES_WITH_ADDRESSES = (
    Code.DRAINING,
    Code.PROFILES_STALE,
    Code.LOG_DOWN,
    Code.NOT_FOUND,
)


def code_view(
    state: GatewayState, code: Code, request_id: str = ""
) -> dict[str, Any]:
    """Return the description of a result code for a caller."""
    view: dict[str, Any] = {
        "code": int(code),
        "name": code.name,
        "run": code.executed.value,
        "meaning": code.meaning,
    }
    if request_id:
        view["request_id"] = request_id
    if code in RETRY_AFTER_S:
        view["retry_after_s"] = RETRY_AFTER_S[code]
    if code in CODES_WITH_ADDRESSES:
        view["addresses"] = caller_addresses(state)
    return view


def request_code(req: Request) -> Code:
    """Return the result code, PENDING until acceptance is confirmed."""
    if req.settled:
        return req.code
    return Code.ACCEPTED if req.confirmed else Code.PENDING


def request_view(state: GatewayState, req: Request) -> dict[str, Any]:
    """Return the state and the answer of an idempotent request."""
    code = request_code(req)
    view = code_view(state, code, req.request_id)
    released = req.tokens[: req.released] if not req.settled else req.tokens
    if req.profile.target is Target.MODEL:
        view["tokens"] = list(released)
    elif code is Code.DONE:
        view["result"] = loads(bytes(req.tokens))
    view["branch"] = f"{req.epoch}.{req.owner}"
    return view


def claim_view(state: GatewayState, name: ClaimId) -> dict[str, Any]:
    """Return the state and the result of a non-idempotent request."""
    code = claim_code(state, name) or Code.NOT_FOUND
    view = code_view(state, code, name.request_id)
    claim = state.claims.claims.get(name.full_key)
    if claim is not None and claim.state is ClaimState.CLOSED:
        if claim.result and code is not Code.KEY_CONFLICT:
            view["result"] = loads(claim.result)
    return view


def status_view(state: GatewayState) -> dict[str, Any]:
    """Return the status of this gateway."""
    return {
        "identity": state.identity,
        "host": state.host.name,
        "zone": state.host.zone,
        "phase": state.phase.name,
        "log_up": state.log_up,
        "log_era": max(cursor.era for cursor in state.cursors.values()),
        "applied": {
            name: cursor.position - 1 for name, cursor in state.cursors.items()
        },
        "profiles_complete": state.profiles.complete,
        "profiles": {
            name: entry.version
            for name, entry in sorted(state.profiles.entries.items())
        },
        "owned": state.requests.count("role", (Role.OWNER, False)),
        "held": state.requests.count("role", (Role.STANDBY, False)),
        "unsettled_claims": sum(1 for _ in state.claims.unsettled()),
        "pending_appends": len(state.pending_appends),
        "peers": [
            {
                "identity": peer.identity,
                "zone": peer.zone,
                "phase": peer.phase.name,
                "silent_s": round(state.now - peer.last_heartbeat_at, 3),
                "applied": peer.applied,
            }
            for peer in state.peers
        ],
        "backend_servers": [
            {
                "name": engine.name,
                "host": engine.cfg.host,
                "zone": engine.cfg.zone,
                "usable": engine.usable(state.now),
                "occupied": engine.occupied(),
                "limit": round(engine.limit, 2),
            }
            for engine in state.routing.engines.values()
        ],
        "noticed_hosts": sorted(state.leaving_hosts),
    }


def explain_view(state: GatewayState, request_id: str) -> dict[str, Any]:
    """Return the steps of a request that this gateway recorded."""
    steps = state.trails.get(request_id, [])
    return {
        "request_id": request_id,
        "identity": state.identity,
        "steps": [asdict(step) for step in steps],
    }
