"""Measure how time, memory and message sizes scale with the deployment.

With --fleet, also run real gateways and measure their CPU time.
"""

from argparse import ArgumentParser
from dataclasses import replace
from json import dumps
from os import sysconf
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from time import perf_counter
from time import sleep
import tracemalloc

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer
from twisted.internet.defer import gatherResults
from twisted.internet.defer import inlineCallbacks
from yaml import safe_dump
from yaml import safe_load

from magnoliaflow.cluster.profiles import parse_spec
from magnoliaflow.cluster.profiles import ProfileTable
from magnoliaflow.common.blocks import prefix_blocks
from magnoliaflow.common.codec import decode_record
from magnoliaflow.common.codec import encode_record
from magnoliaflow.common.codec import message_to_wire
from magnoliaflow.common.messages import Extend
from magnoliaflow.common.messages import Heartbeat
from magnoliaflow.common.messages import HoldAck
from magnoliaflow.common.records import Accept
from magnoliaflow.common.records import Dispatch
from magnoliaflow.common.records import Outcome
from magnoliaflow.common.records import ProfileChange
from magnoliaflow.common.records import Record
from magnoliaflow.common.settingsfile import load_settings
from magnoliaflow.core.inputs import MessageArrived
from magnoliaflow.core.inputs import RecordAtOffset
from magnoliaflow.core.inputs import RecordsRead
from magnoliaflow.core.inputs import Submitted
from magnoliaflow.core.inputs import TokensArrived
from magnoliaflow.core.state import GatewayState
from magnoliaflow.core.state import PROFILE_STREAM
from magnoliaflow.daemons.gatewaycore import open_core
from magnoliaflow.policy.engines import new_engine
from magnoliaflow.policy.prefixes import PrefixIndex
from magnoliaflow.policy.routing import choose
from magnoliaflow.policy.routing import find_policy
from magnoliaflow.policy.routing import RoutingRequest
from magnoliaflow.work.claims import ClaimTable
from magnoliaflow_standins.fleet import LocalFleet
from magnoliaflow_standins.fleet import run_in_reactor
from magnoliaflow_standins.fleet import start_reactor
from magnoliaflow_standins.fleet import write_settings

ROOT = Path(__file__).parent.parent
ENGINE_COUNTS = (10, 100, 1000, 7400)
PEER_COUNTS = (4, 40, 410)
REQUEST_COUNTS = (10, 100, 1000, 10_000)
SPEC = dumps(
    {
        "target": "model",
        "idempotent": True,
        "deadline_s": 60,
        "backend": "repair-model",
        "max_tokens": 2000,
    }
)


def make_state(*, engines=10):
    """Return a gateway's state with the given number of engines."""
    cfg = load_settings(ROOT / "examples/repair-office.yaml")
    model = cfg.backend_servers[0]
    servers = tuple(
        replace(model, name=f"e{number}", host=f"h{number}")
        for number in range(engines)
    )
    cfg = replace(cfg, backend_servers=servers)
    return GatewayState(
        cfg=cfg,
        host=cfg.entry_hosts[0],
        identity="entry-1-0",
        rng=Random(1),
        now=0.0,
        wall=1.7e9,
    )


def seconds_per_call(function, count):
    """Return the mean seconds per call, the fastest of three rounds."""
    fastest = 1e9
    for _ in range(3):
        start = perf_counter()
        for number in range(count):
            function(number)
        fastest = min(fastest, (perf_counter() - start) / count)
    return fastest


def bytes_per_item(make, count):
    """Return the mean memory in bytes of one item."""
    tracemalloc.start()
    items = [make(number) for number in range(count)]
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del items
    return used / count


def measure_decisions():
    """Return the seconds per routing decision by number of engines."""
    result = {}
    function = find_policy("expected_cost")
    for count in ENGINE_COUNTS:
        state = make_state(engines=count)
        names = list(state.routing.engines)
        rng = Random(2)
        prompts = [
            prefix_blocks(f"document {number} " * 800) for number in range(50)
        ]
        for blocks in prompts:
            state.routing.prefixes.add(rng.choice(names), blocks, 0.0)
        needs = [
            RoutingRequest("r", "repair-model", blocks, 3000, 100, 1.8, 0.035)
            for blocks in prompts
        ]
        result[count] = seconds_per_call(
            lambda n: choose(state.routing, needs[n % 50], function, 1.0), 2000
        )
    return result


