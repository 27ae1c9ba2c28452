"""Command line of magnoliaflow."""

from argparse import ArgumentParser
from argparse import Namespace
from collections.abc import Callable
from pathlib import Path
import sys
from typing import Any

from twisted.internet.defer import ensureDeferred

from magnoliaflow.common.errors import MagnoliaflowError
from magnoliaflow.common.errors import SettingsError
from magnoliaflow.common.loop import reactor
from magnoliaflow.common.processend import end_process
from magnoliaflow.common.settings import Settings
from magnoliaflow.common.settingsfile import load_settings
from magnoliaflow.configcommand import check_file
from magnoliaflow.configcommand import compare_file
from magnoliaflow.configcommand import compare_live
from magnoliaflow.daemons.controller import run_controller
from magnoliaflow.daemons.gateway import run_gateway
from magnoliaflow.entry.daemon import run_entry
from magnoliaflow.entry.main import add_options
from magnoliaflow.operate import diff_profiles
from magnoliaflow.operate import ExitCode
from magnoliaflow.operate import explain_entry
from magnoliaflow.operate import explain_request
from magnoliaflow.operate import get_profile
from magnoliaflow.operate import list_profiles
from magnoliaflow.operate import profile_history
from magnoliaflow.operate import publish_file
from magnoliaflow.operate import show_status

Action = Callable[..., Any]


def make_parser() -> ArgumentParser:
    """Return the argument parser with all subcommands."""
    parser = ArgumentParser(
        prog="magnoliaflow",
        description="Serving system for reclaimable machines.",
        epilog="Exit codes: 0 done, 1 failed, 2 bad input or settings, "
        "3 conflict with another change, 4 pending.",
    )
    parser.add_argument(
        "--settings",
        type=Path,
        default=Path("magnoliaflow.yaml"),
        help="settings file of the deployment (default: %(default)s)",
    )
    commands = parser.add_subparsers(dest="command", required=True)
    _add_daemon_commands(commands)
    _add_profile_commands(commands)
    _add_command(commands, "status", "show every gateway as JSON", _status)
    explain = _add_command(
        commands, "explain", "show how a request was routed", _explain
    )
    explain.add_argument(
        "request_id",
        nargs="?",
        default="",
        help="id, or ACCOUNT/KEY of a claim; with --at a part or an engine",
    )
    explain.add_argument(
        "--at",
        metavar="IP:PORT",
        help="metrics address of an entry process: show what it holds back",
    )
    config = commands.add_parser("config", help="inspect settings files")
    config_commands = config.add_subparsers(dest="action", required=True)
    _add_check_command(config_commands)
    entry = _add_command(
        commands, "entry", "serve callers on the users' platform", _entry
    )
    add_options(entry)
    entry.set_defaults(needs_settings=False)
    return parser


def _add_check_command(commands: Any) -> None:
    check = _add_command(
        commands,
        "check",
        "check a file before it is used or sent; exit code 1 if something "
        "was found",
        _check,
    )
    check.add_argument(
        "file",
        type=Path,
        nargs="?",
        help="configuration (JSON), YAML settings file, or a host's platform "
        "settings file",
    )
    source = check.add_mutually_exclusive_group()
    source.add_argument(
        "--against",
        type=Path,
        metavar="FILE",
        help="configuration in force: show what differs",
    )
    source.add_argument(
        "--live",
        metavar="IP:PORT",
        help="address of the store: show what differs from the configuration "
        "in force there",
    )
    check.add_argument(
        "--host",
        type=Path,
        metavar="FILE",
        help="a host's settings, to check the configuration with its bounds",
    )
    check.add_argument(
        "--json", action="store_true", help="print the findings as JSON"
    )
    check.set_defaults(needs_settings=False)


def _add_command(
    commands: Any, name: str, help_text: str, action: Action
) -> ArgumentParser:
    parser: ArgumentParser = commands.add_parser(
        name, help=help_text, description=help_text
    )
    parser.set_defaults(run=action)
    return parser


def _add_daemon_commands(commands: Any) -> None:
    daemons = (
        ("gateway", "serve callers on an entry host", _gateway),
        ("controller", "watch the platform on an entry host", _controller),
    )
    for name, help_text, action in daemons:
        parser = _add_command(commands, name, help_text, action)
        parser.add_argument(
            "--host", required=True, help="name of the entry host"
        )


