"""Sums of the loads of several hosts."""

from dataclasses import dataclass
from dataclasses import field

from magnoliaflow.common.messages import LoadSums


@dataclass(slots=True)
class Sums:
    """Sums over other hosts: engines, accounts' demands and services."""

    engines: dict[str, list[int]] = field(default_factory=dict)
    rates: dict[str, float] = field(default_factory=dict)
    services: dict[str, list[float]] = field(default_factory=dict)

    def add(self, loads: LoadSums, sign: int = 1) -> None:
        """Add loads, or subtract them with a sign of -1."""
        for name, running, unread in zip(
            loads.engines, loads.running, loads.unread_tokens
        ):
            engine = self.engines.setdefault(name, [0, 0])
            engine[0] += sign * running
            engine[1] += sign * unread
        for name, rate in zip(loads.accounts, loads.rates):
            self.rates[name] = self.rates.get(name, 0.0) + sign * rate
        for name, rate, running in zip(
            loads.services, loads.token_rates, loads.service_running
        ):
            service = self.services.setdefault(name, [0.0, 0.0])
            service[0] += sign * rate
            service[1] += sign * running

    def loads(self, spent: dict[str, float]) -> LoadSums:
        """Return the sums as columns, with the totals spent by account."""
        accounts = sorted(self.rates.keys() | spent.keys())
        engines = [name for name, load in self.engines.items() if any(load)]
        return LoadSums(
            engines=tuple(engines),
            running=tuple(self.engines[name][0] for name in engines),
            unread_tokens=tuple(self.engines[name][1] for name in engines),
            accounts=tuple(accounts),
            rates=tuple(self.rates.get(name, 0.0) for name in accounts),
            spent=tuple(spent.get(name, 0.0) for name in accounts),
            services=tuple(self.services),
            token_rates=tuple(load[0] for load in self.services.values()),
            service_running=tuple(
                int(load[1]) for load in self.services.values()
            ),
        )
