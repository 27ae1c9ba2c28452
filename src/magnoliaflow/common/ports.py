"""Interfaces to the platform and to backend servers.

An adapter implements a port and registers itself by name; settings choose
the name.  Calls raise PortError, or a subclass that says more.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from typing import cast
from typing import Protocol
from typing import TypeVar

from twisted.internet.defer import Deferred

from magnoliaflow.common.errors import SettingsError
from magnoliaflow.common.messages import NewsRecord

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records read from a stream; ``end`` is the next free offset."""

    records: tuple[NewsRecord, ...]
    end: int


@dataclass(frozen=True, slots=True)
class ListedHost:
    """A host as the lagging host list shows it."""

    name: str
    zone: str
    leaving: bool


@dataclass(frozen=True, slots=True)
class ReclaimNotice:
    """A reclaim that the cloud has announced."""

    host: str
    seconds_left: float


@dataclass(frozen=True, slots=True)
class Offer:
    """What the cloud asks for a host of a class in a zone, per hour."""

    zone: str
    machine_class: str
    price: float
    reclaimable: bool


@dataclass(frozen=True, slots=True)
class StartedHost:
    """A host that carries one of our tags."""

    name: str
    tag: str
    zone: str
    machine_class: str


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an engine says of itself, with a lag."""

    engine: str
    running: int
    waiting: int
    queued_tokens: int


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A block that entered or left an engine's prefix cache."""

    number: int
    block: int
    present: bool


@dataclass(frozen=True, slots=True)
class TokenPiece:
    """Tokens of an attempt at their offset within the answer."""

    offset: int
    tokens: tuple[int, ...]
    done: bool


@dataclass(frozen=True, slots=True)
class GenerateCall:
    """What an engine needs to start or resume an attempt.

    ``import_from`` is the address of an engine that exports the attention
    state of the same request, '' if there is none.
    """

    request_id: str
    attempt_id: str
    prompt: str
    prefix: tuple[int, ...]
    max_tokens: int
    priority: int
    import_from: str = ""


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """A desired end for an engine: never a step towards it."""

    fence: int
    models: tuple[str, ...]
    role: str


@dataclass(frozen=True, slots=True)
class ServiceReply:
    """What a service answered: whether it succeeded, and its body."""

    succeeded: bool
    body: bytes


class LogPort(Protocol):
    """Append-only streams with offsets and limited retention."""

    def append(
        self, stream: str, payloads: tuple[bytes, ...]
    ) -> "Deferred[None]":
        """Append in one call; it may take effect although it fails."""

    def read(self, stream: str, first_offset: int) -> "Deferred[LogPage]":
        """Read on, waiting a while for news; may raise TrimmedError."""


class HostListPort(Protocol):
    """Lagging list of hosts."""

    def hosts(self) -> "Deferred[tuple[ListedHost, ...]]":
        """Return the hosts that are live or leaving."""


class CloudPort(Protocol):
    """Offers, starts and reclaim notices."""

    def notices(self) -> "Deferred[tuple[ReclaimNotice, ...]]":
        """Return the reclaims announced and not yet over."""

    def offers(self) -> "Deferred[tuple[Offer, ...]]":
        """Return current prices."""

    def start(self, tag: str, offer: Offer) -> "Deferred[StartedHost]":
        """Start one host; raises StartRefusedError."""

    def started(self) -> "Deferred[tuple[StartedHost, ...]]":
        """Return the hosts that carry one of our tags."""


class WeightStorePort(Protocol):
    """Rate-limited store of model weights."""

    def reserve(self, model: str) -> "Deferred[float]":
        """Return the seconds to wait before a load may start."""


class EnginePort(Protocol):
    """One model engine."""

    def generate(
        self,
        call: GenerateCall,
        on_piece: Callable[[TokenPiece], None],
    ) -> "Deferred[None]":
        """Run an attempt; fires when its stream ends."""

    def resume(
        self,
        call: GenerateCall,
        on_piece: Callable[[TokenPiece], None],
    ) -> "Deferred[None]":
        """Read a running attempt on; raises NotStartedError."""

    def cancel(self, attempt_id: str) -> "Deferred[None]":
        """Stop an attempt."""

    def report(self) -> "Deferred[LoadReport]":
        """Return the latest load report."""

    def cache_events(self, after: int) -> "Deferred[tuple[CacheEvent, ...]]":
        """Return cache events numbered above ``after``."""

    def order(self, order: EngineOrder) -> "Deferred[None]":
        """Order a desired end; may raise StaleFenceError."""

    def state(self) -> "Deferred[EngineOrder]":
        """Return what the engine does now."""


class ServicePort(Protocol):
    """One plain service."""

    def call_once(
        self, operation: str, key: str, body: bytes
    ) -> "Deferred[ServiceReply]":
        """Send a call once; NotStartedError or UnknownOutcomeError."""

    def status(self, key: str) -> "Deferred[ServiceReply | None]":
        """Return what became of a key, None if it never arrived."""


ADAPTERS: dict[tuple[str, str], Callable[..., Any]] = {}


def adapter(name: str, port: str) -> Callable[[T], T]:
    """Register a port's implementation under an adapter name."""

    def register(factory: T) -> T:
        ADAPTERS[(name, port)] = cast(Any, factory)  # type: ignore[assignment]
        return factory

    return register


def open_port(name: str, port: str, address: str) -> Any:
    """Return the port's implementation for an address.

    Raises SettingsError naming the adapters that exist.
    """
    factory = ADAPTERS.get((name, port))
    if factory is None:
        known = ", ".join(
            sorted(item for item, kind in ADAPTERS if kind == port)
        )
        raise SettingsError(
            f"platform.adapter: {name!r} has no {port}; allowed: {known}"
        )
    return factory(address)
