"""Heartbeats: what a host learns from its peers and must not assume."""

from logging import getLogger
from random import Random

import pytest

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.messages import EngineEntry
from magnoliaflow.entry.heartbeats import drop_silent_peer_loads
from magnoliaflow.entry.heartbeats import handle_message
from magnoliaflow.entry.heartbeats import make_heartbeat
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.state import PeerHost
from magnoliaflow.entry.updates import apply_registration
from magnoliaflow.platform.nodefile import decode_host_settings

BOOT_FILE = """nodeName=e-{0}
zone=z1
listenAddresses.frontend=10.0.0.{0}:1
listenAddresses.controlPlane=10.0.0.{0}:2
platform.address=10.0.0.9:3
"""
ENTRY = EngineEntry("m1", "llm", "10.1.0.1:80", "z1", 4, False)
LEAVING = EngineEntry("m1", "llm", "10.1.0.1:80", "z1", 4, True)


@pytest.fixture
def hosts():
    """Return six hosts that know each other and one engine."""
    states = [
        EntryState(
            decode_host_settings(BOOT_FILE.format(number)),
            identity=f"e-{number}-a",
            rng=Random(number),
            logger=getLogger("heartbeats"),
        )
        for number in range(6)
    ]
    now = boot_time()
    for state in states:
        apply_registration(state, "m1", ENTRY, 3)
        state.registry.record_listing(4)
        state.registry.advance(4)
        state.registry_confirmed_at = now
    for state in states:
        for other in states:
            if other is not state:
                heartbeat = make_heartbeat(other, now, None)
                state.peers.put(
                    other.host_settings.host,
                    PeerHost(other.host_settings.host, heartbeat, now),
                )
    return states


def read_leaving_entry(state):
    """Let a host read the entry that says that the engine is leaving."""
    apply_registration(state, "m1", LEAVING, 5)
    state.registry.advance(6)
    state.registry_confirmed_at = boot_time()


def send_heartbeat(sender, receiver):
    """Send one heartbeat and return it."""
    host = sender.peers.rows[receiver.host_settings.host]
    heartbeat = make_heartbeat(sender, boot_time(), host)
    handle_message(receiver, sender.identity, heartbeat)
    return heartbeat


def acquire_lease(state):
    record = state.lease_manager.tick(boot_time(), 0.0)
    state.lease_manager.apply(0, record, boot_time())


def test_a_heartbeat_without_entries_confirms_no_registrations(hosts):
    """Otherwise the host assumes that it is current and misses a change."""
    sender, receiver = hosts[0], hosts[1]
    read_leaving_entry(sender)
    confirmed_at = receiver.registry_confirmed_at
    heartbeat = send_heartbeat(sender, receiver)
    assert heartbeat.entries == () and heartbeat.fleet_end == 6
    assert receiver.registry.end == 4
    assert receiver.registry_confirmed_at == confirmed_at


def test_the_lease_holder_passes_changes_on(hosts):
    sender, receiver = hosts[0], hosts[1]
    acquire_lease(sender)
    read_leaving_entry(sender)
    send_heartbeat(sender, receiver)
    assert receiver.registry.entries["m1"].leaving
    assert receiver.registry.end == 6


def test_relays_pass_changes_on_to_a_host_with_stale_registrations(hosts):
    receiver = hosts[5]
    receiver.registry_confirmed_at = boot_time() - 9.0
    for sender in hosts[:5]:
        read_leaving_entry(sender)
        heartbeat = make_heartbeat(receiver, boot_time(), None)
        sender.peers.put("e-5", PeerHost("e-5", heartbeat, boot_time()))
        send_heartbeat(sender, receiver)
    assert receiver.registry.entries["m1"].leaving


def test_a_peer_with_an_equal_end_confirms_registrations(hosts):
    """Once it answers a heartbeat of the receiver, which bounds its age."""
    sender, receiver = hosts[0], hosts[1]
    receiver.registry_confirmed_at = boot_time() - 9.0
    sender.registry_confirmed_at = boot_time()
    send_heartbeat(receiver, sender)
    send_heartbeat(sender, receiver)
    assert boot_time() - receiver.registry_confirmed_at < 1.0


def test_a_heartbeat_read_after_a_suspension_confirms_nothing(
    hosts, monkeypatch
):
    """It waited in a buffer while its receiver did not run."""
    sender, receiver = hosts[0], hosts[1]
    now = boot_time()
    sender.registry_confirmed_at = sender.config_confirmed_at = now
    receiver.registry_confirmed_at = receiver.config_confirmed_at = now
    sender.clock_offset = receiver.clock_offset
    send_heartbeat(receiver, sender)
    host = sender.peers.rows[receiver.host_settings.host]
    heartbeat = make_heartbeat(sender, boot_time(), host)
    resumed = now + 6.0
    monkeypatch.setattr(
        "magnoliaflow.entry.heartbeats.boot_time", lambda: resumed
    )
    clock_offset = receiver.clock_offset
    handle_message(receiver, sender.identity, heartbeat)
    assert resumed - receiver.registry_confirmed_at > 5.9
    assert resumed - receiver.config_confirmed_at > 5.9
    assert receiver.clock_offset == clock_offset


