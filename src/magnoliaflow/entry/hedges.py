"""A second send of a slow request, beside the first one.

The first engine to answer wins, and the connection of the other is closed at
once.  A request has one second send of this kind at most.  With the limit at 0
an idempotent call without an answer at its latency target is abandoned and
sent again, and nothing else.
"""

from typing import Any

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.lifecycle import Phase
from magnoliaflow.common.loop import reactor
from magnoliaflow.entry.admission import Refusal
from magnoliaflow.entry.admission import resolve_route
from magnoliaflow.entry.attempts import Attempt
from magnoliaflow.entry.attempts import Failure
from magnoliaflow.entry.retries import may_retry
from magnoliaflow.policy.engines import Engine
from magnoliaflow.policy.hedging import Refused
from magnoliaflow.policy.hedging import size_class
from magnoliaflow.policy.hedging import TimeClass
from magnoliaflow.policy.placement import first_token_s
from magnoliaflow.policy.routes import RouteKind
from magnoliaflow.policy.routing import choose

# Share of the latency target after which an idempotent call without an answer
# is abandoned and sent again: its engine may have failed silently.
RESEND_DELAY_SHARE = 1.0
# Time after which the first of two engines at work on one stream, or on one
# request at model engines, is given up; the platform allows 0.4 s, the rest is
# for a new connection and for the close to arrive.
RACE_S = 0.2


