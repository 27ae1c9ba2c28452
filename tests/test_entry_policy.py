"""Policies of the entry process, each under the load it is designed for."""

from dataclasses import replace
from itertools import product
from random import Random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from magnoliaflow.cluster.registry import EngineRegistry
from magnoliaflow.common.messages import EngineEntry
from magnoliaflow.common.settings import BackendServer
from magnoliaflow.policy.caps import Bucket
from magnoliaflow.policy.engines import new_engine
from magnoliaflow.policy.eventstream import EventSplitter
from magnoliaflow.policy.placement import first_token
from magnoliaflow.policy.placement import first_token_s
from magnoliaflow.policy.ratelimit import admit
from magnoliaflow.policy.ratelimit import set_rate_limit
from magnoliaflow.policy.routes import Scaling
from magnoliaflow.policy.routing import CostWeights
from magnoliaflow.policy.routing import RoutingRequest
from magnoliaflow.policy.routing import RoutingState
from magnoliaflow.policy.scaling import Load
from magnoliaflow.policy.scaling import plan_engines
from magnoliaflow.policy.scaling import ZoneSupply
from magnoliaflow.policy.usage import UsageCounter

RATE = 30_000.0


def server(name):
    """Return the settings of an engine of the only service."""
    return BackendServer(
        name=name,
        kind="model",
        host=name,
        zone="z",
        address="127.0.0.1:1",
        backend="llm",
        checks_fencing=False,
        slots=64,
        prefill_rate=RATE,
    )


@pytest.fixture
def engines():
    """Return three engines of the only service."""
    return [new_engine(server(f"m{number}")) for number in range(3)]


@pytest.fixture
def routing(engines):
    """Return the routing state of a host that knows the engines."""
    routing = RoutingState(
        name="h", weights=CostWeights(0.0, 1.0), rng=Random(4)
    )
    for engine in engines:
        routing.add(engine)
    return routing


def make_request(blocks=(1, 2, 3), tokens=9000, sizes=(2500, 3500, 3000)):
    return RoutingRequest(
        request_id="r",
        backend="llm",
        blocks=blocks,
        prompt_tokens=tokens,
        answer_tokens=50,
        first_token_s=1.0,
        token_gap_s=0.0,
        sizes=sizes,
    )


def test_sessions_stay_at_one_engine_while_queues_are_even(routing, engines):
    selected = {
        first_token(
            routing, make_request((1, 7, last_block)), engines, 0.0
        ).name
        for last_block in range(20)
    }
    assert len(selected) == 1


def test_a_long_queue_outweighs_session_affinity(routing, engines):
    preferred = first_token(routing, make_request(), engines, 0.0)
    preferred.record_prompt_sent(200_000)
    assert first_token(routing, make_request(), engines, 0.0) is not preferred


def test_hosts_agree_on_the_preferred_engine_despite_random_samples():
    """Each host samples some of forty engines, always the preferred one."""
    routing_states = [
        RoutingState(
            name=f"h{index}", weights=CostWeights(0.0, 1.0), rng=Random(index)
        )
        for index in range(5)
    ]
    for routing, number in product(routing_states, range(40)):
        routing.add(new_engine(server(f"m{number}")))
        routing.load_factor = 37.0
    selected = {
        first_token(
            routing, make_request(), sampled_candidates(routing), 0.0
        ).name
        for routing in routing_states
    }
    assert len(selected) == 1


def sampled_candidates(routing):
    """Return the engines that a host considers."""
    return routing.candidates(make_request(), 0.0)


def test_many_hosts_do_not_all_select_the_engine_that_reports_least_load():
    """All hosts know the same stale loads, so one engine looks idle to all."""
    routing = RoutingState(
        name="h", weights=CostWeights(0.0, 1.0), rng=Random(1)
    )
    for number in range(40):
        engine = new_engine(server(f"m{number}"))
        engine.update_peer_load("other", 1, 0 if number == 0 else 9_000, 0.0)
        routing.add(engine)
    routing.load_factor = 37.0
    selected = [
        first_token(
            routing, make_request(()), sampled_candidates(routing), 0.0
        ).name
        for _ in range(400)
    ]
    assert selected.count("m0") < 100


def test_a_session_moves_to_one_other_engine_when_its_engine_leaves(
    routing, engines
):
    preferred = first_token(routing, make_request(), engines, 0.0)
    routing.remove(preferred.name)
    remaining = [engine for engine in engines if engine is not preferred]
    other = first_token(routing, make_request(), remaining, 0.0)
    assert other is not preferred
    assert first_token(routing, make_request(), remaining, 0.0) is other


def test_a_slow_engine_is_expected_to_be_slow(engines):
    initial_s = first_token_s(engines[0], 1000, 0.0)
    for _ in range(50):
        engines[0].record_slowness(5.0)
    assert first_token_s(engines[0], 1000, 0.0) > 3 * initial_s


