"""Deterministic simulation of several gateways in virtual time.

The gateway cores are real; the log, the engines, the services and the
network are fakes.  All randomness derives from one seed, so the same seed
and faults reproduce the same run.
"""

from bisect import bisect_right
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush
from itertools import count
from json import dumps
from random import Random

from magnoliaflow.common.codes import Code
from magnoliaflow.common.codes import SETTLED_CODES
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.ports import LoadReport
from magnoliaflow.common.records import ProfileChange
from magnoliaflow.common.records import Record
from magnoliaflow.core.commands import Append
from magnoliaflow.core.commands import CallService
from magnoliaflow.core.commands import CancelAttempt
from magnoliaflow.core.commands import Exit
from magnoliaflow.core.commands import ProbePeer
from magnoliaflow.core.commands import QueryStatus
from magnoliaflow.core.commands import ResumeAttempt
from magnoliaflow.core.commands import SendAddress
from magnoliaflow.core.commands import SendPeer
from magnoliaflow.core.commands import StartAttempt
from magnoliaflow.core.commands import WriteLog
from magnoliaflow.core.inputs import AppendEnded
from magnoliaflow.core.inputs import AttemptEnded
from magnoliaflow.core.inputs import Ending
from magnoliaflow.core.inputs import EngineUnreachable
from magnoliaflow.core.inputs import HostLeaving
from magnoliaflow.core.inputs import LoadReportArrived
from magnoliaflow.core.inputs import MessageArrived
from magnoliaflow.core.inputs import PeerProbed
from magnoliaflow.core.inputs import RecordAtOffset
from magnoliaflow.core.inputs import RecordsRead
from magnoliaflow.core.inputs import ServiceAnswered
from magnoliaflow.core.inputs import StatusAnswered
from magnoliaflow.core.inputs import StreamRestored
from magnoliaflow.core.inputs import StreamTrimmed
from magnoliaflow.core.inputs import Submitted
from magnoliaflow.core.inputs import TokensArrived
from magnoliaflow.core.state import CLAIM_STREAM
from magnoliaflow.core.state import GatewayState
from magnoliaflow.core.state import PROFILE_STREAM
from magnoliaflow.daemons.gatewaycore import open_core
from magnoliaflow.ingress.streaming import resume_offset
from magnoliaflow.ingress.views import request_code
from magnoliaflow.serving.claimprocessing import claim_code
from magnoliaflow.serving.draining import count_in_progress
from magnoliaflow.serving.location import serving_address
from magnoliaflow.serving.membership import make_heartbeat
from magnoliaflow.work.claimids import body_digest
from magnoliaflow.work.claimids import ClaimId
from magnoliaflow.work.requests import Role
from magnoliaflow_standins.tokens import next_digest
from magnoliaflow_standins.tokens import next_token
from magnoliaflow_standins.tokens import start_digest

WALL_START = 1_700_000_000.0
STEP_S = 0.05
TOKENS_PER_STEP = 2
PREFILL_S = 0.1


@dataclass
class Call:
    """A caller's request, with every result code and token it received."""

    name: str
    account: str
    profile: str
    prompt: str
    key: str
    max_tokens: int
    body: bytes
    request_id: str = ""
    last_event_id: str = ""
    tokens: list = field(default_factory=list)
    codes: list = field(default_factory=list)
    resets: int = 0
    entry_host: str = ""
    submitted_at: float = 0.0
    settled_at: float = 0.0

    @property
    def code(self):
        """Return the latest result code that the caller received."""
        return self.codes[-1] if self.codes else Code.PENDING

    @property
    def done(self):
        """Return whether the caller has a final result.

        NOT_FOUND is not final: the caller asks again.
        """
        return self.code in SETTLED_CODES and self.code is not Code.NOT_FOUND


