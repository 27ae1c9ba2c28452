"""Profiles: honest conflicts, no reversal, spread within the bound."""

from json import dumps

from hypothesis import given
from hypothesis import strategies as st
import pytest

from checkers import PROFILE_BOUND_S
from checkers import violations
from magnoliaflow.cluster.profiles import Decision
from magnoliaflow.cluster.profiles import parse_spec
from magnoliaflow.cluster.profiles import profile_spec
from magnoliaflow.cluster.profiles import ProfileTable
from magnoliaflow.common.codes import Code
from magnoliaflow.common.errors import SettingsError
from magnoliaflow.common.records import ProfileChange
from magnoliaflow.common.records import ProfileSnapshot
from magnoliaflow.common.records import Record
from magnoliaflow.core.state import PROFILE_STREAM

SPEC = {
    "target": "model",
    "idempotent": True,
    "deadline_s": 30,
    "backend": "repair-model",
}
BAD_SPECS = [
    ({**SPEC, "deadline_s": 0}, "deadline_s"),
    ({**SPEC, "target": "oracle"}, "target"),
    ({**SPEC, "colour": 1}, "colour"),
    ({**SPEC, "idempotent": False}, "non-idempotent"),
    ({"target": "model"}, "required"),
]


@pytest.mark.parametrize("spec, word", BAD_SPECS)
def test_bad_spec_is_named(spec, word):
    with pytest.raises(SettingsError, match=word):
        parse_spec("p", dumps(spec))


def test_spec_survives():
    profile = parse_spec("p", dumps(SPEC))
    assert parse_spec("p", profile_spec(profile)) == profile


def change(number, name, base):
    """Return a change under an id of its own."""
    spec = dumps({**SPEC, "deadline_s": number + 1})
    return ProfileChange(f"c{number}", name, base, spec, "op", float(number))


CHANGES = st.lists(
    st.tuples(st.sampled_from("pq"), st.integers(0, 4)), max_size=20
)


def book_after(records, *, first=0):
    """Return the book of a reader that begins at an offset."""
    book = ProfileTable()
    if first:
        book.restart(first)
    for offset, record in enumerate(records):
        if offset >= first:
            book.apply(offset, record)
    return book


@given(CHANGES, st.integers(0, 20), st.integers(0, 20), st.integers(0, 20))
def test_late_reader_agrees(rows, stale_at, write_at, first):
    """A reader that begins at a trimmed log ends with the same profiles.

    The snapshot is of any age and lands at any later place; a reader
    that it cannot serve must stay incomplete.
    """
    records = [
        change(number, name, base) for number, (name, base) in enumerate(rows)
    ]
    stale_at = min(stale_at, len(records))
    write_at = max(stale_at, min(write_at, len(records)))
    snapshot = book_after(records[:stale_at]).snapshot(written_at=1.0)
    records.insert(write_at, snapshot)
    whole = book_after(records)
    assert (
        whole.entries
        == book_after(
            [item for item in records if item is not snapshot]
        ).entries
    )
    first = min(first, len(records))
    late = book_after(records, first=first)
    if late.complete:
        assert late.entries == whole.entries
    elif first <= write_at:
        assert snapshot.as_of < first - 1


@given(CHANGES, st.data())
def test_versions_never_fall(rows, data):
    """No record, and no snapshot of any age, lowers a version."""
    book = ProfileTable()
    old = [ProfileSnapshot((), -1, 0.0)]
    offset = 0
    for number, (name, base) in enumerate(rows):
        before = dict(book.entries)
        record = data.draw(st.sampled_from([change(number, name, base), *old]))
        book.apply(offset, record)
        offset += 1
        old.append(book.snapshot(written_at=float(number)))
        for known, entry in before.items():
            assert book.version(known) >= entry.version


def test_racing_operators_get_one_acceptance(make_world):
    world = make_world(1)
    for operator in ("ann", "bob"):
        spec = {**SPEC, "deadline_s": 5 + len(operator)}
        world.publish("claim-review", spec, base=1, change_id=operator)
    world.run(2.0)
    assert violations(world) == []
    for node in world.nodes.values():
        book = node.state.profiles
        assert book.decision("ann") is Decision.IN_FORCE
        assert book.decision("bob") is Decision.CONFLICT
        assert book.version("claim-review") == 2


