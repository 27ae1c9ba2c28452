"""One request that ends engines, sent again and again to 4 to 410 hosts."""

import pytest
from troubles import TroubleFleet

from magnoliaflow.policy.crashes import CrashJudge
from magnoliaflow.policy.crashes import MAX_ENDS
from magnoliaflow.policy.crashes import MAX_REQUESTS
from magnoliaflow.policy.crashes import MAX_SENT_PARTS
from magnoliaflow.policy.crashes import MAX_SOUND
from magnoliaflow.policy.crashes import request_name

# The rule BUDGET of the platform's page.
CONTACT_TIMEOUT_S = 3.0
MAX_LATE_SENDS = 3
# The page allows to deny five requests and one in 500 by mistake.
MAX_HELD = 5
MAX_HELD_SHARE = 1 / 500
SIZES = ((4, 3), (4, 9), (37, 12), (78, 20), (410, 40))
WARM_UP_S = 4.0
POISON, SECOND_POISON = "rdead", "rbeef"


@pytest.fixture(params=["plain", "model"])
def make_fleet(request):
    """Return a function that starts a fleet with sound traffic."""

    def make(hosts, engines, *, length_s=40.0, **options):
        options.setdefault("answer_s", (0.05, 0.3))
        fleet = TroubleFleet(
            hosts,
            engines,
            plain=request.param == "plain",
            client_retries=2,
            **options,
        )
        fleet.traffic(min(100.0, 6.0 * engines), length_s)
        fleet.run(WARM_UP_S)
        fleet.crashing = {POISON}
        return fleet

    return make


def poison_sends(fleet, since):
    """Return when new hosts sent the request later than a time."""
    return [
        at
        for at, name, parts in fleet.sends
        if POISON in parts and at > since and not fleet.hosts[name].is_old
    ]


def assert_budget(fleet):
    """Check the rule BUDGET."""
    ended = [at for at in fleet.ends if at > WARM_UP_S]
    late = poison_sends(fleet, ended[MAX_ENDS - 1] + CONTACT_TIMEOUT_S)
    assert len(late) <= MAX_LATE_SENDS


def assert_others_served(fleet):
    """Check that other requests are not held back."""
    held = [
        req
        for req in fleet.requests
        if req.outcome == "held"
        and {POISON, SECOND_POISON}.isdisjoint(req.parts)
    ]
    assert len(held) <= MAX_HELD + MAX_HELD_SHARE * len(fleet.requests)


@pytest.mark.parametrize("hosts,engines", SIZES)
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("delay_s", [0.05, 0.6])
def test_the_request_is_held_back_and_others_are_served(
    make_fleet, hosts, engines, seed, delay_s
):
    fleet = make_fleet(hosts, engines, seed=seed, delay_s=delay_s)
    fleet.traffic(1.0, 34.0, name=POISON)
    fleet.run(36.0)
    assert_budget(fleet)
    assert_others_served(fleet)
    assert fleet.first_served(fleet.now - 6.0) > 0.9


@pytest.mark.parametrize("hosts,engines", SIZES)
def test_a_burst_of_it_ends_after_a_few_engines(make_fleet, hosts, engines):
    fleet = make_fleet(hosts, engines, length_s=20.0)
    fleet.traffic(20.0, 16.0, name=POISON)
    fleet.run(16.0)
    assert_budget(fleet)
    assert_others_served(fleet)


@pytest.mark.parametrize("hosts,engines", SIZES)
def test_two_such_requests_one_after_the_other(make_fleet, hosts, engines):
    fleet = make_fleet(hosts, engines)
    fleet.traffic(1.0, 14.0, name=SECOND_POISON)
    fleet.crashing = {POISON, SECOND_POISON}
    fleet.run(15.0)
    fleet.traffic(1.0, 20.0, name=POISON)
    begun = fleet.now
    fleet.run(20.0)
    ended = [at for at in fleet.ends if at > begun]
    late = poison_sends(fleet, ended[MAX_ENDS - 1] + CONTACT_TIMEOUT_S)
    assert len(late) <= MAX_LATE_SENDS
    assert_others_served(fleet)


