"""Beats: what a host learns from the others, and what it must not assume."""

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

BOOT = """nodeName=e-{0}
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
            decode_host_settings(BOOT.format(number)),
            identity=f"e-{number}-a",
            rng=Random(number),
            logger=getLogger("beats"),
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
                beat = make_heartbeat(other, now, None)
                state.peers.put(
                    other.host_settings.host,
                    PeerHost(other.host_settings.host, beat, now),
                )
    return states


def learn(state):
    """Let a host read that the engine leaves."""
    apply_registration(state, "m1", LEAVING, 5)
    state.registry.advance(6)
    state.registry_confirmed_at = boot_time()


def tell(sender, receiver):
    """Send one beat."""
    host = sender.peers.rows[receiver.host_settings.host]
    beat = make_heartbeat(sender, boot_time(), host)
    handle_message(receiver, sender.identity, beat)
    return beat


def hold_duties(state):
    record = state.lease_manager.tick(boot_time(), 0.0)
    state.lease_manager.apply(0, record, boot_time())


def test_a_beat_without_entries_does_not_pass_for_news(hosts):
    """Else the host takes its registrations for fresh and misses one."""
    sender, receiver = hosts[0], hosts[1]
    learn(sender)
    known_at = receiver.registry_confirmed_at
    beat = tell(sender, receiver)
    assert beat.entries == () and beat.fleet_end == 6
    assert receiver.registry.end == 4
    assert receiver.registry_confirmed_at == known_at


def test_the_holder_of_the_duties_passes_changes_on(hosts):
    sender, receiver = hosts[0], hosts[1]
    hold_duties(sender)
    learn(sender)
    tell(sender, receiver)
    assert receiver.registry.entries["m1"].leaving
    assert receiver.registry.end == 6


def test_helpers_pass_changes_on_to_a_host_that_has_stale_ones(hosts):
    receiver = hosts[5]
    receiver.registry_confirmed_at = boot_time() - 9.0
    for sender in hosts[:5]:
        learn(sender)
        beat = make_heartbeat(receiver, boot_time(), None)
        sender.peers.put("e-5", PeerHost("e-5", beat, boot_time()))
        tell(sender, receiver)
    assert receiver.registry.entries["m1"].leaving


def test_equal_ends_confirm_each_other(hosts):
    sender, receiver = hosts[0], hosts[1]
    receiver.registry_confirmed_at = boot_time() - 9.0
    sender.registry_confirmed_at = boot_time()
    tell(sender, receiver)
    assert boot_time() - receiver.registry_confirmed_at < 1.0


def test_a_jumping_clock_is_outvoted(hosts):
    base = hosts[1].clock_offset
    hosts[0].clock_offset = base + 3.0
    for _ in range(12):
        for sender in hosts[1:]:
            tell(sender, hosts[0])
            tell(hosts[0], sender)
    assert abs(hosts[0].clock_offset - base) < 0.1
    assert abs(hosts[1].clock_offset - base) < 0.1


def test_a_listing_shows_no_removals_and_vouches_for_none(hosts):
    """An engine that was removed before it must not come back by a beat."""
    receiver, behind = hosts[1], hosts[2]
    fresh = EntryState(
        receiver.host_settings,
        identity="e-1-b",
        rng=Random(1),
        logger=getLogger("beats"),
    )
    fresh.registry.record_listing(6)
    fresh.registry.advance(6)
    assert apply_registration(fresh, "m1", ENTRY, 3) is None
    assert "m1" not in fresh.routing.engines
    hold_duties(fresh)
    fresh.peers.put("e-2", receiver.peers.rows["e-2"])
    beat = tell(fresh, behind)
    assert beat.entries_from == -1
    assert behind.registry.end == 4


def test_peers_prompts_fade_between_their_beats(hosts):
    """Beats of many hosts are old: their prompts have mostly been read."""
    sender, receiver = hosts[0], hosts[1]
    sender.routing.engines["m1"].record_prompt_sent(20_000)
    tell(sender, receiver)
    engine, now = receiver.routing.engines["m1"], boot_time()
    assert engine.peer_running == 1
    fresh, old = engine.peer_unread_tokens(now), engine.peer_unread_tokens(
        now + 1.0
    )
    assert 15_000 < fresh <= 20_000 and old < 4_000


def test_a_peers_new_beat_replaces_its_last(hosts):
    sender, receiver = hosts[0], hosts[1]
    engine = sender.routing.engines["m1"]
    engine.record_prompt_sent(5_000)
    tell(sender, receiver)
    tell(sender, receiver)
    assert receiver.routing.engines["m1"].peer_running == 1
    engine.record_prompt_read(5_000)
    engine.record_ended()
    tell(sender, receiver)
    row = receiver.routing.engines["m1"]
    assert row.peer_running == 0 and row.peer_unread_tokens(boot_time()) < 500


def test_what_a_silent_peer_had_open_is_forgotten(hosts):
    sender, receiver = hosts[0], hosts[1]
    sender.routing.engines["m1"].record_prompt_sent(5_000)
    tell(sender, receiver)
    receiver.peers.get("e-0").last_heartbeat_at = boot_time() - 9.0
    drop_silent_peer_loads(receiver, boot_time())
    assert receiver.routing.engines["m1"].peer_running == 0


def test_a_removal_read_first_holds_against_an_older_entry(hosts):
    """A page held the entry and its removal; a peer then told of the first."""
    ready = EngineEntry("m9", "llm", "10.1.0.9:80", "z1", 4, False)
    reader, peer = hosts[0], hosts[1]
    apply_registration(reader, "m9", None, 7)
    apply_registration(peer, "m9", ready, 6)
    apply_registration(reader, "m9", ready, 6)
    assert "m9" not in reader.routing.engines
    # The peer, which holds the older entry, learns of the removal.
    hold_duties(reader)
    reader.registry.advance(8)
    reader.registry_confirmed_at = boot_time()
    tell(reader, peer)
    assert "m9" not in peer.routing.engines
    assert peer.registry.entries["m9"].gone


def test_an_engine_that_is_born_again_after_a_removal_takes_work(hosts):
    state = hosts[0]
    apply_registration(state, "m9", None, 7)
    again = EngineEntry("m9", "llm", "10.1.0.9:80", "z1", 4, False, born=2)
    apply_registration(state, "m9", again, 8)
    assert "m9" in state.routing.engines