def measure_ticks():
    """Return the seconds per idle tick by engines, requests and peers."""
    result = {"engines": {}, "requests": {}, "peers": {}}
    for count in ENGINE_COUNTS:
        core = open_core(make_state(engines=count))
        result["engines"][count] = idle_tick(core)
    for count in REQUEST_COUNTS:
        core = core_with_requests(count)
        result["requests"][count] = idle_tick(core)
    for count in PEER_COUNTS:
        core = open_core(make_state())
        for number in range(count):
            core.receive(peer_heartbeat(number), now=0.0, wall=1.7e9)
        result["peers"][count] = idle_tick(core)
    return result


def idle_tick(core):
    """Return the seconds of a tick in which nothing has changed."""
    core.tick(now=0.01, wall=1.7e9)
    return seconds_per_call(lambda n: core.tick(now=0.02, wall=1.7e9), 2000)


def peer_heartbeat(number):
    """Return a peer's heartbeat as an input of the core."""
    return MessageArrived(
        f"p{number}",
        Heartbeat(
            identity=f"p{number}",
            host=f"ph{number}",
            zone=f"z{number % 8}",
            state=1,
            caller_address="10.0.0.1:80",
            peer_address=f"10.0.{number // 250}.{number % 250}:81",
            applied={"profiles": 10, "claims-0": 10},
            notices=(),
            in_flight=3,
        ),
    )


def profile_change_input(state):
    """Return the input that puts a profile into effect."""
    change = ProfileChange("c", "p", 0, SPEC, "op", 1.7e9)
    return RecordsRead(
        PROFILE_STREAM, (RecordAtOffset(0, Record("c", change)),), 1
    )


def core_with_requests(count):
    """Return a core with the given number of requests in progress."""
    state = make_state(engines=200)
    core = open_core(state)
    core.receive(peer_heartbeat(1), now=0.0, wall=1.7e9)
    core.receive(profile_change_input(state), now=0.0, wall=1.7e9)
    state.cfg = replace(
        state.cfg, limits=replace(state.cfg.limits, open_requests=100_000)
    )
    for number in range(count):
        core.receive(submitted_input(number), now=0.0, wall=1.7e9)
        ack = HoldAck(f"q{number}", 0, state.identity, 0, False)
        core.receive(MessageArrived("p1", ack), now=0.0, wall=1.7e9)
    core.tick(now=0.0, wall=1.7e9)
    return core


def submitted_input(number):
    """Return the input that submits a small request."""
    return Submitted(
        request_id=f"q{number}",
        account="north-counter",
        profile="p",
        body=b'{"prompt": "text"}',
        prompt="text",
        max_tokens=1000,
        key="",
    )


def measure_token_path():
    """Return the core's seconds per piece, with replication and ack."""
    core = core_with_requests(100)
    state = core.state
    attempts = list(state.attempts.rows.values())[:100]

    def receive_piece(number):
        attempt = attempts[number % len(attempts)]
        req = state.requests.rows[attempt.request_id]
        offset = len(req.tokens)
        piece = TokensArrived(attempt.attempt_id, offset, (7,), False)
        core.receive(piece, now=0.1, wall=1.7e9)
        ack = HoldAck(req.request_id, 0, state.identity, offset + 1, False)
        core.receive(MessageArrived("p1", ack), now=0.1, wall=1.7e9)
        core.tick(now=0.1, wall=1.7e9)

    return seconds_per_call(receive_piece, 3000)


def measure_submission():
    """Return the core's seconds to receive one request."""
    core = core_with_requests(1)
    return seconds_per_call(
        lambda n: core.receive(submitted_input(1000 + n), now=0.0, wall=1.7e9),
        1000,
    )


