"""Fixtures shared by all tests."""

from pathlib import Path

from hypothesis import settings
import pytest

from magnoliaflow.settings import load_settings

settings.register_profile(
    "fixed", derandomize=True, deadline=None, max_examples=40
)
settings.load_profile("fixed")

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.fixture(params=["repair-office", "mallet-works"])
def example_path(request):
    """Return the settings file of each example in turn."""
    return EXAMPLES / f"{request.param}.yaml"


@pytest.fixture
def cfg():
    """Return the settings of the repair office's example."""
    return load_settings(EXAMPLES / "repair-office.yaml")
