"""Assignment of sessions to engines by consistent hashing.

Hosts agree on the engine of a session without communication, and few sessions
move when an engine joins or leaves (Karger et al. 1997).
"""

from bisect import bisect_right
from collections.abc import Iterable
from collections.abc import Iterator

from xxhash import xxh64_intdigest

# Virtual nodes per engine; the engines' shares then differ by about a sixth.
VIRTUAL_NODES = 32


class HashRing:
    """Consistent-hash ring of one service's engines."""

    __slots__ = ("names", "positions")

    def __init__(self, names: Iterable[str]) -> None:
        nodes = sorted(
            (xxh64_intdigest(name.encode(), seed=node), name)
            for name in names
            for node in range(VIRTUAL_NODES)
        )
        self.positions = [position for position, _ in nodes]
        self.names = [name for _, name in nodes]

    def walk(self, key: int) -> Iterator[str]:
        """Yield a session's preferred engine, then its successors.

        >>> ring = HashRing(["a", "b", "c"])
        >>> preferred, *others = ring.walk(7)
        >>> len(others), preferred in others
        (2, False)
        >>> kept = HashRing(name for name in "abc" if name != preferred)
        >>> next(kept.walk(7)) == others[0]
        True
        """
        start = bisect_right(
            self.positions, xxh64_intdigest(str(key).encode())
        )
        seen: set[str] = set()
        for offset in range(len(self.names)):
            name = self.names[(start + offset) % len(self.names)]
            if name not in seen:
                seen.add(name)
                yield name
