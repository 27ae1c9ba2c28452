"""Events that the decision core handles."""

from dataclasses import dataclass
from enum import Enum

from magnoliaflow.common.messages import Message
from magnoliaflow.common.ports import CacheEvent
from magnoliaflow.common.ports import LoadReport
from magnoliaflow.common.records import Record


class Ending(Enum):
    """How a call to a backend server ended."""

    DONE = "done"
    FAILED = "failed"
    NOT_STARTED = "not started"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Submitted:
    """A caller submitted a request under a profile."""

    request_id: str
    account: str
    profile: str
    body: bytes
    prompt: str
    max_tokens: int
    key: str


@dataclass(frozen=True, slots=True)
class CancelRequested:
    """A caller cancelled a request."""

    request_id: str


@dataclass(frozen=True, slots=True)
class TokensArrived:
    """An attempt sent tokens, or a keep-alive without any."""

    attempt_id: str
    offset: int
    tokens: tuple[int, ...]
    done: bool


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The stream of an attempt ended."""

    attempt_id: str
    ending: Ending
    reason: str


@dataclass(frozen=True, slots=True)
class ServiceAnswered:
    """The only call of a claim to its service ended."""

    key: str
    submission: str
    epoch: int
    ending: Ending
    body: bytes


@dataclass(frozen=True, slots=True)
class StatusAnswered:
    """A service replied to a status query; ``known`` if it has an outcome."""

    key: str
    submission: str
    epoch: int
    known: bool
    succeeded: bool
    body: bytes


@dataclass(frozen=True, slots=True)
class RecordAtOffset:
    """A record and its offset; ``record`` is None if it is unreadable."""

    offset: int
    record: Record | None


@dataclass(frozen=True, slots=True)
class RecordsRead:
    """A read of a stream succeeded, possibly without new records."""

    stream: str
    records: tuple[RecordAtOffset, ...]
    end: int
    from_log: bool = True
    era: int = 0


@dataclass(frozen=True, slots=True)
class StreamTrimmed:
    """Records before ``first_offset`` were trimmed before they were read."""

    stream: str
    first_offset: int


@dataclass(frozen=True, slots=True)
class StreamRestored:
    """The log has gone back; a stream is to be read again in a new era."""

    stream: str
    era: int


@dataclass(frozen=True, slots=True)
class AppendEnded:
    """An append returned; one that failed may still take effect."""

    stream: str
    record_ids: tuple[str, ...]
    succeeded: bool


@dataclass(frozen=True, slots=True)
class MessageArrived:
    """A peer sent a message."""

    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class PeerProbed:
    """A probe of a peer over a new connection ended."""

    identity: str
    alive: bool


@dataclass(frozen=True, slots=True)
class LoadReportArrived:
    """An engine reported its load."""

    report: LoadReport


@dataclass(frozen=True, slots=True)
class CacheEventsArrived:
    """An engine published cache events."""

    engine: str
    events: tuple[CacheEvent, ...]


@dataclass(frozen=True, slots=True)
class EngineUnreachable:
    """Several consecutive polls of an engine failed."""

    engine: str


@dataclass(frozen=True, slots=True)
class HostLeaving:
    """A host will be reclaimed, or the host list marks it as leaving."""

    host: str
    seconds_left: float


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """This process must drain; at once if its host is reclaimed."""

    reclaimed: bool
    seconds_left: float


Input = (
    Submitted
    | CancelRequested
    | TokensArrived
    | AttemptEnded
    | ServiceAnswered
    | StatusAnswered
    | RecordsRead
    | StreamTrimmed
    | StreamRestored
    | AppendEnded
    | MessageArrived
    | PeerProbed
    | LoadReportArrived
    | CacheEventsArrived
    | EngineUnreachable
    | HostLeaving
    | DrainRequested
)
