"""Handling of one request: admission, attempts at engines, the answer.

A request that must not be repeated runs at most once: it is sent to one
engine.  It is sent again only if the engine confirms that it did not run the
request, or if the connection never opened.  Any other failure is answered
with 502.
"""

from json import dumps
from math import inf
from typing import Any

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.codes import Code
from magnoliaflow.common.codes import Executed
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.loop import reactor
from magnoliaflow.entry.admission import charge
from magnoliaflow.entry.admission import check_rate_limit
from magnoliaflow.entry.admission import engine_priority
from magnoliaflow.entry.admission import refund
from magnoliaflow.entry.admission import Refusal
from magnoliaflow.entry.admission import resolve_route
from magnoliaflow.entry.admission import STALE_CONFIG_RETRY_AFTER_S
from magnoliaflow.entry.attempts import Attempt
from magnoliaflow.entry.attempts import Failure
from magnoliaflow.entry.calllog import log_refusal
from magnoliaflow.entry.calllog import record_end
from magnoliaflow.entry.drain import check_drain
from magnoliaflow.entry.findings import find_hold
from magnoliaflow.entry.findings import hold_details
from magnoliaflow.entry.findings import hold_retry_after
from magnoliaflow.entry.hedges import Hedge
from magnoliaflow.entry.limits import next_send_at
from magnoliaflow.entry.retries import may_retry
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.streamorigins import choose_service
from magnoliaflow.entry.streamorigins import hold_stream
from magnoliaflow.entry.streamorigins import is_taken_up
from magnoliaflow.entry.versions import find_sides
from magnoliaflow.platform.headers import decode_call
from magnoliaflow.platform.headers import json_answer_headers
from magnoliaflow.policy.crashes import Hold
from magnoliaflow.policy.crashes import part_name
from magnoliaflow.policy.crashes import request_name
from magnoliaflow.policy.engines import Engine
from magnoliaflow.policy.eventstream import Event
from magnoliaflow.policy.placement import first_token_s
from magnoliaflow.policy.routes import Account
from magnoliaflow.policy.routes import Route
from magnoliaflow.policy.routes import RouteTable
from magnoliaflow.policy.routing import choose
from magnoliaflow.policy.routing import find_policy
from magnoliaflow.policy.routing import RoutingRequest
from magnoliaflow.policy.streamorigins import Origin
from magnoliaflow.transport.inbound import InboundRequest
from magnoliaflow.work.calls import Call
from magnoliaflow.work.calls import EngineResponseHead
from magnoliaflow.work.calls import ForwardContext

# Share of the latency target for which a request waits while no engine takes
# work; a longer wait would use up the time in which its caller can retry.
ENGINE_WAIT_SHARE = 0.125
# Retry-After values: by then an engine may have registered, or a queue may be
# shorter.
NO_ENGINE_RETRY_AFTER_S = 1.0
SHED_RETRY_AFTER_S = 0.3
# Failed connections before a request is given up; more would take too long.
MAX_UNSENT = 4
# An answer is sent this long before the caller's deadline, to arrive in time.
DEADLINE_MARGIN_S = 0.03
# Deadline of a request that names none; the route's timeout still applies.
DEFAULT_DEADLINE_S = 30.0


