"""Which requests a draining host still takes, and when it has to end."""

from dataclasses import dataclass
from math import inf

# A stop has to end before the platform kills the process: the last messages
# and the exit of the interpreter take up to EXIT_S of the grace period.
# Requests that still run are ended FLUSH_S earlier, with an answer.
EXIT_S = 0.5
FLUSH_S = 0.15
# Requests are taken by their expected duration for this long after the start
# of a drain, later only if their time limit ends before the drain does.
EXPECTED_TAKE_S = 2.5
# Factor on the longest recent duration of a route's requests.
DURATION_MARGIN = 1.25
# Answers at a time limit are written this long before the drain ends.
LIMIT_MARGIN_S = 0.1
DURATION_HALF_LIFE_S = 60.0


@dataclass(slots=True)
class LongestDuration:
    """Longest duration in seconds of a route's recent requests.

    It is halved every DURATION_HALF_LIFE_S; inf before the first request.

    >>> longest = LongestDuration()
    >>> longest.record(4.0, 0.0); longest.record(1.0, 60.0)
    >>> longest.current(60.0)
    2.0
    """

    duration_s: float = inf
    updated_at: float = 0.0

    def record(self, duration_s: float, now: float) -> None:
        """Record the duration of a request that was answered."""
        recent_s = self.current(now)
        self.duration_s = max(duration_s, recent_s if recent_s < inf else 0.0)
        self.updated_at = now

    def current(self, now: float) -> float:
        """Return the longest duration, which decays with time."""
        if self.duration_s == inf:
            return inf
        age_s = now - self.updated_at
        return self.duration_s * 0.5 ** (age_s / DURATION_HALF_LIFE_S)


@dataclass(frozen=True, slots=True)
class DrainWindow:
    """Times of a drain on the boot clock.

    Running requests are ended at ``ends_at``; the process stops at
    ``stops_at`` at the latest.
    """

    started_at: float
    ends_at: float
    stops_at: float

    @classmethod
    def begin(cls, now: float, grace_s: float) -> "DrainWindow":
        """Return the window of a drain with a grace period."""
        stops_s = max(grace_s / 2, grace_s - EXIT_S)
        return cls(now, now + max(0.0, stops_s - FLUSH_S), now + stops_s)

    def takes(self, now: float, deadline_at: float, longest_s: float) -> bool:
        """Return whether a request is expected to end before the drain does.

        ``deadline_at`` is when the request ends at the latest.

        >>> window = DrainWindow.begin(0.0, 8.0)
        >>> window.takes(1.0, 16.0, 2.0), window.takes(1.0, 16.0, 6.0)
        (True, False)
        >>> window.takes(3.0, 16.0, 2.0), window.takes(3.0, 6.0, inf)
        (False, True)
        """
        if deadline_at + LIMIT_MARGIN_S <= self.ends_at:
            return True
        if now - self.started_at > EXPECTED_TAKE_S:
            return False
        return now + longest_s * DURATION_MARGIN <= self.ends_at
