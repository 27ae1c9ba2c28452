"""Operator commands: profiles, status and explain."""

from collections.abc import Generator
from difflib import unified_diff
from enum import IntEnum
from getpass import getuser
from json import dumps
from json import loads
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater
from yaml import safe_load

from magnoliaflow.adapters import httpports
from magnoliaflow.adapters.httpports import make_agent
from magnoliaflow.cluster.profiles import Decision
from magnoliaflow.cluster.profiles import parse_spec
from magnoliaflow.common.errors import MagnoliaflowError
from magnoliaflow.common.errors import PortError
from magnoliaflow.common.loop import reactor
from magnoliaflow.common.ports import open_port
from magnoliaflow.common.settings import Settings
from magnoliaflow.common.webclient import treq
from magnoliaflow.core.state import PROFILE_STREAM
from magnoliaflow.daemons.publish import ProfileReader
from magnoliaflow.daemons.publish import publish_change
from magnoliaflow.transport.client import fetch

DeferredGenerator = Generator[Deferred[Any], Any, Any]
ADAPTER_MODULES = (httpports,)  # importing them registers the adapters
CALL_TIMEOUT_S = 3.0
STATUS_POLL_INTERVAL_S = 0.1


class ExitCode(IntEnum):
    """Exit codes of the command line."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    PENDING = 4


DECISION_EXIT_CODES = {
    Decision.IN_FORCE: ExitCode.OK,
    Decision.CONFLICT: ExitCode.CONFLICT,
    Decision.PENDING: ExitCode.PENDING,
}


def open_reader(cfg: Settings) -> ProfileReader:
    """Return a reader of the log's profile stream."""
    port = open_port(cfg.platform.adapter, "log", cfg.platform.log)
    return ProfileReader(port)


@inlineCallbacks
def publish_file(
    cfg: Settings,
    path: Path,
    *,
    base_version: int | None,
    wait: bool,
) -> DeferredGenerator:
    """Publish every profile in a YAML file; return the highest exit code."""
    try:
        specs = safe_load(path.read_text())
    except OSError as exc:
        raise MagnoliaflowError(f"{path}: {exc.strerror}") from exc
    encoded_specs = {name: dumps(spec) for name, spec in specs.items()}
    for name, encoded_spec in encoded_specs.items():
        parse_spec(name, encoded_spec)
    exit_code = ExitCode.OK
    for name, encoded_spec in encoded_specs.items():
        reader = open_reader(cfg)
        decision = yield publish_change(
            reader,
            name=name,
            spec=encoded_spec,
            operator=getuser(),
            base_version=base_version,
        )
        print(
            f"{name}: {decision.value}, "
            f"version {reader.profile_table.version(name)}"
        )
        exit_code = max(exit_code, DECISION_EXIT_CODES[decision])
    if wait and exit_code is ExitCode.OK:
        yield wait_until_applied(cfg, reader.position - 1)
    return exit_code


@inlineCallbacks
def wait_until_applied(
    cfg: Settings, offset: int, *, timeout_s: float = 19.0
) -> DeferredGenerator:
    """Wait until every entry host has applied an offset of the log.

    Prints each host as it catches up and, after a timeout, those that
    have not.
    """
    start = reactor.seconds()
    missing = {host.name for host in cfg.entry_hosts}
    while missing:
        statuses = yield fetch_all(cfg, "/v1/status")
        elapsed_s = reactor.seconds() - start
        for name in sorted(missing):
            status = statuses.get(name)
            if status and status["applied"][PROFILE_STREAM] >= offset:
                missing.discard(name)
                print(f"{name}: applied after {elapsed_s:.2f} s")
        if elapsed_s > timeout_s:
            print(f"not applied: {', '.join(sorted(missing))}")
            return
        yield deferLater(reactor, STATUS_POLL_INTERVAL_S)


@inlineCallbacks
def get_profile(cfg: Settings, name: str) -> DeferredGenerator:
    """Print the profile that is in force under a name."""
    profile_table = yield open_reader(cfg).read_all()
    entry = profile_table.entries.get(name)
    if entry is None or not entry.spec:
        print(f"profile {name!r} is not in force; see profile list")
        return ExitCode.FAILED
    print(f"# version {entry.version}")
    print(dumps(loads(entry.spec), indent=2, sort_keys=True))
    return ExitCode.OK


