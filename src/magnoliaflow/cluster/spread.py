"""Spread of findings between hosts.

News is passed on by every host that learns it, to a few random hosts at a
time, so that it reaches all in a number of rounds that grows with the
logarithm of their number (Demers et al. 1987).  While there is anything to
know, hosts also repeat it to one random host now and then, for those that
were down or cut off.
"""

from math import inf

# Interval of rounds with news, and hosts that get it in each.
ROUND_INTERVAL_S = 0.1
FANOUT = 3
# Something is news for this long: the time in which it reaches all hosts.
NEWS_S = 2.0
# Interval of repeats of what is no news.
REPEAT_INTERVAL_S = 0.5


class Spread:
    """Decides when to send, and to how many random hosts."""

    __slots__ = ("last_sent_at",)

    def __init__(self) -> None:
        self.last_sent_at = -inf

    def take_round(self, changed_at: float, now: float) -> int:
        """Return how many hosts to send to now, most often none.

        ``changed_at`` is when this host learned the last news.
        """
        is_news = now - changed_at < NEWS_S
        interval_s = ROUND_INTERVAL_S if is_news else REPEAT_INTERVAL_S
        if now - self.last_sent_at < interval_s:
            return 0
        self.last_sent_at = now
        return FANOUT if is_news else 1
