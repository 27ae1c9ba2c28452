"""Tests of profile changes: conflicts, versions and propagation time."""

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
INVALID_SPECS = [
    ({**SPEC, "deadline_s": 0}, "deadline_s"),
    ({**SPEC, "target": "oracle"}, "target"),
    ({**SPEC, "colour": 1}, "colour"),
    ({**SPEC, "idempotent": False}, "non-idempotent"),
    ({"target": "model"}, "required"),
]


@pytest.mark.parametrize("spec, expected_text", INVALID_SPECS)
def test_invalid_spec_error_names_the_problem(spec, expected_text):
    with pytest.raises(SettingsError, match=expected_text):
        parse_spec("p", dumps(spec))


def test_spec_round_trips():
    profile = parse_spec("p", dumps(SPEC))
    assert parse_spec("p", profile_spec(profile)) == profile


def make_change(number, name, base):
    """Return a profile change with a unique id and deadline."""
    spec = dumps({**SPEC, "deadline_s": number + 1})
    return ProfileChange(f"c{number}", name, base, spec, "op", float(number))


CHANGES = st.lists(
    st.tuples(st.sampled_from("pq"), st.integers(0, 4)), max_size=20
)


def apply_records(records, *, first=0):
    """Return the profile table of a reader that starts at an offset."""
    profile_table = ProfileTable()
    if first:
        profile_table.restart(first)
    for offset, record in enumerate(records):
        if offset >= first:
            profile_table.apply(offset, record)
    return profile_table


@given(CHANGES, st.integers(0, 20), st.integers(0, 20), st.integers(0, 20))
def test_late_reader_agrees(changes, covered_count, insert_at, first):
    """A reader that starts after the log was trimmed gets the same profiles.

    The snapshot covers any prefix of the changes and is appended at any
    later offset.  A reader that it does not cover must stay incomplete.
    """
    records = [
        make_change(number, name, base)
        for number, (name, base) in enumerate(changes)
    ]
    covered_count = min(covered_count, len(records))
    insert_at = max(covered_count, min(insert_at, len(records)))
    snapshot = apply_records(records[:covered_count]).snapshot(written_at=1.0)
    records.insert(insert_at, snapshot)
    full_table = apply_records(records)
    assert (
        full_table.entries
        == apply_records(
            [record for record in records if record is not snapshot]
        ).entries
    )
    first = min(first, len(records))
    late_table = apply_records(records, first=first)
    if late_table.complete:
        assert late_table.entries == full_table.entries
    elif first <= insert_at:
        assert snapshot.as_of < first - 1


@given(CHANGES, st.data())
def test_versions_never_decrease(changes, data):
    """Neither a change nor a stale snapshot lowers a profile's version."""
    profile_table = ProfileTable()
    snapshots = [ProfileSnapshot((), -1, 0.0)]
    offset = 0
    for number, (name, base) in enumerate(changes):
        previous_entries = dict(profile_table.entries)
        record = data.draw(
            st.sampled_from([make_change(number, name, base), *snapshots])
        )
        profile_table.apply(offset, record)
        offset += 1
        snapshots.append(profile_table.snapshot(written_at=float(number)))
        for known_name, entry in previous_entries.items():
            assert profile_table.version(known_name) >= entry.version


def test_one_of_two_concurrent_changes_is_accepted(make_world):
    world = make_world(1)
    for operator in ("ann", "bob"):
        spec = {**SPEC, "deadline_s": 5 + len(operator)}
        world.publish("claim-review", spec, base=1, change_id=operator)
    world.run(2.0)
    assert violations(world) == []
    for node in world.nodes.values():
        profile_table = node.state.profiles
        assert profile_table.decision("ann") is Decision.IN_FORCE
        assert profile_table.decision("bob") is Decision.CONFLICT
        assert profile_table.version("claim-review") == 2


def propagation_s(world, names, change_id):
    """Run until the given gateways apply a change; return the seconds."""
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
    assert propagation_s(world, world.live(), "x") < PROFILE_BOUND_S
    assert violations(world) == []


def test_node_restarted_in_a_log_outage_gets_profiles_from_peers(make_world):
    world = make_world(3)
    world.publish("claim-review", SPEC, base=1, change_id="x")
    world.run(1.0)
    world.log.down = True
    world.run(1.0)
    name = world.live()[0]
    world.kill(name)
    world.start(name)
    assert propagation_s(world, world.live(), "x") < PROFILE_BOUND_S
    call = world.call("quote-draft", at=name)
    claim = world.call("voucher-booking", at=name, key="v")
    assert world.settle()
    assert (call.code, claim.code) == (Code.DONE, Code.LOG_DOWN)
    world.log.down = False
    world.run(2.0)
    assert violations(world) == []


def test_isolated_node_refuses_requests(make_world):
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
    call_after_heal = world.call("quote-draft", at=name)
    assert world.settle() and call_after_heal.code is Code.DONE


def test_changed_profile_survives_log_trimming(make_world):
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


def test_without_the_base_check_both_concurrent_changes_apply(
    monkeypatch, make_world
):
    """Without the check the second change silently replaces the first."""
    original_change = ProfileTable._change

    def accept_any_base(self, record):
        rebased = ProfileChange(
            record.change_id,
            record.name,
            self.version(record.name),
            record.spec,
            record.operator,
            record.written_at,
        )
        return original_change(self, rebased)

    monkeypatch.setattr(ProfileTable, "_change", accept_any_base)
    world = make_world(1)
    for operator in ("ann", "bob"):
        world.publish("claim-review", SPEC, base=1, change_id=operator)
    world.run(1.0)
    profile_table = world.nodes[world.live()[0]].state.profiles
    assert profile_table.decision("bob") is Decision.IN_FORCE
