"""Signals of the platform, kept until their handlers can run.

Imported before everything else: until a handler is installed, a signal ends
the process.
"""

from collections.abc import Callable
from signal import SIGHUP
from signal import SIGINT
from signal import signal
from signal import SIGTERM
from typing import Any

STOP_SIGNALS = (SIGTERM, SIGINT)


class SignalInbox:
    """Receives signals and passes them to the handlers attached later."""

    __slots__ = ("handlers", "waiting")

    def __init__(self) -> None:
        self.handlers: dict[int, Callable[[], None]] = {}
        self.waiting: list[int] = []

    def install(self) -> None:
        """Receive the platform's signals from now on."""
        for signum in (*STOP_SIGNALS, SIGHUP):
            signal(signum, self._receive)

    def stop_requested(self) -> bool:
        """Return whether a signal to stop waits for its handler."""
        return any(signum in STOP_SIGNALS for signum in self.waiting)

    def attach(
        self, *, on_stop: Callable[[], None], on_reload: Callable[[], None]
    ) -> None:
        """Call the handlers for signals that wait and for all later ones."""
        self.handlers = {
            SIGHUP: on_reload,
            **dict.fromkeys(STOP_SIGNALS, on_stop),
        }
        waiting, self.waiting = self.waiting, []
        for signum in waiting:
            self.handlers[signum]()

    def _receive(self, signum: int, frame: Any) -> None:
        handler = self.handlers.get(signum)
        if handler is None:
            self.waiting.append(signum)
        else:
            handler()


SIGNALS = SignalInbox()