def count_on_time(engines, limited):
    """Return in how many of 600 steps the prompts are read on time.

    The load is 1.5 times the prefill rate.  Engines interleave prefill with
    decoding, so at an engine that always has prompts to read an answer takes
    longer than its caller waits.
    """
    bucket = Bucket(0.0, 0.0)
    set_rate_limit(bucket, engines, 1.0)
    bucket.level = bucket.burst
    queue_s, on_time = 0.0, 0
    for step in range(600):
        now = step * 0.05
        queue_s = max(0.0, queue_s - 0.05)
        tokens = int(1.5 * RATE * len(engines) * 0.05)
        wait = admit(bucket, tokens, 1, queue_s, now) if limited else 0.0
        if wait == 0.0:
            queue_s += tokens / RATE / len(engines)
            on_time += queue_s < 1.0
        else:
            assert 0.25 <= wait <= 1.5
    return on_time


def test_the_rate_limit_keeps_answers_on_time_in_overload(engines):
    limited = count_on_time(engines, True)
    assert limited > 350
    assert count_on_time(engines, False) < limited / 3


def test_the_rate_limit_refuses_nothing_while_the_queue_is_short(engines):
    bucket = Bucket(0.0, 0.0)
    set_rate_limit(bucket, engines, 0.1)
    assert all(admit(bucket, 9000, 2, 0.1, 0.0) == 0.0 for _ in range(50))


SCALING = Scaling(1, 6, 4.0, 0.2, {"a": 0.85, "b": 1.2, "c": 1.0})


def supplies(spot, on_demand=(0, 0, 0), short_zones=()):
    return [
        ZoneSupply(
            zone, on_demand[index], spot[index], zone not in short_zones
        )
        for index, zone in enumerate("abc")
    ]


def total(plan, kind):
    return sum(getattr(target, kind) for target in plan)


def test_spot_engines_carry_the_load_after_the_loss_of_any_zone():
    load = Load(100_000.0, 30.0)
    plan = plan_engines(SCALING, supplies((9, 9, 9)), load, RATE)
    assert total(plan, "on_demand") == 0
    remaining = total(plan, "spot") - max(target.spot for target in plan)
    assert remaining * RATE * 0.85 >= load.tokens_per_s


def test_on_demand_engines_are_ordered_at_the_first_sign_of_a_reclaim():
    load = Load(60_000.0, 30.0)
    initial = plan_engines(SCALING, supplies((2, 2, 1)), load, RATE)
    assert total(initial, "on_demand") == 0
    reclaimed = supplies((0, 2, 1), short_zones=("a",))
    plan = plan_engines(SCALING, reclaimed, load, RATE, previous_spot=5)
    remaining = 3 - 2 + total(plan, "on_demand")
    assert remaining * RATE * 0.85 >= load.tokens_per_s


def test_on_demand_engines_stay_until_spot_engines_run():
    load = Load(60_000.0, 30.0)
    partial = supplies((0, 1, 1), on_demand=(2, 0, 0))
    plan = plan_engines(SCALING, partial, load, RATE)
    remaining = 2 + total(plan, "on_demand")
    assert remaining * RATE * 0.85 >= load.tokens_per_s
    complete = supplies((2, 2, 1), on_demand=(2, 0, 0))
    assert total(plan_engines(SCALING, complete, load, RATE), "on_demand") == 0


SMALL_SCALING = Scaling(1, 3, 4.0, 0.2, {"a": 0.85, "b": 1.2, "c": 1.0})


def test_a_capacity_shortage_stops_no_running_engine():
    """Zone c was reclaimed; the on-demand engines in its place still start."""
    zone_supplies = supplies((2, 1, 0), short_zones=("c",))
    plan = plan_engines(
        SMALL_SCALING,
        zone_supplies,
        Load(130_000.0, 30.0),
        RATE,
        previous_spot=6,
    )
    targets = {target.zone: target for target in plan}
    assert targets["a"].spot >= 2 and targets["b"].spot >= 1
    # There is room for reclaimable engines once the zone has capacity.
    assert targets["c"].on_demand < SMALL_SCALING.max_engines


def test_starting_spot_engines_are_not_cancelled_for_on_demand_ones():
    """Three engines were ordered and one runs.

    Guards against a plan for just one, which made room for on-demand ones.
    """
    zone_supplies = supplies((1, 0, 1), short_zones=("b", "c"))
    zone_supplies[0] = replace(zone_supplies[0], spot_starting=2)
    plan = plan_engines(
        SMALL_SCALING, zone_supplies, Load(200_000.0, 30.0), RATE
    )
    assert next(target for target in plan if target.zone == "a").spot == 3


def test_no_engine_is_stopped_during_a_capacity_shortage():
    zone_supplies = supplies((2, 2, 0), short_zones=("c",))
    plan = plan_engines(SMALL_SCALING, zone_supplies, Load(9_000.0, 3.0), RATE)
    assert [target.spot for target in plan if target.zone != "c"] == [2, 2]


def test_starting_on_demand_engines_are_not_moved():
    zone_supplies = supplies((2, 1, 0), short_zones=("c",))
    zone_supplies[1] = replace(zone_supplies[1], on_demand_starting=1)
    load = Load(70_000.0, 30.0)
    targets = {
        target.zone: target
        for target in plan_engines(SMALL_SCALING, zone_supplies, load, RATE)
    }
    assert targets["b"].on_demand >= 1


