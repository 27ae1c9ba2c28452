"""Adapters that use HTTP to reach the platform and backend servers.

Calls are never retried here, and the retries of the connection pool are
disabled, because only the decision core knows whether a call may be repeated.
"""

from base64 import b64decode
from base64 import b64encode
from collections.abc import Callable
from collections.abc import Generator
from json import dumps
from json import loads
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks
from twisted.internet.error import ConnectError
from twisted.internet.error import ConnectionRefusedError
from twisted.web.client import Agent
from twisted.web.client import HTTPConnectionPool

from magnoliaflow.common.errors import NotStartedError
from magnoliaflow.common.errors import PortError
from magnoliaflow.common.errors import RestoredError
from magnoliaflow.common.errors import StaleFenceError
from magnoliaflow.common.errors import StartRefusedError
from magnoliaflow.common.errors import TrimmedError
from magnoliaflow.common.errors import UnknownOutcomeError
from magnoliaflow.common.loop import reactor
from magnoliaflow.common.messages import NewsRecord
from magnoliaflow.common.ports import adapter
from magnoliaflow.common.ports import CacheEvent
from magnoliaflow.common.ports import EngineOrder
from magnoliaflow.common.ports import GenerateCall
from magnoliaflow.common.ports import ListedHost
from magnoliaflow.common.ports import LoadReport
from magnoliaflow.common.ports import LogPage
from magnoliaflow.common.ports import Offer
from magnoliaflow.common.ports import ReclaimNotice
from magnoliaflow.common.ports import ServiceReply
from magnoliaflow.common.ports import StartedHost
from magnoliaflow.common.ports import TokenPiece
from magnoliaflow.common.webclient import treq

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 2.0
SERVICE_TIMEOUT_S = 5.0
LONG_POLL_S = 2.0
READ_TIMEOUT_S = LONG_POLL_S + 1.0
CONNECTIONS_PER_SERVER = 64

DeferredGenerator = Generator[Deferred[Any], Any, Any]
CONNECT_ERRORS = (ConnectError, ConnectionRefusedError)


def make_agent(*, persistent: bool = True) -> Agent:
    """Return an agent whose connection pool does not retry."""
    pool = HTTPConnectionPool(reactor, persistent=persistent)
    pool.retryAutomatically = False
    pool.maxPersistentPerHost = CONNECTIONS_PER_SERVER
    return Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=pool)


