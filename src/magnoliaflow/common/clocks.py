"""Clocks: one that never jumps and counts a suspended host's time."""

from time import CLOCK_BOOTTIME
from time import clock_gettime
from time import time


def boot_time() -> float:
    """Return seconds since boot, those of a suspended host included."""
    return clock_gettime(CLOCK_BOOTTIME)


def wall_time() -> float:
    """Return the time of day, which may jump."""
    return time()
