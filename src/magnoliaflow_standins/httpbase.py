"""The HTTP server that the users' platform's stand-ins share."""

from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from threading import Thread


class QuietHandler(BaseHTTPRequestHandler):
    """A handler on kept connections that writes no log."""

    protocol_version = "HTTP/1.1"

    def log_message(self, format: str, *args: object) -> None:
        """Write nothing."""


class QuietServer(ThreadingHTTPServer):
    """A server on a port of the kernel's choice, running at once.

    ``owner`` is the stand-in whose state its handlers use.
    """

    daemon_threads = True

    def __init__(self, handler: type[QuietHandler], standin: object) -> None:
        super().__init__(("127.0.0.1", 0), handler)
        self.standin = standin
        self.address = f"127.0.0.1:{self.server_address[1]}"
        Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request: object, address: object) -> None:
        """Write nothing: callers reset connections all the time."""

    def close(self) -> None:
        """Stop serving."""
        self.shutdown()
        self.server_close()
