"""The controller daemon: platform notices, hosts and model placement."""

from os import urandom
from signal import SIGINT
from signal import signal
from signal import SIGTERM
from typing import Any

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import LoopingCall

from magnoliaflow.errors import MagnoliaflowError
from magnoliaflow.eventlog import log_event
from magnoliaflow.eventlog import LogEvent
from magnoliaflow.eventlog import open_log
from magnoliaflow import httpports
from magnoliaflow.loop import reactor
from magnoliaflow.messages import HostNotice
from magnoliaflow.peers import PeerLinks
from magnoliaflow.ports import open_port
from magnoliaflow.settings import EntryHost
from magnoliaflow.settings import Settings

POLL_S = 0.25
UNKNOWN_NOTICE_S = 5.0
NOTICE_REPEAT_S = 1.0
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
        self.links = PeerLinks(self.identity)
        self.known: set[str] = set()
        self.polling = LoopingCall(self.poll)

    def start(self) -> None:
        """Begin to watch the platform."""
        self.polling.start(POLL_S)
        log_event(
            self.logger, LogEvent.PROCESS_STARTED, identity=self.identity
        )

    @inlineCallbacks
    def poll(self) -> Any:
        """Pass every reclaim that the platform shows on to gateways."""
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
            if listed.leaving and listed.name not in self.known:
                self.pass_on(listed.name, UNKNOWN_NOTICE_S)

    def pass_on(self, host: str, seconds_left: float) -> None:
        """Tell every gateway that a host leaves."""
        if host not in self.known:
            self.known.add(host)
            log_event(
                self.logger,
                LogEvent.HOST_NOTICED,
                host=host,
                seconds_left=seconds_left,
            )
        message = HostNotice(host, seconds_left)
        for entry in self.cfg.entry_hosts:
            self.links.send(entry.peer_address, message)

    def stop(self) -> None:
        """End: a controller has nothing in progress."""
        if self.polling.running:
            self.polling.stop()
        log_event(self.logger, LogEvent.PROCESS_STOPPED)
        reactor.stop()


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
