"""Deterministic tokens that depend on all tokens before them."""

from collections.abc import Iterable

from xxhash import xxh64_intdigest

VOCABULARY = 50_000


def start_digest(prompt: str) -> int:
    """Return the initial digest of an answer to a prompt."""
    return xxh64_intdigest(prompt.encode())


def next_digest(digest: int, token: int) -> int:
    """Return the digest that includes one more token."""
    return xxh64_intdigest(token.to_bytes(4, "big"), seed=digest)


def next_token(engine: str, digest: int) -> int:
    """Return the token that an engine generates after a digest."""
    return xxh64_intdigest(engine.encode(), seed=digest) % VOCABULARY


def is_valid_answer(
    prompt: str, tokens: Iterable[int], engines: list[str]
) -> bool:
    """Return whether each token follows from the prompt and those before.

    A splice of two answers fails, because a token matches only if its
    engine was given exactly the tokens that the caller read before it.

    >>> first = next_token("e1", start_digest("p"))
    >>> is_valid_answer("p", [first], ["e1", "e2"])
    True
    >>> is_valid_answer("p", [first, first], ["e1", "e2"])
    False
    """
    digest = start_digest(prompt)
    for token in tokens:
        if all(next_token(name, digest) != token for name in engines):
            return False
        digest = next_digest(digest, token)
    return True
