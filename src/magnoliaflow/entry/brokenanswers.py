"""Answers that broke off, and the engines that ended under them."""

from typing import Any

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.entry.engineprobes import probe_engine
from magnoliaflow.entry.engineprobes import ProbeResult
from magnoliaflow.entry.state import EntryState
from magnoliaflow.policy.engines import Engine


def record_broken_answer(attempt: Any) -> None:
    """Count an answer that broke off and check whether its engine ended."""
    handler, engine = attempt.handler, attempt.engine
    state = handler.state
    state.metrics.broken_answers.labels(handler.route.name).inc()
    if engine.name in state.probed_engines:
        return
    state.probed_engines.add(engine.name)
    closed_by_peer = attempt.exchange.closed_by_peer
    probe_engine(
        engine.cfg.address,
        lambda result: _on_probe_result(state, engine, result, closed_by_peer),
    )


def _on_probe_result(
    state: EntryState, engine: Engine, result: ProbeResult, by_peer: bool
) -> None:
    """Log an engine that has ended.

    Silence alone may be a cut network, unless the engine's host has closed
    the connection of the answer.
    """
    state.probed_engines.discard(engine.name)
    if result is ProbeResult.LISTENING or (
        result is ProbeResult.SILENT and not by_peer
    ):
        return
    state.metrics.engines_ended.inc()
    state.log(
        LogEvent.ENGINE_ENDED,
        engine=engine.name,
        probe=result.value,
        leaving=engine.leaving_at <= boot_time(),
        running=engine.local_running,
    )
