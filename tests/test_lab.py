"""Experiments of the lab: many hosts with old knowledge of each other."""

from pathlib import Path
import sys

import pytest
from yaml import safe_load

TOOLS = Path(__file__).parent.parent / "tools"


@pytest.fixture(scope="module")
def run_lab():
    """Return a function that plays a plan of the lab in small."""
    sys.path.insert(0, str(TOOLS))
    from lab import Simulation

    sys.path.remove(str(TOOLS))
    plan = safe_load((TOOLS / "labs" / "counter-grown.yaml").read_text())
    plan |= {"hosts": 20, "engines": 16, "beat_s": 0.6, "seconds": 12}

    def run(name, load):
        return Simulation(plan, load, name, 1).run()

    return run


def test_sessions_and_few_draws_keep_a_crowd_on_time(run_lab):
    """Twenty hosts each see a part of the traffic and old loads.

    Callers get first tokens in time that the usual policies give late.
    """
    ours = run_lab("first_token", 0.5)
    others = [
        run_lab(name, 0.5)
        for name in ("least_busy", "rendezvous", "power_of_two")
    ]
    assert ours["on_time"] >= 0.97
    assert ours["on_time"] >= max(row["on_time"] for row in others)
    assert ours["reread"] <= 0.5 * min(row["reread"] for row in others)
