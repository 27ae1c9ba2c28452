"""The adapter's decoders: whatever arrives, a typed value or an error."""

from json import dumps
from struct import pack
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st
import pytest

from magnoliaflow.cli import main
from magnoliaflow.common.errors import FormatError
from magnoliaflow.common.errors import SettingsError
from magnoliaflow.platform.document import decode_document
from magnoliaflow.platform.headers import decode_call
from magnoliaflow.platform.headers import encode_forward
from magnoliaflow.platform.nodefile import decode_host_settings
from magnoliaflow.platform.registrations import decode_registration
from magnoliaflow.platform.store import decode_page
from magnoliaflow.work.calls import ForwardContext

BOOT = """nodeName=e-1
zone=z1
zones.z1=r
listenAddresses.frontend=10.0.0.1:8221
listenAddresses.controlPlane=10.0.0.1:8229
platform.address=10.0.0.9:8225
cloudApi.duties=usage_reporting,autoscaling
bounds.revocationMs=5000
unknown.field=7
"""
ENGINE = {
    "service": "llm",
    "address": "10.1.2.3:80",
    "zone": "z1",
    "slots": 64,
    "state": "ready",
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=9,
)


@pytest.fixture
def boot_file(tmp_path):
    """Return a valid settings file of a host."""
    path = tmp_path / "boot.conf"
    path.write_text(BOOT)
    return path


def inbound(*headers, target=b"/book/x", method=b"POST", body=b"abc"):
    return SimpleNamespace(
        headers=[(name.lower(), value) for name, value in headers],
        target=target,
        method=method,
        body=body,
    )


def test_boot_file_is_read():
    site = decode_host_settings(BOOT)
    assert (site.host, site.zones, site.revocation_s) == (
        "e-1",
        {"z1": "r"},
        5,
    )
    assert site.reports_usage and site.orders_engines


def test_every_fault_of_a_boot_file_is_named_at_once():
    text = BOOT.replace("zone=z1\n", "", 1).replace("=5000", "=soon")
    with pytest.raises(SettingsError) as caught:
        decode_host_settings(text)
    assert "zone:" in str(caught.value)
    assert "bounds.revocationMs" in str(caught.value)


def test_config_check_takes_both_formats(boot_file, example_path, capsys):
    assert main(["config", "check", str(boot_file)]) == 0
    assert main(["config", "check", str(example_path)]) == 0
    boot_file.write_text("zone=z1\n")
    assert main(["config", "check", str(boot_file)]) == 2
    assert "nodeName" in capsys.readouterr().err


@pytest.mark.parametrize(
    "change",
    [
        {"service": 7},
        {"address": "10.1.2.3"},
        {"address": "10.1.2.999:80"},
        {"address": "host:80"},
        {"zone": None},
        {"state": "resting"},
        {"state": ["ready"]},
    ],
    ids=str,
)
def test_a_faulty_entry_names_no_engine(change):
    assert decode_registration("m", dumps({**ENGINE, **change}).encode()) is (
        None
    )


@given(data=st.binary() | JSON.map(lambda item: dumps(item).encode()))
def test_no_bytes_break_the_decoder_of_entries(data):
    decode_registration("m", data)


@given(data=st.binary() | JSON.map(lambda item: dumps(item).encode()))
def test_no_bytes_break_the_decoder_of_configurations(data):
    with pytest.raises(FormatError):
        decode_document(data)


@given(data=st.binary(max_size=80))
def test_no_bytes_break_the_decoder_of_pages(data):
    try:
        page = decode_page("keyed.x", 0, data)
    except FormatError:
        return
    assert all(row.offset >= 0 for row in page.entries)


def test_a_page_holds_values_and_removals():
    rows = [b"\x01av", b"\x01b", b""]
    data = pack(">QQ", 9, 2) + b"".join(
        pack(">I", len(row)) + row for row in rows
    )
    page = decode_page("keyed.x", 6, data)
    assert [(row.offset, row.key, row.value) for row in page.entries] == [
        (6, "a", b"v"),
        (7, "b", None),
        (8, "", None),
    ]
    assert page.end == 9


HEADERS = st.lists(
    st.tuples(st.binary(max_size=12), st.binary(max_size=30)), max_size=8
)


@given(
    rows=HEADERS,
    usage=st.binary(max_size=12),
    parts=st.binary(max_size=30),
    deadline=st.binary(max_size=8),
)
def test_no_headers_break_the_decoder_of_requests(
    rows, usage, parts, deadline
):
    call = decode_call(
        inbound(
            *rows,
            (b"X-Token-Usage", usage),
            (b"X-Prompt-Prefix", parts),
            (b"X-Deadline-Ms", deadline),
        )
    )
    assert call.prompt_tokens >= 0 and call.answer_tokens >= 0


def test_what_a_caller_may_not_set_is_not_forwarded():
    forged = (
        b"X-Tenant",
        b"X-Credential",
        b"X-Hold-Duration",
        b"X-Pin-Ms",
        b"X-Kv-Backup",
        b"Kv-From",
        b"X-Request-Priority",
        b"X-Expected-Instance",
        b"X-Private",
    )
    call = decode_call(
        inbound(
            *((name, b"forged") for name in forged),
            (b"Connection", b"close, X-Private"),
            (b"X-Attempt-Id", b"r1"),
            (b"X-Token-Usage", b"1460,80"),
            (b"X-Prompt-Prefix", b"5c1e07a2:800,91bd3f06:410"),
        )
    )
    rows = encode_forward(call, ForwardContext("m1", 1.5, "north", 3))
    assert b"forged" not in [value for _, value in rows]
    assert (b"x-deadline-ms", b"1500") in rows
    assert (b"x-tenant", b"north") in rows
    assert (b"x-expected-instance", b"m1") in rows
    assert (b"x-token-usage", b"1460,80") in rows
    assert call.parts == ((0x5C1E07A2, 800), (0x91BD3F06, 410))
