"""Choice of the entry hosts that a caller is told to use.

Serves callers of a large deployment, who close their connections to hosts that
are missing from their next answer: the answer for a zone changes only where a
host comes or goes.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from xxhash import xxh64_intdigest

# Addresses in an answer at most.
MAX_ADDRESSES = 64
# Addresses in an answer for a large deployment at least.  Hosts of other zones
# fill it up if fewer serve in the caller's zone.
ZONE_ADDRESSES = 16


@dataclass(frozen=True, slots=True)
class ServingHost:
    """A host that takes callers, with its address for them."""

    host: str
    zone: str
    address: str


def choose_addresses(hosts: Iterable[ServingHost], zone: str) -> list[str]:
    """Return the addresses for callers of a zone, sorted.

    All hosts if an answer can hold them.  Otherwise those of the caller's
    zone come first, then the others by rendezvous hashing on the zone.

    >>> choose_addresses([ServingHost("a", "x", "10.0.0.1:80")], "y")
    ['10.0.0.1:80']
    """
    serving = list(hosts)
    if len(serving) > MAX_ADDRESSES:
        serving.sort(
            key=lambda item: (
                item.zone != zone,
                xxh64_intdigest(f"{zone}>{item.host}".encode()),
            )
        )
        near = sum(1 for item in serving if item.zone == zone)
        count = min(MAX_ADDRESSES, max(near, ZONE_ADDRESSES))
        serving = serving[:count]
    return sorted(item.address for item in serving)
