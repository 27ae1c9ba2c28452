"""Options of sockets."""

from socket import SO_REUSEADDR
from socket import SOL_SOCKET
from typing import Any


def release_local_port(sock: Any) -> None:
    """Let a listener use the port that the kernel gave to a connection."""
    sock.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
