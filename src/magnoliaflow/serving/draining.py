"""Draining of backend hosts, of peers' hosts and of this process."""

from math import inf

from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.lifecycle import Phase
from magnoliaflow.common.messages import Handover
from magnoliaflow.common.messages import HostNotice
from magnoliaflow.core.commands import Exit
from magnoliaflow.core.inputs import DrainRequested
from magnoliaflow.core.inputs import HostLeaving
from magnoliaflow.core.state import GatewayState
from magnoliaflow.core.state import Peer
from magnoliaflow.core.systems import handles
from magnoliaflow.core.systems import on_timer
from magnoliaflow.core.systems import receives
from magnoliaflow.core.systems import system
from magnoliaflow.serving.attempts import make_routing_request
from magnoliaflow.serving.attempts import move_request
from magnoliaflow.serving.claimtakeover import hand_over_claim
from magnoliaflow.serving.membership import make_heartbeat
from magnoliaflow.serving.membership import on_notice
from magnoliaflow.serving.membership import record_host_notice
from magnoliaflow.serving.membership import serving_peers
from magnoliaflow.serving.replication import assign_standby
from magnoliaflow.serving.replication import caught_up
from magnoliaflow.work.claims import ClaimState
from magnoliaflow.work.requests import Request
from magnoliaflow.work.requests import Role

NOTICE_TIME_FRACTION = 0.6
NOTICE_RETENTION_S = 30.0
HANDOVER_INTERVAL_S = 0.3


@handles(HostLeaving)
def handle_host_noticed(state: GatewayState, notice: HostLeaving) -> None:
    """Record a leaving host and send the peers a heartbeat."""
    if notice.host in state.leaving_hosts:
        return
    record_host_notice(state, notice.host, notice.seconds_left)
    state.next_heartbeat_at = -inf


@receives(HostNotice)
def handle_host_notice(
    state: GatewayState, sender: str, msg: HostNotice
) -> None:
    """Record a notice that a controller got from the platform."""
    if msg.host not in state.leaving_hosts:
        record_host_notice(state, msg.host, msg.seconds_left)
        state.next_heartbeat_at = -inf


@on_notice
def evacuate_engines(
    state: GatewayState, host: str, seconds_left: float
) -> None:
    """Exclude a leaving host's engines; move answers that cannot finish."""
    leaving = [
        engine
        for engine in state.routing.engines.values()
        if engine.cfg.host == host
    ]
    for engine in leaving:
        engine.leaving_at = state.now + seconds_left
    attempts = [
        (state.attempts.rows[key], engine)
        for engine in leaving
        for key in state.attempts.find("engine", engine.name)
    ]
    moves = [
        (attempt, state.requests.rows[attempt.request_id])
        for attempt, engine in attempts
        if attempt.request_id in state.requests
        and not _can_finish(
            state.requests.rows[attempt.request_id],
            engine.gap_s or 1 / engine.cfg.token_rate,
            seconds_left,
        )
    ]
    moves.sort(
        key=lambda move: -make_routing_request(
            move[1], state.now
        ).prompt_tokens
    )
    for attempt, req in moves:
        move_request(state, attempt, req, "reclaim")
    for attempt, engine in attempts:
        if attempt.attempt_id in state.attempts:
            state.set_timer(
                seconds_left * NOTICE_TIME_FRACTION,
                "leave engine",
                attempt.attempt_id,
            )


def _can_finish(req: Request, gap_s: float, seconds_left: float) -> bool:
    """Return whether an answer will be complete before its host leaves."""
    tokens_left = req.max_tokens - len(req.tokens)
    started = bool(req.tokens)
    return (
        started and tokens_left * gap_s < seconds_left * NOTICE_TIME_FRACTION
    )


@on_timer("leave engine")
def move_overdue_attempt(state: GatewayState, attempt_id: str) -> None:
    """Move an attempt that did not end as early as expected."""
    attempt = state.attempts.get(attempt_id)
    if attempt is None:
        return
    req = state.requests.get(attempt.request_id)
    if req is not None:
        move_request(state, attempt, req, "reclaim")


@on_notice
def evacuate_entry_host(
    state: GatewayState, host: str, seconds_left: float
) -> None:
    """Replace standbys on a leaving host; drain if it is the local one."""
    if host == state.host.name:
        drain(state, reclaimed=True, seconds_left=seconds_left)
        return
    for identity in state.peers.find("host", host):
        replace_standby(state, identity)


