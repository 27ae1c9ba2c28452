"""Sending the work of a dispatched claim, once, and stating its outcome."""

from magnoliaflow.common.codes import Code
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.records import Outcome
from magnoliaflow.core.commands import CallService
from magnoliaflow.core.commands import QueryStatus
from magnoliaflow.core.inputs import Ending
from magnoliaflow.core.inputs import ServiceAnswered
from magnoliaflow.core.inputs import StatusAnswered
from magnoliaflow.core.state import CLAIM_STREAM
from magnoliaflow.core.state import GatewayState
from magnoliaflow.core.systems import handles
from magnoliaflow.core.systems import on_timer
from magnoliaflow.serving.logsession import append
from magnoliaflow.serving.membership import hash_rank
from magnoliaflow.work.claims import Claim
from magnoliaflow.work.claims import ClaimState

SEND_RETRY_S = 0.5


def pick_service(state: GatewayState, claim: Claim) -> str:
    """Return the service for a claim, '' if none is usable."""
    profile = state.profiles.in_force.get(claim.profile)
    backend = claim.profile if profile is None else profile.backend
    names = [
        name
        for name in state.routing.groups.get(backend, ())
        if state.routing.engines[name].usable(state.now)
    ]
    if not names:
        return ""
    return min(
        names,
        key=lambda name: (
            state.routing.engines[name].own_running,
            hash_rank(claim.key, name),
        ),
    )


def send(state: GatewayState, claim: Claim) -> None:
    """Send the work of a dispatched claim, the only time."""
    server = pick_service(state, claim)
    if not server:
        state.metrics.retries.labels("no_service").inc()
        state.set_timer(SEND_RETRY_S, "send claim", claim.key)
        return
    state.log(LogEvent.CLAIM_DISPATCHED, request=claim.key, server=server)
    state.trail(claim.key, "sent", server=server, epoch=claim.epoch)
    state.routing.engines[server].note_sent(0, state.now)
    state.claim_servers[claim.key] = server
    state.emit(
        CallService(
            server,
            claim.key,
            claim.submission,
            claim.epoch,
            claim.profile,
            claim.body,
        )
    )


@on_timer("send claim")
def send_due(state: GatewayState, key: str) -> None:
    """Send a dispatched claim for which no attempt has been started."""
    claim = state.claims.claims.get(key)
    if claim is None or claim.state is not ClaimState.DISPATCHED:
        return
    if claim.owner == state.identity and key not in state.claim_servers:
        send(state, claim)


@handles(ServiceAnswered)
def take_service_answer(state: GatewayState, item: ServiceAnswered) -> None:
    """State the outcome; try again only what was confirmed not started."""
    server = state.claim_servers.pop(item.key, "")
    if server in state.routing.engines:
        state.routing.engines[server].note_ended()
    claim = state.claims.current(item.key, item.submission)
    if claim is None:
        return
    if item.ending is Ending.NOT_STARTED:
        state.metrics.retries.labels("service_not_started").inc()
        state.set_timer(SEND_RETRY_S, "send claim", item.key)
        return
    if item.ending is Ending.LOST:
        ask_status(state, claim)
        return
    code = Code.DONE if item.ending is Ending.DONE else Code.BACKEND_FAILED
    append_outcome(state, claim, code, item.body)


def ask_status(state: GatewayState, claim: Claim) -> None:
    """Ask every service that can tell what became of a claim.

    Which one the work went to may be known only to a process that is
    dead.
    """
    profile = state.profiles.in_force.get(claim.profile)
    backend = claim.profile if profile is None else profile.backend
    servers = [
        name
        for name in state.routing.groups.get(backend, ())
        if state.routing.engines[name].cfg.answers_status
        and state.routing.engines[name].usable(state.now)
    ]
    if not servers:
        append_outcome(state, claim, Code.OUTCOME_UNKNOWN, b"")
        return
    state.status_replies_due[claim.key] = len(servers)
    state.metrics.retries.labels("status_asked").inc()
    for server in servers:
        state.emit(
            QueryStatus(server, claim.key, claim.submission, claim.epoch)
        )


@handles(StatusAnswered)
def take_status(state: GatewayState, item: StatusAnswered) -> None:
    """State the outcome a service knows of, else that it is unknown."""
    left = state.status_replies_due.get(item.key, 0) - 1
    claim = state.claims.current(item.key, item.submission)
    if claim is None or left < 0:
        return
    state.status_replies_due[item.key] = left
    if item.known or left == 0:
        del state.status_replies_due[item.key]
    if item.known:
        code = Code.DONE if item.succeeded else Code.BACKEND_FAILED
        append_outcome(state, claim, code, item.body)
    elif left == 0:
        append_outcome(state, claim, Code.OUTCOME_UNKNOWN, b"")


def append_outcome(
    state: GatewayState, claim: Claim, code: Code, body: bytes
) -> None:
    """Append how a dispatched claim ended."""
    append(
        state,
        CLAIM_STREAM,
        Outcome(
            claim.key,
            claim.submission,
            claim.epoch,
            int(code),
            body,
            state.wall,
        ),
    )
