"""Queue of requests by due time, and fair shares of client accounts."""

from collections.abc import Iterator
from dataclasses import dataclass
from heapq import heappop
from heapq import heappush

BACKLOG_BUCKET_S = 0.5
USAGE_HALF_LIFE_S = 10.0


@dataclass(slots=True)
class Backlog:
    """Number of queued requests and their expected prompt tokens."""

    requests: int = 0
    prompt_tokens: int = 0


@dataclass(frozen=True, slots=True, order=True)
class QueueEntry:
    """A queued request, ordered by its due time."""

    due: float
    sequence: int
    request_id: str
    prompt_tokens: int


class DueQueue:
    """Priority queue of requests, ordered by due time."""

    __slots__ = (
        "_backlogs",
        "_heap",
        "_entries",
        "_sequence",
        "prompt_tokens",
    )

    def __init__(self) -> None:
        self.prompt_tokens = 0
        self._backlogs: dict[int, Backlog] = {}
        self._heap: list[QueueEntry] = []
        self._entries: dict[str, QueueEntry] = {}
        self._sequence = 0

    def push(self, request_id: str, *, due: float, prompt_tokens: int) -> None:
        """Add a request with its expected prompt tokens."""
        self._sequence += 1
        self.push_entry(
            QueueEntry(due, self._sequence, request_id, prompt_tokens)
        )

    def push_entry(self, entry: QueueEntry) -> None:
        """Add an entry, or put back one that could not be dispatched."""
        self.remove(entry.request_id)
        self._entries[entry.request_id] = entry
        backlog = self._backlogs.setdefault(
            int(entry.due / BACKLOG_BUCKET_S), Backlog()
        )
        self.prompt_tokens += entry.prompt_tokens
        backlog.prompt_tokens += entry.prompt_tokens
        backlog.requests += 1
        heappush(self._heap, entry)

    def remove(self, request_id: str) -> None:
        """Remove a request from any position."""
        entry = self._entries.pop(request_id, None)
        if entry is None:
            return
        bucket = int(entry.due / BACKLOG_BUCKET_S)
        backlog = self._backlogs[bucket]
        self.prompt_tokens -= entry.prompt_tokens
        backlog.prompt_tokens -= entry.prompt_tokens
        backlog.requests -= 1
        if backlog.requests == 0:
            del self._backlogs[bucket]

    def pop(self) -> QueueEntry | None:
        """Remove and return the entry due first, None if there is none."""
        while self._heap:
            entry = heappop(self._heap)
            if self._entries.get(entry.request_id) is not entry:
                continue
            self.remove(entry.request_id)
            return entry
        return None

    def backlog_before(self, due: float) -> Backlog:
        """Return the backlog due before a time, in whole buckets."""
        bucket = int(due / BACKLOG_BUCKET_S)
        backlogs = [
            backlog for key, backlog in self._backlogs.items() if key <= bucket
        ]
        return Backlog(
            sum(backlog.requests for backlog in backlogs),
            sum(backlog.prompt_tokens for backlog in backlogs),
        )

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[str]:
        return iter(self._entries)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._entries


class AccountShares:
    """Recent usage of client accounts relative to their weights.

    Usage decays with a half-life of ``USAGE_HALF_LIFE_S``.

    >>> shares = AccountShares({"a": 1.0, "b": 1.0})
    >>> shares.record_usage("a", 300.0, 0.0)
    >>> shares.record_usage("b", 100.0, 0.0)
    >>> shares.allowance("a", 0.0), shares.allowance("b", 0.0)
    (0.6666666666666666, 1.0)
    """

    __slots__ = ("_decayed_at", "_used", "weights")

    def __init__(self, weights: dict[str, float]) -> None:
        self.weights = weights
        self._used: dict[str, float] = {}
        self._decayed_at = 0.0

    def record_usage(self, account: str, tokens: float, now: float) -> None:
        """Count the tokens of an account's admitted request."""
        self._decay(now)
        self._used[account] = self._used.get(account, 0.0) + tokens

    def allowance(self, account: str, now: float) -> float:
        """Return 1 within the fair share, else fair share over usage."""
        self._decay(now)
        total = sum(self._used.values())
        used = self._used.get(account, 0.0)
        if used <= 0.0:
            return 1.0
        active = sum(self.weights.get(name, 1.0) for name in self._used)
        share = self.weights.get(account, 1.0) / active
        return min(1.0, share * total / used)

    def _decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self._decayed_at) / USAGE_HALF_LIFE_S)
        self._decayed_at = now
        self._used = {
            name: used * factor
            for name, used in self._used.items()
            if used * factor > 1.0
        }
