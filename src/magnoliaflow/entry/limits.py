"""Limits that engines name: recording, and pacing of this host's sends."""

from math import inf

from magnoliaflow.cluster.groups import rendezvous_score
from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.entry.state import EntryState
from magnoliaflow.policy.enginelimits import LIMIT_TTL_S
from magnoliaflow.policy.enginelimits import send_interval
from magnoliaflow.policy.engines import Engine


def record_limit(
    state: EntryState, engine: Engine, rate: float | None
) -> None:
    """Record the limit that an answer of an engine names, None for none."""
    if rate is None and not state.engine_limits:
        return
    now = boot_time()
    run = state.engine_run(engine.name)
    if state.engine_limits.observe(run, rate, now):
        apply_limits(state, now)


def apply_limits(state: EntryState, now: float) -> None:
    """Set the time between this host's sends to each engine."""
    hosts = [fact.host for fact in state.live_hosts(now)]
    own = state.host_settings.host
    limited = set()
    for name in state.engine_limits.engines() | state.limited_engines:
        engine = state.routing.engines.get(name)
        if engine is None:
            continue
        rate = state.engine_limits.rate(state.engine_run(name))
        was_limited = engine.send_interval_s > 0.0
        if rate is None:
            engine.limit_sends(0.0, now)
            if was_limited:
                state.log(LogEvent.ENGINE_UNLIMITED, engine=name)
            continue
        limited.add(name)
        score = rendezvous_score(name, own)
        rank = sum(1 for host in hosts if rendezvous_score(name, host) > score)
        engine.limit_sends(send_interval(rate, rank, len(hosts) + 1), now)
        if not was_limited:
            state.log(
                LogEvent.ENGINE_LIMITED,
                engine=name,
                rate=rate,
                interval_s=(
                    engine.send_interval_s
                    if engine.send_interval_s < inf
                    else None
                ),
                lapses_s=LIMIT_TTL_S,
            )
    state.limited_engines = limited
    state.metrics.engines_limited.set(len(limited))


def limit_details(state: EntryState) -> list[dict[str, object]]:
    """Return the engines with a limit, for ``explain``."""
    now = boot_time()
    return [
        {
            "engine": limit.engine,
            "rate": limit.rate,
            "named_s": round(now - limit.named_at, 3),
            "lapses_s": round(limit.named_at + LIMIT_TTL_S - now, 3),
        }
        for limit in state.engine_limits.known()
        if limit.rate is not None
    ]


def next_send_at(state: EntryState, service: str) -> float:
    """Return when a limit next allows a send to a service, inf for never."""
    engines = state.routing.engines
    return min(
        (
            engines[name].next_send_at
            for name in state.routing.groups.get(service, ())
            if engines[name].leaving_at == inf
        ),
        default=inf,
    )
