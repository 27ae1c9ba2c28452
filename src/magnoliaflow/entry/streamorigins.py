"""Streams that callers take up: at which version they go on.

A record of the streams that began lies in the platform's store, so that it
outlives all hosts.  A host reads it only for a stream that it does not know.
"""

from collections.abc import Iterable
from itertools import chain
from typing import Any

from twisted.internet.defer import inlineCallbacks

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.codec import decode_value
from magnoliaflow.common.codec import encode_value
from magnoliaflow.common.codes import Code
from magnoliaflow.common.errors import PortError
from magnoliaflow.common.errors import RecordError
from magnoliaflow.common.errors import RestoredError
from magnoliaflow.common.errors import TrimmedError
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.messages import StreamBatch
from magnoliaflow.entry.followers import record_store_failure
from magnoliaflow.entry.followers import record_store_success
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.storeera import observe_store_era
from magnoliaflow.platform.store import StoreClient
from magnoliaflow.platform.store import STREAMS_TOPIC
from magnoliaflow.policy.routes import Route
from magnoliaflow.policy.routes import RouteKind
from magnoliaflow.policy.streamorigins import Origin

# Interval of looks at the versions that have engines.
OBSERVE_INTERVAL_S = 0.1
# Records a second of all hosts together, and a host's shortest interval.
RECORDS_PER_S = 100.0
MIN_RECORD_INTERVAL_S = 0.1
# The holder of the duties names all versions this often.
NAMING_INTERVAL_S = 5.0
RETRY_DELAY_S = 0.3
# Pages of the record that one look-up reads at most, of 1 MB each.
MAX_PAGES = 8
# Retry-After of a stream of unknown origin: by then its record may be written.
UNKNOWN_RETRY_AFTER_S = 0.5
# Retry-After of a stream whose version has no engine.
GONE_RETRY_AFTER_S = 1.0


def stream_id(handler: Any) -> str:
    """Return the id by which a caller names a stream when taking it up."""
    call = handler.call
    return str(call.resumes or call.request_id)


def is_taken_up(handler: Any) -> bool:
    """Return whether a request takes up a stream that broke off."""
    call = handler.call
    return handler.route.kind is RouteKind.STREAM and bool(
        call.resumes or call.resume_after
    )


def choose_service(handler: Any, route: Route) -> str:
    """Return the service of a request; a stream stays at the one it had."""
    if route.kind is not RouteKind.STREAM:
        return route.service_for(handler.call.request_id)
    origin = handler.origin
    if origin is not None and any(
        share.service == origin.backend and share.weight > 0
        for share in route.shares
    ):
        return str(origin.backend)
    return route.service_for(stream_id(handler))


def is_placed_anew(handler: Any) -> bool:
    """Return whether the configuration in force places a request elsewhere.

    It may have changed since the engine was selected.
    """
    route_table = handler.state.route_table
    if route_table is handler.route_table or route_table is None:
        return False
    route = route_table.find(handler.call.host, handler.call.path)
    return route is None or choose_service(handler, route) != handler.service


def record_send(handler: Any, version: str) -> None:
    """Record the engine of a stream that may be taken up.

    The record is in the store before the first event, or soon after it.
    """
    route = handler.route
    if route.kind is RouteKind.STREAM and route.resumable:
        origin = Origin(handler.service, version)
        handler.state.origins.record(stream_id(handler), origin, boot_time())


def hold_stream(handler: Any, version: str) -> None:
    """Hold a stream to the version that has written its first event."""
    if handler.route.kind is RouteKind.STREAM:
        handler.origin = Origin(handler.service, version)


def find_origin(handler: Any) -> Origin | None:
    """Return where a stream has to go on or to be sent again, if anywhere."""
    if handler.origin is not None:
        return handler.origin  # type: ignore[no-any-return]
    route = handler.route
    if not (
        handler.attempts_sent
        and route.kind is RouteKind.STREAM
        and route.resumable
    ):
        return None
    origins = handler.state.origins
    return origins.sent_to(  # type: ignore[no-any-return]
        stream_id(handler), boot_time()
    )