def _add_profile_commands(commands: Any) -> None:
    profile = commands.add_parser("profile", help="publish and read profiles")
    profile_commands = profile.add_subparsers(dest="action", required=True)
    publish = _add_command(
        profile_commands,
        "publish",
        "publish the profiles in a YAML file",
        _publish,
    )
    publish.add_argument("file", type=Path)
    publish.add_argument(
        "--base",
        type=int,
        help="version that the change is based on (default: current version)",
    )
    publish.add_argument(
        "--wait",
        action="store_true",
        help="wait until each entry host has applied the change",
    )
    get = _add_command(profile_commands, "get", "print one profile", _get)
    get.add_argument("name")
    _add_command(profile_commands, "list", "print every profile", _list)
    diff = _add_command(
        profile_commands,
        "diff",
        "compare a file with the profiles in force",
        _diff,
    )
    diff.add_argument("file", type=Path)
    history = _add_command(
        profile_commands, "history", "print the retained changes", _history
    )
    history.add_argument("name", nargs="?", default="")


def _gateway(cfg: Settings, args: Namespace) -> None:
    run_gateway(cfg, args.host)
    end_process(int(ExitCode.OK))


def _controller(cfg: Settings, args: Namespace) -> None:
    run_controller(cfg, args.host)
    end_process(int(ExitCode.OK))


def _publish(cfg: Settings, args: Namespace) -> Any:
    return publish_file(cfg, args.file, base_version=args.base, wait=args.wait)


def _get(cfg: Settings, args: Namespace) -> Any:
    return get_profile(cfg, args.name)


def _list(cfg: Settings, args: Namespace) -> Any:
    return list_profiles(cfg)


def _diff(cfg: Settings, args: Namespace) -> Any:
    return diff_profiles(cfg, args.file)


def _history(cfg: Settings, args: Namespace) -> Any:
    return profile_history(cfg, args.name)


def _status(cfg: Settings, args: Namespace) -> Any:
    return show_status(cfg)


def _explain(cfg: Settings | None, args: Namespace) -> Any:
    if cfg is None:
        return explain_entry(args.at, args.request_id)
    if not args.request_id:
        raise SettingsError("explain: name a request, or add --at IP:PORT")
    return explain_request(cfg, args.request_id)


def _check(cfg: Settings | None, args: Namespace) -> Any:
    path = args.file or args.settings
    options = {"host": args.host, "as_json": args.json}
    if args.live:
        return compare_live(path, args.live, **options)
    if args.against:
        return compare_file(path, args.against, **options)
    return check_file(path, **options)


def _entry(cfg: Settings | None, args: Namespace) -> None:
    run_entry(args.boot, args.metrics_port, args.extra_share)
    end_process(int(ExitCode.OK))


def run_until_done(coroutine: Any) -> int:
    """Run the reactor until a coroutine or Deferred ends.

    Returns its result as the exit code; a failure is printed.
    """
    exit_codes: list[int] = []

    def done(result: Any) -> None:
        exit_codes.append(int(result))

    def failed(failure: Any) -> None:
        print(failure.getErrorMessage(), file=sys.stderr)
        bad_input = failure.check(SettingsError) is not None
        exit_codes.append(ExitCode.BAD_INPUT if bad_input else ExitCode.FAILED)

    def finish(result: Any) -> None:
        reactor.callLater(0, reactor.stop)

    ensureDeferred(coroutine).addCallbacks(done, failed).addBoth(finish)
    reactor.run()
    return exit_codes[0] if exit_codes else int(ExitCode.FAILED)


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    args = make_parser().parse_args(argv)
    try:
        needs_settings = getattr(args, "needs_settings", True) and not (
            getattr(args, "at", None)
        )
        cfg = load_settings(args.settings) if needs_settings else None
        result = args.run(cfg, args)
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        return int(ExitCode.BAD_INPUT)
    except MagnoliaflowError as exc:
        print(exc, file=sys.stderr)
        return int(ExitCode.FAILED)
    if result is None or isinstance(result, ExitCode):
        return int(result or ExitCode.OK)
    return run_until_done(result)
