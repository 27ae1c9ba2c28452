"""Processing of non-idempotent requests (claims) in log order.

A gateway acts on the records of a claim only after reading them back.  The
work is sent by one process, once: the one whose Dispatch is valid in log
order, when it reads that record.
"""

from collections.abc import Callable
from typing import Any

from magnoliaflow.cluster.profiles import Profile
from magnoliaflow.common.codes import Code
from magnoliaflow.common.errors import KeyFormatError
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.lifecycle import Phase
from magnoliaflow.common.records import Accept
from magnoliaflow.common.records import Dispatch
from magnoliaflow.common.records import Mark
from magnoliaflow.common.records import Outcome
from magnoliaflow.common.records import Record
from magnoliaflow.common.records import Refuse
from magnoliaflow.common.records import Takeover
from magnoliaflow.core.inputs import Submitted
from magnoliaflow.core.state import CLAIM_STREAM
from magnoliaflow.core.state import ClaimJob
from magnoliaflow.core.state import GatewayState
from magnoliaflow.core.systems import on_timer
from magnoliaflow.serving.claimdispatch import send_claim
from magnoliaflow.serving.claimtakeover import hand_over_claim
from magnoliaflow.serving.logstreams import append
from magnoliaflow.serving.logstreams import applies
from magnoliaflow.work.claimids import body_digest
from magnoliaflow.work.claimids import ClaimId
from magnoliaflow.work.claims import Claim
from magnoliaflow.work.claims import ClaimState
from magnoliaflow.work.claims import key_created_at
from magnoliaflow.work.claims import Verdict

VerdictHandler = Callable[[GatewayState, Any, Verdict], None]
MAX_KEY_SKEW_S = 300.0


def submit_claim(
    state: GatewayState, submitted: Submitted, profile: Profile
) -> Code | None:
    """Append a submission to the log; return a code if it is refused."""
    if not submitted.key:
        return Code.KEY_MISSING
    key = f"{submitted.account}/{submitted.key}"
    try:
        made_at = key_created_at(key)
    except KeyFormatError:
        return Code.KEY_MISSING
    if made_at > state.wall + MAX_KEY_SKEW_S or state.claims.expired(key):
        return Code.KEY_EXPIRED
    if state.wall - made_at > state.claims.window_s:
        return Code.KEY_EXPIRED
    known = state.claims.claims.get(key)
    if known is not None and known.state is not ClaimState.REFUSED:
        if known.body != submitted.body:
            return Code.KEY_CONFLICT
        return None
    job = find_job(state, key)
    if job is not None and not job.code:
        if job.body != submitted.body:
            return Code.KEY_CONFLICT
        return None
    if not state.log_up or not state.claims.complete:
        return Code.LOG_DOWN
    if state.cursors[CLAIM_STREAM].restore is not None:
        return Code.LOG_DOWN
    if not state.routing.groups.get(profile.backend):
        return Code.NO_BACKEND
    job = ClaimJob(
        key=key,
        submission=state.next_id("s"),
        account=submitted.account,
        profile=profile.name,
        body=submitted.body,
        started_at=state.now,
    )
    state.claim_jobs.put(key, job)
    append(
        state,
        CLAIM_STREAM,
        Accept(
            key,
            job.submission,
            state.identity,
            job.account,
            job.profile,
            job.body,
            state.wall,
        ),
    )
    state.set_timer(profile.deadline_s, "give up accept", key)
    return None


def find_job(state: GatewayState, key: str) -> ClaimJob | None:
    """Return the submission that this process made for a key."""
    return state.claim_jobs.get(key)


def claim_code(state: GatewayState, name: ClaimId) -> Code | None:
    """Return the code to report for a claim, or None if it is unknown.

    The digest detects a caller whose body is not the one in force.  That body
    was not run, and log order ensures that it never is.
    """
    claim = state.claims.claims.get(name.full_key)
    job = find_job(state, name.full_key)
    if job is not None and body_digest(job.body) != name.digest:
        job = None
    if claim is None:
        if job is None:
            return None
        return Code(job.code) if job.code else Code.PENDING
    if job is not None and claim.submission == job.submission and job.code:
        return Code(job.code)
    if body_digest(claim.body) != name.digest:
        if claim.state is not ClaimState.REFUSED:
            return Code.KEY_CONFLICT
        return None if job is None else Code.PENDING
    if claim.state is ClaimState.REFUSED and job is not None:
        if claim.submission != job.submission:
            return Code(job.code) if job.code else Code.PENDING
    if claim.state in (ClaimState.CLOSED, ClaimState.REFUSED):
        return Code(claim.code)
    return Code.ACCEPTED


@on_timer("give up accept")
def void_unread_submission(state: GatewayState, key: str) -> None:
    """Void a submission whose Accept was not read back in time.

    The caller is told "not run" only once the Refuse itself is read back.
    """
    job = find_job(state, key)
    if job is None or job.code:
        return
    if state.claims.current(key, job.submission) is not None:
        return
    refuse_submission(state, job, Code.NOT_STARTED)


def refuse_submission(state: GatewayState, job: ClaimJob, code: Code) -> None:
    """Append the Refuse of a submission, once.

    Its other pending appends are dropped.
    """
    if job.refuse_id:
        return
    for record_id, pending in list(state.pending_appends.rows.items()):
        if getattr(pending.record.body, "submission", "") == job.submission:
            state.pending_appends.drop(record_id)
    job.refuse_id = append(
        state,
        CLAIM_STREAM,
        Refuse(job.key, job.submission, int(code), state.wall),
    )


