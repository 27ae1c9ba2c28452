"""Refusals state that a request did not run only if this is true."""

from logging import getLogger
from random import Random

import pytest

from magnoliaflow.common.codes import Code
from magnoliaflow.common.codes import Executed
from magnoliaflow.entry.calls import CallHandler
from magnoliaflow.entry.state import EntryState
from magnoliaflow.platform.nodefile import decode_host_settings
from magnoliaflow.transport.inbound import InboundRequest

BOOT_FILE = """nodeName=e-1
zone=z1
listenAddresses.frontend=10.0.0.1:1
listenAddresses.controlPlane=10.0.0.1:2
platform.address=10.0.0.9:3
"""


class RecordingInbound(InboundRequest):
    """A request that records its answer instead of sending it."""

    def __init__(self):
        self.method, self.target, self.body = b"POST", b"/book/x", b""
        self.headers = [(b"x-attempt-id", b"r1")]
        self.status = 0
        self.was_cut = False

    def respond(self, status, headers, body):
        self.status = status
        self.retry_after = dict(headers).get(b"Retry-After")

    def abort(self):
        self.was_cut = True


@pytest.fixture
def handler():
    """Return the handler of a request in progress."""
    state = EntryState(
        decode_host_settings(BOOT_FILE),
        identity="e-1-a",
        rng=Random(1),
        logger=getLogger("refusals"),
    )
    return CallHandler(state, RecordingInbound())


REFUSALS = [
    code
    for code in Code
    if code.executed is Executed.NO and code.http_status in (429, 503)
]


@pytest.mark.parametrize("code", REFUSALS, ids=lambda code: code.name)
def test_a_request_that_may_have_run_is_not_refused_as_not_run(handler, code):
    handler.may_have_run = True
    handler.refuse(code, 1.0)
    assert (handler.inbound.status, handler.inbound.retry_after) == (502, None)


@pytest.mark.parametrize("code", REFUSALS, ids=lambda code: code.name)
def test_a_request_that_has_not_run_is_refused_with_a_retry_delay(
    handler, code
):
    handler.refuse(code, 1.0)
    assert handler.inbound.status == code.http_status
    assert handler.inbound.retry_after == b"1.00"


def test_a_started_answer_is_cut_and_not_refused(handler):
    handler.response_started = handler.may_have_run = True
    handler.refuse(Code.PROFILES_STALE, 1.0)
    assert handler.inbound.was_cut and handler.inbound.status == 0
