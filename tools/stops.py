"""Planned stops of real entry processes under the traffic of a sheet.

Hosts have addresses of their own in 127.0.0.0/8 and the same ports.  They
are stopped and started in series or at once, get SIGHUP, and hosts are added
beside them, while engines leave and come.  Callers look addresses up, keep
connections and send unary, keyed and streaming requests.  What callers,
engines and the operator see is counted.
"""

from argparse import ArgumentParser
import asyncio
from collections import Counter
from collections import defaultdict
from json import dumps
from json import loads
from os import environ
from pathlib import Path
from random import Random
from signal import SIGHUP
from signal import SIGTERM
from subprocess import Popen
from subprocess import STDOUT
from sys import executable
from sys import exit as sys_exit
from tempfile import TemporaryDirectory
from time import monotonic

from entrysite import HOST
from entrysite import make_config
from entrysite import make_route
from entrysite import ROOT
from magnoliaflow_standins.cloudapi import CloudApi
from magnoliaflow_standins.metadatastore import MetadataStore

GRACE_S = 8.0
EXCUSED_S = 3.0
LOSS_SLACK_S = 0.2
DRAIN_S = 2.0
HEARTBEAT_S = 1.2
START_LIMIT_S = 12.0
PORTS = {
    "frontend": 21021,
    "ready": 21024,
    "controlPlane": 21029,
    "directoryService": 21020,
}
METRICS_PORT = 21030
# Name, kind, service, requests a second, events, seconds an event or answer,
# time limit and target in milliseconds.
SHEET = (
    ("quote", "streaming", "llm", 8.4, 13, 0.03, 6000, 1200),
    ("draft", "streaming", "llm", 9.0, 6, 0.03, 4000, 1000),
    ("chat", "streaming", "llm", 4.7, 70, 0.05, 15000, 800),
    ("book", "non_idempotent", "app", 5.5, 0, 0.09, 3000, 400),
    ("look", "idempotent", "app", 3.4, 0, 0.09, 3000, 400),
)
# Requests a second that the sheet means for four hosts.
CALLERS_PER_HOST = 12
# One account sends more than its cap allows.
CAPPED = {"ratePerS": 6, "burst": 12, "unit": "request_count"}
CAP_WINDOW_S = 8.0
CAP_OVERAGE = 0.1


class Engine:
    """An engine that runs requests and records them."""

    def __init__(self, rig, name, service):
        self.rig = rig
        self.name = name
        self.service = service
        self.sequence = 0
        self.left_at = None
        self.state = "ready"

    async def start(self):
        """Listen and write heartbeats."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.beats = asyncio.ensure_future(self.beat())

    async def beat(self):
        """Write an entry at each heartbeat."""
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self):
        """Write this engine's entry to the store."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 64,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
        }
        value = dumps(entry).encode()
        self.rig.store.put("keyed.servers", self.name, value)

    async def leave(self):
        """Drain, remove the entry and end."""
        self.state = "draining"
        self.register()
        self.left_at = monotonic()
        await asyncio.sleep(DRAIN_S + 1.0)
        self.beats.cancel()
        self.rig.store.put("keyed.servers", self.name, b"")
        await asyncio.sleep(12.0)
        self.server.close()

    async def serve(self, reader, writer):
        """Answer one request."""
        run = None
        try:
            head, body = await read_message(reader)
            names = parse_headers(head)
            run = [self, monotonic(), None, False, names["x-attempt-id"]]
            self.rig.runs[run[4]].append(run)
            await self.answer(head, writer, names)
            run[3] = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if run:
                run[2] = monotonic()
            writer.close()

    async def answer(self, head, writer, names):
        """Write a stream or a body, as the route of the path asks."""
        row = self.rig.rows[head.split(b" ", 2)[1].split(b"/")[1].decode()]
        lines = (
            "HTTP/1.1 200 OK",
            f"X-Attempt-Id: {names['x-attempt-id']}",
            f"X-Response-Signature: {self.name}",
        )
        if not row[4]:
            await asyncio.sleep(row[5])
            writer.write(
                "\r\n".join((*lines, "Content-Length: 800", "", "")).encode()
                + b"a" * 800
            )
            await writer.drain()
            return
        lines = (
            *lines,
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )
        writer.write("\r\n".join((*lines, "", "")).encode())
        first = int(names.get("last-event-id", "-1")) + 1
        count = max(1, int(row[4] * self.rig.rng.uniform(0.3, 2.2)))
        for number in range(first, max(first + 1, count)):
            await asyncio.sleep(row[5])
            event = b"id: %d\ndata: %s\n\n" % (number, b"t" * 50)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def read_message(reader):
    """Return the head and body of a message with a length or in chunks."""
    head = await reader.readuntil(b"\r\n\r\n")
    names = parse_headers(head)
    if names.get("transfer-encoding") == "chunked":
        body = b""
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return head, body
    length = int(names.get("content-length", "0"))
    return head, await reader.readexactly(length)


