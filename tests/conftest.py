"""Fixtures shared by all tests."""

from dataclasses import replace
from pathlib import Path

from hypothesis import settings
import pytest
from yaml import safe_load

from magnoliaflow.common.settingsfile import load_settings
from world import World

settings.register_profile(
    "fixed", derandomize=True, deadline=None, max_examples=100
)
settings.load_profile("fixed")

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.fixture(params=["repair-office", "mallet-works"])
def example_path(request):
    """Return the path of each example's settings file in turn."""
    return EXAMPLES / f"{request.param}.yaml"


@pytest.fixture
def cfg():
    """Return the settings of the repair-office example."""
    return load_settings(EXAMPLES / "repair-office.yaml")


@pytest.fixture
def make_world(cfg):
    """Return a function that starts a world with the example profiles."""
    return world_factory(cfg)


@pytest.fixture(scope="module")
def new_world():
    """Return a function like make_world, usable in Hypothesis tests.

    Hypothesis rejects function-scoped fixtures.
    """
    return world_factory(load_settings(EXAMPLES / "repair-office.yaml"))


def world_factory(cfg):
    """Return a function that starts worlds with the given settings.

    It runs each world until the example profiles are in force.
    """
    text = (EXAMPLES / "repair-profiles.yaml").read_text()

    def start_world(seed, *, limits=None, timings=None, nodes=4):
        updated_cfg = replace(
            cfg,
            limits=replace(cfg.limits, **(limits or {})),
            timings=replace(cfg.timings, **(timings or {})),
        )
        world = World(updated_cfg, seed, nodes=nodes)
        for number, (name, spec) in enumerate(safe_load(text).items()):
            world.publish(name, spec, base=0, change_id=f"first-{number}")
        world.run(4.0)
        world.notices = {}
        return world

    return start_world
