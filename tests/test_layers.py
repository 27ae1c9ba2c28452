"""Tests of the imports between packages and the size of the adapter."""

from pathlib import Path
import re

import pytest

SOURCE = Path(__file__).parent.parent / "src/magnoliaflow"
# Each package may import from itself and from the packages before it.
LAYERS = (
    "wire",
    "common",
    "policy",
    "cluster",
    "work",
    "core",
    "serving",
    "transport",
    "platform",
    "entry",
    "ingress",
    "adapters",
    "daemons",
)
PLATFORM_NAMES = re.compile(
    r"/magnoliaflow/(log-|report|kv-|resolution|readiness)"
    r"|X-(Attempt-Id|Expected-Instance|Credential|Fencing-Token"
    r"|Response-Signature)|keyed\.|store-era",
    re.IGNORECASE,
)
IMPORT_PATTERN = re.compile(r"^from magnoliaflow\.(\w+)\.", re.MULTILINE)


@pytest.mark.parametrize("layer", LAYERS)
def test_imports_follow_the_layers(layer):
    allowed = set(LAYERS[: LAYERS.index(layer) + 1])
    forbidden = {
        (path.name, package)
        for path in (SOURCE / layer).glob("*.py")
        for package in IMPORT_PATTERN.findall(path.read_text())
        if package not in allowed
    }
    assert forbidden == set()


def test_every_package_is_in_the_layers():
    found = {path.parent.name for path in SOURCE.glob("*/__init__.py")}
    assert found == set(LAYERS)


def test_platform_names_occur_only_in_the_platform_package():
    outside = [
        path.name
        for path in SOURCE.rglob("*.py")
        if path.parent.name != "platform"
        and PLATFORM_NAMES.search(path.read_text())
    ]
    assert outside == []


def test_platform_adapter_is_under_a_tenth_of_the_code():
    sizes = {
        path: len(path.read_text().splitlines())
        for path in SOURCE.rglob("*.py")
        if path.parent.name != "wire"
    }
    adapter = sum(
        size for path, size in sizes.items() if path.parent.name == "platform"
    )
    assert adapter < sum(sizes.values()) / 10
