"""Accepted idempotent requests and the attempts to serve them."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from magnoliaflow.cluster.profiles import Profile
from magnoliaflow.common.codes import Code
from magnoliaflow.common.messages import Parting


class Role(Enum):
    """The role of the local process for a request."""

    OWNER = "owner"
    STANDBY = "standby"
    MOVED = "moved"


@dataclass(slots=True)
class Request:
    """An accepted idempotent request, or the standby's replica of one.

    ``epoch`` and ``owner`` identify the branch of the answer.  ``released``
    is the number of tokens that the caller may read, ``acked`` the number
    that the standby has acknowledged.  The answer of a plain service is
    stored as one token per byte.
    """

    request_id: str
    account: str
    profile: Profile
    body: bytes
    prompt: str
    blocks: tuple[int, ...]
    max_tokens: int
    accepted_at: float
    deadline_at: float
    role: Role
    owner: str
    epoch: int = 0
    lineage: tuple[Parting, ...] = ()
    standby: str = ""
    confirmed: bool = False
    acked: int = 0
    finish_acked: bool = False
    resend_scheduled: bool = False
    hold_sent_at: float = 0.0
    tokens: list[int] = field(default_factory=list)
    released: int = 0
    complete: bool = False
    code: Code = Code.ACCEPTED
    attempt_id: str = ""
    attempts_made: int = 0
    failures: int = 0
    may_have_run: bool = False
    moving: bool = False
    resume_engine: str = ""
    resume_attempt: str = ""
    export_from: str = ""
    predicted_s: float = 0.0
    first_token_at: float = 0.0
    last_token_at: float = 0.0

    @property
    def settled(self) -> bool:
        """Return whether the request has ended."""
        return self.code not in (Code.ACCEPTED, Code.PENDING)

    @property
    def branch(self) -> tuple[int, str]:
        """Return the identity of the branch, by which branches are ordered."""
        return (self.epoch, self.owner)

    def has_position(self, epoch: int, owner: str, offset: int) -> bool:
        """Return whether this branch contains a caller's position."""
        if (epoch, owner) == self.branch:
            return offset <= len(self.tokens)
        ends = [
            parting.offset
            for parting in self.lineage
            if (parting.epoch, parting.owner) == (epoch, owner)
        ]
        return bool(ends) and offset <= min(ends)


@dataclass(slots=True)
class Attempt:
    """An attempt to run a request on a backend server."""

    attempt_id: str
    request_id: str
    engine: str
    start_offset: int
    started_at: float
    last_activity_at: float
    uncached_tokens: int
    resumed: bool = False
    ended: bool = False
    pieces: dict[int, tuple[int, ...]] = field(default_factory=dict)
    final_length: int = -1
