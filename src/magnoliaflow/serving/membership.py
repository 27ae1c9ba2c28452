"""Heartbeats between gateways and detection of dead peers."""

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
LOAD_RATIO_SMOOTHING = 0.5
DeathHook = Callable[[GatewayState, str], None]
NoticeHook = Callable[[GatewayState, str, float], None]
DEATH_HOOKS: list[DeathHook] = []
NOTICE_HOOKS: list[NoticeHook] = []


def on_death(function: DeathHook) -> DeathHook:
    """Register a hook that runs when a peer process is dead."""
    DEATH_HOOKS.append(function)
    return function


def on_notice(function: NoticeHook) -> NoticeHook:
    """Register a hook that runs when a host is to be reclaimed."""
    NOTICE_HOOKS.append(function)
    return function


def rendezvous_rank(subject: str, name: str) -> int:
    """Return the rendezvous hash of a name for a subject.

    Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
    1998.
    """
    seed = xxh64_intdigest(subject.encode())
    return xxh64_intdigest(name.encode(), seed=seed)


def serving_peers(state: GatewayState) -> list[Peer]:
    """Return the live peers that may be given work."""
    silence_s = state.cfg.timings.silence_s
    return [
        peer
        for peer in state.peers
        if peer.phase is Phase.SERVING
        and state.now - peer.last_heartbeat_at < silence_s
        and peer.host not in state.leaving_hosts
    ]


def select_standby(
    state: GatewayState, request_id: str, *, avoid: str = ""
) -> str:
    """Return the peer to replicate a request to, '' if there is none.

    Peers in another availability zone come first; the rendezvous rank decides
    among equals.
    """
    peers = [peer for peer in serving_peers(state) if peer.identity != avoid]
    if not peers:
        return ""
    best = max(
        peers,
        key=lambda peer: (
            peer.zone != state.host.zone,
            rendezvous_rank(request_id, peer.identity),
        ),
    )
    return best.identity


def successor_of(state: GatewayState, subject: str) -> str:
    """Return the identity of the process to take over a subject."""
    names = [peer.identity for peer in serving_peers(state)]
    if state.phase is Phase.SERVING:
        names.append(state.identity)
    if not names:
        return state.identity
    return max(names, key=lambda name: rendezvous_rank(subject, name))


def is_live(state: GatewayState, identity: str) -> bool:
    """Return whether a process is the local one or a peer not yet dead."""
    return identity == state.identity or identity in state.peers


def caller_addresses(state: GatewayState) -> list[str]:
    """Return the addresses for callers, the least loaded first."""
    loads = [
        (peer.in_flight, peer.caller_address) for peer in serving_peers(state)
    ]
    if state.phase is Phase.SERVING:
        local_load = state.requests.count("role", (Role.OWNER, False))
        loads.append((local_load, state.host.caller_address))
    return [address for _, address in sorted(loads)]


def make_heartbeat(state: GatewayState) -> Heartbeat:
    """Return a heartbeat that reports the state of this process."""
    return Heartbeat(
        identity=state.identity,
        host=state.host.name,
        zone=state.host.zone,
        state=int(state.phase),
        caller_address=state.host.caller_address,
        peer_address=state.host.peer_address,
        applied={
            stream: cursor.position - 1
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
def reset_silence_after_pause(state: GatewayState) -> None:
    """Reset the silence of all peers after a pause of this process.

    A process that was suspended has received no heartbeats; it must not
    consider its peers dead.
    """
    pause_s = state.now - state.last_tick_at
    if pause_s < state.cfg.timings.silence_s / 2:
        return
    for peer in state.peers:
        peer.last_heartbeat_at = state.now


@system(15)
def schedule_peer_checks(state: GatewayState) -> None:
    """Set ``peer_check_due`` in one tick of each heartbeat interval."""
    state.peer_check_due = state.now >= state.next_peer_check_at
    if state.peer_check_due:
        state.next_peer_check_at = state.now + state.cfg.timings.heartbeat_s


@system(20)
def send_heartbeats(state: GatewayState) -> None:
    """Send the periodic heartbeat to a bounded number of peers."""
    if state.now < state.next_heartbeat_at:
        return
    state.next_heartbeat_at = state.now + state.cfg.timings.heartbeat_s
    heartbeat = make_heartbeat(state)
    known_addresses = {peer.peer_address for peer in state.peers}
    peers = list(state.peers)
    if len(peers) > HEARTBEAT_FANOUT:
        peers = state.rng.sample(peers, HEARTBEAT_FANOUT)
    for peer in peers:
        state.send(peer.identity, heartbeat)
    unknown_addresses = [
        host.peer_address
        for host in state.cfg.entry_hosts
        if host.name != state.host.name
        and host.peer_address not in known_addresses
    ]
    for address in unknown_addresses[:HEARTBEAT_FANOUT]:
        state.emit(SendAddress(address, heartbeat))


@system(25)
def estimate_load_ratio(state: GatewayState) -> None:
    """Estimate the load of all gateways relative to the local load."""
    if not state.peer_check_due:
        return
    local = state.requests.count("role", (Role.OWNER, False))
    remote = sum(peer.in_flight for peer in serving_peers(state))
    ratio = (local + remote + 1) / (local + 1)
    capped_ratio = min(ratio, len(state.cfg.entry_hosts))
    state.routing.load_factor += LOAD_RATIO_SMOOTHING * (
        capped_ratio - state.routing.load_factor
    )


@system(30)
def probe_silent_peers(state: GatewayState) -> None:
    """Probe silent peers over a new connection."""
    if not state.peer_check_due:
        return
    silence_s = state.cfg.timings.silence_s
    for peer in state.peers:
        if peer.probing or state.now - peer.last_heartbeat_at < silence_s:
            continue
        peer.probing = True
        state.log(LogEvent.LINK_SILENT, peer=peer.identity)
        state.emit(ProbePeer(peer.identity, peer.peer_address))


@handles(PeerProbed)
def handle_probe(state: GatewayState, probe: PeerProbed) -> None:
    """Keep a peer that answered a probe; remove one that did not."""
    peer = state.peers.get(probe.identity)
    if peer is None:
        return
    peer.probing = False
    silence_s = state.cfg.timings.silence_s
    if probe.alive or state.now - peer.last_heartbeat_at < silence_s:
        peer.last_heartbeat_at = state.now
        return
    remove_peer(state, probe.identity, "silent")


@receives(Heartbeat)
def handle_heartbeat(state: GatewayState, sender: str, msg: Heartbeat) -> None:
    """Update a peer from its heartbeat, or add a new peer."""
    if msg.identity == state.identity:
        return
    for identity in state.peers.find("host", msg.host):
        if identity != msg.identity:
            remove_peer(state, identity, "replaced")
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
        record_host_notice(state, notice.host, notice.seconds_left)
    if peer.phase is Phase.STOPPED:
        remove_peer(state, msg.identity, "stopped")


def remove_peer(state: GatewayState, identity: str, reason: str) -> None:
    """Remove a dead peer and run the death hooks."""
    if state.peers.drop(identity) is None:
        return
    state.log(LogEvent.PEER_DEAD, peer=identity, reason=reason)
    for hook in DEATH_HOOKS:
        hook(state, identity)


def record_host_notice(
    state: GatewayState, host: str, seconds_left: float
) -> None:
    """Record that a host is to be reclaimed and run the notice hooks."""
    if host in state.leaving_hosts:
        return
    state.leaving_hosts[host] = state.now + seconds_left
    state.log(LogEvent.HOST_NOTICED, host=host, seconds_left=seconds_left)
    for hook in NOTICE_HOOKS:
        hook(state, host, seconds_left)
