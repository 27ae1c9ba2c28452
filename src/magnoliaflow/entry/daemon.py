"""Entry daemon: listeners, followers, the tick loop and the drain."""

from collections.abc import Callable
from functools import partial
from json import dumps
from math import inf
from os import environ
from os import urandom
from pathlib import Path
from random import Random
import sys
from time import sleep
from typing import Any

from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import generate_latest
from twisted.internet.task import LoopingCall

from magnoliaflow.cluster.hostsettings import HostSettings
from magnoliaflow.cluster.peers import peer_factory
from magnoliaflow.cluster.peers import PeerLinks
from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.codec import decode_value
from magnoliaflow.common.codec import encode_value
from magnoliaflow.common.endpoints import is_endpoint
from magnoliaflow.common.errors import PortError
from magnoliaflow.common.errors import RecordError
from magnoliaflow.common.errors import SettingsError
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.eventlog import open_logger
from magnoliaflow.common.lifecycle import Phase
from magnoliaflow.common.logsink import LogSink
from magnoliaflow.common.loop import reactor
from magnoliaflow.common.messages import HostFact
from magnoliaflow.common.messages import Message
from magnoliaflow.entry.calls import CallHandler
from magnoliaflow.entry import capshares
from magnoliaflow.entry.directory import answer_directory
from magnoliaflow.entry.directory import answer_readiness
from magnoliaflow.entry.drain import Drain
from magnoliaflow.entry.duties import DutyLog
from magnoliaflow.entry.enginespeeds import speed_details
from magnoliaflow.entry.findings import FindingsSender
from magnoliaflow.entry.findings import hold_details
from magnoliaflow.entry.findings import holds_request
from magnoliaflow.entry.followers import ConfigFollower
from magnoliaflow.entry.followers import RegistrationFollower
from magnoliaflow.entry.heartbeats import handle_message
from magnoliaflow.entry.heartbeats import HeartbeatSender
from magnoliaflow.entry.limits import limit_details
from magnoliaflow.entry.listeners import Listeners
from magnoliaflow.entry import maintenance
from magnoliaflow.entry.orders import OrderDuty
from magnoliaflow.entry.reports import ReportSender
from magnoliaflow.entry.rolloutmessages import rollout_details
from magnoliaflow.entry.rolloutmessages import RolloutSender
from magnoliaflow.entry.rollouts import RolloutDuty
from magnoliaflow.entry.signals import SIGNALS
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.storeera import observe_store_era
from magnoliaflow.entry.storeera import store_details
from magnoliaflow.entry.streamorigins import origin_details
from magnoliaflow.entry.streamorigins import OriginLog
from magnoliaflow.entry.systems import ENTRY_SYSTEMS
from magnoliaflow.entry.usagecounts import UsageSender
from magnoliaflow.entry.usageduty import UsageDuty
from magnoliaflow.platform.cloud import CloudClient
from magnoliaflow.platform.headers import credential
from magnoliaflow.platform.headers import json_answer_headers
from magnoliaflow.platform.nodefile import PATH_VARIABLE
from magnoliaflow.platform.nodefile import read_host_settings
from magnoliaflow.platform.store import HOSTS_TOPIC
from magnoliaflow.platform.store import StoreClient
from magnoliaflow.policy.callermemory import caller_connections
from magnoliaflow.transport.inbound import InboundRequest
from magnoliaflow.transport.limits import ServerLimits
from magnoliaflow.transport.server import ServerFactory

SYSTEM_MODULES = (capshares, maintenance)
# A fifth of the shortest interval of a duty or system.
TICK_S = 0.05
# The store usually answers within milliseconds.  Two timeouts in a row leave
# the configuration fresh enough for requests with a key.
STORE_TIMEOUT_S = 1.0
# The cloud API may be slower than usual by a factor of 50.  The timeout is at
# most half of a lease.
CLOUD_TIMEOUT_S = 1.5
IDENTITY_BYTES = 4
# The settings file may be read while the platform writes it.
SETTINGS_RETRY_S = 0.5
SETTINGS_ATTEMPTS = 4
# Interval of peer discovery through the store while no peer is known.
DISCOVERY_INTERVAL_S = 5.0
FIRST_DISCOVERY_INTERVAL_S = 1.0
# Registrations of hosts a second, of all hosts together, when the store has
# lost them.
REGISTRATIONS_PER_S = 40.0
REGISTRATION_RETRY_S = 1.0
EXPLAIN_TARGET = b"/explain"
METRICS_CONTENT_TYPE = CONTENT_TYPE_LATEST.encode()


