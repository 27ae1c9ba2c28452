"""One attempt to have a request answered by an engine."""

from enum import Enum
from math import inf
from typing import Any

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.codes import Code
from magnoliaflow.common.loop import reactor
from magnoliaflow.entry.admission import STALE_CONFIG_RETRY_AFTER_S
from magnoliaflow.entry.brokenanswers import record_broken_answer
from magnoliaflow.entry.brokenanswers import record_sound_answer
from magnoliaflow.entry.departures import record_departure
from magnoliaflow.entry.enginespeeds import record_first_token
from magnoliaflow.entry.limits import record_limit
from magnoliaflow.entry.streamorigins import is_placed_anew
from magnoliaflow.entry.streamorigins import record_send
from magnoliaflow.entry.versions import drop_watch
from magnoliaflow.entry.versions import end_watch
from magnoliaflow.entry.versions import may_send_to
from magnoliaflow.entry.versions import send_watch
from magnoliaflow.entry.versions import Watch
from magnoliaflow.entry.versions import watch_attempt
from magnoliaflow.platform.headers import decode_engine_head
from magnoliaflow.platform.headers import encode_forward
from magnoliaflow.policy.crashes import SOUND_AFTER_S
from magnoliaflow.policy.engines import Engine
from magnoliaflow.policy.eventstream import EventSplitter
from magnoliaflow.policy.eventstream import EventTooLargeError
from magnoliaflow.policy.placement import first_token_s
from magnoliaflow.policy.routes import RouteKind
from magnoliaflow.transport.client import Exchange
from magnoliaflow.transport.client import Headers
from magnoliaflow.transport.client import open_exchange
from magnoliaflow.transport.inbound import InboundRequest
from magnoliaflow.work.calls import Call
from magnoliaflow.work.calls import EngineResponseHead
from magnoliaflow.work.calls import ForwardContext

# A few round trips between zones; the retransmission of a lost SYN would take
# a second.
CONNECT_TIMEOUT_S = 0.4
# Exponential backoff of an engine that failed.
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
# Failures in a row, refused connections aside, before an engine is avoided:
# healthy engines lose or corrupt single answers too.
TOLERATED_FAILURES = 2
# An answer that is not a stream is buffered until it is complete.
MAX_BODY_BYTES = 16 * 1024 * 1024
# A connection that took longer was opened before a suspension of the process:
# its request states a remaining time that is no longer true.
MAX_OPEN_DELAY_S = 2 * CONNECT_TIMEOUT_S


class Failure(Enum):
    """Whether the engine may have run the request of a failed attempt."""

    UNSENT = "unsent"
    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"


