"""Positions in a log whose offsets go back when its store is restored.

A position is an era of the store and an offset within it, as one integer.
Positions of a later era are higher, so that they are ordered as the records
were written, and in era 0 they equal the offsets.
"""

OFFSET_BITS = 32
OFFSET_MASK = (1 << OFFSET_BITS) - 1


def make_position(era: int, offset: int) -> int:
    """Return the position of an offset.

    >>> make_position(0, 7), make_position(1, 0) > make_position(0, 7)
    (7, True)
    """
    return era << OFFSET_BITS | offset


def era_of(position: int) -> int:
    """Return the era of a position, -1 if it is negative.

    >>> era_of(make_position(3, 7)), era_of(-1)
    (3, -1)
    """
    return position >> OFFSET_BITS


def offset_of(position: int) -> int:
    """Return the offset of a position.

    >>> offset_of(make_position(3, 7))
    7
    """
    return position & OFFSET_MASK
