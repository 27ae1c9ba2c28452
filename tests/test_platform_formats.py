"""Decoders of the platform's formats return a typed value or an error."""

from json import dumps
from math import inf
from struct import pack
from types import SimpleNamespace
from unittest.mock import patch

from hypothesis import given
from hypothesis import strategies as st
import pytest
from twisted.internet.defer import succeed

from entrysite import make_config
from entrysite import make_route
from magnoliaflow.cli import main
from magnoliaflow.common.codec import decode_value
from magnoliaflow.common.codec import encode_value
from magnoliaflow.common.errors import FormatError
from magnoliaflow.common.errors import PortError
from magnoliaflow.common.errors import SettingsError
from magnoliaflow.common.messages import EngineEntry
from magnoliaflow.platform.document import decode_document
from magnoliaflow.platform.headers import decode_call
from magnoliaflow.platform.headers import encode_forward
from magnoliaflow.platform.nodefile import decode_host_settings
from magnoliaflow.platform.nodefile import read_host_settings
from magnoliaflow.platform.registrations import decode_registration
from magnoliaflow.platform.store import decode_page
from magnoliaflow.platform.store import ERA_HEADER
from magnoliaflow.platform.store import StoreClient
from magnoliaflow.transport.client import Reply
from magnoliaflow.work.calls import ForwardContext

