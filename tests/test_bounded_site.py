"""Gateways close a connection that sends a body over the limit."""

import pytest
from twisted.internet.testing import StringTransport
from twisted.web.resource import Resource

from magnoliaflow.ingress.boundedsite import BoundedSite

CHUNK = b"8\r\nxxxxxxxx\r\n"


class Echo(Resource):
    """Answers with the length of the body."""

    isLeaf = True

    def render_POST(self, request):
        """Return the length."""
        return b"%d" % len(request.content.read())


@pytest.mark.parametrize("count, status", [(4, b" 200 OK"), (50, b" 413 ")])
def test_a_body_over_the_limit_is_refused_before_its_end(count, status):
    channel = BoundedSite(Echo(), 100).buildProtocol(None)
    transport = StringTransport()
    channel.makeConnection(transport)
    channel.dataReceived(
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    for _ in range(count):
        channel.dataReceived(CHUNK)
    if count == 4:
        channel.dataReceived(b"0\r\n\r\n")
    assert transport.value().count(status) == 1
    assert transport.disconnecting is (count == 50)
    channel.connectionLost(None)
