"""Randomized soak test: real entry processes under injected faults.

Each seed draws overlapping faults: processes that are stopped, killed,
paused and restarted; links to the store that delay, reset, drop all bytes
or carry one direction only; a store that is down, loses replies or goes back
to a copy; an API that is down; faulty engines, engines that say that they
leave and start again, and engines that end under a part of a prompt or under a
request that comes again.  Model engines are of two software versions, and
callers take up streams that break off.  The observations of callers and
engines are checked against the delivery guarantees.
"""

from argparse import ArgumentParser
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from http.client import HTTPConnection
from http.client import HTTPException
from http.client import IncompleteRead
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
from entrysite import FIRST_BORN
from entrysite import HOST
from entrysite import make_config
from magnoliaflow_standins.cloudapi import CloudApi
from magnoliaflow_standins.faultproxy import FaultProxy
from magnoliaflow_standins.faultproxy import LinkFault

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
REVOCATION_S = 5.0
HOSTS = 3
# Ends of one engine under a part: five of all engines and requests on their
# way, while hosts are killed and know nothing of it.
MAX_ENDS = 8
CLIENTS = 6
SOUND_PARTS = ("b1", "b2", "b3", "b4", "b5")
CRASHING_PART = "c0de"
CRASHING_BODY = b"crash"
CRASHING_PATH = "/look/again"
VERSIONS = {"m1": "v1", "m2": "v1", "m3": "v2", "m4": "v2"}
EVENT_COUNT = 4
PATHS = (
    ("POST", "/book/x", False),
    ("GET", "/look/x", True),
    ("POST", "/chat/s", False),
    ("POST", "/draft/s", True),
    ("POST", CRASHING_PATH, True),
)


class Observations:
    """What the callers observed, by request id.

    Status 0 stands for a connection that failed.
    """

    def __init__(self):
        self.status = {}
        self.sent_at = {}
        self.once_only = set()
        self.crashing = set()
        self.bad_answers = []


class Client(Thread):
    """A caller that keeps its connection open until it fails."""

    def __init__(self, name, soak):
        super().__init__(daemon=True)
        self.name = name
        self.soak = soak
        self.rng = Random(f"{soak.seed}-{name}")
        self.conn = None

    def run(self):
        """Send requests until the soak test ends."""
        number = 0
        while not self.soak.finished.is_set():
            number += 1
            self.call(f"{self.name}-{number}")
            sleep(self.rng.random() * 0.05)

    def call(self, request_id):
        """Send one request and record its status."""
        method, path, idempotent = self.rng.choice(PATHS)
        observed = self.soak.observed
        if not idempotent:
            observed.once_only.add(request_id)
        observed.sent_at[request_id] = monotonic()
        body = request_id.encode() if method == "POST" else None
        if path == CRASHING_PATH:
            body = CRASHING_BODY
        request_headers = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Credential": "key-n",
            "X-Deadline-Ms": "3000",
        }
        if path.endswith("/s"):
            part = self.rng.choice((*SOUND_PARTS, CRASHING_PART))
            request_headers["X-Prompt-Prefix"] = f"a1:9,{part}:9,ff:9"
            if part == CRASHING_PART:
                observed.crashing.add(request_id)
        try:
            if self.conn is None:
                ports = self.rng.choice(self.soak.deployment.entry_ports)
                self.conn = HTTPConnection(
                    "127.0.0.1", ports["frontend"], timeout=4
                )
            self.conn.request(method, path, body=body, headers=request_headers)
            reply = self.conn.getresponse()
            data = reply.read()
        except IncompleteRead as exc:
            self.conn = None
            observed.status[request_id] = 0
            if path.startswith("/draft"):
                self.take_up(request_id, exc.partial, request_headers)
            return
        except (OSError, HTTPException):
            self.conn = None
            observed.status[request_id] = 0
            return
        observed.status[request_id] = reply.status
        if reply.status == 200:
            self.check(request_id, path, reply, data)

    def take_up(self, first_id, partial, request_headers):
        """Take up a stream that broke off, once."""
        begun = partial[: partial.rfind(b"\n\n") + 2]
        if not begun:
            return
        request_headers["X-Attempt-Id"] = f"{first_id}-rest"
        request_headers["Resumes"] = first_id
        request_headers["Last-Event-Id"] = str(begun.count(b"id: ") - 1)
        ports = self.rng.choice(self.soak.deployment.entry_ports)
        conn = HTTPConnection("127.0.0.1", ports["frontend"], timeout=4)
        try:
            conn.request("POST", "/draft/s", b"", request_headers)
            reply = conn.getresponse()
            data = reply.read()
        except (OSError, HTTPException):
            return
        finally:
            conn.close()
        if reply.status == 200:
            self.check_stream(first_id, begun + data)

    def check_stream(self, request_id, data):
        """Check that a stream is whole and of one software version."""
        expected = [
            b"".join(
                b"id: %d\ndata: t%d %s\n\n" % (number, number, version)
                for number in range(EVENT_COUNT)
            )
            for version in (b"v1", b"v2")
        ]
        if data not in expected:
            self.soak.observed.bad_answers.append(
                f"{request_id}: stream is not whole or joined: {data!r}"
            )

    def check(self, request_id, path, reply, data):
        """Check that a success is the complete answer to this request."""
        if reply.headers["X-Attempt-Id"] != request_id:
            self.soak.observed.bad_answers.append(
                f"{request_id}: answer of another request"
            )
        expected = b"answer to " + (
            request_id.encode() if path.startswith("/book") else b""
        )
        if path == CRASHING_PATH:
            expected = b"answer to " + CRASHING_BODY
        if path.endswith("/s"):
            self.check_stream(request_id, data)
        elif data != expected:
            self.soak.observed.bad_answers.append(
                f"{request_id}: incomplete answer: {data!r}"
            )