class CallHandler:
    """Handles one request of a caller."""

    __slots__ = (
        "account",
        "attempt",
        "response_started",
        "route_table",
        "call",
        "charged_amount",
        "code",
        "deadline_at",
        "done",
        "attempts_sent",
        "first_byte_at",
        "hedge",
        "inbound",
        "key",
        "last_event",
        "may_have_run",
        "origin",
        "request_name",
        "route",
        "service",
        "shared_parts",
        "started_at",
        "state",
        "status",
        "deadline_timer",
        "tried_engines",
        "unsent",
        "usage_counted",
    )

    def __init__(self, state: EntryState, inbound: InboundRequest) -> None:
        self.state = state
        self.inbound = inbound
        self.call: Call = decode_call(inbound)
        self.key = id(self)
        self.shared_parts = tuple(
            part_name(part) for part, _ in self.call.parts[:-1]
        )
        self.route_table: RouteTable | None = None
        self.route: Route | None = None
        self.account: Account | None = None
        self.service = ""
        self.started_at = boot_time()
        self.deadline_at = inf
        self.attempt: Attempt | None = None
        self.response_started = False
        self.charged_amount = 0.0
        self.code = Code.ACCEPTED
        self.done = False
        self.attempts_sent = 0
        self.usage_counted = False
        self.first_byte_at = 0.0
        self.hedge = Hedge(self)
        self.last_event = -1
        self.may_have_run = False
        # Where the stream began whose events the caller has.
        self.origin: Origin | None = None
        self.request_name = ""
        self.status = 0
        self.deadline_timer: Any = None
        self.tried_engines: set[str] = set()
        self.unsent = 0

    def start(self) -> None:
        """Admit the request or refuse it."""
        self.state.calls.put(self.key, self)
        self.inbound.on_disconnect = self.on_caller_gone
        if not self.resolve():
            return
        self._start_deadline_timer()
        assert self.route is not None
        refusal = check_drain(
            self.state, self.route, self.deadline_at, self.started_at
        )
        if refusal is not None:
            self._refuse_admission(refusal)
            return
        if self.account is not None:
            charged = charge(self.state, self.account, self.call, boot_time())
            if isinstance(charged, Refusal):
                self._refuse_admission(charged)
                return
            self.charged_amount = charged
        if is_taken_up(self):
            self.state.origin_log.admit(self)
        else:
            self.dispatch()

    def resolve(self) -> bool:
        """Look up the route and the account in the current configuration.

        Return False if the request was refused.
        """
        found = resolve_route(self.state, self.call, boot_time())
        if isinstance(found, Refusal):
            return self.refuse(found.code, found.retry_after_s)
        self.route_table = found.route_table
        self.route = found.route
        self.account = found.account
        self.service = choose_service(self, found.route)
        if not self.request_name:
            self.request_name = self._name_request()
        return True

    def _name_request(self) -> str:
        """Return the name that this request has whenever it is sent."""
        call = self.call
        caller = self.account.name if self.account else ""
        return request_name(
            (
                call.method,
                call.host.encode(),
                call.target,
                caller.encode(),
                call.body,
            )
        )

    def judged_names(self) -> tuple[str, ...]:
        """Return the names by which engines' ends are judged."""
        return (*self.shared_parts, self.request_name)

    def _start_deadline_timer(self) -> None:
        """Start the timer of the request's deadline or timeout."""
        assert self.route is not None
        wait_s = self.call.deadline_s or DEFAULT_DEADLINE_S
        wait_s = min(wait_s - DEADLINE_MARGIN_S, self.route.timeout_s)
        self.deadline_at = self.started_at + wait_s
        self.deadline_timer = reactor.callLater(
            max(0.0, wait_s), self.on_deadline
        )

    def dispatch(self) -> None:
        """Send the request to the best engine or wait for one."""
        if self.done:
            return
        now = boot_time()
        hold = self.find_hold(now)
        if hold is not None:
            self._refuse_admission(
                Refusal(
                    Code.PROMPT_HELD,
                    hold_retry_after(hold, now),
                    hold_details(hold, now),
                )
            )
            return
        left_s = self.deadline_at - now
        routing_request = self.routing_request(left_s)
        choice = choose(
            self.state.routing, routing_request, self.policy(), now
        )
        if choice is None and self.tried_engines:
            self.tried_engines.clear()
            choice = choose(
                self.state.routing,
                self.routing_request(left_s),
                self.policy(),
                now,
            )
        if choice is None:
            self._wait_for_engine(now)
            return
        self.state.waiting_calls.pop(self.key, None)
        engine = self.state.routing.engines[choice.engine]
        if not self.attempts_sent:
            local_load = self.state.local_loads[self.service]
            local_load.record(choice.uncached_tokens, now)
        wait_s = first_token_s(engine, 0, now)
        if self.serves_model() and wait_s > left_s:
            self.refuse(Code.DEADLINE_UNREACHABLE, wait_s)
            return
        if self.attempts_sent == 0 and self.route is not None:
            refusal = check_rate_limit(
                self.state, self.route, engine, choice.uncached_tokens, now
            )
            if refusal is not None:
                self._refuse_admission(refusal)
                return
        self._send(engine, choice.uncached_tokens, routing_request, left_s)

    def find_hold(self, now: float) -> Hold | None:
        """Return a hold on the request, None if it may be sent."""
        return find_hold(self.state, self.service, self.judged_names(), now)

    def policy(self) -> Any:
        """Return the routing policy of the request's service."""
        return find_policy(
            "first_token" if self.serves_model() else "least_busy"
        )

    def serves_model(self) -> bool:
        """Return whether model engines serve the request."""
        table = self.route_table
        service = table.services.get(self.service) if table else None
        return service is not None and service.model

    def routing_request(self, left_s: float) -> RoutingRequest:
        """Return what routing depends on; tried engines are avoided."""
        assert self.route is not None
        parts = self.call.parts
        return RoutingRequest(
            request_id=self.call.request_id,
            backend=self.service,
            blocks=tuple(name for name, _ in parts),
            prompt_tokens=max(1, self.call.prompt_tokens),
            answer_tokens=max(1, self.call.answer_tokens),
            first_token_s=self.started_at + self.route.target_s - boot_time(),
            token_gap_s=0.0,
            target_s=self.route.target_s,
            avoid=frozenset(self.tried_engines),
            sizes=tuple(tokens for _, tokens in parts),
            sides=find_sides(self),
        )

    def _wait_for_engine(self, now: float) -> None:
        """Wait for an engine for a short time, then give up."""
        assert self.route is not None
        until = self.started_at + self.route.target_s * ENGINE_WAIT_SHARE
        free_at = next_send_at(self.state, self.service)
        if free_at > until and not (self.may_have_run or free_at == inf):
            self.refuse(Code.NO_BACKEND, free_at - now)
            return
        if now >= until or self.may_have_run:
            self.fail_unserved()
            return
        if self.key not in self.state.waiting_calls:
            self.state.waiting_calls[self.key] = self
            reactor.callLater(until - now, self._on_wait_timeout)

    def _on_wait_timeout(self) -> None:
        if self.state.waiting_calls.pop(self.key, None) is not None:
            self.dispatch()

    def fail_unserved(self) -> None:
        """Give up a request that no engine can take."""
        if self.response_started:
            self.abort_response("no engine left to continue the answer")
        elif self.may_have_run:
            self.refuse(Code.OUTCOME_UNKNOWN, None)
        else:
            self.refuse(Code.NO_BACKEND, NO_ENGINE_RETRY_AFTER_S)

    def _send(
        self,
        engine: Engine,
        uncached: int,
        routing_request: RoutingRequest,
        left_s: float,
    ) -> None:
        if self.attempts_sent + self.unsent and not self.resolve():
            return
        if self.account is not None and not self.state.is_config_fresh(
            boot_time()
        ):
            self.refuse(Code.PROFILES_STALE, STALE_CONFIG_RETRY_AFTER_S)
            return
        self.attempt = self.open_attempt(
            engine, uncached, routing_request, left_s
        )
        self.hedge.begin()

    def open_attempt(
        self,
        engine: Engine,
        uncached: int,
        routing_request: RoutingRequest,
        left_s: float,
    ) -> Attempt:
        """Log a send, connect to the engine and return the attempt."""
        self.state.log(
            LogEvent.CALL_PLACED,
            request=self.call.request_id,
            route=self.route.name if self.route else "",
            engine=engine.name,
            engine_version=self.state.engine_version(engine.name),
            resumes=self.call.resumes,
            resume_after=self.call.resume_after,
            events=self.last_event + 1,
            uncached=uncached,
            running=engine.local_running,
            peer_running=engine.peer_running,
            expected_s=round(first_token_s(engine, uncached, boot_time()), 3),
            version=self.route_table.version if self.route_table else -1,
            left_s=round(left_s, 3),
        )
        if routing_request.blocks:
            self.state.routing.prefixes.add(
                engine.name,
                routing_request.blocks,
                boot_time(),
                sizes=routing_request.sizes,
            )
        model = self.serves_model()
        assert self.route is not None
        forward = ForwardContext(
            engine=engine.name,
            remaining_s=left_s,
            account=self.account.name if self.account else "",
            priority=(
                engine_priority(self.route, self.account) if model else None
            ),
            resume_after=str(self.last_event) if self.last_event >= 0 else "",
        )
        self.state.crash_judge.begin_trial(self.judged_names(), boot_time())
        attempt = Attempt(self, engine, uncached)
        attempt.open(self.call, forward)
        return attempt

    def may_send(self) -> bool:
        """Return whether the request may be sent now.

        The configuration is checked again right before the send, because the
        process may have been suspended since the engine was selected.
        """
        if self.account is None:
            return not self.done
        route_table = self.state.route_table
        key_known = (
            route_table is not None
            and self.call.credential in route_table.keys
        )
        fresh = self.state.is_config_fresh(boot_time())
        return key_known and fresh and not self.done

    def earn_retry(self) -> None:
        """Count a send; add to the retry budget after the first one."""
        self.hedge.record_sent()
        if self.attempts_sent == 1:
            self.state.hedging.record_first_send(self.service, boot_time())
            budget = self.state.retry_budgets.get(self.service)
            if budget is not None:
                budget.earn()

    def attempt_failed(
        self, attempt: Attempt, failure: Failure, reason: str
    ) -> None:
        """Retry or give up after an attempt without an answer."""
        if self.done or not self.hedge.is_current(attempt):
            return
        self.state.log(
            LogEvent.ATTEMPT_FAILED,
            request=self.call.request_id,
            engine=attempt.engine.name,
            failure=failure.value,
            reason=reason,
            events=attempt.event_count,
            written_s=round(attempt.written_s(), 3),
            parts=list(self.shared_parts),
            same_as=self.request_name,
        )
        self.tried_engines.add(attempt.engine.name)
        if self.hedge.goes_on(attempt, failure):
            return
        if failure is Failure.UNSENT:
            self.unsent += 1
            if self.unsent <= MAX_UNSENT:
                self.dispatch()
            else:
                self.fail_unserved()
            return
        if failure is Failure.NOT_RUN:
            if may_retry(self, "not run"):
                self.dispatch()
            elif self.may_have_run or self.response_started:
                self.fail_unserved()
            else:
                self.refuse(Code.NOT_STARTED, SHED_RETRY_AFTER_S)
            return
        self.may_have_run = True
        assert self.route is not None
        if self.route.repeatable and may_retry(self, "broken"):
            self.dispatch()
            return
        self.fail_unserved()

    def forward_events(self, attempt: Attempt, events: list[Event]) -> bool:
        """Forward events to the caller at once; return False on a gap."""
        if not self.hedge.wins(attempt):
            return False
        blocks: list[bytes] = []
        for event in events:
            if event.event_id >= 0 and self.last_event >= 0:
                if event.event_id <= self.last_event:
                    continue
                started = self.response_started or blocks
                if event.event_id > self.last_event + 1 and started:
                    self._send_blocks(attempt, blocks)
                    return False
            if event.event_id >= 0:
                self.last_event = event.event_id
            blocks.append(event.data)
        self._send_blocks(attempt, blocks)
        return True

    def _send_blocks(self, attempt: Attempt, blocks: list[bytes]) -> None:
        """Send events to the caller, behind the head of the answer."""
        if not blocks:
            return
        if not self.response_started:
            assert attempt.head is not None
            self.response_started = True
            self.first_byte_at = boot_time()
            hold_stream(self, attempt.engine.cfg.version)
            self.inbound.begin(attempt.head.status, attempt.head.headers)
        attempt.throttle_by(self.inbound)
        self.inbound.send(b"".join(blocks))

    def finish_stream(self, attempt: Attempt) -> None:
        """Finish a stream that its engine completed."""
        if not self.hedge.wins(attempt):
            return
        if not self.response_started and attempt.head is not None:
            self.inbound.begin(attempt.head.status, attempt.head.headers)
        self.status = attempt.head.status if attempt.head else 0
        self.inbound.finish()
        self._finish(Code.DONE)

    def forward_answer(
        self, attempt: Attempt, head: EngineResponseHead, body: bytes
    ) -> None:
        """Forward a complete answer, or retry after a failure."""
        if self.done or not self.hedge.is_current(attempt):
            return
        assert self.route is not None
        failed = head.status >= 500
        refused = self.hedge.is_refused(attempt, head.status)
        if refused or (failed and self.route.repeatable):
            self.tried_engines.add(attempt.engine.name)
            if self.hedge.goes_on(attempt, Failure.MAY_HAVE_RUN):
                return
            if may_retry(self, "engine failed"):
                self.may_have_run = True
                self.dispatch()
                return
        self.hedge.wins(attempt)
        self.first_byte_at = boot_time()
        self.status = head.status
        self.inbound.respond(head.status, head.headers, body)
        self._finish(Code.BACKEND_FAILED if failed else Code.DONE)

    def _refuse_admission(self, refusal: Refusal) -> None:
        """Refuse a request at admission and log the reason."""
        log_refusal(self.state, self.call, refusal)
        self.refuse(refusal.code, refusal.retry_after_s)

    def refuse(self, code: Code, retry_after_s: float | None) -> bool:
        """Answer with a result code; always return False.

        A code that states that the request did not run is replaced by
        OUTCOME_UNKNOWN if it may have run.
        """
        if self.done:
            return False
        if self.response_started:
            self.abort_response(code.meaning)
            return False
        if self.may_have_run and code.executed is Executed.NO:
            code, retry_after_s = Code.OUTCOME_UNKNOWN, None
        self.status = code.http_status
        self.state.metrics.refusals.labels(code.name).inc()
        body = dumps({"code": int(code), "message": code.meaning}).encode()
        if self.charged_amount and not self.may_have_run and self.account:
            refund(self.state, self.account, self.charged_amount)
        self.inbound.respond(
            code.http_status, json_answer_headers(retry_after_s), body
        )
        self._finish(code)
        return False

    def abort_response(self, reason: str) -> None:
        """Abort an answer that cannot be completed."""
        self.inbound.abort()
        self.state.log(
            LogEvent.ATTEMPT_FAILED,
            request=self.call.request_id,
            reason=reason,
        )
        self._finish(Code.OUTCOME_UNKNOWN)

    def on_deadline(self) -> None:
        """Answer at the caller's deadline or the route's timeout."""
        if self.done:
            return
        running = self.attempt is not None and self.attempt.sent
        if self.attempt is not None:
            self.attempt.abandon()
        if self.response_started:
            self.abort_response("deadline or timeout reached")
        elif running or self.may_have_run:
            self.refuse(Code.DEADLINE_PASSED, None)
        else:
            self.refuse(Code.DEADLINE_UNREACHABLE, None)

    def on_drain_end(self) -> None:
        """Answer at the end of this host's drain; abort a started answer."""
        if self.done:
            return
        if self.attempt is not None:
            self.may_have_run = self.may_have_run or self.attempt.sent
            self.attempt.abandon()
        if self.response_started:
            self.abort_response("this host has stopped")
        else:
            self.refuse(Code.DRAINING, NO_ENGINE_RETRY_AFTER_S)

    def on_caller_gone(self) -> None:
        """Cancel the request of a caller that disconnected."""
        if not self.done:
            self._finish(Code.CANCELLED)

    def _finish(self, code: Code) -> None:
        """End the request with its timers and its attempt."""
        self.done = True
        self.code = code
        self.state.waiting_calls.pop(self.key, None)
        self.state.calls.drop(self.key)
        self.hedge.stop()
        if self.deadline_timer is not None and self.deadline_timer.active():
            self.deadline_timer.cancel()
        engine = ""
        if self.attempt is not None:
            engine = self.attempt.engine.name
            self.attempt.abandon()
        record_end(self, engine)
