"""Usage caps enforced over all hosts without coordination per request.

Guards against an account that sends many times its usual load through all
hosts at once while the other accounts stay within their caps.
"""

from dataclasses import dataclass
from math import inf
from math import log

# Half-life of a demand; spans a few requests of even a small account.
DEMAND_HALF_LIFE_S = 4.0
LN2 = log(2)
# Share of a cap that is distributed by demand.  The rest is distributed
# evenly, so that a host can serve the first requests of an account new to it.
DEMAND_WEIGHT = 0.85
# Initial fill of a new bucket: this host's previous process may have used up
# its own just before it was killed.
INITIAL_FILL = 0.4
# Shares of a host's burst: the allowance that admits a request of any size,
# the maximum size of a small request, and the overdraft for small requests.
LARGE_REQUEST_SHARE = 0.4
SMALL_REQUEST_SHARE = 0.05
SMALL_REQUEST_OVERDRAFT = 0.3
# Share of the surplus that one host may take between two reports.  The surplus
# is what is left of a cap beyond what all hosts take at the known demand
# before they hear of each other.  With many hosts, each gets so few requests
# of an account that its share of the demand says little.
SURPLUS_SHARE = 0.125

# Granted share of the usage tolerated beyond a cap, so that an account within
# its cap is not refused because its load is uneven over the hosts.  The rest
# covers what hosts grant before they receive each other's usage, with
# heartbeats every FAST_HEARTBEAT_INTERVAL_S.
GRANTED_OVERAGE_SHARE = 0.5
FAST_HEARTBEAT_INTERVAL_S = 0.25


@dataclass(frozen=True, slots=True)
class Limit:
    """Granted rate per second and burst of a cap."""

    rate: float
    burst: float


def granted_limit(
    rate: float,
    burst: float,
    *,
    overage: float,
    tolerance: float,
    heartbeat_interval_s: float,
) -> Limit:
    """Return the limit to grant, including a part of the tolerated overage.

    ``overage`` is relative to the rate, ``tolerance`` is an amount added to
    the burst; the longer the heartbeat interval, the less of them is granted.

    >>> granted_limit(
    ...     10.0, 50.0, overage=0.1, tolerance=20.0, heartbeat_interval_s=0.5
    ... )
    Limit(rate=10.25, burst=55.0)
    """
    granted = GRANTED_OVERAGE_SHARE * min(
        1.0, FAST_HEARTBEAT_INTERVAL_S / heartbeat_interval_s
    )
    return Limit(rate * (1 + overage * granted), burst + tolerance * granted)


@dataclass(slots=True)
class Demand:
    """Demand of an account as a smoothed rate per second."""

    rate: float = 0.0
    updated_at: float = 0.0
    half_life_s: float = DEMAND_HALF_LIFE_S

    def record(self, amount: float, now: float) -> None:
        """Count a requested amount, granted or not."""
        self.rate = self.current(now) + amount * LN2 / self.half_life_s
        self.updated_at = now

    def current(self, now: float) -> float:
        """Return the rate, which decays while nothing is requested."""
        return self.rate * 0.5 ** ((now - self.updated_at) / self.half_life_s)


@dataclass(slots=True)
class Bucket:
    """Token bucket for this host's share of a rate."""

    rate: float
    burst: float
    share: float = 1.0
    level: float = 0.0
    updated_at: float = 0.0

    def refill(self, now: float) -> None:
        """Add the amount accrued since the last update."""
        capacity = self.burst * self.share
        gained = self.rate * self.share * max(0.0, now - self.updated_at)
        self.level = min(capacity, self.level + gained)
        self.updated_at = now


@dataclass(slots=True)
class Cap:
    """An account's cap and its usage over the whole deployment.

    ``level`` is the amount left to the live hosts, ``live_share`` their
    share of the cap and ``reserve`` the amount set aside for silent hosts.
    ``share`` is the local host's share among the live hosts, ``allowance``
    the amount that it may take before it next reports its usage.
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
        """Add the amount accrued since the last update."""
        gained = self.rate * max(0.0, now - self.updated_at)
        self.updated_at = now
        live, silent = self.live_share, 1.0 - self.live_share
        self.level = min(self.burst * live, self.level + gained * live)
        self.reserve = min(self.burst * silent, self.reserve + gained * silent)
        local_share = self.share * live
        self.allowance = min(
            max(self.burst * local_share, self.allowance),
            self.allowance + gained * local_share,
        )

    def take(self, amount: float, now: float) -> float:
        """Take an amount and return 0, or return the seconds to wait.

        A large request is admitted once a part of the burst is available,
        and its debt delays later ones, so the rate holds even if the host's
        share is smaller than one request.  Small requests are still admitted
        at a small debt.
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
        """Give back the amount taken by a request that did not run."""
        self.level += amount
        self.allowance += amount

    def record_spent(self, amount: float, now: float) -> None:
        """Count the amount a peer has taken since its last report."""
        self.refill(now)
        self.level -= amount

    def set_shares(
        self,
        share: float,
        live_share: float,
        now: float,
        *,
        unseen_use: float = inf,
    ) -> None:
        """Set the shares of the cap, whenever the host reports its usage.

        ``share`` is the local host's share among the live hosts,
        ``live_share`` the live hosts' share of the cap.  The part of a host
        that falls silent moves to the reserve, and back once it is live.
        ``unseen_use`` is what the live hosts take at their demand before they
        hear of each other.
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
        surplus = max(0.0, self.level - unseen_use)
        self.allowance = self.level * share + surplus * SURPLUS_SHARE


def host_share(
    local_rate: float, others_rate: float, other_hosts: int
) -> float:
    """Return the local host's share of a limit among the live hosts.

    ``local_rate`` and ``others_rate`` are the demands last reported, the
    latter the sum over the other live hosts.

    >>> round(host_share(3.0, 1.0, 1), 4)
    0.7125
    >>> host_share(3.0, 0.0, 0)
    1.0
    """
    even = 1.0 / (1 + other_hosts)
    total = local_rate + max(0.0, others_rate)
    fair = local_rate / total if total > 0 else even
    return DEMAND_WEIGHT * fair + (1 - DEMAND_WEIGHT) * even