class Soak:
    """One run of the soak test with one seed."""

    def __init__(self, seed, folder, *, hosts=HOSTS):
        self.seed = seed
        self.rng = Random(seed)
        self.finished = Event()
        self.restart_lock = Lock()
        self.restore_lock = Lock()
        self.faults = []
        self.observed = Observations()
        self.cloud = CloudApi()
        self.deployment = Deployment(folder)
        self.revoked_at = None
        self.returns = Counter()
        for name, version in VERSIONS.items():
            self.deployment.add_engine(name, "llm", version=version)
            self.deployment.engines[name].version = version
        self.proxies = [
            FaultProxy(self.deployment.store.address) for _ in range(hosts)
        ]
        seeds = ()
        for host_index, proxy in enumerate(self.proxies):
            ports = self.deployment.start(
                f"h-{host_index}",
                seeds,
                cloud=self.cloud.address,
                links={"store": proxy.address},
            )
            seeds = (*seeds, f"127.0.0.1:{ports['controlPlane']}")

    def run(self, length_s):
        """Inject faults while clients send; return the violations.

        At the end the API key is revoked, and requests must stop being
        executed within REVOCATION_S seconds.
        """
        clients = [Client(f"c{number}", self) for number in range(CLIENTS)]
        for client in clients:
            client.start()
        end = monotonic() + length_s
        while monotonic() < end:
            self.inject_fault()
            sleep(self.rng.random() * 0.8)
        self.revoke_key()
        sleep(REVOCATION_S + 1.0)
        self.finished.set()
        for client in clients:
            client.join(6)
        return self.violations()

    def inject_fault(self):
        """Start a random fault, which ends by itself after its duration."""
        host_index = self.rng.randrange(len(self.proxies))
        faults = (
            (self.signal_process, (host_index, SIGSTOP)),
            (self.signal_process, (host_index, SIGKILL)),
            (self.signal_process, (host_index, SIGTERM)),
            (
                self.disrupt_link,
                (host_index, self.rng.choice(list(LinkFault))),
            ),
            (
                self.disrupt_link,
                (host_index, self.rng.choice(list(LinkFault))),
            ),
            (self.store_down, ()),
            (self.lose_answers, ()),
            (self.store_goes_back, ()),
            (self.api_down, ()),
            (self.inject_engine_fault, ()),
            (self.leave_and_return, ()),
            (self.crash_on_part, ()),
            (self.crash_on_request, ()),
            (self.limit_engine, ()),
            (self.publish_config, ()),
        )
        action, args = self.rng.choice(faults)
        duration_s = self.rng.choice((0.3, 1.0, 2.5))
        fault = Thread(target=action, args=(*args, duration_s), daemon=True)
        self.faults.append(fault)
        fault.start()

    def signal_process(self, host_index, signum, duration_s):
        """Pause a process for a time, or end and restart it."""
        process = self.deployment.processes[host_index]
        if process.poll() is not None:
            return
        process.send_signal(signum)
        if signum is SIGSTOP:
            sleep(duration_s)
            process.send_signal(SIGCONT)
            return
        process.wait(12)
        with self.restart_lock:
            # A concurrent fault may already have restarted the process.
            if (
                self.finished.is_set()
                or self.deployment.processes[host_index] != process
            ):
                return
            path = self.deployment.folder / f"h-{host_index}.conf"
            self.deployment.processes[host_index] = self.deployment.launch(
                path
            )

    def disrupt_link(self, host_index, fault, duration_s):
        """Inject a fault into a host's link to the store."""
        self.proxies[host_index].set_fault(fault)
        sleep(duration_s)
        self.proxies[host_index].set_fault(LinkFault.NONE)

    def store_down(self, duration_s):
        """Make the store refuse all calls."""
        self.deployment.store.down = True
        sleep(duration_s)
        self.deployment.store.down = False

    def lose_answers(self, duration_s):
        """Make the store lose the replies to its next three appends."""
        self.deployment.store.answers_to_lose = 3

    def store_goes_back(self, duration_s):
        """Let the store come back without its last seconds."""
        store = self.deployment.store
        with self.restore_lock:
            copy = store.copy()
            sleep(duration_s)
            store.down = True
            sleep(self.rng.choice((0.1, 0.5)))
            store.go_back(copy)
            store.down = False

    def api_down(self, duration_s):
        """Make the API refuse all calls."""
        self.cloud.down = True
        sleep(duration_s)
        self.cloud.down = False

    def inject_engine_fault(self, duration_s):
        """Make an engine fail its next five requests."""
        engine = self.rng.choice(list(self.deployment.engines.values()))
        engine.fault = self.rng.choice(
            (
                *("shed", "lost", "cut", "failed", "stranger", "unsigned"),
                "old refusal",
            )
        )
        engine.resumed_answer = self.rng.choice(("", "204", "500", "text"))
        engine.fault_count = 5

    def leave_and_return(self, duration_s):
        """Let an engine say that it leaves, and start again as a new run."""
        name = self.rng.choice(list(self.deployment.engines))
        engine = self.deployment.engines[name]
        engine.leaving = True
        sleep(duration_s)
        engine.leaving = False
        engine.ends += 1
        self.returns[name] += 1
        service = "llm" if name in VERSIONS else "app"
        self.deployment.register(
            name,
            service,
            born=FIRST_BORN + engine.ends,
            version=engine.version,
        )

    def crash_on_part(self, duration_s):
        """Let all engines end under one part of a prompt for a time."""
        engines = self.deployment.engines.values()
        for engine in engines:
            engine.crashing_parts = frozenset([CRASHING_PART])
        sleep(duration_s)
        for engine in engines:
            engine.crashing_parts = frozenset()

    def crash_on_request(self, duration_s):
        """Let all engines end under one request for a time."""
        engines = self.deployment.engines.values()
        for engine in engines:
            engine.crashing_bodies = frozenset([CRASHING_BODY])
        sleep(duration_s)
        for engine in engines:
            engine.crashing_bodies = frozenset()

    def limit_engine(self, duration_s):
        """Let an engine name a limit for a time."""
        engine = self.rng.choice(list(self.deployment.engines.values()))
        engine.rate_limit = self.rng.choice((0.5, 2.0, 8.0))
        sleep(duration_s)
        engine.rate_limit = None

    def publish_config(self, duration_s):
        """Publish a new version of the configuration."""
        version = int(monotonic() * 1000)
        self.deployment.store.put("keyed.op", "config", make_config(version))

    def revoke_key(self):
        """Revoke the callers' API key and record when this was stored."""
        version = int(monotonic() * 1000) + 1
        tenants = [{"name": "north", "apiKeys": ["other"]}]
        data = make_config(version, tenants=tenants)
        self.deployment.store.put("keyed.op", "config", data)
        self.revoked_at = monotonic()

    def violations(self):
        """Return all violations of the guarantees."""
        executed_ids = Counter(self.deployment.executed_ids())
        observed = self.observed
        violations = list(observed.bad_answers)
        violations += [
            f"{name}: executed {count} times"
            for name, count in executed_ids.items()
            if count > 1 and name in observed.once_only
        ]
        violations += [
            f"{name}: executed, but answered {observed.status[name]}"
            for name in observed.once_only
            if name in executed_ids
            and observed.status.get(name) in NOT_EXECUTED_STATUSES
        ]
        violations += [
            f"{name}: executed after its key was revoked"
            for name in executed_ids
            if observed.sent_at.get(name, 0.0) > self.revoked_at + REVOCATION_S
        ]
        violations += [
            f"{name}: engine ended {engine.ends} times"
            for name, engine in self.deployment.engines.items()
            if engine.ends - self.returns[name] > MAX_ENDS
        ]
        return violations + self.duty_violations()

    def duty_violations(self):
        """Return violations by two concurrent lease holders.

        The fence must never decrease, and a usage window must not be
        reported with different counts.
        """
        violations, max_fence, counts = [], 0, {}
        for call in self.cloud.calls:
            if call.fence < max_fence:
                violations.append(
                    f"fence {call.fence} used after fence {max_fence}"
                )
            max_fence = max(max_fence, call.fence)
            window = call.body["windowNumber"]
            reported = counts.setdefault(window, call.body["counts"])
            if reported != call.body["counts"]:
                violations.append(
                    f"window {window} was reported with different counts"
                )
        return violations

    def close(self):
        """Wait for open faults and stop everything this run started."""
        self.finished.set()
        for fault in self.faults:
            fault.join()
        self.deployment.close()
        for proxy in self.proxies:
            proxy.close()
        self.cloud.close()


def run_seed(seed, length_s, hosts):
    """Run one seed and return its counts and violations."""
    with TemporaryDirectory() as folder:
        soak = Soak(seed, Path(folder), hosts=hosts)
        try:
            violations = soak.run(length_s)
        finally:
            soak.close()
    statuses = Counter(soak.observed.status.values())
    return {
        "seed": seed,
        "requests": len(soak.observed.status),
        "statuses": {str(key): count for key, count in statuses.items()},
        "reports": len(soak.cloud.calls),
        "violations": violations,
    }


def main():
    """Run the seeds in parallel; return 1 if any has a violation."""
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
            pool.submit(run_seed, seed, args.length, args.hosts)
            for seed in seeds
        ]
        results = [fut.result() for fut in futures]
    for result in results:
        print(dumps(result))
    if args.out:
        args.out.write_text(dumps(results, indent=1))
    failed_seeds = [
        result["seed"] for result in results if result["violations"]
    ]
    total = sum(result["requests"] for result in results)
    print(
        f"{len(results)} seeds, {total} requests, "
        f"violations in seeds {failed_seeds}"
    )
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
