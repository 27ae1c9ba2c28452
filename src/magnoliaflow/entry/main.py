"""Command line of the entry process, separate to keep imports few."""

from argparse import ArgumentParser
from pathlib import Path
import sys

from magnoliaflow.common.errors import SettingsError
from magnoliaflow.entry.daemon import run_entry


def add_options(parser: ArgumentParser) -> None:
    """Add the options of an entry process."""
    parser.add_argument(
        "--boot",
        type=Path,
        help="platform settings file (default: $MAGNOLIAFLOW_NODE_FILE)",
    )
    parser.add_argument(
        "--metrics-port",
        type=int,
        default=0,
        help="port for metrics on the peer interface, 0 for none",
    )


def main(argv: list[str] | None = None) -> int:
    """Run an entry process and return its exit code."""
    parser = ArgumentParser(
        prog="magnoliaflow entry", description="Serve callers on a host."
    )
    add_options(parser)
    args = parser.parse_args(argv)
    try:
        run_entry(args.boot, args.metrics_port)
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        return 2
    return 0
