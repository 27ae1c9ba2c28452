"""Decisions of the entry process, each on the load that it answers."""

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
    """Return an engine of the one service."""
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
    """Return three engines of one service."""
    return [new_engine(server(f"m{number}")) for number in range(3)]


@pytest.fixture
def view(engines):
    """Return the view of a host that knows the engines."""
    made = RoutingState(name="h", weights=CostWeights(0.0, 1.0), rng=Random(4))
    for engine in engines:
        made.add(engine)
    return made


def need(blocks=(1, 2, 3), tokens=9000, sizes=(2500, 3500, 3000)):
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


def test_sessions_stay_at_one_engine_while_queues_are_even(view, engines):
    picks = {
        first_token(view, need((1, 7, part)), engines, 0.0).name
        for part in range(20)
    }
    assert len(picks) == 1


def test_a_long_queue_outweighs_the_session(view, engines):
    home = first_token(view, need(), engines, 0.0)
    home.record_prompt_sent(200_000)
    assert first_token(view, need(), engines, 0.0) is not home


def test_hosts_agree_on_homes_though_they_look_at_few_engines():
    """Each host draws a part of forty engines; a session finds its home."""
    views = [
        RoutingState(
            name=f"h{at}", weights=CostWeights(0.0, 1.0), rng=Random(at)
        )
        for at in range(5)
    ]
    for view, number in product(views, range(40)):
        view.add(new_engine(server(f"m{number}")))
        view.load_factor = 37.0
    picks = {first_token(view, need(), draw(view), 0.0).name for view in views}
    assert len(picks) == 1


def draw(view):
    """Return the engines that a view looks at."""
    return view.candidates(need(), 0.0)


def test_many_hosts_do_not_send_to_one_engine_together():
    """All know the same old loads: one engine looks least busy to all."""
    view = RoutingState(name="h", weights=CostWeights(0.0, 1.0), rng=Random(1))
    for number in range(40):
        row = new_engine(server(f"m{number}"))
        row.update_peer_load("other", 1, 0 if number == 0 else 9_000, 0.0)
        view.add(row)
    view.load_factor = 37.0
    picks = [
        first_token(view, need(()), draw(view), 0.0).name for _ in range(400)
    ]
    assert picks.count("m0") < 100


def test_a_homes_prompts_follow_it_when_it_leaves(view, engines):
    home = first_token(view, need(), engines, 0.0)
    view.remove(home.name)
    left = [row for row in engines if row is not home]
    other = first_token(view, need(), left, 0.0)
    assert other is not home
    assert first_token(view, need(), left, 0.0) is other


def test_a_slow_engine_is_expected_to_be_slow(engines):
    before = first_token_s(engines[0], 1000, 0.0)
    for _ in range(50):
        engines[0].record_slowness(5.0)
    assert first_token_s(engines[0], 1000, 0.0) > 3 * before


def served_on_time(engines, use_pace):
    """Return prompts that an engine reads on time under half overload.

    An answer goes on only between prompts: at an engine that always has
    prompts to read it takes longer than its caller waits.
    """
    bucket = Bucket(0.0, 0.0)
    set_rate_limit(bucket, engines, 1.0)
    bucket.level = bucket.burst
    queue_s, on_time = 0.0, 0
    for step in range(600):
        now = step * 0.05
        queue_s = max(0.0, queue_s - 0.05)
        tokens = int(1.5 * RATE * len(engines) * 0.05)
        wait = admit(bucket, tokens, 1, queue_s, now) if use_pace else 0.0
        if wait == 0.0:
            queue_s += tokens / RATE / len(engines)
            on_time += queue_s < 1.0
        else:
            assert 0.25 <= wait <= 1.5
    return on_time


def test_pace_keeps_answers_on_time_in_overload(engines):
    paced = served_on_time(engines, True)
    assert paced > 350
    assert served_on_time(engines, False) < paced / 3


def test_pace_refuses_nothing_while_the_queue_is_short(engines):
    bucket = Bucket(0.0, 0.0)
    set_rate_limit(bucket, engines, 0.1)
    assert all(admit(bucket, 9000, 2, 0.1, 0.0) == 0.0 for _ in range(50))


SCALING = Scaling(1, 6, 4.0, 0.2, {"a": 0.85, "b": 1.2, "c": 1.0})


def supplies(spot, on_demand=(0, 0, 0), closed=()):
    return [
        ZoneSupply(zone, on_demand[at], spot[at], zone not in closed)
        for at, zone in enumerate("abc")
    ]


def total(plan, kind):
    return sum(getattr(row, kind) for row in plan)


def test_spot_engines_stand_the_loss_of_any_zone():
    load = Load(100_000.0, 30.0)
    plan = plan_engines(SCALING, supplies((9, 9, 9)), load, RATE)
    assert total(plan, "on_demand") == 0
    worst = total(plan, "spot") - max(row.spot for row in plan)
    assert worst * RATE * 0.85 >= load.tokens_per_s


def test_on_demand_fills_in_at_the_first_sign_of_a_reclaim():
    load = Load(60_000.0, 30.0)
    calm = plan_engines(SCALING, supplies((2, 2, 1)), load, RATE)
    assert total(calm, "on_demand") == 0
    lost = supplies((0, 2, 1), closed=("a",))
    plan = plan_engines(SCALING, lost, load, RATE, previous_spot=5)
    left = 3 - 2 + total(plan, "on_demand")
    assert left * RATE * 0.85 >= load.tokens_per_s


