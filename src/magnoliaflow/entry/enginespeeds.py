"""Learned prefill rates of engines: recording, and sharing with other hosts.

Only for services whose routes call for them (policy/enginespeeds.py).
"""

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.systems import system
from magnoliaflow.policy.engines import Engine
from magnoliaflow.policy.enginespeeds import KNOWN_WEIGHT
from magnoliaflow.policy.enginespeeds import learned_rate
from magnoliaflow.policy.enginespeeds import learns_speeds
from magnoliaflow.policy.enginespeeds import SCALE
from magnoliaflow.policy.enginespeeds import service_prior
from magnoliaflow.policy.enginespeeds import speed_sample
from magnoliaflow.policy.enginespeeds import SpeedSummary
from magnoliaflow.policy.enginespeeds import summarize

UPDATE_INTERVAL_S = 0.4
# Interval of the log line on a service's learned rates.
LOG_INTERVAL_S = 5.0


def service_learns(state: EntryState, name: str) -> bool:
    """Return whether the rates of a service's engines are learned."""
    table = state.route_table
    if table is None or name not in table.services:
        return False
    return table.services[name].model and learns_speeds(
        route.gap_target_s for route in table.routes_to(name)
    )


def record_first_token(
    state: EntryState, engine: Engine, tokens: float, elapsed_s: float
) -> None:
    """Learn from one first token.

    ``tokens`` are the prompt's uncached ones and those that waited ahead of
    it at the send.
    """
    if engine.cfg.backend not in state.learning_services:
        return
    sample = speed_sample(
        tokens, elapsed_s, engine.prefill_rate, engine.known_weight
    )
    if sample is not None:
        engine.speed.add(*sample, boot_time())


@system(21)
def update_speeds(state: EntryState) -> None:
    """Set the engines' learned rates from the samples of all hosts."""
    now = boot_time()
    if now < state.next_speed_update_at or state.route_table is None:
        return
    state.next_speed_update_at = now + UPDATE_INTERVAL_S
    learning = {
        name
        for name in state.route_table.services
        if service_learns(state, name)
    }
    ended = state.learning_services - learning
    state.learning_services = learning
    for service in ended:
        state.remembered_rates.pop(service, None)
        for name in state.routing.groups.get(service, ()):
            state.routing.engines[name].learned_rate = 0.0
    if not learning:
        return
    logs = now >= state.next_speed_log_at
    if logs:
        state.next_speed_log_at = now + LOG_INTERVAL_S
    others = state.others_speeds(now)
    for service in sorted(learning):
        names = state.routing.groups.get(service, ())
        engines = [state.routing.engines[name] for name in names]
        _update_service(state, service, engines, others, now, logs=logs)


def _update_service(
    state: EntryState,
    service: str,
    engines: list[Engine],
    others: dict[str, list[int]],
    now: float,
    *,
    logs: bool,
) -> None:
    evidence = {}
    for engine in engines:
        weight, total = engine.speed.current(now)
        of_others = others.get(engine.name, (0, 0))
        # Differences of sums of different age may leave a total alone.
        if of_others[0] > 0:
            weight += of_others[0] / SCALE
            total += of_others[1] / SCALE
        evidence[engine.name] = (weight, total)
        engine.known_weight = weight
    prior = service_prior(evidence.values())
    for engine in engines:
        rate = learned_rate(*evidence[engine.name], prior)
        if rate and not engine.learned_rate:
            # It is not updated beside a learned rate.
            engine.slowness = 1.0
        engine.learned_rate = rate
    summary = service_speeds(state, service)
    if summary is None:
        return
    for bound, value in (
        ("lowest", summary.lowest),
        ("median", summary.median),
        ("highest", summary.highest),
    ):
        state.metrics.learned_rate.labels(service, bound).set(value)
    if logs:
        state.log(
            LogEvent.SPEEDS_LEARNED, backend=service, **_details(summary)
        )


def service_speeds(state: EntryState, service: str) -> SpeedSummary | None:
    """Return the learned rates of a service's engines, None without any."""
    engines = [
        state.routing.engines[name]
        for name in state.routing.groups.get(service, ())
    ]
    rates = [engine.learned_rate for engine in engines if engine.learned_rate]
    known = sum(engine.known_weight >= KNOWN_WEIGHT for engine in engines)
    return summarize(rates, known)


def _details(summary: SpeedSummary) -> dict[str, float]:
    return {
        "lowest": round(summary.lowest),
        "median": round(summary.median),
        "highest": round(summary.highest),
        "mean": round(summary.mean),
        "spread": round(summary.spread, 3),
        "known": summary.known,
    }


def speed_details(state: EntryState) -> list[dict[str, object]]:
    """Return the engines with a learned rate, for ``explain``."""
    return [
        {
            "engine": engine.name,
            "backend": engine.cfg.backend,
            "rate": round(engine.learned_rate),
            "weight": round(engine.known_weight, 1),
        }
        for engine in state.routing.engines.values()
        if engine.learned_rate
    ]
