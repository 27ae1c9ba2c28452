"""Usage caps that hold over all hosts, without asking for each request.

The load it answers: one account sends many times its usual, through every
host at once, while others stay within their caps.
"""

from dataclasses import dataclass
from math import log

# Half-life of a demand: a few requests of even a small account.
DEMAND_S = 4.0
LN2 = log(2)
# Part of a cap that is dealt by demand; the rest is dealt evenly, so that a
# host on which an account turns up can serve its first requests.
BY_DEMAND = 0.85
# Fill of a new bucket: the run of this host that was killed may just have
# used its own up.
START_FILL = 0.4
# Part of a host's burst that lets any request go, the part that a small
# request takes at most, and how far small ones may overdraw.
LARGE_SHARE = 0.4
SMALL_SHARE = 0.05
SMALL_DEBT = 0.3


@dataclass(slots=True)
class Demand:
    """What an account asked for lately, as a rate a second."""

    rate: float = 0.0
    at: float = 0.0
    half_s: float = DEMAND_S

    def note(self, amount: float, now: float) -> None:
        """Count what was asked for, granted or not."""
        self.rate = self.current(now) + amount * LN2 / self.half_s
        self.at = now

    def current(self, now: float) -> float:
        """Return the rate, which decays while nothing is asked for."""
        return self.rate * 0.5 ** ((now - self.at) / self.half_s)


@dataclass(slots=True)
class Bucket:
    """This host's share of one account's cap, as a token bucket."""

    rate: float
    burst: float
    share: float = 1.0
    level: float = 0.0
    at: float = 0.0

    def refill(self, now: float) -> None:
        """Add what has come in since the last look."""
        most = self.burst * self.share
        gained = self.rate * self.share * max(0.0, now - self.at)
        self.level = min(most, self.level + gained)
        self.at = now

    def take(self, amount: float, now: float) -> float:
        """Take an amount; return 0, or the seconds until it may be taken.

        A large request goes once a part of the burst is there, and its debt
        delays what follows: the rate holds also where a host's share is
        smaller than one request.  Small ones still go in a little debt.
        """
        self.refill(now)
        most = self.burst * self.share
        needed = min(amount, LARGE_SHARE * most)
        if amount <= SMALL_SHARE * most:
            needed = -SMALL_DEBT * most
        if self.level >= needed:
            self.level -= amount
            return 0.0
        pace = self.rate * self.share
        return (needed - self.level) / pace if pace > 0 else 1.0

    def give_back(self, amount: float) -> None:
        """Return what a request that did not run had taken."""
        self.level = min(self.burst * self.share, self.level + amount)


def share_of(own: float, others: list[float], unheard: int) -> float:
    """Return this host's share of a cap.

    ``own`` and ``others`` are the rates last told to each other.  Each
    host not heard of keeps an even share; with nobody heard, an even
    share is all this host takes.

    >>> round(share_of(3.0, [1.0], 0), 4)
    0.7125
    >>> share_of(3.0, [], 3)
    0.25
    """
    heard = 1 + len(others)
    hosts = heard + unheard
    dealt = heard / hosts
    even = 1.0 / heard
    total = own + sum(others)
    fair = own / total if total > 0 else even
    return dealt * (BY_DEMAND * fair + (1 - BY_DEMAND) * even)
