"""Submission and cancellation of requests."""

from magnoliaflow.common.blocks import prefix_blocks
from magnoliaflow.common.codes import Code
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.core.inputs import CancelRequested
from magnoliaflow.core.inputs import Submitted
from magnoliaflow.core.state import GatewayState
from magnoliaflow.core.systems import handles
from magnoliaflow.serving.admission import deadline_refusal_code
from magnoliaflow.serving.admission import estimate_latency
from magnoliaflow.serving.admission import refusal_code
from magnoliaflow.serving.attempts import enqueue
from magnoliaflow.serving.attempts import make_routing_request
from magnoliaflow.serving.attempts import stop_attempt
from magnoliaflow.serving.claimprocessing import cancel_claim
from magnoliaflow.serving.claimprocessing import submit_claim
from magnoliaflow.serving.replication import assign_standby
from magnoliaflow.serving.replication import settle
from magnoliaflow.work.requests import Request
from magnoliaflow.work.requests import Role


@handles(Submitted)
def submit(state: GatewayState, submitted: Submitted) -> None:
    """Accept a request, append it to the log as a claim, or refuse it."""
    code = refusal_code(
        state, submitted.profile, submitted.account, len(submitted.body)
    )
    if code is not None:
        refuse(state, submitted, code)
        return
    profile = state.profiles.in_force[submitted.profile]
    if not profile.idempotent:
        code = submit_claim(state, submitted, profile)
        if code is not None:
            refuse(state, submitted, code)
        return
    req = make_request(state, submitted)
    routing_request = make_routing_request(req, state.now)
    forecast = state.forecast(profile.backend)
    due_at = state.now + profile.first_token_s
    estimate = estimate_latency(
        state.routing,
        routing_request,
        state.queue(profile.backend).backlog_before(due_at),
        state.now,
    )
    code = deadline_refusal_code(
        profile,
        estimate,
        error_s=forecast.error_s(profile.first_token_s),
        allowance=state.shares.allowance(submitted.account, state.now),
    )
    if code is not None:
        refuse(state, submitted, code)
        return
    if estimate is not None:
        req.predicted_s = estimate.wait_s
    state.requests.put(req.request_id, req)
    state.budget.earn()
    size = routing_request.prompt_tokens + routing_request.answer_tokens
    state.shares.record_usage(submitted.account, size, state.now)
    assign_standby(state, req)
    enqueue(state, req)


def make_request(state: GatewayState, submitted: Submitted) -> Request:
    """Return a new request that this process owns."""
    profile = state.profiles.in_force[submitted.profile]
    return Request(
        request_id=submitted.request_id,
        account=submitted.account,
        profile=profile,
        body=submitted.body,
        prompt=submitted.prompt,
        blocks=prefix_blocks(submitted.prompt),
        max_tokens=min(
            submitted.max_tokens or profile.max_tokens, profile.max_tokens
        ),
        accepted_at=state.now,
        deadline_at=state.now + profile.deadline_s,
        role=Role.OWNER,
        owner=state.identity,
    )


def refuse(state: GatewayState, submitted: Submitted, code: Code) -> None:
    """Refuse a request that was never accepted and so was not run."""
    state.metrics.refusals.labels(code.name).inc()
    state.log(
        LogEvent.REQUEST_REFUSED, request=submitted.request_id, code=int(code)
    )
    state.trail(submitted.request_id, "refused", code=code.name)
    state.refusals[submitted.request_id] = code


@handles(CancelRequested)
def cancel(state: GatewayState, cancel_request: CancelRequested) -> None:
    """Cancel a request; report "not run" only if nothing was started."""
    req = state.requests.get(cancel_request.request_id)
    if req is None:
        cancel_claim(state, cancel_request.request_id)
        return
    if req.role is not Role.OWNER or req.settled:
        return
    stop_attempt(state, req)
    settle(
        state,
        req,
        Code.CANCELLED if req.may_have_run else Code.CANCELLED_NOT_RUN,
    )
