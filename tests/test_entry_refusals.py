"""A refusal that says "not run" is true, whatever led to it."""

from logging import getLogger
from random import Random

import pytest

from magnoliaflow.common.codes import Code
from magnoliaflow.common.codes import Executed
from magnoliaflow.entry.calls import CallHandler
from magnoliaflow.entry.state import EntryState
from magnoliaflow.platform.nodefile import decode_host_settings
from magnoliaflow.transport.server import InboundRequest

BOOT = """nodeName=e-1
zone=z1
listenAddresses.frontend=10.0.0.1:1
listenAddresses.controlPlane=10.0.0.1:2
platform.address=10.0.0.9:3
"""


class Caller(InboundRequest):
    """A request whose answer is kept instead of sent."""

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
def run():
    """Return a request in progress."""
    state = EntryState(
        decode_host_settings(BOOT),
        identity="e-1-a",
        rng=Random(1),
        logger=getLogger("refusals"),
    )
    return CallHandler(state, Caller())


REFUSALS = [
    code
    for code in Code
    if code.executed is Executed.NO and code.http_status in (429, 503)
]


@pytest.mark.parametrize("code", REFUSALS, ids=lambda code: code.name)
def test_what_may_have_run_is_never_said_not_to_have(run, code):
    run.may_have_run = True
    run.refuse(code, 1.0)
    assert (run.inbound.status, run.inbound.retry_after) == (502, None)


@pytest.mark.parametrize("code", REFUSALS, ids=lambda code: code.name)
def test_what_has_not_run_is_told_when_to_come_back(run, code):
    run.refuse(code, 1.0)
    assert run.inbound.status == code.http_status
    assert run.inbound.retry_after == b"1.00"


def test_an_answer_that_has_begun_is_cut_not_refused(run):
    run.response_started = run.may_have_run = True
    run.refuse(Code.PROFILES_STALE, 1.0)
    assert run.inbound.was_cut and run.inbound.status == 0
