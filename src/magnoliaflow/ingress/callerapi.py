"""HTTP API of a gateway for callers and operators."""

from json import dumps
from json import loads
from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks
from twisted.internet.defer import TimeoutError as DeferredTimeout

from magnoliaflow.common.codes import Code
from magnoliaflow.common.codes import SETTLED_CODES
from magnoliaflow.common.loop import reactor
from magnoliaflow.common.messages import Find
from magnoliaflow.common.messages import Found
from magnoliaflow.core.inputs import CancelRequested
from magnoliaflow.core.inputs import Submitted
from magnoliaflow.ingress.auth import Tokens
from magnoliaflow.ingress.streaming import Streams
from magnoliaflow.ingress.streaming import StreamWriter
from magnoliaflow.ingress.views import claim_view
from magnoliaflow.ingress.views import code_view
from magnoliaflow.ingress.views import explain_view
from magnoliaflow.ingress.views import request_code
from magnoliaflow.ingress.views import request_view
from magnoliaflow.ingress.views import status_view
from magnoliaflow.serving.claimprocessing import claim_code
from magnoliaflow.serving.location import serving_address
from magnoliaflow.serving.membership import caller_addresses
from magnoliaflow.serving.shell import Shell
from magnoliaflow.work.claimids import body_digest
from magnoliaflow.work.claimids import CLAIM_PREFIX
from magnoliaflow.work.claimids import ClaimId
from magnoliaflow.work.claimids import parse_claim_id
from magnoliaflow.work.requests import Role

FIND_TIMEOUT_S = 0.5
MAX_WAIT_S = 60.0
MAX_PROFILE_NAME_LENGTH = 200


class Waiters:
    """Deferreds that fire when a request changes."""

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        self._waiting: dict[str, list[Deferred[None]]] = {}

    def wait(self, request_id: str, timeout_s: float) -> "Deferred[None]":
        """Return a Deferred that fires at a change or a timeout."""
        waiter: Deferred[None] = Deferred()
        self._waiting.setdefault(request_id, []).append(waiter)

        def on_timeout(failure: Any) -> None:
            failure.trap(DeferredTimeout)
            waiters = self._waiting.get(request_id, [])
            if waiter in waiters:
                waiters.remove(waiter)
            if not waiters:
                self._waiting.pop(request_id, None)

        waiter.addTimeout(timeout_s, reactor)
        waiter.addErrback(on_timeout)
        return waiter

    def fire(self, request_id: str) -> None:
        """Fire every Deferred that waits for a request."""
        for waiter in self._waiting.pop(request_id, []):
            waiter.callback(None)


