"""Limits of requests a second that engines name, shared by all hosts.

A limit is for all hosts together.  A few hosts share it evenly, each by the
time between its sends, so that their sum keeps to it without a word between
them; the others leave the engine alone.  Times are in seconds of one clock.
"""

from collections.abc import Iterable
from collections import OrderedDict
from dataclasses import dataclass
from math import inf

# Hosts that send to an engine with a limit.  Each may send once at any time,
# which is within the excess of five requests that is tolerated.
HOSTS_PER_LIMIT = 4
# A limit that no answer has named for this long has lapsed.
LIMIT_TTL_S = 30.0
# A limit near zero still lets a request through now and then, whose answer
# tells whether it holds.
MIN_RATE_PER_S = 0.1
# Bound of the memory that limits take.
MAX_LIMITS = 512
MAX_SENT_LIMITS = 32


@dataclass(frozen=True, slots=True)
class EngineLimit:
    """What a run of an engine named last, and when; None for no limit."""

    engine: str
    rate: float | None
    named_at: float


class EngineLimits:
    """The last limits that engines named, by run of the engine."""

    __slots__ = ("_limits", "changed_at")

    def __init__(self) -> None:
        self._limits: OrderedDict[str, EngineLimit] = OrderedDict()
        self.changed_at = -inf

    def observe(self, engine: str, rate: float | None, now: float) -> bool:
        """Record what an answer named; return whether that is a change."""
        known = self._limits.get(engine)
        if known is None and rate is None:
            return False
        self._limits[engine] = EngineLimit(engine, rate, now)
        self._limits.move_to_end(engine)
        if len(self._limits) > MAX_LIMITS:
            self._limits.popitem(last=False)
        changed = known is None or known.rate != rate
        if changed:
            self.changed_at = now
        return changed

    def merge(self, limits: Iterable[EngineLimit], now: float) -> bool:
        """Add what other hosts were told; return whether any was news."""
        changed = False
        for limit in limits:
            known = self._limits.get(limit.engine)
            old = now - limit.named_at > LIMIT_TTL_S
            if old or (known is not None and known.named_at >= limit.named_at):
                continue
            self._limits[limit.engine] = limit
            if known is None or known.rate != limit.rate:
                changed = True
                self.changed_at = now
        return changed

    def expire(self, now: float) -> bool:
        """Drop what has lapsed; return whether anything has."""
        old = [
            limit.engine
            for limit in self._limits.values()
            if now - limit.named_at > LIMIT_TTL_S
        ]
        for engine in old:
            del self._limits[engine]
        return bool(old)

    def rate(self, engine: str) -> float | None:
        """Return the limit in force for a run of an engine, or None."""
        limit = self._limits.get(engine)
        return None if limit is None else limit.rate

    def known(self) -> list[EngineLimit]:
        """Return what other hosts need to know, the newest first."""
        newest = sorted(
            self._limits.values(), key=lambda limit: -limit.named_at
        )
        return newest[:MAX_SENT_LIMITS]

    def engines(self) -> set[str]:
        """Return the names of the engines that are known to name a limit."""
        return {run.rpartition("/")[0] for run in self._limits}

    def __len__(self) -> int:
        return len(self._limits)


def send_interval(rate: float, rank: int, hosts: int) -> float:
    """Return the seconds between this host's sends, inf for none.

    ``rank`` is this host's place among all ``hosts`` at the engine.

    >>> send_interval(2.0, 0, 4)
    2.0
    >>> send_interval(2.0, 4, 37)
    inf
    """
    if rank >= HOSTS_PER_LIMIT:
        return inf
    return min(hosts, HOSTS_PER_LIMIT) / max(rate, MIN_RATE_PER_S)
