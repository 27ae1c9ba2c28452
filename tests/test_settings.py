"""Tests of the loading and validation of settings files."""

from pathlib import Path

import pytest
from yaml import safe_dump
from yaml import safe_load

from magnoliaflow.cli import main
from magnoliaflow.common.errors import SettingsError
from magnoliaflow.common.settingsfile import load_settings

INVALID_SETTINGS = [
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
    """Return the path of an example with one value changed or removed."""
    key_path, value, _ = request.param
    source = Path(__file__).parent.parent / "examples/repair-office.yaml"
    settings = safe_load(source.read_text())
    section = settings
    for key in key_path[:-1]:
        section = section[key]
    if value is None:
        del section[key_path[-1]]
    else:
        section[key_path[-1]] = value
    path = tmp_path / "broken.yaml"
    path.write_text(safe_dump(settings))
    return path


def test_examples_are_valid(example_path):
    assert load_settings(example_path).entry_hosts


@pytest.mark.parametrize(
    "broken_file, expected_text",
    [(case, case[2]) for case in INVALID_SETTINGS],
    indirect=["broken_file"],
    ids=[case[2] for case in INVALID_SETTINGS],
)
def test_error_names_the_setting_in_one_line(
    broken_file, expected_text, capsys
):
    with pytest.raises(SettingsError) as exc_info:
        load_settings(broken_file)
    message = str(exc_info.value)
    assert expected_text in message and str(broken_file) in message
    assert "\n" not in message
    assert main(["--settings", str(broken_file), "config", "check"]) == 2
    assert capsys.readouterr().err.strip() == message
