"""Online estimate of the error of first-token predictions."""

from dataclasses import dataclass

QUANTILE = 0.9
STEP_SIZE = 0.05
MAX_ERROR = 2.0


@dataclass(slots=True)
class Forecast:
    """A quantile of the delay of first tokens beyond their prediction.

    Errors are relative to the latency target, so that profiles with tight
    and loose targets share one estimate.  The quantile is tracked by
    stochastic approximation (Robbins and Monro 1951): it rises by the step
    size times the quantile when exceeded, and falls by the rest of the step
    size otherwise.

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
        """Update the estimate with one first token."""
        if (actual_s - predicted_s) / target_s > self.error:
            self.error = min(MAX_ERROR, self.error + STEP_SIZE * QUANTILE)
            return
        self.error = max(0.0, self.error - STEP_SIZE * (1 - QUANTILE))

    def error_s(self, target_s: float) -> float:
        """Return the seconds to add to a prediction with this target."""
        return self.error * target_s
