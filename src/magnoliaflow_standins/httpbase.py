"""HTTP server shared by the stand-ins of the users' platform."""

from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from threading import Thread


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

    def __init__(self, handler: type[QuietHandler], standin: object) -> None:
        super().__init__(("127.0.0.1", 0), handler)
        self.standin = standin
        self.address = f"127.0.0.1:{self.server_address[1]}"
        Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request: object, address: object) -> None:
        """Ignore errors, since callers often reset connections."""

    def close(self) -> None:
        """Stop serving."""
        self.shutdown()
        self.server_close()