BOOT_FILE = """nodeName=e-1
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
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda children: st.lists(children) | st.dictionaries(st.text(), children),
    max_leaves=9,
)


@pytest.fixture
def boot_file(tmp_path):
    """Return a valid settings file of a host."""
    path = tmp_path / "boot.conf"
    path.write_text(BOOT_FILE)
    return path


def inbound(*headers, target=b"/book/x", method=b"POST", body=b"abc"):
    return SimpleNamespace(
        headers=[(name.lower(), value) for name, value in headers],
        target=target,
        method=method,
        body=body,
    )


def test_boot_file_is_read():
    site = decode_host_settings(BOOT_FILE)
    assert (site.host, site.zones, site.revocation_s) == (
        "e-1",
        {"z1": "r"},
        5,
    )
    assert site.reports_usage and site.orders_engines


def test_all_errors_of_a_boot_file_are_reported_together():
    text = BOOT_FILE.replace("zone=z1\n", "", 1).replace("=5000", "=soon")
    with pytest.raises(SettingsError) as raised:
        decode_host_settings(text)
    assert "zone:" in str(raised.value)
    assert "bounds.revocationMs" in str(raised.value)


@pytest.mark.parametrize(
    "line",
    [
        "platform.address=10.0.0.9",
        "platform.address=10.0.0.9:65536",
        "listenAddresses.frontend=:8221",
        "bounds.gracePeriodS=nan",
        "bounds.gracePeriodS=inf",
    ],
)
def test_unusable_addresses_and_bounds_are_errors(line):
    with pytest.raises(SettingsError) as raised:
        decode_host_settings(BOOT_FILE + line + "\n")
    assert line.partition("=")[0] in str(raised.value)


def test_a_settings_file_of_odd_bytes_is_an_error(tmp_path):
    path = tmp_path / "boot.conf"
    path.write_bytes(b"\xff\xfe" + BOOT_FILE.encode())
    with pytest.raises(SettingsError):
        read_host_settings(path)


def test_config_check_accepts_both_formats(boot_file, example_path, capsys):
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
        {"slots": float("nan")},
        {"slots": float("inf")},
        {"slots": 2**31},
        {"slots": -1},
        {"slots": "64"},
        {"slots": [64]},
        {"born": 10**400},
        {"born": 2**63},
        {"leaves_ms": 1e300},
        {"sequence": True},
        {"address": "10.1.2.3:65536"},
        {"address": "10.1.2.3:\u00b2"},
        {"address": "10.1.2.03:80"},
        {"address": "0.0.0.0:80"},
        {"zone": "\ud800"},
        {"zone": "z" * 256},
        {"note": "\ud800"},
    ],
    ids=lambda change: ascii(change)[:40],
)
def test_an_invalid_registration_is_ignored(change):
    assert decode_registration("m", dumps({**ENGINE, **change}).encode()) is (
        None
    )


@pytest.mark.parametrize(
    "data",
    [
        b"[" * 100_000,
        b'{"a":' * 100_000,
        dumps(ENGINE).replace("64", "1e999").encode(),
        dumps(ENGINE).replace("64", "9" * 5000).encode(),
        dumps(ENGINE).encode("utf-16"),
        dumps(ENGINE).encode().replace(b"z1", b"\xed\xa0\x80"),
    ],
    ids=["lists", "objects", "infinite", "digits", "utf-16", "surrogate"],
)
def test_registration_bytes_of_another_writer_name_no_engine(data):
    assert decode_registration("m", data) is None
    with pytest.raises(FormatError):
        decode_document(data)


@pytest.mark.parametrize("engine", ["", "a b", "a\r\nb", "\u00e9", "x" * 256])
def test_an_id_that_cannot_be_sent_in_a_header_names_no_engine(engine):
    assert decode_registration(engine, dumps(ENGINE).encode()) is None


@given(
    changes=st.dictionaries(
        st.sampled_from(
            [*ENGINE, "born", "sequence", "leaves_ms", "isSpot", "version"]
        ),
        JSON_VALUES | st.integers(-(2**70), 2**70),
        min_size=1,
        max_size=4,
    ),
    engine=st.text(),
)
def test_a_registration_can_be_sent_to_peers_whatever_its_fields(
    changes, engine
):
    entry = decode_registration(
        engine, dumps({**ENGINE, **changes}).encode()
    ) or decode_registration("m", dumps({**ENGINE, **changes}).encode())
    if entry is not None:
        assert decode_value(EngineEntry, encode_value(entry)) == entry


@given(data=st.binary() | JSON_VALUES.map(lambda value: dumps(value).encode()))
def test_the_registration_decoder_never_raises(data):
    decode_registration("m", data)


@given(
    status=st.sampled_from([200, 410, 412, 503]),
    body=st.binary()
    | JSON_VALUES.map(lambda value: dumps(value).encode())
    | st.fixed_dictionaries(
        {"items": JSON_VALUES, "endOffset": JSON_VALUES}
    ).map(lambda value: dumps(value).encode()),
    era=st.binary(max_size=30),
)
def test_the_store_client_fails_only_with_port_errors(status, body, era):
    """Guards the followers, which end on any other error."""
    reply = Reply()
    reply.status, reply.body = status, body
    reply.headers = [(ERA_HEADER, era)]
    calls = (
        lambda store: store.read("keyed.x", 0, era=0),
        lambda store: store.read_newest("keyed.x"),
        lambda store: store.append("x", b"d", at=3),
    )
    for call in calls:
        store = StoreClient("127.0.0.1:1", timeout_s=1.0)
        with patch(
            "magnoliaflow.platform.store.fetch", return_value=succeed(reply)
        ):
            failures = []
            call(store).addErrback(failures.append)
        assert all(failure.check(PortError) for failure in failures)


@given(data=st.binary() | JSON_VALUES.map(lambda value: dumps(value).encode()))
def test_the_configuration_decoder_rejects_random_bytes(data):
    with pytest.raises(FormatError):
        decode_document(data)


@given(data=st.binary(max_size=80))
def test_the_page_decoder_raises_only_format_errors(data):
    try:
        page = decode_page("keyed.x", 0, data)
    except FormatError:
        return
    assert all(entry.offset >= 0 for entry in page.entries)


def test_a_page_holds_values_and_removals():
    values = [b"\x01av", b"\x01b", b""]
    data = pack(">QQ", 9, 2) + b"".join(
        pack(">I", len(value)) + value for value in values
    )
    page = decode_page("keyed.x", 6, data)
    assert [
        (entry.offset, entry.key, entry.value) for entry in page.entries
    ] == [
        (6, "a", b"v"),
        (7, "b", None),
        (8, "", None),
    ]
    assert page.end == 9


DIGITS = st.integers(1, 5000).map(lambda length: b"9" * length)
HEADERS = st.lists(
    st.tuples(st.binary(max_size=12), st.binary(max_size=30)), max_size=8
)


@given(
    headers=HEADERS,
    token_usage=st.binary(max_size=12) | DIGITS,
    prompt_prefix=st.binary(max_size=30) | DIGITS.map(lambda n: b"1:" + n),
    deadline=st.binary(max_size=8) | DIGITS,
)
def test_the_request_decoder_accepts_any_headers(
    headers, token_usage, prompt_prefix, deadline
):
    call = decode_call(
        inbound(
            *headers,
            (b"X-Token-Usage", token_usage),
            (b"X-Prompt-Prefix", prompt_prefix),
            (b"X-Deadline-Ms", deadline),
        )
    )
    assert call.prompt_tokens >= 0 and call.answer_tokens >= 0
    assert all(float(tokens) >= 0 for _, tokens in call.parts)
    assert call.deadline_s is None or call.deadline_s < inf


def test_reserved_headers_of_callers_are_not_forwarded():
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
    forwarded = encode_forward(call, ForwardContext("m1", 1.5, "north", 3))
    assert b"forged" not in [value for _, value in forwarded]
    assert (b"x-deadline-ms", b"1500") in forwarded
    assert (b"x-tenant", b"north") in forwarded
    assert (b"x-expected-instance", b"m1") in forwarded
    assert (b"x-token-usage", b"1460,80") in forwarded
    assert call.parts == ((0x5C1E07A2, 800), (0x91BD3F06, 410))


@pytest.mark.parametrize("value", ["0", "-0.1", "1.5"])
def test_a_share_out_of_range_names_its_remedy(value):
    line = f"callers.memoryShare={value}\n"
    with pytest.raises(SettingsError, match="use 0 < share <= 1"):
        decode_host_settings(BOOT_FILE + line)


@pytest.mark.parametrize(
    "kind, resumes, repeatable",
    [
        ("idempotent", False, True),
        ("non_idempotent", True, False),
        ("streaming", False, False),
        ("streaming", True, True),
    ],
)
def test_only_streams_become_repeatable_by_resumption(
    kind, resumes, repeatable
):
    """Guards against bookings that run twice because of a stray flag."""
    route = make_route("r", kind, streamResumption=resumes)
    document = make_config(1, routes=[route])
    assert decode_document(document).routes[0].repeatable is repeatable
