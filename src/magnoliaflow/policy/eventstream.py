"""Splits a server-sent event stream (text/event-stream) into events."""

from dataclasses import dataclass
import re

# Largest event that is buffered; events hold a few tokens.
MAX_EVENT_BYTES = 256 * 1024
# Bytes of the longest separator of events, less one.
SEPARATOR_OVERLAP = 3
BOUNDARY = re.compile(rb"\n\n|\r\n\r\n")
# Ids with more digits are taken for none.
MAX_ID_DIGITS = 18


class EventTooLargeError(ValueError):
    """An event exceeds the size limit, and may never end."""


@dataclass(frozen=True, slots=True)
class Event:
    """The bytes of one event and its numeric id, -1 if it has none."""

    data: bytes
    event_id: int


class EventSplitter:
    """Splits a byte stream into complete events.

    >>> splitter = EventSplitter()
    >>> [event.event_id for event in splitter.feed(b"id: 4\\ndata: x\\n\\nid")]
    [4]
    >>> splitter.buffer
    b'id'
    """

    __slots__ = ("_pending", "_searched")

    def __init__(self) -> None:
        self._pending = bytearray()
        self._searched = 0

    @property
    def size(self) -> int:
        """Return the number of bytes of the incomplete event."""
        return len(self._pending)

    @property
    def buffer(self) -> bytes:
        """Return the bytes of the incomplete event."""
        return bytes(self._pending)

    def clear(self) -> None:
        """Drop the incomplete event."""
        self._pending = bytearray()
        self._searched = 0

    def feed(self, data: bytes) -> list[Event]:
        """Add received bytes and return the events that they complete.

        Raises EventTooLargeError if the incomplete event is too large.
        """
        self._pending += data
        events: list[Event] = []
        start = 0
        for match in BOUNDARY.finditer(self._pending, self._searched):
            block = bytes(self._pending[start : match.end()])
            start = match.end()
            events.append(Event(block, _event_id(block)))
        del self._pending[:start]
        if len(self._pending) > MAX_EVENT_BYTES:
            raise EventTooLargeError(
                f"event exceeds the limit of {MAX_EVENT_BYTES} bytes"
            )
        # What was searched is not searched again, so that the cost does not
        # grow with the square of an event's size.
        self._searched = max(0, len(self._pending) - SEPARATOR_OVERLAP)
        return events


def _event_id(block: bytes) -> int:
    for line in block.splitlines():
        name, _, value = line.partition(b":")
        digits = value.strip()
        if (
            name.strip() == b"id"
            and digits.isdigit()
            and len(digits) <= MAX_ID_DIGITS
        ):
            return int(digits)
    return -1
