"""I/O shell of a decision core: feeds inputs and executes commands."""

from collections.abc import Callable
from logging import Logger
from time import monotonic
from time import time
from typing import Any

from twisted.internet.defer import CancelledError
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater
from twisted.internet.task import LoopingCall

from magnoliaflow.cluster.peers import PeerLinks
from magnoliaflow.common.codec import decode_record
from magnoliaflow.common.codec import encode_record
from magnoliaflow.common.errors import MagnoliaflowError
from magnoliaflow.common.errors import NotStartedError
from magnoliaflow.common.errors import RecordError
from magnoliaflow.common.errors import RestoredError
from magnoliaflow.common.errors import TrimmedError
from magnoliaflow.common.eventlog import log_event
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.loop import reactor
from magnoliaflow.common.messages import NewsRecord
from magnoliaflow.common.ports import open_port
from magnoliaflow.common.ports import TokenPiece
from magnoliaflow.common.settings import Settings
from magnoliaflow.core.commands import Append
from magnoliaflow.core.commands import CallService
from magnoliaflow.core.commands import CancelAttempt
from magnoliaflow.core.commands import Exit
from magnoliaflow.core.commands import NotifyWaiters
from magnoliaflow.core.commands import ProbePeer
from magnoliaflow.core.commands import QueryStatus
from magnoliaflow.core.commands import ResumeAttempt
from magnoliaflow.core.commands import SendAddress
from magnoliaflow.core.commands import SendPeer
from magnoliaflow.core.commands import StartAttempt
from magnoliaflow.core.commands import WriteLog
from magnoliaflow.core.inputs import AppendEnded
from magnoliaflow.core.inputs import AttemptEnded
from magnoliaflow.core.inputs import CacheEventsArrived
from magnoliaflow.core.inputs import Ending
from magnoliaflow.core.inputs import EngineUnreachable
from magnoliaflow.core.inputs import Input
from magnoliaflow.core.inputs import LoadReportArrived
from magnoliaflow.core.inputs import PeerProbed
from magnoliaflow.core.inputs import RecordAtOffset
from magnoliaflow.core.inputs import RecordsRead
from magnoliaflow.core.inputs import ServiceAnswered
from magnoliaflow.core.inputs import StatusAnswered
from magnoliaflow.core.inputs import StreamRestored
from magnoliaflow.core.inputs import StreamTrimmed
from magnoliaflow.core.inputs import TokensArrived
from magnoliaflow.core.systems import Core
from magnoliaflow.serving.membership import make_heartbeat

READ_RETRY_DELAY_S = 0.25
MAX_FAILED_POLLS = 3
IDLE_POLL_INTERVAL_S = 1.0
Executor = Callable[["Shell", Any], Any]
EXECUTORS: dict[type, Executor] = {}


def executes(kind: type) -> Callable[[Executor], Executor]:
    """Register the executor of a command type."""

    def register(function: Executor) -> Executor:
        EXECUTORS[kind] = function
        return function

    return register


