"""Checks whether an engine whose answer broke off still takes connections."""

from collections.abc import Callable
from enum import Enum
from typing import Any

from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Protocol

from magnoliaflow.common.loop import reactor

# A connection within a region opens in milliseconds; one to a host without
# power never does.
PROBE_TIMEOUT_S = 0.4


class ProbeResult(Enum):
    """What became of a connection to an engine."""

    LISTENING = "listening"
    REFUSED = "refused"
    SILENT = "silent"


ProbeCallback = Callable[[ProbeResult], None]


class _ProbeConnection(Protocol):
    """A connection that is closed as soon as it is open."""

    transport: Any

    def connectionMade(self) -> None:
        """Close the connection."""
        self.transport.abortConnection()


class _ProbeFactory(ClientFactory):
    """Reports whether a connection opened."""

    noisy = False

    def __init__(self, on_result: ProbeCallback) -> None:
        self.on_result = on_result

    def buildProtocol(self, addr: Any) -> Protocol:
        """Report the open connection."""
        self.on_result(ProbeResult.LISTENING)
        return _ProbeConnection()

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Report the failed connection."""
        refused = reason.check(RefusedError) is not None
        self.on_result(ProbeResult.REFUSED if refused else ProbeResult.SILENT)


def probe_engine(address: str, on_result: ProbeCallback) -> None:
    """Report once whether ``IP:PORT`` takes connections."""
    host, _, port = address.rpartition(":")
    reactor.connectTCP(
        host, int(port), _ProbeFactory(on_result), timeout=PROBE_TIMEOUT_S
    )
