"""Selection of an engine for a request.

Policies examine a bounded number of candidates, so the cost of a decision
does not grow with the number of known engines.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from itertools import chain
from random import Random
from typing import Any

from xxhash import xxh64_intdigest

from magnoliaflow.common.blocks import TOKENS_PER_BLOCK
from magnoliaflow.common.errors import SettingsError
from magnoliaflow.common.settings import BackendServer
from magnoliaflow.policy.engines import Engine
from magnoliaflow.policy.engineversions import list_version
from magnoliaflow.policy.engineversions import unlist_version
from magnoliaflow.policy.hashring import HashRing
from magnoliaflow.policy.prefixes import PrefixIndex

MAX_CANDIDATES = 16
MAX_HOLDERS = 4
BOUNDED_LOAD = 1.25
SECONDS_PER_HOUR = 3600.0
RECOMPUTE_COST = 1e-6
RECLAIMS_PER_HOUR = 0.2
REUSE_TIME_S = 20.0


@dataclass(frozen=True, slots=True)
class RoutingRequest:
    """The properties of a request that routing depends on.

    ``first_token_s`` is the time left of the latency target ``target_s``;
    ``value`` is the worth of an answer that is on time.  ``sizes`` holds
    the tokens of each block if blocks differ in size.  ``sides`` are the
    versions of engines to try, in order of preference; empty for any.
    """

    request_id: str
    backend: str
    blocks: tuple[int, ...]
    prompt_tokens: int
    answer_tokens: int
    first_token_s: float
    token_gap_s: float
    target_s: float = 1.8
    value: float = 0.1
    avoid: frozenset[str] = frozenset()
    sizes: tuple[int, ...] = ()
    sides: tuple[tuple[str, ...], ...] = ()


@dataclass(frozen=True, slots=True)
class Selection:
    """A selected engine with the predicted wait and cost."""

    engine: str
    wait_s: float
    uncached_tokens: int
    cost: float


@dataclass(frozen=True, slots=True)
class CostWeights:
    """Weights of recomputation and latency in the expected cost."""

    recompute_weight: float
    latency_weight: float


class RoutingState:
    """Engines and cached prefixes as known to one gateway.

    ``load_factor`` is the estimated load of all gateways as a multiple of
    the local load; local sends are scaled by it.
    """

    __slots__ = (
        "backlog_s",
        "load_factor",
        "engines",
        "groups",
        "name",
        "prefixes",
        "ranges",
        "rings",
        "rng",
        "rotation",
        "versions",
        "weights",
    )

    def __init__(
        self, *, name: str, weights: CostWeights, rng: Random
    ) -> None:
        self.name = name
        self.weights = weights
        self.rng = rng
        self.load_factor = 1.0
        self.engines: dict[str, Engine] = {}
        self.groups: dict[str, list[str]] = {}
        # Engines by service and version.
        self.versions: dict[str, dict[str, list[str]]] = {}
        self.prefixes = PrefixIndex()
        self.ranges: dict[str, Any] = {}
        self.rings: dict[str, HashRing] = {}
        self.backlog_s = 0.0
        self.rotation = 0

    def add(self, engine: Engine) -> None:
        """Add an engine."""
        self.engines[engine.name] = engine
        group = self.groups.setdefault(engine.cfg.backend, [])
        if engine.name not in group:
            group.append(engine.name)
            list_version(self.versions, engine)
            self.rings.pop(engine.cfg.backend, None)

    def remove(self, name: str) -> None:
        """Remove an engine and what is known of its cache."""
        engine = self.engines.pop(name, None)
        if engine is None:
            return
        self.groups[engine.cfg.backend].remove(name)
        unlist_version(self.versions, engine)
        self.rings.pop(engine.cfg.backend, None)
        self.prefixes.remove_engine(name)

    def candidates(self, request: RoutingRequest, now: float) -> list[Engine]:
        """Return usable engines: prefix holders and a random sample.

        They are of the first side that has any.
        """
        if len(request.sides) > 1:
            by_side = (
                self.candidates(replace(request, sides=(side,)), now)
                for side in request.sides
            )
            return next(filter(None, by_side), [])
        group = self.groups.get(request.backend, [])
        if request.sides:
            versions = self.versions.get(request.backend, {})
            group = list(
                chain.from_iterable(
                    versions.get(version, ()) for version in request.sides[0]
                )
            )
        names: list[str] = group
        if len(group) > MAX_CANDIDATES:
            names = self.rng.sample(group, MAX_CANDIDATES - MAX_HOLDERS)
        holders = self.prefixes.holders(request.blocks, max_count=MAX_HOLDERS)
        names_to_check = dict.fromkeys(chain(holders, names))
        return [
            engine
            for name in names_to_check
            if (engine := self.engines.get(name)) is not None
            and engine.cfg.backend == request.backend
            and engine.usable(now)
            and name not in request.avoid
            and admits(request, engine)
        ]

    def preferred_engine(
        self, request: RoutingRequest, key: int, now: float
    ) -> Engine | None:
        """Return the first usable engine of a session on the hash ring."""
        ring = self.rings.get(request.backend)
        if ring is None:
            ring = HashRing(self.groups.get(request.backend, ()))
            self.rings[request.backend] = ring
        return next(
            (
                engine
                for name in ring.walk(key)
                if (engine := self.engines[name]).usable(now)
                and name not in request.avoid
                and admits(request, engine)
            ),
            None,
        )

    def uncached(self, engine: Engine, request: RoutingRequest) -> int:
        """Return the expected prompt tokens missing from the cache."""
        matched = self.prefixes.matched(engine.name, request.blocks)
        if request.sizes:
            return max(
                1, request.prompt_tokens - sum(request.sizes[: int(matched)])
            )
        return max(1, request.prompt_tokens - int(matched * TOKENS_PER_BLOCK))

    def least_uncached(self, request: RoutingRequest, now: float) -> int:
        """Return the fewest uncached prompt tokens among the candidates."""
        engines = self.candidates(request, now)
        return min(
            (self.uncached(engine, request) for engine in engines),
            default=request.prompt_tokens,
        )

    def prefill_ahead_s(self, engine: Engine) -> float:
        """Return the seconds of prefill queued at an engine."""
        unseen = engine.recent_tokens * self.load_factor
        return (engine.queued_tokens + unseen) / engine.cfg.prefill_rate

    def wait_s(self, engine: Engine, uncached: int) -> float:
        """Return the predicted time to the first token.

        Other gateways decide on the same load report, so local sends since
        that report are scaled by ``load_factor`` to include theirs.
        """
        wait = self.prefill_ahead_s(engine)
        wait += uncached / engine.cfg.prefill_rate
        excess = engine.occupied() + 1 - engine.limit
        if excess > 0:
            wait += excess / engine.limit / engine.cfg.token_rate * 100
        return wait


def admits(request: RoutingRequest, engine: Engine) -> bool:
    """Return whether an engine is of the side to try first."""
    return not request.sides or engine.cfg.version in request.sides[0]


Policy = Callable[[RoutingState, RoutingRequest, list[Engine], float], Engine]
POLICIES: dict[str, Policy] = {}


def policy(name: str) -> Callable[[Policy], Policy]:
    """Register a routing policy under its name in the settings."""

    def register(function: Policy) -> Policy:
        POLICIES[name] = function
        return function

    return register


def find_policy(name: str) -> Policy:
    """Return a policy; raise SettingsError if the name is unknown."""
    if name not in POLICIES:
        raise SettingsError(
            f"limits.policy: {name!r} is unknown; "
            f"allowed: {', '.join(sorted(POLICIES))}"
        )
    return POLICIES[name]


def choose(
    routing: RoutingState,
    request: RoutingRequest,
    function: Policy,
    now: float,
) -> Selection | None:
    """Return the policy's selection, None if no engine is usable."""
    engines = routing.candidates(request, now)
    if not engines:
        return None
    if request.sides:
        version = engines[0].cfg.version
        side = next(side for side in request.sides if version in side)
        request = replace(request, sides=(side,))
    engine = function(routing, request, engines, now)
    uncached = routing.uncached(engine, request)
    return Selection(
        engine.name,
        routing.wait_s(engine, uncached),
        uncached,
        work_cost(engine.cfg, uncached, request.answer_tokens),
    )


