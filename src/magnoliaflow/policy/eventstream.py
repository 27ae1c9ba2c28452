"""Splits a server-sent event stream (text/event-stream) into events."""

from dataclasses import dataclass


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

    __slots__ = ("buffer",)

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[Event]:
        """Add received bytes and return the events that they complete."""
        self.buffer += data
        events: list[Event] = []
        while True:
            end, width = _find_boundary(self.buffer)
            if end < 0:
                return events
            block = self.buffer[: end + width]
            self.buffer = self.buffer[end + width :]
            events.append(Event(block, _event_id(block)))


def _find_boundary(data: bytes) -> tuple[int, int]:
    """Return offset and length of the first blank line, or (-1, 0)."""
    matches = [
        (position, len(separator))
        for separator in (b"\n\n", b"\r\n\r\n")
        if (position := data.find(separator)) >= 0
    ]
    return min(matches, default=(-1, 0))


def _event_id(block: bytes) -> int:
    for line in block.splitlines():
        name, _, value = line.partition(b":")
        if name.strip() == b"id" and value.strip().isdigit():
            return int(value)
    return -1
