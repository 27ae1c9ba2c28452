"""Site whose requests may not send more than a limit."""

from typing import Any

from twisted.web.server import Request
from twisted.web.server import Site

TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 413 Content Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class BoundedRequest(Request):
    """A request that is refused once its body exceeds the site's limit."""

    received_bytes = 0

    def handleContentChunk(self, data: bytes) -> None:
        """Keep a part of the body, or close the connection."""
        self.received_bytes += len(data)
        channel: Any = self.channel
        if self.received_bytes <= channel.site.max_body_bytes:
            super().handleContentChunk(data)
        elif not channel.transport.disconnecting:
            channel.transport.write(TOO_LARGE_RESPONSE)
            channel.loseConnection()


class BoundedSite(Site):
    """A site with a limit on the bytes of each body."""

    def __init__(self, resource: Any, max_body_bytes: int) -> None:
        super().__init__(resource, requestFactory=BoundedRequest)
        self.max_body_bytes = max_body_bytes
