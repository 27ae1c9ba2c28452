"""The entry daemon: listens, follows the platform, serves, and leaves."""

from os import environ
from os import urandom
from pathlib import Path
from random import Random
from signal import SIGHUP
from signal import SIGINT
from signal import signal
from signal import SIGTERM
import sys
from typing import Any

from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import generate_latest
from twisted.internet.task import LoopingCall

from magnoliaflow.cluster.hostsettings import HostSettings
from magnoliaflow.cluster.peers import peer_factory
from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.errors import PortError
from magnoliaflow.common.errors import SettingsError
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.eventlog import open_log
from magnoliaflow.common.lifecycle import Phase
from magnoliaflow.common.logsink import LogSink
from magnoliaflow.common.loop import reactor
from magnoliaflow.common.messages import Message
from magnoliaflow.entry.beats import BeatSender
from magnoliaflow.entry.beats import take_message
from magnoliaflow.entry.calls import CallRun
from magnoliaflow.entry import capshares
from magnoliaflow.entry.directory import answer_directory
from magnoliaflow.entry.directory import answer_readiness
from magnoliaflow.entry.duties import DutyLog
from magnoliaflow.entry.duties import UsageDuty
from magnoliaflow.entry.follow import ConfigFollower
from magnoliaflow.entry.follow import FleetFollower
from magnoliaflow.entry.orders import OrderDuty
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.ticks import ENTRY_SYSTEMS
from magnoliaflow.entry import upkeep
from magnoliaflow.platform.cloud import CloudClient
from magnoliaflow.platform.nodefile import PATH_VARIABLE
from magnoliaflow.platform.nodefile import read_host_settings
from magnoliaflow.platform.store import HOSTS_TOPIC
from magnoliaflow.platform.store import StoreClient
from magnoliaflow.transport.server import InboundRequest
from magnoliaflow.transport.server import ServerFactory
from magnoliaflow.transport.server import ServerLimits

SYSTEM_MODULES = (capshares, upkeep)
# Period of the systems: a fifth of the shortest period that one of them has.
TICK_S = 0.05
# The store answers in some ms; a call that takes a second is given up, so
# that two in a row leave the configuration fresh enough for keys.
STORE_TIMEOUT_S = 1.0
# The API may be slow by a factor of fifty; half of a lease at the most.
CLOUD_TIMEOUT_S = 1.5
IDENTITY_BYTES = 4
# Callers go on to this host until the directory's answers have aged out
# three times over; it still listens for that long.
LEAVE_LISTEN_S = 3.3
# Part of the grace period after which what is left is broken off.
LEAVE_SHARE = 0.92
# Period of the looks whether a leaving process may end.
LEAVE_LOOK_S = 0.1
# New connections that wait for the process while it is busy.
LISTEN_BACKLOG = 1024
# Period of the looks into the store for other hosts while none is heard.
MEET_PERIOD_S = 5.0
METRICS_TYPE = CONTENT_TYPE_LATEST.encode()


