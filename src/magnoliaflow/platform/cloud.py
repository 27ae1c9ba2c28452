"""Client of the platform's API for the duties of one host at a time."""

from json import dumps
from typing import Any

from twisted.internet.defer import inlineCallbacks

from magnoliaflow.common.errors import PortError
from magnoliaflow.common.errors import StartRefusedError
from magnoliaflow.transport.client import fetch

JSON_HEADER = (b"Content-Type", b"application/json")


class CloudClient:
    """Calls under a lease; each fails with PortError."""

    __slots__ = ("address", "calls", "host", "timeout_s")

    def __init__(self, address: str, host: str, *, timeout_s: float) -> None:
        self.address = address
        self.host = host
        self.timeout_s = timeout_s
        self.calls = 0

    def report_usage(
        self, window: int, counts: dict[str, int], *, fence: int
    ) -> Any:
        """Report how many requests of each account a window began."""
        return self._call(
            b"/usage", {"windowNumber": window, "counts": counts}, fence
        )

    def order_engines(
        self, service: str, zone: str, count: int, *, spot: bool, fence: int
    ) -> Any:
        """Order a number of engines of one kind in a zone.

        Raises StartRefusedError when none are to be had there now.
        """
        body: dict[str, Any] = {
            "service": service,
            "zone": zone,
            "desiredCount": count,
        }
        if spot:
            body["isSpot"] = True
        return self._call(b"/scaling", body, fence)

    @inlineCallbacks
    def _call(self, path: bytes, values: dict[str, Any], fence: int) -> Any:
        self.calls += 1
        reply = yield fetch(
            self.address,
            b"POST",
            path,
            body=dumps(values, separators=(",", ":")).encode(),
            headers=[
                JSON_HEADER,
                (b"X-Duty-Holder", self.host.encode()),
                (b"X-Fencing-Token", str(fence).encode()),
            ],
            timeout_s=self.timeout_s,
        )
        if reply.status == 409:
            raise StartRefusedError("none of that kind are to be had now")
        if reply.status != 200:
            raise PortError(f"the platform's API answered {reply.status}")
