"""Requests to both versions of a service, and their rates.

They answer traffic that grows or bursts while it moves to another version.
"""

from collections import deque
from math import exp
from math import inf
from math import sqrt

from magnoliaflow.policy.rollouttallies import Tallies

# Requests are counted over this time for the rates.
RATE_WINDOW_S = 3.0
MIN_RATE_WINDOW_S = 0.8


# A count above the mean over USUAL_S by this factor, and by as many standard
# deviations, is a burst, SETTLE_S after the first count.
USUAL_S = 10.0
SETTLE_S = 4.0
BURST_RATIO = 1.5
BURST_SPREAD = 3.0


class Traffic:
    """Requests of a service since the order, by route, and their rates."""

    __slots__ = (
        "seen",
        "sent",
        "samples",
        "began_s",
        "observed_s",
        "usual",
        "burst_s",
        "exposed",
        "in_time",
    )

    def __init__(self, elapsed_s: float) -> None:
        self.seen: dict[tuple[str, bool], int] = {}
        # Never fall, also if a host that reported a part of them ends.
        self.sent: dict[tuple[str, bool], int] = {}
        self.samples: deque[tuple[float, dict[tuple[str, bool], int]]] = (
            deque()
        )
        self.began_s = elapsed_s
        self.observed_s = elapsed_s
        # Mean rate, below 0 while not known, and when a burst was last seen.
        self.usual = -1.0
        self.burst_s = -inf
        # Requests to the target, with those not reported yet.
        self.exposed = 0.0
        # All requests until the time limit.
        self.in_time = 0

    def feed(self, at_s: float, tallies: Tallies, counts_age_s: float) -> None:
        for key, tally in tallies.items():
            grown = max(0, tally.sent - self.seen.get(key, 0))
            self.seen[key] = tally.sent
            self.sent[key] = self.sent.get(key, 0) + grown
        if at_s < counts_age_s:
            # Some hosts have not reported since the order.
            return
        self.samples.append((at_s, dict(self.sent)))
        while (
            len(self.samples) > 2
            and self.samples[1][0] <= at_s - RATE_WINDOW_S
        ):
            self.samples.popleft()

    def total(self, target: bool | None = None) -> int:
        return sum(
            count
            for (_, side), count in self.sent.items()
            if target is None or side == target
        )

    def rates(self) -> dict[str, float]:
        """Return requests per second by route; empty while not known."""
        if not self.samples:
            return {}
        first_s, first = self.samples[0]
        last_s, last = self.samples[-1]
        if last_s - first_s < MIN_RATE_WINDOW_S:
            return {}
        rates: dict[str, float] = {}
        for (route, side), count in last.items():
            grown = count - first.get((route, side), 0)
            rates[route] = rates.get(route, 0.0) + grown / (last_s - first_s)
        return rates

    def observe(self, elapsed_s: float, shares: dict[str, float]) -> None:
        """Follow the requests to the target and bursts."""
        rates = self.rates()
        passed_s = max(0.0, elapsed_s - self.observed_s)
        self.observed_s = elapsed_s
        self.exposed += passed_s * sum(
            rates.get(route, 0.0) * share for route, share in shares.items()
        )
        self.exposed = max(self.exposed, self.total(True))
        if not rates:
            return
        rate = sum(rates.values())
        if self.usual < 0.0 or elapsed_s < self.began_s + SETTLE_S:
            self.usual = rate
        self.usual += (1.0 - exp(-passed_s / USUAL_S)) * (rate - self.usual)
        usual = self.usual * RATE_WINDOW_S
        spread = BURST_SPREAD * (1 + sqrt(usual))
        if rate * RATE_WINDOW_S > BURST_RATIO * usual + spread:
            self.burst_s = elapsed_s

    def expected(self, seen_s: float, duration_s: float) -> float:
        """Return all requests until the limit, if the rate does not rise."""
        seen_s = max(MIN_RATE_WINDOW_S, seen_s)
        if seen_s <= duration_s:
            self.in_time = self.total()
        seen = self.in_time or self.total()
        rate = min(sum(self.rates().values()), seen / seen_s)
        return seen + rate * max(0.0, duration_s - seen_s)
