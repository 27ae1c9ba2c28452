"""Answers to callers who ask which hosts to use, and to readiness checks."""

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.entry.state import EntryState
from magnoliaflow.platform.headers import decode_lookup
from magnoliaflow.platform.headers import encode_addresses
from magnoliaflow.platform.headers import is_readiness
from magnoliaflow.platform.headers import json_answer_headers
from magnoliaflow.transport.server import InboundRequest

# How long callers may use an answer: short, since it is also how long they
# go on to a host that died.
TTL_S = 1.0
MOST_ADDRESSES = 64
# A process that has just started waits this long for its peers' beats
# before it answers that there are none.
SETTLE_S = 1.0


def addresses(state: EntryState, now: float) -> list[str]:
    """Return the callers' addresses of the hosts that serve."""
    rows = [
        row.beat.caller_address
        for row in state.heard_hosts(now)
        if row.beat.ready
    ]
    if state.ready(now):
        rows.append(state.site.caller_address)
    if len(rows) > MOST_ADDRESSES:
        rows = state.rng.sample(rows, MOST_ADDRESSES)
    return sorted(rows)


def answer_directory(state: EntryState, inbound: InboundRequest) -> None:
    """Answer a caller's look-up."""
    if decode_lookup(inbound) is None:
        inbound.respond(404, json_answer_headers(None), b"")
        return
    now = boot_time()
    found = addresses(state, now)
    settling = not state.hosts and now - state.started_at < SETTLE_S
    if not found or settling:
        inbound.respond(503, json_answer_headers(SETTLE_S), b"")
        return
    ttl_s = min(TTL_S, state.site.directory_ttl_s)
    inbound.respond(
        200, json_answer_headers(None), encode_addresses(found, ttl_s)
    )


def answer_readiness(state: EntryState, inbound: InboundRequest) -> None:
    """Answer the platform's check."""
    if not is_readiness(inbound):
        inbound.respond(404, json_answer_headers(None), b"")
        return
    status = 200 if state.ready(boot_time()) else 503
    inbound.respond(status, json_answer_headers(None), b"")
