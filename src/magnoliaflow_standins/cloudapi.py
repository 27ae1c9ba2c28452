"""Stand-in for the users' cloud API, which duties call."""

from dataclasses import dataclass
from json import loads
from time import monotonic
from typing import Any

from magnoliaflow_standins.httpbase import QuietHandler
from magnoliaflow_standins.httpbase import QuietServer


@dataclass(frozen=True, slots=True)
class DutyCall:
    """Accepted call of a duty and its time of arrival."""

    at: float
    path: str
    holder: str
    fence: int
    body: dict[str, Any]


class CloudApi:
    """Records the calls that it accepts; accepts none while ``down``."""

    def __init__(self) -> None:
        self.calls: list[DutyCall] = []
        self.down = False
        self.server = QuietServer(_Handler, self)
        self.address = self.server.address

    def close(self) -> None:
        """Stop serving."""
        self.server.close()


class _Handler(QuietHandler):
    def do_POST(self) -> None:
        """Accept or reject one call."""
        body = self.rfile.read(int(self.headers["Content-Length"]))
        cloud: CloudApi = self.server.standin  # type: ignore[attr-defined]
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