def measure_records():
    """Return the size of records and the time to code and apply them."""
    accept = Record(
        "r-entry-1-0-1",
        Accept("a/1-k", "s-1", "entry-1-0", "a", "p", b"x" * 200, 1.7e9),
    )
    data = encode_record(accept)
    claim_table = ClaimTable()

    def apply_claim(number):
        key = f"a/1700000000-{claim_table.applied}"
        offset = claim_table.applied + 1
        claim_table.apply(offset, Accept(key, "s", "o", "a", "p", b"", 1.7e9))
        claim_table.apply(offset + 1, Dispatch(key, "s", "o", 0, 1.7e9))
        claim_table.apply(offset + 2, Outcome(key, "s", 0, 1000, b"", 1.7e9))

    profile_table = ProfileTable()

    def apply_profile_change(number):
        version = profile_table.version("p")
        record = ProfileChange(f"c{version}", "p", version, SPEC, "o", 1.7e9)
        profile_table.apply(profile_table.applied + 1, record)

    return {
        "accept_bytes": len(data),
        "profile_change_bytes": len(
            encode_record(
                Record("c", ProfileChange("c", "p", 1, SPEC, "op", 1.7e9))
            )
        ),
        "encode_s": seconds_per_call(lambda n: encode_record(accept), 3000),
        "decode_s": seconds_per_call(lambda n: decode_record(data), 3000),
        "apply_claim_s": seconds_per_call(apply_claim, 2000),
        "apply_profile_s": seconds_per_call(apply_profile_change, 1000),
    }


def wire_bytes(message):
    """Return the encoded size of a peer message in bytes."""
    buffer = TMemoryBuffer()
    message_to_wire(message).write(
        TCompactProtocolAccelerated(buffer, fallback=True)
    )
    return len(buffer.getvalue())


def replication_message():
    """Return a message that replicates one token to the standby."""
    identity = "entry-1-0a1b2c3d"
    return Extend(
        f"q-{identity}-123", 0, identity, 50, (7,), "e1", f"a-{identity}-9"
    )


REPLICATION_ACK = HoldAck(
    "q-entry-1-0a1b2c3d-123", 0, "entry-1-0a1b2c3d", 51, False
)


def measure_memory():
    """Return the bytes of memory per item of each kind."""
    state = make_state()
    server = state.cfg.backend_servers[0]
    many_engines_state = make_state(engines=200)
    core = open_core(many_engines_state)
    core.receive(peer_heartbeat(1), now=0.0, wall=1.7e9)
    core.receive(profile_change_input(many_engines_state), now=0.0, wall=1.7e9)
    prefix_index = PrefixIndex(capacity=10**9)
    claim_table = ClaimTable()
    peers_core = open_core(make_state())
    return {
        "engine": bytes_per_item(
            lambda n: new_engine(replace(server, name=f"e{n}")), 2000
        ),
        "request": bytes_per_item(
            lambda n: core.receive(submitted_input(n), now=0.0, wall=1.7e9),
            2000,
        ),
        "prefix_block": bytes_per_item(
            lambda n: prefix_index.add(f"e{n % 20}", (n * 7919,), 0.0), 20_000
        ),
        "claim": bytes_per_item(
            lambda n: claim_table.apply(
                n,
                Accept(
                    f"a/1700000000-{n}", f"s{n}", "o", "a", "p", b"", 1.7e9
                ),
            ),
            5000,
        ),
        "peer": bytes_per_item(
            lambda n: peers_core.receive(
                peer_heartbeat(n), now=0.0, wall=1.7e9
            ),
            1000,
        ),
        "profile": bytes_per_item(lambda n: parse_spec(f"p{n}", SPEC), 2000),
    }


def cpu_time_s(process):
    """Return the CPU time of a process in seconds."""
    parts = Path(f"/proc/{process.pid}/stat").read_text().split()
    ticks = int(parts[13]) + int(parts[14])
    return ticks / sysconf("SC_CLK_TCK")


def resident_mb(process):
    """Return the resident memory of a process in megabytes."""
    pages = Path(f"/proc/{process.pid}/statm").read_text().split()[1]
    return int(pages) * sysconf("SC_PAGE_SIZE") / 1e6


def gateway_processes(fleet):
    """Return the gateway processes of a fleet."""
    return [
        process
        for name, process in fleet.processes.items()
        if name.startswith("gateway")
    ]


