"""Stand-in for the host list, the cloud API and the weight store."""

from typing import Any

from klein import Klein

from magnoliaflow_standins.base import add_control_routes
from magnoliaflow_standins.base import json_body
from magnoliaflow_standins.base import make_parser
from magnoliaflow_standins.base import now
from magnoliaflow_standins.base import reply
from magnoliaflow_standins.base import serve
from magnoliaflow_standins.base import Standin

ROLES = ("host_list", "cloud", "weight_store")
LOAD_INTERVAL_S = 2.0


class PlatformStandin(Standin):
    """Hosts, offers, notices and weight loads kept in memory.

    Further switches: ``lag_s`` delays what the host list shows;
    ``refuse_starts`` is the number of starts to refuse; ``reclaim`` maps
    hosts to the seconds they have left; ``hosts`` and ``offers`` are
    what is listed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.switches.update(
            lag_s=0.0, refuse_starts=0, hosts=[], offers=[], reclaim={}
        )
        self.notices: dict[str, float] = {}
        self.started: list[dict[str, Any]] = []
        self.next_load_at = 0.0

    def apply_reclaims(self) -> None:
        """Issue a notice for each host added to the ``reclaim`` switch."""
        for host, seconds in self.switches["reclaim"].items():
            if host not in self.notices:
                self.notices[host] = now() + float(seconds)
                self.record(kind="notice", host=host)

    def is_leaving(self, host: str) -> bool:
        """Return whether the delayed host list shows a host as leaving."""
        self.apply_reclaims()
        recorded_at = [
            entry["at"] for entry in self.history if entry.get("host") == host
        ]
        lag_s = float(self.switches["lag_s"])
        return bool(recorded_at) and now() >= recorded_at[0] + lag_s


def make_app(platform: PlatformStandin, role: str) -> Klein:
    """Return the web application of one role."""
    app = Klein()
    add_control_routes(app, platform)
    {
        "host_list": _add_host_list_routes,
        "cloud": _add_cloud_routes,
        "weight_store": _add_weight_store_routes,
    }[role](app, platform)
    return app


def _add_host_list_routes(app: Klein, platform: PlatformStandin) -> None:
    @app.route("/hosts", methods=["GET"])
    async def hosts(request: Any) -> Any:
        if not await platform.apply_faults():
            return reply(request, {}, 500)
        listed = [
            {**host, "leaving": platform.is_leaving(host["name"])}
            for host in platform.switches["hosts"]
        ]
        return reply(request, {"hosts": listed})


def _add_cloud_routes(app: Klein, platform: PlatformStandin) -> None:
    @app.route("/notices", methods=["GET"])
    async def notices(request: Any) -> Any:
        if not await platform.apply_faults():
            return reply(request, {}, 500)
        platform.apply_reclaims()
        pending = [
            {"host": host, "seconds_left": max(0.0, at - now())}
            for host, at in platform.notices.items()
        ]
        return reply(request, {"notices": pending})

    @app.route("/offers", methods=["GET"])
    async def offers(request: Any) -> Any:
        if not await platform.apply_faults():
            return reply(request, {}, 500)
        return reply(request, {"offers": platform.switches["offers"]})

    @app.route("/hosts", methods=["GET"])
    async def started(request: Any) -> Any:
        if not await platform.apply_faults():
            return reply(request, {}, 500)
        return reply(request, {"hosts": platform.started})

    @app.route("/hosts", methods=["POST"])
    async def start(request: Any) -> Any:
        if not await platform.apply_faults():
            return reply(request, {}, 500)
        order = json_body(request)
        if platform.switches["refuse_starts"] > 0:
            platform.switches["refuse_starts"] -= 1
            platform.record(kind="refused", tag=order["tag"])
            return reply(request, {}, 409)
        host = {
            "name": f"started-{len(platform.started) + 1}",
            "tag": order["tag"],
            "zone": order["zone"],
            "machine_class": order["machine_class"],
        }
        platform.started.append(host)
        platform.record(kind="started", tag=order["tag"])
        if platform.lose_reply(request):
            return b""
        return reply(request, host)


def _add_weight_store_routes(app: Klein, platform: PlatformStandin) -> None:
    @app.route("/loads/<model>", methods=["POST"])
    async def load(request: Any, model: str) -> Any:
        if not await platform.apply_faults():
            return reply(request, {}, 500)
        start_at = max(now(), platform.next_load_at)
        platform.next_load_at = start_at + LOAD_INTERVAL_S
        platform.record(kind="load", model=model)
        return reply(request, {"wait_s": start_at - now()})


def main() -> None:
    """Run the stand-in."""
    parser = make_parser("the host list, the cloud or the weight store")
    parser.add_argument("--role", choices=ROLES, required=True)
    args = parser.parse_args()
    serve(make_app(PlatformStandin(), args.role), args)


if __name__ == "__main__":
    main()
