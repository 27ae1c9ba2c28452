"""Requests of the platform's callers, as typed values."""

from dataclasses import dataclass

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class Call:
    """A request as its caller sent it.

    ``parts`` are the shared parts of the prompt as (id, tokens);
    ``sized`` says that the caller named its tokens.  ``headers`` are
    those that are forwarded.
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


@dataclass(frozen=True, slots=True)
class ForwardContext:
    """What this system adds to a request for an engine.

    ``priority`` is 0 (first) to 9; ``resume_after`` is the id of the last
    event that the caller has.
    """

    engine: str
    remaining_s: float
    account: str
    priority: int | None
    resume_after: str = ""


@dataclass(frozen=True, slots=True)
class EngineResponseHead:
    """Head of an engine's answer.

    ``signed``: it bears the receipt of a run; ``not_run``: the engine
    confirms that it did not run the request.
    """

    status: int
    request_id: str
    signed: bool
    not_run: bool
    is_event_stream: bool
    headers: Headers


@dataclass(frozen=True, slots=True)
class AddressLookup:
    """A caller's question which entry hosts to use."""

    region: str
    zone: str