def test_starting_spot_engines_need_no_on_demand_ones():
    zone_supplies = supplies((2, 1, 1), short_zones=("c",))
    load = Load(90_000.0, 30.0)
    assert (
        total(plan_engines(SCALING, zone_supplies, load, RATE), "on_demand")
        > 0
    )
    zone_supplies[1] = replace(zone_supplies[1], spot_starting=2)
    zone_supplies[0] = replace(zone_supplies[0], spot_starting=1)
    assert (
        total(plan_engines(SCALING, zone_supplies, load, RATE), "on_demand")
        == 0
    )


def test_on_demand_engines_are_kept_while_spot_engines_start():
    zone_supplies = supplies(
        (0, 0, 0), on_demand=(1, 1, 1), short_zones=("c",)
    )
    zone_supplies = [
        replace(supply, spot_starting=2) for supply in zone_supplies
    ]
    plan = plan_engines(
        SMALL_SCALING, zone_supplies, Load(70_000.0, 30.0), RATE
    )
    assert total(plan, "on_demand") == 3


def test_a_new_deployment_soon_stops_its_on_demand_engines():
    initial = supplies((0, 0, 0), on_demand=(2, 2, 1))
    load = Load(100_000.0, 0.0)
    used = plan_engines(SMALL_SCALING, initial, load, RATE)
    never_used = plan_engines(
        SMALL_SCALING, initial, load, RATE, never_used=True
    )
    assert total(used, "on_demand") > total(never_used, "on_demand") == 1
    assert total(never_used, "spot") > total(used, "spot")


def test_a_load_near_a_threshold_stops_no_engines():
    low = plan_engines(SCALING, supplies((2, 2, 2)), Load(50_000, 9), RATE)
    high = plan_engines(SCALING, supplies((2, 2, 2)), Load(55_000, 9), RATE)
    kept = plan_engines(
        SCALING,
        supplies((2, 2, 2)),
        Load(50_000, 9),
        RATE,
        previous_spot=total(high, "spot"),
    )
    assert total(low, "spot") <= total(kept, "spot") == total(high, "spot")


@given(
    spot=st.tuples(*[st.integers(0, 6)] * 3),
    on_demand=st.tuples(*[st.integers(0, 6)] * 3),
    rate=st.floats(0, 1e6),
    short_zones=st.sets(st.sampled_from("abc")),
)
def test_plans_keep_the_bounds_of_each_zone(
    spot, on_demand, rate, short_zones
):
    zone_supplies = supplies(spot, on_demand, short_zones)
    for target in plan_engines(SCALING, zone_supplies, Load(rate, 10.0), RATE):
        assert target.on_demand >= 0 and target.spot >= 0
        assert target.spot + target.on_demand >= SCALING.min_engines


@given(
    events=st.lists(st.binary(max_size=20).map(lambda b: b.hex()), max_size=9),
    split_points=st.lists(st.integers(0, 400), max_size=8),
)
def test_events_are_whole_wherever_their_bytes_are_split(events, split_points):
    blocks = [
        f"id: {number}\ndata: {text}\n\n".encode()
        for number, text in enumerate(events)
    ]
    data = b"".join(blocks)
    boundaries = sorted(
        {0, len(data), *(min(point, len(data)) for point in split_points)}
    )
    splitter = EventSplitter()
    parsed = [
        event
        for start, end in zip(boundaries, boundaries[1:])
        for event in splitter.feed(data[start:end])
    ]
    assert [event.data for event in parsed] == blocks
    assert [event.event_id for event in parsed] == list(range(len(blocks)))
    assert splitter.buffer == b""


def test_usage_of_a_killed_process_is_kept_by_its_peers():
    counter = UsageCounter(window_s=5.0)
    counter.add("h-1", "north", 12.0)
    counter.merge("h-2", "north", 2, 7)
    counter.merge("h-2", "north", 2, 5)
    counter.merge("h-2b", "north", 2, 1)
    assert counter.totals(2) == {"north": 9}


def entry(engine, **fields):
    values = dict(
        engine=engine,
        backend="llm",
        address="10.0.0.1:1",
        zone="z",
        slots=4,
        leaving=False,
    )
    return EngineEntry(**{**values, **fields})


def test_an_older_entry_from_a_peer_is_ignored():
    registry = EngineRegistry()
    assert registry.apply("m", entry("m"), 3) is not None
    assert registry.apply("m", entry("m", leaving=True), 7) is not None
    assert registry.apply("m", entry("m"), 5) is None
    assert registry.entries["m"].leaving


def test_a_heartbeat_is_no_change_and_a_removal_is_one():
    registry = EngineRegistry()
    registry.apply("m", entry("m"), 3)
    assert registry.apply("m", entry("m"), 4) is None
    assert registry.apply("m", None, 5).gone
    assert registry.apply("m", None, 6) is None
    assert registry.apply("m", entry("m", born=2), 8).born == 2
