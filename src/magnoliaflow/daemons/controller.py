"""The controller daemon: reclaim notices, hosts and engine orders."""

from os import urandom
from signal import SIGINT
from signal import signal
from signal import SIGTERM
from time import monotonic
from time import time
from typing import Any

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import LoopingCall

from magnoliaflow.adapters import httpports
from magnoliaflow.cluster.leasemanager import LeaseManager
from magnoliaflow.cluster.peers import PeerLinks
from magnoliaflow.common.codec import decode_record
from magnoliaflow.common.codec import encode_record
from magnoliaflow.common.errors import MagnoliaflowError
from magnoliaflow.common.errors import RecordError
from magnoliaflow.common.errors import RestoredError
from magnoliaflow.common.errors import StaleFenceError
from magnoliaflow.common.errors import StartRefusedError
from magnoliaflow.common.errors import TrimmedError
from magnoliaflow.common.eventlog import log_event
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.eventlog import open_logger
from magnoliaflow.common.loop import reactor
from magnoliaflow.common.messages import HostNotice
from magnoliaflow.common.ports import EngineOrder
from magnoliaflow.common.ports import LoadReport
from magnoliaflow.common.ports import open_port
from magnoliaflow.common.settings import BackendServer
from magnoliaflow.common.settings import EntryHost
from magnoliaflow.common.settings import Settings
from magnoliaflow.policy.fleet import hosts_wanted
from magnoliaflow.policy.fleet import order_needed
from magnoliaflow.policy.fleet import Supply
from magnoliaflow.policy.replacement import HostStart
from magnoliaflow.policy.replacement import Replacement

POLL_INTERVAL_S = 0.25
FLEET_INTERVAL_S = 1.0
ASSUMED_NOTICE_S = 5.0
NOTICE_RETENTION_S = 30.0
LEASE_STREAM = "leases"
LEASE_NAME = "fleet"
ADAPTER_MODULES = (httpports,)


