"""Typed records that the system keeps on the platform's log."""

from dataclasses import dataclass
from typing import Union


@dataclass(frozen=True, slots=True)
class Accept:
    """Open a submission under a key; the first valid one wins."""

    key: str
    submission: str
    owner: str
    account: str
    profile: str
    body: bytes
    written_at: float


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Announce that the owner is about to send the work, once."""

    key: str
    submission: str
    owner: str
    epoch: int
    written_at: float


@dataclass(frozen=True, slots=True)
class Takeover:
    """Claim an undispatched submission for a new owner."""

    key: str
    submission: str
    owner: str
    epoch: int
    written_at: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Void a submission that is not dispatched."""

    key: str
    submission: str
    code: int
    written_at: float


@dataclass(frozen=True, slots=True)
class Outcome:
    """State how a dispatched submission ended."""

    key: str
    submission: str
    epoch: int
    code: int
    body: bytes
    written_at: float


@dataclass(frozen=True, slots=True)
class Restate:
    """Repeat an open submission before its records leave the log.

    ``as_of`` is the last offset its writer had applied.
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
    """Tell readers without history the horizon at ``as_of``."""

    as_of: int
    horizon: float
    written_at: float


@dataclass(frozen=True, slots=True)
class ProfileChange:
    """Change one profile; void unless based on its current version.

    An empty ``spec`` withdraws the profile.
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
    """Every profile with its version, as its writer knew them."""

    entries: tuple[ProfileEntry, ...]
    as_of: int
    written_at: float


@dataclass(frozen=True, slots=True)
class LeaseClaim:
    """Take a lease; the offset of the record is its fencing number."""

    name: str
    holder: str
    replaces: int
    written_at: float


@dataclass(frozen=True, slots=True)
class LeaseRenew:
    """Prolong a lease that is still in force."""

    name: str
    holder: str
    fence: int
    written_at: float


@dataclass(frozen=True, slots=True)
class AccountCount:
    """How many requests of a client account a window began."""

    account: str
    window: int
    count: int


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Fix what is reported for a window, before it is reported."""

    fence: int
    window: int
    counts: tuple[AccountCount, ...]
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
]


@dataclass(frozen=True, slots=True)
class Record:
    """A record body under the id that settles lost append replies."""

    record_id: str
    body: RecordBody