def replace_standby(state: GatewayState, identity: str) -> None:
    """Assign another standby to the requests that a peer replicates."""
    for request_id in state.requests.find("standby", identity):
        req = state.requests.rows[request_id]
        if req.role is Role.OWNER:
            assign_standby(state, req)


@handles(DrainRequested)
def handle_drain(state: GatewayState, request: DrainRequested) -> None:
    """Start to drain."""
    drain(
        state, reclaimed=request.reclaimed, seconds_left=request.seconds_left
    )


def drain(
    state: GatewayState, *, reclaimed: bool, seconds_left: float
) -> None:
    """Stop taking work; hand over or finish what is in progress.

    A reclaimed host hands everything over at once.  A planned stop lets
    running answers finish and hands over the rest shortly before its deadline.
    """
    state.reclaimed = state.reclaimed or reclaimed
    state.drain_deadline = min(state.drain_deadline, state.now + seconds_left)
    if state.phase is Phase.DRAINING and not reclaimed:
        return
    state.lifecycle.drain()
    state.log(
        LogEvent.PROCESS_DRAINING,
        reclaimed=reclaimed,
        seconds_left=seconds_left,
    )
    heartbeat = make_heartbeat(state)
    for peer in list(state.peers):
        state.send(peer.identity, heartbeat)
    for claim in list(state.claims.unsettled()):
        is_open = claim.state is ClaimState.OPEN
        if claim.owner == state.identity and is_open:
            hand_over_claim(state, claim)
    state.set_timer(0.0, "hand over", "")


@on_timer("hand over")
def hand_over(state: GatewayState, subject: str) -> None:
    """Ask standbys to take over what this process will not finish."""
    if state.phase is not Phase.DRAINING:
        return
    near_deadline = state.drain_deadline - state.now < _handover_lead_s(state)
    for req in list(state.requests):
        if req.role is not Role.OWNER:
            continue
        if not (state.reclaimed or near_deadline or req.settled):
            continue
        _hand_over_request(state, req)
    state.set_timer(HANDOVER_INTERVAL_S, "hand over", "")


def _handover_lead_s(state: GatewayState) -> float:
    """Return how long before its deadline a planned stop hands over."""
    return max(2.0, state.cfg.timings.drain_s * 0.25)


def _hand_over_request(state: GatewayState, req: Request) -> None:
    if not req.standby:
        assign_standby(state, req)
        return
    replicated = req.acked >= len(req.tokens) and req.confirmed
    if replicated and (not req.settled or caught_up(req)):
        state.send(req.standby, Handover(req.request_id, req.epoch, req.owner))


def count_in_progress(state: GatewayState) -> int:
    """Return the requests, claims and appends that are not finished."""
    owned = state.requests.count("role", (Role.OWNER, False))
    settled = state.requests.count("role", (Role.OWNER, True))
    if not serving_peers(state):
        settled = 0
    claims = sum(
        1
        for claim in state.claims.unsettled()
        if claim.owner == state.identity
    )
    jobs = sum(1 for job in state.claim_jobs if not job.code)
    return owned + settled + claims + jobs + len(state.pending_appends)


@system(90)
def exit_when_done(state: GatewayState) -> None:
    """Exit when no work is left or the drain deadline has passed."""
    if state.phase is not Phase.DRAINING or state.exited:
        return
    timed_out = state.now >= state.drain_deadline
    if not timed_out and count_in_progress(state):
        return
    state.exited = True
    state.lifecycle.finish()
    heartbeat = make_heartbeat(state)
    for peer in list(state.peers):
        state.send(peer.identity, heartbeat)
    state.log(LogEvent.PROCESS_STOPPED, in_progress=count_in_progress(state))
    state.emit(Exit())


@system(85)
def replace_draining_standbys(state: GatewayState) -> None:
    """Move replicas away from draining peers."""
    if not state.peer_check_due:
        return
    for peer in state.peers:
        if peer.phase is not Phase.DRAINING:
            continue
        if _others_serve(state, peer):
            replace_standby(state, peer.identity)


def _others_serve(state: GatewayState, leaving: Peer) -> bool:
    return any(
        peer.identity != leaving.identity for peer in serving_peers(state)
    )


@system(35)
def expire_notices(state: GatewayState) -> None:
    """Remove expired notices; readmit engines that report again."""
    expired = [
        host
        for host, until in state.leaving_hosts.items()
        if state.now > until + NOTICE_RETENTION_S
    ]
    for host in expired:
        del state.leaving_hosts[host]
        for engine in state.routing.engines.values():
            until = engine.leaving_at
            if engine.cfg.host == host and engine.reported_at > until + 1:
                engine.leaving_at = inf
