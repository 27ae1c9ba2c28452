"""Typed commands that the decision core gives to its shell."""

from dataclasses import dataclass
from typing import Any

from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.messages import Message
from magnoliaflow.common.ports import GenerateCall
from magnoliaflow.common.records import Record


@dataclass(frozen=True, slots=True)
class Append:
    """Append records to a stream in one call."""

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
    """Read a running attempt on over a new connection."""

    server: str
    call: GenerateCall


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop an attempt."""

    server: str
    attempt_id: str


@dataclass(frozen=True, slots=True)
class CallService:
    """Send the work of a claim; the shell must never repeat it."""

    server: str
    key: str
    submission: str
    epoch: int
    profile: str
    body: bytes


@dataclass(frozen=True, slots=True)
class QueryStatus:
    """Ask a service what became of a claim."""

    server: str
    key: str
    submission: str
    epoch: int


@dataclass(frozen=True, slots=True)
class SendPeer:
    """Send a message to a peer."""

    identity: str
    message: Message


@dataclass(frozen=True, slots=True)
class SendAddress:
    """Send a message to a peer whose identity is not known yet."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class ProbePeer:
    """Try to reach a silent peer over a new connection."""

    identity: str
    address: str


@dataclass(frozen=True, slots=True)
class NotifyWaiters:
    """The request under this id has news for those who wait."""

    request_id: str


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a numbered log event."""

    event: LogEvent
    details: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Exit:
    """Nothing is left in progress: the process may end."""


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
