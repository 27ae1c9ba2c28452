"""Engines that say in their answers that they leave."""

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.entry.state import EntryState
from magnoliaflow.policy.engines import Engine


def record_departure(state: EntryState, engine: Engine, status: int) -> None:
    """Record that an answer of an engine said that it leaves."""
    if not state.departures.record(engine.run, boot_time()):
        return
    entry = state.registry.entries.get(engine.name)
    state.metrics.engines_leaving.inc()
    state.log(
        LogEvent.ENGINE_LEAVING,
        engine=engine.name,
        run=engine.run,
        status=status,
        listed="leaving" if entry is None or entry.leaving else "ready",
        running=engine.local_running,
    )