class Controller:
    """A controller process."""

    def __init__(self, cfg: Settings, host: EntryHost) -> None:
        self.cfg = cfg
        self.host = host
        self.identity = f"controller-{host.name}-{urandom(4).hex()}"
        self.logger = open_logger(f"controller.{host.name}")
        name = cfg.platform.adapter
        self.cloud = open_port(name, "cloud", cfg.platform.cloud)
        self.host_list = open_port(name, "host_list", cfg.platform.host_list)
        self.log_port = open_port(name, "log", cfg.platform.log)
        self.weights = open_port(
            name, "weight_store", cfg.platform.weight_store
        )
        self.models = [
            server for server in cfg.backend_servers if server.kind == "model"
        ]
        self.engines = {
            server.name: open_port(name, "model_engine", server.address)
            for server in self.models
        }
        self.links = PeerLinks(self.identity)
        self.leaving: dict[str, float] = {}
        self.next_offset = 0
        self.log_era = 0
        self.lease_held = False
        self.replacement = Replacement(fence=-1)
        self.lease_manager = LeaseManager(
            name=LEASE_NAME,
            holder=self.identity,
            ttl_s=cfg.timings.lease_ttl_s,
            margin_s=cfg.timings.lease_margin_s,
        )
        self.loops = [
            (LoopingCall(self.poll_notices), POLL_INTERVAL_S),
            (LoopingCall(self.maintain_lease), POLL_INTERVAL_S),
            (LoopingCall(self.manage_fleet), FLEET_INTERVAL_S),
        ]

    def start(self) -> None:
        """Start the periodic tasks."""
        for loop, interval_s in self.loops:
            loop.start(interval_s)
        log_event(
            self.logger, LogEvent.PROCESS_STARTED, identity=self.identity
        )

    @inlineCallbacks
    def poll_notices(self) -> Any:
        """Announce the reclaims that the platform reports to the gateways."""
        self.expire_notices()
        try:
            notices = yield self.cloud.notices()
        except MagnoliaflowError:
            notices = ()
        for notice in notices:
            if notice.seconds_left > 0:
                self.announce_reclaim(notice.host, notice.seconds_left)
        try:
            hosts = yield self.host_list.hosts()
        except MagnoliaflowError:
            hosts = ()
        for listed in hosts:
            if listed.leaving and listed.name not in self.leaving:
                self.announce_reclaim(listed.name, ASSUMED_NOTICE_S)

    def expire_notices(self) -> None:
        """Forget past reclaims, because a host may have come back."""
        oldest = monotonic() - NOTICE_RETENTION_S
        self.leaving = {
            host: reclaimed_at
            for host, reclaimed_at in self.leaving.items()
            if reclaimed_at > oldest
        }

    def announce_reclaim(self, host: str, seconds_left: float) -> None:
        """Tell every gateway that a host will be reclaimed."""
        if host not in self.leaving:
            log_event(
                self.logger,
                LogEvent.HOST_NOTICED,
                host=host,
                seconds_left=seconds_left,
            )
        self.leaving[host] = monotonic() + seconds_left
        message = HostNotice(host, seconds_left)
        for entry in self.cfg.entry_hosts:
            self.links.send(entry.peer_address, message)

    @inlineCallbacks
    def maintain_lease(self) -> Any:
        """Read the lease stream; claim or renew the lease when due."""
        try:
            yield self._read_leases()
            record = self.lease_manager.tick(monotonic(), time())
            if record is not None:
                data = encode_record(record)
                yield self.log_port.append(LEASE_STREAM, (data,))
        except MagnoliaflowError:
            pass
        self._apply_lease_state()

    @inlineCallbacks
    def _read_leases(self) -> Any:
        try:
            page = yield self.log_port.read(
                LEASE_STREAM, self.next_offset, self.log_era
            )
        except RestoredError as exc:
            log_event(
                self.logger,
                LogEvent.STORE_RESTORED,
                stream=LEASE_STREAM,
                era=exc.era,
                previous=self.log_era,
                next_offset=self.next_offset,
            )
            self.log_era = exc.era
            self.next_offset = 0
            self.lease_manager.begin_era(exc.era, monotonic(), wait=True)
            return
        except TrimmedError as exc:
            self.next_offset = exc.first_offset
            return
        for entry in page.records:
            self.next_offset = entry.offset + 1
            try:
                record = decode_record(entry.data)
            except RecordError:
                continue
            self.lease_manager.apply(entry.offset, record, monotonic())

    def _apply_lease_state(self) -> None:
        """Log a change of the lease; reset the replacement on a new fence."""
        holds = self.lease_manager.holds(monotonic())
        if holds and self.replacement.fence != self.lease_manager.fence:
            self.replacement = Replacement(fence=self.lease_manager.fence)
        if holds == self.lease_held:
            return
        self.lease_held = holds
        event = LogEvent.LEASE_ACQUIRED if holds else LogEvent.LEASE_LOST
        log_event(self.logger, event, fence=self.lease_manager.fence)

    def holds_lease(self) -> bool:
        """Return whether this process holds the lease now."""
        return self.lease_manager.holds(monotonic())

    @inlineCallbacks
    def manage_fleet(self) -> Any:
        """Replace lost hosts and order engines while the lease is held."""
        if not self.holds_lease():
            return
        reports = yield self._fetch_reports()
        try:
            yield self._replace_hosts(reports)
        except MagnoliaflowError:
            pass
        for server in self.models:
            if server.name in reports:
                yield self._order_engine(server)

    @inlineCallbacks
    def _fetch_reports(self) -> Any:
        """Return the load reports of the engines that answer."""
        reports: dict[str, LoadReport] = {}
        for server in self.models:
            try:
                reports[server.name] = yield self.engines[server.name].report()
            except MagnoliaflowError:
                continue
        return reports

    @inlineCallbacks
    def _replace_hosts(self, reports: dict[str, LoadReport]) -> Any:
        """Request the missing hosts from the cloud."""
        offers = yield self.cloud.offers()
        listed = yield self.cloud.started()
        supplies = tuple(
            Supply(server.zone, server.machine_class, 1, 0)
            for server in self.models
            if server.name in reports and server.host not in self.leaving
        ) + tuple(
            Supply(host.zone, host.machine_class, 0, 1) for host in listed
        )
        starts = self.replacement.plan(
            wanted=required_hosts(self.cfg, self.models, reports),
            supplies=supplies,
            offers=offers,
            listed=listed,
            now=monotonic(),
        )
        for start in starts:
            if self.holds_lease():
                yield self._start_host(start)

    @inlineCallbacks
    def _start_host(self, start: HostStart) -> Any:
        log_event(
            self.logger,
            LogEvent.HOST_START_ASKED,
            tag=start.tag,
            zone=start.offer.zone,
            machine_class=start.offer.machine_class,
        )
        try:
            yield self.cloud.start(start.tag, start.offer)
        except StartRefusedError:
            log_event(self.logger, LogEvent.HOST_START_REFUSED, tag=start.tag)
            self.replacement.record_refusal(start, monotonic())
        except MagnoliaflowError:
            return
        else:
            self.replacement.record_start(start)

    @inlineCallbacks
    def _order_engine(self, server: BackendServer) -> Any:
        """Order one engine to its desired state, unless it is in it."""
        if not server.checks_fencing:
            if not self.lease_manager.previous_orders_expired(monotonic()):
                return
        engine = self.engines[server.name]
        desired = EngineOrder(-1, (server.backend,), "mixed")
        try:
            current = yield engine.state()
            order = order_needed(current, desired, self.lease_manager.fence)
            if order is None:
                return
            wait_s = yield self.weights.reserve(server.backend)
            if wait_s > 0 or not self.holds_lease():
                return
            yield engine.order(order)
        except StaleFenceError:
            log_event(self.logger, LogEvent.ORDER_FENCED, engine=server.name)
        except MagnoliaflowError:
            return
        else:
            log_event(
                self.logger,
                LogEvent.ORDER_SENT,
                engine=server.name,
                fence=order.fence,
            )

    def stop(self) -> None:
        """Stop at once, since a controller has no work to drain."""
        for loop, _ in self.loops:
            if loop.running:
                loop.stop()
        log_event(self.logger, LogEvent.PROCESS_STOPPED)
        reactor.stop()


def required_hosts(
    cfg: Settings,
    models: list[BackendServer],
    reports: dict[str, LoadReport],
) -> int:
    """Return the number of engine hosts that the current load needs.

    It is at least the number of hosts in the settings.
    """
    load = sum(
        (report.running + report.waiting) / server.slots
        for server in models
        if (report := reports.get(server.name)) is not None
    )
    zones = len({server.zone for server in models})
    required = hosts_wanted(
        load=load,
        host_capacity=1.0,
        zones=zones,
        headroom=cfg.limits.zone_headroom,
    )
    return max(required, len({server.host for server in models}))


def run_controller(cfg: Settings, host_name: str) -> None:
    """Run a controller until it receives SIGTERM or SIGINT."""
    controller = Controller(cfg, cfg.entry_host(host_name))
    controller.start()

    def on_signal(*args: Any) -> None:
        reactor.callFromThread(controller.stop)

    def install() -> None:
        signal(SIGTERM, on_signal)
        signal(SIGINT, on_signal)

    reactor.callLater(0, install)
    reactor.run()
