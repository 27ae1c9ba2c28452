"""Tests of routing policies in the lab, with many hosts and stale loads."""

from pathlib import Path
import sys

import pytest
from yaml import safe_load

TOOLS = Path(__file__).parent.parent / "tools"


@pytest.fixture(scope="module")
def run_lab():
    """Return a function that runs a reduced plan of the lab."""
    sys.path.insert(0, str(TOOLS))
    from lab import Simulation

    sys.path.remove(str(TOOLS))
    plan = safe_load((TOOLS / "labs" / "counter-grown.yaml").read_text())
    plan |= {"hosts": 20, "engines": 16, "beat_s": 0.6, "seconds": 12}

    def run(policy, load):
        return Simulation(plan, load, policy, 1).run()

    return run


def test_first_token_policy_is_on_time_with_many_hosts(run_lab):
    """Each of twenty hosts routes part of the traffic with stale loads.

    The first_token policy is on time at least as often as the baseline
    policies, and engines recompute at most half as many prompt tokens.
    """
    first_token = run_lab("first_token", 0.5)
    baselines = [
        run_lab(policy, 0.5)
        for policy in ("least_busy", "rendezvous", "power_of_two")
    ]
    assert first_token["on_time"] >= 0.97
    assert first_token["on_time"] >= max(
        baseline["on_time"] for baseline in baselines
    )
    assert first_token["reread"] <= 0.5 * min(
        baseline["reread"] for baseline in baselines
    )
