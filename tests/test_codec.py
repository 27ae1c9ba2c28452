"""Tests of the encoding of log records and peer messages."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from magnoliaflow.common.codec import decode_record
from magnoliaflow.common.codec import decode_value
from magnoliaflow.common.codec import encode_record
from magnoliaflow.common.codec import message_from_wire
from magnoliaflow.common.codec import message_to_wire
from magnoliaflow.common.errors import RecordError
from magnoliaflow.common.messages import AccountDemand
from magnoliaflow.common.messages import Beat
from magnoliaflow.common.messages import Digest
from magnoliaflow.common.messages import EndedEngine
from magnoliaflow.common.messages import EngineEntry
from magnoliaflow.common.messages import EngineLoad
from magnoliaflow.common.messages import HostFact
from magnoliaflow.common.messages import HostNotice
from magnoliaflow.common.messages import LeaseFact
from magnoliaflow.common.messages import LoadSums
from magnoliaflow.common.messages import Message
from magnoliaflow.common.messages import NamedLimit
from magnoliaflow.common.messages import NewsRecord
from magnoliaflow.common.messages import Parting
from magnoliaflow.common.messages import ProcessUsage
from magnoliaflow.common.messages import Progress
from magnoliaflow.common.messages import RolloutCount
from magnoliaflow.common.messages import RolloutTally
from magnoliaflow.common.messages import ServiceLoad
from magnoliaflow.common.messages import SoundAnswer
from magnoliaflow.common.messages import SuspectPart
from magnoliaflow.common.messages import UsageCount
from magnoliaflow.common.records import AccountCount
from magnoliaflow.common.records import ProfileEntry
from magnoliaflow.common.records import Record
from magnoliaflow.common.records import RecordBody
from magnoliaflow.common.records import RolloutStep
from magnoliaflow.wire import ttypes

STRATEGIES = {
    str: st.text(max_size=20),
    bytes: st.binary(max_size=20),
    bool: st.booleans(),
    int: st.integers(0, 2**31 - 1),
    float: st.floats(0, 1e12),
    float | None: st.none() | st.floats(0, 1e12),
    tuple[str, ...]: st.lists(st.text(max_size=5), max_size=3).map(tuple),
    tuple[int, ...]: st.lists(st.integers(0, 9)).map(tuple),
    tuple[float, ...]: st.lists(st.floats(0, 9), max_size=3).map(tuple),
    tuple[bytes, ...]: st.lists(st.binary(max_size=5), max_size=3).map(tuple),
    dict[str, int]: st.dictionaries(st.text(max_size=5), st.integers(0, 9)),
}

# A type that holds another one comes after it.
NESTED_TYPES = (
    AccountCount,
    AccountDemand,
    EndedEngine,
    EngineEntry,
    EngineLoad,
    HostFact,
    HostNotice,
    LeaseFact,
    LoadSums,
    NamedLimit,
    NewsRecord,
    Parting,
    ProfileEntry,
    Progress,
    RolloutStep,
    RolloutTally,
    RolloutCount,
    ServiceLoad,
    SoundAnswer,
    SuspectPart,
    UsageCount,
    ProcessUsage,
)
for nested_type in NESTED_TYPES:
    STRATEGIES[nested_type] = st.builds(
        nested_type,
        **{
            name: STRATEGIES[field.type]
            for name, field in nested_type.__dataclass_fields__.items()
        },
    )
    STRATEGIES[tuple[nested_type, ...]] = st.lists(
        STRATEGIES[nested_type], max_size=3
    ).map(tuple)


@pytest.mark.parametrize("body_type", RecordBody.__args__)
@given(data=st.data())
def test_record_round_trips(body_type, data):
    body = data.draw(st.builds(body_type, **_field_strategies(body_type)))
    record = Record("id", body)
    assert decode_record(encode_record(record)) == record


@pytest.mark.parametrize("message_type", Message.__args__)
@given(data=st.data())
def test_message_round_trips(message_type, data):
    message = data.draw(
        st.builds(message_type, **_field_strategies(message_type))
    )
    assert message_from_wire(message_to_wire(message)) == message


def _field_strategies(dataclass_type):
    """Return a strategy for each field of a dataclass."""
    return {
        name: STRATEGIES[field.type]
        for name, field in dataclass_type.__dataclass_fields__.items()
    }


def test_a_message_of_a_later_version_is_ignored():
    assert message_from_wire(ttypes.PeerMessage()) is None


@given(st.binary(max_size=60))
def test_invalid_bytes_raise_only_record_errors(data):
    try:
        decode_record(data)
    except RecordError:
        pass
    try:
        decode_value(Digest, data)
    except RecordError:
        pass


def test_a_heartbeat_of_an_earlier_version_is_read():
    """It lacks the fields that bound its age and tell of groups."""
    fields = {
        name: [] if field.type.__class__ is not type else field.type()
        for name, field in Beat.__dataclass_fields__.items()
    }
    fields = {
        name: value
        for name, value in fields.items()
        if name not in ("number", "heard_number", "groups")
    }
    envelope = ttypes.PeerMessage(beat=ttypes.Beat(**fields))
    beat = message_from_wire(envelope)
    assert (beat.number, beat.heard_number, beat.groups) == (-1, -1, False)
