"""One send of a request to an engine, and what comes back."""

from enum import Enum
from typing import Any

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.platform.headers import decode_engine_head
from magnoliaflow.platform.headers import encode_forward
from magnoliaflow.policy.engines import Engine
from magnoliaflow.policy.events import EventSplitter
from magnoliaflow.policy.placing import first_token_s
from magnoliaflow.policy.routes import Kind
from magnoliaflow.transport.client import Exchange
from magnoliaflow.transport.client import Headers
from magnoliaflow.transport.client import open_exchange
from magnoliaflow.work.calls import Call
from magnoliaflow.work.calls import EngineHead
from magnoliaflow.work.calls import Forward

# Time for a connection to open: a few round trips between zones, and one
# more packet where the first was lost would take a second.
CONNECT_S = 0.4
# An engine that failed is left alone; the pause doubles up to the most.
SHUN_FIRST_S = 0.5
SHUN_MOST_S = 4.0
# Failures in a row, beside connections refused, before an engine is left
# alone: single answers are lost or garbled by sound engines too.
FAILURES_BORNE = 2
# A plain answer is held until it is whole; more is refused.
MOST_BODY_BYTES = 16 * 1024 * 1024


class Failure(Enum):
    """What a failed attempt says of the work behind it."""

    UNSENT = "unsent"
    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"


class Attempt:
    """A sink of one exchange, on behalf of a request."""

    __slots__ = (
        "body",
        "engine",
        "exchange",
        "expected_s",
        "head",
        "opened_at",
        "over",
        "read",
        "run",
        "sent",
        "size",
        "splitter",
        "uncached",
        "usage_noted",
    )

    def __init__(self, run: Any, engine: Engine, uncached: int) -> None:
        self.run = run
        self.engine = engine
        self.uncached = uncached
        self.expected_s = first_token_s(engine, uncached, boot_time())
        self.exchange: Exchange | None = None
        self.head: EngineHead | None = None
        self.body: list[bytes] = []
        self.size = 0
        self.splitter: EventSplitter | None = None
        self.opened_at = 0.0
        self.sent = False
        self.read = False
        self.over = False
        self.usage_noted = False

    def open(self, call: Call, forward: Forward) -> None:
        """Connect and send."""
        self.engine.note_prompt(self.uncached)
        self.run.state.flows[self.engine.cfg.backend].running += 1
        exchange = Exchange(
            call.method, call.target, encode_forward(call, forward), call.body
        )
        self.exchange = exchange
        open_exchange(
            self.engine.cfg.address, exchange, self, connect_s=CONNECT_S
        )

    def on_open(self) -> None:
        """Count the send; it leaves with this turn of the reactor."""
        if self.over:
            return
        if not self.run.may_still_send():
            self._release()
            if self.exchange is not None:
                self.exchange.cancel()
            return
        self.sent = True
        self.opened_at = boot_time()
        self.run.engines_sent += 1
        self.run.note_sent()

    def on_head(self, status: int, headers: Headers) -> None:
        """Judge the answer's head."""
        if self.over:
            return
        head = decode_engine_head(status, headers)
        if head.not_run:
            self._fail(Failure.NOT_RUN, f"engine answered {status}")
            return
        if head.request_id and head.request_id != self.run.call.request_id:
            self._fail(
                Failure.MAY_HAVE_RUN, "answer of another request", blame=True
            )
            return
        if 200 <= status < 300 and not head.signed:
            self._fail(Failure.MAY_HAVE_RUN, "no receipt", blame=True)
            return
        self.head = head
        streams = self.run.route.kind is Kind.STREAM
        if streams and 200 <= status < 300:
            self.splitter = EventSplitter()

    def on_data(self, data: bytes) -> None:
        """Pass whole events on; collect any other body."""
        if self.over:
            return
        if self.splitter is None:
            self.size += len(data)
            if self.size > MOST_BODY_BYTES:
                self._fail(Failure.MAY_HAVE_RUN, "body too large", blame=True)
                return
            self.body.append(data)
            return
        for event in self.splitter.feed(data):
            self._note_first_token()
            if not self.run.take_event(self, event):
                self._fail(Failure.MAY_HAVE_RUN, "gap between events")
                return

    def on_end(self) -> None:
        """Settle a complete answer."""
        if self.over:
            return
        assert self.head is not None
        if self.splitter is not None:
            if self.splitter.rest:
                self._fail(Failure.MAY_HAVE_RUN, "ended inside an event")
                return
            self._release()
            self.engine.failures = 0
            self.run.finish_stream(self)
            return
        self._note_begin(self.opened_at)
        self._release()
        if self.head.status >= 500:
            self._blame()
        else:
            self.engine.failures = 0
        self.run.take_answer(self, self.head, b"".join(self.body))

    def on_failure(self, reason: str, *, sent: bool) -> None:
        """Settle a failure."""
        if self.over:
            return
        if not sent:
            self.engine.failures += FAILURES_BORNE
            self._fail(Failure.UNSENT, reason, blame=True)
            return
        if self.run.route.kind is not Kind.STREAM:
            self._note_begin(self.opened_at)
        self._fail(Failure.MAY_HAVE_RUN, reason, blame=True)

    def abandon(self) -> None:
        """Drop the connection; the engine stops when it notices."""
        if self.over:
            return
        self._release()
        if self.exchange is not None:
            self.exchange.cancel()

    def _fail(
        self, failure: Failure, reason: str, *, blame: bool = False
    ) -> None:
        self.abandon()
        if blame:
            self._blame()
        self.run.attempt_failed(self, failure, reason)

    def _blame(self) -> None:
        """Leave an engine alone that failed several times in a row."""
        engine = self.engine
        engine.failures += 1
        over = engine.failures - FAILURES_BORNE
        if over > 0:
            pause = min(SHUN_MOST_S, SHUN_FIRST_S * 2.0 ** (over - 1))
            engine.shunned_until = boot_time() + pause

    def _note_first_token(self) -> None:
        if self.read:
            return
        self.read = True
        now = boot_time()
        self.engine.note_read(self.uncached)
        took = now - self.opened_at
        usual = self.expected_s / self.engine.slowness
        self.engine.note_slowness(took / max(0.01, usual))
        self._note_begin(now)

    def _note_begin(self, at: float) -> None:
        """Count the request in the window in which it began to run."""
        if self.usage_noted:
            return
        self.usage_noted = True
        self.run.note_began(at)

    def _release(self) -> None:
        """Stop counting the request at its engine."""
        if self.over:
            return
        self.over = True
        self.engine.note_ended()
        if not self.read:
            self.engine.note_read(self.uncached)
        flow = self.run.state.flows[self.engine.cfg.backend]
        flow.running = max(0, flow.running - 1)