class Attempt:
    """Sink of one exchange with an engine."""

    __slots__ = (
        "body",
        "engine",
        "event_count",
        "exchange",
        "expected_s",
        "queued_ahead",
        "first_event_at",
        "head",
        "opened_at",
        "ended",
        "started_at",
        "throttled",
        "prompt_read",
        "handler",
        "sent",
        "is_sound",
        "splitter",
        "uncached",
        "watch",
    )

    def __init__(self, handler: Any, engine: Engine, uncached: int) -> None:
        self.handler = handler
        self.engine = engine
        self.uncached = uncached
        now = boot_time()
        self.expected_s = first_token_s(engine, uncached, now)
        self.queued_ahead = engine.tokens_ahead(now)
        self.exchange: Exchange | None = None
        self.head: EngineResponseHead | None = None
        self.body = bytearray()
        self.splitter: EventSplitter | None = None
        self.started_at = boot_time()
        self.throttled = False
        self.opened_at = 0.0
        self.sent = False
        self.prompt_read = False
        self.ended = False
        self.event_count = 0
        self.is_sound = False
        self.first_event_at = 0.0
        self.watch: Watch | None = None

    def open(self, call: Call, forward: ForwardContext) -> None:
        """Connect to the engine and send the request."""
        self.engine.record_prompt_sent(self.uncached)
        self.engine.record_limited_send(self.started_at)
        self.handler.state.local_loads[self.engine.cfg.backend].running += 1
        exchange = Exchange(
            call.method, call.target, encode_forward(call, forward), call.body
        )
        self.exchange = exchange
        self.watch = watch_attempt(self)
        open_exchange(
            self.engine.cfg.address,
            exchange,
            self,
            connect_s=CONNECT_TIMEOUT_S,
        )

    def throttle_by(self, inbound: InboundRequest) -> None:
        """Read from the engine no faster than the caller reads."""
        if not self.throttled and self.exchange is not None:
            self.throttled = True
            inbound.read_from(self.exchange)

    def on_open(self) -> None:
        """Count the send; the request is written in this reactor iteration."""
        if self.ended:
            return
        state = self.handler.state
        outdated = (
            boot_time() - self.started_at > MAX_OPEN_DELAY_S
            or self.engine.leaving_at < inf
            or state.routing.engines.get(self.engine.name) is not self.engine
            or not may_send_to(self.handler, self.engine.cfg.version)
            or is_placed_anew(self.handler)
        )
        if outdated:
            self._fail(Failure.UNSENT, "outdated before it was sent")
            return
        if not self.handler.may_send():
            drop_watch(self, not_run=True)
            self._refuse_send()
            return
        self.sent = True
        self.opened_at = boot_time()
        send_watch(self)
        record_send(self.handler, self.engine.cfg.version)
        self.handler.attempts_sent += 1
        self.handler.earn_retry()

    def _refuse_send(self) -> None:
        """End a request, but a second attempt alone."""
        if self is self.handler.hedge.second:
            self._fail(Failure.UNSENT, "not allowed when it was to be sent")
            return
        self.abandon()
        reactor.callLater(
            0,
            self.handler.refuse,
            Code.PROFILES_STALE,
            STALE_CONFIG_RETRY_AFTER_S,
        )

    def on_head(self, status: int, headers: Headers) -> None:
        """Check the head of the answer."""
        if self.ended:
            return
        head = decode_engine_head(status, headers)
        record_limit(self.handler.state, self.engine, head.rate_limit)
        if head.leaving:
            record_departure(
                self.handler.state,
                self.engine,
                status,
                misdirected=head.misdirected,
            )
        if head.request_id and head.request_id != self.handler.call.request_id:
            self._fail(
                Failure.MAY_HAVE_RUN,
                "answer carries another request id",
                engine_fault=True,
            )
            return
        if head.not_run:
            self._fail(
                Failure.NOT_RUN,
                f"engine answered {status} without running the request",
            )
            return
        if 200 <= status < 300 and not head.signed:
            self._fail(
                Failure.MAY_HAVE_RUN,
                "answer carries no signature",
                engine_fault=True,
            )
            return
        if self.handler.response_started and not head.continues_stream(
            self.handler.call.request_id
        ):
            self._fail(
                Failure.MAY_HAVE_RUN,
                f"answer of status {status} is not the rest of the stream",
                engine_fault=True,
            )
            return
        self.head = head
        streams = self.handler.route.kind is RouteKind.STREAM
        if streams and 200 <= status < 300:
            self.splitter = EventSplitter()

    def on_data(self, data: bytes) -> int:
        """Forward complete events and return their number.

        Any other body is buffered.
        """
        if self.ended:
            return 0
        if self.splitter is None:
            self._buffer(data)
            return 0
        try:
            events = self.splitter.feed(data)
        except EventTooLargeError as exc:
            self._fail(Failure.MAY_HAVE_RUN, str(exc), engine_fault=True)
            return 0
        self._hold(self.splitter.size)
        if not events or self.ended:
            return 0
        self._record_first_token()
        self.event_count += len(events)
        if not self.is_sound and self.written_s() >= SOUND_AFTER_S:
            self._record_sound(self.first_event_at)
        if not self.handler.forward_events(self, events):
            self._fail(Failure.MAY_HAVE_RUN, "gap in the event ids")
        return len(events)

    def _buffer(self, data: bytes) -> None:
        """Keep a part of a body within the bounds of this host's memory."""
        if len(self.body) + len(data) > MAX_BODY_BYTES:
            self._fail(
                Failure.MAY_HAVE_RUN,
                "answer body exceeds the size limit",
                engine_fault=True,
            )
            return
        self.body += data
        self._hold(len(self.body))

    def _hold(self, size: int) -> None:
        """Count buffered bytes, for which an attempt may be evicted."""
        budget = self.handler.state.buffers
        if size:
            budget.hold(self, size, ran=True)
        else:
            budget.release(self)

    def evict(self) -> None:
        """Give up an answer that takes too much of this host's memory."""
        if not self.ended:
            self._fail(
                Failure.MAY_HAVE_RUN,
                "buffered answers exceed this host's limit",
            )

    def on_end(self) -> None:
        """Finish a complete answer."""
        if self.ended:
            return
        assert self.head is not None
        if self.splitter is not None:
            if self.splitter.buffer or self._ended_empty():
                end_watch(self, failed=True)
                record_broken_answer(self)
                self._fail(
                    Failure.MAY_HAVE_RUN, "stream ended within an event"
                )
                return
            end_watch(self, failed=False)
            self._release_engine()
            self.engine.failures = 0
            if self.event_count:
                self._record_sound(self.first_event_at)
            self.handler.finish_stream(self)
            return
        self._count_usage(self.opened_at)
        end_watch(self, failed=self.head.status >= 500)
        self._release_engine()
        if self.head.status >= 500:
            self._record_failure()
        else:
            self.engine.failures = 0
            self._record_sound(self.opened_at)
        body, self.body = bytes(self.body), bytearray()
        self.handler.forward_answer(self, self.head, body)

    def on_failure(self, reason: str, *, sent: bool) -> None:
        """Handle a broken connection."""
        if self.ended:
            return
        if not sent:
            self.engine.failures += TOLERATED_FAILURES
            self._fail(Failure.UNSENT, reason, engine_fault=True)
            return
        record_broken_answer(self)
        self._fail(Failure.MAY_HAVE_RUN, reason, engine_fault=True)

    def abandon(self) -> None:
        """Close the connection; the engine stops when it notices."""
        if self.ended:
            return
        self._release_engine()
        self.body = bytearray()
        if self.exchange is not None:
            self.exchange.cancel()

    def _fail(
        self, failure: Failure, reason: str, *, engine_fault: bool = False
    ) -> None:
        if engine_fault:
            end_watch(self, failed=True)
        drop_watch(self, not_run=failure is Failure.NOT_RUN)
        if failure is Failure.MAY_HAVE_RUN and not self.ended:
            streams = self.handler.route.kind is RouteKind.STREAM
            self._count_usage(boot_time() if streams else self.opened_at)
        self.abandon()
        if engine_fault:
            self._record_failure()
        self.handler.attempt_failed(self, failure, reason)

    def _ended_empty(self) -> bool:
        """Return whether a stream without framing ended before any event."""
        assert self.exchange is not None
        return self.exchange.closed_by_peer and not self.event_count

    def _record_sound(self, begun_at: float) -> None:
        if not self.is_sound:
            self.is_sound = True
            record_sound_answer(self, begun_at)

    def written_s(self) -> float:
        """Return the seconds since the first event of a stream, 0 without."""
        return boot_time() - self.first_event_at if self.event_count else 0.0

    def _record_failure(self) -> None:
        """Back off from an engine after several failures in a row."""
        engine = self.engine
        engine.failures += 1
        excess = engine.failures - TOLERATED_FAILURES
        if excess > 0:
            backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0 ** (excess - 1))
            engine.excluded_until = boot_time() + backoff_s

    def _record_first_token(self) -> None:
        if self.prompt_read:
            return
        self.prompt_read = True
        now = boot_time()
        self.first_event_at = now
        self.engine.record_prompt_read(self.uncached)
        elapsed_s = now - self.opened_at
        if not self.engine.learned_rate:
            predicted_s = self.expected_s / self.engine.slowness
            self.engine.record_slowness(elapsed_s / max(0.01, predicted_s))
        record_first_token(
            self.handler.state,
            self.engine,
            self.queued_ahead + self.uncached,
            elapsed_s,
        )
        self._count_usage(now)

    def _count_usage(self, at: float) -> None:
        """Count the request in the usage window in which it began to run.

        It counts once, however many engines it runs on.
        """
        handler = self.handler
        if handler.usage_counted or handler.account is None:
            return
        handler.usage_counted = True
        state = handler.state
        state.usage.add(
            state.identity, handler.account.name, state.true_time(at)
        )

    def _release_engine(self) -> None:
        """Stop counting the request in its engine's load."""
        if self.ended:
            return
        self.ended = True
        drop_watch(self)
        self.handler.state.buffers.release(self)
        if self.splitter is not None:
            self.splitter.clear()
        self.engine.record_ended()
        if not self.prompt_read:
            self.engine.record_prompt_read(self.uncached)
        local_load = self.handler.state.local_loads[self.engine.cfg.backend]
        local_load.running = max(0, local_load.running - 1)
