"""HTTP server for callers: its limits and its connections."""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory

from magnoliaflow.policy.callermemory import caller_connections
from magnoliaflow.transport.connection import ServerConnection
from magnoliaflow.transport.connections import OpenConnections
from magnoliaflow.transport.inbound import InboundRequest
from magnoliaflow.transport.limits import ServerLimits
from magnoliaflow.transport.memory import BufferBudget

# Bodies that a server without a budget of its own may buffer.
MAX_BUFFERED_BYTES = 16 * 1024 * 1024

Handler = Callable[[InboundRequest], None]


class ServerFactory(Factory):
    """Factory for the connections of callers.

    ``name_account`` returns the account of a request, '' if it names none.
    """

    noisy = False

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        *,
        on_rejected: Callable[[int], None] = lambda status: None,
        buffers: BufferBudget | None = None,
        max_connections: int = 0,
        name_account: Callable[[InboundRequest], str] = lambda inbound: "",
        on_crowded: Callable[[str], None] = lambda address: None,
    ) -> None:
        self.buffers = buffers or BufferBudget(MAX_BUFFERED_BYTES)
        self.handler = handler
        self.limits = limits
        self.on_rejected = on_rejected
        self.name_account = name_account
        self.draining = False
        self.connections: set[ServerConnection] = set()
        self.open = OpenConnections(
            max_connections or caller_connections(0), on_crowded
        )

    def buildProtocol(self, addr: Any) -> ServerConnection:
        """Return the protocol of a new connection."""
        return ServerConnection(self)

    def drain(self) -> None:
        """From now on, close each connection after its answer."""
        self.draining = True
