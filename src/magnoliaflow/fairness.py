"""Weighted fair queueing of requests by client account."""

from collections.abc import Iterator
from dataclasses import dataclass
from heapq import heappop
from heapq import heappush


@dataclass(frozen=True, slots=True, order=True)
class Ticket:
    """A place in the queue: priority first, then virtual finish time."""

    priority: int
    finish: float
    number: int
    request_id: str


class FairQueue:
    """Requests in order of priority, then of weighted fair shares.

    Start-time fair queueing (Goyal, Vin and Cheng, 1996) without its
    start tags: each account's requests finish in virtual time at a rate
    in proportion to its weight.
    """

    __slots__ = (
        "_dropped",
        "_finish",
        "_heap",
        "_live",
        "_number",
        "_virtual",
        "weights",
    )

    def __init__(self, weights: dict[str, float]) -> None:
        self.weights = weights
        self._heap: list[Ticket] = []
        self._finish: dict[str, float] = {}
        self._live: dict[str, int] = {}
        self._dropped: set[int] = set()
        self._virtual = 0.0
        self._number = 0

    def push(
        self, request_id: str, *, account: str, size: float, priority: int
    ) -> None:
        """Add a request of a size in tokens."""
        start = max(self._virtual, self._finish.get(account, 0.0))
        finish = start + size / self.weights.get(account, 1.0)
        self._finish[account] = finish
        self._number += 1
        self._live[request_id] = self._number
        heappush(
            self._heap, Ticket(-priority, finish, self._number, request_id)
        )

    def push_back(self, ticket: Ticket) -> None:
        """Return a ticket that was taken but could not be served."""
        self._live[ticket.request_id] = ticket.number
        heappush(self._heap, ticket)

    def drop(self, request_id: str) -> None:
        """Remove a request, wherever it stands."""
        number = self._live.pop(request_id, None)
        if number is not None:
            self._dropped.add(number)

    def take(self) -> Ticket | None:
        """Remove and return the next request, None if there is none."""
        while self._heap:
            ticket = heappop(self._heap)
            if ticket.number in self._dropped:
                self._dropped.discard(ticket.number)
                continue
            self._live.pop(ticket.request_id, None)
            self._virtual = max(self._virtual, ticket.finish)
            return ticket
        return None

    def __len__(self) -> int:
        return len(self._live)

    def __iter__(self) -> Iterator[str]:
        return iter(self._live)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._live
