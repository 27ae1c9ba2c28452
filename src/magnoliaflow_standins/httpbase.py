"""HTTP server shared by the stand-ins of the users' platform."""

from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from socket import SHUT_RDWR
from threading import Thread
from typing import Any


class QuietHandler(BaseHTTPRequestHandler):
    """Request handler with keep-alive connections and no log."""

    protocol_version = "HTTP/1.1"

    def log_message(self, format: str, *args: object) -> None:
        """Discard the message."""


class QuietServer(ThreadingHTTPServer):
    """HTTP server that starts at once, on a port chosen by the kernel.

    ``standin`` holds the state that the handlers use.
    """

    daemon_threads = True

    def __init__(
        self, handler: type[QuietHandler], standin: object, port: int = 0
    ) -> None:
        super().__init__(("127.0.0.1", port), handler)
        self.standin = standin
        self.open_sockets: set[Any] = set()
        self.address = f"127.0.0.1:{self.server_address[1]}"
        Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request: object, address: object) -> None:
        """Ignore errors, since callers often reset connections."""

    def process_request(self, request: Any, client_address: Any) -> None:
        """Serve a connection in a thread of its own."""
        self.open_sockets.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """Close a connection."""
        self.open_sockets.discard(request)
        super().shutdown_request(request)

    def crash(self) -> None:
        """Stop listening and break every open connection."""
        self.close()
        for sock in list(self.open_sockets):
            try:
                sock.shutdown(SHUT_RDWR)
            except OSError:
                # Its client was faster.
                continue

    def close(self) -> None:
        """Stop serving."""
        self.shutdown()
        self.server_close()
