"""Placement by the predicted first token, for bursts of long prompts.

The load it answers: prompts of very different length arrive in clumps at
hosts that each see a part of the traffic, and most prompts share parts with
earlier ones.
"""

from magnoliaflow.policy.engines import Engine
from magnoliaflow.policy.routing import policy
from magnoliaflow.policy.routing import RoutingRequest
from magnoliaflow.policy.routing import RoutingState

# Time of a first token beside its prompt, in seconds: a decoding step of a
# half-full batch and the round trip to another availability zone.
FIRST_DECODE_STEP_S = 0.03
# How far a prompt that is read again counts beside the wait: the same
# prefill delays all who come after, and puts out what they share.
PREFILL_WEIGHT = 4.0
# Share of a prompt's shared parts that the home of its session is taken to
# hold where nothing is known.
PREFERRED_CACHED_SHARE = 0.9
# Among more hosts than this a host looks at the engine of the session and at
# this many others drawn at random: all hosts know the same old loads, and
# would send to the same engine (Mitzenmacher 2000, how useful is old
# information).
SAMPLING_HOSTS = 8
SAMPLE_SIZE = 2
# Requests in a full batch slow each other down by about this much a token.
BATCH_SLOWDOWN_S = 0.002


def first_token_s(engine: Engine, uncached: int, now: float) -> float:
    """Return the predicted time to the first token at an engine."""
    ahead = engine.unread_tokens + engine.peer_unread_tokens(now) + uncached
    wait = ahead / engine.cfg.prefill_rate + FIRST_DECODE_STEP_S
    running = engine.own_running + engine.peer_running
    wait += running * BATCH_SLOWDOWN_S
    over = running + 1 - engine.cfg.slots
    if over > 0:
        wait += over / engine.cfg.slots
    return wait * engine.slowness


def session_key(request: RoutingRequest) -> int:
    """Return what requests of one session have in common, 0 if nothing."""
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
    """Return the engine whose first token is expected first.

    Requests of one session go to the engine to which the session hashes
    while its queue is not much longer than that of the others, so that
    hosts which know nothing of each other's sends agree.
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
        prefill_s = uncached / engine.cfg.prefill_rate
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
    """Return the engine with most free places, for short plain calls."""
    return min(
        engines,
        key=lambda engine: (
            (engine.own_running + engine.peer_running + 1)
            / engine.cfg.slots
            * engine.slowness,
            routing.rng.random(),
        ),
    )
