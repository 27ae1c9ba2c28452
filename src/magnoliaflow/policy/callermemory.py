"""Whose bytes are dropped when callers fill a host's memory.

Answers a crowd of callers that send much, stop short of the end and stay
open, or do not read their answers.  The holder with the least progress per
held byte goes first, so that a slow caller outlives one that has stopped; of
those with similar progress the largest.
"""

from collections.abc import Hashable
from collections.abc import Iterable
from collections import defaultdict
from dataclasses import dataclass
from math import exp
from math import inf
from math import log2

MB = 1024 * 1024
# Share of a host's memory for what it holds for its callers; the process
# itself and the bytes in the kernel need the rest.
CALLER_MEMORY_SHARE = 1 / 6
# Memory of a host whose settings do not state it.
DEFAULT_MEMORY_MB = 384.0
# Two bodies of the usual limit, so that one body always fits.
MIN_CALLER_BYTES = 8 * MB
# Memory of a connection that holds bytes beside these: parser and objects.
CONNECTION_BYTES = 32 * 1024
# Fewer bytes of a connection are not counted.
SMALL_BYTES = 4096
# Unused part of a buffer that grows: one byte in eight.
GROWTH_PART = 8
# Descriptors that the platform reserves for files, and the share of the rest
# for callers; the engines, the peers and the store need the remainder.
FILE_DESCRIPTORS = 200
CALLER_DESCRIPTOR_SHARE = 0.6
DEFAULT_DESCRIPTORS = 6000
MIN_CONNECTIONS = 16
# Share of the limit over which new bodies wait unread.
WAIT_SHARE = 0.75
# Share of the limit over which one address or one account loses its own work
# before others do.
FAIR_SHARE = 0.5
# A body up to the first length never waits; one up to the second waits only
# if it would pass the limit itself.
SMALL_BODY_BYTES = 16 * 1024
ORDINARY_BODY_BYTES = 64 * 1024
# Time constant of the decay of progress.
PROGRESS_S = 2.0
# Less progress per held byte is none.
MIN_PACE = 0.001
# A holder without progress for this long makes room for those that wait.
STALLED_S = 1.0


def caller_bytes(memory_mb: float, share: float = CALLER_MEMORY_SHARE) -> int:
    """Return the bytes that a host may hold for its callers.

    >>> caller_bytes(96) // MB, caller_bytes(12) // MB, caller_bytes(0) // MB
    (16, 8, 64)
    """
    memory_mb = memory_mb or DEFAULT_MEMORY_MB
    return max(MIN_CALLER_BYTES, int(memory_mb * share * MB))


def held_bytes(
    *,
    incomplete: int = 0,
    running: int = 0,
    unparsed: int = 0,
    unsent: int = 0,
) -> int:
    """Return the memory of a connection for the bytes that it holds.

    ``incomplete`` and ``running`` are those of a body that is being read and
    of one that an engine may read, 0 if the connection holds none.  What is
    small is bounded by the number of connections.

    >>> held_bytes(incomplete=8000)
    41768
    >>> held_bytes(running=800)
    0
    """
    size = incomplete + incomplete // GROWTH_PART + running
    size += unparsed + unsent
    return size + CONNECTION_BYTES if size > SMALL_BYTES else 0


def caller_connections(
    descriptors: float, share: float = CALLER_DESCRIPTOR_SHARE
) -> int:
    """Return the number of callers' connections that may be open.

    >>> caller_connections(400), caller_connections(0), caller_connections(9)
    (120, 3480, 16)
    """
    sockets = (descriptors or DEFAULT_DESCRIPTORS) - FILE_DESCRIPTORS
    return max(MIN_CONNECTIONS, int(sockets * share))


