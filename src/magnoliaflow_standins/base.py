"""What every stand-in shares: fault switches, history and start-up."""

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
    """A stand-in's fault switches and the history it keeps.

    Switches: ``outage`` answers 500, ``hang`` never answers, ``slow_s``
    delays each answer, ``lose_replies`` is how many calls take effect
    but lose their reply.
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
        """Add an entry to the history that checkers read."""
        self.history.append({"at": now(), **entry})

    async def apply_faults(self) -> bool:
        """Apply the switches ahead of a call; False means an outage."""
        if self.switches["hang"]:
            await Deferred()
        if self.switches["slow_s"]:
            await sleep(self.switches["slow_s"])
        return not self.switches["outage"]

    def lose_reply(self, request: Any) -> bool:
        """Drop the connection if the reply of this call is to be lost."""
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
    """Answer a call with JSON."""
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    return dumps(value).encode()


def json_body(request: Any) -> Any:
    """Return the JSON of a request's body."""
    return loads(request.content.read() or b"{}")


def add_control_routes(app: Klein, standin: Standin) -> None:
    """Add the routes by which tests set switches and read history."""

    @app.route("/control", methods=["POST"])
    def control(request: Any) -> bytes:
        standin.switches.update(json_body(request))
        return reply(request, standin.switches)

    @app.route("/history", methods=["GET"])
    def history(request: Any) -> bytes:
        return reply(request, {"history": standin.history})


def make_parser(subject: str) -> ArgumentParser:
    """Return the argument parser that every stand-in starts from."""
    result = ArgumentParser(description=f"Stand-in for {subject}.")
    result.add_argument("--listen", required=True, help="ADDRESS:PORT")
    return result


def serve(app: Klein, args: Namespace) -> None:
    """Listen and run until the process is ended."""
    address, _, port = args.listen.partition(":")
    reactor.listenTCP(int(port), Site(app.resource()), interface=address)
    reactor.run()
