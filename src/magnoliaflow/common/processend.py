"""The end of a daemon's process."""

from os import _exit
import sys
from typing import NoReturn


def end_process(code: int) -> NoReturn:
    """End the process with an exit code, without finalizing the interpreter.

    Finalization frees what the kernel frees anyway.  On a busy machine it
    outlasts the part of the grace period that is left after a drain.
    """
    for stream in (sys.stdout, sys.stderr):
        try:
            stream.flush()
        except (OSError, ValueError):
            # Nobody reads the stream any more.
            continue
    _exit(code)