class OriginLog:
    """Writes the streams that began here, and looks up those of others."""

    __slots__ = (
        "_backends",
        "_route_table",
        "era",
        "is_reading",
        "is_writing",
        "next_naming_at",
        "next_observation_at",
        "next_record_at",
        "offset",
        "retry_at",
        "state",
        "store",
        "waiting",
    )

    def __init__(self, state: EntryState, store: StoreClient) -> None:
        self.state = state
        self.store = store
        self.era = 0
        self.offset = 0
        self.is_reading = False
        self.is_writing = False
        self.next_observation_at = 0.0
        self.next_naming_at = 0.0
        self.next_record_at = 0.0
        self.retry_at = 0.0
        self.waiting: list[tuple[Any, float]] = []
        self._route_table: Any = None
        self._backends: tuple[str, ...] = ()

    def tick(self, now: float) -> None:
        """Observe the versions and write what is due."""
        if self.state.store_era > self.era:
            self._begin_era()
        if now >= self.next_observation_at:
            self.next_observation_at = now + OBSERVE_INTERVAL_S
            self._observe(now)
        if not self.is_writing and now >= self.retry_at:
            self._write_due(now)

    def _observe(self, now: float) -> None:
        """Note the versions that have engines now."""
        origins = self.state.origins
        for backend in self.backends():
            present = self.state.routing.versions.get(backend, {})
            origins.observe(backend, present, now)
        origins.expire(now)

    def backends(self) -> tuple[str, ...]:
        """Return the services whose streams may be taken up."""
        route_table = self.state.route_table
        if route_table is not self._route_table and route_table is not None:
            self._route_table = route_table
            names = chain.from_iterable(
                (share.service for share in route.shares)
                for route in route_table.routes
                if route.kind is RouteKind.STREAM and route.resumable
            )
            self._backends = tuple(dict.fromkeys(names))
        return self._backends

    def _begin_era(self) -> None:
        """Write again what the store may have lost."""
        self.era = self.state.store_era
        self.offset = 0
        self.state.origins.begin_era()
        self.next_naming_at = 0.0

    def _write_due(self, now: float) -> None:
        origins = self.state.origins
        names_all = (
            now >= self.next_naming_at and self.state.lease_manager.holds(now)
        )
        is_urgent = any(
            origins.unnamed(backend, now) for backend in self.backends()
        )
        if not (names_all or is_urgent) and now < self.next_record_at:
            return
        groups = origins.next_batch(
            self.backends(), now, with_versions=names_all
        )
        if not groups:
            return
        self.next_record_at = now + max(
            MIN_RECORD_INTERVAL_S, self.state.host_count() / RECORDS_PER_S
        )
        self.is_writing = True
        self._write(groups, names_all).addErrback(self._on_fault)

    @inlineCallbacks
    def _write(self, groups: Any, names_all: bool) -> Any:
        """Append a record; what is not confirmed is written again."""
        era = self.era
        batch = StreamBatch(self.state.host_settings.host, groups)
        try:
            yield self.store.append(STREAMS_TOPIC, encode_value(batch))
        except PortError as exc:
            self.state.metrics.stream_records.labels("failed").inc()
            record_store_failure(self.state, "stream records", exc)
            self.retry_at = boot_time() + RETRY_DELAY_S
        else:
            record_store_success(self.state)
            self.state.metrics.stream_records.labels("written").inc()
            if era == self.era:
                self.state.origins.saved(groups, boot_time())
                if names_all:
                    self.next_naming_at = boot_time() + NAMING_INTERVAL_S
        finally:
            self.is_writing = False

    def _on_fault(self, failure: Any) -> None:
        self.state.record_fault("stream records", failure.value)

    def admit(self, handler: Any) -> None:
        """Dispatch a request that takes up a stream, or refuse it."""
        found = self.state.origins.find(handler.call.resumes)
        if len(found) == 1:
            self._go_on(handler, found.pop(), "known", boot_time())
            return
        self.waiting.append((handler, boot_time()))
        if not self.is_reading:
            self._read().addErrback(self._on_fault)

    @inlineCallbacks
    def _read(self) -> Any:
        """Read the record to its end, for all who wait when this begins."""
        self.is_reading = True
        try:
            while self.waiting:
                waiting, self.waiting = self.waiting, []
                is_read = yield self._read_to_end()
                for handler, since in waiting:
                    try:
                        self._decide(handler, since, is_read=is_read)
                    except Exception as exc:
                        # The others that wait do not depend on it.
                        self.state.record_fault("stream taken up", exc)
        finally:
            self.is_reading = False

    @inlineCallbacks
    def _read_to_end(self) -> Any:
        """Read the record to its end; return whether that succeeded."""
        for _ in range(MAX_PAGES):
            if self.state.store_era > self.era:
                self._begin_era()
            try:
                page = yield self.store.read(
                    STREAMS_TOPIC, self.offset, era=self.era
                )
            except TrimmedError as exc:
                if exc.first_offset <= self.offset:
                    return False
                self.offset = exc.first_offset
                continue
            except RestoredError as exc:
                observe_store_era(self.state, exc.era)
                continue
            except PortError as exc:
                record_store_failure(self.state, "stream records", exc)
                return False
            record_store_success(self.state)
            self._apply(page.entries)
            if not page.entries or self.offset >= page.end:
                return True
        return False

    def _apply(self, entries: Iterable[Any]) -> None:
        now = boot_time()
        for entry in entries:
            self.offset = entry.offset + 1
            try:
                batch = decode_value(StreamBatch, entry.value or b"")
            except RecordError as exc:
                self.state.log(LogEvent.RECORD_UNREADABLE, reason=str(exc))
                continue
            self.state.origins.read(batch.groups, now)

    def _decide(self, handler: Any, since: float, *, is_read: bool) -> None:
        """Send a stream to the version that began it, or refuse it."""
        if handler.done:
            return
        now = boot_time()
        origins = self.state.origins
        found = origins.find(handler.call.resumes)
        if len(found) == 1:
            self._go_on(handler, found.pop(), "record", since)
            return
        backend = handler.service
        versions = origins.versions(backend, now) | {
            *self.state.routing.versions.get(backend, {})
        }
        if (
            is_read
            and not found
            and len(versions) == 1
            and origins.knows_versions(backend, now)
        ):
            self._go_on(
                handler,
                Origin(backend, versions.pop()),
                "only version",
                since,
            )
            return
        self._log(handler, None, "unknown" if is_read else "unread", since)
        handler.refuse(Code.ORIGIN_UNKNOWN, UNKNOWN_RETRY_AFTER_S)

    def _go_on(
        self, handler: Any, origin: Origin, source: str, since: float
    ) -> None:
        """Dispatch a stream whose origin is known."""
        handler.origin = origin
        handler.service = choose_service(handler, handler.route)
        present = self.state.routing.versions.get(handler.service, {})
        if handler.service != origin.backend or origin.version not in present:
            self._log(handler, origin, "version gone", since)
            handler.refuse(Code.NO_BACKEND, GONE_RETRY_AFTER_S)
            return
        self._log(handler, origin, source, since)
        handler.dispatch()

    def _log(
        self, handler: Any, origin: Origin | None, source: str, since: float
    ) -> None:
        now = boot_time()
        self.state.metrics.streams_taken_up.labels(source).inc()
        self.state.log(
            LogEvent.STREAM_TAKEN_UP,
            request=handler.call.request_id,
            resumes=handler.call.resumes,
            after=handler.call.resume_after,
            backend=handler.service,
            version=None if origin is None else origin.version,
            versions=sorted(self.state.origins.versions(handler.service, now)),
            source=source,
            waited_s=round(now - since, 3),
        )


def origin_details(state: EntryState) -> list[dict[str, object]]:
    """Return the versions that may have begun streams, for ``explain``."""
    now = boot_time()
    return [
        {
            "backend": backend,
            "versions": sorted(state.origins.versions(backend, now)),
            "mixed": state.origins.is_mixed(backend, now),
            "unsaved": sum(
                stream.origin.backend == backend
                for stream in state.origins.unsaved.values()
            ),
        }
        for backend in state.origins.seen
    ]
