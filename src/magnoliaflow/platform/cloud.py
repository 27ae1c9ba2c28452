"""Client of the platform's API for the duties of the lease holder."""

from collections.abc import Callable
from json import dumps
from typing import Any

from twisted.internet.defer import inlineCallbacks

from magnoliaflow.common.errors import PortError
from magnoliaflow.common.errors import StartRefusedError
from magnoliaflow.transport.client import fetch

JSON_HEADER = (b"Content-Type", b"application/json")


class CloudClient:
    """Makes the calls of the lease holder; each fails with PortError."""

    __slots__ = ("address", "calls", "host", "may_send", "timeout_s")

    def __init__(
        self,
        address: str,
        host: str,
        *,
        timeout_s: float,
        may_send: Callable[[int], bool] = lambda fence: True,
    ) -> None:
        self.may_send = may_send
        self.address = address
        self.host = host
        self.timeout_s = timeout_s
        self.calls = 0

    def report_usage(
        self, window: int, counts: dict[str, int], *, fence: int
    ) -> Any:
        """Report how many requests each account began in a window."""
        return self._call(
            b"/usage", {"windowNumber": window, "counts": counts}, fence
        )

    def order_engines(
        self, service: str, zone: str, count: int, *, spot: bool, fence: int
    ) -> Any:
        """Set the desired number of engines of one kind in a zone.

        Raises StartRefusedError if there is no capacity for them now.
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
            may_send=lambda: self.may_send(fence),
        )
        if reply.status == 409:
            raise StartRefusedError("no capacity for engines of this kind now")
        if reply.status != 200:
            raise PortError(f"platform API returned status {reply.status}")
