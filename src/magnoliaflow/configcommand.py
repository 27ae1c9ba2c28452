"""The command ``config check``: reads a file and prints what it finds."""

from collections.abc import Iterator
from collections import Counter
from dataclasses import asdict
from json import dumps
from pathlib import Path
from typing import Any

from twisted.internet.defer import inlineCallbacks

from magnoliaflow.cluster.hostsettings import HostSettings
from magnoliaflow.common.endpoints import is_endpoint
from magnoliaflow.common.errors import FormatError
from magnoliaflow.common.errors import PortError
from magnoliaflow.common.errors import SettingsError
from magnoliaflow.common.settings import Settings
from magnoliaflow.common.settingsfile import load_settings
from magnoliaflow.operate import ExitCode
from magnoliaflow.platform.document import decode_document
from magnoliaflow.platform.documentcheck import check_document
from magnoliaflow.platform.nodefile import read_host_settings
from magnoliaflow.platform.store import CONFIG_KEY
from magnoliaflow.platform.store import CONFIG_TOPIC
from magnoliaflow.platform.store import StoreClient
from magnoliaflow.policy.configcheck import check_successor
from magnoliaflow.policy.configcheck import check_table
from magnoliaflow.policy.configcheck import Finding
from magnoliaflow.policy.configdiff import Change
from magnoliaflow.policy.configdiff import compare_tables
from magnoliaflow.policy.routes import RouteTable

LIVE_TIMEOUT_S = 3.0
YAML_SUFFIXES = (".yaml", ".yml")


def check_file(path: Path, *, host: Path | None, as_json: bool) -> ExitCode:
    """Check a file of any format, print the findings, return the exit code.

    ``host`` is a settings file of a host that the configuration is for.
    Raises SettingsError if a file cannot be read.
    """
    if path.suffix in YAML_SUFFIXES:
        settings = load_settings(path)
        title = f"settings of {settings.deployment}"
        return _print(path, title, [*check_settings(settings)], [], as_json)
    if not _is_document(path):
        host_settings = read_host_settings(path)
        title = f"settings of host {host_settings.host}"
        return _print(path, title, [*check_host(host_settings)], [], as_json)
    table, findings = _read_document(path)
    if table is not None:
        findings += check_table(table)
        if host is not None:
            findings += check_budget(table, read_host_settings(host))
    title = _title(table)
    return _print(path, title, findings, [], as_json)


def compare_file(
    path: Path, against: Path, *, host: Path | None, as_json: bool
) -> ExitCode:
    """Check a configuration and print what it changes in another one."""
    in_force, _ = _read_document(against)
    if in_force is None:
        raise SettingsError(
            f"{against}: hosts do not apply it; name a valid configuration"
        )
    return _compare(path, in_force, host, as_json)


@inlineCallbacks
def compare_live(
    path: Path, address: str, *, host: Path | None, as_json: bool
) -> Any:
    """Check a configuration against the one in force in a store.

    Nothing is written.  Raises SettingsError if none can be read there.
    """
    if not is_endpoint(address):
        raise SettingsError(f"{address!r} is not IP:PORT; correct it")
    store = StoreClient(address, timeout_s=LIVE_TIMEOUT_S)
    try:
        page = yield store.read_newest(CONFIG_TOPIC)
    except PortError as exc:
        raise SettingsError(f"store at {address}: {exc}") from exc
    values = [
        entry.value
        for entry in page.entries
        if entry.key == CONFIG_KEY and entry.value is not None
    ]
    if not values:
        raise SettingsError(f"{address}: no configuration is in force there")
    try:
        in_force = decode_document(values[-1])
    except FormatError as exc:
        raise SettingsError(f"store at {address}: {exc}") from exc
    return _compare(path, in_force, host, as_json)


def _compare(
    path: Path, in_force: RouteTable, host: Path | None, as_json: bool
) -> ExitCode:
    table, findings = _read_document(path)
    changes: list[Change] = []
    if table is not None:
        findings += check_table(table) + check_successor(table, in_force)
        if host is not None:
            findings += check_budget(table, read_host_settings(host))
        changes = compare_tables(table, in_force)
    return _print(path, _title(table), findings, changes, as_json)