def test_a_jumping_clock_is_outvoted(hosts):
    initial_offset = hosts[1].clock_offset
    hosts[0].clock_offset = initial_offset + 3.0
    for _ in range(12):
        for sender in hosts[1:]:
            send_heartbeat(sender, hosts[0])
            send_heartbeat(hosts[0], sender)
    assert abs(hosts[0].clock_offset - initial_offset) < 0.1
    assert abs(hosts[1].clock_offset - initial_offset) < 0.1


def test_a_listing_does_not_confirm_earlier_removals(hosts):
    """A heartbeat must not bring back an engine removed before the listing."""
    receiver, behind = hosts[1], hosts[2]
    restarted = EntryState(
        receiver.host_settings,
        identity="e-1-b",
        rng=Random(1),
        logger=getLogger("heartbeats"),
    )
    restarted.registry.record_listing(6)
    restarted.registry.advance(6)
    assert apply_registration(restarted, "m1", ENTRY, 3) is None
    assert "m1" not in restarted.routing.engines
    acquire_lease(restarted)
    restarted.peers.put("e-2", receiver.peers.rows["e-2"])
    heartbeat = send_heartbeat(restarted, behind)
    assert heartbeat.entries_from == -1
    assert behind.registry.end == 4


def test_unread_prompts_of_peers_decay_between_heartbeats(hosts):
    """With many hosts heartbeats are rare; most reported prompts are read."""
    sender, receiver = hosts[0], hosts[1]
    sender.routing.engines["m1"].record_prompt_sent(20_000)
    send_heartbeat(sender, receiver)
    engine, now = receiver.routing.engines["m1"], boot_time()
    assert engine.peer_running == 1
    initial_tokens, later_tokens = engine.peer_unread_tokens(
        now
    ), engine.peer_unread_tokens(now + 1.0)
    assert 15_000 < initial_tokens <= 20_000 and later_tokens < 4_000


def test_a_peers_heartbeat_replaces_its_previous_one(hosts):
    sender, receiver = hosts[0], hosts[1]
    engine = sender.routing.engines["m1"]
    engine.record_prompt_sent(5_000)
    send_heartbeat(sender, receiver)
    send_heartbeat(sender, receiver)
    assert receiver.routing.engines["m1"].peer_running == 1
    engine.record_prompt_read(5_000)
    engine.record_ended()
    send_heartbeat(sender, receiver)
    receiver_engine = receiver.routing.engines["m1"]
    assert (
        receiver_engine.peer_running == 0
        and receiver_engine.peer_unread_tokens(boot_time()) < 500
    )


def test_open_requests_of_a_silent_peer_are_dropped(hosts):
    sender, receiver = hosts[0], hosts[1]
    sender.routing.engines["m1"].record_prompt_sent(5_000)
    send_heartbeat(sender, receiver)
    receiver.peers.get("e-0").last_heartbeat_at = boot_time() - 9.0
    drop_silent_peer_loads(receiver, boot_time())
    assert receiver.routing.engines["m1"].peer_running == 0


def test_a_removal_read_first_wins_over_an_older_entry(hosts):
    """A page held an entry and its removal; a peer then sent the entry."""
    entry = EngineEntry("m9", "llm", "10.1.0.9:80", "z1", 4, False)
    reader, peer = hosts[0], hosts[1]
    apply_registration(reader, "m9", None, 7)
    apply_registration(peer, "m9", entry, 6)
    apply_registration(reader, "m9", entry, 6)
    assert "m9" not in reader.routing.engines
    # The peer, which has the older entry, must learn of the removal.
    acquire_lease(reader)
    reader.registry.advance(8)
    reader.registry_confirmed_at = boot_time()
    send_heartbeat(reader, peer)
    assert "m9" not in peer.routing.engines
    assert peer.registry.entries["m9"].gone


def test_an_engine_registered_again_after_a_removal_takes_work(hosts):
    state = hosts[0]
    apply_registration(state, "m9", None, 7)
    entry = EngineEntry("m9", "llm", "10.1.0.9:80", "z1", 4, False, born=2)
    apply_registration(state, "m9", entry, 8)
    assert "m9" in state.routing.engines


@pytest.mark.parametrize("delay_s", [0.05, 0.4])
def test_slow_messages_do_not_slow_the_clocks(hosts, monkeypatch, delay_s):
    """Usage windows are in true time; each host hears the others late."""
    first = hosts[0].clock_offset
    for state in hosts:
        state.clock_offset = first
    start = boot_time()
    clock = [start]
    monkeypatch.setattr(
        "magnoliaflow.entry.heartbeats.boot_time", lambda: clock[0]
    )
    for step in range(200):
        clock[0] = start + (0.2 + delay_s) * step
        sent = [
            (
                sender,
                receiver,
                make_heartbeat(
                    sender,
                    clock[0],
                    sender.peers.rows[receiver.host_settings.host],
                ),
            )
            for sender in hosts
            for receiver in hosts
            if sender is not receiver
        ]
        clock[0] += delay_s
        for sender, receiver, heartbeat in sent:
            handle_message(receiver, sender.identity, heartbeat)
    drift = max(abs(state.clock_offset - first) for state in hosts)
    assert drift < 0.1
