"""Driving non-idempotent work by the log's order.

A gateway acts on a claim only on records it has read back.  The work of a
claim leaves one process, once: the one whose Dispatch the log's order
left valid, when it reads that record.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from xxhash import xxh64_hexdigest

from magnoliaflow.claims import Claim
from magnoliaflow.claims import ClaimState
from magnoliaflow.claims import key_made_at
from magnoliaflow.claims import Verdict
from magnoliaflow.codes import Code
from magnoliaflow.commands import AskStatus
from magnoliaflow.commands import CallService
from magnoliaflow.errors import KeyFormatError
from magnoliaflow.eventlog import LogEvent
from magnoliaflow.inputs import Ending
from magnoliaflow.inputs import ServiceAnswered
from magnoliaflow.inputs import StatusAnswered
from magnoliaflow.inputs import Submitted
from magnoliaflow.lifecycle import Phase
from magnoliaflow.logsession import append
from magnoliaflow.logsession import applies
from magnoliaflow.membership import hash_rank
from magnoliaflow.membership import is_live
from magnoliaflow.membership import successor_of
from magnoliaflow.messages import ClaimHandover
from magnoliaflow.profiles import Profile
from magnoliaflow.records import Accept
from magnoliaflow.records import Dispatch
from magnoliaflow.records import Mark
from magnoliaflow.records import Outcome
from magnoliaflow.records import Record
from magnoliaflow.records import Refuse
from magnoliaflow.records import Restate
from magnoliaflow.records import Takeover
from magnoliaflow.state import CLAIM_STREAM
from magnoliaflow.state import ClaimJob
from magnoliaflow.state import GatewayState
from magnoliaflow.systems import handles
from magnoliaflow.systems import on_timer
from magnoliaflow.systems import receives

VerdictRule = Callable[[GatewayState, Any, Verdict], None]
CLAIM_PREFIX = "claim."
SEND_RETRY_S = 0.5
SWEEP_S = 1.0
HISTORY_WAIT_S = 5.0
FUTURE_KEY_S = 300.0


@dataclass(frozen=True, slots=True)
class ClaimName:
    """A key of an account, and the digest of the body it was used for."""

    account: str
    key: str
    digest: str

    @property
    def full_key(self) -> str:
        """Return the key as records carry it."""
        return f"{self.account}/{self.key}"

    @property
    def request_id(self) -> str:
        """Return the request id under which callers ask for a claim."""
        return f"{CLAIM_PREFIX}{self.digest}.{self.key}"


def body_digest(body: bytes) -> str:
    """Return the digest by which bodies under one key are compared."""
    return xxh64_hexdigest(body)


def parse_claim_id(account: str, request_id: str) -> ClaimName:
    """Return the name behind a claim's request id."""
    rest = request_id.removeprefix(CLAIM_PREFIX)
    digest, _, key = rest.partition(".")
    return ClaimName(account, key, digest)


