"""Bound on the open connections of callers.

A new connection closes the one that has been idle longest; without idle ones,
the one whose incomplete request has not moved for longest.
"""

from collections.abc import Callable
from typing import Any

# One rejected connection in so many open ones may still read its answer.
LINGER_PART = 8


class OpenConnections:
    """Connections by what they do, each kind the least recent first."""

    __slots__ = (
        "idle",
        "kinds",
        "limit",
        "lingering",
        "on_crowded",
        "reading",
        "running",
    )

    def __init__(self, limit: int, on_crowded: Callable[[str], None]) -> None:
        self.limit = limit
        self.on_crowded = on_crowded
        self.kinds: dict[Any, dict[Any, None]] = {}
        self.idle: dict[Any, None] = {}
        self.reading: dict[Any, None] = {}
        self.running: dict[Any, None] = {}
        self.lingering: dict[Any, None] = {}

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self.kinds)

    def add(self, conn: Any) -> None:
        """Add a new connection; close another one if there are too many."""
        kinds = (self.lingering, self.idle, self.reading)
        victim = next((next(iter(kind)) for kind in kinds if kind), conn)
        self.idle[conn] = None
        self.kinds[conn] = self.idle
        if len(self) <= self.limit:
            return
        self.on_crowded(victim.transport.getPeer().host)
        if victim is conn or victim in self.lingering:
            victim.transport.abortConnection()
        else:
            victim.make_room()

    def set_idle(self, conn: Any) -> None:
        """Record that a connection waits for a request."""
        self._move(conn, self.idle)

    def set_reading(self, conn: Any) -> None:
        """Record that a part of a request has arrived."""
        self._move(conn, self.reading)

    def set_running(self, conn: Any) -> None:
        """Record that a request is complete, or that its end is near."""
        self._move(conn, self.running)

    def may_linger(self, conn: Any) -> bool:
        """Return whether a rejected connection may stay open for a time."""
        if len(self.lingering) >= self.limit // LINGER_PART:
            return False
        self._move(conn, self.lingering)
        return True

    def discard(self, conn: Any) -> None:
        """Forget a connection."""
        self.kinds.pop(conn, {}).pop(conn, None)

    def _move(self, conn: Any, kind: dict[Any, None]) -> None:
        self.kinds[conn].pop(conn)
        self.kinds[conn] = kind
        kind[conn] = None