def work_cost(cfg: BackendServer, uncached: int, answer_tokens: int) -> float:
    """Return the price of the engine time that a request takes."""
    prefill_s = uncached / cfg.prefill_rate
    decode_s = answer_tokens / cfg.token_rate / cfg.slots
    return cfg.price / SECONDS_PER_HOUR * (prefill_s + decode_s)


@policy("round_robin")
def round_robin(
    routing: RoutingState,
    request: RoutingRequest,
    engines: list[Engine],
    now: float,
) -> Engine:
    """Return the candidates in rotation."""
    routing.rotation += 1
    return engines[routing.rotation % len(engines)]


@policy("least_loaded")
def least_loaded(
    routing: RoutingState,
    request: RoutingRequest,
    engines: list[Engine],
    now: float,
) -> Engine:
    """Return the engine with the fewest requests per slot."""
    return min(
        engines, key=lambda engine: engine.occupied() / engine.cfg.slots
    )


@policy("rendezvous")
def rendezvous(
    routing: RoutingState,
    request: RoutingRequest,
    engines: list[Engine],
    now: float,
) -> Engine:
    """Return the engine of highest hash whose load is within the bound.

    Rendezvous hashing of prefix and engine (Thaler and Ravishankar 1998)
    with bounded loads (Mirrokni, Thorup and Zadimoghaddam 2018).
    """
    key = (
        request.blocks[min(3, len(request.blocks) - 1)]
        if request.blocks
        else 0
    )
    seed = key or xxh64_intdigest(request.request_id.encode())
    total = sum(engine.occupied() for engine in engines) + 1
    slots = sum(engine.cfg.slots for engine in engines)
    ranked = sorted(
        engines,
        key=lambda engine: xxh64_intdigest(engine.name.encode(), seed=seed),
        reverse=True,
    )
    for engine in ranked:
        bound = BOUNDED_LOAD * total * engine.cfg.slots / slots
        if engine.occupied() < bound:
            return engine
    return ranked[0]


