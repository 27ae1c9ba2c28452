"""Interfaces to the platform and to backend servers.

An adapter implements a port and registers itself under a name, which the
settings select.  Calls raise PortError or a subclass of it.
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
    """Records read from a stream; ``end`` is the next free offset.

    ``era`` rises each time the log loses records that it had acknowledged,
    and is 0 until then.
    """

    records: tuple[NewsRecord, ...]
    end: int
    era: int = 0


@dataclass(frozen=True, slots=True)
class ListedHost:
    """A host in the host list, which lags behind the cloud."""

    name: str
    zone: str
    leaving: bool


@dataclass(frozen=True, slots=True)
class ReclaimNotice:
    """A host reclaim that the cloud has announced."""

    host: str
    seconds_left: float


@dataclass(frozen=True, slots=True)
class Offer:
    """Hourly price of a host of a machine class in a zone."""

    zone: str
    machine_class: str
    price: float
    reclaimable: bool


@dataclass(frozen=True, slots=True)
class StartedHost:
    """A host that was started with a tag."""

    name: str
    tag: str
    zone: str
    machine_class: str


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's load as it reports it, with a lag."""

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
    """Tokens of an attempt at an offset within the answer."""

    offset: int
    tokens: tuple[int, ...]
    done: bool


@dataclass(frozen=True, slots=True)
class GenerateCall:
    """Arguments to start or resume an attempt at an engine.

    ``import_from`` is the address of an engine that exports the KV cache
    of the same request, '' if there is none.
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
    """Desired state of an engine, so that repeating an order is safe."""

    fence: int
    models: tuple[str, ...]
    role: str


@dataclass(frozen=True, slots=True)
class ServiceReply:
    """Answer of a service to a call."""

    succeeded: bool
    body: bytes


class LogPort(Protocol):
    """Append-only streams with offsets and limited retention."""

    def append(
        self, stream: str, payloads: tuple[bytes, ...]
    ) -> "Deferred[None]":
        """Append records in one call; a failed call may take effect."""

    def read(
        self, stream: str, first_offset: int, era: int = 0
    ) -> "Deferred[LogPage]":
        """Read from an offset on, with a long poll.

        Raises RestoredError if the log has gone back since ``era``, in which
        the offset was taken, and TrimmedError if the offset was trimmed.
        """


class HostListPort(Protocol):
    """List of hosts, which lags behind the cloud."""

    def hosts(self) -> "Deferred[tuple[ListedHost, ...]]":
        """Return the hosts that are live or leaving."""


class CloudPort(Protocol):
    """Host offers, host starts and reclaim notices."""

    def notices(self) -> "Deferred[tuple[ReclaimNotice, ...]]":
        """Return the announced reclaims that are not over."""

    def offers(self) -> "Deferred[tuple[Offer, ...]]":
        """Return current prices."""

    def start(self, tag: str, offer: Offer) -> "Deferred[StartedHost]":
        """Start one host; raises StartRefusedError if it is refused."""

    def started(self) -> "Deferred[tuple[StartedHost, ...]]":
        """Return the hosts that were started with a tag."""


class WeightStorePort(Protocol):
    """Rate-limited store of model weights."""

    def reserve(self, model: str) -> "Deferred[float]":
        """Reserve a load; return the seconds until it may start."""


class EnginePort(Protocol):
    """One model engine."""

    def generate(
        self,
        call: GenerateCall,
        on_piece: Callable[[TokenPiece], None],
    ) -> "Deferred[None]":
        """Start an attempt; fires when its stream ends."""

    def resume(
        self,
        call: GenerateCall,
        on_piece: Callable[[TokenPiece], None],
    ) -> "Deferred[None]":
        """Continue to read a running attempt.

        Raises NotStartedError if the engine does not know it.
        """

    def cancel(self, attempt_id: str) -> "Deferred[None]":
        """Stop an attempt."""

    def report(self) -> "Deferred[LoadReport]":
        """Return the latest load report."""

    def cache_events(self, after: int) -> "Deferred[tuple[CacheEvent, ...]]":
        """Return the cache events with a number above ``after``."""

    def order(self, order: EngineOrder) -> "Deferred[None]":
        """Order a desired state.

        Raises StaleFenceError if the engine has seen a newer fence.
        """

    def state(self) -> "Deferred[EngineOrder]":
        """Return the current state of the engine."""


class ServicePort(Protocol):
    """One plain service."""

    def call_once(
        self, operation: str, key: str, body: bytes
    ) -> "Deferred[ServiceReply]":
        """Send a call once.

        Raises NotStartedError if it did not run, UnknownOutcomeError if it
        may have run.
        """

    def status(self, key: str) -> "Deferred[ServiceReply | None]":
        """Return the reply to the call under a key, None if unknown."""


ADAPTERS: dict[tuple[str, str], Callable[..., Any]] = {}


def adapter(name: str, port: str) -> Callable[[T], T]:
    """Register a port's implementation under an adapter name."""

    def register(factory: T) -> T:
        ADAPTERS[(name, port)] = cast(Any, factory)  # type: ignore[assignment]
        return factory

    return register


def open_port(name: str, port: str, address: str) -> Any:
    """Return the port's implementation for an address.

    Raises SettingsError listing the adapters of the port.
    """
    factory = ADAPTERS.get((name, port))
    if factory is None:
        known = ", ".join(
            sorted(
                adapter_name for adapter_name, kind in ADAPTERS if kind == port
            )
        )
        raise SettingsError(
            f"platform.adapter: {name!r} has no port {port}; allowed: {known}"
        )
    return factory(address)
