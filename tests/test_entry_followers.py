"""Readers of the engines' registrations: what is read, and when."""

from dataclasses import replace
from logging import getLogger
from random import Random

import pytest
from twisted.internet.task import Clock

from magnoliaflow.common.messages import EngineEntry
from magnoliaflow.entry.followers import LAPSED_REMOVAL_DELAY_S
from magnoliaflow.entry.followers import RegistrationFollower
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.updates import apply_registration
from magnoliaflow.platform.nodefile import decode_host_settings
from magnoliaflow.platform.store import Entry
from magnoliaflow.platform.store import Page

BOOT_FILE = """nodeName=e-1
zone=a
listenAddresses.frontend=10.0.0.1:1
listenAddresses.controlPlane=10.0.0.1:2
platform.address=10.0.0.9:3
"""


class StubStore:
    """Answers every read with the same page."""

    def __init__(self, page):
        self.page = page

    def read(self, topic, offset, *, era):
        """Return the page."""
        return self.page


@pytest.fixture
def read_removals(monkeypatch):
    """Return a function that reads removals after an outage of 10 s.

    It returns the state of the host and its clock.
    """
    clock = Clock()
    monkeypatch.setattr("magnoliaflow.entry.followers.reactor", clock)
    state = EntryState(
        decode_host_settings(BOOT_FILE),
        identity="e-1-a",
        rng=Random(1),
        logger=getLogger("followers"),
    )
    for number, service in enumerate(("llm", "llm", "desk")):
        name = f"m{number}"
        entry = EngineEntry(name, service, f"h:{number}", "a", 4, False)
        apply_registration(state, name, entry, number)
    state.registry.advance(3)
    state.registry_confirmed_at = 0.0

    def read(*removed):
        page = Page(
            tuple(
                Entry(3 + index, name, None)
                for index, name in enumerate(removed)
            ),
            3 + len(removed),
        )
        follower = RegistrationFollower(state, StubStore(page))
        follower.listings.is_due = False
        follower._read_once(10.0)
        return state, clock

    return read


def test_a_removal_after_an_outage_applies_at_once_while_others_remain(
    read_removals,
):
    """Only the removal of a service's last engine is delayed."""
    state, _ = read_removals("m0")
    assert state.registry.entries["m0"].gone
    assert "m0" not in state.routing.engines


def test_the_removal_of_a_services_last_engine_is_delayed(read_removals):
    state, clock = read_removals("m2")
    assert not state.registry.entries["m2"].gone
    clock.advance(LAPSED_REMOVAL_DELAY_S)
    assert state.registry.entries["m2"].gone


def test_one_engine_is_kept_of_a_service_whose_entries_all_lapsed(
    read_removals,
):
    state, _ = read_removals("m0", "m1")
    remaining = [
        entry for entry in state.registry.entries.values() if not entry.gone
    ]
    assert {entry.backend for entry in remaining} == {"llm", "desk"}


def test_an_engine_that_registers_again_is_not_removed_later(read_removals):
    """Its entry is as before, so that it changes nothing."""
    state, clock = read_removals("m2")
    entry = replace(state.registry.entries["m2"], sequence=9)
    apply_registration(state, "m2", entry, 5)
    clock.advance(LAPSED_REMOVAL_DELAY_S)
    assert not state.registry.entries["m2"].gone


class EndingStore:
    """Answers each read with the first record alone, though more follow."""

    def __init__(self, entries):
        self.entries = entries

    def read(self, topic, offset, *, era):
        """Return a page that ends before the log does."""
        return Page(
            tuple(self.entries[offset : offset + 1]), len(self.entries)
        )


def test_a_removal_behind_an_answer_that_ends_early_is_applied(read_removals):
    state, _ = read_removals()
    entries = [Entry(number, f"x{number}", b"?") for number in range(5)]
    entries += [Entry(5, "m0", None)]
    follower = RegistrationFollower(state, EndingStore(entries))
    follower.listings.is_due = False
    for _ in range(len(entries)):
        follower._read_once(10.0)
    assert state.registry.entries["m0"].gone


def test_an_answer_that_ends_early_does_not_confirm_the_list(read_removals):
    state, _ = read_removals()
    entries = [Entry(number, f"x{number}", b"?") for number in range(6)]
    follower = RegistrationFollower(state, EndingStore(entries))
    follower.listings.is_due = False
    confirmed_at = state.registry_confirmed_at
    follower._read_once(20.0)
    assert state.registry_confirmed_at == confirmed_at


@pytest.mark.parametrize("drain_s", [1.0, 2.0, 3.0, 4.0])
@pytest.mark.parametrize("hosts", [4, 26])
def test_a_list_is_read_before_it_is_as_old_as_the_drain_bound(
    read_removals, monkeypatch, hosts, drain_s
):
    state, _ = read_removals()
    state.host_settings = replace(state.host_settings, drain_s=drain_s)
    monkeypatch.setattr(EntryState, "host_count", lambda _: hosts)
    monkeypatch.setattr(state.view.__class__, "rank", lambda _: hosts - 1)
    now = 100.0
    monkeypatch.setattr("magnoliaflow.entry.followers.boot_time", lambda: now)
    # A read takes up to a quarter of the bound on a slow host.
    state.registry_confirmed_at = now - 0.75 * drain_s
    assert RegistrationFollower(state, None)._is_due()
