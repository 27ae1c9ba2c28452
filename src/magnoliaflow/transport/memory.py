"""Bound on the memory that buffered bodies of all connections take."""

from collections.abc import Callable
from typing import Protocol


class BufferHolder(Protocol):
    """Something that holds buffered bytes and can be made to drop them."""

    def evict(self) -> None:
        """Drop the bytes and end the work that they belong to."""


class BufferBudget:
    """Buffered bytes by holder.

    When all hold more than the limit, the largest holders are evicted:
    a peer that sends without end, or does not read, loses its own work and
    not that of others.  ``on_evicted`` is called with the kind of the holder
    and its bytes.

    >>> class Holder:
    ...     def evict(self): budget.release(self); print("evicted")
    >>> budget = BufferBudget(100)
    >>> budget.hold(Holder(), 90); budget.hold(Holder(), 20)
    evicted
    >>> budget.total
    20
    """

    __slots__ = ("held", "limit_bytes", "on_evicted", "total")

    def __init__(
        self,
        limit_bytes: int,
        *,
        on_evicted: Callable[[str, int], None] = lambda kind, size: None,
    ) -> None:
        self.limit_bytes = limit_bytes
        self.on_evicted = on_evicted
        self.held: dict[BufferHolder, int] = {}
        self.total = 0

    def hold(self, holder: BufferHolder, size: int) -> None:
        """Set the bytes of a holder; evict while there are too many."""
        self.total += size - self.held.get(holder, 0)
        self.held[holder] = size
        while self.total > self.limit_bytes and self.held:
            largest = max(self.held, key=self.held.__getitem__)
            self.on_evicted(type(largest).__name__, self.held[largest])
            largest.evict()
            self.release(largest)

    def release(self, holder: BufferHolder) -> None:
        """Forget a holder."""
        self.total -= self.held.pop(holder, 0)
