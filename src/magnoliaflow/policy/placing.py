"""Placement by the predicted first token, for bursts of long prompts.

The load it answers: prompts of very different length arrive in clumps at
hosts that each see a part of the traffic, and most prompts share parts with
earlier ones.
"""

from magnoliaflow.policy.engines import Engine
from magnoliaflow.policy.routing import Need
from magnoliaflow.policy.routing import policy
from magnoliaflow.policy.routing import RoutingView

# Time of a first token beside its prompt, in seconds: a decoding step of a
# half-full batch and the round trip to another availability zone.
FIRST_STEP_S = 0.03
# How far a prompt that is read again counts beside the wait: the same
# prefill delays all who come after, and puts out what they share.
REREAD_WEIGHT = 4.0
# Share of a prompt's shared parts that the home of its session is taken to
# hold where nothing is known.
HOME_TRUST = 0.9
# Among more hosts than this a host looks at the engine of the session and at
# this many others drawn at random: all hosts know the same old loads, and
# would send to the same engine (Mitzenmacher 2000, how useful is old
# information).
CROWD_HOSTS = 8
DRAWN = 2
# Requests in a full batch slow each other down by about this much a token.
BATCH_SLOWDOWN_S = 0.002


def first_token_s(engine: Engine, uncached: int, now: float) -> float:
    """Return the predicted time to the first token at an engine."""
    ahead = engine.unread_tokens + engine.peer_unread(now) + uncached
    wait = ahead / engine.cfg.prefill_rate + FIRST_STEP_S
    running = engine.own_running + engine.peer_running
    wait += running * BATCH_SLOWDOWN_S
    over = running + 1 - engine.cfg.slots
    if over > 0:
        wait += over / engine.cfg.slots
    return wait * engine.slowness


def session_key(need: Need) -> int:
    """Return what requests of one session have in common, 0 if nothing."""
    if len(need.blocks) > 1:
        return need.blocks[-2]
    return need.blocks[0] if need.blocks else 0


@policy("first_token")
def first_token(
    view: RoutingView, need: Need, engines: list[Engine], now: float
) -> Engine:
    """Return the engine whose first token is expected first.

    Requests of one session go to the engine to which the session hashes
    while its queue is not much longer than that of the others, so that
    hosts which know nothing of each other's sends agree.
    """
    key = session_key(need)
    home = view.home(need, key, now) if key else None
    shared = sum(need.sizes[:-1])
    if view.crowd > CROWD_HOSTS and len(engines) > DRAWN:
        drawn = view.rng.sample(engines, DRAWN)
        engines = drawn
    if home is not None and home not in engines:
        engines = [home, *engines]

    def cost(engine: Engine) -> float:
        uncached = view.uncached(engine, need)
        if engine is home:
            hoped = need.prompt_tokens - int(HOME_TRUST * shared)
            uncached = max(1, min(uncached, hoped))
        again = uncached / engine.cfg.prefill_rate
        jitter = view.rng.random() * 1e-3
        wait = first_token_s(engine, uncached, now)
        return wait + REREAD_WEIGHT * again + jitter

    return min(engines, key=cost)


@policy("least_busy")
def least_busy(
    view: RoutingView, need: Need, engines: list[Engine], now: float
) -> Engine:
    """Return the engine with most free places, for short plain calls."""
    return min(
        engines,
        key=lambda row: (
            (row.own_running + row.peer_running + 1)
            / row.cfg.slots
            * row.slowness,
            view.rng.random(),
        ),
    )
