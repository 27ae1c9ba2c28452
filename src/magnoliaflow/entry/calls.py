"""The life of one request: admission, sends to engines, its answer.

At most once: a request that may not be repeated is written to one engine
once.  Only an engine's word that it did not run it, or a connection that
never opened, allows another send; after that a failure is answered 502.
"""

from json import dumps
from math import inf
from typing import Any

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.codes import Code
from magnoliaflow.common.codes import Run
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.loop import reactor
from magnoliaflow.entry.attempts import Attempt
from magnoliaflow.entry.attempts import Failure
from magnoliaflow.entry.calllog import report_end
from magnoliaflow.entry.calllog import report_refusal
from magnoliaflow.entry.gate import charge
from magnoliaflow.entry.gate import find_entrance
from magnoliaflow.entry.gate import pace_refusal
from magnoliaflow.entry.gate import rank
from magnoliaflow.entry.gate import refund
from magnoliaflow.entry.gate import Refusal
from magnoliaflow.entry.gate import STALE_RETRY_S
from magnoliaflow.entry.state import EntryState
from magnoliaflow.platform.headers import decode_call
from magnoliaflow.platform.headers import json_answer_headers
from magnoliaflow.policy.engines import Engine
from magnoliaflow.policy.events import Event
from magnoliaflow.policy.placing import first_token_s
from magnoliaflow.policy.routes import Account
from magnoliaflow.policy.routes import Kind
from magnoliaflow.policy.routes import Route
from magnoliaflow.policy.routes import RouteBook
from magnoliaflow.policy.routing import choose
from magnoliaflow.policy.routing import find_policy
from magnoliaflow.policy.routing import Need
from magnoliaflow.transport.server import InboundRequest
from magnoliaflow.work.calls import Call
from magnoliaflow.work.calls import EngineHead
from magnoliaflow.work.calls import Forward

# Share of the objective for which a request waits for an engine where none
# takes work: longer waits spend the time in which its caller could return.
HOLD_SHARE = 0.125
# Times to come back after: an engine may have registered, or its queue be
# shorter.
NO_ENGINE_RETRY_S = 1.0
SHED_RETRY_S = 0.3
# Connections that never opened; more tries would use up the time.
MOST_UNSENT = 4
# Answer this long before the caller's own deadline, so that it arrives.
DEADLINE_MARGIN_S = 0.03
# Wait for a request whose head names no deadline and no route's timeout.
USUAL_DEADLINE_S = 30.0
# An idempotent call without any answer for this share of its objective is
# sent once more: the engine may be gone without a sign.
HEDGE_SHARE = 1.0


