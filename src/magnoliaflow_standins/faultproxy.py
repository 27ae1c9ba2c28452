"""TCP proxy on loopback that injects network faults."""

from contextlib import suppress
from enum import Enum
from socket import create_connection
from socket import SHUT_RDWR
from socket import SHUT_WR
from socket import SO_LINGER
from socket import socket
from socket import SOL_SOCKET
from struct import pack
from threading import Thread
from time import sleep

BUFFER_BYTES = 65536
CONNECT_TIMEOUT_S = 2.0
LINGER_RESET = pack("ii", 1, 0)


class LinkFault(Enum):
    """Fault that a proxy applies to its connections.

    SILENCE holds back the data of both directions, ONE_WAY only that
    from the target.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    ONE_WAY = "one way"


class FaultProxy:
    """Forwards connections to a target and applies the current fault."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.fault = LinkFault.NONE
        self.delay_s = 0.2
        self.open_sockets: set[socket] = set()
        self.listener = socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(256)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop accepting connections."""
        self.listener.close()

    def set_fault(self, fault: LinkFault) -> None:
        """Apply a fault to open and new connections."""
        self.fault = fault
        if fault is LinkFault.RESET:
            for sock in list(self.open_sockets):
                _reset(sock)

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client: socket) -> None:
        if self.fault is LinkFault.RESET:
            _reset(client)
            return
        try:
            upstream = create_connection(self.target, CONNECT_TIMEOUT_S)
        except OSError:
            _reset(client)
            return
        upstream.settimeout(None)
        self.open_sockets.update((client, upstream))
        return_thread = Thread(
            target=self._pump, args=(upstream, client, True), daemon=True
        )
        return_thread.start()
        self._pump(client, upstream, False)
        return_thread.join()
        self.open_sockets -= {client, upstream}
        client.close()
        upstream.close()

    def _pump(self, source: socket, sink: socket, from_upstream: bool) -> None:
        """Copy one direction until it ends."""
        while True:
            try:
                data = source.recv(BUFFER_BYTES)
                if self.fault is LinkFault.DELAY:
                    sleep(self.delay_s)
                while self.fault is LinkFault.SILENCE or (
                    from_upstream and self.fault is LinkFault.ONE_WAY
                ):
                    sleep(0.02)
                if not data:
                    sink.shutdown(SHUT_WR)
                    return
                sink.sendall(data)
            except OSError:
                # A close does not wake the other direction's thread.
                for sock in (source, sink):
                    with suppress(OSError):
                        sock.shutdown(SHUT_RDWR)
                    _reset(sock)
                return


def _reset(sock: socket) -> None:
    """Close a socket with a reset; ignore one that is closed already."""
    try:
        sock.setsockopt(SOL_SOCKET, SO_LINGER, LINGER_RESET)
        sock.close()
    except OSError:
        return
