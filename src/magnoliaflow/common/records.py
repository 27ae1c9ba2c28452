"""Typed records stored on the platform's log."""

from dataclasses import dataclass
from typing import Union


@dataclass(frozen=True, slots=True)
class Accept:
    """Open a submission under an idempotency key; the first valid one wins."""

    key: str
    submission: str
    owner: str
    account: str
    profile: str
    body: bytes
    written_at: float


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Record that the owner is about to send the work, at most once."""

    key: str
    submission: str
    owner: str
    epoch: int
    written_at: float


@dataclass(frozen=True, slots=True)
class Takeover:
    """Make another process the owner of an undispatched submission."""

    key: str
    submission: str
    owner: str
    epoch: int
    written_at: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Reject a submission that was not dispatched."""

    key: str
    submission: str
    code: int
    written_at: float


@dataclass(frozen=True, slots=True)
class Outcome:
    """Record the result of a dispatched submission."""

    key: str
    submission: str
    epoch: int
    code: int
    body: bytes
    written_at: float


@dataclass(frozen=True, slots=True)
class Restate:
    """Repeat an open submission before its records are trimmed.

    ``as_of`` is the last offset that the writer had applied.
    """

    key: str
    submission: str
    owner: str
    epoch: int
    dispatched: bool
    account: str
    profile: str
    body: bytes
    as_of: int
    written_at: float


@dataclass(frozen=True, slots=True)
class Mark:
    """Give readers that lack earlier records the horizon at ``as_of``.

    The horizon is the time on the log that key expiry is counted from.
    """

    as_of: int
    horizon: float
    written_at: float


@dataclass(frozen=True, slots=True)
class ProfileChange:
    """Change one profile; invalid unless based on its current version.

    An empty ``spec`` removes the profile.
    """

    change_id: str
    name: str
    base_version: int
    spec: str
    operator: str
    written_at: float


@dataclass(frozen=True, slots=True)
class ProfileEntry:
    """One profile within a snapshot."""

    name: str
    version: int
    spec: str
    change_id: str


@dataclass(frozen=True, slots=True)
class ProfileSnapshot:
    """Every profile with its version, as of the offset ``as_of``."""

    entries: tuple[ProfileEntry, ...]
    as_of: int
    written_at: float


@dataclass(frozen=True, slots=True)
class LeaseClaim:
    """Acquire a lease; the position of the record is the fencing token.

    ``era`` is that of the store as its writer knew it, ``generation`` the
    upper part of the position; both are -1 from builds that do not know of
    eras.
    """

    name: str
    holder: str
    replaces: int
    written_at: float
    era: int = -1
    generation: int = -1


@dataclass(frozen=True, slots=True)
class LeaseRenew:
    """Renew a lease that has not been replaced.

    ``era`` and ``generation`` are as in LeaseClaim.
    """

    name: str
    holder: str
    fence: int
    written_at: float
    era: int = -1
    generation: int = -1


@dataclass(frozen=True, slots=True)
class AccountCount:
    """Number of requests that a client account started in a window."""

    account: str
    window: int
    count: int


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Record the usage of a window before it is reported."""

    fence: int
    window: int
    counts: tuple[AccountCount, ...]
    written_at: float


@dataclass(frozen=True, slots=True)
class RolloutStep:
    """A decision of a roll-out; stage 0 is an order without one.

    ``order`` is the position of the order.  ``routes`` and ``shares`` are
    columns: the share of a route's requests that go to the target version.
    ``elapsed`` is in seconds since the order.
    """

    fence: int
    backend: str
    target: str
    order: int
    number: int
    stage: int
    routes: tuple[str, ...]
    shares: tuple[float, ...]
    elapsed: float
    reason: str
    written_at: float


RecordBody = Union[
    Accept,
    Dispatch,
    Takeover,
    Refuse,
    Outcome,
    Restate,
    Mark,
    ProfileChange,
    ProfileSnapshot,
    LeaseClaim,
    LeaseRenew,
    UsageReport,
    RolloutStep,
]


@dataclass(frozen=True, slots=True)
class Record:
    """A record body with its id.

    A writer whose append got no reply finds the record by the id when it
    reads the log.
    """

    record_id: str
    body: RecordBody