@dataclass(slots=True)
class Share:
    """Bytes of one holder, and its decaying sum of moved bytes.

    ``keys`` name its caller's address and account.  ``fixed`` bytes belong
    to a request that an engine may run; they are not dropped.  A ``waiting``
    holder is not read and cannot progress; it goes after those that are.
    ``ran`` holds the answer of a request that must not run again.
    """

    size: int
    keys: tuple[str, ...]
    moved: float
    moved_at: float
    fixed: bool = False
    waiting: bool = False
    ran: bool = False

    @property
    def fixed_bytes(self) -> int:
        """Return the bytes that are not dropped."""
        return self.size if self.fixed else 0

    def move(self, count: int, now: float) -> None:
        """Count bytes as progress."""
        self.moved = self.progress(now) + count
        self.moved_at = now

    def progress(self, now: float) -> float:
        """Return the decayed sum of moved bytes."""
        if not self.moved:
            return 0.0
        return self.moved * exp((self.moved_at - now) / PROGRESS_S)

    @property
    def is_last(self) -> bool:
        """Return whether all others are dropped before this holder.

        It frees next to nothing, or loses work that has been done.
        """
        most = ORDINARY_BODY_BYTES if self.ran else SMALL_BYTES
        return self.size <= most

    def is_stalled(self, since: float) -> bool:
        """Return whether a holder has stopped and may make room."""
        if self.waiting or (self.ran and self.is_last):
            return False
        return self.moved_at <= since

    def pace(self, now: float) -> int:
        """Return the class of progress per held byte, a factor of two each."""
        ratio = self.progress(now) / max(1, self.size)
        return round(log2(max(MIN_PACE, ratio)))


@dataclass(slots=True)
class Promise:
    """Bytes reserved for the rest of a body, and when it last moved."""

    left: int
    moved_at: float