class Node:
    """A gateway process that can be frozen, partitioned or killed."""

    def __init__(self, world, host, serial):
        self.world = world
        self.host = host
        self.identity = f"{host.name}-{serial}"
        self.alive = True
        self.frozen = False
        self.backlog = []
        self.tick_scheduled = False
        self.pending_reads = set()
        self.log_unreachable = False
        self.in_progress_at_exit = None
        state = GatewayState(
            cfg=world.cfg,
            host=host,
            identity=self.identity,
            rng=Random(f"{world.seed}{self.identity}"),
            now=world.now,
            wall=world.wall,
        )
        self.core = open_core(state)
        self.state = state
        world.after(0, self.tick_regularly)
        world.after(0, self.read_all)
        world.after(0, self.poll_load_reports)

    def feed(self, core_input):
        """Pass an input to the core; queue it while the process is frozen."""
        if not self.alive:
            return
        if self.frozen:
            self.backlog.append(core_input)
            return
        self.core.receive(core_input, now=self.world.now, wall=self.world.wall)
        if not self.tick_scheduled:
            self.tick_scheduled = True
            self.world.after(0, self.tick)

    def tick(self):
        """Run one tick of the core and execute its commands."""
        self.tick_scheduled = False
        if not self.alive or self.frozen:
            return
        commands = self.core.tick(now=self.world.now, wall=self.world.wall)
        for command in commands:
            self.world.execute(self, command)

    def tick_regularly(self):
        """Tick every STEP_S seconds, also when no input arrives."""
        if self.alive:
            self.tick()
            self.world.after(STEP_S, self.tick_regularly)

    def freeze(self):
        """Suspend the process, as SIGSTOP or a paused VM does."""
        self.frozen = True

    def unfreeze(self):
        """Resume the process and deliver all queued inputs at once."""
        self.frozen = False
        backlog, self.backlog = self.backlog, []
        for core_input in backlog:
            self.feed(core_input)
        self.tick()

    def read_all(self):
        """Read new records of every stream, every 0.5 s."""
        if not self.alive:
            return
        for stream in (PROFILE_STREAM, CLAIM_STREAM):
            self.world.log.read(self, stream)
        self.world.after(0.5, self.read_all)

    def poll_load_reports(self):
        """Fetch the load report of every engine, every 0.25 s."""
        if not self.alive:
            return
        for engine in self.world.engines.values():
            if engine.alive:
                report = engine.report()
                self.world.after(0.1, lambda r=report: self.feed(r))
            else:
                self.feed(EngineUnreachable(engine.name))
        self.world.after(0.25, self.poll_load_reports)


class FakeLog:
    """A fake of the platform's log with injectable faults."""

    def __init__(self, world):
        self.world = world
        self.streams = {PROFILE_STREAM: [], CLAIM_STREAM: []}
        self.first_offsets = {PROFILE_STREAM: 0, CLAIM_STREAM: 0}
        self.down = False
        self.lose_replies = 0.0
        self.late_probability = 0.0
        self.late_s = 5.0
        self.keep = 0
        self.era = 0
        self.committed_at = {PROFILE_STREAM: [], CLAIM_STREAM: []}

    def append(self, node, stream, records):
        """Append records after a delay.

        A lost reply and a late append both report failure to the node,
        although the records are committed.
        """
        ids = tuple(record.record_id for record in records)

        def reply(succeeded):
            node.feed(AppendEnded(stream, ids, succeeded))

        if self.down or node.log_unreachable:
            self.world.after(0.2, lambda: reply(False))
            return
        if self.world.rng.random() < self.late_probability:
            delay = self.late_s * self.world.rng.random()
            self.world.after(delay, lambda: self.commit(stream, records))
            self.world.after(0.5, lambda: reply(False))
            return
        lost = self.world.rng.random() < self.lose_replies
        self.world.after(0.003, lambda: self.commit(stream, records))
        self.world.after(0.5 if lost else 0.006, lambda: reply(not lost))

    def commit(self, stream, records):
        """Commit records, trim the stream and notify all readers."""
        log = self.streams[stream]
        log.extend(records)
        times = self.committed_at[stream]
        times.extend([self.world.now] * len(records))
        if self.keep and len(log) > self.keep:
            gone = len(log) - self.keep
            del log[:gone]
            del times[:gone]
            self.first_offsets[stream] += gone
        for node in self.world.nodes.values():
            self.read(node, stream)

    def go_back(self, age_s):
        """Come back from a copy of this age, in a new era."""
        copied_at = self.world.now - age_s
        for stream, times in self.committed_at.items():
            kept = bisect_right(times, copied_at)
            del times[kept:]
            del self.streams[stream][kept:]
        self.era += 1

    def read(self, node, stream):
        """Schedule a read, unless the node already has one pending."""
        if stream in node.pending_reads or not node.alive:
            return
        node.pending_reads.add(stream)
        self.world.after(0.004, lambda: self.deliver(node, stream))

    def deliver(self, node, stream):
        """Deliver the unread records, or report that they were trimmed."""
        node.pending_reads.discard(stream)
        if self.down or node.log_unreachable:
            return
        if node.frozen:
            return
        cursor = node.state.cursors[stream]
        if cursor.era < self.era:
            node.feed(StreamRestored(stream, self.era))
            self.read(node, stream)
            return
        start = cursor.next_offset
        first = self.first_offsets[stream]
        if start < first:
            node.feed(StreamTrimmed(stream, first))
            self.read(node, stream)
            return
        unread = self.streams[stream][start - first :]
        records = tuple(
            RecordAtOffset(start + index, record)
            for index, record in enumerate(unread)
        )
        end = start + len(unread)
        node.feed(RecordsRead(stream, records, end, era=self.era))