@pytest.mark.parametrize("hosts,engines", SIZES)
def test_a_restarted_host_and_one_cut_off_learn_of_it(
    make_fleet, hosts, engines
):
    fleet = make_fleet(hosts, engines)
    fleet.hosts["h2"].cut = True
    fleet.traffic(1.0, 34.0, name=POISON)
    fleet.run(14.0)
    fleet.restart("h1")
    fleet.hosts["h2"].cut = False
    fleet.run(CONTACT_TIMEOUT_S)
    for name in ("h1", "h2"):
        assert fleet.hosts[name].judge.find_hold(
            "llm", (POISON,), fleet.now, lambda part: 9
        )
    assert_others_served(fleet)


def test_hosts_of_older_builds_change_no_verdict(make_fleet):
    fleet = make_fleet(37, 40, old_hosts=8)
    fleet.traffic(2.0, 30.0, name=POISON)
    fleet.run(30.0)
    assert_budget(fleet)


@pytest.mark.parametrize("hosts,engines", SIZES)
def test_engines_lost_for_other_reasons_hold_no_request_back(
    make_fleet, hosts, engines
):
    fleet = make_fleet(hosts, engines)
    fleet.crashing = set()
    for _ in range(2):
        for engine in fleet.engines:
            if engine.up:
                fleet.lose(engine)
            fleet.run(0.3)
        fleet.run(4.0)
    assert_others_served(fleet)


def test_the_request_that_was_at_more_ends_than_one_beside_it_is_held():
    judge = CrashJudge()
    for number in range(MAX_ENDS):
        names = ("rdead", "rbeef")
        for name in names:
            judge.record_broken(f"m{number}", "app", (name,), float(number))
    assert judge.holds() == []
    judge.record_broken("m9", "app", ("rdead",), 4.0)
    assert [hold.parts for hold in judge.holds()] == [("rdead",)]
    assert judge.find_hold("app", ("rbeef",), 4.0, lambda part: 9) is None


def test_one_beside_it_that_was_at_fewer_ends_is_never_held():
    judge = CrashJudge()
    for number in range(5):
        names = ("rdead", "rbeef") if number < 4 else ("rdead",)
        for name in names:
            judge.record_broken(f"m{number}", "app", (name,), float(number))
    assert [hold.parts for hold in judge.holds()] == [("rdead",)]


def test_a_trial_that_fails_three_times_is_not_repeated_soon():
    judge, now = CrashJudge(), 0.0
    for number in range(MAX_ENDS):
        judge.record_broken(f"m{number}", "app", (POISON,), float(number))
    sends = 0
    while now < 900.0:
        now += 1.0
        if judge.find_hold("app", (POISON,), now, lambda part: 0) is None:
            sends += 1
            judge.begin_trial((POISON,), now)
            judge.record_broken(f"n{sends}", "app", (POISON,), now)
    assert sends <= MAX_LATE_SENDS


def test_evidence_of_requests_leaves_room_for_that_of_parts():
    """In memory, and in messages."""
    judge = CrashJudge()
    judge.record_broken("m0", "llm", ("c0de",), 0.0)
    for number in range(20_000):
        judge.record_broken(
            f"m{number % 50}", "llm", (f"r{number}",), number * 0.001
        )
        judge.record_sound("llm", (f"r{number}s",), 0.0, number * 0.001)
    for number in range(50):
        judge.confirm(f"m{number}", 20.0)
    sent = [item.part for item in judge.evidence(20.0)]
    assert "c0de" in sent and len(sent) <= 2 * MAX_SENT_PARTS
    assert len(judge._records) <= MAX_REQUESTS + 1
    assert len(judge._sound) <= MAX_SOUND


def test_names_differ_in_each_field():
    fields = [b"GET", b"h", b"/a/b", b"north", b"body"]
    names = {request_name(fields)}
    for index in range(len(fields)):
        names.add(request_name([*fields[:index], b"x", *fields[index + 1 :]]))
    names.add(request_name([b"GET", b"h", b"/a", b"/bnorth", b"body"]))
    assert len(names) == len(fields) + 2
