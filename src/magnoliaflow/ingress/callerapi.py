"""HTTP interface for callers and operators of one gateway."""

from json import dumps
from json import loads
from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks
from twisted.internet.defer import TimeoutError as DeferredTimeout

from magnoliaflow.common.codes import Code
from magnoliaflow.common.codes import SETTLED
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
from magnoliaflow.serving.claimwork import claim_code
from magnoliaflow.serving.location import serving_address
from magnoliaflow.serving.membership import caller_addresses
from magnoliaflow.serving.shell import Shell
from magnoliaflow.work.claimnames import body_digest
from magnoliaflow.work.claimnames import CLAIM_PREFIX
from magnoliaflow.work.claimnames import ClaimName
from magnoliaflow.work.claimnames import parse_claim_id
from magnoliaflow.work.requests import Role

FIND_WAIT_S = 0.5
WAIT_MOST_S = 60.0
TEXT_LIMIT = 200


class Waiters:
    """Deferreds that fire when a request has news."""

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        self._waiting: dict[str, list[Deferred[None]]] = {}

    def wait(self, request_id: str, timeout_s: float) -> "Deferred[None]":
        """Return a Deferred that fires at news, or after a time."""
        fut: Deferred[None] = Deferred()
        self._waiting.setdefault(request_id, []).append(fut)

        def late(failure: Any) -> None:
            failure.trap(DeferredTimeout)
            rows = self._waiting.get(request_id, [])
            if fut in rows:
                rows.remove(fut)
            if not rows:
                self._waiting.pop(request_id, None)

        fut.addTimeout(timeout_s, reactor)
        fut.addErrback(late)
        return fut

    def fire(self, request_id: str) -> None:
        """Wake everyone who waits for a request."""
        for fut in self._waiting.pop(request_id, []):
            fut.callback(None)


