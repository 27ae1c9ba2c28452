"""Heartbeats between entry hosts, with the state that they share."""

from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Any

from magnoliaflow.cluster.groups import rendezvous_score
from magnoliaflow.cluster.peers import PeerLinks
from magnoliaflow.cluster.positions import era_of
from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.errors import PortError
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.lifecycle import Phase
from magnoliaflow.common.messages import AccountDemand
from magnoliaflow.common.messages import Beat
from magnoliaflow.common.messages import Changes
from magnoliaflow.common.messages import EngineEntry
from magnoliaflow.common.messages import EngineLoad
from magnoliaflow.common.messages import Findings
from magnoliaflow.common.messages import Message
from magnoliaflow.common.messages import Report
from magnoliaflow.common.messages import RolloutCounts
from magnoliaflow.common.messages import RolloutDecisions
from magnoliaflow.common.messages import ServiceLoad
from magnoliaflow.common.messages import UsageCounts
from magnoliaflow.common.messages import View
from magnoliaflow.entry.capshares import update_cap_shares
from magnoliaflow.entry.findings import handle_findings
from magnoliaflow.entry.reports import handle_changes
from magnoliaflow.entry.reports import handle_report
from magnoliaflow.entry.reports import handle_view
from magnoliaflow.entry.reports import OTHERS
from magnoliaflow.entry.rolloutmessages import handle_rollout_counts
from magnoliaflow.entry.rolloutmessages import handle_rollout_decisions
from magnoliaflow.entry.state import DUTY_LEASE
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.state import heartbeat_interval
from magnoliaflow.entry.state import PeerHost
from magnoliaflow.entry.storeera import observe_store_era
from magnoliaflow.entry.updates import apply_config
from magnoliaflow.entry.updates import apply_registration
from magnoliaflow.entry.usagecounts import handle_usage_counts
from magnoliaflow.entry.usagecounts import merge_usage
from magnoliaflow.entry.usagecounts import recent_rows
from magnoliaflow.entry.usagecounts import usage_rows
from magnoliaflow.platform.document import decode_document
from magnoliaflow.policy.clockbounds import offset_bounds

# A peer that was silent for this long is dropped: longer than any partition
# within the platform's bounds.
PEER_EXPIRY_S = 30.0
# Interval, in rounds, at which heartbeats carry the peers' addresses and are
# also sent to addresses without a known host.  These get as many first rounds
# too, so that hosts that start together find each other soon.
FULL_ROUND_INTERVAL = 8
# Peers that relay gossip to a host, besides the lease holder.
RELAYS_PER_HOST = 3
# A new configuration is relayed this long after it was applied, since a
# host's own long poll is faster.
CONFIG_RELAY_DELAY_S = 0.5
# A host's relays send it changes when its registry is older than this.
STALE_REGISTRY_S = 1.0
# Minimum time between rounds that the lease holder sends for changes.
MIN_PUSH_INTERVAL_S = 0.2


