"""Placement by the predicted time to first token.

Designed for bursts of prompts of very different length that share prefixes
with earlier prompts, where each host sees only a part of the traffic.
"""

from magnoliaflow.policy.engines import Engine
from magnoliaflow.policy.routing import policy
from magnoliaflow.policy.routing import RoutingRequest
from magnoliaflow.policy.routing import RoutingState

# Time to first token besides prefill: a decoding step of a half-full batch and
# a round trip to another availability zone.
FIRST_DECODE_STEP_S = 0.03
# Weight of prefill time relative to the wait: prefill also delays every later
# request and evicts the blocks that they share.
PREFILL_WEIGHT = 4.0
# Share of a prompt's shared blocks that the preferred engine of its session is
# assumed to have cached when less than that is known.
PREFERRED_CACHED_SHARE = 0.9
# With a load factor (number of hosts) above SAMPLING_HOSTS, a host considers
# the preferred engine and SAMPLE_SIZE random others.  All hosts have the same
# stale loads and would otherwise send to the same engine (Mitzenmacher 2000,
# "How Useful Is Old Information?").
SAMPLING_HOSTS = 8
SAMPLE_SIZE = 2
# Delay of one token per request running in a full batch, approximately.
BATCH_SLOWDOWN_S = 0.002


def first_token_s(engine: Engine, uncached: int, now: float) -> float:
    """Return the predicted seconds to the first token at an engine."""
    ahead = engine.tokens_ahead(now) + uncached
    wait = ahead / engine.prefill_rate + FIRST_DECODE_STEP_S
    running = engine.local_running + engine.peer_running
    wait += running * BATCH_SLOWDOWN_S
    excess = running + 1 - engine.cfg.slots
    if excess > 0:
        wait += excess / engine.cfg.slots
    # A learned rate includes how slow the engine is.
    return wait if engine.learned_rate else wait * engine.slowness


def session_key(request: RoutingRequest) -> int:
    """Return the block shared by a session's requests, 0 if none."""
    if len(request.blocks) > 1:
        return request.blocks[-2]
    return request.blocks[0] if request.blocks else 0


@policy("first_token")
def first_token(
    routing: RoutingState,
    request: RoutingRequest,
    engines: list[Engine],
    now: float,
) -> Engine:
    """Return the engine with the lowest predicted time to first token.

    A session's requests go to its preferred engine unless the queue there
    is much longer than elsewhere, so that hosts send a session to the same
    engine without knowing of each other's sends.
    """
    key = session_key(request)
    preferred = routing.preferred_engine(request, key, now) if key else None
    shared = sum(request.sizes[:-1])
    if routing.load_factor > SAMPLING_HOSTS and len(engines) > SAMPLE_SIZE:
        sampled = routing.rng.sample(engines, SAMPLE_SIZE)
        engines = sampled
    if preferred is not None and preferred not in engines:
        engines = [preferred, *engines]

    def cost(engine: Engine) -> float:
        uncached = routing.uncached(engine, request)
        if engine is preferred:
            expected = request.prompt_tokens - int(
                PREFERRED_CACHED_SHARE * shared
            )
            uncached = max(1, min(uncached, expected))
        prefill_s = uncached / engine.prefill_rate
        jitter = routing.rng.random() * 1e-3
        wait = first_token_s(engine, uncached, now)
        return wait + PREFILL_WEIGHT * prefill_s + jitter

    return min(engines, key=cost)


@policy("least_busy")
def least_busy(
    routing: RoutingState,
    request: RoutingRequest,
    engines: list[Engine],
    now: float,
) -> Engine:
    """Return the engine with the lowest share of busy slots."""
    return min(
        engines,
        key=lambda engine: (
            (engine.local_running + engine.peer_running + 1)
            / engine.cfg.slots
            * engine.slowness,
            routing.rng.random(),
        ),
    )