class CallerApi:
    """Routes of the caller port."""

    app = Klein()

    def __init__(self, shell: Shell, tokens: Tokens) -> None:
        self.shell = shell
        self.state = shell.core.state
        self.tokens = tokens
        self.waiters = Waiters()
        self.found: dict[str, str] = {}
        self.streams = Streams()
        shell.on_changed = self.on_changed

    def on_changed(self, request_id: str) -> None:
        """Pass a request's news on to streams and waiters."""
        self.streams.push(request_id)
        self.waiters.fire(request_id)

    def take_found(self, message: Found) -> None:
        """Note where a request is served, as a peer said."""
        self.found[message.request_id] = message.caller_address
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
        """Refuse before the core is asked, and count it."""
        self.state.metrics.refusals.labels(code.name).inc()
        return self._reply(request, code_view(self.state, code))

    @app.route("/v1/addresses", methods=["GET"])
    def addresses(self, request: Any) -> bytes:
        """Return the addresses to use, the best first."""
        request.setHeader("Content-Type", "application/json")
        ttl_s = self.state.cfg.timings.address_ttl_s
        rows = caller_addresses(self.state)
        return dumps({"addresses": rows, "ttl_s": ttl_s}).encode()

    @app.route("/v1/requests", methods=["POST"])
    @inlineCallbacks
    def submit(self, request: Any) -> Any:
        """Take a request; wait for it, stream it, or only accept it."""
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
        wait_s = min(WAIT_MOST_S, float(content.get("wait_s", 0.0)))
        if request_id not in self.state.requests:
            name = ClaimName(account, key, body_digest(raw))
            view = yield self._wait_claim(name, wait_s)
            return self._reply(request, view)
        if "text/event-stream" in (request.getHeader("accept") or ""):
            return (yield self._stream(request, request_id, ""))
        return (yield self._wait_request(request, request_id, wait_s))

    @app.route("/v1/requests/<request_id>", methods=["GET"])
    @inlineCallbacks
    def poll(self, request: Any, request_id: str) -> Any:
        """Return what became of a request."""
        account = self._account(request)
        if not account:
            return self._refuse(request, Code.UNAUTHENTICATED)
        wait_s = _wait_argument(request)
        if request_id.startswith(CLAIM_PREFIX):
            name = parse_claim_id(account, request_id)
            view = yield self._wait_claim(name, wait_s)
            return self._reply(request, view)
        place = yield self._locate(request_id, account)
        if place != "here":
            return self._elsewhere(request, request_id, place)
        return (yield self._wait_request(request, request_id, wait_s))

    @app.route("/v1/requests/<request_id>/stream", methods=["GET"])
    @inlineCallbacks
    def stream(self, request: Any, request_id: str) -> Any:
        """Stream an answer on from the Last-Event-ID."""
        account = self._account(request)
        if not account:
            return self._refuse(request, Code.UNAUTHENTICATED)
        place = yield self._locate(request_id, account)
        if place != "here":
            return self._elsewhere(request, f"{request_id}/stream", place)
        last = request.getHeader("last-event-id") or ""
        return (yield self._stream(request, request_id, last))

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
        place = yield self._locate(request_id, account)
        if place != "here":
            return self._elsewhere(request, request_id, place)
        self.shell.feed(CancelRequested(request_id))
        req = self.state.requests.rows[request_id]
        return self._reply(request, request_view(self.state, req))

    @app.route("/v1/status", methods=["GET"])
    def status(self, request: Any) -> bytes:
        """Show this gateway to an operator."""
        if not self.tokens.is_operator(request.getHeader("authorization")):
            return self._refuse(request, Code.UNAUTHENTICATED)
        request.setHeader("Content-Type", "application/json")
        return dumps(status_view(self.state)).encode()

    @app.route("/v1/explain/<path:request_id>", methods=["GET"])
    def explain(self, request: Any, request_id: str) -> bytes:
        """Show an operator what this gateway did with a request."""
        if not self.tokens.is_operator(request.getHeader("authorization")):
            return self._refuse(request, Code.UNAUTHENTICATED)
        request.setHeader("Content-Type", "application/json")
        return dumps(explain_view(self.state, request_id)).encode()

    @inlineCallbacks
    def _locate(self, request_id: str, account: str) -> Any:
        """Return 'here', a caller address, or '' if nobody knows."""
        req = self.state.requests.get(request_id)
        if req is not None and req.account != account:
            return ""
        if req is not None and req.role is Role.OWNER:
            return "here"
        address = serving_address(self.state, request_id)
        if address:
            return address
        self.found.pop(request_id, None)
        for peer in list(self.state.peers):
            self.shell.links.send(peer.peer_address, Find(request_id))
        yield self.waiters.wait("found " + request_id, FIND_WAIT_S)
        return self.found.pop(request_id, "")

    def _elsewhere(self, request: Any, path: str, address: str) -> bytes:
        """Send a caller to the gateway that serves a request."""
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
        """Answer once the request is settled or the wait is over."""
        until = reactor.seconds() + wait_s
        accept_until = until + 1.0
        while True:
            req = self.state.requests.get(request_id)
            if req is None or req.role is not Role.OWNER:
                address = serving_address(self.state, request_id)
                return self._elsewhere(request, request_id, address)
            code = request_code(req)
            now = reactor.seconds()
            limit = until if code is Code.ACCEPTED else accept_until
            if code in SETTLED or now >= limit:
                return self._reply(request, request_view(self.state, req))
            yield self.waiters.wait(request_id, limit - now + 0.001)

    @inlineCallbacks
    def _wait_claim(self, name: ClaimName, wait_s: float) -> Any:
        """Return the claim's view once settled or the wait is over."""
        until = reactor.seconds() + wait_s
        accept_until = until + 1.0
        while True:
            code = claim_code(self.state, name)
            now = reactor.seconds()
            limit = until if code is Code.ACCEPTED else accept_until
            done = code is None or code in SETTLED
            if done or now >= limit:
                return claim_view(self.state, name)
            yield self.waiters.wait(name.full_key, limit - now + 0.001)

    def _stream(
        self, request: Any, request_id: str, last: str
    ) -> "Deferred[bytes]":
        """Write server-sent events until the answer is whole."""
        writer = StreamWriter(self.state, request, request_id, last)
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
    kinds: dict[str, Any] = {
        "profile": str,
        "prompt": str,
        "max_tokens": int,
        "wait_s": (int, float),
    }
    for name, kind in kinds.items():
        if name in content and not isinstance(content[name], kind):
            return None
    if not 0 < len(content.get("profile", "")) <= TEXT_LIMIT:
        return None
    if content.get("max_tokens", 0) < 0 or content.get("wait_s", 0) < 0:
        return None
    return content


def _wait_argument(request: Any) -> float:
    values = request.args.get(b"wait_s", [b"0"])
    try:
        return max(0.0, min(WAIT_MOST_S, float(values[0])))
    except ValueError:
        return 0.0
