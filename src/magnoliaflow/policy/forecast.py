"""Learnt error of first-token predictions."""

from dataclasses import dataclass

QUANTILE = 0.9
STEP_SIZE = 0.05
MAX_ERROR = 2.0


@dataclass(slots=True)
class Forecast:
    """A quantile of how much later first tokens come than predicted.

    Errors count in shares of the latency target, so that profiles with
    tight and with loose targets learn from each other.  The quantile is
    tracked by stochastic approximation (Robbins and Monro, 1951): up by a
    step times the quantile when it was exceeded, down by the rest of the
    step when not.

    >>> forecast = Forecast()
    >>> for _ in range(200):
    ...     forecast.record(predicted_s=1.0, actual_s=1.5, target_s=1.0)
    >>> 0.4 < forecast.error_s(1.0) < 0.6
    True
    """

    error: float = 0.0

    def record(
        self, *, predicted_s: float, actual_s: float, target_s: float
    ) -> None:
        """Learn from one first token."""
        if (actual_s - predicted_s) / target_s > self.error:
            self.error = min(MAX_ERROR, self.error + STEP_SIZE * QUANTILE)
            return
        self.error = max(0.0, self.error - STEP_SIZE * (1 - QUANTILE))

    def error_s(self, target_s: float) -> float:
        """Return the seconds to add to a prediction for a target."""
        return self.error * target_s
