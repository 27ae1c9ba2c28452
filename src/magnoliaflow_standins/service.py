"""Stand-in for a plain service; its history shows every execution."""

from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred

from magnoliaflow_standins.base import add_control_routes
from magnoliaflow_standins.base import json_body
from magnoliaflow_standins.base import make_parser
from magnoliaflow_standins.base import reply
from magnoliaflow_standins.base import serve
from magnoliaflow_standins.base import sleep
from magnoliaflow_standins.base import Standin


class ServiceStandin(Standin):
    """Executes every call, also one that repeats a key.

    Further switches: ``late_s`` delays the answer after execution;
    ``never`` executes and never answers; ``refuse`` does not execute.
    """

    def __init__(self, name: str) -> None:
        super().__init__()
        self.name = name
        self.switches.update(late_s=0.0, never=False, refuse=False)
        self.results: dict[str, dict[str, Any]] = {}


def make_app(service: ServiceStandin) -> Klein:
    """Return the web application of a service stand-in."""
    app = Klein()
    add_control_routes(app, service)

    @app.route("/call/<operation>", methods=["POST"])
    async def call(request: Any, operation: str) -> Any:
        body = json_body(request)
        if service.switches["refuse"] or not await service.apply_faults():
            return reply(request, {}, 503)
        key = body["key"]
        service.record(kind="executed", key=key, operation=operation)
        number = len(service.results) + 1
        result = {"number": number, "operation": operation, "key": key}
        service.results[key] = result
        if service.switches["never"]:
            await Deferred()
        if service.lose_reply(request):
            return b""
        await sleep(float(service.switches["late_s"]))
        return reply(request, {"result": result})

    @app.route("/status", methods=["POST"])
    async def status(request: Any) -> Any:
        if not await service.apply_faults():
            return reply(request, {}, 500)
        result = service.results.get(json_body(request)["key"])
        if result is None:
            return reply(request, {}, 404)
        return reply(request, {"result": result})

    return app


def main() -> None:
    """Run the stand-in."""
    parser = make_parser("a plain service")
    parser.add_argument("--name", required=True)
    args = parser.parse_args()
    serve(make_app(ServiceStandin(args.name)), args)


if __name__ == "__main__":
    main()