def submit_claim(
    state: GatewayState, item: Submitted, profile: Profile
) -> Code | None:
    """Put a submission on the log; return a code if it is refused."""
    if not item.key:
        return Code.KEY_MISSING
    key = f"{item.account}/{item.key}"
    try:
        made_at = key_made_at(key)
    except KeyFormatError:
        return Code.KEY_MISSING
    if made_at > state.wall + FUTURE_KEY_S or state.claims.expired(key):
        return Code.KEY_EXPIRED
    if state.wall - made_at > state.claims.window_s:
        return Code.KEY_EXPIRED
    known = state.claims.claims.get(key)
    if known is not None and known.state is not ClaimState.REFUSED:
        if known.body != item.body:
            return Code.KEY_CONFLICT
        return None
    job = find_job(state, key)
    if job is not None and not job.code:
        if job.body != item.body:
            return Code.KEY_CONFLICT
        return None
    if not state.log_up or not state.claims.complete:
        return Code.LOG_DOWN
    if not state.view.groups.get(profile.backend):
        return Code.NO_BACKEND
    job = ClaimJob(
        key=key,
        submission=state.next_id("s"),
        account=item.account,
        profile=profile.name,
        body=item.body,
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
    """Return this process's own submission of a key."""
    return state.claim_jobs.get(key)


def claim_code(state: GatewayState, name: ClaimName) -> Code | None:
    """Return what this process may say of a claim, None if unknown.

    The digest tells the caller whose body is not the one in force: that
    body was not run, and the log's order keeps it so.
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
def give_up_accept(state: GatewayState, key: str) -> None:
    """Void a submission whose Accept was not read back in time.

    The caller hears "not run" only once the Refuse itself is read back.
    """
    job = find_job(state, key)
    if job is None or job.code:
        return
    if state.claims.current(key, job.submission) is not None:
        return
    refuse_submission(state, job, Code.NOT_STARTED)


def refuse_submission(state: GatewayState, job: ClaimJob, code: Code) -> None:
    """Append the Refuse of a submission, once."""
    if job.refuse_id:
        return
    for record_id, row in list(state.pending.rows.items()):
        if getattr(row.record.body, "submission", "") == job.submission:
            state.pending.drop(record_id)
    job.refuse_id = append(
        state,
        CLAIM_STREAM,
        Refuse(job.key, job.submission, int(code), state.wall),
    )


def cancel_claim(state: GatewayState, key: str) -> None:
    """Refuse a claim on its caller's behalf unless it is dispatched."""
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
    """Apply a record of the claim stream and act on its verdict."""
    verdict = state.claims.apply(offset, rec.body)
    body = rec.body
    if isinstance(body, Mark):
        return
    rule = VERDICT_RULES.get(type(body))
    if rule is not None:
        rule(state, body, verdict)
    key = getattr(body, "key", "")
    state.changed(key)


def _after_accept(state: GatewayState, rec: Accept, verdict: Verdict) -> None:
    job = find_job(state, rec.key)
    own = job is not None and job.submission == rec.submission
    if verdict is Verdict.APPLIED:
        state.log(LogEvent.REQUEST_ACCEPTED, request=rec.key)
        state.trail(rec.key, "accepted", owner=rec.owner)
        _drive(state, state.claims.claims[rec.key])
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
    if rec.submission in state.sent_claims:
        return
    claim = state.claims.claims[rec.key]
    state.sent_claims.add(rec.submission)
    state.trail(rec.key, "dispatched", owner=rec.owner, epoch=rec.epoch)
    send(state, claim)


def _after_takeover(
    state: GatewayState, rec: Takeover, verdict: Verdict
) -> None:
    if verdict is not Verdict.APPLIED or rec.owner != state.identity:
        return
    state.metrics.takeovers.labels("claim").inc()
    state.log(LogEvent.CLAIM_TAKEN_OVER, request=rec.key, epoch=rec.epoch)
    state.trail(rec.key, "taken over", owner=rec.owner, epoch=rec.epoch)
    _drive(state, state.claims.claims[rec.key])


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
    claim = state.claims.claims[rec.key]
    state.metrics.answers.labels(claim.profile, code.name).inc()
    job = find_job(state, rec.key)
    if job is not None and job.submission == rec.submission:
        state.claim_jobs.drop(rec.key)


VERDICT_RULES: dict[type, VerdictRule] = {
    Accept: _after_accept,
    Dispatch: _after_dispatch,
    Takeover: _after_takeover,
    Refuse: _after_refuse,
    Outcome: _after_outcome,
}


def _settle_job(state: GatewayState, job: ClaimJob, code: Code) -> None:
    """End a submission of this process without an outcome."""
    job.code = int(code)
    job.settled_at = state.now
    state.set_timer(state.cfg.timings.finished_keep_s, "forget job", job.key)
    state.changed(job.key)


@on_timer("forget job")
def forget_job(state: GatewayState, key: str) -> None:
    """Drop a submission that ended long enough ago."""
    job = state.claim_jobs.get(key)
    if job is not None and job.code:
        state.claim_jobs.drop(key)


def _drive(state: GatewayState, claim: Claim) -> None:
    """Take the next step for an open claim that this process owns."""
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


def hand_over_claim(state: GatewayState, claim: Claim) -> None:
    """Name a successor for an undispatched claim."""
    heir = successor_of(state, claim.key)
    if heir == state.identity:
        return
    state.send(heir, ClaimHandover(claim.key, claim.submission, claim.epoch))


@receives(ClaimHandover)
def take_claim_handover(
    state: GatewayState, sender: str, msg: ClaimHandover
) -> None:
    """Append the Takeover for which a leaving owner asked."""
    claim = state.claims.current(msg.key, msg.submission)
    if claim is None or claim.state is not ClaimState.OPEN:
        return
    if claim.epoch == msg.epoch and claim.owner != state.identity:
        _append_takeover(state, claim)


def _append_takeover(state: GatewayState, claim: Claim) -> None:
    append(
        state,
        CLAIM_STREAM,
        Takeover(
            claim.key,
            claim.submission,
            state.identity,
            claim.epoch + 1,
            state.wall,
        ),
    )


def pick_service(state: GatewayState, claim: Claim) -> str:
    """Return the service for a claim, '' if none is usable."""
    profile = state.profiles.in_force.get(claim.profile)
    backend = claim.profile if profile is None else profile.backend
    names = [
        name
        for name in state.view.groups.get(backend, ())
        if state.view.engines[name].usable(state.now)
    ]
    if not names:
        return ""
    return min(
        names,
        key=lambda name: (
            state.view.engines[name].own_running,
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
    state.view.engines[server].note_sent(0, state.now)
    state.claim_wait[claim.key] = server
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
    if claim.owner == state.identity and key not in state.claim_wait:
        send(state, claim)


@handles(ServiceAnswered)
def take_service_answer(state: GatewayState, item: ServiceAnswered) -> None:
    """State the outcome; try again only what was confirmed not started."""
    server = state.claim_wait.pop(item.key, "")
    if server in state.view.engines:
        state.view.engines[server].note_ended()
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
        for name in state.view.groups.get(backend, ())
        if state.view.engines[name].cfg.answers_status
        and state.view.engines[name].usable(state.now)
    ]
    if not servers:
        append_outcome(state, claim, Code.OUTCOME_UNKNOWN, b"")
        return
    state.status_asked[claim.key] = len(servers)
    state.metrics.retries.labels("status_asked").inc()
    for server in servers:
        state.emit(AskStatus(server, claim.key, claim.submission, claim.epoch))


@handles(StatusAnswered)
def take_status(state: GatewayState, item: StatusAnswered) -> None:
    """State the outcome a service knows of, else that it is unknown."""
    left = state.status_asked.get(item.key, 0) - 1
    claim = state.claims.current(item.key, item.submission)
    if claim is None or left < 0:
        return
    state.status_asked[item.key] = left
    if item.known or left == 0:
        del state.status_asked[item.key]
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


@on_timer("sweep claims")
def sweep_claims(state: GatewayState, subject: str) -> None:
    """Take over from dead owners; restate what is about to age out."""
    state.set_timer(SWEEP_S, "sweep claims", "")
    if state.phase is not Phase.SERVING or not state.log_up:
        return
    silence = state.cfg.timings.silence_s
    settled_in = state.now - state.started_at > 2 * silence
    for claim in list(state.claims.unsettled()):
        if claim.owner != state.identity:
            if settled_in and not is_live(state, claim.owner):
                _adopt(state, claim)
        _restate_if_old(state, claim)
    _mark_if_due(state)
    state.claims.forget()


def _adopt(state: GatewayState, claim: Claim) -> None:
    """Do a dead owner's part for a claim, if this process is its heir."""
    if successor_of(state, claim.key) != state.identity:
        return
    waiting = any(
        getattr(row.record.body, "key", "") == claim.key
        for row in state.pending
    )
    if waiting or claim.key in state.status_asked:
        return
    if claim.state is ClaimState.OPEN:
        _append_takeover(state, claim)
        return
    ask_status(state, claim)


def _restate_if_old(state: GatewayState, claim: Claim) -> None:
    """Restate an unsettled claim before its records leave the log."""
    age = max(state.wall, state.claims.horizon) - claim.stated_at
    if age < state.cfg.timings.retention_s / 3:
        return
    if successor_of(state, claim.key) != state.identity:
        return
    claim.stated_at = state.wall
    append(
        state,
        CLAIM_STREAM,
        Restate(
            claim.key,
            claim.submission,
            claim.owner,
            claim.epoch,
            claim.state is ClaimState.DISPATCHED,
            claim.account,
            claim.profile,
            claim.body,
            state.claims.applied,
            state.wall,
        ),
    )


def _mark_if_due(state: GatewayState) -> None:
    """Tell readers without history the horizon, in time.

    When no process that knows the history is left, the wall clock stands
    for the horizon: what was trimmed is older than the window.
    """
    book = state.claims
    period = state.cfg.timings.retention_s / 4
    if not book.complete:
        period = HISTORY_WAIT_S
    if state.wall - max(book.marked_at, state.marked_at) < period:
        return
    if successor_of(state, "mark") != state.identity:
        return
    state.marked_at = state.wall
    mark = Mark(book.applied, book.horizon, state.wall)
    if not book.complete:
        mark = Mark(book.first_offset - 1, state.wall, state.wall)
    append(state, CLAIM_STREAM, mark)