@inlineCallbacks
def list_profiles(cfg: Settings) -> DeferredGenerator:
    """Print every profile with its version."""
    profile_table = yield open_reader(cfg).read_all()
    for name, entry in sorted(profile_table.entries.items()):
        state = "in force" if entry.spec else "withdrawn"
        print(f"{name}\tversion {entry.version}\t{state}")
    return ExitCode.OK


@inlineCallbacks
def diff_profiles(cfg: Settings, path: Path) -> DeferredGenerator:
    """Print the differences between a file and the profiles in force."""
    profile_table = yield open_reader(cfg).read_all()
    specs = safe_load(path.read_text())
    for name, spec in specs.items():
        entry = profile_table.entries.get(name)
        current_spec = loads(entry.spec) if entry and entry.spec else {}
        diff_lines = unified_diff(
            dumps(current_spec, indent=2, sort_keys=True).splitlines(),
            dumps(spec, indent=2, sort_keys=True).splitlines(),
            f"{name} in force",
            f"{name} in {path.name}",
            lineterm="",
        )
        for line in diff_lines:
            print(line)
    return ExitCode.OK


@inlineCallbacks
def profile_history(cfg: Settings, name: str) -> DeferredGenerator:
    """Print the changes of a profile that the log still holds.

    An empty name selects every profile.
    """
    reader = open_reader(cfg)
    yield reader.read_all()
    for entry in reader.history:
        change = entry.change
        if name in ("", change.name):
            outcome = "in force" if entry.took_effect else "conflict"
            print(
                f"{entry.offset}\t{change.name}\tbase {change.base_version}"
                f"\t{change.operator}\t{outcome}"
            )
    return ExitCode.OK


@inlineCallbacks
def fetch_all(cfg: Settings, path: str) -> DeferredGenerator:
    """Return each gateway's JSON by host name.

    A gateway that cannot be reached is mapped to None.  Raises PortError
    for a status other than 200.
    """
    token = cfg.read_token(cfg.operator_token_file).decode()
    replies: dict[str, Any] = {}
    for host in cfg.entry_hosts:
        url = f"http://{host.caller_address}{path}"
        try:
            response = yield treq.get(
                url,
                headers={"Authorization": f"Bearer {token}"},
                agent=make_agent(persistent=False),
                timeout=CALL_TIMEOUT_S,
            )
            text = yield treq.content(response)
        except Exception:
            replies[host.name] = None
            continue
        if response.code != 200:
            raise PortError(f"{host.name}: status {response.code}")
        replies[host.name] = loads(text)
    return replies


@inlineCallbacks
def show_status(cfg: Settings) -> DeferredGenerator:
    """Print the status of every gateway as JSON."""
    statuses = yield fetch_all(cfg, "/v1/status")
    print(dumps(statuses, indent=2, sort_keys=True))
    return ExitCode.OK if any(statuses.values()) else ExitCode.FAILED


@inlineCallbacks
def explain_entry(address: str, name: str) -> DeferredGenerator:
    """Print what an entry process holds back, all or that with a name.

    Raises PortError if the process at ``IP:PORT`` does not answer.
    """
    reply = yield fetch(
        address, b"GET", b"/explain", timeout_s=float(CALL_TIMEOUT_S)
    )
    rows = [
        {"kind": kind, **row}
        for kind, group in loads(reply.body).items()
        for row in group
    ]
    found = [row for row in rows if not name or name in dumps(row)]
    for row in found:
        print(" ".join(f"{key}={value}" for key, value in row.items()))
    if not found:
        print(f"nothing is held back here by the name {name!r}")
    return ExitCode.OK if found or not name else ExitCode.FAILED


@inlineCallbacks
def explain_request(cfg: Settings, request_id: str) -> DeferredGenerator:
    """Print the steps that gateways recorded for a request, by time."""
    replies = yield fetch_all(cfg, f"/v1/explain/{request_id}")
    steps = [
        (step["at"], reply["identity"], step["what"], step["details"])
        for reply in replies.values()
        if reply
        for step in reply["steps"]
    ]
    for at, identity, what, details in sorted(steps, key=lambda step: step[0]):
        fields = " ".join(f"{name}={value}" for name, value in details.items())
        print(f"{at:.3f} {identity} {what} {fields}")
    if not steps:
        print(f"no gateway has a record of {request_id!r}")
    return ExitCode.OK if steps else ExitCode.FAILED
