"""Command line of the entry process, separate to keep imports few."""

from argparse import ArgumentParser
from argparse import ArgumentTypeError
from pathlib import Path
import sys

from magnoliaflow.common.errors import SettingsError
from magnoliaflow.entry.daemon import run_entry
from magnoliaflow.policy.hedging import MAX_EXTRA_SHARE


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
    parser.add_argument(
        "--extra-share",
        type=extra_share,
        default=0.0,
        help=(
            "share of a service's requests that may be sent to a second "
            f"engine because they are slow, 0 to {MAX_EXTRA_SHARE:g}; "
            "0 for none (default)"
        ),
    )


def extra_share(text: str) -> float:
    """Return a share of extra sends; raise ArgumentTypeError if invalid."""
    try:
        share = float(text)
    except ValueError:
        share = -1.0
    if not 0.0 <= share <= MAX_EXTRA_SHARE:
        raise ArgumentTypeError(
            f"{text!r} is no share; give a number from 0 to "
            f"{MAX_EXTRA_SHARE:g}"
        )
    return share


def main(argv: list[str] | None = None) -> int:
    """Run an entry process and return its exit code."""
    parser = ArgumentParser(
        prog="magnoliaflow entry", description="Serve callers on a host."
    )
    add_options(parser)
    args = parser.parse_args(argv)
    try:
        run_entry(args.boot, args.metrics_port, args.extra_share)
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        return 2
    return 0
