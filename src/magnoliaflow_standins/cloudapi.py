"""Stand-in for the users' API for duties; it keeps every call."""

from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from json import loads
from threading import Thread
from time import monotonic
from typing import Any


@dataclass(frozen=True, slots=True)
class DutyCall:
    """One accepted call, with the time it arrived."""

    at: float
    path: str
    holder: str
    fence: int
    body: dict[str, Any]


class CloudApi:
    """Accepts every duty's call, or none while it is down."""

    def __init__(self) -> None:
        self.calls: list[DutyCall] = []
        self.down = False
        self.server = ThreadingHTTPServer(("127.0.0.1", 0), _Handler)
        self.server.daemon_threads = True
        self.server.cloud = self  # type: ignore[attr-defined]
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self) -> None:
        """Stop serving."""
        self.server.shutdown()
        self.server.server_close()


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, format: str, *args: object) -> None:
        """Write nothing."""

    def do_POST(self) -> None:
        """Take one call."""
        body = self.rfile.read(int(self.headers["Content-Length"]))
        cloud: CloudApi = self.server.cloud  # type: ignore[attr-defined]
        status = 503 if cloud.down else 200
        if status == 200:
            cloud.calls.append(
                DutyCall(
                    monotonic(),
                    self.path,
                    self.headers["X-Duty-Holder"],
                    int(self.headers["X-Fencing-Token"]),
                    loads(body),
                )
            )
        self.send_response(status)
        self.send_header("Content-Length", "0")
        self.end_headers()
