"""Engines that say in their answers that they leave.

Their word holds for the run of the engine that gave it, whatever the
platform's list says, and at every host that learns of it.
"""

from collections.abc import Iterable

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.state import run_name
from magnoliaflow.policy.engines import Engine


def record_departure(
    state: EntryState, engine: Engine, status: int, *, misdirected: bool
) -> None:
    """Record that an answer of an engine said that it leaves.

    A ``misdirected`` answer comes from another engine at the address.
    """
    engines = [engine]
    if misdirected:
        engines += [
            other
            for other in state.routing.engines.values()
            if other.cfg.address == engine.cfg.address and other is not engine
        ]
    for leaving in engines:
        _apply(state, leaving.name, leaving.run, f"status {status}")


def handle_departures(
    state: EntryState, host: str, runs: Iterable[str]
) -> None:
    """Record the runs of engines that another host knows to leave."""
    for run in runs:
        _apply(state, run.rpartition("/")[0], run, host)


def _apply(state: EntryState, name: str, run: str, source: str) -> None:
    """Send nothing more to a run of an engine."""
    now = boot_time()
    if not state.departures.record(run, now):
        return
    entry = state.registry.entries.get(name)
    known = entry is not None and run_name(name, entry.born) == run
    engine = state.routing.engines.get(name)
    running = 0
    if engine is not None and engine.run == run:
        engine.leaving_at = min(engine.leaving_at, now)
        running = engine.local_running
    state.metrics.engines_leaving.inc()
    state.log(
        LogEvent.ENGINE_LEAVING,
        engine=name,
        run=run,
        source=source,
        listed_as_leaving=(
            entry.leaving or entry.gone if known and entry else None
        ),
        running=running,
    )
    if known:
        state.registry.mark_leaving(name)