class CallerApi:
    """Routes of the caller port."""

    app = Klein()

    def __init__(self, shell: Shell, tokens: Tokens) -> None:
        self.shell = shell
        self.state = shell.core.state
        self.tokens = tokens
        self.waiters = Waiters()
        self.found_addresses: dict[str, str] = {}
        self.streams = Streams()
        shell.on_changed = self.on_changed

    def on_changed(self, request_id: str) -> None:
        """Notify the streams and waiters of a request."""
        self.streams.push(request_id)
        self.waiters.fire(request_id)

    def receive_found(self, message: Found) -> None:
        """Store the address at which a peer found a request."""
        self.found_addresses[message.request_id] = message.caller_address
        self.waiters.fire("found " + message.request_id)

    def _account(self, request: Any) -> str:
        return self.tokens.account(request.getHeader("authorization"))

    def _reply(self, request: Any, view: dict[str, Any]) -> bytes:
        code = Code(view["code"])
        request.setResponseCode(code.http_status)
        request.setHeader("Content-Type", "application/json")
        if "retry_after_s" in view:
            seconds = -(-view["retry_after_s"] // 1)
            request.setHeader("Retry-After", str(int(seconds)))
        return dumps(view).encode()

    def _refuse(self, request: Any, code: Code) -> bytes:
        """Refuse a request without asking the core, and count it."""
        self.state.metrics.refusals.labels(code.name).inc()
        return self._reply(request, code_view(self.state, code))

    @app.route("/v1/addresses", methods=["GET"])
    def addresses(self, request: Any) -> bytes:
        """Return the addresses that callers should use, best first."""
        request.setHeader("Content-Type", "application/json")
        ttl_s = self.state.cfg.timings.address_ttl_s
        addresses = caller_addresses(self.state)
        return dumps({"addresses": addresses, "ttl_s": ttl_s}).encode()

    @app.route("/v1/requests", methods=["POST"])
    @inlineCallbacks
    def submit(self, request: Any) -> Any:
        """Submit a request; reply with its acceptance, result or stream."""
        account = self._account(request)
        if not account:
            return self._refuse(request, Code.UNAUTHENTICATED)
        raw = request.content.read()
        if len(raw) > self.state.cfg.limits.body_bytes:
            return self._refuse(request, Code.BODY_TOO_LARGE)
        content = parse_submission(raw)
        if content is None:
            return self._refuse(request, Code.BAD_REQUEST)
        key = request.getHeader("idempotency-key") or ""
        request_id = f"{self.state.next_id('q')}"
        self.shell.feed(
            Submitted(
                request_id=request_id,
                account=account,
                profile=content["profile"],
                body=raw,
                prompt=content.get("prompt", ""),
                max_tokens=content.get("max_tokens", 0),
                key=key,
            )
        )
        code = self.state.refusals.pop(request_id, None)
        if code is not None:
            return self._reply(request, code_view(self.state, code))
        wait_s = min(MAX_WAIT_S, float(content.get("wait_s", 0.0)))
        if request_id not in self.state.requests:
            name = ClaimId(account, key, body_digest(raw))
            view = yield self._wait_claim(name, wait_s)
            return self._reply(request, view)
        if "text/event-stream" in (request.getHeader("accept") or ""):
            return (yield self._stream(request, request_id, ""))
        return (yield self._wait_request(request, request_id, wait_s))

    @app.route("/v1/requests/<request_id>", methods=["GET"])
    @inlineCallbacks
    def poll(self, request: Any, request_id: str) -> Any:
        """Return the state of a request."""
        account = self._account(request)
        if not account:
            return self._refuse(request, Code.UNAUTHENTICATED)
        wait_s = _wait_seconds(request)
        if request_id.startswith(CLAIM_PREFIX):
            name = parse_claim_id(account, request_id)
            view = yield self._wait_claim(name, wait_s)
            return self._reply(request, view)
        location = yield self._locate(request_id, account)
        if location != "local":
            return self._redirect(request, request_id, location)
        return (yield self._wait_request(request, request_id, wait_s))

    @app.route("/v1/requests/<request_id>/stream", methods=["GET"])
    @inlineCallbacks
    def stream(self, request: Any, request_id: str) -> Any:
        """Stream an answer, resuming after the Last-Event-ID."""
        account = self._account(request)
        if not account:
            return self._refuse(request, Code.UNAUTHENTICATED)
        location = yield self._locate(request_id, account)
        if location != "local":
            return self._redirect(request, f"{request_id}/stream", location)
        last_event_id = request.getHeader("last-event-id") or ""
        return (yield self._stream(request, request_id, last_event_id))

    @app.route("/v1/requests/<request_id>", methods=["DELETE"])
    @inlineCallbacks
    def cancel(self, request: Any, request_id: str) -> Any:
        """Cancel a request."""
        account = self._account(request)
        if not account:
            return self._refuse(request, Code.UNAUTHENTICATED)
        if request_id.startswith(CLAIM_PREFIX):
            name = parse_claim_id(account, request_id)
            self.shell.feed(CancelRequested(name.full_key))
            view = yield self._wait_claim(name, 1.0)
            return self._reply(request, view)
        location = yield self._locate(request_id, account)
        if location != "local":
            return self._redirect(request, request_id, location)
        self.shell.feed(CancelRequested(request_id))
        req = self.state.requests.rows[request_id]
        return self._reply(request, request_view(self.state, req))

    @app.route("/v1/status", methods=["GET"])
    def status(self, request: Any) -> bytes:
        """Return the status of this gateway to an operator."""
        if not self.tokens.is_operator(request.getHeader("authorization")):
            return self._refuse(request, Code.UNAUTHENTICATED)
        request.setHeader("Content-Type", "application/json")
        return dumps(status_view(self.state)).encode()

    @app.route("/v1/explain/<path:request_id>", methods=["GET"])
    def explain(self, request: Any, request_id: str) -> bytes:
        """Return this gateway's trail of a request to an operator."""
        if not self.tokens.is_operator(request.getHeader("authorization")):
            return self._refuse(request, Code.UNAUTHENTICATED)
        request.setHeader("Content-Type", "application/json")
        return dumps(explain_view(self.state, request_id)).encode()

    @inlineCallbacks
    def _locate(self, request_id: str, account: str) -> Any:
        """Return 'local', a caller address, or '' if unknown."""
        req = self.state.requests.get(request_id)
        if req is not None and req.account != account:
            return ""
        if req is not None and req.role is Role.OWNER:
            return "local"
        address = serving_address(self.state, request_id)
        if address:
            return address
        self.found_addresses.pop(request_id, None)
        for peer in list(self.state.peers):
            self.shell.links.send(peer.peer_address, Find(request_id))
        yield self.waiters.wait("found " + request_id, FIND_TIMEOUT_S)
        return self.found_addresses.pop(request_id, "")

    def _redirect(self, request: Any, path: str, address: str) -> bytes:
        """Redirect a caller to the gateway that serves a request."""
        if not address:
            return self._reply(request, code_view(self.state, Code.NOT_FOUND))
        view = code_view(self.state, Code.MOVED)
        view["addresses"] = [address]
        request.setHeader("Location", f"http://{address}/v1/requests/{path}")
        return self._reply(request, view)

    @inlineCallbacks
    def _wait_request(
        self, request: Any, request_id: str, wait_s: float
    ) -> Any:
        """Reply once the request is settled or the wait is over.

        A request that is not accepted yet is awaited a second longer.
        """
        deadline = reactor.seconds() + wait_s
        accept_deadline = deadline + 1.0
        while True:
            req = self.state.requests.get(request_id)
            if req is None or req.role is not Role.OWNER:
                address = serving_address(self.state, request_id)
                return self._redirect(request, request_id, address)
            code = request_code(req)
            now = reactor.seconds()
            limit = deadline if code is Code.ACCEPTED else accept_deadline
            if code in SETTLED_CODES or now >= limit:
                return self._reply(request, request_view(self.state, req))
            yield self.waiters.wait(request_id, limit - now + 0.001)

    @inlineCallbacks
    def _wait_claim(self, name: ClaimId, wait_s: float) -> Any:
        """Return the claim's view once it is settled or the wait is over.

        A claim that is not accepted yet is awaited a second longer.
        """
        deadline = reactor.seconds() + wait_s
        accept_deadline = deadline + 1.0
        while True:
            code = claim_code(self.state, name)
            now = reactor.seconds()
            limit = deadline if code is Code.ACCEPTED else accept_deadline
            done = code is None or code in SETTLED_CODES
            if done or now >= limit:
                return claim_view(self.state, name)
            yield self.waiters.wait(name.full_key, limit - now + 0.001)

    def _stream(
        self, request: Any, request_id: str, last_event_id: str
    ) -> "Deferred[bytes]":
        """Write server-sent events until the answer ends."""
        writer = StreamWriter(self.state, request, request_id, last_event_id)
        return self.streams.open(writer)


def parse_submission(raw: bytes) -> dict[str, Any] | None:
    """Return the content of a submission, None if it is malformed.

    >>> parse_submission(b'{"profile": 3}') is None
    True
    """
    try:
        content = loads(raw)
    except ValueError:
        return None
    if not isinstance(content, dict):
        return None
    field_types: dict[str, Any] = {
        "profile": str,
        "prompt": str,
        "max_tokens": int,
        "wait_s": (int, float),
    }
    for name, field_type in field_types.items():
        if name in content and not isinstance(content[name], field_type):
            return None
    if not 0 < len(content.get("profile", "")) <= MAX_PROFILE_NAME_LENGTH:
        return None
    if content.get("max_tokens", 0) < 0 or content.get("wait_s", 0) < 0:
        return None
    return content


def _wait_seconds(request: Any) -> float:
    values = request.args.get(b"wait_s", [b"0"])
    try:
        return max(0.0, min(MAX_WAIT_S, float(values[0])))
    except ValueError:
        return 0.0
