"""Usage caps that hold over all hosts, without asking for each request.

The load it answers: one account sends many times its usual, through every
host at once, while others stay within their caps.
"""

from dataclasses import dataclass
from math import log

# Half-life of a demand: a few requests of even a small account.
DEMAND_HALF_LIFE_S = 4.0
LN2 = log(2)
# Part of a cap that is dealt by demand; the rest is dealt evenly, so that a
# host on which an account turns up can serve its first requests.
DEMAND_WEIGHT = 0.85
# Fill of a new bucket: the run of this host that was killed may just have
# used its own up.
INITIAL_FILL = 0.4
# Part of a host's burst that lets any request go, the part that a small
# request takes at most, and how far small ones may overdraw.
LARGE_REQUEST_SHARE = 0.4
SMALL_REQUEST_SHARE = 0.05
SMALL_REQUEST_OVERDRAFT = 0.3

# Part of what a bound tolerates beyond a cap that is granted, so that uneven
# shares do not refuse what an account may ask.  The rest covers what hosts
# grant before they have told each other, with beats of this period.
GRANTED_OVERAGE_SHARE = 0.5
FAST_HEARTBEAT_PERIOD_S = 0.25


@dataclass(frozen=True, slots=True)
class Limit:
    """A cap as it is granted: per second, and at once."""

    rate: float
    burst: float


def granted_limit(
    rate: float,
    burst: float,
    *,
    overage: float,
    tolerance: float,
    heartbeat_period_s: float,
) -> Limit:
    """Return what to grant of a cap and of what is tolerated beyond it.

    ``overage`` is a part of the cap, ``tolerance`` an amount; hosts that
    tell each other less often grant less of these.

    >>> granted_limit(
    ...     10.0, 50.0, overage=0.1, tolerance=20.0, heartbeat_period_s=0.5
    ... )
    Limit(rate=10.25, burst=55.0)
    """
    granted = GRANTED_OVERAGE_SHARE * min(
        1.0, FAST_HEARTBEAT_PERIOD_S / heartbeat_period_s
    )
    return Limit(rate * (1 + overage * granted), burst + tolerance * granted)


@dataclass(slots=True)
class Demand:
    """What an account asked for lately, as a rate a second."""

    rate: float = 0.0
    updated_at: float = 0.0
    half_life_s: float = DEMAND_HALF_LIFE_S

    def record(self, amount: float, now: float) -> None:
        """Count what was asked for, granted or not."""
        self.rate = self.current(now) + amount * LN2 / self.half_life_s
        self.updated_at = now

    def current(self, now: float) -> float:
        """Return the rate, which decays while nothing is asked for."""
        return self.rate * 0.5 ** ((now - self.updated_at) / self.half_life_s)


@dataclass(slots=True)
class Bucket:
    """This host's share of a rate, as a token bucket."""

    rate: float
    burst: float
    share: float = 1.0
    level: float = 0.0
    updated_at: float = 0.0

    def refill(self, now: float) -> None:
        """Add what has come in since the last look."""
        capacity = self.burst * self.share
        gained = self.rate * self.share * max(0.0, now - self.updated_at)
        self.level = min(capacity, self.level + gained)
        self.updated_at = now


@dataclass(slots=True)
class Cap:
    """One account's cap, as this host sees the whole deployment's use of it.

    ``level`` is what is left for the hosts that hear each other, ``reserve``
    what those not heard of may have; ``dealt`` is the part of the cap that
    the former refill.  ``allowance`` is what this host may take before it
    next tells the others what it has taken.
    """

    rate: float
    burst: float
    level: float = 0.0
    reserve: float = 0.0
    share: float = 1.0
    live_share: float = 1.0
    allowance: float = 0.0
    updated_at: float = 0.0

    def refill(self, now: float) -> None:
        """Add what has come in since the last look."""
        gained = self.rate * max(0.0, now - self.updated_at)
        self.updated_at = now
        live, silent = self.live_share, 1.0 - self.live_share
        self.level = min(self.burst * live, self.level + gained * live)
        self.reserve = min(self.burst * silent, self.reserve + gained * silent)
        local_share = self.share * live
        self.allowance = min(
            self.burst * local_share, self.allowance + gained * local_share
        )

    def take(self, amount: float, now: float) -> float:
        """Take an amount; return 0, or the seconds until it may be taken.

        A large request goes once a part of the burst is there, and its debt
        delays what follows: the rate holds also where a host's share is
        smaller than one request.  Small ones still go in a little debt.
        """
        self.refill(now)
        capacity = self.burst * self.share * self.live_share
        needed = min(amount, LARGE_REQUEST_SHARE * capacity)
        if amount <= SMALL_REQUEST_SHARE * capacity:
            needed = -SMALL_REQUEST_OVERDRAFT * capacity
        if self.allowance >= needed:
            self.level -= amount
            self.allowance -= amount
            return 0.0
        refill_rate = self.rate * self.share * self.live_share
        return (
            (needed - self.allowance) / refill_rate if refill_rate > 0 else 1.0
        )

    def refund(self, amount: float) -> None:
        """Return what a request that did not run had taken."""
        self.level += amount
        self.allowance += amount

    def record_spent(self, amount: float, now: float) -> None:
        """Count what another host says it has taken since it last did."""
        self.refill(now)
        self.level -= amount

    def set_shares(self, share: float, live_share: float, now: float) -> None:
        """Set this host's part of what is left, as it tells the others.

        ``share`` is its part among the hosts heard, ``dealt`` their part of
        the cap.  What hosts that fell silent may spend moves to the reserve
        and comes back with them.
        """
        self.refill(now)
        if live_share < self.live_share:
            moved = self.level * (1.0 - live_share / self.live_share)
            self.level -= moved
            self.reserve += moved
        elif live_share > self.live_share:
            moved = (
                self.reserve
                * (live_share - self.live_share)
                / (1.0 - self.live_share)
            )
            self.level += moved
            self.reserve -= moved
        self.share = share
        self.live_share = live_share
        self.allowance = self.level * share


def host_share(local_rate: float, peer_rates: list[float]) -> float:
    """Return this host's share among the hosts that hear each other.

    ``own`` and ``others`` are the rates last told to each other.

    >>> round(host_share(3.0, [1.0]), 4)
    0.7125
    >>> host_share(3.0, [])
    1.0
    """
    even = 1.0 / (1 + len(peer_rates))
    total = local_rate + sum(peer_rates)
    fair = local_rate / total if total > 0 else even
    return DEMAND_WEIGHT * fair + (1 - DEMAND_WEIGHT) * even
