"""A planned stop of all hosts in turn, under callers with kept channels."""

from http.client import HTTPConnection
from http.client import HTTPException
from json import loads
from os import environ
from pathlib import Path
from random import Random
from signal import SIGTERM
import sys
from threading import Event
from threading import Thread
from time import monotonic
from time import sleep

from harness.clients import Client
from harness.clients import HOST
from harness.engines import Engine
from harness.runner import cut_requests
from harness.runner import run_case
from harness.runner import write_record

TROUBLE = environ.get("TROUBLE", "1") != "0"
RECORD = Path(__file__).with_name("record.txt")
CLIENTS = 40
WARM_UP_S = 5.0
GAP_S = 1.3
AFTER_S = 15.0
GRACE_S = 8.0
# A request that was sent later than this after the SIGTERM is not excused.
EXCUSED_S = 3.0
CHAT_DEADLINE_MS = 15000
# 70 events of 4 tokens are usual, 194 the most.
EVENTS = 100
EVENT_GAP_S = 0.06
THINK_S = 0.1
CHAT_SHARE = 0.2


class Resolver:
    """The addresses that one client uses, as the pages say."""

    def __init__(self, deployment, keeps):
        self.deployment = deployment
        self.keeps = keeps
        self.addresses = []
        self.until = 0.0

    def lookup(self):
        """Ask for a new answer if the last one is over; keep it if none."""
        if monotonic() < self.until:
            return self.addresses
        for host in self.deployment.hosts:
            values = self._ask(host.ports["directoryService"])
            if values and values.get("addresses"):
                self.addresses = values["addresses"]
                self.until = monotonic() + self.keeps * values["ttlS"]
                break
        return self.addresses

    def _ask(self, port):
        conn = HTTPConnection("127.0.0.1", port, timeout=1.0)
        try:
            conn.request(
                "GET",
                f"/magnoliaflow/resolution?name={HOST}&region=r1&zone=z1",
            )
            reply = conn.getresponse()
            return loads(reply.read()) if reply.status == 200 else None
        except (OSError, HTTPException, ValueError):
            return None
        finally:
            conn.close()


def keep_sending(deployment, record, number, stopped):
    """Send lookups and now and then a chat, on a channel that is kept."""
    rng = Random(number)
    resolver = Resolver(deployment, 3 if number % 4 == 0 else 1)
    client = None
    while not stopped.is_set():
        addresses = resolver.lookup()
        ports = [int(address.rpartition(":")[2]) for address in addresses]
        if client is not None and client.port not in ports:
            client.close()
            client = None
        if client is None and ports:
            client = Client(record, rng.choice(ports), name=f"c{number}")
        if client is None:
            sleep(THINK_S)
            continue
        if rng.random() < CHAT_SHARE:
            sent = client.send("/chat/s", deadline_ms=CHAT_DEADLINE_MS)
        else:
            sent = client.send("/look/x", deadline_ms=3000, method="GET")
        if sent.status == 0 and client.conn is None:
            client = None
        sleep(THINK_S * rng.uniform(0.5, 1.5))


def play(deployment, record):
    """Play the case; return when each host got its SIGTERM."""
    for number in (1, 2):
        deployment.engines.append(
            Engine(deployment.store, f"app-{number}", "desk-app")
        )
        model = Engine(deployment.store, f"model-{number}", "desk-model")
        model.event_count, model.gap_s = EVENTS, EVENT_GAP_S
        deployment.engines.append(model)
    deployment.start()
    stopped = Event()
    threads = [
        Thread(
            target=keep_sending,
            args=(deployment, record, number, stopped),
            daemon=True,
        )
        for number in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
    sleep(WARM_UP_S)
    terms = {}
    for host in deployment.hosts:
        if TROUBLE:
            host.signal(SIGTERM)
            terms[host.ports["frontend"]] = monotonic()
        sleep(GAP_S)
    sleep(AFTER_S)
    stopped.set()
    for thread in threads:
        thread.join(CHAT_DEADLINE_MS / 1000)
    return terms


def is_lost(sent, terms):
    """Return whether a cut request was lost around a SIGTERM of its host."""
    term_at = terms.get(sent.port)
    if term_at is None:
        return False
    if not term_at <= sent.ended_at <= term_at + GRACE_S + 1.0:
        return False
    excused = (
        sent.sent_at <= term_at + EXCUSED_S
        and sent.ended_at >= term_at + GRACE_S * 5.0 / 6.0
    )
    return not excused


def judge(deployment, record, terms):
    """Write the record and return whether the rule was broken."""
    runs = deployment.runs()
    start = min(terms.values(), default=record.sent[0].sent_at)
    cut = cut_requests(record, runs)
    lost = [sent for sent in cut if is_lost(sent, terms)]
    lines = [
        f"{host.name}, port {host.ports['frontend']}: "
        + (
            "SIGTERM at {:.3f} s".format(terms[port] - start)
            if (port := host.ports["frontend"]) in terms
            else "no SIGTERM"
        )
        for host in deployment.hosts
    ]
    lines += [
        f"{sent.request_id} was sent"
        f" {sent.sent_at - terms[sent.port]:.3f} s after the SIGTERM of its"
        f" host and cut {sent.ended_at - terms[sent.port]:.3f} s after it"
        for sent in lost
    ]
    lines.append(
        f"requests: {len(record.sent)}, passed on and cut: {len(cut)},"
        f" of these lost: {len(lost)}"
    )
    marks = {sent.request_id: "LOST" for sent in lost}
    write_record(RECORD, lines, record, runs, start, marks)
    print("\n".join(lines))
    return bool(lost)


if __name__ == "__main__":
    sys.exit(run_case(play, judge, RECORD))
