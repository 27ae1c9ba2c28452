"""Result codes and what each says about execution."""

from enum import Enum
from enum import IntEnum


class Executed(Enum):
    """Whether the work of a request was executed."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Code(IntEnum):
    """Result codes; numbers are stable.

    >>> Code.ACCOUNT_OVER_SHARE.executed
    <Executed.NO: 'no'>
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
    PROMPT_HELD = 3009
    ORIGIN_UNKNOWN = 3010
    BACKEND_FAILED = 4000
    OUTCOME_UNKNOWN = 4001
    DEADLINE_PASSED = 4002
    CANCELLED = 4003

    @property
    def executed(self) -> Executed:
        """Return whether the work was executed."""
        return CODE_INFO[self].executed

    @property
    def http_status(self) -> int:
        """Return the HTTP status that the code is sent with."""
        return CODE_INFO[self].http_status

    @property
    def meaning(self) -> str:
        """Return the sentence shown to callers."""
        return CODE_INFO[self].meaning


class CodeInfo:
    """Properties of one result code."""

    __slots__ = ("http_status", "meaning", "executed")

    def __init__(
        self, executed: Executed, http_status: int, meaning: str
    ) -> None:
        self.executed = executed
        self.http_status = http_status
        self.meaning = meaning


CODE_INFO = {
    Code.DONE: CodeInfo(Executed.YES, 200, "The answer is complete."),
    Code.ACCEPTED: CodeInfo(
        Executed.UNKNOWN, 202, "Accepted; ask again under the request id."
    ),
    Code.PENDING: CodeInfo(
        Executed.UNKNOWN, 202, "Not settled yet; ask again under the same key."
    ),
    Code.MOVED: CodeInfo(
        Executed.UNKNOWN, 307, "Another entry host holds the request."
    ),
    Code.BAD_REQUEST: CodeInfo(
        Executed.NO,
        400,
        "The request is malformed; correct it and send it anew.",
    ),
    Code.UNAUTHENTICATED: CodeInfo(
        Executed.NO, 401, "The bearer token is missing or unknown."
    ),
    Code.UNKNOWN_PROFILE: CodeInfo(
        Executed.NO, 404, "No profile of this name is in force."
    ),
    Code.BODY_TOO_LARGE: CodeInfo(
        Executed.NO, 413, "The body exceeds the configured limit."
    ),
    Code.KEY_MISSING: CodeInfo(
        Executed.NO,
        400,
        "The profile needs an Idempotency-Key of the form SECONDS-NAME.",
    ),
    Code.KEY_EXPIRED: CodeInfo(
        Executed.NO, 409, "The idempotency key is older than the window."
    ),
    Code.KEY_CONFLICT: CodeInfo(
        Executed.NO, 409, "The key was used before with another body."
    ),
    Code.NOT_FOUND: CodeInfo(
        Executed.UNKNOWN, 404, "No entry host in reach knows this request id."
    ),
    Code.NO_ROUTE: CodeInfo(
        Executed.NO, 404, "No route of the configuration begins this path."
    ),
    Code.ACCOUNT_OVER_SHARE: CodeInfo(
        Executed.NO, 429, "The client account is over its share."
    ),
    Code.DEADLINE_UNREACHABLE: CodeInfo(
        Executed.NO, 503, "The profile's deadline cannot be met now."
    ),
    Code.DRAINING: CodeInfo(
        Executed.NO,
        503,
        "This entry host is leaving; use the listed addresses.",
    ),
    Code.LOG_DOWN: CodeInfo(
        Executed.NO, 503, "The log is down; non-idempotent work is refused."
    ),
    Code.NO_BACKEND: CodeInfo(
        Executed.NO, 503, "No backend server can take the request."
    ),
    Code.NOT_STARTED: CodeInfo(
        Executed.NO, 503, "The work was withdrawn before it was started."
    ),
    Code.PROFILES_STALE: CodeInfo(
        Executed.NO,
        503,
        "This entry host has lost touch with profile changes.",
    ),
    Code.CANCELLED_NOT_RUN: CodeInfo(
        Executed.NO, 409, "Cancelled by the caller before it was started."
    ),
    Code.PROMPT_HELD: CodeInfo(
        Executed.NO,
        503,
        "Engines ended under this request or its prompt; it is held back.",
    ),
    Code.ORIGIN_UNKNOWN: CodeInfo(
        Executed.NO,
        503,
        "It is not known at which version this stream may go on.",
    ),
    Code.BACKEND_FAILED: CodeInfo(
        Executed.YES,
        502,
        "The backend server ran the work and reported failure.",
    ),
    Code.OUTCOME_UNKNOWN: CodeInfo(
        Executed.UNKNOWN, 502, "The work may have run; it is not repeated."
    ),
    Code.DEADLINE_PASSED: CodeInfo(
        Executed.UNKNOWN,
        504,
        "The deadline passed after the work was started.",
    ),
    Code.CANCELLED: CodeInfo(
        Executed.UNKNOWN, 409, "Cancelled by the caller after it was started."
    ),
}

SETTLED_CODES = frozenset(Code) - {Code.ACCEPTED, Code.PENDING, Code.MOVED}
