"""Dispatch of claims to services, at most once, and their outcomes."""

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
from magnoliaflow.serving.logstreams import append
from magnoliaflow.serving.membership import rendezvous_rank
from magnoliaflow.work.claims import Claim
from magnoliaflow.work.claims import ClaimState

SEND_RETRY_DELAY_S = 0.5


def select_service(state: GatewayState, claim: Claim) -> str:
    """Return the usable service with the fewest local calls, or ''."""
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
            state.routing.engines[name].local_running,
            rendezvous_rank(claim.key, name),
        ),
    )


def send_claim(state: GatewayState, claim: Claim) -> None:
    """Send a dispatched claim; retry later if no service is usable."""
    server = select_service(state, claim)
    if not server:
        state.metrics.retries.labels("no_service").inc()
        state.set_timer(SEND_RETRY_DELAY_S, "send claim", claim.key)
        return
    state.log(LogEvent.CLAIM_DISPATCHED, request=claim.key, server=server)
    state.trail(claim.key, "sent", server=server, epoch=claim.epoch)
    state.routing.engines[server].record_sent(0, state.now)
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
def retry_send(state: GatewayState, key: str) -> None:
    """Send a dispatched claim for which no call was started."""
    claim = state.claims.claims.get(key)
    if claim is None or claim.state is not ClaimState.DISPATCHED:
        return
    if claim.owner == state.identity and key not in state.claim_servers:
        send_claim(state, claim)


@handles(ServiceAnswered)
def handle_service_answer(
    state: GatewayState, answer: ServiceAnswered
) -> None:
    """Append the outcome; retry only what was confirmed not started."""
    server = state.claim_servers.pop(answer.key, "")
    if server in state.routing.engines:
        state.routing.engines[server].record_ended()
    claim = state.claims.current(answer.key, answer.submission)
    if claim is None:
        return
    if answer.ending is Ending.NOT_STARTED:
        state.metrics.retries.labels("service_not_started").inc()
        state.set_timer(SEND_RETRY_DELAY_S, "send claim", answer.key)
        return
    if answer.ending is Ending.LOST:
        ask_status(state, claim)
        return
    code = Code.DONE if answer.ending is Ending.DONE else Code.BACKEND_FAILED
    append_outcome(state, claim, code, answer.body)


def ask_status(state: GatewayState, claim: Claim) -> None:
    """Ask every service that reports status for a claim's outcome.

    The process that knew which service received the claim may be dead.
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
def handle_status(state: GatewayState, answer: StatusAnswered) -> None:
    """Append the outcome that a service reports, or that it is unknown."""
    outstanding = state.status_replies_due.get(answer.key, 0) - 1
    claim = state.claims.current(answer.key, answer.submission)
    if claim is None or outstanding < 0:
        return
    state.status_replies_due[answer.key] = outstanding
    if answer.known or outstanding == 0:
        del state.status_replies_due[answer.key]
    if answer.known:
        code = Code.DONE if answer.succeeded else Code.BACKEND_FAILED
        append_outcome(state, claim, code, answer.body)
    elif outstanding == 0:
        append_outcome(state, claim, Code.OUTCOME_UNKNOWN, b"")


def append_outcome(
    state: GatewayState, claim: Claim, code: Code, body: bytes
) -> None:
    """Append the outcome of a dispatched claim."""
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
