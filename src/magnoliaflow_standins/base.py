"""Common parts of the stand-ins: fault switches, history and start-up."""

from argparse import ArgumentParser
from argparse import Namespace
from json import dumps
from json import loads
from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.web.server import Site

from magnoliaflow.common.loop import reactor


class Standin:
    """Fault switches and history of a stand-in.

    Switches: ``outage`` fails each call, mostly with status 500;
    ``hang`` never answers; ``slow_s`` delays each answer;
    ``lose_replies`` is the number of calls that take effect but whose
    reply is dropped.
    """

    def __init__(self) -> None:
        self.switches: dict[str, Any] = {
            "outage": False,
            "hang": False,
            "slow_s": 0.0,
            "lose_replies": 0,
        }
        self.history: list[dict[str, Any]] = []

    def record(self, **entry: Any) -> None:
        """Add a timestamped entry to the history that checkers read."""
        self.history.append({"at": now(), **entry})

    async def apply_faults(self) -> bool:
        """Apply the switches before a call; return False in an outage."""
        if self.switches["hang"]:
            await Deferred()
        if self.switches["slow_s"]:
            await sleep(self.switches["slow_s"])
        return not self.switches["outage"]

    def lose_reply(self, request: Any) -> bool:
        """Abort the connection if this reply is to be lost, and say so."""
        if self.switches["lose_replies"] <= 0:
            return False
        self.switches["lose_replies"] -= 1
        request.transport.abortConnection()
        return True


def now() -> float:
    """Return the reactor's time in seconds."""
    return float(reactor.seconds())


def sleep(delay_s: float) -> "Deferred[None]":
    """Return a Deferred that fires after a delay."""
    return deferLater(reactor, delay_s)


def reply(request: Any, value: Any, status: int = 200) -> bytes:
    """Set the status and return a value as the JSON body."""
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    return dumps(value).encode()


def json_body(request: Any) -> Any:
    """Return the decoded JSON body of a request."""
    return loads(request.content.read() or b"{}")


def add_control_routes(app: Klein, standin: Standin) -> None:
    """Add the routes that set switches and return the history."""

    @app.route("/control", methods=["POST"])
    def control(request: Any) -> bytes:
        standin.switches.update(json_body(request))
        return reply(request, standin.switches)

    @app.route("/history", methods=["GET"])
    def history(request: Any) -> bytes:
        return reply(request, {"history": standin.history})


def make_parser(subject: str) -> ArgumentParser:
    """Return an argument parser with the options of every stand-in."""
    result = ArgumentParser(description=f"Stand-in for {subject}.")
    result.add_argument("--listen", required=True, help="ADDRESS:PORT")
    return result


def serve(app: Klein, args: Namespace) -> None:
    """Serve an app until the process is stopped."""
    address, _, port = args.listen.partition(":")
    reactor.listenTCP(int(port), Site(app.resource()), interface=address)
    reactor.run()