class CallRun:
    """One request in progress."""

    __slots__ = (
        "account",
        "attempt",
        "begun",
        "book",
        "call",
        "charged",
        "code",
        "deadline_at",
        "done",
        "engines_sent",
        "first_at",
        "hedge",
        "inbound",
        "key",
        "last_event",
        "may_have_run",
        "route",
        "service",
        "started_at",
        "state",
        "status",
        "timer",
        "tried",
        "unsent",
    )

    def __init__(self, state: EntryState, inbound: InboundRequest) -> None:
        self.state = state
        self.inbound = inbound
        self.call: Call = decode_call(inbound)
        self.key = id(self)
        self.book: RouteBook | None = None
        self.route: Route | None = None
        self.account: Account | None = None
        self.service = ""
        self.started_at = boot_time()
        self.deadline_at = inf
        self.attempt: Attempt | None = None
        self.begun = False
        self.charged = 0.0
        self.code = Code.ACCEPTED
        self.done = False
        self.engines_sent = 0
        self.first_at = 0.0
        self.hedge: Any = None
        self.last_event = -1
        self.may_have_run = False
        self.status = 0
        self.timer: Any = None
        self.tried: set[str] = set()
        self.unsent = 0

    def start(self) -> None:
        """Admit the request or refuse it."""
        self.state.calls.put(self.key, self)
        self.inbound.on_disconnect = self.caller_gone
        if not self.resolve():
            return
        self._arm()
        if self.account is not None:
            taken = charge(self.state, self.account, self.call, boot_time())
            if isinstance(taken, Refusal):
                self._turn_away(taken)
                return
            self.charged = taken
        self.dispatch()

    def resolve(self) -> bool:
        """Find route and account in the configuration now in force.

        Return False where that refuses the request.
        """
        found = find_entrance(self.state, self.call, boot_time())
        if isinstance(found, Refusal):
            return self.refuse(found.code, found.retry_after_s)
        self.book = found.book
        self.route = found.route
        self.account = found.account
        self.service = found.route.service_for(self.call.request_id)
        return True

    def _arm(self) -> None:
        """Set the time of the final answer."""
        assert self.route is not None
        wait_s = self.call.deadline_s or USUAL_DEADLINE_S
        wait_s = min(wait_s - DEADLINE_MARGIN_S, self.route.timeout_s)
        self.deadline_at = self.started_at + wait_s
        self.timer = reactor.callLater(max(0.0, wait_s), self.expire)

    def dispatch(self) -> None:
        """Send the request to the best engine, or let it wait for one."""
        if self.done:
            return
        now = boot_time()
        left_s = self.deadline_at - now
        need = self._need(left_s)
        pick = choose(self.state.view, need, self._policy(), now)
        if pick is None and self.tried:
            self.tried.clear()
            pick = choose(
                self.state.view, self._need(left_s), self._policy(), now
            )
        if pick is None:
            self._hold(now)
            return
        self.state.waiting.pop(self.key, None)
        engine = self.state.view.engines[pick.engine]
        if not self.engines_sent:
            flow = self.state.flows[self.service]
            flow.demand.note(pick.uncached_tokens, now)
        wait_s = first_token_s(engine, 0, now)
        if self._model() and wait_s > left_s:
            self.refuse(Code.DEADLINE_UNREACHABLE, wait_s)
            return
        if self.engines_sent == 0 and self.route is not None:
            refusal = pace_refusal(
                self.state, self.route, engine, pick.uncached_tokens, now
            )
            if refusal is not None:
                self._turn_away(refusal)
                return
        self._send(engine, pick.uncached_tokens, need, left_s)

    def _policy(self) -> Any:
        return find_policy("first_token" if self._model() else "least_busy")

    def _model(self) -> bool:
        service = self.book.services.get(self.service) if self.book else None
        return service is not None and service.model

    def _need(self, left_s: float) -> Need:
        assert self.route is not None
        parts = self.call.parts
        return Need(
            request_id=self.call.request_id,
            backend=self.service,
            blocks=tuple(name for name, _ in parts),
            prompt_tokens=max(1, self.call.prompt_tokens),
            answer_tokens=max(1, self.call.answer_tokens),
            first_token_s=self.started_at + self.route.target_s - boot_time(),
            token_gap_s=0.0,
            target_s=self.route.target_s,
            avoid=frozenset(self.tried),
            sizes=tuple(tokens for _, tokens in parts),
        )

    def _hold(self, now: float) -> None:
        """Wait a little for an engine, then refuse."""
        assert self.route is not None
        until = self.started_at + self.route.target_s * HOLD_SHARE
        if now >= until or self.may_have_run:
            self.fail_unserved()
            return
        if self.key not in self.state.waiting:
            self.state.waiting[self.key] = self
            reactor.callLater(until - now, self._hold_over)

    def _hold_over(self) -> None:
        if self.state.waiting.pop(self.key, None) is not None:
            self.dispatch()

    def fail_unserved(self) -> None:
        """Give up a request that no engine could take."""
        if self.begun:
            self.cut("no engine to go on with")
        elif self.may_have_run:
            self.refuse(Code.OUTCOME_UNKNOWN, None)
        else:
            self.refuse(Code.NO_BACKEND, NO_ENGINE_RETRY_S)

    def _send(
        self, engine: Engine, uncached: int, need: Need, left_s: float
    ) -> None:
        if self.engines_sent + self.unsent and not self.resolve():
            return
        if self.account is not None and not self.state.fresh(boot_time()):
            self.refuse(Code.PROFILES_STALE, STALE_RETRY_S)
            return
        self.state.log(
            LogEvent.CALL_PLACED,
            request=self.call.request_id,
            route=self.route.name if self.route else "",
            engine=engine.name,
            uncached=uncached,
            running=engine.own_running,
            peer_running=engine.peer_running,
            expected_s=round(first_token_s(engine, uncached, boot_time()), 3),
            version=self.book.version if self.book else -1,
            left_s=round(left_s, 3),
        )
        if need.blocks:
            self.state.view.prefixes.add(
                engine.name, need.blocks, boot_time(), sizes=need.sizes
            )
        model = self._model()
        assert self.route is not None
        forward = Forward(
            engine=engine.name,
            left_s=left_s,
            account=self.account.name if self.account else "",
            priority=rank(self.route, self.account) if model else None,
            resume_after=str(self.last_event) if self.last_event >= 0 else "",
        )
        self.attempt = Attempt(self, engine, uncached)
        self.attempt.open(self.call, forward)
        self._arm_hedge()

    def may_still_send(self) -> bool:
        """Look at the configuration again right before the send.

        The process may have been suspended since the request was placed.
        """
        if self.account is None:
            return not self.done
        book = self.state.book
        held = book is not None and self.call.credential in book.keys
        if held and self.state.fresh(boot_time()):
            return not self.done
        reactor.callLater(0, self.refuse, Code.PROFILES_STALE, STALE_RETRY_S)
        return False

    def note_sent(self) -> None:
        """Let first sends earn retries."""
        if self.engines_sent == 1:
            budget = self.state.budgets.get(self.service)
            if budget is not None:
                budget.earn()

    def note_began(self, at: float) -> None:
        """Count the request in its account's usage."""
        if self.account is not None:
            self.state.usage.add(
                self.state.identity,
                self.account.name,
                self.state.true_time(at),
            )

    def _arm_hedge(self) -> None:
        """Watch an idempotent call for an engine that is silent."""
        assert self.route is not None
        if self.route.kind is not Kind.IDEMPOTENT:
            return
        delay = self.route.target_s * HEDGE_SHARE
        self.hedge = reactor.callLater(delay, self._hedge_due, self.attempt)

    def _hedge_due(self, attempt: Attempt) -> None:
        if self.done or attempt is not self.attempt or attempt.head:
            return
        if not self._may_send_again("silent"):
            return
        attempt.abandon()
        self.may_have_run = True
        self.dispatch()

    def _may_send_again(self, reason: str) -> bool:
        """Return whether route and budget allow another engine."""
        assert self.route is not None
        if self.engines_sent >= self.route.most_engines:
            return False
        budget = self.state.budgets.get(self.service)
        if budget is None or not budget.spend():
            return False
        self.state.metrics.retries.labels(reason).inc()
        return True

    def attempt_failed(
        self, attempt: Attempt, failure: Failure, reason: str
    ) -> None:
        """Go on after an attempt that brought no answer."""
        if self.done or attempt is not self.attempt:
            return
        self.state.log(
            LogEvent.ATTEMPT_FAILED,
            request=self.call.request_id,
            engine=attempt.engine.name,
            failure=failure.value,
            reason=reason,
        )
        self.tried.add(attempt.engine.name)
        if failure is Failure.UNSENT:
            self.unsent += 1
            if self.unsent <= MOST_UNSENT:
                self.dispatch()
            else:
                self.fail_unserved()
            return
        if failure is Failure.NOT_RUN:
            if self._may_send_again("not run"):
                self.dispatch()
            elif self.may_have_run or self.begun:
                self.fail_unserved()
            else:
                self.refuse(Code.NOT_STARTED, SHED_RETRY_S)
            return
        self.may_have_run = True
        assert self.route is not None
        if self.route.repeatable and self._may_send_again("broken"):
            self.dispatch()
            return
        self.fail_unserved()

    def take_event(self, attempt: Attempt, event: Event) -> bool:
        """Pass an event on to the caller; return False on a gap."""
        if self.done or attempt is not self.attempt:
            return False
        if event.number >= 0 and self.last_event >= 0:
            if event.number <= self.last_event:
                return True
            if event.number > self.last_event + 1 and self.begun:
                return False
        if not self.begun:
            assert attempt.head is not None
            self.begun = True
            self.first_at = boot_time()
            self.inbound.begin(attempt.head.status, attempt.head.headers)
        if event.number >= 0:
            self.last_event = event.number
        self.inbound.send(event.data)
        return True

    def finish_stream(self, attempt: Attempt) -> None:
        """End a stream that its engine ended as complete."""
        if self.done or attempt is not self.attempt:
            return
        if not self.begun and attempt.head is not None:
            self.inbound.begin(attempt.head.status, attempt.head.headers)
        self.status = attempt.head.status if attempt.head else 0
        self.inbound.finish()
        self._settle(Code.DONE)

    def take_answer(
        self, attempt: Attempt, head: EngineHead, body: bytes
    ) -> None:
        """Pass an engine's whole answer on."""
        if self.done or attempt is not self.attempt:
            return
        assert self.route is not None
        failed = head.status >= 500
        if failed and self.route.repeatable:
            self.tried.add(attempt.engine.name)
            if self._may_send_again("engine failed"):
                self.may_have_run = True
                self.dispatch()
                return
        self.first_at = boot_time()
        self.status = head.status
        self.inbound.respond(head.status, head.headers, body)
        self._settle(Code.BACKEND_FAILED if failed else Code.DONE)

    def _turn_away(self, refusal: Refusal) -> None:
        """Refuse at admission, and log what decided it."""
        report_refusal(self.state, self.call, refusal)
        self.refuse(refusal.code, refusal.retry_after_s)

    def refuse(self, code: Code, retry_after_s: float | None) -> bool:
        """Answer with a result code; return False for the caller's use.

        A code that says "not run" is kept to requests that have not.
        """
        if self.done:
            return False
        if self.begun:
            self.cut(code.meaning)
            return False
        if self.may_have_run and code.run is Run.NO:
            code, retry_after_s = Code.OUTCOME_UNKNOWN, None
        self.status = code.http_status
        self.state.metrics.refusals.labels(code.name).inc()
        body = dumps({"code": int(code), "message": code.meaning}).encode()
        if self.charged and not self.may_have_run and self.account:
            refund(self.state, self.account, self.charged)
        self.inbound.respond(
            code.http_status, json_answer_headers(retry_after_s), body
        )
        self._settle(code)
        return False

    def cut(self, reason: str) -> None:
        """Break off an answer that cannot be completed."""
        self.inbound.abort()
        self.state.log(
            LogEvent.ATTEMPT_FAILED,
            request=self.call.request_id,
            reason=reason,
        )
        self._settle(Code.OUTCOME_UNKNOWN)

    def expire(self) -> None:
        """Give the final answer at the deadline or the route's timeout."""
        if self.done:
            return
        running = self.attempt is not None and self.attempt.sent
        if self.attempt is not None:
            self.attempt.abandon()
        if self.begun:
            self.cut("deadline or timeout reached")
        elif running or self.may_have_run:
            self.refuse(Code.DEADLINE_PASSED, None)
        else:
            self.refuse(Code.DEADLINE_UNREACHABLE, None)

    def caller_gone(self) -> None:
        """Release the engine of a caller who left."""
        if not self.done:
            self._settle(Code.CANCELLED)

    def _settle(self, code: Code) -> None:
        """End the request, and whatever still runs for it."""
        self.done = True
        self.code = code
        self.state.waiting.pop(self.key, None)
        self.state.calls.drop(self.key)
        for timer in (self.timer, self.hedge):
            if timer is not None and timer.active():
                timer.cancel()
        engine = ""
        if self.attempt is not None:
            engine = self.attempt.engine.name
            self.attempt.abandon()
        report_end(self, engine)