class Hedge:
    """The timers and the second attempt of one request."""

    __slots__ = (
        "first",
        "handler",
        "is_overdue",
        "is_used",
        "race_timer",
        "second",
        "timer",
    )

    def __init__(self, handler: Any) -> None:
        self.handler = handler
        self.timer: Any = None
        self.race_timer: Any = None
        self.first: Attempt | None = None
        self.second: Attempt | None = None
        self.is_overdue = False
        self.is_used = False

    def begin(self) -> None:
        """Start the timer of the handler's newest attempt."""
        self._stop_timers()
        self.first = self.handler.attempt
        delay_s, callback = self._next_step()
        if callback is not None:
            self.timer = reactor.callLater(delay_s, callback, self.first)

    def _next_step(self) -> tuple[float, Any]:
        """Return the time until an unanswered attempt is looked at."""
        handler = self.handler
        idempotent = handler.route.kind is RouteKind.IDEMPOTENT
        resend_s = handler.route.target_s * RESEND_DELAY_SHARE
        if self._may_hedge():
            now = boot_time()
            hedging = handler.state.hedging
            usual = hedging.book.usual(self._time_class(), now)
            if usual is not None and (
                usual.delay_s < resend_s or not idempotent
            ):
                return usual.delay_s, self._on_overdue
        return resend_s, self._on_silent if idempotent else None

    def _may_hedge(self) -> bool:
        """Return whether this request may have a second send beside it."""
        handler = self.handler
        route = handler.route
        # The setting that lets streams resume may be set at other routes too.
        may_run_twice = route.kind is RouteKind.IDEMPOTENT or (
            route.kind is RouteKind.STREAM and route.resumable
        )
        return (
            handler.state.hedging.share > 0
            and may_run_twice
            and route.max_engines > 1
            and not self.is_used
            and handler.last_event < 0
            and not handler.response_started
        )

    def _time_class(self) -> TimeClass:
        """Return the class of the first attempt's time."""
        assert self.first is not None
        handler = self.handler
        return TimeClass(
            handler.service,
            handler.route.name,
            size_class(self.first.uncached),
        )

    def _is_unanswered(self, attempt: Attempt) -> bool:
        handler = self.handler
        answered = handler.response_started or (
            attempt.head is not None and attempt.splitter is None
        )
        return not (handler.done or attempt is not handler.attempt or answered)

    def _on_silent(self, attempt: Attempt) -> None:
        """Abandon an idempotent call and send it again."""
        handler = self.handler
        if not self._is_unanswered(attempt) or self.second is not None:
            return
        if not may_retry(handler, "silent"):
            return
        attempt.abandon()
        handler.may_have_run = True
        handler.dispatch()

    def _on_overdue(self, attempt: Attempt) -> None:
        """Ask a second engine if policy and limit allow it."""
        handler = self.handler
        # A request whose attempt has ended waits to be dispatched.
        if attempt.ended or not self._is_unanswered(attempt):
            return
        now = boot_time()
        if not self.is_overdue:
            self.is_overdue = True
            handler.state.hedging.record_overdue(handler.service)
        refused = self._try_second(attempt, now)
        if refused is not None:
            handler.state.metrics.hedges_refused.labels(refused.value).inc()
        elapsed_s = now - attempt.started_at
        resend_s = handler.route.target_s * RESEND_DELAY_SHARE
        idempotent = handler.route.kind is RouteKind.IDEMPOTENT
        if refused is Refused.NOT_SOONER and (
            not idempotent or 2 * elapsed_s < resend_s
        ):
            self.timer = reactor.callLater(
                elapsed_s, self._on_overdue, attempt
            )
        else:
            self._watch_silence()

    def _try_second(self, attempt: Attempt, now: float) -> Refused | None:
        """Send to a second engine, or return why not."""
        handler = self.handler
        state = handler.state
        if not attempt.sent or not self._is_allowed(now):
            return Refused.NOT_ALLOWED
        avoided = attempt.engine.name in handler.tried_engines
        handler.tried_engines.add(attempt.engine.name)
        left_s = handler.deadline_at - now
        request = handler.routing_request(left_s)
        if not avoided:
            handler.tried_engines.discard(attempt.engine.name)
        choice = choose(state.routing, request, handler.policy(), now)
        if choice is None:
            return Refused.NO_SLOT
        engine = state.routing.engines[choice.engine]
        if engine.cfg.version != attempt.engine.cfg.version:
            return Refused.NOT_ALLOWED
        elapsed_s = now - attempt.opened_at
        objection: Refused | None = state.hedging.objection(
            handler.service,
            elapsed_s=elapsed_s,
            predicted_s=self._predict(engine, choice.uncached_tokens, now),
            has_slot=(
                engine.local_running + engine.peer_running < engine.cfg.slots
            ),
        )
        if objection is not None:
            return objection
        if handler.attempts_sent >= handler.route.max_engines:
            return Refused.NOT_ALLOWED
        budget = state.retry_budgets.get(handler.service)
        if budget is None or budget.balance < 1.0:
            return Refused.RETRY_BUDGET
        if not state.hedging.spend(handler.service):
            return Refused.LIMIT
        budget.spend()
        self._send(engine, choice.uncached_tokens, request, left_s)
        state.metrics.hedges.labels("sent").inc()
        state.log(
            LogEvent.HEDGE_SENT,
            request=handler.call.request_id,
            route=handler.route.name,
            first=attempt.engine.name,
            engine=engine.name,
            elapsed_s=round(elapsed_s, 3),
        )
        return None

    def _is_allowed(self, now: float) -> bool:
        """Return whether the configuration in force allows the request."""
        handler = self.handler
        state = handler.state
        if state.phase is not Phase.SERVING or not state.is_config_fresh(now):
            return False
        if handler.find_hold(now) is not None:
            return False
        found = resolve_route(state, handler.call, now)
        return not isinstance(found, Refusal) and found.route == handler.route

    def _predict(self, engine: Engine, uncached: int, now: float) -> float:
        """Return the predicted seconds to an answer at an engine.

        An engine that reads no prompts is expected to take the usual time.
        """
        if self.handler.serves_model():
            return first_token_s(engine, uncached, now)
        usual = self.handler.state.hedging.book.usual(self._time_class(), now)
        return 0.0 if usual is None else usual.usual_s * engine.slowness

    def _send(
        self, engine: Engine, uncached: int, request: Any, left_s: float
    ) -> None:
        handler = self.handler
        self.is_used = True
        self.second = handler.open_attempt(engine, uncached, request, left_s)
        if handler.route.kind is RouteKind.STREAM or handler.serves_model():
            self.race_timer = reactor.callLater(RACE_S, self._end_race)

    def record_sent(self) -> None:
        """Note that a request sent to two engines may have run."""
        if self.second is not None and self.second.sent:
            self.handler.may_have_run = True

    def _end_race(self) -> None:
        """Leave a request to its second engine, or to the first without it."""
        second = self.second
        if self.handler.done or second is None:
            return
        if second.sent and self.handler.attempt is not second:
            self._prefer(second, "moved")
        elif not second.sent:
            self._drop(second, "not opened")
        self._watch_silence()

    def wins(self, attempt: Attempt) -> bool:
        """Take an attempt that answers; stop the other one at once.

        Return False for an attempt that is no longer the request's.
        """
        handler = self.handler
        if handler.done:
            return False
        if self.first is not None:
            if attempt is not self.second and attempt is not handler.attempt:
                return False
            self._record_time(attempt)
        if self.second is not None:
            if attempt is self.second:
                self._prefer(attempt, "won")
            else:
                self._drop(self.second, "lost")
        return attempt is handler.attempt

    def _record_time(self, answered: Attempt) -> None:
        """Record the first attempt's time once, as at least so long."""
        state = self.handler.state
        first = self.first
        failed = answered.head is not None and answered.head.status >= 500
        if state.hedging.share > 0 and first and first.sent and not failed:
            now = boot_time()
            state.hedging.record_time(
                self._time_class(),
                now - first.opened_at,
                now,
                counted=self.is_overdue,
            )
        self.first = None

    def is_refused(self, attempt: Attempt, status: int) -> bool:
        """Return whether the second engine refuses while the first works."""
        return attempt is self.second and status >= 400

    def goes_on(self, attempt: Attempt, failure: Failure) -> bool:
        """Return whether another engine is still at work on a request.

        The attempt has failed; the other one becomes the handler's.
        """
        second = self.second
        if second is None:
            return False
        if failure is Failure.MAY_HAVE_RUN:
            self.handler.may_have_run = True
        if attempt is second:
            self._drop(second, "failed")
        else:
            self.handler.attempt = second
            self._close_race("alone", second)
        self._watch_silence()
        return True

    def _watch_silence(self) -> None:
        """Start the timer of an idempotent call at a silent engine."""
        self._stop(self.timer)
        handler = self.handler
        if handler.route.kind is not RouteKind.IDEMPOTENT:
            return
        resend_s = handler.route.target_s * RESEND_DELAY_SHARE
        elapsed_s = boot_time() - handler.attempt.started_at
        self.timer = reactor.callLater(
            max(0.0, resend_s - elapsed_s), self._on_silent, handler.attempt
        )

    def is_current(self, attempt: Attempt) -> bool:
        """Return whether an attempt is one of the request's."""
        return attempt is self.handler.attempt or attempt is self.second

    def stop(self) -> None:
        """End the timers and the second attempt with the request."""
        self._stop_timers()
        if self.second is not None:
            self._drop(self.second, "ended")

    def _prefer(self, second: Attempt, outcome: str) -> None:
        """Give up the first attempt for the second one."""
        first = self.handler.attempt
        self.handler.attempt = second
        self._close_race(outcome, second)
        self._record_cut(first)
        self.handler.tried_engines.add(first.engine.name)
        first.abandon()

    def _record_cut(self, attempt: Attempt) -> None:
        """Count an engine that was given up as at least so slow."""
        if not self.handler.serves_model() or attempt.prompt_read:
            return
        engine = attempt.engine
        predicted_s = max(0.01, attempt.expected_s / engine.slowness)
        slowness = (boot_time() - attempt.opened_at) / predicted_s
        if slowness > engine.slowness:
            engine.record_slowness(slowness)

    def _drop(self, second: Attempt, outcome: str) -> None:
        self._close_race(outcome, second)
        second.abandon()

    def _close_race(self, outcome: str, second: Attempt) -> None:
        """Count and log how a second send ended."""
        self.second = None
        self._stop(self.race_timer)
        self.handler.state.metrics.hedges.labels(outcome).inc()
        self.handler.state.log(
            LogEvent.HEDGE_ENDED,
            request=self.handler.call.request_id,
            engine=second.engine.name,
            outcome=outcome,
            took_s=round(boot_time() - second.started_at, 3),
        )

    def _stop_timers(self) -> None:
        self._stop(self.timer)
        self._stop(self.race_timer)

    @staticmethod
    def _stop(timer: Any) -> None:
        if timer is not None and timer.active():
            timer.cancel()
