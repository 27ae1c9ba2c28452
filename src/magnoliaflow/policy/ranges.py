"""Placement by order-preserving prefix keys, balanced by a histogram.

Follows the DROP paper: keys preserve the order of prefixes, servers own
contiguous key ranges, and small ranges move from a loaded server to its
neighbour.  Measurements are in docs/DESIGN.md.
"""

from bisect import bisect_right

from magnoliaflow.policy.engines import Engine
from magnoliaflow.policy.routing import policy
from magnoliaflow.policy.routing import RoutingRequest
from magnoliaflow.policy.routing import RoutingState

KEY_BLOCKS = 4
BLOCK_BITS = 16
BUCKETS = 256
REBALANCE_INTERVAL = 64
IMBALANCE_RATIO = 1.25
HISTOGRAM_DECAY = 0.5
BOUNDED_LOAD = 1.25


def order_key(blocks: tuple[int, ...]) -> int:
    """Return a key that preserves the block-wise order of prefixes.

    >>> order_key((1, 5)) < order_key((1, 6)) < order_key((2,))
    True
    """
    key = 0
    for index in range(KEY_BLOCKS):
        part = blocks[index] if index < len(blocks) else 0
        key = key << BLOCK_BITS | part & (1 << BLOCK_BITS) - 1
    return key


class RangeMap:
    """Assignment of contiguous bucket ranges of the key space to engines."""

    __slots__ = ("bounds", "decisions", "histogram", "names")

    def __init__(self, names: tuple[str, ...]) -> None:
        self.names = names
        self.histogram = [0.0] * BUCKETS
        self.decisions = 0
        self.bounds = [
            (index + 1) * BUCKETS // len(names)
            for index in range(len(names) - 1)
        ]

    def owner(self, bucket: int) -> int:
        """Return the index of the engine that owns a bucket."""
        return bisect_right(self.bounds, bucket)

    def record_load(self, bucket: int, tokens: int) -> None:
        """Add load to a bucket and rebalance at regular intervals."""
        self.histogram[bucket] += tokens
        self.decisions += 1
        if self.decisions % REBALANCE_INTERVAL == 0:
            self.rebalance()

    def rebalance(self) -> None:
        """Move one bucket between each pair of unbalanced neighbours."""
        edges = [0, *self.bounds, BUCKETS]
        loads = [
            sum(self.histogram[start:end])
            for start, end in zip(edges, edges[1:])
        ]
        for index, bound in enumerate(self.bounds):
            left, right = loads[index], loads[index + 1]
            if left > IMBALANCE_RATIO * right and bound - 1 > edges[index]:
                self.bounds[index] = bound - 1
            elif (
                right > IMBALANCE_RATIO * left and bound + 1 < edges[index + 2]
            ):
                self.bounds[index] = bound + 1
        self.histogram = [load * HISTOGRAM_DECAY for load in self.histogram]


@policy("key_ranges")
def key_ranges(
    routing: RoutingState,
    request: RoutingRequest,
    engines: list[Engine],
    now: float,
) -> Engine:
    """Return the owner of the prefix, or the next engine below its bound."""
    names = tuple(sorted(routing.groups[request.backend]))
    ranges = routing.ranges.get(request.backend)
    if ranges is None or ranges.names != names:
        ranges = RangeMap(names)
        routing.ranges[request.backend] = ranges
    bucket = order_key(request.blocks) * BUCKETS >> KEY_BLOCKS * BLOCK_BITS
    ranges.record_load(bucket, request.prompt_tokens)
    owner_index = ranges.owner(bucket)
    usable = {engine.name: engine for engine in engines}
    total = sum(engine.occupied() for engine in engines) + 1
    slots = sum(engine.cfg.slots for engine in engines)
    in_order = [
        usable[name]
        for name in names[owner_index:] + names[:owner_index]
        if name in usable
    ]
    for engine in in_order:
        bound = BOUNDED_LOAD * total * engine.cfg.slots / slots
        if engine.occupied() < bound:
            return engine
    return in_order[0]
