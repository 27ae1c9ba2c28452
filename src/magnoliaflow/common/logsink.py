"""A log stream that never blocks on its reader."""

from collections import deque
from fcntl import F_GETFL
from fcntl import F_SETFL
from fcntl import fcntl
from os import O_NONBLOCK
from os import write

# Lines that do not fit while the reader is slow are dropped.
MAX_BUFFERED_BYTES = 256 * 1024


class LogSink:
    """A non-blocking stream for logging handlers.

    The number of dropped lines is written as a line of its own once the
    buffer has been flushed.
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
        """Write or buffer a line; drop it if the buffer is full."""
        data = text.encode()
        if self.buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._enqueue(data)
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the reader takes."""
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
