"""Numbered result codes and what each says about execution."""

from enum import Enum
from enum import IntEnum


class Run(Enum):
    """Whether the work behind a result code was executed."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Code(IntEnum):
    """Result codes; the number never changes its meaning.

    >>> Code.ACCOUNT_OVER_SHARE.run
    <Run.NO: 'no'>
    """

    DONE = 1000
    ACCEPTED = 1001
    PENDING = 1002
    MOVED = 1003
    BAD_REQUEST = 2000
    UNAUTHENTICATED = 2001
    UNKNOWN_PROFILE = 2002
    BODY_TOO_LARGE = 2003
    KEY_MISSING = 2004
    KEY_EXPIRED = 2005
    KEY_CONFLICT = 2006
    NOT_FOUND = 2007
    NO_ROUTE = 2008
    ACCOUNT_OVER_SHARE = 3000
    DEADLINE_UNREACHABLE = 3001
    DRAINING = 3003
    LOG_DOWN = 3004
    NO_BACKEND = 3005
    NOT_STARTED = 3006
    PROFILES_STALE = 3007
    CANCELLED_NOT_RUN = 3008
    BACKEND_FAILED = 4000
    OUTCOME_UNKNOWN = 4001
    DEADLINE_PASSED = 4002
    CANCELLED = 4003

    @property
    def run(self) -> Run:
        """Return what the code says about execution."""
        return DETAILS[self].run

    @property
    def http_status(self) -> int:
        """Return the HTTP status that carries the code."""
        return DETAILS[self].http_status

    @property
    def meaning(self) -> str:
        """Return the sentence shown to callers."""
        return DETAILS[self].meaning


class Detail:
    """Properties of one result code."""

    __slots__ = ("http_status", "meaning", "run")

    def __init__(self, run: Run, http_status: int, meaning: str) -> None:
        self.run = run
        self.http_status = http_status
        self.meaning = meaning


DETAILS = {
    Code.DONE: Detail(Run.YES, 200, "The answer is complete."),
    Code.ACCEPTED: Detail(
        Run.UNKNOWN, 202, "Accepted; ask again under the request id."
    ),
    Code.PENDING: Detail(
        Run.UNKNOWN, 202, "Not settled yet; ask again under the same key."
    ),
    Code.MOVED: Detail(
        Run.UNKNOWN, 307, "Another entry host holds the request."
    ),
    Code.BAD_REQUEST: Detail(
        Run.NO, 400, "The request is malformed; correct it and send it anew."
    ),
    Code.UNAUTHENTICATED: Detail(
        Run.NO, 401, "The bearer token is missing or unknown."
    ),
    Code.UNKNOWN_PROFILE: Detail(
        Run.NO, 404, "No profile of this name is in force."
    ),
    Code.BODY_TOO_LARGE: Detail(
        Run.NO, 413, "The body exceeds the configured limit."
    ),
    Code.KEY_MISSING: Detail(
        Run.NO,
        400,
        "The profile needs an Idempotency-Key of the form SECONDS-NAME.",
    ),
    Code.KEY_EXPIRED: Detail(
        Run.NO, 409, "The idempotency key is older than the window."
    ),
    Code.KEY_CONFLICT: Detail(
        Run.NO, 409, "The key was used before with another body."
    ),
    Code.NOT_FOUND: Detail(
        Run.UNKNOWN, 404, "No entry host in reach knows this request id."
    ),
    Code.NO_ROUTE: Detail(
        Run.NO, 404, "No route of the configuration begins this path."
    ),
    Code.ACCOUNT_OVER_SHARE: Detail(
        Run.NO, 429, "The client account is over its share."
    ),
    Code.DEADLINE_UNREACHABLE: Detail(
        Run.NO, 503, "The profile's deadline cannot be met now."
    ),
    Code.DRAINING: Detail(
        Run.NO, 503, "This entry host is leaving; use the listed addresses."
    ),
    Code.LOG_DOWN: Detail(
        Run.NO, 503, "The log is down; non-idempotent work is refused."
    ),
    Code.NO_BACKEND: Detail(
        Run.NO, 503, "No backend server can take the request."
    ),
    Code.NOT_STARTED: Detail(
        Run.NO, 503, "The work was withdrawn before it was started."
    ),
    Code.PROFILES_STALE: Detail(
        Run.NO, 503, "This entry host has lost touch with profile changes."
    ),
    Code.CANCELLED_NOT_RUN: Detail(
        Run.NO, 409, "Cancelled by the caller before it was started."
    ),
    Code.BACKEND_FAILED: Detail(
        Run.YES, 502, "The backend server ran the work and reported failure."
    ),
    Code.OUTCOME_UNKNOWN: Detail(
        Run.UNKNOWN, 502, "The work may have run; it is not repeated."
    ),
    Code.DEADLINE_PASSED: Detail(
        Run.UNKNOWN, 504, "The deadline passed after the work was started."
    ),
    Code.CANCELLED: Detail(
        Run.UNKNOWN, 409, "Cancelled by the caller after it was started."
    ),
}

SETTLED = frozenset(Code) - {Code.ACCEPTED, Code.PENDING, Code.MOVED}
