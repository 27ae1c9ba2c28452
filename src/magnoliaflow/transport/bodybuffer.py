"""Buffer of a body that arrives in parts."""

# Pieces of one size are used again by the next body when they are freed;
# buffers that grow leave gaps between them, which take memory.
PIECE_BYTES = 64 * 1024


class BodyBuffer:
    """Bytes in pieces of one size, whatever the parts in which they came.

    >>> buffer = BodyBuffer()
    >>> for _ in range(3): buffer.add(b"x" * 50_000)
    >>> len(buffer), len(buffer.pieces), len(buffer.take()), len(buffer)
    (150000, 2, 150000, 0)
    """

    __slots__ = ("pieces", "tail")

    def __init__(self) -> None:
        self.pieces: list[bytes] = []
        self.tail = bytearray()

    def __len__(self) -> int:
        """Return the number of bytes."""
        return len(self.pieces) * PIECE_BYTES + len(self.tail)

    def add(self, data: bytes | bytearray) -> None:
        """Append a part of the body."""
        self.tail += data
        while len(self.tail) >= PIECE_BYTES:
            self.pieces.append(bytes(self.tail[:PIECE_BYTES]))
            del self.tail[:PIECE_BYTES]

    def take(self) -> bytes:
        """Return all bytes and drop them."""
        data = b"".join([*self.pieces, self.tail])
        self.clear()
        return data

    def clear(self) -> None:
        """Drop all bytes."""
        self.pieces.clear()
        self.tail = bytearray()
