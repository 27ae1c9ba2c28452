"""Writing log lines without ever waiting for whoever reads them."""

from collections import deque
from fcntl import F_GETFL
from fcntl import F_SETFL
from fcntl import fcntl
from os import O_NONBLOCK
from os import write

# What is kept for a reader that is slow; later lines are dropped.
MAX_BUFFERED_BYTES = 256 * 1024


class LogSink:
    """A stream for logging handlers over a descriptor.

    Lines that find no room are counted, and the count is written as a
    line of its own once there is room again.
    """

    __slots__ = ("descriptor", "dropped", "buffer", "buffered_bytes")

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped = 0
        self.buffer: deque[bytes] = deque()
        self.buffered_bytes = 0
        flags = fcntl(descriptor, F_GETFL)
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK)

    def write(self, text: str) -> None:
        """Write a line, keep it for later, or drop it."""
        data = text.encode()
        if self.buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._enqueue(data)
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self.buffer:
            data = self.buffer[0]
            try:
                sent = write(self.descriptor, data)
            except BlockingIOError:
                return
            self.buffered_bytes -= sent
            if sent < len(data):
                self.buffer[0] = data[sent:]
                return
            self.buffer.popleft()
        if self.dropped:
            line = f'{{"dropped_log_lines": {self.dropped}}}\n'
            self.dropped = 0
            self._enqueue(line.encode())
            self.flush()

    def _enqueue(self, data: bytes) -> None:
        self.buffer.append(data)
        self.buffered_bytes += len(data)
