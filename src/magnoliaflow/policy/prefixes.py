"""Index of the prompt prefixes in the engines' caches."""

from collections import OrderedDict
from itertools import zip_longest
from math import inf

DEFAULT_BLOCKS_PER_ENGINE = 4096
TRUST_AFTER_GAP = 0.5
TRUST_GAIN = 0.02
AGE_SMOOTHING = 0.05


class PrefixIndex:
    """Cached blocks by engine, from local sends and cache events.

    A gap in an engine's events lowers the trust in its entries but does
    not remove them.  ``capacity`` bounds the blocks kept for an engine, or
    the sum of their sizes if sizes are given.
    """

    __slots__ = (
        "_blocks",
        "_evicted_age",
        "_holders",
        "_last_event",
        "_sizes",
        "_totals",
        "_trust",
        "capacity",
    )

    def __init__(self, *, capacity: int = DEFAULT_BLOCKS_PER_ENGINE) -> None:
        self.capacity = capacity
        self._blocks: dict[str, OrderedDict[int, float]] = {}
        self._evicted_age: dict[str, float] = {}
        self._holders: dict[int, tuple[str, ...]] = {}
        self._last_event: dict[str, int] = {}
        self._sizes: dict[int, int] = {}
        self._totals: dict[str, int] = {}
        self._trust: dict[str, float] = {}

    def add(
        self,
        engine: str,
        blocks: tuple[int, ...],
        now: float,
        *,
        sizes: tuple[int, ...] = (),
    ) -> None:
        """Record that the engine holds the blocks, last used at ``now``."""
        known = self._blocks.setdefault(engine, OrderedDict())
        total = self._totals.get(engine, 0)
        for block, size in zip_longest(blocks, sizes, fillvalue=1):
            if block not in known:
                self._sizes.setdefault(block, size)
                total += self._sizes[block]
            known[block] = now
            known.move_to_end(block)
            holders = self._holders.get(block, ())
            if engine not in holders:
                self._holders[block] = (*holders, engine)
        while total > self.capacity and len(known) > 1:
            oldest, _ = known.popitem(last=False)
            total -= self._sizes[oldest]
            self._remove_holder(engine, oldest)
        self._totals[engine] = total

    def remove(self, engine: str, block: int, now: float) -> None:
        """Record that the engine evicted the block."""
        known = self._blocks.get(engine)
        if known is None or block not in known:
            return
        age = now - known.pop(block)
        previous = self._evicted_age.get(engine, age)
        self._evicted_age[engine] = previous + AGE_SMOOTHING * (age - previous)
        self._totals[engine] -= self._sizes[block]
        self._remove_holder(engine, block)

    def evicted_age(self, engine: str) -> float:
        """Return the smoothed idle time of evicted blocks in seconds.

        It is infinite until the engine is known to have evicted a block.
        """
        return self._evicted_age.get(engine, inf)

    def apply_event(
        self, engine: str, number: int, block: int, present: bool, now: float
    ) -> None:
        """Apply one numbered cache event of an engine."""
        last = self._last_event.get(engine)
        if last is not None and number > last + 1:
            self._trust[engine] = TRUST_AFTER_GAP
        self._last_event[engine] = max(number, last or 0)
        if present:
            self.add(engine, (block,), now)
            return
        self.remove(engine, block, now)

    def raise_trust(self, engine: str) -> None:
        """Raise the trust in an engine's entries by ``TRUST_GAIN``."""
        trust = self._trust.get(engine, 1.0)
        self._trust[engine] = min(1.0, trust + TRUST_GAIN)

    def last_event(self, engine: str) -> int:
        """Return the number of the last event applied for an engine."""
        return self._last_event.get(engine, 0)

    def remove_engine(self, engine: str) -> None:
        """Remove all entries of an engine."""
        for block in self._blocks.pop(engine, ()):
            self._remove_holder(engine, block)
        self._last_event.pop(engine, None)
        self._trust.pop(engine, None)
        self._totals.pop(engine, None)
        self._evicted_age.pop(engine, None)

    def matched(self, engine: str, blocks: tuple[int, ...]) -> float:
        """Return the expected number of leading blocks in the cache."""
        known = self._blocks.get(engine)
        if not known:
            return 0.0
        count = 0
        for block in blocks:
            if block not in known:
                break
            count += 1
        return count * self._trust.get(engine, 1.0)

    def holders(
        self, blocks: tuple[int, ...], *, max_count: int
    ) -> tuple[str, ...]:
        """Return up to ``max_count`` holders of the longest known prefix."""
        low, high = 0, len(blocks)
        while low < high:
            middle = (low + high + 1) // 2
            if self._holders.get(blocks[middle - 1]):
                low = middle
            else:
                high = middle - 1
        if low == 0:
            return ()
        return self._holders[blocks[low - 1]][:max_count]

    def _remove_holder(self, engine: str, block: int) -> None:
        holders = self._holders.get(block, ())
        remaining = tuple(name for name in holders if name != engine)
        if remaining:
            self._holders[block] = remaining
            return
        self._holders.pop(block, None)
        self._sizes.pop(block, None)
