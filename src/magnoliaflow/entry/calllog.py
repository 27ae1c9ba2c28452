"""Log lines and metrics of finished and refused requests."""

from typing import Any

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.codes import Code
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.entry.admission import Refusal
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.updates import MAX_LOGGED_AGE_S
from magnoliaflow.work.calls import Call


def log_refusal(state: EntryState, call: Call, refusal: Refusal) -> None:
    """Log a request that was not admitted."""
    state.log(
        LogEvent.CALL_REFUSED,
        request=call.request_id,
        code=int(refusal.code),
        retry_after_s=refusal.retry_after_s,
        **refusal.inputs,
    )


def record_end(handler: Any, engine: str) -> None:
    """Count and log a request that has ended."""
    state = handler.state
    now = boot_time()
    route = handler.route.name if handler.route else ""
    first_s = (
        handler.first_byte_at - handler.started_at
        if handler.first_byte_at
        else None
    )
    if handler.code is Code.DONE:
        took_s = now - handler.started_at
        state.durations[route].record(took_s, now)
    state.metrics.answers.labels(route, str(handler.status)).inc()
    if first_s is not None:
        state.metrics.first_byte.labels(route).observe(first_s)
    state.log(
        LogEvent.CALL_ENDED,
        request=handler.call.request_id,
        route=route,
        account=handler.account.name if handler.account else "",
        code=int(handler.code),
        status=handler.status,
        engine=engine,
        sends=handler.attempts_sent,
        unsent=handler.unsent,
        first_s=None if first_s is None else round(first_s, 3),
        took_s=round(now - handler.started_at, 3),
        version=handler.route_table.version if handler.route_table else -1,
        config_age_s=round(min(MAX_LOGGED_AGE_S, state.config_age(now)), 3),
    )
