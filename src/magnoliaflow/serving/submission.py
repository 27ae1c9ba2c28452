"""What a gateway does with a new request or a cancellation."""

from magnoliaflow.common.blocks import prefix_blocks
from magnoliaflow.common.codes import Code
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.core.inputs import CancelRequested
from magnoliaflow.core.inputs import Submitted
from magnoliaflow.core.state import GatewayState
from magnoliaflow.core.systems import handles
from magnoliaflow.serving.admission import deadline_refusal
from magnoliaflow.serving.admission import outlook
from magnoliaflow.serving.admission import refusal
from magnoliaflow.serving.attempts import enqueue
from magnoliaflow.serving.attempts import need_of
from magnoliaflow.serving.attempts import stop_attempt
from magnoliaflow.serving.claimwork import cancel_claim
from magnoliaflow.serving.claimwork import submit_claim
from magnoliaflow.serving.custody import place_copy
from magnoliaflow.serving.custody import settle
from magnoliaflow.work.requests import Request
from magnoliaflow.work.requests import Role


@handles(Submitted)
def submit(state: GatewayState, item: Submitted) -> None:
    """Admit a request into custody or onto the log, or refuse it."""
    code = refusal(state, item.profile, item.account, len(item.body))
    if code is not None:
        refuse(state, item, code)
        return
    profile = state.profiles.in_force[item.profile]
    if not profile.idempotent:
        code = submit_claim(state, item, profile)
        if code is not None:
            refuse(state, item, code)
        return
    req = make_request(state, item)
    need = need_of(req, state.now)
    forecast = state.forecast(profile.backend)
    due = state.now + profile.first_token_s
    seen = outlook(
        state.routing,
        need,
        state.queue(profile.backend).ahead_of(due),
        state.now,
    )
    code = deadline_refusal(
        profile,
        seen,
        error_s=forecast.error_s(profile.first_token_s),
        allowance=state.shares.allowance(item.account, state.now),
    )
    if code is not None:
        refuse(state, item, code)
        return
    if seen is not None:
        req.predicted_s = seen.wait_s
    state.requests.put(req.request_id, req)
    state.budget.earn()
    size = need.prompt_tokens + need.answer_tokens
    state.shares.use(item.account, size, state.now)
    place_copy(state, req)
    enqueue(state, req)


def make_request(state: GatewayState, item: Submitted) -> Request:
    """Return the row of a request that this process is to own."""
    profile = state.profiles.in_force[item.profile]
    return Request(
        request_id=item.request_id,
        account=item.account,
        profile=profile,
        body=item.body,
        prompt=item.prompt,
        blocks=prefix_blocks(item.prompt),
        max_tokens=min(
            item.max_tokens or profile.max_tokens, profile.max_tokens
        ),
        accepted_at=state.now,
        deadline_at=state.now + profile.deadline_s,
        role=Role.OWNER,
        owner=state.identity,
    )


def refuse(state: GatewayState, item: Submitted, code: Code) -> None:
    """Refuse a request that was never accepted: it was not run."""
    state.metrics.refusals.labels(code.name).inc()
    state.log(
        LogEvent.REQUEST_REFUSED, request=item.request_id, code=int(code)
    )
    state.trail(item.request_id, "refused", code=code.name)
    state.refusals[item.request_id] = code


@handles(CancelRequested)
def cancel(state: GatewayState, item: CancelRequested) -> None:
    """Stop a request; says not run only when nothing was started."""
    req = state.requests.get(item.request_id)
    if req is None:
        cancel_claim(state, item.request_id)
        return
    if req.role is not Role.OWNER or req.settled:
        return
    stop_attempt(state, req)
    settle(
        state,
        req,
        Code.CANCELLED if req.maybe_run else Code.CANCELLED_NOT_RUN,
    )