def spread_s(world, names, change_id):
    """Return the seconds until a change is in force at some gateways."""
    start = world.now

    def applied():
        return all(
            world.nodes[name].state.profiles.decision(change_id)
            is Decision.IN_FORCE
            or change_id
            in {
                entry.change_id
                for entry in world.nodes[name].state.profiles.entries.values()
            }
            for name in names
        )

    assert world.run_until(applied, limit=60.0)
    return world.now - start


def test_node_cut_off_from_the_log_learns_from_peers(make_world):
    world = make_world(2)
    name = world.live()[0]
    world.nodes[name].log_unreachable = True
    world.publish("claim-review", SPEC, base=1, change_id="x")
    assert spread_s(world, world.live(), "x") < PROFILE_BOUND_S
    assert violations(world) == []


def test_node_restarted_in_an_outage_starts_from_peers(make_world):
    world = make_world(3)
    world.publish("claim-review", SPEC, base=1, change_id="x")
    world.run(1.0)
    world.log.down = True
    world.run(1.0)
    name = world.live()[0]
    world.kill(name)
    world.start(name)
    assert spread_s(world, world.live(), "x") < PROFILE_BOUND_S
    call = world.call("quote-draft", at=name)
    order = world.call("voucher-booking", at=name, key="v")
    assert world.settle()
    assert (call.code, order.code) == (Code.DONE, Code.LOG_DOWN)
    world.log.down = False
    world.run(2.0)
    assert violations(world) == []


def test_node_cut_off_from_all_stops_taking_work(make_world):
    world = make_world(4)
    name = world.live()[0]
    world.nodes[name].log_unreachable = True
    for other in world.live()[1:]:
        world.partition(name, other)
    world.run(PROFILE_BOUND_S + 1.0)
    call = world.call("quote-draft", at=name)
    assert call.code is Code.PROFILES_STALE
    assert world.attempts() == []
    world.heal()
    world.run(3.0)
    late = world.call("quote-draft", at=name)
    assert world.settle() and late.code is Code.DONE


def test_changed_profile_applies_after_retention(make_world):
    world = make_world(5, timings={"retention_s": 40.0, "key_window_s": 15.0})
    world.run(25.0)
    world.log.keep = 3
    for number in range(6):
        world.publish(
            "claim-review", SPEC, base=1 + number, change_id=f"x{number}"
        )
        world.run(1.0)
    name = world.live()[0]
    world.kill(name)
    world.run(1.0)
    node = world.start(name)
    complete = world.run_until(
        lambda: node.state.profiles.complete, limit=30.0
    )
    world.run(1.0)
    assert complete
    assert node.state.profiles.version("claim-review") == 7
    assert violations(world) == []


def test_late_snapshot_of_a_paused_writer_reverts_nothing(make_world):
    world = make_world(6)
    node = world.nodes[world.live()[0]]
    stale = node.state.profiles.snapshot(written_at=world.wall)
    world.publish("claim-review", SPEC, base=1, change_id="x")
    world.run(1.0)
    world.log.commit(PROFILE_STREAM, [Record("late", stale)])
    world.run(1.0)
    assert violations(world) == []
    assert node.state.profiles.version("claim-review") == 2


def test_base_check_is_what_makes_conflicts_honest(monkeypatch, make_world):
    """Without the base check a loser's change silently wins."""
    real = ProfileTable._change

    def blind(self, record):
        based = ProfileChange(
            record.change_id,
            record.name,
            self.version(record.name),
            record.spec,
            record.operator,
            record.written_at,
        )
        return real(self, based)

    monkeypatch.setattr(ProfileTable, "_change", blind)
    world = make_world(1)
    for operator in ("ann", "bob"):
        world.publish("claim-review", SPEC, base=1, change_id=operator)
    world.run(1.0)
    book = world.nodes[world.live()[0]].state.profiles
    assert book.decision("bob") is Decision.IN_FORCE