class FakeEngine:
    """A model engine whose tokens each depend on all previous tokens.

    Splicing parts of different answers is therefore detectable.
    """

    def __init__(self, world, cfg):
        self.world = world
        self.cfg = cfg
        self.name = cfg.name
        self.alive = True
        self.attempts = {}
        self.starts = []
        self.silent_attempts = set()
        self.reorder_probability = 0.0

    def report(self):
        """Return a load report as an input of the core."""
        live = sum(
            1 for attempt in self.attempts.values() if not attempt["done"]
        )
        return LoadReportArrived(LoadReport(self.name, live, 0, 0))

    def start(self, node, call):
        """Start an attempt after its given prefix."""
        if not self.alive:
            lost = AttemptEnded(call.attempt_id, Ending.NOT_STARTED, "dead")
            self.world.after(0.002, lambda: node.feed(lost))
            return
        digest = start_digest(call.prompt)
        for token in call.prefix:
            digest = next_digest(digest, token)
        attempt = {
            "id": call.attempt_id,
            "tokens": list(call.prefix),
            "limit": call.max_tokens,
            "digest": digest,
            "done": False,
            "to": node,
            "gone": False,
        }
        self.attempts[call.attempt_id] = attempt
        self.starts.append((self.world.now, call))
        self.world.after(PREFILL_S, lambda: self.step(attempt))

    def resume(self, node, call):
        """Resume the stream of an attempt, if the attempt is known."""
        attempt = self.attempts.get(call.attempt_id)
        if attempt is None or not self.alive or attempt["gone"]:
            ended = AttemptEnded(call.attempt_id, Ending.NOT_STARTED, "gone")
            self.world.after(0.002, lambda: node.feed(ended))
            return
        self.silent_attempts.discard(call.attempt_id)
        attempt["to"] = node
        offset = len(call.prefix)
        self.send(attempt, offset, attempt["tokens"][offset:])

    def cancel(self, attempt_id):
        """Cancel an attempt."""
        attempt = self.attempts.get(attempt_id)
        if attempt is not None:
            attempt["gone"] = True

    def step(self, attempt):
        """Produce the next tokens and send them."""
        if not self.alive or attempt["gone"]:
            return
        offset = len(attempt["tokens"])
        for _ in range(min(TOKENS_PER_STEP, attempt["limit"] - offset)):
            token = next_token(self.name, attempt["digest"])
            attempt["tokens"].append(token)
            attempt["digest"] = next_digest(attempt["digest"], token)
        attempt["done"] = len(attempt["tokens"]) >= attempt["limit"]
        self.send(attempt, offset, attempt["tokens"][offset:])
        if not attempt["done"]:
            self.world.after(STEP_S, lambda: self.step(attempt))

    def send(self, attempt, offset, tokens):
        """Deliver a piece; it may be delayed, reordered or duplicated."""
        if attempt["id"] in self.silent_attempts:
            return
        piece = TokensArrived(
            attempt["id"], offset, tuple(tokens), attempt["done"]
        )
        node = attempt["to"]
        rng = self.world.rng
        reordered = rng.random() < self.reorder_probability
        delay = 0.001 + (rng.random() * 0.2 if reordered else 0.0)
        self.world.after(delay, lambda: node.feed(piece))
        if reordered:
            self.world.after(rng.random(), lambda: node.feed(piece))

    def die(self):
        """Stop the engine with its host; all open streams end."""
        self.alive = False
        for attempt in self.attempts.values():
            if not attempt["done"] and not attempt["gone"]:
                ended = AttemptEnded(attempt["id"], Ending.LOST, "host gone")
                attempt["to"].feed(ended)


