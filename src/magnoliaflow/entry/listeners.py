"""Listening ports, opened as soon as nobody else holds them."""

from typing import Any

from twisted.internet.error import CannotListenError

from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.loop import reactor
from magnoliaflow.entry.state import EntryState

# Pending connections while the process is busy.
LISTEN_BACKLOG = 1024
# A port may be held by a process that is about to end, or by an outgoing
# connection that the kernel gave it.
RETRY_INTERVAL_S = 0.2


class Listeners:
    """Ports of a process by name.

    Until all required ones are open, the host is not ready.
    """

    __slots__ = ("closed", "ports", "state")

    def __init__(self, state: EntryState) -> None:
        self.state = state
        self.ports: dict[str, Any] = {}
        self.closed: set[str] = set()

    def open(
        self, name: str, address: str, factory: Any, *, required: bool = True
    ) -> None:
        """Listen on ``IP:PORT``, now or when the port is free."""
        if required:
            self.state.ports_held.add(name)
        self._try(name, address, factory, is_first=True)

    def close(self, name: str) -> None:
        """Stop listening and take no new connections."""
        self.closed.add(name)
        port = self.ports.pop(name, None)
        if port is not None:
            port.stopListening()

    def _try(
        self, name: str, address: str, factory: Any, *, is_first: bool = False
    ) -> None:
        if name in self.closed:
            return
        host, _, port = address.rpartition(":")
        try:
            self.ports[name] = reactor.listenTCP(
                int(port), factory, backlog=LISTEN_BACKLOG, interface=host
            )
        except CannotListenError as exc:
            if is_first:
                self.state.log(
                    LogEvent.PORT_HELD,
                    port=name,
                    address=address,
                    reason=str(exc.socketError),
                )
            reactor.callLater(
                RETRY_INTERVAL_S, self._try, name, address, factory
            )
            return
        self.state.ports_held.discard(name)
        if not is_first:
            self.state.log(LogEvent.PORT_OPENED, port=name, address=address)
