"""Bound on the memory that buffered bodies of all connections take."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from typing import Protocol

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.loop import reactor
from magnoliaflow.policy.callermemory import CallerMemory
from magnoliaflow.policy.callermemory import ORDINARY_BODY_BYTES
from magnoliaflow.policy.callermemory import STALLED_S
from magnoliaflow.policy.callermemory import WAIT_SHARE

# How often stalled holders are looked for while bodies wait.
RECLAIM_INTERVAL_S = 0.5


class BufferHolder(Protocol):
    """Something that holds buffered bytes and can be made to drop them."""

    def __hash__(self) -> int:
        """Return the hash of the holder itself."""

    def evict(self) -> None:
        """Drop the bytes and end the work that they belong to."""


@dataclass(frozen=True, slots=True)
class Eviction:
    """Bytes that were dropped; ``keys`` name their caller.

    ``idle_s`` is the time since the holder's last progress, ``held`` the
    bytes of all holders.
    """

    kind: str
    size: int
    keys: tuple[str, ...]
    idle_s: float
    held: int


@dataclass(frozen=True, slots=True)
class Waiter:
    """A body that waits for room; ``length`` is its most bytes."""

    length: int
    keys: tuple[str, ...]
    resume: Callable[[], None]


class BufferBudget:
    """Buffered bytes by holder.

    When all hold more than the limit, those with the least progress are
    evicted: a peer that sends without end, stops, or does not read, loses
    its own work and not that of others.

    >>> class Holder:
    ...     def evict(self): budget.release(self); print("evicted")
    >>> budget = BufferBudget(100)
    >>> budget.hold(Holder(), 90); budget.hold(Holder(), 20)
    evicted
    >>> budget.total
    20
    """

    __slots__ = (
        "memory",
        "on_evicted",
        "reclaim_timer",
        "resume_call",
        "waiting",
    )

    def __init__(
        self,
        limit_bytes: int,
        *,
        on_evicted: Callable[[Eviction], None] = lambda eviction: None,
    ) -> None:
        self.memory = CallerMemory(limit_bytes)
        self.on_evicted = on_evicted
        self.waiting: dict[Any, Waiter] = {}
        self.resume_call: Any = None
        self.reclaim_timer: Any = None

    @property
    def total(self) -> int:
        """Return the bytes of all holders."""
        return self.memory.total

    @property
    def limit_bytes(self) -> int:
        """Return the bytes that all may hold."""
        return self.memory.limit_bytes

    @limit_bytes.setter
    def limit_bytes(self, value: int) -> None:
        self.memory.limit_bytes = value

    def must_wait(self, length: int) -> bool:
        """Return whether a body of at most so many bytes waits.

        A large one waits behind others that do.
        """
        is_large = length > ORDINARY_BODY_BYTES
        return self.memory.must_wait(length) or (
            is_large and bool(self.waiting)
        )

    def hold(
        self,
        holder: BufferHolder,
        size: int,
        *,
        keys: tuple[str, ...] = (),
        fixed: bool = False,
        waiting: bool = False,
        ran: bool = False,
    ) -> None:
        """Set the bytes of a holder; evict while there are too many."""
        now = boot_time()
        self.memory.put(
            holder,
            size,
            now=now,
            keys=keys,
            fixed=fixed,
            waiting=waiting,
            ran=ran,
        )
        excess = self.memory.total - self.memory.limit_bytes
        if excess > 0:
            self._evict(self.memory.choose(excess, now), now)

    def touch(self, holder: BufferHolder, count: int) -> None:
        """Count bytes as progress of a holder."""
        self.memory.touch(holder, count, boot_time())

    def release(self, holder: BufferHolder) -> None:
        """Forget a holder."""
        self.memory.drop(holder)
        if self.waiting and self.resume_call is None:
            self.resume_call = reactor.callLater(0, self._resume)

    def crowds_out(self, keys: tuple[str, ...], size: int) -> bool:
        """Return whether a request would take the room of waiting ones.

        Its address or account would hold more than its share for requests
        that run, while bodies of others wait.
        """
        if not (self.waiting and size):
            return False
        greedy = self.memory.greedy_keys(keys, size)
        return bool(greedy) and any(
            greedy.isdisjoint(waiter.keys) for waiter in self.waiting.values()
        )

    def wait(
        self,
        holder: BufferHolder,
        length: int,
        keys: tuple[str, ...],
        resume: Callable[[], None],
    ) -> None:
        """Call ``resume`` once there is room for a body of a length.

        The room is reserved until the body is complete or stalls.
        """
        self.waiting[holder] = Waiter(length, keys, resume)
        if self.reclaim_timer is None:
            self.reclaim_timer = reactor.callLater(
                RECLAIM_INTERVAL_S, self._reclaim
            )

    def stop_waiting(self, holder: BufferHolder) -> None:
        """Forget that a holder waits, and the room reserved for it."""
        self.waiting.pop(holder, None)
        self.memory.withdraw(holder)

    def _resume(self) -> None:
        """Let waiting bodies be read, the oldest first."""
        self.resume_call = None
        now = boot_time()
        self.memory.withdraw_stalled(now)
        is_full = False
        for holder, waiter in list(self.waiting.items()):
            is_large = waiter.length > ORDINARY_BODY_BYTES
            if is_large and is_full:
                continue
            if not self.memory.may_go_on(waiter.length):
                is_full = is_full or is_large
                continue
            del self.waiting[holder]
            self.memory.promise(holder, waiter.length, now)
            waiter.resume()

    def _reclaim(self) -> None:
        """Evict stalled holders while bodies wait for room."""
        self.reclaim_timer = None
        now = boot_time()
        excess = self.memory.total - self.memory.limit_bytes * WAIT_SHARE
        if self.waiting and excess > 0:
            stalled = self.memory.choose(excess, now, idle_s=STALLED_S)
            self._evict(stalled, now)
        if self.resume_call is None:
            self._resume()
        if self.waiting:
            self.reclaim_timer = reactor.callLater(
                RECLAIM_INTERVAL_S, self._reclaim
            )

    def _evict(self, holders: list[Any], now: float) -> None:
        for holder in holders:
            share = self.memory.shares.get(holder)
            if share is None:
                continue
            self.on_evicted(
                Eviction(
                    type(holder).__name__,
                    share.size,
                    share.keys,
                    now - share.moved_at,
                    self.memory.total,
                )
            )
            holder.evict()
            self.release(holder)
