"""A short seeded soak, and runs that its checks must fail."""

from collections import Counter
from pathlib import Path
from types import SimpleNamespace

import pytest

from magnoliaflow_standins.cloudapi import DutyCall
from soak import Observations
from soak import run_seed
from soak import Soak


@pytest.fixture
def quiet_soak():
    """Return a soak that only checks: nothing was started."""
    soak = object.__new__(Soak)
    soak.observed = Observations()
    soak.cloud = SimpleNamespace(calls=[])
    soak.deployment = SimpleNamespace(executed_ids=lambda: soak.log)
    soak.log = []
    soak.revoked_at = 100.0
    return soak


@pytest.mark.parametrize("seed", [101, 102])
def test_short_soak(seed):
    row = run_seed(seed, 4.0, 3)
    assert row["violations"] == []
    assert row["statuses"].get("200", 0) > 50


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


def duty(fence, window, count):
    body = {"windowNumber": window, "counts": {"north": count}}
    return DutyCall(0.0, "/usage", "h", fence, body)


def older_fence(soak):
    soak.cloud.calls += [duty(5, 1, 1), duty(4, 2, 1)]


def two_reports(soak):
    soak.cloud.calls += [duty(5, 1, 1), duty(6, 1, 2)]


@pytest.mark.parametrize(
    "broken",
    [run_twice, run_after_not_run, run_without_key, older_fence, two_reports],
    ids=lambda function: function.__name__,
)
def test_each_check_sees_its_violation(quiet_soak, broken):
    assert quiet_soak.violations() == []
    broken(quiet_soak)
    assert len(quiet_soak.violations()) == 1


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