class CallerMemory:
    """Account of the bytes that a host holds for its callers.

    Updates take constant time; a choice looks at every holder once.

    >>> memory = CallerMemory(100)
    >>> memory.put("stopped", 90, now=0.0); memory.put("slow", 15, now=9.0)
    >>> memory.choose(memory.total - memory.limit_bytes, 9.0)
    ['stopped']
    """

    __slots__ = (
        "by_key",
        "fixed_by_key",
        "limit_bytes",
        "promised",
        "promises",
        "shares",
        "total",
    )

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.shares: dict[Hashable, Share] = {}
        self.by_key: dict[str, int] = defaultdict(int)
        self.fixed_by_key: dict[str, int] = defaultdict(int)
        self.promises: dict[Hashable, Promise] = {}
        self.promised = 0
        self.total = 0

    def put(
        self,
        holder: Hashable,
        size: int,
        *,
        now: float,
        keys: tuple[str, ...] = (),
        fixed: bool = False,
        waiting: bool = False,
        ran: bool = False,
    ) -> None:
        """Set the bytes of a holder; growth counts as progress."""
        share = self.shares.get(holder)
        if share is None:
            share = Share(0, keys, 0.0, now)
            self.shares[holder] = share
        grown = size - share.size
        if grown > 0:
            share.move(grown, now)
            self._keep_promise(holder, grown, now)
        fixed_grown = (size if fixed else 0) - share.fixed_bytes
        share.fixed = fixed
        if share.waiting and not waiting:
            share.moved_at = now
        share.waiting = waiting
        share.ran = ran
        share.size = size
        self._add(share, grown, fixed_grown)

    def touch(self, holder: Hashable, count: int, now: float) -> None:
        """Count bytes as progress that do not change what is held."""
        share = self.shares.get(holder)
        if share is not None:
            share.move(count, now)

    def drop(self, holder: Hashable) -> None:
        """Forget a holder."""
        share = self.shares.pop(holder, None)
        if share is not None:
            self._add(share, -share.size, -share.fixed_bytes)

    def _add(self, share: Share, size: int, fixed: int) -> None:
        self.total += size
        for key in share.keys:
            for sums, change in (
                (self.by_key, size),
                (self.fixed_by_key, fixed),
            ):
                sums[key] += change
                if not sums[key]:
                    del sums[key]

    def promise(self, holder: Hashable, length: int, now: float) -> None:
        """Reserve room for the rest of a body that is read from now on."""
        share = self.shares.get(holder)
        left = max(0, length - share.size) if share else length
        self.withdraw(holder)
        self.promises[holder] = Promise(left, now)
        self.promised += left

    def _keep_promise(self, holder: Hashable, size: int, now: float) -> None:
        promise = self.promises.get(holder)
        if promise is not None:
            used = min(size, promise.left)
            promise.left -= used
            promise.moved_at = now
            self.promised -= used

    def withdraw(self, holder: Hashable) -> None:
        """Give up the room reserved for a holder."""
        promise = self.promises.pop(holder, None)
        if promise is not None:
            self.promised -= promise.left

    def withdraw_stalled(self, now: float) -> None:
        """Give up the room reserved for bodies that do not arrive."""
        for holder, promise in list(self.promises.items()):
            if now - promise.moved_at >= STALLED_S:
                self.withdraw(holder)

    def is_short(self) -> bool:
        """Return whether new large bodies have to wait."""
        return self.total + self.promised > self.limit_bytes * WAIT_SHARE

    def must_wait(self, length: int) -> bool:
        """Return whether a body of at most so many bytes waits.

        >>> memory = CallerMemory(MB); memory.put("streams", 900_000, now=0.0)
        >>> [memory.must_wait(n) for n in (10_000, 50_000, 80_000)]
        [False, False, True]
        """
        if length <= SMALL_BODY_BYTES:
            return False
        if length <= ORDINARY_BODY_BYTES:
            return self.total + length > self.limit_bytes
        return self.is_short()

    def may_go_on(self, length: int) -> bool:
        """Return whether there is room for a body that has waited.

        One body goes on below the mark; others beside it must fit.
        """
        if self.must_wait(length):
            return False
        if length <= ORDINARY_BODY_BYTES or not self.promised:
            return True
        used = self.total + self.promised + length
        return used <= self.limit_bytes * WAIT_SHARE

    def greedy_keys(self, keys: tuple[str, ...], size: int) -> set[str]:
        """Return the keys whose running work would pass its share.

        >>> memory = CallerMemory(100)
        >>> memory.put("a", 40, now=0.0, keys=("key",), fixed=True)
        >>> memory.greedy_keys(("key",), 9), memory.greedy_keys(("key",), 11)
        (set(), {'key'})
        """
        most = self.limit_bytes * FAIR_SHARE - size
        return {key for key in keys if self.fixed_by_key.get(key, 0) > most}

    def choose(
        self, excess: float, now: float, *, idle_s: float = -inf
    ) -> list[Hashable]:
        """Return the holders to evict, in order, to free ``excess`` bytes.

        With ``idle_s``, only those that could progress and did not for so
        many seconds are taken, and no answers of ordinary size.
        """
        candidates = [
            (holder, share)
            for holder, share in self.shares.items()
            if not share.fixed
            and (idle_s == -inf or share.is_stalled(now - idle_s))
        ]
        greedy = self._greedy_key()
        ordered = sorted(
            candidates,
            key=lambda row: (
                greedy not in row[1].keys,
                row[1].is_last,
                row[1].waiting,
                row[1].pace(now),
                row[1].ran,
                -row[1].size,
            ),
        )
        return list(_take(ordered, excess))

    def _greedy_key(self) -> str:
        """Return the key that holds more than its share, '' if none does."""
        key = max(self.by_key, key=self.by_key.__getitem__, default="")
        if self.by_key.get(key, 0) > self.limit_bytes * FAIR_SHARE:
            return key
        return ""


def _take(
    rows: list[tuple[Hashable, Share]], excess: float
) -> Iterable[Hashable]:
    """Yield holders until their bytes reach the excess."""
    for holder, share in rows:
        if excess <= 0:
            return
        excess -= share.size
        yield holder
