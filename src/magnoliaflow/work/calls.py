"""Requests of the platform's callers and heads of engine responses."""

from dataclasses import dataclass

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class Call:
    """A request as received from its caller.

    ``parts`` holds the shared parts of the prompt as (id, tokens).
    ``has_token_counts`` tells whether the caller stated its tokens.
    ``headers`` holds the headers to forward.  A stream that is taken up goes
    on after the event ``resume_after``; ``resumes`` is the id of the request
    that brought its first event.
    """

    request_id: str
    host: str
    path: str
    credential: str
    deadline_s: float | None
    prompt_tokens: int
    answer_tokens: int
    has_token_counts: bool
    parts: tuple[tuple[int, int], ...]
    resume_after: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    resumes: str = ""


@dataclass(frozen=True, slots=True)
class ForwardContext:
    """Values added to a request that is forwarded to an engine.

    ``priority`` ranges from 0 (most urgent) to 9.  ``resume_after`` is the
    id of the last event that the caller received.
    """

    engine: str
    remaining_s: float
    account: str
    priority: int | None
    resume_after: str = ""


@dataclass(frozen=True, slots=True)
class EngineResponseHead:
    """Status and headers of an engine's response.

    ``signed`` tells whether the response carries a signature as proof of
    execution, ``not_run`` whether the engine states that it did not
    execute the request.  ``rate_limit`` is the requests a second that the
    engine takes from all hosts, None for any number.  ``leaving`` tells
    whether the engine states that it leaves, ``misdirected`` whether it is
    not the expected one.
    """

    status: int
    request_id: str
    signed: bool
    not_run: bool
    is_event_stream: bool
    headers: Headers
    rate_limit: float | None = None
    leaving: bool = False
    misdirected: bool = False

    def continues_stream(self, request_id: str) -> bool:
        """Return whether the answer is the rest of a request's stream."""
        return (
            self.status == 200
            and self.is_event_stream
            and self.request_id == request_id
        )


@dataclass(frozen=True, slots=True)
class AddressLookup:
    """A caller's query for the entry hosts to use."""

    region: str
    zone: str
