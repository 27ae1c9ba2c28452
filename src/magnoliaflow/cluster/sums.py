"""Sums of the loads of several hosts."""

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from magnoliaflow.common.messages import LoadSums


@dataclass(slots=True)
class Sums:
    """Sums over other hosts: engines, accounts' demands and services.

    ``speeds`` are the scaled evidence of engines' prefill rates,
    ``recent_rates`` the services' prompt tokens per second of the last
    seconds.
    """

    engines: dict[str, list[int]] = field(default_factory=dict)
    rates: dict[str, float] = field(default_factory=dict)
    services: dict[str, list[float]] = field(default_factory=dict)
    speeds: dict[str, list[int]] = field(default_factory=dict)
    recent_rates: dict[str, float] = field(default_factory=dict)

    def add(self, loads: LoadSums, sign: int = 1) -> None:
        """Add loads, or subtract them with a sign of -1."""
        for name, running, unread in zip(
            loads.engines, loads.running, loads.unread_tokens
        ):
            engine = self.engines.setdefault(name, [0, 0])
            engine[0] += sign * running
            engine[1] += sign * unread
        for name, weight, total in zip(
            loads.engines, loads.speed_weights, loads.speed_totals
        ):
            speed = self.speeds.setdefault(name, [0, 0])
            speed[0] += sign * weight
            speed[1] += sign * total
        for name, rate in zip(loads.accounts, loads.rates):
            self.rates[name] = self.rates.get(name, 0.0) + sign * rate
        for name, rate, running in zip(
            loads.services, loads.token_rates, loads.service_running
        ):
            service = self.services.setdefault(name, [0.0, 0.0])
            service[0] += sign * rate
            service[1] += sign * running
        # Old versions send the smoothed rates only.
        for name, rate in zip(
            loads.services, loads.recent_rates or loads.token_rates
        ):
            self.recent_rates[name] = (
                self.recent_rates.get(name, 0.0) + sign * rate
            )

    def loads(self, spent: dict[str, float]) -> LoadSums:
        """Return the sums as columns, with the totals spent by account."""
        accounts = sorted(self.rates.keys() | spent.keys())
        speeds = {
            name: speed for name, speed in self.speeds.items() if speed[0]
        }
        engines = [
            name
            for name in {**self.engines, **speeds}
            if name in speeds or any(self.engines[name])
        ]
        none = (0, 0)
        smoothed = {name: load[0] for name, load in self.services.items()}
        recent = {**smoothed, **self.recent_rates}
        return LoadSums(
            engines=tuple(engines),
            running=tuple(self.engines.get(name, none)[0] for name in engines),
            unread_tokens=tuple(
                self.engines.get(name, none)[1] for name in engines
            ),
            accounts=tuple(accounts),
            rates=tuple(self.rates.get(name, 0.0) for name in accounts),
            spent=tuple(spent.get(name, 0.0) for name in accounts),
            services=tuple(self.services),
            token_rates=tuple(load[0] for load in self.services.values()),
            service_running=tuple(
                int(load[1]) for load in self.services.values()
            ),
            # Readers take the smoothed rates in place of missing ones.
            recent_rates=(
                ()
                if recent == smoothed
                else tuple(recent[name] for name in self.services)
            ),
            speed_weights=_speed_column(speeds, engines, 0),
            speed_totals=_speed_column(speeds, engines, 1),
        )


def included_loads(own: LoadSums, loads: LoadSums) -> LoadSums:
    """Return a host's own loads as they are included in sums with others.

    Aggregators of old versions leave out the columns that they do not know.
    """
    if not loads.speed_weights:
        own = replace(own, speed_weights=(), speed_totals=())
    if not loads.recent_rates:
        own = replace(own, recent_rates=())
    return own


def _speed_column(
    speeds: dict[str, list[int]], engines: list[str], index: int
) -> tuple[int, ...]:
    """Return one column of the evidence, empty if there is none."""
    if not speeds:
        return ()
    return tuple(
        speeds[name][index] if name in speeds else 0 for name in engines
    )