def parse_headers(head):
    """Return the headers of a message by lower-case name."""
    lines = head.decode().split("\r\n")[1:]
    pairs = (line.partition(":") for line in lines if line)
    return {name.lower(): value.strip() for name, _, value in pairs}


class Caller:
    """A caller with one kept connection."""

    def __init__(self, rig, number, key):
        self.rig = rig
        self.rng = Random(f"{rig.seed}-{number}")
        self.name = f"c{number}"
        self.key = key
        self.keeps = 3 if number % 4 == 0 else 1
        self.addresses = []
        self.until = 0.0
        self.conn = None
        self.peer = ""
        self.count = 0

    async def run(self, rows, rate):
        """Send requests until the traffic ends."""
        weights = [row[3] for row in rows]
        while not self.rig.finished:
            await asyncio.sleep(self.rng.expovariate(rate))
            row = self.rng.choices(rows, weights)[0]
            status, wait_s = await self.send(row)
            if status in (429, 503) and wait_s < row[6] / 3000:
                await asyncio.sleep(wait_s)
                self.drop()
                await self.send(row)
        self.drop()

    def drop(self):
        """Close the kept connection."""
        if self.conn is not None:
            self.conn[1].close()
        self.conn = None

    async def resolve(self):
        """Refresh the addresses when they are over; keep them otherwise."""
        if monotonic() < self.until:
            return
        for host in self.rng.sample(self.rig.hosts, len(self.rig.hosts))[:3]:
            try:
                reply = await asyncio.wait_for(self.lookup(host), 1.0)
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                continue
            if reply is not None:
                self.addresses = reply["addresses"]
                self.until = monotonic() + self.keeps * reply["ttlS"]
                return

    async def lookup(self, host):
        """Return one host's answer to a lookup, None if it has none."""
        reader, writer = await asyncio.open_connection(
            host.ip, PORTS["directoryService"]
        )
        writer.write(
            b"GET /magnoliaflow/resolution?name=x&region=r&zone=z1 "
            b"HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        head, body = await read_message(reader)
        writer.close()
        return loads(body) if head.split()[1] == b"200" else None

    async def send(self, row):
        """Send one request; return its status and Retry-After."""
        await self.resolve()
        if self.conn is not None and (
            self.peer not in self.addresses or self.conn[0].at_eof()
        ):
            self.drop()
        kept = self.conn is not None
        if not kept:
            if not self.addresses:
                return 0, 0.0
            self.peer = self.rng.choice(self.addresses)
            ip, _, port = self.peer.partition(":")
            try:
                self.conn = await asyncio.wait_for(
                    asyncio.open_connection(ip, int(port)), 1.0
                )
            except (OSError, TimeoutError):
                self.rig.counts["connect failed"] += 1
                self.until = 0.0
                return 0, 0.0
        self.count += 1
        sent = {
            "id": f"{self.name}-{self.count}",
            "route": row[0],
            "host": self.peer.partition(":")[0],
            "key": self.key,
            "kept": kept,
            "sent": monotonic(),
            "status": 0,
            "whole": False,
        }
        self.rig.sent.append(sent)
        lines = (
            f"POST /{row[0]}/x HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {sent['id']}",
            f"X-Credential: {self.key}",
            f"X-Deadline-Ms: {row[6]}",
            "Content-Length: 400",
            "",
            "b" * 400,
        )
        names = {}
        try:
            self.conn[1].write("\r\n".join(lines).encode())
            names = await asyncio.wait_for(self.read(sent), row[6] / 1000)
        except TimeoutError:
            sent["timeout"] = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        sent["ended"] = monotonic()
        if not sent["whole"] or names.get("connection") == "close":
            self.drop()
        return sent["status"], float(names.get("retry-after", "0"))

    async def read(self, sent):
        """Read an answer; note its status and whether it is whole."""
        reader = self.conn[0]
        head = await reader.readuntil(b"\r\n\r\n")
        sent["status"] = int(head.split()[1])
        names = parse_headers(head)
        if names.get("transfer-encoding") == "chunked":
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                await reader.readexactly(size + 2)
                if not size:
                    break
        else:
            await reader.readexactly(int(names["content-length"]))
        sent["whole"] = True
        return names


class Host:
    """An entry process with an address of its own."""

    def __init__(self, rig, number):
        self.rig = rig
        self.ip = f"127.0.{rig.network}.{number + 1}"
        self.name = f"h-{number}"
        self.log = (rig.folder / f"{self.name}.log").open("ab")
        self.process = None
        self.terms = []

    def start(self, seeds):
        """Write the settings and start the process."""
        lines = [f"nodeName={self.name}", "zone=z1", "region=r"]
        lines += [
            f"listenAddresses.{key}={self.ip}:{port}"
            for key, port in PORTS.items()
        ]
        lines += [
            f"platform.address={self.rig.store.address}",
            f"cloudApi.address={self.rig.cloud.address}",
            "cloudApi.duties=usage_reporting",
            f"seedNodes={','.join(seeds)}",
            f"bounds.gracePeriodS={GRACE_S:g}",
            f"bounds.quotaOverage={CAP_OVERAGE}",
            "bounds.quotaTolerance=0",
            "bounds.retryBudgetExtra=52",
        ]
        path = self.rig.folder / f"{self.name}.conf"
        path.write_text("\n".join(lines))
        self.process = Popen(
            [
                *(executable, str(self.rig.root / "deploy/entry.py")),
                *("--metrics-port", str(METRICS_PORT)),
            ],
            env={**environ, "MAGNOLIAFLOW_NODE_FILE": str(path)},
            stdout=self.log,
            stderr=STDOUT,
        )

    async def wait_ready(self):
        """Wait for readiness; count a process that does not get ready."""
        end = monotonic() + START_LIMIT_S
        while monotonic() < end and not self.rig.finished:
            try:
                reader, writer = await asyncio.open_connection(
                    self.ip, PORTS["ready"]
                )
                writer.write(
                    b"GET /magnoliaflow/readiness HTTP/1.1\r\nHost: x\r\n\r\n"
                )
                head, _ = await asyncio.wait_for(read_message(reader), 1.0)
                writer.close()
                if head.split()[1] == b"200":
                    return
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        if not self.rig.finished:
            self.rig.fault(f"{self.name} is not ready {START_LIMIT_S} s")

    async def stop(self):
        """Stop the process as planned and wait until it has ended."""
        if self.process.poll() is not None:
            self.rig.fault(f"{self.name} ended with {self.process.poll()}")
            return
        self.process.send_signal(SIGTERM)
        term_at = monotonic()
        self.terms.append(term_at)
        while self.process.poll() is None:
            await asyncio.sleep(0.02)
            if monotonic() - term_at > GRACE_S:
                self.process.kill()
                self.rig.counts["killed after the grace period"] += 1
        if self.process.poll() not in (0, -9):
            self.rig.fault(f"{self.name} stopped with {self.process.poll()}")

    async def restart(self):
        """Stop the process and start it again."""
        await self.stop()
        await asyncio.sleep(0.5)
        self.start(self.rig.seeds)
        if self.rig.rng.random() < 0.5:
            await asyncio.sleep(self.rig.rng.random())
            self.process.send_signal(SIGHUP)
        await self.wait_ready()


class Rig:
    """One run with one seed."""

    def __init__(self, seed, folder, *, hosts, root, rate):
        self.seed = seed
        self.rng = Random(seed)
        self.folder = folder
        self.root = root
        self.rate = rate
        self.network = 10 + seed % 200
        self.store = MetadataStore()
        self.cloud = CloudApi()
        self.rows = {row[0]: row for row in SHEET}
        self.runs = defaultdict(list)
        self.sent = []
        self.faults = []
        self.counts = Counter()
        self.finished = False
        self.hosts = [Host(self, number) for number in range(hosts)]
        self.seeds = [
            f"{host.ip}:{PORTS['controlPlane']}" for host in self.hosts[:3]
        ]
        self.engines = []

    def fault(self, text):
        """Record a process that does not start, or ends by itself."""
        self.faults.append(text)

    def publish(self, version):
        """Write a configuration."""
        routes = [
            make_route(
                name,
                kind,
                service=service,
                timeoutMs=limit,
                targetLatencyMs=target,
                streamResumption=name == "draft",
            )
            for name, kind, service, *_, limit, target in SHEET
        ]
        tenants = [
            {"name": "north", "apiKeys": ["key-n"], "ratePerS": 0},
            {"name": "capped", "apiKeys": ["key-c"], **CAPPED},
        ]
        data = make_config(version, routes=routes, tenants=tenants)
        self.store.put("keyed.op", "config", data)

    async def add_engine(self, service):
        """Start an engine."""
        engine = Engine(self, f"i-{len(self.engines)}-{self.seed}", service)
        self.engines.append(engine)
        await engine.start()

    async def play(self, pattern, rounds, gap_s):
        """Play a run with planned stops."""
        self.publish(1)
        for service in ("llm", "llm", "llm", "llm", "app", "app", "app"):
            await self.add_engine(service)
        for host in self.hosts:
            host.start(self.seeds)
        await asyncio.gather(*(host.wait_ready() for host in self.hosts))
        await asyncio.sleep(1.5)
        callers = CALLERS_PER_HOST * len(self.hosts)
        rate = self.rate * sum(row[3] for row in SHEET) / 4 * len(self.hosts)
        tasks = [
            asyncio.ensure_future(
                Caller(self, number, "key-n").run(SHEET, rate / callers)
            )
            for number in range(callers)
        ]
        tasks += [
            asyncio.ensure_future(
                Caller(self, 10_000 + number, "key-c").run(SHEET[3:], 5.0)
            )
            for number in range(6)
        ]
        churn = asyncio.ensure_future(self.churn())
        await asyncio.sleep(3.0)
        for number in range(rounds):
            await self.stop_hosts(pattern, gap_s)
            self.publish(number + 2)
        await asyncio.sleep(2.0)
        self.finished = True
        churn.cancel()
        await asyncio.wait(tasks, timeout=16.0)
        for engine in self.engines:
            engine.beats.cancel()
            engine.server.close()
        for host in self.hosts:
            if host.process.poll() is not None:
                self.fault(f"{host.name} ended with {host.process.poll()}")

    async def stop_hosts(self, pattern, gap_s):
        """Stop and restart hosts, one after the other or overlapping."""
        hosts = self.rng.sample(self.hosts, len(self.hosts))
        if pattern == "series":
            for host in hosts[: max(4, len(hosts) // 4)]:
                await host.restart()
            return
        share = 1.0 if pattern == "all" else 0.5
        restarts = []
        for host in hosts[: max(1, int(len(hosts) * share))]:
            restarts.append(asyncio.ensure_future(host.restart()))
            await asyncio.sleep(gap_s)
        if self.rng.random() < 0.5:
            host = Host(self, len(self.hosts))
            host.start(self.seeds)
            self.hosts.append(host)
            restarts.append(asyncio.ensure_future(host.wait_ready()))
        await asyncio.gather(*restarts)

    async def churn(self):
        """Let engines leave and come."""
        while True:
            await asyncio.sleep(self.rng.uniform(1.0, 3.0))
            engine = self.rng.choice(
                [engine for engine in self.engines if not engine.left_at]
            )
            await self.add_engine(engine.service)
            await asyncio.sleep(1.0)
            asyncio.ensure_future(engine.leave())

    def judge(self):
        """Return what broke a rule, by rule."""
        found = defaultdict(list)
        found["FAULT"] += self.faults
        terms = {host.ip: host.terms for host in self.hosts}
        for sent in self.sent:
            runs = self.runs.get(sent["id"], [])
            if sent["route"] in ("book", "quote", "chat"):
                if len(runs) > 1:
                    found["TWICE"].append(sent["id"])
                if runs and sent["status"] in (408, 421, 429, 503):
                    found["REFUSED"].append(sent["id"])
            found["DRAIN"] += [
                f"{sent['id']} {run[1] - run[0].left_at:.2f} s"
                for run in runs
                if run[0].left_at and run[1] > run[0].left_at + DRAIN_S
            ]
            if sent["whole"] or "ended" not in sent or sent.get("timeout"):
                continue
            self.judge_cut(sent, runs, terms.get(sent["host"], []), found)
        self.judge_cap(found)
        return {rule: cases for rule, cases in found.items() if cases}

    def judge_cut(self, sent, runs, terms, found):
        """Judge a request without a whole answer."""
        limit_s = self.rows[sent["route"]][6] / 1000
        took_s = sent["ended"] - sent["sent"]
        if took_s >= limit_s - 0.1:
            self.counts["cut at the time limit"] += 1
            return
        term_at = max((at for at in terms if at <= sent["ended"]), default=0)
        after_s = sent["sent"] - term_at
        cut_s = sent["ended"] - term_at
        text = (
            f"{sent['id']} {sent['route']} status {sent['status']} sent "
            f"{after_s:.2f} s and cut {cut_s:.2f} s after SIGTERM of "
            f"{sent['host']}, runs {len(runs)}, kept {sent['kept']}"
        )
        if not runs and took_s < LOSS_SLACK_S:
            self.counts["closed unread"] += 1
        elif cut_s > GRACE_S + 1:
            found["CUT"].append(text)
        elif runs and after_s <= EXCUSED_S and cut_s >= GRACE_S * 5 / 6:
            self.counts["cut, excused"] += 1
        else:
            found["LOST"].append(text)

    def judge_cap(self, found):
        """Judge the runs of the capped account in each window."""
        times = sorted(
            run[1]
            for sent in self.sent
            if sent["key"] == "key-c"
            for run in self.runs.get(sent["id"], [])[:1]
        )
        most = (CAPPED["ratePerS"] * CAP_WINDOW_S + CAPPED["burst"]) * (
            1 + CAP_OVERAGE
        )
        worst = max(
            (
                sum(at <= other < at + CAP_WINDOW_S for other in times)
                for at in times
            ),
            default=0,
        )
        self.counts["most of a cap"] = round(worst / most, 3)
        if worst > most:
            found["QUOTA"].append(f"{worst} of {most:.0f} in a window")

    def close(self):
        """End what this run started."""
        for host in self.hosts:
            if host.process is not None:
                host.process.kill()
                host.process.wait()
            host.log.close()
        self.store.close()
        self.cloud.close()


def run_seed(seed, args):
    """Run one seed and return its result."""
    with TemporaryDirectory() as folder:
        rig = Rig(
            seed,
            Path(folder),
            hosts=args.hosts,
            root=args.root,
            rate=args.rate,
        )
        try:
            asyncio.run(rig.play(args.pattern, args.rounds, args.gap))
            found = rig.judge()
        finally:
            rig.close()
    statuses = Counter(str(sent["status"]) for sent in rig.sent)
    return {
        "seed": seed,
        "hosts": args.hosts,
        "pattern": args.pattern,
        "requests": len(rig.sent),
        "stops": sum(len(host.terms) for host in rig.hosts),
        "statuses": dict(statuses),
        "counts": dict(rig.counts),
        "found": {rule: len(cases) for rule, cases in found.items()},
        "cases": {rule: cases[:12] for rule, cases in found.items()},
    }


def main():
    """Run the seeds; return 1 if a rule was broken."""
    parser = ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--gap", type=float, default=1.0)
    parser.add_argument("--rate", type=float, default=1.0)
    parser.add_argument(
        "--pattern", choices=("series", "half", "all"), default="all"
    )
    parser.add_argument("--root", type=Path, default=ROOT)
    args = parser.parse_args()
    failed = []
    for seed in range(args.first, args.first + args.seeds):
        result = run_seed(seed, args)
        print(dumps(result), flush=True)
        if result["found"]:
            failed.append(seed)
    print(f"{args.seeds} seeds, rules broken in seeds {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys_exit(main())
