"""A configuration is checked before it is sent; nothing is sent."""

from json import dumps
from json import loads
from pathlib import Path
import re
from subprocess import run
from sys import executable

from hypothesis import given
from hypothesis import strategies as st
import pytest

from entrysite import make_config
from entrysite import make_route
from magnoliaflow.cli import main
from magnoliaflow.common.errors import FormatError
from magnoliaflow.platform.document import decode_document
from magnoliaflow.platform.documentcheck import check_document
from magnoliaflow.policy.configcheck import check_table
from magnoliaflow_standins.metadatastore import MetadataStore

ROOT = Path(__file__).parent.parent
FAULTS = {
    "timeout-below-target": ("routes", make_route("late", "idempotent")),
    "route-prefix": ("routes", make_route("bare", "idempotent")),
    "route-host": ("routes", make_route("case", "idempotent", host="Desk.Ex")),
    "route-hidden": ("routes", make_route("again", "idempotent")),
    "service-missing": ("routes", make_route("lost", "idempotent")),
    "share-unused": ("routes", make_route("split", "idempotent")),
    "priority-negative": ("routes", make_route("first", "idempotent")),
    "service-unused": ("services", {"name": "spare", "healthPath": "/h"}),
    "account-without-key": ("tenants", {"name": "mute", "apiKeys": []}),
    "key-unusable": ("tenants", {"name": "odd", "apiKeys": [" key"]}),
    "duplicate-key": ("tenants", {"name": "twin", "apiKeys": ["key-n"]}),
    "burst-below-request": ("tenants", {"name": "tight", "apiKeys": ["t"]}),
}
DETAILS = {
    "timeout-below-target": {"targetLatencyMs": 4000},
    "route-prefix": {"pathPrefix": "/bare"},
    "route-hidden": {"pathPrefix": "/look/"},
    "service-missing": {"service": "nobody"},
    "share-unused": {
        "trafficSplit": [
            {"service": "app", "weight": 1},
            {"service": "llm", "weight": 0},
        ]
    },
    "priority-negative": {"priority": -1},
    "burst-below-request": {"ratePerS": 5, "burst": 0},
}


@pytest.fixture
def write(tmp_path):
    """Return a function that writes a configuration and returns its path."""

    def write_config(version, change=lambda values: None):
        values = loads(make_config(version))
        change(values)
        path = tmp_path / f"{version}.json"
        path.write_text(dumps(values))
        return path

    return write_config


def add_faults(values):
    for name, (section, entry) in FAULTS.items():
        values[section].append({**entry, **DETAILS.get(name, {})})


def check(capsys, *arguments):
    """Return the exit code and the report of a check."""
    code = main(["config", "check", "--json", *map(str, arguments)])
    return code, loads(capsys.readouterr().out)


def test_every_fault_is_found_at_once_and_explained(write, capsys):
    code, report = check(capsys, write(2, add_faults))
    assert code == 1
    names = [finding["name"] for finding in report["findings"]]
    assert sorted(set(names)) == sorted(FAULTS)
    page = (ROOT / "docs/OPERATORS.md").read_text()
    sources = [
        path.read_text()
        for path in (ROOT / "src/magnoliaflow").rglob("*config*.py")
    ] + [(ROOT / "src/magnoliaflow/platform/documentcheck.py").read_text()]
    defined = {
        name
        for source in sources
        for name in re.findall(r'Finding\(\s*"([a-z-]+)"', source)
    }
    assert set(FAULTS) < defined
    assert not [name for name in defined if f"`{name}`" not in page]


def test_malformed_entries_are_named_by_their_places(write, capsys):
    def change(values):
        values["routes"][1]["kind"] = "sometimes"
        values["services"][0]["name"] = 7
        del values["version"]

    code, report = check(capsys, write(2, change))
    assert code == 1
    places = {item["place"] for item in report["findings"]}
    assert places == {"version", "routes[1]", "services[0]"}


def test_a_file_that_cannot_be_read_ends_with_code_2(tmp_path, capsys):
    path = tmp_path / "cut.json"
    path.write_text('{"version": 1')
    assert main(["config", "check", str(path)]) == 2
    assert str(path) in capsys.readouterr().err
    assert main(["config", "check", str(tmp_path / "none.json")]) == 2


def change_access(values):
    values["tenants"][0]["apiKeys"] = ["key-m"]
    values["tenants"][1]["ratePerS"] = 0.5
    values["routes"][0]["service"] = "llm"
    del values["routes"][1]


EFFECTS = {
    "keys['key-'...]": "ends: requests of north with it get 401",
    "accounts[small]": "cap: 1 requests a second -> 0.5 requests a second",
    "routes[look]": "services: app 100% -> llm 100%",
    "routes[book]": "removed: its requests get 404, or another route's "
    "service",
}


def test_differences_are_told_by_their_effect(write, capsys):
    old, new = write(1), write(2, change_access)
    code, report = check(capsys, new, "--against", old)
    changes = [(item["place"], item["text"]) for item in report["changes"]]
    assert code == 0 and set(EFFECTS.items()) <= set(changes)
    code, report = check(capsys, old, "--against", new)
    assert code == 1
    assert [item["name"] for item in report["findings"]] == [
        "version-not-newer"
    ]
    assert check(capsys, old, "--against", old)[1]["changes"] == []


def test_the_version_in_force_is_read_from_the_store(write):
    store = MetadataStore()
    store.put("keyed.op", "config", make_config(1))
    command = [
        *(executable, "-m", "magnoliaflow", "config", "check"),
        *("--live", store.address, str(write(2, change_access))),
    ]
    try:
        result = run(command, capture_output=True, text=True, timeout=30)
    finally:
        store.close()
    assert result.returncode == 0, result.stderr
    assert all(text in result.stdout for text in EFFECTS.values())


def test_the_formats_of_settings_are_checked_too(tmp_path, capsys):
    source = (ROOT / "examples/repair-office.yaml").read_text()
    path = tmp_path / "shared.yaml"
    tokens = re.findall(r"token_file: (\S+)", source)
    path.write_text(source.replace(tokens[1], tokens[0]))
    code, report = check(capsys, path)
    assert code == 1
    assert {item["name"] for item in report["findings"]} == {"duplicate-key"}


VALUES = st.sampled_from(
    [None, 0, -1, 1, 2.5, 1e300, "", "app", "x y", [], {}, True, [{}]]
)


@st.composite
def documents(draw):
    """Draw a configuration with some fields replaced or removed."""
    values = loads(make_config(3))
    for _ in range(draw(st.integers(0, 4))):
        section = draw(st.sampled_from(("routes", "services", "tenants")))
        entry = draw(st.sampled_from(values[section]))
        field = draw(st.sampled_from(sorted(entry) or ["name"]))
        entry[field] = draw(VALUES)
    if draw(st.booleans()):
        values[draw(st.sampled_from(sorted(values)))] = draw(VALUES)
    return dumps(values).encode()


@given(documents())
def test_hosts_apply_whatever_passes(data):
    try:
        table, findings = check_document(data)
    except FormatError:
        return
    if table is None:
        assert findings
        return
    check_table(table)
    assert decode_document(data).version == table.version