def cancel_claim(state: GatewayState, key: str) -> None:
    """Refuse a claim for its caller unless it was dispatched."""
    job = find_job(state, key)
    if job is not None and not job.code:
        refuse_submission(state, job, Code.CANCELLED_NOT_RUN)
        return
    claim = state.claims.claims.get(key)
    if claim is None or claim.state is not ClaimState.OPEN:
        return
    append(
        state,
        CLAIM_STREAM,
        Refuse(
            key,
            claim.submission,
            int(Code.CANCELLED_NOT_RUN),
            state.wall,
        ),
    )


@applies(CLAIM_STREAM)
def apply_claim(state: GatewayState, offset: int, rec: Record) -> None:
    """Apply a record of the claim stream and act on the verdict."""
    verdict = state.claims.apply(offset, rec.body)
    body = rec.body
    if isinstance(body, Mark):
        return
    handler = VERDICT_HANDLERS.get(type(body))
    if handler is not None:
        handler(state, body, verdict)
    key = getattr(body, "key", "")
    state.notify_waiters(key)


def _after_accept(state: GatewayState, rec: Accept, verdict: Verdict) -> None:
    job = find_job(state, rec.key)
    own = job is not None and job.submission == rec.submission
    if verdict is Verdict.APPLIED:
        state.log(LogEvent.REQUEST_ACCEPTED, request=rec.key)
        state.trail(rec.key, "accepted", owner=rec.owner)
        _dispatch_or_hand_over(state, state.claims.claims[rec.key])
        return
    if not own or job is None:
        return
    claim = state.claims.claims.get(rec.key)
    if claim is None or claim.submission == job.submission:
        if verdict is Verdict.VOID and not job.refuse_id:
            _settle_job(state, job, Code.KEY_EXPIRED)
        return
    if claim.body != job.body:
        state.metrics.refusals.labels(Code.KEY_CONFLICT.name).inc()
    state.claim_jobs.drop(rec.key)


def _after_dispatch(
    state: GatewayState, rec: Dispatch, verdict: Verdict
) -> None:
    if verdict is not Verdict.APPLIED or rec.owner != state.identity:
        return
    if rec.submission in state.sent_submissions:
        return
    claim = state.claims.claims[rec.key]
    state.sent_submissions.add(rec.submission)
    state.trail(rec.key, "dispatched", owner=rec.owner, epoch=rec.epoch)
    send_claim(state, claim)


def _after_takeover(
    state: GatewayState, rec: Takeover, verdict: Verdict
) -> None:
    if verdict is not Verdict.APPLIED or rec.owner != state.identity:
        return
    state.metrics.takeovers.labels("claim").inc()
    state.log(LogEvent.CLAIM_TAKEN_OVER, request=rec.key, epoch=rec.epoch)
    state.trail(rec.key, "taken over", owner=rec.owner, epoch=rec.epoch)
    _dispatch_or_hand_over(state, state.claims.claims[rec.key])


def _after_refuse(state: GatewayState, rec: Refuse, verdict: Verdict) -> None:
    if verdict is not Verdict.APPLIED:
        return
    job = find_job(state, rec.key)
    if job is not None and job.submission == rec.submission:
        state.metrics.refusals.labels(Code(rec.code).name).inc()
        _settle_job(state, job, Code(rec.code))


def _after_outcome(
    state: GatewayState, rec: Outcome, verdict: Verdict
) -> None:
    if verdict is not Verdict.APPLIED:
        return
    code = Code(rec.code)
    state.log(LogEvent.REQUEST_FINISHED, request=rec.key, code=rec.code)
    state.trail(rec.key, "settled", code=code.name)
    state.sent_submissions.discard(rec.submission)
    claim = state.claims.claims[rec.key]
    state.metrics.answers.labels(claim.profile, code.name).inc()
    job = find_job(state, rec.key)
    if job is not None and job.submission == rec.submission:
        state.claim_jobs.drop(rec.key)


def _settle_job(state: GatewayState, job: ClaimJob, code: Code) -> None:
    """End a submission of this process without an outcome."""
    job.code = int(code)
    state.set_timer(state.cfg.timings.finished_keep_s, "forget job", job.key)
    state.notify_waiters(job.key)


@on_timer("forget job")
def forget_job(state: GatewayState, key: str) -> None:
    """Remove an ended submission after its retention time."""
    job = state.claim_jobs.get(key)
    if job is not None and job.code:
        state.claim_jobs.drop(key)


def _dispatch_or_hand_over(state: GatewayState, claim: Claim) -> None:
    """Dispatch an open claim of this process, or hand it over."""
    if claim.owner != state.identity or claim.state is not ClaimState.OPEN:
        return
    if state.phase is not Phase.SERVING:
        hand_over_claim(state, claim)
        return
    append(
        state,
        CLAIM_STREAM,
        Dispatch(
            claim.key,
            claim.submission,
            state.identity,
            claim.epoch,
            state.wall,
        ),
    )


VERDICT_HANDLERS: dict[type, VerdictHandler] = {
    Accept: _after_accept,
    Dispatch: _after_dispatch,
    Takeover: _after_takeover,
    Refuse: _after_refuse,
    Outcome: _after_outcome,
}