class HeartbeatSender:
    """Sends this host's heartbeats."""

    __slots__ = (
        "next_round_at",
        "links",
        "last_round_at",
        "last_round_offset",
        "round_number",
        "state",
    )

    def __init__(self, state: EntryState, links: PeerLinks) -> None:
        self.state = state
        self.links = links
        self.next_round_at = 0.0
        self.last_round_at = 0.0
        self.last_round_offset = -1
        self.round_number = 0

    def tick(self, now: float) -> None:
        """Send a round of heartbeats when it is due."""
        push = self.state.lease_manager.holds(now) and self._has_changes()
        if now < self.next_round_at and not (
            push and now >= self.last_round_at + MIN_PUSH_INTERVAL_S
        ):
            return
        self.last_round_at = now
        self.last_round_offset = self.state.registry.last_change_offset
        self.next_round_at = now + heartbeat_interval(len(self.state.peers))
        self.send_round(now)

    def _has_changes(self) -> bool:
        """Return whether a registration changed since the last round."""
        return self.state.registry.last_change_offset > self.last_round_offset

    def send_round(self, now: float) -> None:
        """Send a heartbeat to every known host."""
        state = self.state
        self.round_number += 1
        _expire_peers(state, now)
        drop_silent_peer_loads(state, now)
        grouped = state.uses_groups()
        if not grouped:
            state.routing.load_factor = 1.0 + len(state.peers)
            state.reported_demands = {
                name: demand.current(now)
                for name, demand in state.account_demands.items()
            }
            update_cap_shares(state, now)
        peers_by_address = {
            peer.heartbeat.peer_address: peer
            for peer in state.peers
            if not (grouped and peer.heartbeat.groups)
        }
        for address, peer in peers_by_address.items():
            heartbeat = make_heartbeat(
                state,
                now,
                peer,
                with_addresses=self.round_number % FULL_ROUND_INTERVAL == 1,
            )
            self.links.send(address, heartbeat)
        if not grouped and (
            self.round_number <= FULL_ROUND_INTERVAL
            or self.round_number % FULL_ROUND_INTERVAL == 1
        ):
            own = state.host_settings.peer_address
            for address in state.peer_addresses:
                if address not in peers_by_address and address != own:
                    self.links.send(address, make_heartbeat(state, now, None))


def _expire_peers(state: EntryState, now: float) -> None:
    """Drop peers that have been silent for too long."""
    for peer in list(state.peers):
        if now - peer.last_heartbeat_at > PEER_EXPIRY_S:
            state.peers.drop(peer.name)
            state.log(LogEvent.PEER_DEAD, host=peer.name)


def is_relay_for(state: EntryState, peer: PeerHost) -> bool:
    """Return whether this host relays gossip to a peer.

    Each host has a few relays, chosen by rendezvous hashing.  So changes
    reach a host that cannot read the store, without every host of a large
    deployment sending them.
    """
    others = [other.name for other in state.peers if other.name != peer.name]
    own_score = rendezvous_score(peer.name, state.host_settings.host)
    higher = sum(
        1 for name in others if rendezvous_score(peer.name, name) > own_score
    )
    return higher < RELAYS_PER_HOST


@dataclass(frozen=True, slots=True)
class Gossip:
    """Changes that a heartbeat passes on to a peer."""

    entries_from: int = -1
    entries: tuple[EngineEntry, ...] = ()
    document: bytes = b""


def _gossip_for(state: EntryState, now: float, peer: PeerHost) -> Gossip:
    """Return the registrations and the configuration that a peer lacks."""
    heartbeat = peer.heartbeat
    is_relay = is_relay_for(state, peer)
    entries_from = -1
    entries: tuple[EngineEntry, ...] = ()
    stale = (
        heartbeat.fleet_age + now - peer.last_heartbeat_at > STALE_REGISTRY_S
    )
    # Builds that do not know of eras take positions for offsets.
    knows_eras = heartbeat.store_era >= 0 or not era_of(state.registry.end)
    if knows_eras and (state.lease_manager.holds(now) or (is_relay and stale)):
        since = max(0, heartbeat.fleet_end)
        entries = state.registry.changed_since(since)
        entries_from = since if state.registry.complete_since(since) else -1
    route_table = state.route_table
    peer_outdated = (
        route_table is not None and route_table.version > heartbeat.version
    )
    if (
        peer_outdated
        and is_relay
        and now > state.config_applied_at + CONFIG_RELAY_DELAY_S
    ):
        return Gossip(entries_from, entries, state.config_document)
    return Gossip(entries_from, entries)