class EntryProcess:
    """One entry process."""

    def __init__(
        self,
        host_settings: HostSettings,
        path: Path,
        metrics_port: int,
        extra_share: float = 0.0,
    ) -> None:
        identity = f"{host_settings.host}-{urandom(IDENTITY_BYTES).hex()}"
        self.host_settings = host_settings
        self.path = path
        self.metrics_port = metrics_port
        sink = LogSink(sys.stdout.fileno())
        logger = open_logger(f"entry.{host_settings.host}", stream=sink)
        self.state = EntryState(
            host_settings,
            identity=identity,
            rng=Random(identity),
            logger=logger,
            extra_share=extra_share,
        )
        self.store = StoreClient(
            host_settings.store_address,
            timeout_s=STORE_TIMEOUT_S,
            on_era=partial(observe_store_era, self.state),
        )
        self.cloud = CloudClient(
            host_settings.cloud_address,
            host_settings.host,
            timeout_s=CLOUD_TIMEOUT_S,
            may_send=self.may_act,
        )
        links = PeerLinks(identity, on_failure=self.on_link_failure)
        self.heartbeat_sender = HeartbeatSender(self.state, links)
        self.report_sender = ReportSender(self.state, links)
        self.usage_sender = UsageSender(self.state, links)
        self.findings_sender = FindingsSender(self.state, links)
        self.rollout_sender = RolloutSender(self.state, links)
        self.state.origin_log = OriginLog(self.state, self.store)
        self.duty_log = DutyLog(self.state, self.store)
        self.rollout_duty = RolloutDuty(self.state, self.duty_log, self.store)
        self.usage_duty = UsageDuty(self.state, self.duty_log, self.cloud)
        self.order_duty = OrderDuty(self.state, self.cloud)
        self.server_limits = ServerLimits()
        self.caller_factory = ServerFactory(
            self.handle_call,
            self.server_limits,
            on_rejected=self.state.caller_log.record_rejection,
            buffers=self.state.buffers,
            max_connections=caller_connections(
                host_settings.descriptors,
                host_settings.caller_descriptor_share,
            ),
            name_account=self.name_account,
            on_crowded=self.state.caller_log.record_crowding,
        )
        metrics = self.state.metrics
        metrics.caller_bytes.set_function(lambda: self.state.buffers.total)
        metrics.caller_connections.set_function(
            lambda: len(self.caller_factory.open)
        )
        self.listeners = Listeners(self.state)
        self.ticker = LoopingCall(self.tick)
        self.next_discovery_at = 0.0
        self.is_registered = False
        self.registered_era = -1
        self.next_registration_at = 0.0

    def start(self) -> None:
        """Open the listeners and start the followers and the tick loop."""
        host_settings = self.host_settings
        default_limits = ServerLimits()
        state = self.state
        self.listeners.open(
            "callers", host_settings.caller_address, self.caller_factory
        )
        self.listeners.open(
            "peers",
            host_settings.peer_address,
            peer_factory(self.handle_message),
        )
        if host_settings.directory_address:
            self.listeners.open(
                "directory",
                host_settings.directory_address,
                ServerFactory(
                    lambda inbound: answer_directory(state, inbound),
                    default_limits,
                ),
            )
        if host_settings.ready_address:
            self.listeners.open(
                "readiness",
                host_settings.ready_address,
                ServerFactory(
                    lambda inbound: answer_readiness(state, inbound),
                    default_limits,
                ),
            )
        if self.metrics_port:
            self._listen_metrics()
        ConfigFollower(state, self.store).run().addErrback(self.on_failure)
        RegistrationFollower(state, self.store).run().addErrback(
            self.on_failure
        )
        self.ticker.start(TICK_S, now=True).addErrback(self.on_failure)
        state.log(
            LogEvent.PROCESS_STARTED,
            identity=state.identity,
            caller_address=host_settings.caller_address,
        )

    def _listen_metrics(self) -> None:
        host = self.host_settings.peer_address.rpartition(":")[0]
        self.listeners.open(
            "metrics",
            f"{host}:{self.metrics_port}",
            ServerFactory(self.answer_metrics, ServerLimits()),
            required=False,
        )

    def answer_metrics(self, inbound: InboundRequest) -> None:
        """Serve the metrics as text, and what is held back as JSON."""
        if inbound.target == EXPLAIN_TARGET:
            now = boot_time()
            holds = self.state.crash_judge.holds()
            rows = {
                "part": [
                    hold_details(hold, now)
                    for hold in holds
                    if not holds_request(hold)
                ],
                "request": [
                    hold_details(hold, now)
                    for hold in holds
                    if holds_request(hold)
                ],
                "limit": limit_details(self.state),
                "speed": speed_details(self.state),
                "rollout": rollout_details(self.state),
                "store": [store_details(self.state)],
                "streams": origin_details(self.state),
            }
            inbound.respond(
                200, json_answer_headers(None), dumps(rows).encode()
            )
            return
        body = generate_latest(self.state.metrics.registry)
        inbound.respond(200, [(b"Content-Type", METRICS_CONTENT_TYPE)], body)

    def handle_call(self, inbound: InboundRequest) -> None:
        """Handle a caller's request."""
        CallHandler(self.state, inbound).start()

    def handle_message(self, sender: str, message: Message) -> None:
        """Handle a peer's message."""
        handle_message(self.state, sender, message)

    def name_account(self, inbound: InboundRequest) -> str:
        """Return the account whose key a request names, '' if none."""
        route_table = self.state.route_table
        if route_table is None:
            return ""
        return route_table.keys.get(credential(inbound), "")

    def may_act(self, fence: int) -> bool:
        """Return whether a call of a duty may still be sent.

        ``fence`` is the one in the call; the lease may have expired since.
        """
        lease_manager = self.state.lease_manager
        return (
            lease_manager.holds(boot_time())
            and lease_manager.fence + 1 == fence
        )

    def on_link_failure(self, address: str, reason: str) -> None:
        """Log that messages to a peer were lost."""
        self.state.log(LogEvent.LINK_SILENT, address=address, reason=reason)

    def on_failure(self, failure: Any) -> None:
        """Log an unexpected error in a loop and stop the process."""
        self.state.log(
            LogEvent.SYSTEM_FAILED, reason=failure.getTraceback()[-2000:]
        )
        reactor.callLater(0, reactor.stop)

    def tick(self) -> None:
        """Run every system and duty."""
        now = boot_time()
        state = self.state
        if state.route_table is not None:
            limits = state.route_table.limits
            self.server_limits.max_head_bytes = limits.max_head_bytes
            self.server_limits.max_body_bytes = limits.max_body_bytes
            self.server_limits.head_timeout_s = limits.head_timeout_s
            self.server_limits.idle_timeout_s = limits.idle_timeout_s
        self._run("heartbeats", self.heartbeat_sender.tick, now)
        self._run("reports", self.report_sender.tick, now)
        self._run("usage counts", self.usage_sender.tick, now)
        self._run("findings", self.findings_sender.tick, now)
        self._run("roll-out messages", self.rollout_sender.tick, now)
        self._run("registration", self._register, now)
        self._run("discovery", self._discover_peers, now)
        for _, name, function in ENTRY_SYSTEMS:
            self._run(name, function, state)
        self._run("stream records", state.origin_log.tick, now)
        self._run("duty log", self.duty_log.tick, now)
        self._run("rollout duty", self.rollout_duty.tick, now)
        if self.host_settings.reports_usage:
            self._run("usage duty", self.usage_duty.tick, now)
        if self.host_settings.orders_engines:
            self._run("order duty", self.order_duty.tick, now)

    def _run(
        self, place: str, function: Callable[[Any], Any], argument: Any
    ) -> None:
        """Run one part of a tick; an error in it does not stop the others."""
        try:
            function(argument)
        except Exception as exc:
            self.state.record_fault(place, exc)

    def _register(self, now: float) -> None:
        """Write this host's addresses to the store, in each of its eras."""
        state = self.state
        if state.store_era > self.registered_era:
            spread_s = 0.0
            if self.registered_era > 0:
                spread_s = state.host_count() / REGISTRATIONS_PER_S
            self.registered_era = state.store_era
            self.next_registration_at = now + state.rng.random() * spread_s
        if now < self.next_registration_at:
            return
        self.next_registration_at = now + REGISTRATION_RETRY_S
        self.store.put(
            HOSTS_TOPIC,
            self.host_settings.host,
            encode_value(state.own_fact(now)),
        ).addCallbacks(self._on_registered, self._on_discovery_failure)

    def _on_registered(self, offset: int) -> None:
        self.next_registration_at = inf
        self.registered_era = self.state.store_era
        if self.is_registered:
            self.state.log(
                LogEvent.RECORD_WRITTEN_AGAIN,
                record="host",
                era=self.registered_era,
            )
        self.is_registered = True

    def _discover_peers(self, now: float) -> None:
        """Find peers through the store while none is heard.

        Hosts that start together read the topic again soon, since the first
        ones find few others there.
        """
        state = self.state
        isolated = not state.peers and (
            now - state.view.last_view_at > DISCOVERY_INTERVAL_S
            and not state.view.members
        )
        if now < self.next_discovery_at or not isolated:
            return
        first = self.next_discovery_at == 0.0
        self.next_discovery_at = now + (
            FIRST_DISCOVERY_INTERVAL_S if first else DISCOVERY_INTERVAL_S
        )
        self.store.read_newest(HOSTS_TOPIC).addCallbacks(
            self._add_discovered, self._on_discovery_failure
        )

    def _add_discovered(self, page: Any) -> None:
        now = boot_time()
        for entry in page.entries:
            try:
                fact = decode_value(HostFact, entry.value or b"")
            except RecordError as exc:
                self.state.log(LogEvent.RECORD_UNREADABLE, reason=str(exc))
                continue
            if not (
                is_endpoint(fact.peer_address)
                and is_endpoint(fact.caller_address)
            ):
                self.state.log(
                    LogEvent.RECORD_UNREADABLE,
                    reason=f"host {entry.key[:64]!r}: no IP:PORT address",
                )
                continue
            if fact.host != self.host_settings.host:
                self.state.peer_addresses.setdefault(fact.peer_address, now)
                self.state.view.meet(fact, now)

    def _on_discovery_failure(self, failure: Any) -> None:
        failure.trap(PortError)
        self.next_discovery_at = min(self.next_discovery_at, boot_time() + 1.0)
        self.state.log(LogEvent.LOG_DOWN, reason=failure.getErrorMessage())

    def reload(self, attempts: int = SETTINGS_ATTEMPTS) -> None:
        """Reload the settings; an invalid file changes nothing.

        It is read again a few times.
        """
        try:
            host_settings = read_host_settings(self.path)
        except SettingsError as exc:
            self.state.log(LogEvent.SETTINGS_RELOADED, fault=str(exc))
            if attempts > 1:
                reactor.callLater(SETTINGS_RETRY_S, self.reload, attempts - 1)
            return
        self.host_settings = host_settings
        self.state.host_settings = host_settings
        self.store.address = host_settings.store_address
        self.cloud.address = host_settings.cloud_address
        self.state.log(LogEvent.SETTINGS_RELOADED, fault="")

    def start_drain(self) -> None:
        """Finish what callers have sent, then stop."""
        if self.state.phase >= Phase.DRAINING:
            return
        if self.state.phase is Phase.STARTING:
            self.state.lifecycle.ready()
        self.state.lifecycle.drain()
        Drain(
            self.state,
            self.caller_factory,
            close_listener=partial(self.listeners.close, "callers"),
            announce=self._announce,
            stop=reactor.stop,
        ).start()

    def _announce(self, now: float) -> None:
        """Send the other hosts this one's state and usage."""
        self.heartbeat_sender.send_round(now)
        self.rollout_sender.send_counts(now)
        if self.state.uses_groups():
            self.report_sender.send_round(now)
            self.usage_sender.send(now)


