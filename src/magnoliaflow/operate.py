"""What the operator's commands do: profiles, status, explain."""

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

Steps = Generator[Deferred[Any], Any, Any]
ADAPTER_MODULES = (httpports,)
CALL_TIMEOUT_S = 3.0
WAIT_POLL_S = 0.1


class ExitCode(IntEnum):
    """Exit codes of the command line."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    PENDING = 4


DECISION_EXITS = {
    Decision.IN_FORCE: ExitCode.OK,
    Decision.CONFLICT: ExitCode.CONFLICT,
    Decision.PENDING: ExitCode.PENDING,
}


def open_reader(cfg: Settings) -> ProfileReader:
    """Return a reader of the profile stream."""
    port = open_port(cfg.platform.adapter, "log", cfg.platform.log)
    return ProfileReader(port)


@inlineCallbacks
def publish_file(
    cfg: Settings,
    path: Path,
    *,
    base_version: int | None,
    wait: bool,
) -> Steps:
    """Publish every profile in a YAML file; the worst exit code counts."""
    try:
        specs = safe_load(path.read_text())
    except OSError as exc:
        raise MagnoliaflowError(f"{path}: {exc.strerror}") from exc
    texts = {name: dumps(spec) for name, spec in specs.items()}
    for name, text in texts.items():
        parse_spec(name, text)
    worst = ExitCode.OK
    for name, text in texts.items():
        reader = open_reader(cfg)
        decision = yield publish_change(
            reader,
            name=name,
            spec=text,
            operator=getuser(),
            base_version=base_version,
        )
        print(
            f"{name}: {decision.value}, "
            f"version {reader.profile_table.version(name)}"
        )
        worst = max(worst, DECISION_EXITS[decision])
    if wait and worst is ExitCode.OK:
        yield show_spread(cfg, reader.next_offset - 1)
    return worst


@inlineCallbacks
def show_spread(cfg: Settings, offset: int, *, limit_s: float = 19.0) -> Steps:
    """Wait until every entry host has applied an offset; print each."""
    start = reactor.seconds()
    missing = {host.name for host in cfg.entry_hosts}
    while missing:
        views = yield fetch_all(cfg, "/v1/status")
        waited = reactor.seconds() - start
        for name in sorted(missing):
            view = views.get(name)
            if view and view["applied"][PROFILE_STREAM] >= offset:
                missing.discard(name)
                print(f"{name}: applied after {waited:.2f} s")
        if waited > limit_s:
            print(f"not applied: {', '.join(sorted(missing))}")
            return
        yield deferLater(reactor, WAIT_POLL_S)


@inlineCallbacks
def get_profile(cfg: Settings, name: str) -> Steps:
    """Print one profile as the log's order leaves it."""
    book = yield open_reader(cfg).read_all()
    entry = book.entries.get(name)
    if entry is None or not entry.spec:
        print(f"profile {name!r} is not in force; see profile list")
        return ExitCode.FAILED
    print(f"# version {entry.version}")
    print(dumps(loads(entry.spec), indent=2, sort_keys=True))
    return ExitCode.OK


@inlineCallbacks
def list_profiles(cfg: Settings) -> Steps:
    """Print every profile with its version."""
    book = yield open_reader(cfg).read_all()
    for name, entry in sorted(book.entries.items()):
        state = "in force" if entry.spec else "withdrawn"
        print(f"{name}\tversion {entry.version}\t{state}")
    return ExitCode.OK


@inlineCallbacks
def diff_profiles(cfg: Settings, path: Path) -> Steps:
    """Print how a file differs from what is in force."""
    book = yield open_reader(cfg).read_all()
    specs = safe_load(path.read_text())
    for name, spec in specs.items():
        entry = book.entries.get(name)
        old = loads(entry.spec) if entry and entry.spec else {}
        rows = unified_diff(
            dumps(old, indent=2, sort_keys=True).splitlines(),
            dumps(spec, indent=2, sort_keys=True).splitlines(),
            f"{name} in force",
            f"{name} in {path.name}",
            lineterm="",
        )
        for row in rows:
            print(row)
    return ExitCode.OK


@inlineCallbacks
def profile_history(cfg: Settings, name: str) -> Steps:
    """Print the changes of a profile that the log still keeps."""
    reader = open_reader(cfg)
    yield reader.read_all()
    for entry in reader.history:
        change = entry.change
        if name in ("", change.name):
            verdict = "in force" if entry.took_effect else "conflict"
            print(
                f"{entry.offset}\t{change.name}\tbase {change.base_version}"
                f"\t{change.operator}\t{verdict}"
            )
    return ExitCode.OK


@inlineCallbacks
def fetch_all(cfg: Settings, path: str) -> Steps:
    """Return each gateway's JSON by host name; silent ones are left out."""
    token = cfg.read_token(cfg.operator_token_file).decode()
    views: dict[str, Any] = {}
    for host in cfg.entry_hosts:
        url = f"http://{host.caller_address}{path}"
        try:
            reply = yield treq.get(
                url,
                headers={"Authorization": f"Bearer {token}"},
                agent=make_agent(persistent=False),
                timeout=CALL_TIMEOUT_S,
            )
            text = yield treq.content(reply)
        except Exception:
            views[host.name] = None
            continue
        if reply.code != 200:
            raise PortError(f"{host.name}: status {reply.code}")
        views[host.name] = loads(text)
    return views


@inlineCallbacks
def show_status(cfg: Settings) -> Steps:
    """Print every gateway as JSON."""
    views = yield fetch_all(cfg, "/v1/status")
    print(dumps(views, indent=2, sort_keys=True))
    return ExitCode.OK if any(views.values()) else ExitCode.FAILED


@inlineCallbacks
def explain_request(cfg: Settings, request_id: str) -> Steps:
    """Print the steps of a request from every gateway, in time order."""
    views = yield fetch_all(cfg, f"/v1/explain/{request_id}")
    rows = [
        (step["at"], view["identity"], step["what"], step["details"])
        for view in views.values()
        if view
        for step in view["steps"]
    ]
    for at, identity, what, details in sorted(rows, key=lambda row: row[0]):
        parts = " ".join(f"{name}={value}" for name, value in details.items())
        print(f"{at:.3f} {identity} {what} {parts}")
    if not rows:
        print(f"no gateway remembers {request_id!r}")
    return ExitCode.OK if rows else ExitCode.FAILED