def test_on_demand_stays_until_spot_engines_stand():
    load = Load(60_000.0, 30.0)
    half = supplies((0, 1, 1), on_demand=(2, 0, 0))
    plan = plan_engines(SCALING, half, load, RATE)
    stands = 2 + total(plan, "on_demand")
    assert stands * RATE * 0.85 >= load.tokens_per_s
    whole = supplies((2, 2, 1), on_demand=(2, 0, 0))
    assert total(plan_engines(SCALING, whole, load, RATE), "on_demand") == 0


SMALL = Scaling(1, 3, 4.0, 0.2, {"a": 0.85, "b": 1.2, "c": 1.0})


def test_a_dry_spell_costs_no_engine_that_stands():
    """Zone c was reclaimed in a wave, and its on-demand ones still start."""
    lost = supplies((2, 1, 0), closed=("c",))
    plan = plan_engines(
        SMALL, lost, Load(130_000.0, 30.0), RATE, previous_spot=6
    )
    wanted = {row.zone: row for row in plan}
    assert wanted["a"].spot >= 2 and wanted["b"].spot >= 1
    # Reclaimable ones can start in the dry zone as soon as it has some.
    assert wanted["c"].on_demand < SMALL.max_engines


def test_engines_that_start_are_not_called_off_for_on_demand_ones():
    """Three were ordered, one stood: the plan wanted one, to make room."""
    lost = supplies((1, 0, 1), closed=("b", "c"))
    lost[0] = replace(lost[0], spot_starting=2)
    plan = plan_engines(SMALL, lost, Load(200_000.0, 30.0), RATE)
    assert next(row for row in plan if row.zone == "a").spot == 3


def test_nothing_is_given_back_while_a_zone_is_dry():
    lost = supplies((2, 2, 0), closed=("c",))
    plan = plan_engines(SMALL, lost, Load(9_000.0, 3.0), RATE)
    assert [row.spot for row in plan if row.zone != "c"] == [2, 2]


def test_on_demand_engines_that_start_are_not_moved():
    lost = supplies((2, 1, 0), closed=("c",))
    lost[1] = replace(lost[1], on_demand_starting=1)
    load = Load(70_000.0, 30.0)
    plan = {row.zone: row for row in plan_engines(SMALL, lost, load, RATE)}
    assert plan["b"].on_demand >= 1


def test_reclaimable_engines_on_their_way_need_no_on_demand_ones():
    rows = supplies((2, 1, 1), closed=("c",))
    load = Load(90_000.0, 30.0)
    assert total(plan_engines(SCALING, rows, load, RATE), "on_demand") > 0
    rows[1] = replace(rows[1], spot_starting=2)
    rows[0] = replace(rows[0], spot_starting=1)
    assert total(plan_engines(SCALING, rows, load, RATE), "on_demand") == 0


def test_nothing_is_given_up_for_engines_that_still_start():
    rows = supplies((0, 0, 0), on_demand=(1, 1, 1), closed=("c",))
    rows = [replace(row, spot_starting=2) for row in rows]
    plan = plan_engines(SMALL, rows, Load(70_000.0, 30.0), RATE)
    assert total(plan, "on_demand") == 3


def test_a_new_deployment_soon_gives_up_its_on_demand_engines():
    given = supplies((0, 0, 0), on_demand=(2, 2, 1))
    load = Load(100_000.0, 0.0)
    kept = plan_engines(SMALL, given, load, RATE)
    unused = plan_engines(SMALL, given, load, RATE, never_used=True)
    assert total(kept, "on_demand") > total(unused, "on_demand") == 1
    assert total(unused, "spot") > total(kept, "spot")


def test_a_load_about_a_limit_does_not_give_engines_back():
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
    closed=st.sets(st.sampled_from("abc")),
)
def test_plans_keep_the_bounds_of_each_zone(spot, on_demand, rate, closed):
    rows = supplies(spot, on_demand, closed)
    for row in plan_engines(SCALING, rows, Load(rate, 10.0), RATE):
        assert row.on_demand >= 0 and row.spot >= 0
        assert row.spot + row.on_demand >= SCALING.min_engines


@given(
    events=st.lists(st.binary(max_size=20).map(lambda b: b.hex()), max_size=9),
    cuts=st.lists(st.integers(0, 400), max_size=8),
)
def test_events_come_out_whole_however_they_arrive(events, cuts):
    blocks = [
        f"id: {number}\ndata: {text}\n\n".encode()
        for number, text in enumerate(events)
    ]
    data = b"".join(blocks)
    places = sorted({0, len(data), *(min(cut, len(data)) for cut in cuts)})
    splitter = EventSplitter()
    found = [
        event
        for start, end in zip(places, places[1:])
        for event in splitter.feed(data[start:end])
    ]
    assert [row.data for row in found] == blocks
    assert [row.event_id for row in found] == list(range(len(blocks)))
    assert splitter.buffer == b""


def test_usage_of_a_killed_run_is_kept_by_the_others():
    book = UsageCounter(window_s=5.0)
    book.add("h-1", "north", 12.0)
    book.merge("h-2", "north", 2, 7)
    book.merge("h-2", "north", 2, 5)
    book.merge("h-2b", "north", 2, 1)
    assert book.totals(2) == {"north": 9}


def entry(engine, **more):
    values = dict(
        engine=engine,
        backend="llm",
        address="10.0.0.1:1",
        zone="z",
        slots=4,
        leaving=False,
    )
    return EngineEntry(**{**values, **more})


def test_a_peer_never_turns_an_entry_back():
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
