"""Whole events of a stream (text/event-stream) out of arbitrary pieces."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Event:
    """One event: its bytes, and its id, -1 if it has none."""

    data: bytes
    event_id: int


class EventSplitter:
    """Cuts a stream into whole events.

    >>> splitter = EventSplitter()
    >>> [event.event_id for event in splitter.feed(b"id: 4\\ndata: x\\n\\nid")]
    [4]
    >>> splitter.rest
    b'id'
    """

    __slots__ = ("rest",)

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that the bytes complete."""
        self.rest += data
        events: list[Event] = []
        while True:
            end, width = _find_boundary(self.rest)
            if end < 0:
                return events
            block = self.rest[: end + width]
            self.rest = self.rest[end + width :]
            events.append(Event(block, _event_id(block)))


def _find_boundary(data: bytes) -> tuple[int, int]:
    """Return place and width of the first blank line, (-1, 0) if none."""
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
