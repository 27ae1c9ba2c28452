"""Records of the versions that began streams, without a network."""

from itertools import count

import pytest

from magnoliaflow.common.codec import decode_value
from magnoliaflow.common.codec import encode_value
from magnoliaflow.common.messages import StreamBatch
from magnoliaflow.common.messages import StreamGroup
from magnoliaflow.entry.streamorigins import RECORDS_PER_S
from magnoliaflow.policy.streamorigins import MAX_LOGGED_BYTES
from magnoliaflow.policy.streamorigins import MAX_OWN_STREAMS
from magnoliaflow.policy.streamorigins import Origin
from magnoliaflow.policy.streamorigins import STREAM_LIFE_S
from magnoliaflow.policy.streamorigins import StreamOrigins

V1, V2 = Origin("llm", "v1"), Origin("llm", "v2")
# What the users' largest deployment begins in a second, and its hosts.
STREAMS_PER_S = 6200
HOSTS = 410


@pytest.fixture
def origins():
    """Return what a host knows that has seen engines of one version."""
    known = StreamOrigins()
    known.observe("llm", ["v1"], 0.0)
    return known


def write(origins, log, now, *, with_versions=False):
    """Let a host write what is due to a log."""
    groups = origins.next_batch(["llm"], now, with_versions=with_versions)
    if groups:
        data = encode_value(StreamBatch("h", groups))
        log.append(data)
        origins.saved(groups, now)


def read(log, now):
    """Return what a host knows that starts and reads a log."""
    origins = StreamOrigins()
    for data in log:
        origins.read(decode_value(StreamBatch, data).groups, now)
    return origins


def test_nothing_is_written_of_streams_while_one_version_serves(origins):
    log = []
    origins.record("a", V1, 1.0)
    write(origins, log, 1.0)
    assert log == []


def test_streams_from_before_a_second_version_are_written_when_it_comes(
    origins,
):
    log = []
    origins.record("a", V1, 1.0)
    origins.observe("llm", ["v1", "v2"], 2.0)
    write(origins, log, 2.0)
    assert read(log, 2.0).find("a") == {V1}


def test_a_version_is_named_before_streams_are_sent_there(origins):
    """A version that no tick has seen yet is the last choice too."""
    log = []
    assert origins.sides("llm", ["v1", "v2"], 2.0) == (("v1",), ("v2",))
    origins.observe("llm", ["v1", "v2"], 2.0)
    assert origins.sides("llm", ["v1", "v2"], 2.0) == (("v1",), ("v2",))
    write(origins, log, 2.0)
    assert origins.sides("llm", ["v1", "v2"], 2.0) == (("v1", "v2"),)
    assert read(log, 2.0).versions("llm", 2.0) == {"v1", "v2"}


def test_an_id_that_two_streams_have_had_is_of_no_origin(origins):
    log = []
    origins.observe("llm", ["v1", "v2"], 2.0)
    origins.record("a", V1, 2.0)
    write(origins, log, 2.0)
    other = StreamOrigins()
    other.observe("llm", ["v1", "v2"], 2.0)
    other.record("a", V2, 2.0)
    write(other, log, 2.0)
    assert read(log, 2.0).find("a") == {V1, V2}


def test_a_stream_that_was_recorded_is_sent_again_to_its_version_alone(
    origins,
):
    origins.record("a", V1, 1.0)
    assert origins.sent_to("a", 1.0) is None
    origins.observe("llm", ["v1", "v2"], 2.0)
    assert origins.sent_to("a", 2.0) == V1


def test_records_are_written_again_when_the_store_went_back(origins):
    log = []
    origins.observe("llm", ["v1", "v2"], 2.0)
    origins.record("a", V1, 2.0)
    write(origins, log, 2.0)
    log.clear()
    origins.begin_era()
    write(origins, log, 3.0)
    assert read(log, 3.0).find("a") == {V1}
    assert read(log, 3.0).versions("llm", 3.0) == {"v1", "v2"}


def test_a_digest_is_found_only_where_one_begins(origins):
    origins.observe("llm", ["v1", "v2"], 2.0)
    log = []
    for name in "ab":
        origins.record(name, V1, 2.0)
    write(origins, log, 2.0)
    group = decode_value(StreamBatch, log[0]).groups[0]
    shifted = group.digests[4:] + group.digests[:4]
    known = StreamOrigins()
    known.read([StreamGroup("llm", "v1", shifted)], 2.0)
    assert known.find("a") == known.find("b") == set()


def test_one_version_is_left_when_streams_of_the_others_have_ended(origins):
    origins.observe("llm", ["v1", "v2"], 2.0)
    at = 3.0 + STREAM_LIFE_S
    origins.observe("llm", ["v2"], at)
    origins.expire(at)
    assert origins.versions("llm", at) == {"v2"}
    assert origins.sides("llm", ["v2"], at) == ()


def test_versions_are_known_without_records_after_the_life_of_a_stream(
    origins,
):
    """Hosts of a build that writes no records may hold the duties."""
    assert not origins.knows_versions("llm", STREAM_LIFE_S / 2)
    at = STREAM_LIFE_S + 0.1
    origins.observe("llm", ["v1"], at)
    assert origins.knows_versions("llm", at)
    origins.observe("llm", ["v1", "v2"], at)
    assert not origins.knows_versions("llm", at)


def test_a_host_that_starts_knows_the_versions_by_a_record_alone(origins):
    log = []
    write(origins, log, 1.0, with_versions=True)
    assert read(log, 5.0).knows_versions("llm", 5.0)
    assert not StreamOrigins().knows_versions("llm", 5.0)


def test_memory_and_records_are_bounded_at_410_hosts(origins):
    origins.observe("llm", ["v1", "v2"], 0.0)
    rate = STREAMS_PER_S / HOSTS
    interval_s = HOSTS / RECORDS_PER_S
    log, now, numbers = [], 0.0, count()
    while now < 2 * STREAM_LIFE_S:
        origins.observe("llm", ["v1", "v2"], now)
        for _ in range(round(rate * interval_s)):
            origins.record(f"s{next(numbers)}", V1, now)
        write(origins, log, now)
        for _ in range(HOSTS - 1):
            origins.read(decode_value(StreamBatch, log[-1]).groups, now)
        origins.expire(now)
        now += interval_s
    assert not origins.unsaved
    assert len(origins.own) < MAX_OWN_STREAMS
    assert origins._logged_bytes <= MAX_LOGGED_BYTES
    assert max(map(len, log)) * RECORDS_PER_S < 100_000
