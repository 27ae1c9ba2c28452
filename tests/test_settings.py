"""Settings: examples are valid, faults are named in one line."""

from pathlib import Path

import pytest
from yaml import safe_dump
from yaml import safe_load

from magnoliaflow.cli import main
from magnoliaflow.common.errors import SettingsError
from magnoliaflow.common.settingsfile import load_settings

FAULTS = [
    (("deployment",), None, "deployment"),
    (("platform", "log"), "localhost:1", "platform.log"),
    (("entry_hosts", 0, "caller_port"), 70000, "entry_hosts[0].caller_port"),
    (("entry_hosts", 0, "colour"), "red", "colour"),
    (("timings",), {"tick_s": 0}, "timings.tick_s"),
    (("client_accounts", 1, "name"), "north-counter", "client_accounts"),
    (("timings",), {"key_window_s": 9e9}, "timings.key_window_s"),
]


@pytest.fixture
def broken_file(tmp_path, request):
    """Return a copy of an example with one value changed or removed."""
    place, value, _ = request.param
    source = Path(__file__).parent.parent / "examples/repair-office.yaml"
    values = safe_load(source.read_text())
    part = values
    for step in place[:-1]:
        part = part[step]
    if value is None:
        del part[place[-1]]
    else:
        part[place[-1]] = value
    path = tmp_path / "broken.yaml"
    path.write_text(safe_dump(values))
    return path


def test_examples_are_valid(example_path):
    assert load_settings(example_path).entry_hosts


@pytest.mark.parametrize(
    "broken_file, word",
    [(fault, fault[2]) for fault in FAULTS],
    indirect=["broken_file"],
    ids=[fault[2] for fault in FAULTS],
)
def test_fault_is_named_in_one_line(broken_file, word, capsys):
    with pytest.raises(SettingsError) as caught:
        load_settings(broken_file)
    text = str(caught.value)
    assert word in text and str(broken_file) in text
    assert "\n" not in text
    assert main(["--settings", str(broken_file), "config", "check"]) == 2
    assert capsys.readouterr().err.strip() == text
