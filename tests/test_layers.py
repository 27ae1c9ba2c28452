"""Imports point one way, and the platform's words stay in its folder."""

from pathlib import Path
import re

import pytest

SOURCE = Path(__file__).parent.parent / "src/magnoliaflow"
# Each package may import from those before it, and from itself.
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
WIRE_WORDS = re.compile(
    r"/magnoliaflow/(log-|report|kv-|resolution|readiness)"
    r"|X-(Attempt-Id|Expected-Instance|Credential|Fencing-Token"
    r"|Response-Signature)|keyed\.",
    re.IGNORECASE,
)
IMPORT = re.compile(r"^from magnoliaflow\.(\w+)\.", re.MULTILINE)


@pytest.mark.parametrize("layer", LAYERS)
def test_imports_point_one_way(layer):
    allowed = set(LAYERS[: LAYERS.index(layer) + 1])
    upward = {
        (path.name, name)
        for path in (SOURCE / layer).glob("*.py")
        for name in IMPORT.findall(path.read_text())
        if name not in allowed
    }
    assert upward == set()


def test_every_package_has_its_layer():
    found = {path.parent.name for path in SOURCE.glob("*/__init__.py")}
    assert found == set(LAYERS)


def test_words_of_the_platform_stay_in_its_folder():
    outside = [
        path.name
        for path in SOURCE.rglob("*.py")
        if path.parent.name != "platform"
        and WIRE_WORDS.search(path.read_text())
    ]
    assert outside == []


def test_the_adapter_stays_small():
    sizes = {
        path: len(path.read_text().splitlines())
        for path in SOURCE.rglob("*.py")
        if path.parent.name != "wire"
    }
    adapter = sum(
        size for path, size in sizes.items() if path.parent.name == "platform"
    )
    assert adapter < sum(sizes.values()) / 10
