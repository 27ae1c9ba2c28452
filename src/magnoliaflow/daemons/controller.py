"""The controller daemon: platform notices, hosts and model placement."""

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
from magnoliaflow.common.errors import StaleFenceError
from magnoliaflow.common.errors import StartRefusedError
from magnoliaflow.common.errors import TrimmedError
from magnoliaflow.common.eventlog import log_event
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.eventlog import open_log
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
from magnoliaflow.policy.replacement import Replacement
from magnoliaflow.policy.replacement import Start

POLL_S = 0.25
FLEET_S = 1.0
UNKNOWN_NOTICE_S = 5.0
NOTICE_KEPT_S = 30.0
LEASE_STREAM = "leases"
LEASE_NAME = "fleet"
ADAPTER_MODULES = (httpports,)


class Controller:
    """One controller process."""

    def __init__(self, cfg: Settings, host: EntryHost) -> None:
        self.cfg = cfg
        self.host = host
        self.identity = f"controller-{host.name}-{urandom(4).hex()}"
        self.logger = open_log(f"controller.{host.name}")
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
        self.held = False
        self.replacement = Replacement(fence=-1)
        self.keeper = LeaseManager(
            name=LEASE_NAME,
            holder=self.identity,
            ttl_s=cfg.timings.lease_ttl_s,
            margin_s=cfg.timings.lease_margin_s,
        )
        self.loops = [
            (LoopingCall(self.poll), POLL_S),
            (LoopingCall(self.keep_lease), POLL_S),
            (LoopingCall(self.care_for_fleet), FLEET_S),
        ]

    def start(self) -> None:
        """Begin to watch the platform."""
        for loop, period_s in self.loops:
            loop.start(period_s)
        log_event(
            self.logger, LogEvent.PROCESS_STARTED, identity=self.identity
        )

    @inlineCallbacks
    def poll(self) -> Any:
        """Pass every reclaim that the platform shows on to gateways."""
        self.forget_notices()
        try:
            notices = yield self.cloud.notices()
        except MagnoliaflowError:
            notices = ()
        for notice in notices:
            if notice.seconds_left > 0:
                self.pass_on(notice.host, notice.seconds_left)
        try:
            hosts = yield self.host_list.hosts()
        except MagnoliaflowError:
            hosts = ()
        for listed in hosts:
            if listed.leaving and listed.name not in self.leaving:
                self.pass_on(listed.name, UNKNOWN_NOTICE_S)

    def forget_notices(self) -> None:
        """Forget reclaims that are over: a host may have come back."""
        oldest = monotonic() - NOTICE_KEPT_S
        self.leaving = {
            host: until
            for host, until in self.leaving.items()
            if until > oldest
        }

    def pass_on(self, host: str, seconds_left: float) -> None:
        """Tell every gateway that a host leaves."""
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
    def keep_lease(self) -> Any:
        """Read the lease stream on; claim or renew when it is time."""
        try:
            yield self._read_leases()
            record = self.keeper.tick(monotonic(), time())
            if record is not None:
                data = encode_record(record)
                yield self.log_port.append(LEASE_STREAM, (data,))
        except MagnoliaflowError:
            pass
        self._note_lease()

    @inlineCallbacks
    def _read_leases(self) -> Any:
        try:
            page = yield self.log_port.read(LEASE_STREAM, self.next_offset)
        except TrimmedError as exc:
            self.next_offset = exc.first_offset
            return
        for item in page.records:
            self.next_offset = item.offset + 1
            try:
                record = decode_record(item.data)
            except RecordError:
                continue
            self.keeper.apply(item.offset, record, monotonic())

    def _note_lease(self) -> None:
        """Log a change of the lease, and begin with a fresh fence."""
        holds = self.keeper.holds(monotonic())
        if holds and self.replacement.fence != self.keeper.fence:
            self.replacement = Replacement(fence=self.keeper.fence)
        if holds == self.held:
            return
        self.held = holds
        event = LogEvent.LEASE_ACQUIRED if holds else LogEvent.LEASE_LOST
        log_event(self.logger, event, fence=self.keeper.fence)

    def may_act(self) -> bool:
        """Return whether the lease allows an act at this moment."""
        return self.keeper.holds(monotonic())

    @inlineCallbacks
    def care_for_fleet(self) -> Any:
        """Replace lost hosts and order models, while the lease is held."""
        if not self.may_act():
            return
        reports = yield self._reports()
        try:
            yield self._replace_hosts(reports)
        except MagnoliaflowError:
            pass
        for server in self.models:
            if server.name in reports:
                yield self._order(server)

    @inlineCallbacks
    def _reports(self) -> Any:
        """Return the load report of each engine that answers."""
        reports: dict[str, LoadReport] = {}
        for server in self.models:
            try:
                reports[server.name] = yield self.engines[server.name].report()
            except MagnoliaflowError:
                continue
        return reports

    @inlineCallbacks
    def _replace_hosts(self, reports: dict[str, LoadReport]) -> Any:
        """Ask the cloud for the hosts that are missing."""
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
            wanted=wanted_hosts(self.cfg, self.models, reports),
            supplies=supplies,
            offers=offers,
            listed=listed,
            now=monotonic(),
        )
        for start in starts:
            if self.may_act():
                yield self._start_host(start)

    @inlineCallbacks
    def _start_host(self, start: Start) -> Any:
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
            self.replacement.refused(start, monotonic())
        except MagnoliaflowError:
            return
        else:
            self.replacement.started(start)

    @inlineCallbacks
    def _order(self, server: BackendServer) -> Any:
        """Bring one engine to its desired end, if it is not there."""
        if not server.checks_fencing:
            if not self.keeper.previous_orders_expired(monotonic()):
                return
        engine = self.engines[server.name]
        desired = EngineOrder(-1, (server.backend,), "mixed")
        try:
            current = yield engine.state()
            order = order_needed(current, desired, self.keeper.fence)
            if order is None:
                return
            wait_s = yield self.weights.reserve(server.backend)
            if wait_s > 0 or not self.may_act():
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
        """End: a controller has nothing in progress."""
        for loop, _ in self.loops:
            if loop.running:
                loop.stop()
        log_event(self.logger, LogEvent.PROCESS_STOPPED)
        reactor.stop()


def wanted_hosts(
    cfg: Settings,
    models: list[BackendServer],
    reports: dict[str, LoadReport],
) -> int:
    """Return how many engine hosts the present load asks for.

    Never fewer than settings name.
    """
    used = sum(
        (report.running + report.waiting) / server.slots
        for server in models
        if (report := reports.get(server.name)) is not None
    )
    zones = len({server.zone for server in models})
    wanted = hosts_wanted(
        load=used,
        host_capacity=1.0,
        zones=zones,
        headroom=cfg.limits.zone_headroom,
    )
    return max(wanted, len({server.host for server in models}))


def run_controller(cfg: Settings, host_name: str) -> None:
    """Run a controller until it is told to leave."""
    controller = Controller(cfg, cfg.entry_host(host_name))
    controller.start()

    def on_signal(*args: Any) -> None:
        reactor.callFromThread(controller.stop)

    def install() -> None:
        signal(SIGTERM, on_signal)
        signal(SIGINT, on_signal)

    reactor.callLater(0, install)
    reactor.run()