class Entry:
    """One entry process."""

    def __init__(
        self, site: HostSettings, path: Path, metrics_port: int
    ) -> None:
        identity = f"{site.host}-{urandom(IDENTITY_BYTES).hex()}"
        self.site = site
        self.path = path
        self.metrics_port = metrics_port
        sink = LogSink(sys.stdout.fileno())
        logger = open_log(f"entry.{site.host}", stream=sink)
        self.state = EntryState(
            site, identity=identity, rng=Random(identity), logger=logger
        )
        self.store = StoreClient(site.store_address, timeout_s=STORE_TIMEOUT_S)
        self.cloud = CloudClient(
            site.cloud_address, site.host, timeout_s=CLOUD_TIMEOUT_S
        )
        self.beats = BeatSender(self.state)
        self.duty_log = DutyLog(self.state, self.store)
        self.usage = UsageDuty(self.state, self.duty_log, self.cloud)
        self.orders = OrderDuty(self.state, self.cloud)
        self.limits = ServerLimits()
        self.callers = ServerFactory(
            self.take_call, self.limits, on_rejected=self.note_rejected
        )
        self.listeners: list[Any] = []
        self.ticker = LoopingCall(self.tick)
        self.meet_at = 0.0
        self.leave_began = 0.0

    def start(self) -> None:
        """Listen where settings say, and begin to follow the platform."""
        site = self.site
        plain = ServerLimits()
        state = self.state
        self._listen(site.caller_address, self.callers)
        self._listen(site.peer_address, peer_factory(self.take_message))
        if site.directory_address:
            self._listen(
                site.directory_address,
                ServerFactory(lambda row: answer_directory(state, row), plain),
            )
        if site.ready_address:
            self._listen(
                site.ready_address,
                ServerFactory(lambda row: answer_readiness(state, row), plain),
            )
        if self.metrics_port:
            self._listen_metrics()
        ConfigFollower(state, self.store).run().addErrback(self.failed)
        FleetFollower(state, self.store).run().addErrback(self.failed)
        self.ticker.start(TICK_S, now=True).addErrback(self.failed)
        state.log(
            LogEvent.PROCESS_STARTED,
            identity=state.identity,
            caller_address=site.caller_address,
        )

    def _listen(self, address: str, factory: Any) -> None:
        host, _, port = address.rpartition(":")
        self.listeners.append(
            reactor.listenTCP(
                int(port), factory, backlog=LISTEN_BACKLOG, interface=host
            )
        )

    def _listen_metrics(self) -> None:
        host = self.site.peer_address.rpartition(":")[0]
        self._listen(
            f"{host}:{self.metrics_port}",
            ServerFactory(self.answer_metrics, ServerLimits()),
        )

    def answer_metrics(self, inbound: InboundRequest) -> None:
        """Serve counters and histograms as text."""
        body = generate_latest(self.state.metrics.registry)
        inbound.respond(200, [(b"Content-Type", METRICS_TYPE)], body)

    def take_call(self, inbound: InboundRequest) -> None:
        """Serve a caller's request."""
        CallRun(self.state, inbound).start()

    def take_message(self, sender: str, message: Message) -> None:
        """Take a peer's message in."""
        take_message(self.state, sender, message)

    def note_rejected(self, status: int) -> None:
        """Count bytes that are no request."""
        self.state.metrics.refusals.labels(f"HTTP_{status}").inc()
        self.state.log(LogEvent.CALL_REJECTED, status=status)

    def failed(self, failure: Any) -> None:
        """End a process one of whose loops has a fault."""
        self.state.log(
            LogEvent.SYSTEM_FAILED, reason=failure.getTraceback()[-2000:]
        )
        reactor.callLater(0, reactor.stop)

    def tick(self) -> None:
        """Run every system."""
        now = boot_time()
        state = self.state
        if state.book is not None:
            limits = state.book.limits
            self.limits.head_bytes = limits.head_bytes
            self.limits.body_bytes = limits.body_bytes
            self.limits.head_s = limits.head_s
            self.limits.idle_s = limits.idle_s
        self.beats.step(now)
        self._meet(now)
        for _, _, function in ENTRY_SYSTEMS:
            function(state)
        self.duty_log.step(now)
        if self.site.reports_usage:
            self.usage.step(now)
        if self.site.orders_engines:
            self.orders.step(now)

    def _meet(self, now: float) -> None:
        """Find other hosts through the store while none is heard."""
        if now < self.meet_at or self.state.hosts:
            return
        first = self.meet_at == 0.0
        self.meet_at = now + MEET_PERIOD_S
        address = self.site.peer_address
        if first:
            self.store.put(
                HOSTS_TOPIC, self.site.host, address.encode()
            ).addCallbacks(lambda _: None, self._meet_failed)
        self.store.read_newest(HOSTS_TOPIC).addCallbacks(
            self._met, self._meet_failed
        )

    def _met(self, page: Any) -> None:
        now = boot_time()
        for entry in page.entries:
            address = (entry.value or b"").decode("latin-1")
            if address and address != self.site.peer_address:
                self.state.peer_addresses.setdefault(address, now)

    def _meet_failed(self, failure: Any) -> None:
        failure.trap(PortError)
        self.meet_at = min(self.meet_at, boot_time() + 1.0)
        self.state.log(LogEvent.LOG_DOWN, reason=failure.getErrorMessage())

    def reload(self) -> None:
        """Read the settings again; a faulty file changes nothing."""
        try:
            site = read_host_settings(self.path)
        except SettingsError as exc:
            self.state.log(LogEvent.SETTINGS_RELOADED, fault=str(exc))
            return
        self.site = site
        self.state.site = site
        self.store.address = site.store_address
        self.cloud.address = site.cloud_address
        self.state.log(LogEvent.SETTINGS_RELOADED, fault="")

    def leave(self) -> None:
        """Take no new callers, finish what is in progress, and end."""
        if self.state.phase >= Phase.DRAINING:
            return
        if self.state.phase is Phase.STARTING:
            self.state.life.ready()
        self.state.life.drain()
        self.leave_began = boot_time()
        self.callers.drain()
        self.beats.send_round(self.leave_began)
        self.state.log(
            LogEvent.PROCESS_DRAINING, in_flight=len(self.state.calls)
        )
        self._look_to_end()

    def _look_to_end(self) -> None:
        """End when nothing is left, or the grace period nearly over."""
        took = boot_time() - self.leave_began
        most = self.site.grace_s * LEAVE_SHARE
        if took >= min(LEAVE_LISTEN_S, most):
            self.listeners[0].stopListening()
            for conn in list(self.callers.connections):
                conn.close_if_idle()
            if not self.callers.connections or took >= most:
                self.state.log(
                    LogEvent.PROCESS_STOPPED, in_flight=len(self.state.calls)
                )
                reactor.callLater(LEAVE_LOOK_S, reactor.stop)
                return
        reactor.callLater(LEAVE_LOOK_S, self._look_to_end)


def run_entry(path: Path | None = None, metrics_port: int = 0) -> None:
    """Run an entry process until it is stopped; raises SettingsError."""
    if path is None:
        name = environ.get(PATH_VARIABLE, "")
        if not name:
            raise SettingsError(
                f"{PATH_VARIABLE} is not set; name the settings file in it"
            )
        path = Path(name)
    entry = Entry(read_host_settings(path), path, metrics_port)
    reactor.callWhenRunning(entry.start)

    def on_stop(*args: Any) -> None:
        reactor.callFromThread(entry.leave)

    def on_reload(*args: Any) -> None:
        reactor.callFromThread(entry.reload)

    reactor.callWhenRunning(signal, SIGTERM, on_stop)
    reactor.callWhenRunning(signal, SIGINT, on_stop)
    reactor.callWhenRunning(signal, SIGHUP, on_reload)
    reactor.run(installSignalHandlers=False)
