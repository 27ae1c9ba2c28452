"""Heartbeats between gateways, suspicion and death."""

from collections.abc import Callable

from xxhash import xxh64_intdigest

from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.lifecycle import Phase
from magnoliaflow.common.messages import Heartbeat
from magnoliaflow.common.messages import HostNotice
from magnoliaflow.core.commands import ProbePeer
from magnoliaflow.core.commands import SendAddress
from magnoliaflow.core.inputs import PeerProbed
from magnoliaflow.core.state import GatewayState
from magnoliaflow.core.state import Peer
from magnoliaflow.core.systems import handles
from magnoliaflow.core.systems import receives
from magnoliaflow.core.systems import system
from magnoliaflow.work.requests import Role

HEARTBEAT_FANOUT = 8
CROWD_SMOOTHING = 0.5
DeathHook = Callable[[GatewayState, str], None]
NoticeHook = Callable[[GatewayState, str, float], None]
DEATH_HOOKS: list[DeathHook] = []
NOTICE_HOOKS: list[NoticeHook] = []


def on_death(function: DeathHook) -> DeathHook:
    """Register what is to be done when a peer process is dead."""
    DEATH_HOOKS.append(function)
    return function


def on_notice(function: NoticeHook) -> NoticeHook:
    """Register what is to be done when a host is to be taken back."""
    NOTICE_HOOKS.append(function)
    return function


def hash_rank(subject: str, name: str) -> int:
    """Return the rendezvous rank of a name for a subject.

    Thaler and Ravishankar, "Using name-based mappings to increase hit
    rates", 1998.
    """
    seed = xxh64_intdigest(subject.encode())
    return xxh64_intdigest(name.encode(), seed=seed)


def serving_peers(state: GatewayState) -> list[Peer]:
    """Return the peers that may be given work, least suspected first."""
    limit = state.cfg.timings.silence_s
    return [
        peer
        for peer in state.peers
        if peer.phase is Phase.SERVING
        and state.now - peer.last_heartbeat_at < limit
        and peer.host not in state.leaving_hosts
    ]


def pick_standby(
    state: GatewayState, request_id: str, *, avoid: str = ""
) -> str:
    """Return the peer to hold a request, '' if there is none.

    A peer in another availability zone goes before one in this zone;
    among equals the rendezvous rank decides.
    """
    peers = [peer for peer in serving_peers(state) if peer.identity != avoid]
    if not peers:
        return ""
    best = max(
        peers,
        key=lambda peer: (
            peer.zone != state.host.zone,
            hash_rank(request_id, peer.identity),
        ),
    )
    return best.identity


def successor_of(state: GatewayState, subject: str) -> str:
    """Return the identity that should take a subject over."""
    names = [peer.identity for peer in serving_peers(state)]
    if state.phase is Phase.SERVING:
        names.append(state.identity)
    if not names:
        return state.identity
    return max(names, key=lambda name: hash_rank(subject, name))


def is_live(state: GatewayState, identity: str) -> bool:
    """Return whether a process is this one or a peer not yet dead."""
    return identity == state.identity or identity in state.peers


def caller_addresses(state: GatewayState) -> list[str]:
    """Return the addresses for callers, the best first."""
    rows = [
        (peer.in_flight, peer.caller_address) for peer in serving_peers(state)
    ]
    if state.phase is Phase.SERVING:
        own = state.requests.count("role", (Role.OWNER, False))
        rows.append((own, state.host.caller_address))
    return [address for _, address in sorted(rows)]


def make_heartbeat(state: GatewayState) -> Heartbeat:
    """Return this process's sign of life with its news."""
    return Heartbeat(
        identity=state.identity,
        host=state.host.name,
        zone=state.host.zone,
        state=int(state.phase),
        caller_address=state.host.caller_address,
        peer_address=state.host.peer_address,
        applied={
            stream: cursor.next_offset - 1
            for stream, cursor in state.cursors.items()
        },
        notices=tuple(
            HostNotice(host, max(0.0, until - state.now))
            for host, until in state.leaving_hosts.items()
            if until > state.now
        ),
        in_flight=state.requests.count("role", (Role.OWNER, False)),
    )


@system(10)
def notice_pause(state: GatewayState) -> None:
    """Forgive peers the silence of a pause of this process itself.

    A process that was stopped and woken has heard nobody; it must not
    take its peers for dead.
    """
    gap = state.now - state.last_tick_at
    if gap < state.cfg.timings.silence_s / 2:
        return
    for peer in state.peers:
        peer.last_heartbeat_at = state.now


