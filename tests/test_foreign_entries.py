"""Entries of other writers in the store do not disturb entry processes."""

from json import dumps
from time import sleep

import pytest

from entrysite import Deployment
from entrysite import send_request
from entrysite import wait_until

# Several reads of the engines' topic.
READS_S = 1.5
ENTRY = {
    "service": "app",
    "address": "127.0.0.1:9",
    "zone": "z1",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "sequence": 1,
}
FOREIGN_ENTRIES = {
    "nan": dumps({**ENTRY, "slots": float("nan")}),
    "infinite": dumps({**ENTRY, "leaves_ms": 1}).replace("1}", "1e999}"),
    "large": dumps({**ENTRY, "slots": 2**40, "born": 2**70}),
    "digits": dumps({**ENTRY, "born": 0}).replace(
        '"born": 0', f'"born": {"9" * 5000}'
    ),
    "nested": "[" * 100_000,
    "superscript": dumps({**ENTRY, "address": "127.0.0.1:\u00b2"}),
    "port": dumps({**ENTRY, "address": "127.0.0.1:70000"}),
    "surrogate": dumps({**ENTRY, "zone": "\ud800"}),
    "bad\r\nid": dumps(ENTRY),
}


@pytest.fixture
def site(tmp_path):
    """Return a deployment with two entry processes."""
    deployment = Deployment(tmp_path)
    first = deployment.start("e-1")
    deployment.start("e-2", (f"127.0.0.1:{first['controlPlane']}",))
    yield deployment
    deployment.close()


def test_unusable_entries_end_no_process_and_hide_no_engine(site):
    """Guards against entry processes that ended on one odd entry."""
    for name, text in FOREIGN_ENTRIES.items():
        site.store.put("keyed.servers", name, text.encode())
    sleep(READS_S)
    site.add_engine("a3", "app")
    site.register("a1", "app", state="draining")
    site.register("a2", "app", state="draining")
    for ports in site.entry_ports:
        wait_until(
            lambda port=ports["frontend"]: send_request(
                port, "GET", "/look/x"
            )[0]
            == 200
            and site.engines["a3"].executed_ids,
            "the engine that came after the entries is used",
        )
        site.engines["a3"].executed_ids.clear()
    assert [process.poll() for process in site.processes] == [None, None]


def test_a_process_starts_beside_unusable_entries(site):
    for name, text in FOREIGN_ENTRIES.items():
        site.store.put("keyed.servers", name, text.encode())
    ports = site.start("e-3")
    sleep(READS_S)
    assert send_request(ports["frontend"], "GET", "/look/x")[0] == 200
    assert site.processes[-1].poll() is None
