"""An unusable entry of another writer among the engines' entries."""

from os import environ
from pathlib import Path
import sys
from threading import Event
from threading import Thread
from time import monotonic
from time import sleep

from harness.clients import Client
from harness.engines import Engine
from harness.runner import cut_requests
from harness.runner import run_case
from harness.runner import write_record

TROUBLE = environ.get("TROUBLE", "1") != "0"
RECORD = Path(__file__).with_name("record.txt")
CLIENTS_PER_HOST = 8
WARM_UP_S = 6.0
AFTER_S = 24.0
# In-flight requests have ended by then.
SETTLE_S = 2.0
# The rule allows three.
MAX_LOST = 3
# The rule on processes that end by themselves: three times, on two hosts.
MAX_ENDS = 2
# The number of slots is no number, which JSON has no word for either.
# Every other field is that of a sound entry; nobody listens at the address.
FOREIGN_ENTRY = (
    b'{"service": "desk-app", "address": "127.0.0.1:9", "zone": "z1",'
    b' "version": "v1", "slots": NaN, "state": "ready",'
    b' "coldRemainingMs": 0, "sequence": 1}'
)


def keep_sending(client, path, stopped):
    """Send requests on a kept channel, with a pause after a failure."""
    while not stopped.is_set():
        sent = client.send(path)
        if sent.status != 200:
            sleep(0.2)


def play(deployment, record):
    """Play the case; return when the entry was written."""
    for name, service in (
        ("app-1", "desk-app"),
        ("app-2", "desk-app"),
        ("model-1", "desk-model"),
        ("model-2", "desk-model"),
    ):
        deployment.engines.append(Engine(deployment.store, name, service))
    deployment.start()
    stopped = Event()
    threads = []
    for host in deployment.hosts:
        for number in range(CLIENTS_PER_HOST):
            client = Client(
                record, host.ports["frontend"], name=f"{host.name}-{number}"
            )
            path = "/chat/s" if number % 2 else "/book/x"
            thread = Thread(
                target=keep_sending, args=(client, path, stopped), daemon=True
            )
            thread.start()
            threads.append(thread)
    sleep(WARM_UP_S)
    written_at = monotonic()
    if TROUBLE:
        deployment.store.put("keyed.servers", "other-7", FOREIGN_ENTRY)
    sleep(AFTER_S)
    stopped.set()
    for thread in threads:
        thread.join(10.0)
    return written_at


def judge(deployment, record, written_at):
    """Write the record and return whether the rule was broken."""
    runs = deployment.runs()
    cut = [sent for sent in cut_requests(record, runs) if sent.kept]
    lost = [sent for sent in cut if not sent.status]
    ending_hosts = [
        host for host in deployment.hosts if len(host.ends) > MAX_ENDS
    ]
    after = [
        sent for sent in record.sent if sent.sent_at > written_at + SETTLE_S
    ]
    served = sum(sent.status == 200 for sent in after)
    lines = [f"entry of another writer: {TROUBLE}"]
    for host in deployment.hosts:
        ends = ", ".join(
            f"{at - written_at:.2f} s (exit code {code})"
            for at, code in host.ends
        )
        lines.append(f"{host.name} ended by itself: {ends or 'never'}")
    lines += [
        f"sent more than {SETTLE_S:g} s after the entry: {len(after)},"
        f" answered with 200: {served}",
        "passed on from a kept channel that was then closed without any"
        f" answer: {len(lost)}, in the middle of one:"
        f" {len(cut) - len(lost)}",
    ]
    marks = {sent.request_id: "CUT" for sent in cut}
    marks.update((sent.request_id, "LOST") for sent in lost)
    write_record(RECORD, lines, record, runs, written_at, marks)
    print("\n".join(lines))
    return len(lost) > MAX_LOST or len(ending_hosts) > 1


if __name__ == "__main__":
    sys.exit(run_case(play, judge, RECORD))
