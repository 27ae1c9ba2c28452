"""Choice of an engine for a request.

A policy looks at a bounded number of candidates, so that a decision costs
the same however many engines are known.
"""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import chain
from random import Random
from typing import Any

from xxhash import xxh64_intdigest

from magnoliaflow.common.blocks import TOKENS_PER_BLOCK
from magnoliaflow.common.errors import SettingsError
from magnoliaflow.common.settings import BackendServer
from magnoliaflow.policy.engines import Engine
from magnoliaflow.policy.homes import HomeRing
from magnoliaflow.policy.prefixes import PrefixIndex

CANDIDATES = 16
HOLDERS = 4
BOUNDED_LOAD = 1.25
SECONDS_PER_HOUR = 3600.0
RECOMPUTE_UNIT = 1e-6
RECLAIMS_PER_HOUR = 0.2
REUSE_S = 20.0


@dataclass(frozen=True, slots=True)
class Need:
    """What a request asks of an engine.

    ``first_token_s`` is what is left of the latency target ``target_s``;
    ``value`` is what an answer in time may cost.  ``sizes`` are the tokens
    of each block where blocks differ in size.
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


@dataclass(frozen=True, slots=True)
class Pick:
    """An engine chosen, with what the policy expects of it."""

    engine: str
    wait_s: float
    uncached_tokens: int
    cost: float


@dataclass(frozen=True, slots=True)
class Weights:
    """What a deployment holds most against a choice."""

    recompute_weight: float
    latency_weight: float


class RoutingView:
    """Engines and prefix knowledge of one gateway.

    ``crowd`` is the load of all gateways in shares of this one's: what is
    seen of own sends stands for that many times as much.
    """

    __slots__ = (
        "backlog_s",
        "crowd",
        "engines",
        "groups",
        "name",
        "prefixes",
        "ranges",
        "rings",
        "rng",
        "turn",
        "weights",
    )

    def __init__(self, *, name: str, weights: Weights, rng: Random) -> None:
        self.name = name
        self.weights = weights
        self.rng = rng
        self.crowd = 1.0
        self.engines: dict[str, Engine] = {}
        self.groups: dict[str, list[str]] = {}
        self.prefixes = PrefixIndex()
        self.ranges: dict[str, Any] = {}
        self.rings: dict[str, HomeRing] = {}
        self.backlog_s = 0.0
        self.turn = 0

    def add(self, engine: Engine) -> None:
        """Make an engine known."""
        self.engines[engine.name] = engine
        group = self.groups.setdefault(engine.cfg.backend, [])
        if engine.name not in group:
            group.append(engine.name)
            self.rings.pop(engine.cfg.backend, None)

    def remove(self, name: str) -> None:
        """Forget an engine."""
        engine = self.engines.pop(name, None)
        if engine is None:
            return
        self.groups[engine.cfg.backend].remove(name)
        self.rings.pop(engine.cfg.backend, None)
        self.prefixes.forget(name)

    def candidates(self, need: Need, now: float) -> list[Engine]:
        """Return usable engines worth a look, a bounded number."""
        group = self.groups.get(need.backend, [])
        names: list[str] = group
        if len(group) > CANDIDATES:
            names = self.rng.sample(group, CANDIDATES - HOLDERS)
        held = self.prefixes.holders(need.blocks, most=HOLDERS)
        wanted = dict.fromkeys(chain(held, names))
        return [
            engine
            for name in wanted
            if (engine := self.engines.get(name)) is not None
            and engine.cfg.backend == need.backend
            and engine.usable(now)
            and name not in need.avoid
        ]

    def home(self, need: Need, key: int, now: float) -> Engine | None:
        """Return the usable engine at which a session is at home."""
        ring = self.rings.get(need.backend)
        if ring is None:
            ring = HomeRing(self.groups.get(need.backend, ()))
            self.rings[need.backend] = ring
        return next(
            (
                engine
                for name in ring.walk(key)
                if (engine := self.engines[name]).usable(now)
                and name not in need.avoid
            ),
            None,
        )

    def uncached(self, engine: Engine, need: Need) -> int:
        """Return the prompt tokens the engine would compute."""
        matched = self.prefixes.matched(engine.name, need.blocks)
        if need.sizes:
            return max(1, need.prompt_tokens - sum(need.sizes[: int(matched)]))
        return max(1, need.prompt_tokens - int(matched * TOKENS_PER_BLOCK))

    def least_uncached(self, need: Need, now: float) -> int:
        """Return the prompt tokens to compute at the best holder."""
        engines = self.candidates(need, now)
        return min(
            (self.uncached(engine, need) for engine in engines),
            default=need.prompt_tokens,
        )

    def prefill_ahead_s(self, engine: Engine) -> float:
        """Return the prefill an engine has to do before new work."""
        unseen = engine.recent_tokens * self.crowd
        return (engine.queued_tokens + unseen) / engine.cfg.prefill_rate

    def wait_s(self, engine: Engine, uncached: int) -> float:
        """Return the predicted time to the first token.

        Own sends since the report stand for those of the other gateways
        too, which decide on the same report.
        """
        wait = self.prefill_ahead_s(engine)
        wait += uncached / engine.cfg.prefill_rate
        over = engine.occupied() + 1 - engine.limit
        if over > 0:
            wait += over / engine.limit / engine.cfg.token_rate * 100
        return wait


Policy = Callable[[RoutingView, Need, list[Engine], float], Engine]
POLICIES: dict[str, Policy] = {}


def policy(name: str) -> Callable[[Policy], Policy]:
    """Register a routing policy under the name settings use."""

    def register(function: Policy) -> Policy:
        POLICIES[name] = function
        return function

    return register


def find_policy(name: str) -> Policy:
    """Return a policy; raises SettingsError naming those that exist."""
    if name not in POLICIES:
        raise SettingsError(
            f"limits.policy: {name!r} is unknown; "
            f"allowed: {', '.join(sorted(POLICIES))}"
        )
    return POLICIES[name]


def choose(
    view: RoutingView, need: Need, function: Policy, now: float
) -> Pick | None:
    """Return the policy's choice, None when no engine is usable."""
    engines = view.candidates(need, now)
    if not engines:
        return None
    engine = function(view, need, engines, now)
    uncached = view.uncached(engine, need)
    return Pick(
        engine.name,
        view.wait_s(engine, uncached),
        uncached,
        work_cost(engine.cfg, uncached, need.answer_tokens),
    )


