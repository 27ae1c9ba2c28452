"""Answers that broke off, and the engines that ended under them."""

from math import inf
from typing import Any

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.entry.engineprobes import probe_engine
from magnoliaflow.entry.engineprobes import ProbeResult
from magnoliaflow.entry.state import EntryState
from magnoliaflow.policy.crashes import SOUND_AFTER_S
from magnoliaflow.policy.engines import Engine


def record_broken_answer(attempt: Any) -> None:
    """Count an answer that broke off and check whether its engine ended."""
    handler, engine = attempt.handler, attempt.engine
    state = handler.state
    state.metrics.broken_answers.labels(handler.route.name).inc()
    run = state.engine_run(engine.name)
    leaves = (
        engine.leaving_at < inf
        or state.routing.engines.get(engine.name) is not engine
    )
    if not leaves and attempt.written_s() < SOUND_AFTER_S:
        state.crash_judge.record_broken(
            run, handler.service, handler.judged_names(), boot_time()
        )
    if run in state.probed_engines:
        return
    state.probed_engines.add(run)
    closed_by_peer = attempt.exchange.closed_by_peer
    probe_engine(
        engine.cfg.address,
        lambda result: _on_probe_result(
            state, engine, run, result, closed_by_peer
        ),
    )


def record_sound_answer(attempt: Any, begun_at: float) -> None:
    """Record that an engine has written on the parts of a request."""
    handler = attempt.handler
    handler.state.crash_judge.record_sound(
        handler.service, handler.judged_names(), begun_at, boot_time()
    )


def _on_probe_result(
    state: EntryState,
    engine: Engine,
    run: str,
    result: ProbeResult,
    by_peer: bool,
) -> None:
    """Log an engine that has ended.

    Silence alone may be a cut network, unless the engine's host has closed
    the connection of the answer.
    """
    now = boot_time()
    state.probed_engines.discard(run)
    if result is ProbeResult.LISTENING or (
        result is ProbeResult.SILENT and not by_peer
    ):
        state.crash_judge.retract(run, now)
        return
    state.crash_judge.confirm(run, now)
    state.metrics.engines_ended.inc()
    state.log(
        LogEvent.ENGINE_ENDED,
        engine=engine.name,
        probe=result.value,
        leaving=engine.leaving_at <= now,
        running=engine.local_running,
    )
