"""Randomized soak: real entry processes under faults from outside.

Each seed draws overlapping series of faults: stopped, killed, paused and
restarted processes, links to the store that delay, reset, go silent or
carry one way only, a store that is down or loses answers, an API that is
down, faulty engines.  What callers and engines saw is checked against the
promises.
"""

from argparse import ArgumentParser
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from http.client import HTTPConnection
from http.client import HTTPException
from json import dumps
from pathlib import Path
from random import Random
from signal import SIGCONT
from signal import SIGKILL
from signal import SIGSTOP
from signal import SIGTERM
import sys
from tempfile import TemporaryDirectory
from threading import Event
from threading import Lock
from threading import Thread
from time import monotonic
from time import sleep

from entrysite import Deployment
from entrysite import document
from entrysite import HOST
from magnoliaflow_standins.cloudapi import CloudApi
from magnoliaflow_standins.faultproxy import FaultProxy
from magnoliaflow_standins.faultproxy import LinkFault

PROMISES_NOT_RUN = (408, 421, 429, 503)
REVOCATION_S = 5.0
HOSTS = 3
CLIENTS = 6
PATHS = (
    ("POST", "/book/x", False),
    ("GET", "/look/x", True),
    ("POST", "/chat/s", False),
    ("POST", "/draft/s", True),
)


class Seen:
    """What callers saw, by request id."""

    def __init__(self):
        self.status = {}
        self.sent_at = {}
        self.once = set()
        self.wrong = []


class Client(Thread):
    """A caller with a kept connection, which it uses until it is gone."""

    def __init__(self, name, soak):
        super().__init__(daemon=True)
        self.name = name
        self.soak = soak
        self.rng = Random(f"{soak.seed}-{name}")
        self.conn = None

    def run(self):
        """Send requests until the soak ends."""
        number = 0
        while not self.soak.over.is_set():
            number += 1
            self.call(f"{self.name}-{number}")
            sleep(self.rng.random() * 0.05)

    def call(self, request_id):
        """Send one request and note its end."""
        method, path, repeatable = self.rng.choice(PATHS)
        seen = self.soak.seen
        if not repeatable:
            seen.once.add(request_id)
        seen.sent_at[request_id] = monotonic()
        body = request_id.encode() if method == "POST" else None
        head = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Credential": "key-n",
            "X-Deadline-Ms": "3000",
        }
        try:
            if self.conn is None:
                ports = self.rng.choice(self.soak.site.entries)
                self.conn = HTTPConnection(
                    "127.0.0.1", ports["frontend"], timeout=4
                )
            self.conn.request(method, path, body=body, headers=head)
            reply = self.conn.getresponse()
            data = reply.read()
        except (OSError, HTTPException):
            self.conn = None
            seen.status[request_id] = 0
            return
        seen.status[request_id] = reply.status
        if reply.status == 200:
            self.check(request_id, path, reply, data)

    def check(self, request_id, path, reply, data):
        """Check that a success is the whole answer to this request."""
        if reply.headers["X-Attempt-Id"] != request_id:
            self.soak.seen.wrong.append(f"{request_id}: another's answer")
        whole = b"answer to " + (
            request_id.encode() if path.startswith("/book") else b""
        )
        if path.endswith("/s"):
            whole = b"".join(
                b"id: %d\ndata: t%d\n\n" % (number, number)
                for number in range(4)
            )
        if data != whole:
            self.soak.seen.wrong.append(f"{request_id}: not whole: {data!r}")


