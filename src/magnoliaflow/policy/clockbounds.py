"""True time by the clocks of other hosts, whose messages arrive late.

Answers two faults.  A host's time of day may have jumped when its process
started.  And messages wait: dozens of hosts that start together read each
other's first messages 0.1 to 0.5 s late.  A message shows that its sender's
clock is not behind the time that it names, and not ahead of it by more than
the time in which the message may have been made.  A host moves its own clock
only if it is outside of these bounds by most of the clocks, so that waiting
messages move no clock.
"""

from collections.abc import Sequence
from dataclasses import dataclass

# Share of a clock's difference that one message corrects.
CORRECTION_SHARE = 0.5
# Smaller differences are not corrected: a fiftieth of the usual usage window.
TOLERANCE_S = 0.1


@dataclass(frozen=True, slots=True)
class OffsetBounds:
    """Bounds of the offset of a host's true time from the own boot clock.

    Seconds.  ``high`` is inf if nothing bounds the age of the message.
    """

    low: float
    high: float


def offset_bounds(
    true_time: float, made_after: float, now: float
) -> OffsetBounds:
    """Return what a message shows of its sender's clock.

    ``true_time``: by the sender's clock, when it made the message.
    ``made_after``: the earliest time at which it may have made it, by the
    receiver's boot clock, -inf if that is not known.
    """
    return OffsetBounds(true_time - now, true_time - made_after)


def corrected_offset(own: float, others: Sequence[OffsetBounds]) -> float:
    """Return the own offset, moved towards the bounds of most clocks.

    The own clock counts as one of them.
    """
    lows = sorted([own, *(bounds.low for bounds in others)])
    highs = sorted([own, *(bounds.high for bounds in others)])
    low = lows[(len(lows) - 1) // 2]
    high = highs[len(highs) // 2]
    difference = max(0.0, low - own) + min(0.0, high - own)
    if abs(difference) <= TOLERANCE_S:
        return own
    return own + difference * CORRECTION_SHARE
