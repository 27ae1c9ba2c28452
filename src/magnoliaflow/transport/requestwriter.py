"""Writes the body of a request as its engine reads it."""

from typing import Any

import h11

# A body is handed to the transport in parts of this size, so that no second
# copy of a large one is made.
PART_BYTES = 64 * 1024


class RequestWriter:
    """Pull producer that writes the body and the end of a request."""

    __slots__ = ("exchange", "position")

    def __init__(self, exchange: Any) -> None:
        self.exchange = exchange
        self.position = 0

    def resumeProducing(self) -> None:
        """Write the next part once the last one is sent."""
        exchange = self.exchange
        if exchange.finished:
            return
        data = exchange.body[self.position : self.position + PART_BYTES]
        self.position += len(data)
        if self.position < len(exchange.body):
            exchange.transport.write(exchange.conn.send(h11.Data(data=data)))
            return
        exchange.transport.unregisterProducer()
        exchange.transport.write(
            exchange.conn.send(h11.Data(data=data))
            + exchange.conn.send(h11.EndOfMessage())
        )

    def stopProducing(self) -> None:
        """Do nothing: the owner of the exchange cancels it."""