def _title(table: RouteTable | None) -> str:
    version = "" if table is None else f" {table.version}"
    return f"entries of configuration{version}"


def _is_document(path: Path) -> bool:
    return _read(path).lstrip().startswith(b"{")


def _read_document(path: Path) -> tuple[RouteTable | None, list[Finding]]:
    try:
        return check_document(_read(path))
    except FormatError as exc:
        raise SettingsError(f"{path}: {exc}") from exc


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as exc:
        raise SettingsError(f"{path}: {exc.strerror}") from exc


def check_settings(settings: Settings) -> Iterator[Finding]:
    """Find entries and times of a deployment's settings that conflict."""
    ports = Counter(
        (host.address, port)
        for host in settings.entry_hosts
        for port in (
            host.caller_port,
            host.peer_port,
            host.metrics_port,
            host.controller_port,
        )
    )
    for (address, port), count in ports.items():
        if count > 1:
            yield Finding(
                "port-shared",
                "entry_hosts",
                f"{address}:{port} is used {count} times; choose another port",
            )
    addresses = Counter(server.address for server in settings.backend_servers)
    for address, count in addresses.items():
        if count > 1:
            yield Finding(
                "address-shared",
                "backend_servers",
                f"{address} is used {count} times; correct the address",
            )
    files = Counter(account.token_file for account in settings.client_accounts)
    for file, count in files.items():
        if count > 1 or file == settings.operator_token_file:
            yield Finding(
                "duplicate-key",
                "client_accounts",
                f"token file {file} is used more than once; give each its own",
            )
    timings = settings.timings
    if timings.lease_margin_s >= timings.lease_ttl_s:
        yield Finding(
            "lease-margin",
            "timings.lease_margin_s",
            f"{timings.lease_margin_s:g} s leave nothing of a lease of "
            f"{timings.lease_ttl_s:g} s; lower it",
        )
    if timings.silence_s <= timings.heartbeat_s:
        yield Finding(
            "silence-below-heartbeat",
            "timings.silence_s",
            f"hosts count as silent after {timings.silence_s:g} s, but send "
            f"every {timings.heartbeat_s:g} s; raise it",
        )


def check_host(host_settings: HostSettings) -> Iterator[Finding]:
    """Find bounds of a host's settings that contradict each other."""
    if host_settings.drain_s > host_settings.grace_s:
        yield Finding(
            "drain-beyond-grace",
            "bounds",
            f"engines drain for {host_settings.drain_s:g} s, longer than "
            f"the grace period of {host_settings.grace_s:g} s; raise the "
            "grace period",
        )
    if host_settings.zones and host_settings.zone not in host_settings.zones:
        yield Finding(
            "zone-unknown",
            "zone",
            f"{host_settings.zone!r} is not among the zones; correct it",
        )


def check_budget(
    table: RouteTable, host_settings: HostSettings
) -> Iterator[Finding]:
    """Find routes whose retries the budget of the hosts does not pay."""
    if host_settings.retry_ratio > 0 or host_settings.retry_extra > 0:
        return
    for route in table.routes:
        if route.max_engines > 1:
            yield Finding(
                "retries-unpaid",
                f"routes[{route.name}]",
                f"{route.max_engines} engines a request, but the hosts' "
                "settings allow no retries; lower it, or allow some",
            )


def _print(
    path: Path,
    title: str,
    findings: list[Finding],
    changes: list[Change],
    as_json: bool,
) -> ExitCode:
    """Print findings and changes; return the exit code."""
    if as_json:
        report = {
            "file": str(path),
            "findings": [asdict(item) for item in findings],
            "changes": [asdict(item) for item in changes],
        }
        print(dumps(report, indent=1))
    else:
        for item in findings:
            print(f"{path}: {item.place}: {item.text} [{item.name}]")
        for change in changes:
            print(f"{change.place}: {change.text}")
        if not findings:
            print(f"{path}: {title} are valid")
    return ExitCode.FAILED if findings else ExitCode.OK