class FakeService:
    """A service that executes every call it receives."""

    def __init__(self, world, cfg):
        self.world = world
        self.cfg = cfg
        self.alive = True
        self.executions = []
        self.never = 0.0
        self.late_s = 0.05

    def call(self, key):
        """Execute a call and return its delay, or None for no reply."""
        self.executions.append((self.world.now, key))
        if self.world.rng.random() < self.never:
            return None
        return self.late_s * (0.5 + self.world.rng.random())


class World:
    """A simulated deployment: gateways, log, engines, services, callers."""

    def __init__(self, cfg, seed, *, nodes=4):
        self.cfg = cfg
        self.seed = seed
        self.rng = Random(seed)
        self.now = 0.0
        self.timers = []
        self.sequence = count()
        self.serials = count(1)
        self.nodes = {}
        self.all_nodes = []
        self.partitions = set()
        self.last_delivery = {}
        self.events = Counter()
        self.calls = []
        self.profile_told = {}
        self.log = FakeLog(self)
        self.engines = {
            server.name: FakeEngine(self, server)
            for server in cfg.backend_servers
            if server.kind == "model"
        }
        self.services = {
            server.name: FakeService(self, server)
            for server in cfg.backend_servers
            if server.kind == "service"
        }
        for host in cfg.entry_hosts[:nodes]:
            self.start(host.name)

    @property
    def wall(self):
        """Return the wall clock in seconds."""
        return WALL_START + self.now

    def after(self, delay, function):
        """Schedule a function after a delay in virtual seconds."""
        timer = (self.now + delay, next(self.sequence), function)
        heappush(self.timers, timer)

    def run(self, seconds):
        """Advance virtual time by a number of seconds."""
        until = self.now + seconds
        while self.timers and self.timers[0][0] <= until:
            self.now, _, function = heappop(self.timers)
            function()
        self.now = until

    def run_until(self, check, *, limit):
        """Advance time until a check holds; return whether it did.

        The check is evaluated every 0.25 virtual seconds, up to the limit.
        """
        until = self.now + limit
        while self.now < until and not check():
            self.run(0.25)
        return bool(check())

    def start(self, name):
        """Start a new gateway process, with a new identity, on a host."""
        node = Node(self, self.cfg.entry_host(name), next(self.serials))
        self.nodes[name] = node
        self.all_nodes.append(node)
        return node

    def kill(self, name):
        """Kill a gateway process immediately."""
        self.nodes[name].alive = False

    def notice(self, host, seconds):
        """Notify every gateway of a reclaim and reclaim the host later."""
        for node in list(self.nodes.values()):
            delay = 0.05 + self.rng.random() * 0.3
            notice = HostLeaving(host, seconds)
            self.after(delay, lambda n=node, i=notice: n.feed(i))
        self.after(seconds, lambda: self.reclaim(host))

    def reclaim(self, host):
        """Reclaim a host: kill its engines, services and gateway."""
        for server in (*self.engines.values(), *self.services.values()):
            if server.cfg.host == host:
                server.alive = False
                if isinstance(server, FakeEngine):
                    server.die()
        if host in self.nodes:
            self.kill(host)

    def partition(self, one, other):
        """Drop all messages between two gateways."""
        self.partitions.add(frozenset((one, other)))

    def heal(self):
        """Heal all network partitions and log outages of single gateways."""
        self.partitions.clear()
        for node in self.nodes.values():
            node.log_unreachable = False

    def gateway_at(self, address):
        """Return the live gateway behind a peer or caller address."""
        for node in self.nodes.values():
            known = (node.host.peer_address, node.host.caller_address)
            if address in known and node.alive:
                return node
        return None

    def execute(self, node, command):
        """Execute a command of a core."""
        if isinstance(command, SendPeer):
            peer = node.state.peers.get(command.identity)
            if peer is not None:
                self.send(node, peer.peer_address, command.message)
        elif isinstance(command, SendAddress):
            self.send(node, command.address, command.message)
        elif isinstance(command, Append):
            self.log.append(node, command.stream, command.records)
        elif isinstance(command, StartAttempt):
            self.start_attempt(node, command)
        elif isinstance(command, ResumeAttempt):
            engine = self.engines[command.server]
            self.after(0.001, lambda: engine.resume(node, command.call))
        elif isinstance(command, CancelAttempt):
            engine = self.engines.get(command.server)
            if engine is not None:
                engine.cancel(command.attempt_id)
        elif isinstance(command, CallService):
            self.call_service(node, command)
        elif isinstance(command, QueryStatus):
            self.ask_status(node, command)
        elif isinstance(command, ProbePeer):
            self.probe(node, command)
        elif isinstance(command, WriteLog):
            self.events[command.event] += 1
        elif isinstance(command, Exit):
            node.in_progress_at_exit = count_in_progress(node.state)
            node.alive = False

    def send(self, node, address, message):
        """Deliver a message in order, unless the peers are partitioned."""
        target = self.gateway_at(address)
        if target is None or target is node:
            return
        if frozenset((node.host.name, target.host.name)) in self.partitions:
            return
        link = (node.identity, target.identity)
        at = max(
            self.now + 0.0005 + self.rng.random() * 0.0005,
            self.last_delivery.get(link, 0.0),
        )
        self.last_delivery[link] = at
        arrival = MessageArrived(node.identity, message)
        self.after(at - self.now, lambda: target.feed(arrival))

    def probe(self, node, command):
        """Probe a peer over a new connection and report the result."""
        target = self.gateway_at(command.address)
        reached = (
            target is not None
            and not target.frozen
            and frozenset((node.host.name, target.host.name))
            not in self.partitions
        )
        if reached:
            self.send(node, command.address, make_heartbeat(node.state))
        probe_result = PeerProbed(command.identity, reached)
        self.after(0.002 if reached else 0.5, lambda: node.feed(probe_result))

    def start_attempt(self, node, command):
        """Start an attempt on an engine, or call an idempotent service."""
        engine = self.engines.get(command.server)
        if engine is not None:
            self.after(0.001, lambda: engine.start(node, command.call))
            return
        service = self.services[command.server]
        attempt_id = command.call.attempt_id
        if not service.alive:
            ended = AttemptEnded(attempt_id, Ending.NOT_STARTED, "dead")
            self.after(0.002, lambda: node.feed(ended))
            return
        delay = service.call(command.call.request_id)
        if delay is None:
            ended = AttemptEnded(attempt_id, Ending.LOST, "timeout")
            self.after(5.0, lambda: node.feed(ended))
            return
        body = tuple(dumps({"key": command.call.request_id}).encode())
        piece = TokensArrived(attempt_id, 0, body, True)
        self.after(delay, lambda: node.feed(piece))

    def call_service(self, node, command):
        """Call a service for a claim."""
        service = self.services[command.server]

        def answer(ending, body=b""):
            node.feed(
                ServiceAnswered(
                    command.key,
                    command.submission,
                    command.epoch,
                    ending,
                    body,
                )
            )

        if not service.alive:
            self.after(0.002, lambda: answer(Ending.NOT_STARTED))
            return
        delay = service.call(command.key)
        if delay is None:
            self.after(5.0, lambda: answer(Ending.LOST))
            return
        body = dumps({"key": command.key}).encode()
        self.after(delay, lambda: answer(Ending.DONE, body))

    def ask_status(self, node, command):
        """Report whether a service has executed a key."""
        service = self.services[command.server]
        known = service.alive and any(
            key == command.key for _, key in service.executions
        )
        status = StatusAnswered(
            command.key,
            command.submission,
            command.epoch,
            known,
            known,
            dumps({"key": command.key}).encode(),
        )
        self.after(0.01, lambda: node.feed(status))

    def publish(self, name, spec, *, base, change_id):
        """Append a profile change, as an operator's command does."""
        change = ProfileChange(
            change_id, name, base, dumps(spec), "operator", self.wall
        )
        self.log.commit(PROFILE_STREAM, [Record(change_id, change)])

    def live(self):
        """Return the names of the gateways that respond to callers."""
        return [
            name
            for name, node in self.nodes.items()
            if node.alive and not node.frozen
        ]

    def call(
        self,
        profile,
        *,
        at="",
        key="",
        prompt="",
        account="",
        answer_tokens=20,
        raw_key="",
    ):
        """Submit a call at an entry host and poll it until it is done."""
        number = len(self.calls)
        account = account or self.cfg.client_accounts[0].name
        call = Call(
            name=f"c{number}",
            account=account,
            profile=profile,
            prompt=prompt or f"prompt {number} " * 60,
            key=raw_key or key and f"{int(self.wall)}-{key}",
            max_tokens=answer_tokens,
            body=b"",
        )
        content = {
            "prompt": call.prompt,
            "max_tokens": answer_tokens,
            "key": call.key,
        }
        call.body = dumps(content).encode()
        call.submitted_at = self.now
        self.calls.append(call)
        self.submit(call, at or self.rng.choice(self.live()))
        return call

    def submit(self, call, name):
        """Submit a call at an entry host; a retry reuses the call."""
        node = self.nodes[name]
        state = node.state
        request_id = state.next_id("q")
        node.feed(
            Submitted(
                request_id=request_id,
                account=call.account,
                profile=call.profile,
                body=call.body,
                prompt=call.prompt if not call.key else "",
                max_tokens=call.max_tokens,
                key=call.key,
            )
        )
        code = state.refusals.pop(request_id, None)
        if code is not None:
            call.codes.append(code)
            call.settled_at = self.now
            return
        call.request_id = request_id
        call.entry_host = name
        self.after(0.1, lambda: self.follow(call))

    def follow(self, call):
        """Poll a call every 0.1 s, moving to a live host when needed."""
        if call.done:
            return
        node = self.nodes.get(call.entry_host)
        if node is None or not node.alive or node.frozen:
            live = self.live()
            call.entry_host = (
                self.rng.choice(live) if live else call.entry_host
            )
            self.after(0.2, lambda: self.follow(call))
            return
        if call.key:
            self.follow_claim(call, node)
        else:
            self.follow_answer(call, node)
        if call.done:
            call.settled_at = self.now
            return
        self.after(0.1, lambda: self.follow(call))

    def follow_claim(self, call, node):
        """Ask one entry host for the result code of a claim."""
        name = ClaimId(call.account, call.key, body_digest(call.body))
        code = claim_code(node.state, name)
        if code is None:
            call.entry_host = self.rng.choice(self.live())
            return
        if not call.codes or call.code is not code:
            call.codes.append(code)

    def follow_answer(self, call, node):
        """Read an answer from the caller's position, or from the start.

        A reset is counted when the position is no longer valid.
        """
        req = node.state.requests.get(call.request_id)
        if req is None or req.role is not Role.OWNER:
            address = serving_address(node.state, call.request_id)
            target = self.gateway_at(address) if address else None
            names = [target.host.name] if target else self.live()
            call.entry_host = self.rng.choice(names)
            return
        start = resume_offset(req, call.last_event_id)
        if start < 0:
            call.resets += 1
            call.tokens = []
            start = 0
        end = len(req.tokens) if req.settled else req.released
        call.tokens += req.tokens[start:end]
        call.last_event_id = f"{req.epoch}.{req.owner}.{max(start, end)}"
        code = request_code(req)
        if not call.codes or call.code is not code:
            call.codes.append(code)

    def settle(self, *, limit=120.0):
        """Advance time until every call is done; return whether all are."""
        return self.run_until(
            lambda: all(call.done for call in self.calls), limit=limit
        )

    def attempts(self):
        """Return all attempts as (start time, engine, call)."""
        return [
            (at, engine, call)
            for engine in self.engines.values()
            for at, call in engine.starts
        ]

    def executions(self):
        """Return how often each key was executed by any service."""
        return Counter(
            key
            for service in self.services.values()
            for _, key in service.executions
        )

    def takeover_count(self):
        """Return the number of requests and claims taken over."""
        return (
            self.events[LogEvent.REQUEST_TAKEN_OVER]
            + self.events[LogEvent.CLAIM_TAKEN_OVER]
        )