def work_cost(cfg: BackendServer, uncached: int, answer_tokens: int) -> float:
    """Return the price of the engine time that a request takes."""
    prefill_s = uncached / cfg.prefill_rate
    decode_s = answer_tokens / cfg.token_rate / cfg.slots
    return cfg.price / SECONDS_PER_HOUR * (prefill_s + decode_s)


@policy("round_robin")
def round_robin(
    view: RoutingView, need: Need, engines: list[Engine], now: float
) -> Engine:
    """Return each engine in turn."""
    view.turn += 1
    return engines[view.turn % len(engines)]


@policy("least_loaded")
def least_loaded(
    view: RoutingView, need: Need, engines: list[Engine], now: float
) -> Engine:
    """Return the engine with the fewest requests for its slots."""
    return min(engines, key=lambda item: item.occupied() / item.cfg.slots)


@policy("rendezvous")
def rendezvous(
    view: RoutingView, need: Need, engines: list[Engine], now: float
) -> Engine:
    """Return the highest hash of prefix and engine below bounded load.

    Rendezvous hashing after Thaler and Ravishankar (1998), with the load
    bound of Mirrokni, Thorup and Zadimoghaddam (2018).
    """
    key = need.blocks[min(3, len(need.blocks) - 1)] if need.blocks else 0
    seed = key or xxh64_intdigest(need.request_id.encode())
    total = sum(item.occupied() for item in engines) + 1
    slots = sum(item.cfg.slots for item in engines)
    ranked = sorted(
        engines,
        key=lambda item: xxh64_intdigest(item.name.encode(), seed=seed),
        reverse=True,
    )
    for engine in ranked:
        bound = BOUNDED_LOAD * total * engine.cfg.slots / slots
        if engine.occupied() < bound:
            return engine
    return ranked[0]


@policy("expected_cost")
def expected_cost(
    view: RoutingView, need: Need, engines: list[Engine], now: float
) -> Engine:
    """Return the engine of least expected cost.

    The cost is the price of the engine's time, recomputation here and of
    what is evicted for it, the tokens at stake times the risk of a
    reclaim, the value of the answer if it would be late, and of the
    answers that its prefill displaces while there is a queue.
    """
    rows = []
    for engine in engines:
        uncached = view.uncached(engine, need)
        rows.append((engine, uncached, view.wait_s(engine, uncached)))
    shortest = min(wait for _, _, wait in rows)
    crowding = min(1.0, (shortest + view.backlog_s) / need.target_s)
    return min(rows, key=lambda row: _expected(view, need, crowding, *row))[0]


def _expected(
    view: RoutingView,
    need: Need,
    crowding: float,
    engine: Engine,
    uncached: int,
    wait: float,
) -> float:
    """Return the expected cost of a choice."""
    cfg = engine.cfg
    unit = view.weights.recompute_weight * RECOMPUTE_UNIT
    age = view.prefixes.evicted_age(engine.name)
    reuse = REUSE_S / (REUSE_S + age)
    at_stake = need.prompt_tokens + need.answer_tokens
    answer_s = need.answer_tokens / cfg.token_rate
    hours = answer_s / SECONDS_PER_HOUR
    risk = RECLAIMS_PER_HOUR * hours if cfg.reclaimable else 0.0
    late = 1.0 if wait > need.first_token_s else 0.0
    displaced = uncached / cfg.prefill_rate * engine.limit / answer_s
    return (
        work_cost(cfg, uncached, need.answer_tokens)
        + unit * (uncached * (1.0 + reuse) + risk * at_stake)
        + view.weights.latency_weight * 1e-3 * wait
        + need.value * (late + crowding * displaced)
    )
