"""A connection that is read unless there is a cause not to, and its timer."""

from typing import Any

from twisted.internet.protocol import Protocol

from magnoliaflow.common.loop import reactor


class PausableProtocol(Protocol):
    """Protocol with a set of causes for which it is not read, and a timer."""

    transport: Any

    def __init__(self) -> None:
        self.pauses: set[str] = set()
        self.timer: Any = None
        self.is_lost = False
        self.has_moved = False

    def _pause(self, cause: str) -> None:
        if not self.pauses:
            self.transport.pauseProducing()
        self.pauses.add(cause)

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
