"""A connection that is read unless there is a cause not to, and its timer."""

from socket import IPPROTO_TCP
from socket import TCP_INFO
from typing import Any

from twisted.internet.protocol import Protocol

from magnoliaflow.common.loop import reactor
from magnoliaflow.transport.limits import LEFT_CHECK_S

TCP_ESTABLISHED = 1


def is_established(transport: Any) -> bool:
    """Return whether neither side has closed a connection."""
    sock = transport.getHandle()
    return bool(
        sock.getsockopt(IPPROTO_TCP, TCP_INFO, 1)[0] == TCP_ESTABLISHED
    )


class PausableProtocol(Protocol):
    """Protocol with a set of causes for which it is not read, and a timer."""

    transport: Any

    def __init__(self) -> None:
        self.pauses: set[str] = set()
        self.timer: Any = None
        self.left_check: Any = None
        self.is_lost = False
        self.has_moved = False

    def _pause(self, cause: str) -> None:
        if not self.pauses:
            self.transport.pauseProducing()
        self.pauses.add(cause)
        if cause == "pipeline" and self.left_check is None:
            self.left_check = reactor.callLater(LEFT_CHECK_S, self._check_left)

    def _check_left(self) -> None:
        """Close a connection that is not read if its caller has left."""
        self.left_check = None
        if self.is_lost or "pipeline" not in self.pauses:
            return
        if is_established(self.transport):
            self.left_check = reactor.callLater(LEFT_CHECK_S, self._check_left)
        else:
            self.transport.abortConnection()

    def _resume(self, cause: str) -> None:
        if cause not in self.pauses:
            return
        self.pauses.discard(cause)
        if not (self.pauses or self.is_lost or self.transport.disconnecting):
            self.transport.resumeProducing()

    def _start_timer(self, delay_s: float) -> None:
        self._cancel_timer()
        self.has_moved = False
        self.timer = reactor.callLater(delay_s, self._timed_out)

    def _cancel_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None

    def _timed_out(self) -> None:
        """Handle the end of the timer."""
        raise NotImplementedError
