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
    prompt_tokens: int
    answer_tokens: int


class FairQueue:
    """Requests in order of priority, then of weighted fair shares.

    Start-time fair queueing (Goyal, Vin and Cheng, 1996) without its
    start tags: each account's requests finish in virtual time at a rate
    in proportion to its weight.
    """

    __slots__ = (
        "_finish",
        "_heap",
        "_live",
        "_number",
        "_virtual",
        "answer_tokens",
        "prompt_tokens",
        "weights",
    )

    def __init__(self, weights: dict[str, float]) -> None:
        self.weights = weights
        self.prompt_tokens = 0
        self.answer_tokens = 0
        self._heap: list[Ticket] = []
        self._finish: dict[str, float] = {}
        self._live: dict[str, Ticket] = {}
        self._virtual = 0.0
        self._number = 0

    def push(
        self,
        request_id: str,
        *,
        account: str,
        prompt_tokens: int,
        answer_tokens: int,
        priority: int,
    ) -> None:
        """Add a request; its tokens are what it uses of its share."""
        size = prompt_tokens + answer_tokens
        start = max(self._virtual, self._finish.get(account, 0.0))
        finish = start + size / self.weights.get(account, 1.0)
        self._finish[account] = finish
        self._number += 1
        self.push_back(
            Ticket(
                -priority,
                finish,
                self._number,
                request_id,
                prompt_tokens,
                answer_tokens,
            )
        )

    def push_back(self, ticket: Ticket) -> None:
        """Add a ticket, or return one that could not be served."""
        self.drop(ticket.request_id)
        self._live[ticket.request_id] = ticket
        self.prompt_tokens += ticket.prompt_tokens
        self.answer_tokens += ticket.answer_tokens
        heappush(self._heap, ticket)

    def drop(self, request_id: str) -> None:
        """Remove a request, wherever it stands."""
        ticket = self._live.pop(request_id, None)
        if ticket is not None:
            self.prompt_tokens -= ticket.prompt_tokens
            self.answer_tokens -= ticket.answer_tokens

    def take(self) -> Ticket | None:
        """Remove and return the next request, None if there is none."""
        while self._heap:
            ticket = heappop(self._heap)
            if self._live.get(ticket.request_id) is not ticket:
                continue
            self.drop(ticket.request_id)
            self._virtual = max(self._virtual, ticket.finish)
            return ticket
        return None

    def __len__(self) -> int:
        return len(self._live)

    def __iter__(self) -> Iterator[str]:
        return iter(self._live)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._live