def run_entry(
    path: Path | None = None,
    metrics_port: int = 0,
    extra_share: float = 0.0,
) -> None:
    """Run an entry process until it is stopped.

    Raises SettingsError if the settings are missing or invalid.
    """
    if path is None:
        name = environ.get(PATH_VARIABLE, "")
        if not name:
            raise SettingsError(
                f"{PATH_VARIABLE} is not set; set it to the path of the "
                "settings file"
            )
        path = Path(name)
    SIGNALS.install()
    process = EntryProcess(
        _await_settings(path), path, metrics_port, extra_share
    )
    reactor.callWhenRunning(process.start)
    reactor.callWhenRunning(
        SIGNALS.attach,
        on_stop=partial(reactor.callFromThread, process.start_drain),
        on_reload=partial(reactor.callFromThread, process.reload),
    )
    if SIGNALS.stop_requested():
        process.state.log(LogEvent.PROCESS_STOPPED, in_flight=0)
        return
    reactor.run(installSignalHandlers=False)


def _await_settings(path: Path) -> HostSettings:
    """Return the settings; a file that is invalid is read again for a time.

    Raises SettingsError if it stays invalid.
    """
    for _ in range(SETTINGS_ATTEMPTS - 1):
        try:
            return read_host_settings(path)
        except SettingsError as exc:
            print(f"{exc}; reading it again", file=sys.stderr)
            sleep(SETTINGS_RETRY_S)
    return read_host_settings(path)
