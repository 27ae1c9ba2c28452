"""Crowds of clients that send much, stop short, or do not read."""

from itertools import chain
from itertools import islice
from itertools import repeat
from pathlib import Path
from selectors import DefaultSelector
from selectors import EVENT_WRITE
from socket import create_connection
from time import monotonic

PIECE_BYTES = 65536
# A crowd that the process does not read is left as it is after this time.
SEND_S = 12.0


def head(host, *lines, method="POST", path="/look/x"):
    """Return the head of a request."""
    rows = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        "X-Credential: key-n",
        "X-Attempt-Id: crowd",
        *lines,
    ]
    return "\r\n".join([*rows, "", ""]).encode()


def chunks(size, total):
    """Return pieces with chunks of a size, without the last chunk."""
    chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
    count = total // size
    each = max(1, PIECE_BYTES // len(chunk))
    return chain(repeat(chunk * each, count // each), [chunk * (count % each)])


def pieces(total, size=PIECE_BYTES):
    """Return pieces of a body with a number of bytes in all."""
    return chain(repeat(b"x" * size, total // size), [b"x" * (total % size)])


class Client:
    """A connection and the pieces that it still has to send."""

    def __init__(self, port, parts):
        self.sock = create_connection(("127.0.0.1", port), timeout=5)
        self.sock.setblocking(False)
        self.parts = iter(parts)
        self.left = memoryview(b"")

    def send(self):
        """Send one piece at most; return whether there is more to send."""
        while not self.left:
            part = next(self.parts, None)
            if part is None:
                return False
            self.left = memoryview(part)
        try:
            self.left = self.left[self.sock.send(self.left) :]
        except BlockingIOError:
            pass
        except OSError:
            return False
        return True


class Crowd:
    """Clients that send in turn and stay open until they are closed.

    ``observe`` is called between the turns.
    """

    def __init__(self, port, bodies, observe):
        self.observe = observe
        self.clients = []
        for parts in bodies:
            try:
                self.clients.append(Client(port, parts))
            except OSError:
                continue
            observe()

    def send(self):
        """Send everything, or what is taken within SEND_S."""
        end = monotonic() + SEND_S
        with DefaultSelector() as selector:
            for client in self.clients:
                selector.register(client.sock, EVENT_WRITE, client)
            while selector.get_map() and monotonic() < end:
                for key, _ in selector.select(0.1):
                    if not key.data.send():
                        selector.unregister(key.fileobj)
                self.observe()

    def close(self):
        """Close all connections."""
        for client in self.clients:
            client.sock.close()


def memory_mb(pid, field):
    """Return a size of a process, such as VmHWM, in MB."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.split(f"{field}:")[1].split()[0]) / 1024


def descriptors(pid):
    """Return the number of descriptors that a process has open."""
    return sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())


def endless(part, total):
    """Return pieces of one repeated part with a number of bytes in all."""
    piece = part * max(1, PIECE_BYTES // len(part))
    return islice(repeat(piece), total // len(piece))
