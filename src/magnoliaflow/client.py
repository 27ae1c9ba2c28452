"""Client library: address discovery, submission, polling and streams.

Addresses are cached for their time to live, an idle stream is resumed
over a new connection, and a request that may have run is never retried.
"""

from collections.abc import Callable
from collections.abc import Generator
from itertools import count
from json import dumps
from json import loads
from time import time
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from magnoliaflow.adapters.httpports import CONNECT_ERRORS
from magnoliaflow.adapters.httpports import make_agent
from magnoliaflow.common.codes import Code
from magnoliaflow.common.codes import SETTLED_CODES
from magnoliaflow.common.errors import CallError
from magnoliaflow.common.errors import MagnoliaflowError
from magnoliaflow.common.errors import NotStartedError
from magnoliaflow.common.loop import reactor
from magnoliaflow.common.webclient import treq
from magnoliaflow.work.claimids import body_digest
from magnoliaflow.work.claimids import ClaimId

CALL_TIMEOUT_S = 5.0
STREAM_IDLE_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.2
GIVE_UP_S = 60.0

DeferredGenerator = Generator[Deferred[Any], Any, Any]


def make_key(name: str) -> str:
    """Return an idempotency key that starts with its creation time.

    >>> make_key("voucher-7").endswith("-voucher-7")
    True
    """
    return f"{int(time())}-{name}"


def claim_id(content: dict[str, Any], key: str) -> str:
    """Return the request id that entry hosts derive for a claim."""
    body = dumps(content).encode()
    return ClaimId("", key, body_digest(body)).request_id


class Answer:
    """State of a request as last reported: code, tokens or result."""

    __slots__ = ("code", "request_id", "resets", "result", "tokens")

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.code = Code.PENDING
        self.tokens: list[int] = []
        self.result: Any = None
        self.resets = 0

    def update(self, reply: dict[str, Any]) -> None:
        """Update from the reply of an entry host."""
        self.code = Code(reply["code"])
        self.request_id = reply.get("request_id", self.request_id)
        if "tokens" in reply:
            self.tokens = reply["tokens"]
        if "result" in reply:
            self.result = reply["result"]


