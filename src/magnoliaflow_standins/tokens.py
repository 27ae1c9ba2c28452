"""Tokens whose every one depends on all before it, and their checker."""

from collections.abc import Iterable

from xxhash import xxh64_intdigest

VOCABULARY = 50_000


def start_digest(prompt: str) -> int:
    """Return the digest from which an answer to a prompt begins."""
    return xxh64_intdigest(prompt.encode())


def next_digest(digest: int, token: int) -> int:
    """Return the digest after one more token."""
    return xxh64_intdigest(token.to_bytes(4, "big"), seed=digest)


def next_token(engine: str, digest: int) -> int:
    """Return the token that an engine produces after a digest."""
    return xxh64_intdigest(engine.encode(), seed=digest) % VOCABULARY


def is_valid_answer(
    prompt: str, tokens: Iterable[int], engines: list[str]
) -> bool:
    """Return whether each token continues exactly those before it.

    A splice of two answers fails: a token's engine must have been given
    the very tokens that the caller has read before it.

    >>> first = next_token("e1", start_digest("p"))
    >>> is_answer("p", [first], ["e1", "e2"])
    True
    >>> is_answer("p", [first, first], ["e1", "e2"])
    False
    """
    digest = start_digest(prompt)
    for token in tokens:
        if all(next_token(name, digest) != token for name in engines):
            return False
        digest = next_digest(digest, token)
    return True