class Shell:
    """Performs the I/O of one core."""

    __slots__ = (
        "core",
        "on_changed",
        "on_exit",
        "links",
        "log_port",
        "logger",
        "running",
        "servers",
        "streams",
        "tick_scheduled",
        "ticker",
    )

    def __init__(self, core: Core, cfg: Settings, logger: Logger) -> None:
        self.core = core
        self.logger = logger
        self.on_changed: Callable[[str], None] = lambda request_id: None
        self.on_exit: Callable[[], None] = lambda: None
        self.links = PeerLinks(core.state.identity)
        name = cfg.platform.adapter
        self.log_port = open_port(name, "log", cfg.platform.log)
        ports = {"model": "model_engine", "service": "service"}
        self.servers = {
            server.name: open_port(name, ports[server.kind], server.address)
            for server in cfg.backend_servers
        }
        self.streams: dict[str, Any] = {}
        self.running = True
        self.tick_scheduled = False
        self.ticker = LoopingCall(self.tick)

    def start(self) -> None:
        """Start to tick, read the log and poll the engines."""
        timings = self.core.state.cfg.timings
        self.ticker.start(timings.tick_s, now=True)
        for stream in self.core.state.cursors:
            self._follow_stream(stream)
        for engine in self.core.state.routing.engines.values():
            if engine.cfg.kind == "model":
                self._poll_engine(engine.name, 0)

    def stop(self) -> None:
        """Stop ticking; I/O in progress is abandoned."""
        self.running = False
        if self.ticker.running:
            self.ticker.stop()

    def feed(self, core_input: Input) -> None:
        """Pass an input to the core and schedule a tick."""
        self.core.receive(core_input, now=monotonic(), wall=time())
        if not self.tick_scheduled:
            self.tick_scheduled = True
            reactor.callLater(0, self.tick)

    def tick(self) -> None:
        """Run the core's systems and execute its commands."""
        self.tick_scheduled = False
        if not self.running:
            return
        try:
            commands = self.core.tick(now=monotonic(), wall=time())
        except Exception:
            self.logger.exception("tick failed")
            log_event(self.logger, LogEvent.SYSTEM_FAILED)
            return
        for command in commands:
            EXECUTORS[type(command)](self, command)

    @inlineCallbacks
    def _follow_stream(self, stream: str) -> Any:
        """Read one stream of the log until the shell stops."""
        while self.running:
            cursor = self.core.state.cursors[stream]
            first = cursor.next_offset
            try:
                page = yield self.log_port.read(stream, first, cursor.era)
            except RestoredError as exc:
                self.feed(StreamRestored(stream, exc.era))
                self.tick()
            except TrimmedError as exc:
                self.feed(StreamTrimmed(stream, exc.first_offset))
                self.tick()
            except MagnoliaflowError:
                yield sleep(READ_RETRY_DELAY_S)
            else:
                records = tuple(_decode(entry) for entry in page.records)
                self.feed(RecordsRead(stream, records, page.end, era=page.era))
                self.tick()

    @inlineCallbacks
    def _poll_engine(self, name: str, failures: int) -> Any:
        """Poll an engine for load reports and cache events.

        An idle engine is polled less often, and not for cache events.
        """
        state = self.core.state
        server = self.servers[name]
        engine = state.routing.engines[name]
        busy = True
        while self.running:
            interval_s = state.cfg.timings.report_s
            yield sleep(
                interval_s if busy else max(interval_s, IDLE_POLL_INTERVAL_S)
            )
            try:
                report = yield server.report()
                was_busy = busy
                busy = bool(
                    engine.local_running or report.running or report.waiting
                )
                events = ()
                if busy or was_busy:
                    after = state.routing.prefixes.last_event(name)
                    events = yield server.cache_events(after)
            except MagnoliaflowError:
                failures += 1
                busy = True
                if failures >= MAX_FAILED_POLLS:
                    self.feed(EngineUnreachable(name))
                continue
            failures = 0
            self.feed(LoadReportArrived(report))
            if events:
                self.feed(CacheEventsArrived(name, events))


def sleep(delay_s: float) -> Any:
    """Return a Deferred that fires after a delay."""
    return deferLater(reactor, delay_s)


def _decode(entry: NewsRecord) -> RecordAtOffset:
    try:
        return RecordAtOffset(entry.offset, decode_record(entry.data))
    except RecordError:
        return RecordAtOffset(entry.offset, None)


@executes(Append)
@inlineCallbacks
def run_append(shell: Shell, command: Append) -> Any:
    """Append records in a single call."""
    encoded = tuple(encode_record(record) for record in command.records)
    succeeded = True
    try:
        yield shell.log_port.append(command.stream, encoded)
    except MagnoliaflowError:
        succeeded = False
    record_ids = tuple(record.record_id for record in command.records)
    shell.feed(AppendEnded(command.stream, record_ids, succeeded))


@executes(StartAttempt)
def run_attempt(shell: Shell, command: StartAttempt) -> None:
    """Start an attempt at a model engine or an idempotent service."""
    server = shell.servers[command.server]
    attempt_id = command.call.attempt_id
    cfg = shell.core.state.routing.engines[command.server].cfg
    if cfg.kind == "service":
        _run_service_attempt(shell, command)
        return
    stream = server.generate(command.call, _piece_sink(shell, attempt_id))
    _watch_stream(shell, attempt_id, stream)


@inlineCallbacks
def _run_service_attempt(shell: Shell, command: StartAttempt) -> Any:
    """Make an idempotent call and report its answer as one piece."""
    server = shell.servers[command.server]
    attempt_id = command.call.attempt_id
    state = shell.core.state
    req = state.requests.get(command.call.request_id)
    operation = "" if req is None else req.profile.name
    try:
        reply = yield server.call_once(
            operation, command.call.request_id, command.body
        )
    except MagnoliaflowError as exc:
        shell.feed(_attempt_ended(attempt_id, exc))
        return
    if not reply.succeeded:
        shell.feed(AttemptEnded(attempt_id, Ending.FAILED, "service"))
        return
    shell.feed(TokensArrived(attempt_id, 0, tuple(reply.body), True))


