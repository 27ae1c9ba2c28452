"""Streaming of answers as server-sent events."""

from json import dumps
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from magnoliaflow.core.state import GatewayState
from magnoliaflow.ingress.views import request_view
from magnoliaflow.serving.location import serving_address
from magnoliaflow.work.requests import Request
from magnoliaflow.work.requests import Role

KEEPALIVE_S = 0.5


class StreamWriter:
    """Writes an answer to a connection until it ends or moves."""

    __slots__ = ("conn", "ended", "offset", "idle", "request_id", "state")

    def __init__(
        self,
        state: GatewayState,
        conn: Any,
        request_id: str,
        last_event_id: str,
    ) -> None:
        self.state = state
        self.conn = conn
        self.request_id = request_id
        self.idle = False
        self.ended: Deferred[bytes] = Deferred()
        req = state.requests.rows[request_id]
        self.offset = resume_offset(req, last_event_id)
        conn.setHeader("Content-Type", "text/event-stream")
        conn.setHeader("X-Request-Id", request_id)
        conn.write(format_event("accepted", "", {"request_id": request_id}))
        if self.offset < 0:
            conn.write(format_event("reset", f"{branch_name(req)}.0", {}))
            self.offset = 0

    def push(self) -> None:
        """Write the tokens released since the last call."""
        if self.ended.called:
            return
        req = self.state.requests.get(self.request_id)
        if req is None or req.role is not Role.OWNER:
            address = serving_address(self.state, self.request_id)
            self.conn.write(
                format_event("moved", "", {"addresses": [address]})
            )
            self.end()
            return
        if req.released > self.offset:
            tokens = req.tokens[self.offset : req.released]
            self.offset = req.released
            event_id = f"{branch_name(req)}.{self.offset}"
            self.conn.write(format_event("", event_id, {"tokens": tokens}))
            self.idle = False
        if req.settled:
            view = request_view(self.state, req)
            view.pop("tokens", None)
            self.conn.write(format_event("done", "", view))
            self.end()

    def send_keepalive(self) -> None:
        """Write a comment if no tokens were written since the last call."""
        if self.idle and not self.ended.called:
            self.conn.write(b": alive\n\n")
        self.idle = True

    def end(self, reason: Any = None) -> None:
        """End the stream, once."""
        if not self.ended.called:
            self.ended.callback(b"")


class Streams:
    """The open streams of a gateway by request id."""

    __slots__ = ("_keepalive_loop", "_writers")

    def __init__(self) -> None:
        self._writers: dict[str, list[StreamWriter]] = {}
        self._keepalive_loop = LoopingCall(self._send_keepalives)

    def open(self, writer: StreamWriter) -> "Deferred[bytes]":
        """Start a stream; the Deferred fires when it ends."""
        writers = self._writers.setdefault(writer.request_id, [])
        writers.append(writer)
        writer.conn.notifyFinish().addBoth(writer.end)
        writer.ended.addBoth(self._close, writer)
        if not self._keepalive_loop.running:
            self._keepalive_loop.start(KEEPALIVE_S, now=False)
        writer.push()
        return writer.ended

    def push(self, request_id: str) -> None:
        """Write new tokens to every stream of a request."""
        for writer in list(self._writers.get(request_id, ())):
            writer.push()

    def _close(self, result: bytes, writer: StreamWriter) -> bytes:
        writers = self._writers[writer.request_id]
        writers.remove(writer)
        if not writers:
            del self._writers[writer.request_id]
        return result

    def _send_keepalives(self) -> None:
        for writers in list(self._writers.values()):
            for writer in list(writers):
                writer.send_keepalive()


def resume_offset(req: Request, last_event_id: str) -> int:
    """Return the offset to resume at, -1 if the caller must reset."""
    if not last_event_id:
        return 0
    branch, _, offset = last_event_id.rpartition(".")
    epoch, _, owner = branch.partition(".")
    if not (epoch.isdigit() and offset.isdigit()):
        return -1
    if not req.has_position(int(epoch), owner, int(offset)):
        return -1
    return int(offset)


def format_event(event: str, event_id: str, data: dict[str, Any]) -> bytes:
    """Return an encoded server-sent event.

    >>> format_event("done", "0.a.3", {})
    b'event: done\\nid: 0.a.3\\ndata: {}\\n\\n'
    """
    lines = [
        f"event: {event}\n" if event else "",
        f"id: {event_id}\n" if event_id else "",
        f"data: {dumps(data)}\n\n",
    ]
    return "".join(lines).encode()


def branch_name(req: Request) -> str:
    """Return the branch of a request in the form used in event ids."""
    return f"{req.epoch}.{req.owner}"
