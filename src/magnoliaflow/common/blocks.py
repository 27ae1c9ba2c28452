"""Block hashes of prompt prefixes."""

from collections.abc import Iterator

from xxhash import xxh64_intdigest

BLOCK_CHARS = 256
CHARS_PER_TOKEN = 4
TOKENS_PER_BLOCK = BLOCK_CHARS // CHARS_PER_TOKEN


def prefix_blocks(prompt: str) -> tuple[int, ...]:
    """Return the chained hash of every whole block of a prompt.

    Up to hash collisions, two prompts share their first n hashes if and
    only if they share their first n blocks.

    >>> len(prefix_blocks("x" * (2 * BLOCK_CHARS + 1)))
    2
    """
    return tuple(_chained_hashes(prompt))


def prompt_tokens(prompt: str) -> int:
    """Return the estimated number of tokens in a prompt.

    >>> prompt_tokens("eight ch")
    2
    """
    return max(1, -(-len(prompt) // CHARS_PER_TOKEN))


def _chained_hashes(prompt: str) -> Iterator[int]:
    digest = 0
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
        block = prompt[start : start + BLOCK_CHARS]
        digest = xxh64_intdigest(block.encode(), seed=digest)
        yield digest
