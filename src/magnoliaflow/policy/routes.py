"""Routes, services and client accounts of one configuration version."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from xxhash import xxh64_intdigest


class RouteKind(Enum):
    """Kind of a route's requests, which decides on retries."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class TrafficShare:
    """A service of a route and its weight in the traffic split."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Settings of requests under a host and path prefix.

    ``timeout_s`` is the longest time that a caller waits, ``target_s`` the
    latency target to the first byte, ``gap_target_s`` that between two
    events of a stream, 0 for none.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[TrafficShare, ...]
    timeout_s: float
    target_s: float
    priority: int
    max_engines: int
    anonymous: bool
    resumable: bool
    gap_target_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Return whether a request may be executed more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )

    def service_for(self, request_id: str) -> str:
        """Return the service of a request, drawn by weight from its id."""
        if len(self.shares) == 1:
            return self.shares[0].service
        total = sum(share.weight for share in self.shares)
        point = xxh64_intdigest(request_id.encode()) / 2.0**64 * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service


@dataclass(frozen=True, slots=True)
class Scaling:
    """Bounds of a service's engines in each zone, boot time and prices."""

    min_engines: int
    max_engines: int
    boot_s: float
    spot_price: float
    zone_prices: dict[str, float]


@dataclass(frozen=True, slots=True)
class Service:
    """A service that routes lead to; ``model`` if engines serve it."""

    name: str
    model: bool
    max_connections: int
    cache_tokens: int = 0
    scaling: Scaling | None = None
    slots: int = 0


@dataclass(frozen=True, slots=True)
class Account:
    """A client account and its usage cap; a rate of 0 means no cap.

    The cap counts tokens if ``by_tokens`` is set, else requests.  A request
    that does not state its tokens counts as ``default_tokens``.
    """

    name: str
    priority: int | None
    rate: float
    burst: float
    by_tokens: bool
    default_tokens: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of a caller's request and on its delays."""

    max_head_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(slots=True)
class RouteTable:
    """One version of the configuration, indexed for lookups."""

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    accounts: dict[str, Account] = field(default_factory=dict)
    keys: dict[str, str] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    _by_prefix: dict[tuple[str, str], Route] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._by_prefix = {
            (route.host, route.prefix): route for route in self.routes
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix.

        >>> route = Route(
        ...     "r", "h", "/a/", RouteKind.STREAM, (), 1, 1, 0, 1, True, False
        ... )
        >>> RouteTable(1, (route,)).find("h", "/a/b/c").name
        'r'
        >>> RouteTable(1, (route,)).find("h", "/ab") is None
        True
        """
        end = path.rfind("/")
        while end >= 0:
            route = self._by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def routes_to(self, service: str) -> list[Route]:
        """Return the routes that include a service."""
        return [
            route
            for route in self.routes
            if any(share.service == service for share in route.shares)
        ]
