"""Commands that the decision core returns for the shell to execute."""

from dataclasses import dataclass
from typing import Any

from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.messages import Message
from magnoliaflow.common.ports import GenerateCall
from magnoliaflow.common.records import Record


@dataclass(frozen=True, slots=True)
class Append:
    """Append records to a stream of the log in one call."""

    stream: str
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a request to a backend server."""

    server: str
    call: GenerateCall
    body: bytes


@dataclass(frozen=True, slots=True)
class ResumeAttempt:
    """Resume reading a running attempt over a new connection."""

    server: str
    call: GenerateCall


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt on its backend server."""

    server: str
    attempt_id: str


@dataclass(frozen=True, slots=True)
class CallService:
    """Call a service for a claim; the shell must never retry the call."""

    server: str
    key: str
    submission: str
    epoch: int
    profile: str
    body: bytes


@dataclass(frozen=True, slots=True)
class QueryStatus:
    """Ask a service for the outcome of a claim."""

    server: str
    key: str
    submission: str
    epoch: int


@dataclass(frozen=True, slots=True)
class SendPeer:
    """Send a message to a known peer."""

    identity: str
    message: Message


@dataclass(frozen=True, slots=True)
class SendAddress:
    """Send a message to a peer whose identity is not known yet."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class ProbePeer:
    """Probe a peer without recent heartbeats over a new connection."""

    identity: str
    address: str


@dataclass(frozen=True, slots=True)
class NotifyWaiters:
    """Wake the callers that wait for a request."""

    request_id: str


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a numbered log event."""

    event: LogEvent
    details: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Exit:
    """End the process; nothing is in progress any more."""


Command = (
    Append
    | StartAttempt
    | ResumeAttempt
    | CancelAttempt
    | CallService
    | QueryStatus
    | SendPeer
    | SendAddress
    | ProbePeer
    | NotifyWaiters
    | WriteLog
    | Exit
)
