"""What plans of engines go by: a service's load and what an engine carries."""

from collections import defaultdict
from collections import deque
from dataclasses import dataclass
from dataclasses import field

from magnoliaflow.entry.enginespeeds import service_speeds
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.updates import DEFAULT_PREFILL_RATE
from magnoliaflow.policy.enginespeeds import MAX_COUNTED_FACTOR
from magnoliaflow.policy.loadforecast import forecast
from magnoliaflow.policy.loadforecast import RATE_MEMORY_S
from magnoliaflow.policy.loadforecast import remembered_rate
from magnoliaflow.policy.loadforecast import Sample
from magnoliaflow.policy.routes import Service
from magnoliaflow.policy.scaling import Capacity
from magnoliaflow.policy.scaling import Load
from magnoliaflow.policy.scaling import planned_rate
from magnoliaflow.policy.scaling import target_running

# A load peak counts for this long: half the period of a wave of the load.
PEAK_WINDOW_S = 15.0
# The same for on-demand engines, which start again in four seconds and cost
# several times as much.
ON_DEMAND_PEAK_WINDOW_S = 6.0
# The same where rates are learned and the load is forecast.
FORECAST_PEAK_S = 8.0
ON_DEMAND_FORECAST_PEAK_S = 3.0
# Share of the highest rate of the peak window for which reclaimable engines
# are planned at least: a steep wave rises faster than a forecast follows.
PEAK_FLOOR = 0.8
# Interval at which learned rates are recorded for plans.
RATE_INTERVAL_S = 1.0


@dataclass(slots=True)
class History:
    """Loads of a service with their times, forecasts and learned rates."""

    loads: deque[tuple[float, Load]] = field(default_factory=deque)
    recent_loads: deque[tuple[float, Load]] = field(default_factory=deque)
    forecasts: deque[tuple[float, Load]] = field(default_factory=deque)
    rates: deque[Sample] = field(default_factory=deque)


class PlanLoads:
    """Loads over all live hosts, as far as they are known here."""

    __slots__ = ("histories", "state")

    def __init__(self, state: EntryState) -> None:
        self.state = state
        self.histories: dict[str, History] = defaultdict(History)

    def record(self, service: Service, now: float) -> Load:
        """Record and return a service's load over all live hosts."""
        name = service.name
        history = self.histories[name]
        local_load = self.state.local_loads[name]
        others = self.state.others_demand(now)
        rate, running = others.services.get(name, (0.0, 0.0))
        open_requests = local_load.running + max(0.0, running)
        load = Load(
            local_load.demand.current(now) + max(0.0, rate), open_requests
        )
        _append(history.loads, now, load, PEAK_WINDOW_S)
        if name in self.state.learning_services:
            rate = max(0.0, others.recent_rates.get(name, 0.0))
            recent = Load(local_load.recent.current(now) + rate, open_requests)
            _append(history.recent_loads, now, recent, PEAK_WINDOW_S)
            assert service.scaling is not None
            expected = forecast(
                history.recent_loads, now, service.scaling.boot_s
            )
            _append(history.forecasts, now, expected, PEAK_WINDOW_S)
            self._record_rate(name, now)
        return load

    def _record_rate(self, name: str, now: float) -> None:
        """Record the learned rate of a service's engines when due."""
        rates = self.histories[name].rates
        while rates and rates[0].at < now - RATE_MEMORY_S:
            rates.popleft()
        if rates and now < rates[-1].at + RATE_INTERVAL_S:
            return
        speeds = service_speeds(self.state, name)
        if speeds is not None:
            bound = MAX_COUNTED_FACTOR * DEFAULT_PREFILL_RATE
            rates.append(Sample(now, min(bound, planned_rate(speeds))))
        if rates:
            self.state.remembered_rates[name] = remembered_rate(rates)
        else:
            self.state.remembered_rates.pop(name, None)

    def current(self, name: str) -> Load:
        """Return the last recorded load."""
        history = self.histories[name]
        return (history.recent_loads or history.loads)[-1][1]

    def foreseen(self, name: str, until: float) -> Load | None:
        """Return the last forecast made until a time, None without one."""
        made = [
            load for at, load in self.histories[name].forecasts if at <= until
        ]
        return made[-1] if made else None

    def peaks(self, name: str, now: float) -> tuple[Load, Load]:
        """Return the loads to plan for: reclaimable and on-demand engines."""
        history = self.histories[name]
        if name in self.state.learning_services and history.forecasts:
            expected = _peak(history.forecasts, now - FORECAST_PEAK_S)
            highest = _peak(history.recent_loads, now - PEAK_WINDOW_S)
            return (
                Load(
                    max(
                        expected.tokens_per_s,
                        PEAK_FLOOR * highest.tokens_per_s,
                    ),
                    expected.running,
                ),
                _peak(history.forecasts, now - ON_DEMAND_FORECAST_PEAK_S),
            )
        return (
            _peak(history.loads, now - PEAK_WINDOW_S),
            _peak(history.loads, now - ON_DEMAND_PEAK_WINDOW_S),
        )

    def capacity(self, service: Service, now: float) -> Capacity:
        """Return what a plan counts on for each engine of a service."""
        rates = self.histories[service.name].rates
        if service.name not in self.state.learning_services:
            return Capacity(DEFAULT_PREFILL_RATE)
        return Capacity(
            remembered_rate(rates) if rates else DEFAULT_PREFILL_RATE,
            target_running(service.slots),
        )


def _append(
    loads: deque[tuple[float, Load]], now: float, load: Load, kept_s: float
) -> None:
    loads.append((now, load))
    while loads[0][0] < now - kept_s:
        loads.popleft()


def _peak(loads: deque[tuple[float, Load]], since: float) -> Load:
    """Return the highest rate and running count since a time."""
    chosen = [load for at, load in loads if at >= since]
    return Load(
        max((load.tokens_per_s for load in chosen), default=0.0),
        max((load.running for load in chosen), default=0.0),
    )