def make_heartbeat(
    state: EntryState,
    now: float,
    peer: PeerHost | None,
    *,
    with_addresses: bool = True,
) -> Beat:
    """Return this host's heartbeat without what the peer already has.

    ``with_addresses``: include the addresses of the other peers.
    """
    route_table = state.route_table
    speeds = state.own_speeds(now)
    number = heard_number = -1
    if peer is not None:
        number = state.sent_heartbeats[peer.name].add(now)
        heard_number = peer.heartbeat.number
    gossip = Gossip() if peer is None else _gossip_for(state, now, peer)
    usage = []
    if peer is not None and needs_usage_counts(state, peer):
        usage = recent_rows(state, state.identity, now)
    return Beat(
        identity=state.identity,
        host=state.host_settings.host,
        zone=state.host_settings.zone,
        caller_address=state.host_settings.caller_address,
        peer_address=state.host_settings.peer_address,
        ready=state.is_ready(now),
        leaving=state.phase >= Phase.DRAINING,
        true_time=state.true_time(now),
        version=-1 if route_table is None else route_table.version,
        config_age=min(1e6, state.config_age(now)),
        fleet_end=state.registry.end,
        fleet_age=min(1e6, now - state.registry_confirmed_at),
        lease_fence=(
            state.lease_manager.fence if state.lease_manager.holds(now) else -1
        ),
        lease_offset=state.lease_manager.last_offset,
        lease_age=state.lease_manager.record_age(now),
        peers=tuple(
            other.heartbeat.peer_address
            for other in state.peers
            if with_addresses
        ),
        demands=tuple(
            AccountDemand(name, rate, state.spent[name])
            for name, rate in state.reported_demands.items()
            if rate > 0.01
        ),
        usage=usage_rows(usage),
        engines=tuple(
            EngineLoad(
                engine.name,
                engine.local_running,
                engine.unread_tokens,
                *speeds.get(engine.name, ()),
            )
            for engine in state.routing.engines.values()
            if engine.local_running or (speeds and engine.name in speeds)
        ),
        services=tuple(
            ServiceLoad(
                name,
                local_load.demand.current(now),
                local_load.running,
                (
                    local_load.recent.current(now)
                    if name in state.learning_services
                    else -1.0
                ),
            )
            for name, local_load in state.local_loads.items()
        ),
        entries_from=gossip.entries_from,
        entries=gossip.entries,
        document=gossip.document,
        number=number,
        heard_number=heard_number,
        groups=True,
        store_era=state.store_era,
        lease_era=state.lease_manager.lease_era,
    )


def needs_usage_counts(state: EntryState, peer: PeerHost) -> bool:
    """Return whether a peer is sent this host's usage counts.

    The lease holder needs them.  Peers that this host relays to keep copies,
    so that the counts of a killed host survive a takeover.
    """
    return (
        peer.heartbeat.lease_fence >= 0
        or len(state.peers) <= RELAYS_PER_HOST
        or is_relay_for(state, peer)
    )


MESSAGE_HANDLERS: dict[type, Callable[[EntryState, Any], None]] = {
    Report: handle_report,
    View: handle_view,
    Changes: handle_changes,
    Findings: handle_findings,
    RolloutCounts: handle_rollout_counts,
    RolloutDecisions: handle_rollout_decisions,
}


def handle_message(state: EntryState, sender: str, message: Message) -> None:
    """Apply a peer's message; the product's other messages are ignored."""
    if sender == state.identity:
        return
    if isinstance(message, Beat):
        handle_heartbeat(state, message)
        return
    if isinstance(message, UsageCounts):
        handle_usage_counts(state, sender, message, boot_time())
        return
    handler = MESSAGE_HANDLERS.get(type(message))
    if handler is not None:
        handler(state, message)


def handle_heartbeat(state: EntryState, message: Beat) -> None:
    """Apply a peer's heartbeat."""
    if message.host == state.host_settings.host:
        return
    now = boot_time()
    previous = state.peers.get(message.host)
    if previous is None or previous.heartbeat.identity != message.identity:
        state.log(
            LogEvent.PEER_ALIVE, host=message.host, identity=message.identity
        )
    made_after = _update_peer(state, message, previous, now)
    observe_store_era(state, message.store_era)
    state.peer_addresses[message.peer_address] = now
    for address in message.peers:
        state.peer_addresses.setdefault(address, now)
    _apply_config(state, message, made_after)
    _apply_registrations(state, message, made_after)
    merge_usage(state, message.identity, message.usage)
    if message.lease_fence >= 0:
        state.lease_manager.lease_table.observe_holder(
            DUTY_LEASE,
            message.identity,
            message.lease_fence,
            message.lease_offset,
            now - message.lease_age,
            message.lease_era,
        )
    _apply_engine_loads(state, message, previous, now)
    _correct_clock(state, now)


