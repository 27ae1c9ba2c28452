"""A short seeded soak, and violations that its checks must detect."""

from collections import Counter
from pathlib import Path
from types import SimpleNamespace

import pytest

from magnoliaflow_standins.cloudapi import DutyCall
from soak import Client
from soak import EVENT_COUNT
from soak import MAX_ENDS
from soak import Observations
from soak import run_seed
from soak import Soak


@pytest.fixture
def idle_soak():
    """Return a soak for its checks alone, with nothing started."""
    soak = object.__new__(Soak)
    soak.observed = Observations()
    soak.cloud = SimpleNamespace(calls=[])
    soak.deployment = SimpleNamespace(
        executed_ids=lambda: soak.log, engines={}
    )
    soak.returns = Counter()
    soak.log = []
    soak.revoked_at = 100.0
    return soak


@pytest.mark.parametrize("seed", [101, 102])
def test_short_soak(seed):
    result = run_seed(seed, 4.0, 3)
    assert result["violations"] == []
    assert result["statuses"].get("200", 0) > 50


def run_twice(soak):
    soak.observed.once_only.add("a")
    soak.log += ["a", "a"]


def run_after_not_run(soak):
    soak.observed.once_only.add("a")
    soak.observed.status["a"] = 503
    soak.log.append("a")


def run_without_key(soak):
    soak.observed.sent_at["a"] = 106.0
    soak.log.append("a")


def joined_stream(soak):
    client = object.__new__(Client)
    client.soak = soak
    client.check_stream(
        "a",
        b"".join(
            b"id: %d\ndata: t%d v%d\n\n" % (number, number, 1 + number // 2)
            for number in range(EVENT_COUNT)
        ),
    )


def duty_call(fence, window, count):
    body = {"windowNumber": window, "counts": {"north": count}}
    return DutyCall(0.0, "/usage", "h", fence, body)


def older_fence(soak):
    soak.cloud.calls += [duty_call(5, 1, 1), duty_call(4, 2, 1)]


def two_reports(soak):
    soak.cloud.calls += [duty_call(5, 1, 1), duty_call(6, 1, 2)]


def many_ends(soak):
    soak.deployment.engines["m1"] = SimpleNamespace(ends=MAX_ENDS + 1)


@pytest.mark.parametrize(
    "break_promise",
    [
        run_twice,
        run_after_not_run,
        run_without_key,
        older_fence,
        two_reports,
        many_ends,
        joined_stream,
    ],
    ids=lambda function: function.__name__,
)
def test_each_check_detects_its_violation(idle_soak, break_promise):
    assert idle_soak.violations() == []
    break_promise(idle_soak)
    assert len(idle_soak.violations()) == 1


def test_the_soak_stays_small():
    root = Path(__file__).parent.parent
    lines = Counter(
        {
            path.stem: len(path.read_text().splitlines())
            for path in root.glob("**/*.py")
            if ".venv" not in path.parts and "target" not in path.parts
        }
    )
    assert lines["soak"] < sum(lines.values()) / 10
