"""Groups of hosts and the choice of their aggregators.

Hosts of an availability zone form groups of bounded size.  Every host derives
the groups and their aggregators from the hosts it knows, without an election.
Hosts that disagree for a moment report to different aggregators, which is
harmless: digests are sums over sets of hosts, and their receivers use one
digest of a group at a time.
"""

from collections.abc import Iterable
from collections import defaultdict
from functools import lru_cache
from math import ceil

from xxhash import xxh64_intdigest

# Hosts in a group at most.  An aggregator decodes the reports of its whole
# group, and every host one digest of each group.
MAX_GROUP_HOSTS = 24
# A second aggregator receives all reports, to publish when the first fails.
AGGREGATORS_PER_GROUP = 2
SCORE_CACHE_SIZE = 4096


@lru_cache(maxsize=SCORE_CACHE_SIZE)
def rendezvous_score(key: str, host: str) -> int:
    """Return a host's score for a key (Thaler and Ravishankar 1998)."""
    return int(xxh64_intdigest(f"{key}>{host}".encode()))


def group_names(zones: dict[str, str]) -> dict[str, str]:
    """Return the group of each host, given the zone of each host.

    >>> sorted(set(group_names({"a": "x", "b": "x", "c": "y"}).values()))
    ['x/0', 'y/0']
    """
    by_zone: dict[str, list[str]] = defaultdict(list)
    for host, zone in zones.items():
        by_zone[zone].append(host)
    groups = {}
    for zone, hosts in by_zone.items():
        count = ceil(len(hosts) / MAX_GROUP_HOSTS)
        for host in hosts:
            index = rendezvous_score(zone, host) % count
            groups[host] = f"{zone}/{index}"
    return groups


def rank_aggregators(group: str, hosts: Iterable[str]) -> list[str]:
    """Return the hosts in the order in which they act as aggregators.

    >>> ranked = rank_aggregators("x/0", ["a", "b", "c"])
    >>> rank_aggregators("x/0", ranked[1:]) == ranked[1:]
    True
    """
    return sorted(
        hosts, key=lambda host: rendezvous_score(group, host), reverse=True
    )
