"""Waiting requests by due time, and weighted shares of client accounts."""

from collections.abc import Iterator
from dataclasses import dataclass
from heapq import heappop
from heapq import heappush

BUCKET_S = 0.5
HALF_LIFE_S = 10.0


@dataclass(slots=True)
class Backlog:
    """Requests that wait, and the prompt tokens they cost."""

    requests: int = 0
    prompt_tokens: int = 0


@dataclass(frozen=True, slots=True, order=True)
class Ticket:
    """A place in the queue, ordered by the time the first token is due."""

    due: float
    number: int
    request_id: str
    prompt_tokens: int


class DueQueue:
    """Requests in order of the time at which they are due."""

    __slots__ = ("_ahead", "_heap", "_live", "_number", "prompt_tokens")

    def __init__(self) -> None:
        self.prompt_tokens = 0
        self._ahead: dict[int, Backlog] = {}
        self._heap: list[Ticket] = []
        self._live: dict[str, Ticket] = {}
        self._number = 0

    def push(self, request_id: str, *, due: float, prompt_tokens: int) -> None:
        """Add a request with the tokens it is expected to cost."""
        self._number += 1
        self.push_back(Ticket(due, self._number, request_id, prompt_tokens))

    def push_back(self, ticket: Ticket) -> None:
        """Add a ticket, or return one that could not be served."""
        self.drop(ticket.request_id)
        self._live[ticket.request_id] = ticket
        row = self._ahead.setdefault(int(ticket.due / BUCKET_S), Backlog())
        self.prompt_tokens += ticket.prompt_tokens
        row.prompt_tokens += ticket.prompt_tokens
        row.requests += 1
        heappush(self._heap, ticket)

    def drop(self, request_id: str) -> None:
        """Remove a request, wherever it stands."""
        ticket = self._live.pop(request_id, None)
        if ticket is None:
            return
        bucket = int(ticket.due / BUCKET_S)
        row = self._ahead[bucket]
        self.prompt_tokens -= ticket.prompt_tokens
        row.prompt_tokens -= ticket.prompt_tokens
        row.requests -= 1
        if row.requests == 0:
            del self._ahead[bucket]

    def take(self) -> Ticket | None:
        """Remove and return the next request, None if there is none."""
        while self._heap:
            ticket = heappop(self._heap)
            if self._live.get(ticket.request_id) is not ticket:
                continue
            self.drop(ticket.request_id)
            return ticket
        return None

    def ahead_of(self, due: float) -> Backlog:
        """Return what is due before a time."""
        bucket = int(due / BUCKET_S)
        rows = [row for key, row in self._ahead.items() if key <= bucket]
        return Backlog(
            sum(row.requests for row in rows),
            sum(row.prompt_tokens for row in rows),
        )

    def __len__(self) -> int:
        return len(self._live)

    def __iter__(self) -> Iterator[str]:
        return iter(self._live)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._live


class Shares:
    """What each client account used lately, against its weight.

    Usage halves every ``HALF_LIFE_S``.

    >>> shares = Shares({"a": 1.0, "b": 1.0})
    >>> shares.use("a", 300.0, 0.0); shares.use("b", 100.0, 0.0)
    >>> shares.allowance("a", 0.0), shares.allowance("b", 0.0)
    (0.6666666666666666, 1.0)
    """

    __slots__ = ("_at", "_used", "weights")

    def __init__(self, weights: dict[str, float]) -> None:
        self.weights = weights
        self._used: dict[str, float] = {}
        self._at = 0.0

    def use(self, account: str, tokens: float, now: float) -> None:
        """Count tokens that an account was admitted with."""
        self._decay(now)
        self._used[account] = self._used.get(account, 0.0) + tokens

    def allowance(self, account: str, now: float) -> float:
        """Return 1 within the share, less the more it is exceeded."""
        self._decay(now)
        total = sum(self._used.values())
        used = self._used.get(account, 0.0)
        if used <= 0.0:
            return 1.0
        active = sum(self.weights.get(name, 1.0) for name in self._used)
        share = self.weights.get(account, 1.0) / active
        return min(1.0, share * total / used)

    def _decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self._at) / HALF_LIFE_S)
        self._at = now
        self._used = {
            name: used * factor
            for name, used in self._used.items()
            if used * factor > 1.0
        }
