"""Spread of findings between hosts.

News is passed on by every host that learns it, to a few random hosts at a
time, so that it reaches all in a number of rounds that grows with the
logarithm of their number (Demers et al. 1987).  While there is anything to
know, hosts also repeat it to one random host now and then, for those that
were down or cut off.
"""

from collections.abc import Sequence
from math import inf
from random import Random
from typing import TypeVar

T = TypeVar("T")

# Interval of rounds with news, and hosts that get it in each.
ROUND_INTERVAL_S = 0.25
FANOUT = 4
# Something is news for this long: the time in which it reaches all hosts.
NEWS_S = 2.0
# Interval of repeats of what is no news.
REPEAT_INTERVAL_S = 1.0


class Spread:
    """Chooses the receivers of each round."""

    __slots__ = ("last_sent_at", "rng")

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.last_sent_at = -inf

    def receivers(
        self, hosts: Sequence[T], changed_at: float, now: float
    ) -> list[T]:
        """Return the hosts to send to now, most often none.

        ``changed_at`` is when this host learned the last news.
        """
        is_news = now - changed_at < NEWS_S
        interval_s = ROUND_INTERVAL_S if is_news else REPEAT_INTERVAL_S
        first = changed_at > self.last_sent_at
        if now - self.last_sent_at < interval_s and not first:
            return []
        self.last_sent_at = now
        count = min(FANOUT if is_news else 1, len(hosts))
        return self.rng.sample(list(hosts), count)
