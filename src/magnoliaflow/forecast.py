"""Learnt error of first-token predictions."""

from dataclasses import dataclass

QUANTILE = 0.8
STEP_S = 0.05
MOST_S = 10.0


@dataclass(slots=True)
class Forecast:
    """A quantile of how much later first tokens come than predicted.

    The quantile is tracked by stochastic approximation (Robbins and
    Monro, 1951): up by a step times the quantile when it was exceeded,
    down by the rest of the step when not.

    >>> forecast = Forecast()
    >>> for _ in range(200): forecast.note(predicted_s=1.0, actual_s=1.5)
    >>> 0.4 < forecast.error_s < 0.6
    True
    """

    error_s: float = 0.0

    def note(self, *, predicted_s: float, actual_s: float) -> None:
        """Learn from one first token."""
        if actual_s - predicted_s > self.error_s:
            self.error_s = min(MOST_S, self.error_s + STEP_S * QUANTILE)
            return
        self.error_s = max(0.0, self.error_s - STEP_S * (1 - QUANTILE))