class HttpClient:
    """Client of the HTTP server at an address."""

    persistent = True

    def __init__(self, address: str) -> None:
        self.base = f"http://{address}"
        self.agent = make_agent(persistent=self.persistent)

    @inlineCallbacks
    def call(
        self,
        method: str,
        path: str,
        *,
        body: Any = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> DeferredGenerator:
        """Return the status and the JSON body of a reply.

        Raises NotStartedError if no connection was made and
        UnknownOutcomeError if no reply came.
        """
        data = b"" if body is None else dumps(body).encode()
        try:
            reply = yield treq.request(
                method,
                self.base + path,
                data=data,
                headers={"Content-Type": "application/json"},
                agent=self.agent,
                timeout=timeout_s,
            )
            text = yield treq.content(reply).addTimeout(timeout_s, reactor)
        except CONNECT_ERRORS as exc:
            raise NotStartedError(f"{self.base}{path}: {exc}") from exc
        except Exception as exc:
            raise UnknownOutcomeError(
                f"{self.base}{path}: {type(exc).__name__}: {exc}"
            ) from exc
        try:
            return reply.code, loads(text or b"null")
        except ValueError as exc:
            raise PortError(f"{self.base}{path}: invalid JSON") from exc

    @inlineCallbacks
    def fetch(
        self, path: str, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> DeferredGenerator:
        """Return the JSON body of a GET; raises PortError unless 200."""
        code, value = yield self.call("GET", path, timeout_s=timeout_s)
        if code != 200:
            raise PortError(f"{self.base}{path}: status {code}")
        return value


@adapter("http", "log")
class HttpLog(HttpClient):
    """The log service."""

    @inlineCallbacks
    def append(
        self, stream: str, payloads: tuple[bytes, ...]
    ) -> DeferredGenerator:
        """Append records in one call; a failed call may take effect."""
        encoded = [b64encode(data).decode() for data in payloads]
        code, _ = yield self.call(
            "POST", f"/streams/{stream}", body={"records": encoded}
        )
        if code != 200:
            raise PortError(f"append to {stream}: status {code}")

    @inlineCallbacks
    def read(
        self, stream: str, first_offset: int, era: int = 0
    ) -> DeferredGenerator:
        """Read from an offset on, with a long poll."""
        path = f"/streams/{stream}?from={first_offset}&wait={LONG_POLL_S}"
        code, value = yield self.call("GET", path, timeout_s=READ_TIMEOUT_S)
        if code not in (200, 410):
            raise PortError(f"read of {stream}: status {code}")
        reply_era = int(value.get("era", 0))
        if reply_era > era:
            raise RestoredError(reply_era)
        if reply_era < era:
            raise PortError(
                f"read of {stream}: answer of era {reply_era}, in era {era}"
            )
        if code == 410:
            raise TrimmedError(int(value["first"]))
        records = tuple(
            NewsRecord(offset, b64decode(encoded))
            for offset, encoded in value["records"]
        )
        return LogPage(records, int(value["end"]), reply_era)


@adapter("http", "host_list")
class HttpHostList(HttpClient):
    """The host list service."""

    @inlineCallbacks
    def hosts(self) -> DeferredGenerator:
        """Return the hosts that are live or leaving."""
        value = yield self.fetch("/hosts")
        return tuple(
            ListedHost(host["name"], host["zone"], host["leaving"])
            for host in value["hosts"]
        )


@adapter("http", "cloud")
class HttpCloud(HttpClient):
    """The cloud API."""

    @inlineCallbacks
    def notices(self) -> DeferredGenerator:
        """Return the announced reclaims that are not over."""
        value = yield self.fetch("/notices")
        return tuple(
            ReclaimNotice(notice["host"], notice["seconds_left"])
            for notice in value["notices"]
        )

    @inlineCallbacks
    def offers(self) -> DeferredGenerator:
        """Return current prices."""
        value = yield self.fetch("/offers")
        return tuple(Offer(**offer) for offer in value["offers"])

    @inlineCallbacks
    def start(self, tag: str, offer: Offer) -> DeferredGenerator:
        """Start one host; raises StartRefusedError if it is refused."""
        body = {
            "tag": tag,
            "zone": offer.zone,
            "machine_class": offer.machine_class,
            "reclaimable": offer.reclaimable,
        }
        code, value = yield self.call("POST", "/hosts", body=body)
        if code == 409:
            raise StartRefusedError(
                f"host start refused: {offer.zone} {offer.machine_class}"
            )
        if code != 200:
            raise UnknownOutcomeError(f"host start: status {code}")
        return StartedHost(**value)

    @inlineCallbacks
    def started(self) -> DeferredGenerator:
        """Return the hosts that were started with a tag."""
        value = yield self.fetch("/hosts")
        return tuple(StartedHost(**host) for host in value["hosts"])


@adapter("http", "weight_store")
class HttpWeightStore(HttpClient):
    """The weight store."""

    @inlineCallbacks
    def reserve(self, model: str) -> DeferredGenerator:
        """Reserve a load; return the seconds until it may start."""
        code, value = yield self.call("POST", f"/loads/{model}")
        if code != 200:
            raise PortError(f"reserve {model}: status {code}")
        return float(value["wait_s"])


class SseParser:
    """Incremental parser of server-sent events with JSON data.

    The callback gets the value of each data line, None for a comment.
    """

    def __init__(self, on_data: Callable[[Any], None]) -> None:
        self.on_data = on_data
        self.buffer = b""

    def feed(self, data: bytes) -> None:
        """Parse the complete lines received so far."""
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            if line.startswith(b"data:"):
                self.on_data(loads(line[5:]))
            elif line.startswith(b":"):
                self.on_data(None)


@adapter("http", "model_engine")
class HttpEngine(HttpClient):
    """A model engine, which streams tokens as server-sent events."""

    @inlineCallbacks
    def _stream(
        self, path: str, body: Any, on_piece: Callable[[TokenPiece], None]
    ) -> DeferredGenerator:
        """Read a token stream to its end; a keepalive is an empty piece."""

        def on_data(value: Any) -> None:
            if value is None:
                on_piece(TokenPiece(0, (), False))
                return
            on_piece(
                TokenPiece(
                    value["offset"], tuple(value["tokens"]), value["done"]
                )
            )

        parser = SseParser(on_data)
        try:
            reply = yield treq.post(
                self.base + path,
                data=dumps(body).encode(),
                agent=self.agent,
                timeout=CALL_TIMEOUT_S,
            )
            if reply.code == 503:
                raise NotStartedError(f"{self.base}{path}: engine is full")
            if reply.code == 404:
                raise NotStartedError(f"{self.base}{path}: no such attempt")
            if reply.code != 200:
                raise PortError(f"{self.base}{path}: status {reply.code}")
            yield treq.collect(reply, parser.feed)
        except PortError:
            raise
        except CONNECT_ERRORS as exc:
            raise NotStartedError(f"{self.base}{path}: {exc}") from exc
        except Exception as exc:
            raise UnknownOutcomeError(
                f"{self.base}{path}: {type(exc).__name__}: {exc}"
            ) from exc

    def generate(
        self, call: GenerateCall, on_piece: Callable[[TokenPiece], None]
    ) -> Any:
        """Start an attempt; fires when its stream ends."""
        body = {
            "request": call.request_id,
            "attempt": call.attempt_id,
            "prompt": call.prompt,
            "prefix": list(call.prefix),
            "max_tokens": call.max_tokens,
            "priority": call.priority,
            "import_from": call.import_from,
        }
        return self._stream("/generate", body, on_piece)

    def resume(
        self, call: GenerateCall, on_piece: Callable[[TokenPiece], None]
    ) -> Any:
        """Continue to read a running attempt.

        Raises NotStartedError if the engine does not know it.
        """
        body = {"attempt": call.attempt_id, "offset": len(call.prefix)}
        return self._stream("/resume", body, on_piece)

    @inlineCallbacks
    def cancel(self, attempt_id: str) -> DeferredGenerator:
        """Stop an attempt."""
        yield self.call("POST", "/cancel", body={"attempt": attempt_id})

    @inlineCallbacks
    def report(self) -> DeferredGenerator:
        """Return the latest load report."""
        value = yield self.fetch("/load", timeout_s=1.0)
        return LoadReport(**value)

    @inlineCallbacks
    def cache_events(self, after: int) -> DeferredGenerator:
        """Return the cache events with a number above ``after``."""
        value = yield self.fetch(f"/events?after={after}", timeout_s=1.0)
        return tuple(CacheEvent(*event) for event in value["events"])

    @inlineCallbacks
    def order(self, order: EngineOrder) -> DeferredGenerator:
        """Order a desired state.

        Raises StaleFenceError if the engine has seen a newer fence.
        """
        body = {
            "fence": order.fence,
            "models": list(order.models),
            "role": order.role,
        }
        code, value = yield self.call("POST", "/orders", body=body)
        if code == 412:
            raise StaleFenceError(f"{self.base}: fence {order.fence} is stale")
        if code != 200:
            raise UnknownOutcomeError(f"{self.base}/orders: status {code}")

    @inlineCallbacks
    def state(self) -> DeferredGenerator:
        """Return the current state of the engine."""
        value = yield self.fetch("/state")
        return EngineOrder(
            value["fence"], tuple(value["models"]), value["role"]
        )


@adapter("http", "service")
class HttpService(HttpClient):
    """A plain service.

    Each call opens its own connection, because an idle connection that
    the server has closed would leave the outcome of a call unknown.
    """

    persistent = False

    @inlineCallbacks
    def call_once(
        self, operation: str, key: str, body: bytes
    ) -> DeferredGenerator:
        """Send a call once, without retries."""
        code, value = yield self.call(
            "POST",
            f"/call/{operation}",
            body={"key": key, "body": body.decode()},
            timeout_s=SERVICE_TIMEOUT_S,
        )
        if code == 503:
            raise NotStartedError(f"{self.base}: {operation} not started")
        result = dumps(value.get("result")).encode()
        return ServiceReply(code == 200, result)

    @inlineCallbacks
    def status(self, key: str) -> DeferredGenerator:
        """Return the reply to the call under a key, None if unknown."""
        code, value = yield self.call("POST", "/status", body={"key": key})
        if code != 200:
            return None
        result = dumps(value.get("result")).encode()
        return ServiceReply(True, result)