def _piece_sink(shell: Shell, attempt_id: str) -> Callable[[TokenPiece], None]:
    def on_piece(piece: TokenPiece) -> None:
        shell.feed(
            TokensArrived(attempt_id, piece.offset, piece.tokens, piece.done)
        )

    return on_piece


def _watch_stream(shell: Shell, attempt_id: str, stream: Any) -> None:
    """Report the end of a stream unless a newer one has replaced it."""
    previous = shell.streams.get(attempt_id)
    shell.streams[attempt_id] = stream
    if previous is not None:
        previous.cancel()

    def done(result: Any) -> None:
        if shell.streams.get(attempt_id) is not stream:
            return
        del shell.streams[attempt_id]
        if result is None:
            shell.feed(AttemptEnded(attempt_id, Ending.LOST, "stream ended"))
            return
        shell.feed(_attempt_ended(attempt_id, result.value))

    stream.addBoth(done)


def _attempt_ended(attempt_id: str, exc: BaseException) -> AttemptEnded:
    if isinstance(exc, NotStartedError):
        return AttemptEnded(attempt_id, Ending.NOT_STARTED, str(exc))
    if isinstance(exc, (MagnoliaflowError, CancelledError)):
        return AttemptEnded(attempt_id, Ending.LOST, str(exc))
    return AttemptEnded(attempt_id, Ending.FAILED, repr(exc))


@executes(ResumeAttempt)
def run_resume(shell: Shell, command: ResumeAttempt) -> None:
    """Continue reading a running attempt over a new connection."""
    attempt_id = command.call.attempt_id
    server = shell.servers[command.server]
    stream = server.resume(command.call, _piece_sink(shell, attempt_id))
    _watch_stream(shell, attempt_id, stream)


@executes(CancelAttempt)
def run_cancel(shell: Shell, command: CancelAttempt) -> None:
    """Cancel an attempt at its engine and close its stream."""
    stream = shell.streams.pop(command.attempt_id, None)
    if stream is not None:
        stream.cancel()
    server = shell.servers[command.server]
    if hasattr(server, "cancel"):
        server.cancel(command.attempt_id).addErrback(lambda failure: None)


@executes(CallService)
@inlineCallbacks
def run_call(shell: Shell, command: CallService) -> Any:
    """Call a service with the work of a claim, once."""
    server = shell.servers[command.server]
    body = b""
    try:
        reply = yield server.call_once(
            command.profile, command.key, command.body
        )
    except NotStartedError:
        ending = Ending.NOT_STARTED
    except MagnoliaflowError:
        ending = Ending.LOST
    else:
        ending = Ending.DONE if reply.succeeded else Ending.FAILED
        body = reply.body
    shell.feed(
        ServiceAnswered(
            command.key, command.submission, command.epoch, ending, body
        )
    )


@executes(QueryStatus)
@inlineCallbacks
def run_status(shell: Shell, command: QueryStatus) -> Any:
    """Ask a service for the status of a claim."""
    reply = None
    try:
        reply = yield shell.servers[command.server].status(command.key)
    except MagnoliaflowError:
        pass
    shell.feed(
        StatusAnswered(
            command.key,
            command.submission,
            command.epoch,
            known=reply is not None,
            succeeded=reply is not None and reply.succeeded,
            body=b"" if reply is None else reply.body,
        )
    )


@executes(SendPeer)
def run_send(shell: Shell, command: SendPeer) -> None:
    """Send a message to a peer."""
    peer = shell.core.state.peers.get(command.identity)
    if peer is not None:
        shell.links.send(peer.peer_address, command.message)


@executes(SendAddress)
def run_send_address(shell: Shell, command: SendAddress) -> None:
    """Send a message to an address."""
    shell.links.send(command.address, command.message)


@executes(ProbePeer)
@inlineCallbacks
def run_probe(shell: Shell, command: ProbePeer) -> Any:
    """Probe a silent peer over a new connection."""
    heartbeat = make_heartbeat(shell.core.state)
    alive = yield shell.links.probe(command.address, heartbeat)
    shell.feed(PeerProbed(command.identity, alive))


@executes(NotifyWaiters)
def run_notify(shell: Shell, command: NotifyWaiters) -> None:
    """Notify those who wait for a change of a request."""
    shell.on_changed(command.request_id)


@executes(WriteLog)
def run_log(shell: Shell, command: WriteLog) -> None:
    """Write a numbered log event."""
    log_event(shell.logger, command.event, **command.details)


@executes(Exit)
def run_exit(shell: Shell, command: Exit) -> None:
    """End the process after a delay in which queued messages are sent."""
    shell.on_exit()
