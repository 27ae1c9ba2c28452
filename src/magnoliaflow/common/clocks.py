"""The boot clock and the wall clock."""

from time import CLOCK_BOOTTIME
from time import clock_gettime
from time import time


def boot_time() -> float:
    """Return monotonic seconds since boot, including time suspended."""
    return clock_gettime(CLOCK_BOOTTIME)


def wall_time() -> float:
    """Return the Unix time, which may jump."""
    return time()