class Soak:
    """One run under one seed."""

    def __init__(self, seed, folder, *, hosts=HOSTS):
        self.seed = seed
        self.rng = Random(seed)
        self.over = Event()
        self.starting = Lock()
        self.faults = []
        self.seen = Seen()
        self.cloud = CloudApi()
        self.site = Deployment(folder)
        self.revoked_at = None
        self.proxies = [
            FaultProxy(self.site.store.address) for _ in range(hosts)
        ]
        seeds = ()
        for number, proxy in enumerate(self.proxies):
            ports = self.site.start(
                f"h-{number}",
                seeds,
                cloud=self.cloud.address,
                links={"store": proxy.address},
            )
            seeds = (*seeds, f"127.0.0.1:{ports['controlPlane']}")

    def run(self, length_s):
        """Play the faults while callers call; return the violations."""
        clients = [Client(f"c{number}", self) for number in range(CLIENTS)]
        for client in clients:
            client.start()
        end = monotonic() + length_s
        while monotonic() < end:
            self.strike()
            sleep(self.rng.random() * 0.8)
        self.revoke()
        sleep(REVOCATION_S + 1.0)
        self.over.set()
        for client in clients:
            client.join(6)
        return self.violations()

    def strike(self):
        """Begin one fault; it ends by itself a little later."""
        number = self.rng.randrange(len(self.proxies))
        faults = (
            (self.signal, (number, SIGSTOP)),
            (self.signal, (number, SIGKILL)),
            (self.signal, (number, SIGTERM)),
            (self.link, (number, self.rng.choice(list(LinkFault)))),
            (self.link, (number, self.rng.choice(list(LinkFault)))),
            (self.store_down, ()),
            (self.lose_answers, ()),
            (self.api_down, ()),
            (self.spoil, ()),
            (self.reconfigure, ()),
        )
        action, args = self.rng.choice(faults)
        hold_s = self.rng.choice((0.3, 1.0, 2.5))
        fault = Thread(target=action, args=(*args, hold_s), daemon=True)
        self.faults.append(fault)
        fault.start()

    def signal(self, number, sign, hold_s):
        """Pause a process, or end it and start it again."""
        process = self.site.processes[number]
        if process.poll() is not None:
            return
        process.send_signal(sign)
        if sign is SIGSTOP:
            sleep(hold_s)
            process.send_signal(SIGCONT)
            return
        process.wait(12)
        with self.starting:
            # Another fault may have ended the same process and started it.
            if self.over.is_set() or self.site.processes[number] != process:
                return
            path = self.site.folder / f"h-{number}.conf"
            self.site.processes[number] = self.site.launch(path)

    def link(self, number, fault, hold_s):
        """Harm a host's way to the store."""
        self.proxies[number].set_fault(fault)
        sleep(hold_s)
        self.proxies[number].set_fault(LinkFault.NONE)

    def store_down(self, hold_s):
        """Let the store refuse every call."""
        self.site.store.down = True
        sleep(hold_s)
        self.site.store.down = False

    def lose_answers(self, hold_s):
        """Let the store lose the answers of appends."""
        self.site.store.answers_to_lose = 3

    def api_down(self, hold_s):
        """Let the API refuse every call."""
        self.cloud.down = True
        sleep(hold_s)
        self.cloud.down = False

    def spoil(self, hold_s):
        """Let an engine fail its next requests in one way."""
        engine = self.rng.choice(list(self.site.engines.values()))
        engine.fault = self.rng.choice(
            ("shed", "lost", "cut", "failed", "stranger", "unsigned")
        )
        engine.fault_count = 5

    def reconfigure(self, hold_s):
        """Publish a new version."""
        version = int(monotonic() * 1000)
        self.site.store.put("keyed.op", "config", document(version))

    def revoke(self):
        """Take the callers' key away and note when that was confirmed."""
        version = int(monotonic() * 1000) + 1
        tenants = [{"name": "north", "apiKeys": ["other"]}]
        data = document(version, tenants=tenants)
        self.site.store.put("keyed.op", "config", data)
        self.revoked_at = monotonic()

    def violations(self):
        """Return what broke a promise."""
        ran = Counter(self.site.ran())
        seen = self.seen
        found = list(seen.wrong)
        found += [
            f"{name}: ran {count} times"
            for name, count in ran.items()
            if count > 1 and name in seen.once
        ]
        found += [
            f"{name}: ran, and {seen.status[name]} said it had not"
            for name in seen.once
            if name in ran and seen.status.get(name) in PROMISES_NOT_RUN
        ]
        found += [
            f"{name}: ran though its key was taken away"
            for name in ran
            if seen.sent_at.get(name, 0.0) > self.revoked_at + REVOCATION_S
        ]
        return found + self.duty_violations()

    def duty_violations(self):
        """Return what two holders of the duties did."""
        found, top, counts = [], 0, {}
        for call in self.cloud.calls:
            if call.fence < top:
                found.append(f"fence {call.fence} acted after {top}")
            top = max(top, call.fence)
            window = call.body["windowNumber"]
            told = counts.setdefault(window, call.body["counts"])
            if told != call.body["counts"]:
                found.append(f"window {window} was reported two ways")
        return found

    def close(self):
        """End what this run started, faults in progress first."""
        self.over.set()
        for fault in self.faults:
            fault.join()
        self.site.close()
        for proxy in self.proxies:
            proxy.close()
        self.cloud.close()


def play(seed, length_s, hosts):
    """Return one seed's counts and violations."""
    with TemporaryDirectory() as folder:
        soak = Soak(seed, Path(folder), hosts=hosts)
        try:
            found = soak.run(length_s)
        finally:
            soak.close()
    statuses = Counter(soak.seen.status.values())
    return {
        "seed": seed,
        "requests": len(soak.seen.status),
        "statuses": {str(key): count for key, count in statuses.items()},
        "reports": len(soak.cloud.calls),
        "violations": found,
    }


def main():
    """Play seeds, some at a time; exit 1 on a violation."""
    parser = ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--length", type=float, default=12.0)
    parser.add_argument("--hosts", type=int, default=HOSTS)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--out", type=Path)
    args = parser.parse_args()
    seeds = range(args.first, args.first + args.seeds)
    with ProcessPoolExecutor(args.jobs) as pool:
        futures = [
            pool.submit(play, seed, args.length, args.hosts) for seed in seeds
        ]
        rows = [fut.result() for fut in futures]
    for row in rows:
        print(dumps(row))
    if args.out:
        args.out.write_text(dumps(rows, indent=1))
    bad = [row["seed"] for row in rows if row["violations"]]
    total = sum(row["requests"] for row in rows)
    print(f"{len(rows)} seeds, {total} requests, violations in seeds {bad}")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