@system(15)
def time_peer_checks(state: GatewayState) -> None:
    """Say once a heartbeat that the peers are to be looked through."""
    state.peer_check_due = state.now >= state.next_peer_check_at
    if state.peer_check_due:
        state.next_peer_check_at = state.now + state.cfg.timings.heartbeat_s


@system(20)
def send_heartbeats(state: GatewayState) -> None:
    """Send a heartbeat to a bounded number of peers when it is due."""
    if state.now < state.next_heartbeat_at:
        return
    state.next_heartbeat_at = state.now + state.cfg.timings.heartbeat_s
    heartbeat = make_heartbeat(state)
    known = {peer.peer_address for peer in state.peers}
    peers = list(state.peers)
    if len(peers) > HEARTBEAT_FANOUT:
        peers = state.rng.sample(peers, HEARTBEAT_FANOUT)
    for peer in peers:
        state.send(peer.identity, heartbeat)
    strangers = [
        host.peer_address
        for host in state.cfg.entry_hosts
        if host.name != state.host.name and host.peer_address not in known
    ]
    for address in strangers[:HEARTBEAT_FANOUT]:
        state.emit(SendAddress(address, heartbeat))


@system(25)
def gauge_crowd(state: GatewayState) -> None:
    """Compare this gateway's load with that of all, from heartbeats."""
    if not state.peer_check_due:
        return
    own = state.requests.count("role", (Role.OWNER, False))
    others = sum(peer.in_flight for peer in serving_peers(state))
    share = (own + others + 1) / (own + 1)
    crowd = min(share, len(state.cfg.entry_hosts))
    state.routing.crowd += CROWD_SMOOTHING * (crowd - state.routing.crowd)


@system(30)
def suspect_peers(state: GatewayState) -> None:
    """Probe silent peers over a new connection."""
    if not state.peer_check_due:
        return
    limit = state.cfg.timings.silence_s
    for peer in state.peers:
        if peer.probing or state.now - peer.last_heartbeat_at < limit:
            continue
        peer.probing = True
        state.log(LogEvent.LINK_SILENT, peer=peer.identity)
        state.emit(ProbePeer(peer.identity, peer.peer_address))


@handles(PeerProbed)
def take_probe(state: GatewayState, item: PeerProbed) -> None:
    """Keep a peer that answered a probe; bury one that did not."""
    peer = state.peers.get(item.identity)
    if peer is None:
        return
    peer.probing = False
    limit = state.cfg.timings.silence_s
    if item.alive or state.now - peer.last_heartbeat_at < limit:
        peer.last_heartbeat_at = state.now
        return
    bury(state, item.identity, "silent")


@receives(Heartbeat)
def take_heartbeat(state: GatewayState, sender: str, msg: Heartbeat) -> None:
    """Note a peer's sign of life and its news."""
    if msg.identity == state.identity:
        return
    for identity in state.peers.find("host", msg.host):
        if identity != msg.identity:
            bury(state, identity, "replaced")
    peer = state.peers.get(msg.identity)
    if peer is None:
        peer = Peer(
            msg.identity,
            msg.host,
            msg.zone,
            msg.caller_address,
            msg.peer_address,
            state.now,
        )
        state.peers.put(msg.identity, peer)
        state.log(LogEvent.PEER_ALIVE, peer=msg.identity)
        if state.now > state.leaving_hosts.get(msg.host, state.now):
            del state.leaving_hosts[msg.host]
    peer.last_heartbeat_at = state.now
    peer.phase = Phase(msg.state)
    peer.in_flight = msg.in_flight
    peer.applied = msg.applied
    for notice in msg.notices:
        notice_host(state, notice.host, notice.seconds_left)
    if peer.phase is Phase.STOPPED:
        bury(state, msg.identity, "stopped")


def bury(state: GatewayState, identity: str, reason: str) -> None:
    """Drop a peer and let every hook do what its death asks for."""
    if state.peers.drop(identity) is None:
        return
    state.log(LogEvent.PEER_DEAD, peer=identity, reason=reason)
    for hook in DEATH_HOOKS:
        hook(state, identity)


def notice_host(state: GatewayState, host: str, seconds_left: float) -> None:
    """Note that a host will be taken back and run what that asks for."""
    if host in state.leaving_hosts:
        return
    state.leaving_hosts[host] = state.now + seconds_left
    state.log(LogEvent.HOST_NOTICED, host=host, seconds_left=seconds_left)
    for hook in NOTICE_HOOKS:
        hook(state, host, seconds_left)
