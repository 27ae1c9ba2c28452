"""Directory of serving hosts for callers, and readiness checks."""

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.entry.state import EntryState
from magnoliaflow.platform.headers import decode_lookup
from magnoliaflow.platform.headers import encode_addresses
from magnoliaflow.platform.headers import is_readiness
from magnoliaflow.platform.headers import json_answer_headers
from magnoliaflow.policy.addresses import choose_addresses
from magnoliaflow.policy.addresses import ServingHost
from magnoliaflow.transport.inbound import InboundRequest

# TTL of an answer: short, since callers also go on using a failed host for
# this long.
MAX_TTL_S = 1.0
# After its start a process waits this long for its peers' heartbeats before
# it answers without them.
STARTUP_WAIT_S = 1.0


def serving_addresses(state: EntryState, zone: str, now: float) -> list[str]:
    """Return the addresses for callers of a zone."""
    return choose_addresses(
        (
            ServingHost(fact.host, fact.zone, fact.caller_address)
            for fact in (*state.live_hosts(now), state.own_fact(now))
            if fact.ready
        ),
        zone,
    )


def answer_directory(state: EntryState, inbound: InboundRequest) -> None:
    """Answer a caller's lookup."""
    lookup = decode_lookup(inbound)
    if lookup is None:
        inbound.respond(404, json_answer_headers(None), b"")
        return
    now = boot_time()
    addresses = serving_addresses(state, lookup.zone, now)
    alone = state.host_count() == 1
    starting_up = alone and now - state.started_at < STARTUP_WAIT_S
    if not addresses or starting_up:
        inbound.respond(503, json_answer_headers(STARTUP_WAIT_S), b"")
        return
    ttl_s = min(MAX_TTL_S, state.host_settings.directory_ttl_s)
    inbound.respond(
        200, json_answer_headers(None), encode_addresses(addresses, ttl_s)
    )


def answer_readiness(state: EntryState, inbound: InboundRequest) -> None:
    """Answer the platform's readiness check."""
    if not is_readiness(inbound):
        inbound.respond(404, json_answer_headers(None), b"")
        return
    status = 200 if state.is_ready(boot_time()) else 503
    inbound.respond(status, json_answer_headers(None), b"")
