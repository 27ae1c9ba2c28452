"""The gateway daemon: serves the ports and runs the decision core."""

from os import urandom
from random import Random
from signal import SIGINT
from signal import signal
from signal import SIGTERM
from time import monotonic
from time import time
from typing import Any

from prometheus_client.twisted import MetricsResource
from twisted.web.resource import Resource
from twisted.web.server import Site

from magnoliaflow.adapters import httpports
from magnoliaflow.cluster.peers import peer_factory
from magnoliaflow.common.eventlog import log_event
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.eventlog import open_logger
from magnoliaflow.common.loop import reactor
from magnoliaflow.common.messages import Found
from magnoliaflow.common.messages import Message
from magnoliaflow.common.settings import EntryHost
from magnoliaflow.common.settings import Settings
from magnoliaflow.core.inputs import DrainRequested
from magnoliaflow.core.inputs import MessageArrived
from magnoliaflow.core.state import GatewayState
from magnoliaflow.daemons.gatewaycore import open_core
from magnoliaflow.ingress.auth import Tokens
from magnoliaflow.ingress.boundedsite import BoundedSite
from magnoliaflow.ingress.callerapi import CallerApi
from magnoliaflow.serving.shell import Shell

EXIT_DELAY_S = 0.5
ADAPTER_MODULES = (httpports,)
IDENTITY_BYTES = 4
# A body up to this many times the limit is read and gets a code; a connection
# that sends more is closed.
BODY_MARGIN = 2


class Gateway:
    """A gateway process."""

    def __init__(self, cfg: Settings, host: EntryHost) -> None:
        identity = f"{host.name}-{urandom(IDENTITY_BYTES).hex()}"
        self.cfg = cfg
        self.host = host
        self.logger = open_logger(f"gateway.{host.name}")
        state = GatewayState(
            cfg=cfg,
            host=host,
            identity=identity,
            rng=Random(identity),
            now=monotonic(),
            wall=time(),
        )
        self.shell = Shell(open_core(state), cfg, self.logger)
        self.shell.on_exit = self.exit
        self.api = CallerApi(self.shell, Tokens(cfg))
        self.ports: list[Any] = []

    def start(self) -> None:
        """Listen on the configured ports and start the shell."""
        host = self.host
        self.ports = [
            _listen(host, host.peer_port, peer_factory(self.on_message)),
            _listen(host, host.caller_port, self._caller_site()),
            _listen(host, host.metrics_port, self._metrics_site()),
        ]
        self.shell.start()
        log_event(
            self.logger,
            LogEvent.PROCESS_STARTED,
            identity=self.shell.core.state.identity,
            caller_address=host.caller_address,
        )

    def on_message(self, sender: str, message: Message) -> None:
        """Handle a message from a peer."""
        if isinstance(message, Found):
            self.api.receive_found(message)
            return
        self.shell.feed(MessageArrived(sender, message))

    def stop(self, *signal_args: Any) -> None:
        """Start to drain."""
        drain_s = self.cfg.timings.drain_s
        self.shell.feed(DrainRequested(reclaimed=False, seconds_left=drain_s))

    def exit(self) -> None:
        """Stop the reactor after a delay in which queued messages are sent."""
        _call_later(EXIT_DELAY_S, self._shut_down)

    def _shut_down(self) -> None:
        self.shell.stop()
        reactor.stop()

    def _caller_site(self) -> Site:
        limit = self.cfg.limits.body_bytes * BODY_MARGIN
        return BoundedSite(self.api.app.resource(), limit)

    def _metrics_site(self) -> Site:
        root = Resource()
        registry = self.shell.core.state.metrics.registry
        resource: Any = MetricsResource(registry=registry)
        root.putChild(b"metrics", resource)
        return Site(root)


def _listen(host: EntryHost, port: int, factory: Any) -> Any:
    return reactor.listenTCP(port, factory, interface=host.address)


def _call_later(delay_s: float, function: Any) -> None:
    reactor.callLater(delay_s, function)


def run_gateway(cfg: Settings, host_name: str) -> None:
    """Run a gateway; it drains and exits on SIGTERM or SIGINT."""
    gateway = Gateway(cfg, cfg.entry_host(host_name))
    gateway.start()

    def on_signal(*args: Any) -> None:
        reactor.callFromThread(gateway.stop)

    _call_later(0, lambda: signal(SIGTERM, on_signal))
    _call_later(0, lambda: signal(SIGINT, on_signal))
    reactor.run()