def _update_peer(
    state: EntryState, heartbeat: Beat, previous: PeerHost | None, now: float
) -> float:
    """Record a peer and what it has taken from the caps since its last.

    What it took before its first heartbeat here does not count.  Return the
    earliest time at which the heartbeat may have been made: after the last
    one that its sender had received from this host.
    """
    spent: dict[str, float] = {}
    if (
        previous is not None
        and previous.heartbeat.identity == heartbeat.identity
    ):
        spent = previous.spent
    for demand in heartbeat.demands:
        cap = state.caps.get(demand.account)
        if cap is not None and previous is not None:
            cap.record_spent(
                demand.spent - spent.get(demand.account, 0.0), now
            )
        spent[demand.account] = demand.spent
    sent = state.sent_heartbeats[heartbeat.host]
    made_after = sent.times.get(heartbeat.heard_number, -inf)
    state.peers.put(
        heartbeat.host,
        PeerHost(heartbeat.host, heartbeat, now, spent, made_after),
    )
    return made_after


def _apply_config(
    state: EntryState, heartbeat: Beat, made_after: float
) -> None:
    """Apply a newer configuration, or the confirmation of this one."""
    state.observe_version(heartbeat.version, heartbeat.config_age)
    version = -1 if state.route_table is None else state.route_table.version
    if heartbeat.document and heartbeat.version > version:
        try:
            route_table = decode_document(heartbeat.document)
        except PortError as exc:
            state.log(LogEvent.RECORD_UNREADABLE, reason=str(exc))
            return
        apply_config(
            state, route_table, heartbeat.document, source=heartbeat.host
        )
        version = route_table.version
    if heartbeat.version == version:
        confirmed = made_after - heartbeat.config_age
        state.config_confirmed_at = max(state.config_confirmed_at, confirmed)


def _apply_registrations(
    state: EntryState, heartbeat: Beat, made_after: float
) -> None:
    """Apply registrations that are newer than the known ones."""
    if not state.registry.entries and not heartbeat.entries:
        return
    for entry in heartbeat.entries:
        apply_registration(state, entry.engine, entry, entry.offset)
    end = state.registry.end
    complete = 0 <= heartbeat.entries_from <= end <= heartbeat.fleet_end
    if complete or heartbeat.fleet_end == end:
        state.registry.advance(heartbeat.fleet_end)
        state.registry_confirmed_at = max(
            state.registry_confirmed_at, made_after - heartbeat.fleet_age
        )


def _apply_engine_loads(
    state: EntryState, heartbeat: Beat, previous: PeerHost | None, now: float
) -> None:
    """Apply a peer's open requests at each engine."""
    reported = {load.engine: load for load in heartbeat.engines}
    previous_loads = () if previous is None else previous.heartbeat.engines
    for name in {*reported, *(load.engine for load in previous_loads)}:
        engine = state.routing.engines.get(name)
        if engine is None:
            continue
        load = reported.get(name)
        running = 0 if load is None else load.running
        unread = 0 if load is None else load.unread_tokens
        engine.update_peer_load(heartbeat.host, running, unread, now)


def drop_silent_peer_loads(state: EntryState, now: float) -> None:
    """Drop the reported open requests of peers that are not live."""
    live = {peer.name for peer in state.live_peers(now)}
    for engine in state.routing.engines.values():
        for name in engine.peers.keys() - live - {OTHERS}:
            engine.update_peer_load(name, 0, 0, now)


def _correct_clock(state: EntryState, now: float) -> None:
    """Move this host's estimate of true time towards the peers' median.

    The median outvotes a clock that has jumped, here or on a peer.
    """
    bounds = [
        offset_bounds(
            peer.heartbeat.true_time, peer.made_after, peer.last_heartbeat_at
        )
        for peer in state.live_peers(now)
    ]
    if len(bounds) > 1:
        state.correct_clock(bounds)