def add_entry_hosts(path, count):
    """Replace the entry hosts of a settings file by a number of hosts."""
    settings = safe_load(path.read_text())
    first = settings["entry_hosts"][0]
    settings["entry_hosts"] = [
        {
            **first,
            "name": f"entry-{number + 1}",
            "zone": ("gauteng-a", "gauteng-b", "gauteng-c")[number % 3],
            "address": f"127.0.1.{number + 1}",
        }
        for number in range(count)
    ]
    path.write_text(safe_dump(settings, sort_keys=False))


def measure_idle_gateways(count, seconds=10.0):
    """Return the mean CPU share and memory of idle real gateways."""
    with TemporaryDirectory() as folder:
        path = write_settings(
            ROOT / "examples/repair-office.yaml",
            Path(folder),
            engines=3,
            services=1,
        )
        add_entry_hosts(path, count)
        fleet = LocalFleet(path)
        try:
            fleet.start_platform()
            for server in fleet.cfg.backend_servers:
                fleet.start_server(server.name)
            fleet.wait_for_standins()
            for host in fleet.cfg.entry_hosts:
                fleet.start_daemon("gateway", host.name)
            fleet.wait_for_gateways()
            cpu_before = [
                cpu_time_s(process) for process in gateway_processes(fleet)
            ]
            sleep(seconds)
            cpu_after = [
                cpu_time_s(process) for process in gateway_processes(fleet)
            ]
            used = [end - start for start, end in zip(cpu_before, cpu_after)]
            memory = [
                resident_mb(process) for process in gateway_processes(fleet)
            ]
            return {
                "core_share": sum(used) / len(used) / seconds,
                "resident_mb": sum(memory) / len(memory),
            }
        finally:
            fleet.stop_all()


def measure_streams(streams=24, tokens=200):
    """Return the CPU time of real gateways per released token."""
    with TemporaryDirectory() as folder:
        path = write_settings(
            ROOT / "examples/repair-office.yaml",
            Path(folder),
            engines=5,
            services=1,
        )
        fleet = LocalFleet(path)
        try:
            fleet.start()
            profiles = ROOT / "examples/repair-profiles.yaml"
            fleet.run_command("profile", "publish", str(profiles))
            cpu_before_s = sum(
                cpu_time_s(process) for process in gateway_processes(fleet)
            )
            start = perf_counter()
            tokens_read = run_in_reactor(
                lambda: run_streams(fleet, streams, tokens)
            )
            elapsed_s = perf_counter() - start
            cpu_after_s = sum(
                cpu_time_s(process) for process in gateway_processes(fleet)
            )
            return {
                "streams": streams,
                "tokens": tokens_read,
                "seconds": elapsed_s,
                "processor_s_per_token": (cpu_after_s - cpu_before_s)
                / tokens_read,
            }
        finally:
            fleet.stop_all()


@inlineCallbacks
def run_streams(fleet, streams, tokens):
    """Stream answers concurrently and return the number of tokens."""

    @inlineCallbacks
    def stream_answer(number):
        client = fleet.client("north-counter")
        answer = yield client.submit(
            "quote-draft", prompt=f"question {number} " * 20, max_tokens=tokens
        )
        yield client.stream(answer)
        return len(answer.tokens)

    token_counts = yield gatherResults(
        [stream_answer(number) for number in range(streams)]
    )
    return sum(token_counts)


def main():
    """Run all measurements and write the results as JSON."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--fleet", action="store_true")
    parser.add_argument("--out", type=Path, default=ROOT / "run")
    args = parser.parse_args()
    result = {
        "decision_s": measure_decisions(),
        "idle_tick_s": measure_ticks(),
        "token_piece_s": measure_token_path(),
        "submission_s": measure_submission(),
        "records": measure_records(),
        "heartbeat_bytes": wire_bytes(peer_heartbeat(1).message),
        "token_copy_bytes": wire_bytes(replication_message())
        + wire_bytes(REPLICATION_ACK),
        "memory_bytes": measure_memory(),
    }
    if args.fleet:
        start_reactor()
        result["idle_gateways"] = {
            count: measure_idle_gateways(count) for count in (4, 24)
        }
        result["streams"] = measure_streams()
    args.out.mkdir(exist_ok=True)
    (args.out / "slopes.json").write_text(dumps(result, indent=1))
    print(dumps(result, indent=1))


if __name__ == "__main__":
    main()