@policy("expected_cost")
def expected_cost(
    routing: RoutingState,
    request: RoutingRequest,
    engines: list[Engine],
    now: float,
) -> Engine:
    """Return the engine with the lowest expected cost.

    The cost is the sum of

    - the price of the engine time;
    - the recomputation of uncached tokens, and of the blocks that they
      evict;
    - the tokens lost if the engine is reclaimed, times that risk;
    - the wait, weighted by ``latency_weight``;
    - the value of the answer if it would be late;
    - the value of the answers that the prefill displaces under congestion.
    """
    estimates = []
    for engine in engines:
        uncached = routing.uncached(engine, request)
        estimates.append((engine, uncached, routing.wait_s(engine, uncached)))
    shortest = min(wait for _, _, wait in estimates)
    congestion = min(1.0, (shortest + routing.backlog_s) / request.target_s)
    return min(
        estimates,
        key=lambda estimate: _expected_cost(
            routing, request, congestion, *estimate
        ),
    )[0]


def _expected_cost(
    routing: RoutingState,
    request: RoutingRequest,
    congestion: float,
    engine: Engine,
    uncached: int,
    wait: float,
) -> float:
    """Return the expected cost of sending a request to an engine."""
    cfg = engine.cfg
    unit = routing.weights.recompute_weight * RECOMPUTE_COST
    age = routing.prefixes.evicted_age(engine.name)
    reuse = REUSE_TIME_S / (REUSE_TIME_S + age)
    at_stake = request.prompt_tokens + request.answer_tokens
    answer_s = request.answer_tokens / cfg.token_rate
    hours = answer_s / SECONDS_PER_HOUR
    risk = RECLAIMS_PER_HOUR * hours if cfg.reclaimable else 0.0
    late = 1.0 if wait > request.first_token_s else 0.0
    displaced = uncached / cfg.prefill_rate * engine.limit / answer_s
    return (
        work_cost(cfg, uncached, request.answer_tokens)
        + unit * (uncached * (1.0 + reuse) + risk * at_stake)
        + routing.weights.latency_weight * 1e-3 * wait
        + request.value * (late + congestion * displaced)
    )