class Client:
    """Calls entry hosts on behalf of one client account."""

    def __init__(self, token: str, seeds: tuple[str, ...]) -> None:
        self.headers = {"Authorization": f"Bearer {token}"}
        self.seeds = seeds
        self.addresses: list[str] = []
        self.expires_at = 0.0
        self.round_robin = count()
        self.agent = make_agent()

    @inlineCallbacks
    def find_addresses(self) -> DeferredGenerator:
        """Return the entry host addresses, refreshing them once expired.

        If no host replies, the known addresses and seeds are returned.
        """
        if self.addresses and _now() < self.expires_at:
            return self.addresses
        candidates = dict.fromkeys([*self.addresses, *self.seeds])
        for address in candidates:
            try:
                _, reply = yield self._call("GET", address, "/v1/addresses")
            except MagnoliaflowError:
                continue
            if reply and reply["addresses"]:
                self.addresses = reply["addresses"]
                self.expires_at = _now() + reply["ttl_s"]
                return self.addresses
        return list(candidates)

    @inlineCallbacks
    def submit(
        self,
        profile: str,
        *,
        prompt: str = "",
        payload: Any = None,
        max_tokens: int = 0,
        key: str = "",
        wait_s: float = 0.0,
    ) -> DeferredGenerator:
        """Submit a request and return its Answer so far.

        The next entry host is tried only if the request certainly has
        not run.  Raises the last refusal, a CallError or
        NotStartedError, when no entry host accepts the request.  If the
        outcome is unknown, a request with a key returns a pending Answer
        and one without raises MagnoliaflowError.
        """
        request_body: dict[str, Any] = {"profile": profile, "wait_s": wait_s}
        if prompt:
            request_body["prompt"] = prompt
        if payload is not None:
            request_body["payload"] = payload
        if max_tokens:
            request_body["max_tokens"] = max_tokens
        addresses = yield self.find_addresses()
        start = next(self.round_robin)
        refusal: MagnoliaflowError = NotStartedError(
            "no entry host address is known"
        )
        for index in range(len(addresses)):
            address = addresses[(start + index) % len(addresses)]
            answer = Answer(claim_id(request_body, key) if key else "")
            try:
                _, reply = yield self._call(
                    "POST",
                    address,
                    "/v1/requests",
                    body=request_body,
                    key=key,
                    timeout_s=wait_s + CALL_TIMEOUT_S,
                )
            except NotStartedError as exc:
                refusal = exc
                continue
            except MagnoliaflowError:
                if not key:
                    raise
                return answer
            answer.update(reply)
            if answer.code.executed.value != "no":
                return answer
            refusal = CallError(int(answer.code), reply["meaning"])
            if answer.code not in (Code.DRAINING, Code.PROFILES_STALE):
                break
        raise refusal

    @inlineCallbacks
    def wait(
        self, answer: Answer, *, give_up_s: float = GIVE_UP_S
    ) -> DeferredGenerator:
        """Poll until a request is settled or ``give_up_s`` has passed."""
        deadline = _now() + give_up_s
        path = f"/v1/requests/{answer.request_id}?wait_s=2"
        address = ""
        while answer.code not in SETTLED_CODES and _now() < deadline:
            if not address:
                address = yield self._any_address()
            try:
                _, reply = yield self._call("GET", address, path)
            except MagnoliaflowError:
                address = ""
                yield retry_delay()
                continue
            code = Code(reply["code"])
            if code is Code.MOVED:
                address = reply["addresses"][0]
                continue
            if code is Code.NOT_FOUND:
                address = ""
                yield retry_delay()
                continue
            answer.update(reply)
        return answer

    @inlineCallbacks
    def stream(
        self,
        answer: Answer,
        *,
        on_tokens: Callable[[list[int]], None] = lambda tokens: None,
        give_up_s: float = GIVE_UP_S,
    ) -> DeferredGenerator:
        """Stream an answer, reconnecting until it is settled.

        A reset discards the tokens read so far, so that the answer never
        mixes two branches.  Stops after ``give_up_s``.
        """
        reader = StreamReader(answer, on_tokens)
        deadline = _now() + give_up_s
        address = ""
        while answer.code not in SETTLED_CODES and _now() < deadline:
            if not address:
                address = yield self._any_address()
            try:
                address = yield self._read_stream(address, reader)
            except MagnoliaflowError:
                address = ""
            if not address and answer.code not in SETTLED_CODES:
                yield retry_delay()
        return answer

    @inlineCallbacks
    def cancel(self, answer: Answer) -> DeferredGenerator:
        """Cancel a request, following redirects to its owner."""
        address = yield self._any_address()
        path = f"/v1/requests/{answer.request_id}"
        for _ in range(3):
            _, reply = yield self._call("DELETE", address, path)
            if reply["code"] != Code.MOVED:
                break
            address = reply["addresses"][0]
        answer.update(reply)
        return answer

    @inlineCallbacks
    def _any_address(self) -> DeferredGenerator:
        addresses = yield self.find_addresses()
        return addresses[next(self.round_robin) % len(addresses)]

    @inlineCallbacks
    def _read_stream(
        self, address: str, reader: "StreamReader"
    ) -> DeferredGenerator:
        """Read one connection to its end.

        Returns the address where the stream continues, '' if unknown.
        """
        path = f"/v1/requests/{reader.answer.request_id}/stream"
        headers = dict(self.headers)
        if reader.last_event_id:
            headers["Last-Event-ID"] = reader.last_event_id
        try:
            response = yield treq.get(
                f"http://{address}{path}",
                headers=headers,
                agent=self.agent,
                allow_redirects=False,
                timeout=CALL_TIMEOUT_S,
            )
            if response.code != 200:
                text = yield treq.content(response)
                reply = loads(text)
                if reply["code"] == Code.MOVED:
                    return reply["addresses"][0]
                return ""
            yield _collect(response, reader)
        except Exception as exc:
            raise MagnoliaflowError(str(exc)) from exc
        return reader.moved_to

    @inlineCallbacks
    def _call(
        self,
        method: str,
        address: str,
        path: str,
        *,
        body: Any = None,
        key: str = "",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> DeferredGenerator:
        headers = {**self.headers, "Content-Type": "application/json"}
        if key:
            headers["Idempotency-Key"] = key
        try:
            response = yield treq.request(
                method,
                f"http://{address}{path}",
                headers=headers,
                data=b"" if body is None else dumps(body).encode(),
                agent=self.agent,
                allow_redirects=False,
                timeout=timeout_s,
            )
            text = yield treq.content(response).addTimeout(timeout_s, reactor)
            return response.code, loads(text)
        except CONNECT_ERRORS as exc:
            raise NotStartedError(f"{address}: {exc}") from exc
        except Exception as exc:
            raise MagnoliaflowError(f"{address}: {exc}") from exc


class StreamReader:
    """Event stream parser that keeps its position across connections."""

    def __init__(
        self, answer: Answer, on_tokens: Callable[[list[int]], None]
    ) -> None:
        self.answer = answer
        self.on_tokens = on_tokens
        self.last_event_id = ""
        self.moved_to = ""
        self.buffer = b""
        self.last_data_at = _now()

    def on_connect(self) -> None:
        """Reset the state of the previous connection."""
        self.buffer = b""
        self.moved_to = ""
        self.last_data_at = _now()

    def feed(self, data: bytes) -> None:
        """Parse the events that are complete after more data."""
        self.last_data_at = _now()
        *events, self.buffer = (self.buffer + data).split(b"\n\n")
        for event in events:
            self._handle_event(event.decode())

    def _handle_event(self, text: str) -> None:
        fields = dict(
            line.split(": ", 1)
            for line in text.splitlines()
            if ": " in line and not line.startswith(":")
        )
        if "data" not in fields:
            return
        data = loads(fields["data"])
        self.last_event_id = fields.get("id", self.last_event_id)
        event_type = fields.get("event", "")
        if event_type == "reset":
            self.answer.tokens = []
            self.answer.resets += 1
        elif event_type == "moved":
            self.moved_to = data["addresses"][0]
        elif event_type == "done":
            tokens = self.answer.tokens
            self.answer.update(data)
            if "tokens" in data:
                self.answer.tokens = tokens
        elif not event_type:
            self.answer.tokens = self.answer.tokens + data["tokens"]
            self.on_tokens(data["tokens"])


def _collect(response: Any, reader: StreamReader) -> "Deferred[Any]":
    """Read a response until it ends or is idle for too long."""
    reader.on_connect()
    deferred = treq.collect(response, reader.feed)

    def check_idle() -> None:
        if deferred.called:
            return
        if _now() - reader.last_data_at > STREAM_IDLE_TIMEOUT_S:
            deferred.cancel()
            return
        _call_later(STREAM_IDLE_TIMEOUT_S / 4, check_idle)

    _call_later(STREAM_IDLE_TIMEOUT_S / 4, check_idle)
    return deferred


def _call_later(delay_s: float, function: Callable[[], None]) -> None:
    reactor.callLater(delay_s, function)


def _now() -> float:
    return float(reactor.seconds())


def retry_delay() -> "Deferred[None]":
    """Return a Deferred that fires after RETRY_DELAY_S."""
    return deferLater(reactor, RETRY_DELAY_S)
