"""Following the configuration and the engines' registrations.

The configuration is read by every host with a long poll, since its age
decides whether requests with a key may be served.  EngineEntrys change
with every heartbeat of every engine: the host with the duties reads them in
batches and its beats pass changes on; others read only when those stop.
"""

from math import inf
from typing import Any

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.errors import PortError
from magnoliaflow.common.errors import TrimmedError
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.loop import reactor
from magnoliaflow.common.messages import EngineEntry
from magnoliaflow.entry.apply import apply_document
from magnoliaflow.entry.apply import apply_registration
from magnoliaflow.entry.state import EntryState
from magnoliaflow.platform.document import decode_document
from magnoliaflow.platform.registrations import decode_registration
from magnoliaflow.platform.store import CONFIG_KEY
from magnoliaflow.platform.store import CONFIG_TOPIC
from magnoliaflow.platform.store import ENGINES_TOPIC
from magnoliaflow.platform.store import Page
from magnoliaflow.platform.store import StoreClient

# How long one read waits for news: a quarter of the revocation bound, so
# that two lost reads in a row leave the configuration fresh enough.
CONFIG_WAIT_S = 1.2
# With many hosts whose beats confirm each other's, one read may wait longer.
CROWD_HOSTS = 8
CROWD_WAIT_S = 2.4
# Pauses after failed reads: the first finds a store that is back at once,
# the most keeps a deployment far below the store's rates.
RETRY_FIRST_S = 0.1
RETRY_MOST_S = 0.5
# Pause between batches of registrations.  With the way to the other hosts
# it is a fifth of the time in which a leaving engine must get no more work.
FLEET_PERIOD_S = 0.35
# A host reads for itself when what its peers pass on is older than this.
# Among many, whose beats come less often, it waits a little longer.
FLEET_STALE_S = 1.0
FLEET_STALE_EACH_S = 0.03
# A removal read first after a store outage may be an entry that lapsed in
# it and comes back at once.
LAPSED_WAIT_S = 1.5
# Registrations older than this were not read because of an outage.
OUTAGE_S = 2.0


class ConfigFollower:
    """Keeps the newest configuration and when it was last confirmed."""

    __slots__ = ("offset", "pause_s", "state", "store")

    def __init__(self, state: EntryState, store: StoreClient) -> None:
        self.state = state
        self.store = store
        self.offset = -1
        self.pause_s = RETRY_FIRST_S

    @inlineCallbacks
    def run(self) -> Any:
        """Read on for as long as the process lives."""
        while True:
            began = boot_time()
            try:
                page = yield self._read()
            except TrimmedError as exc:
                self.state.log(LogEvent.LOG_TRIMMED, reason=str(exc))
                self.offset = -1
                continue
            except PortError as exc:
                note_store_failure(self.state, "configuration", exc)
                yield _pause(self.state, self.pause_s)
                self.pause_s = min(RETRY_MOST_S, self.pause_s * 2)
                continue
            self.pause_s = RETRY_FIRST_S
            note_store_success(self.state)
            self._take(page)
            self._advance(page, began)

    def _read(self) -> Any:
        if self.offset < 0:
            return self.store.read_newest(CONFIG_TOPIC)
        return self.store.read(CONFIG_TOPIC, self.offset, wait_s=CONFIG_WAIT_S)

    def _advance(self, page: Page, began: float) -> None:
        """Note how far was read; at the log's end that confirms."""
        read_to = self.offset
        if read_to < 0 or not page.entries:
            read_to = page.end
        elif page.entries:
            read_to = page.entries[-1].offset + 1
        self.offset = read_to
        if read_to >= page.end:
            self.state.confirmed_at = max(self.state.confirmed_at, began)

    def _take(self, page: Page) -> None:
        values = [
            entry.value
            for entry in page.entries
            if entry.key == CONFIG_KEY and entry.value is not None
        ]
        for value in values[-1:]:
            try:
                book = decode_document(value)
            except PortError as exc:
                self.state.log(LogEvent.RECORD_UNREADABLE, reason=str(exc))
                continue
            apply_document(self.state, book, value)


class FleetFollower:
    """Keeps the engines' registrations."""

    __slots__ = ("listed", "state", "store")

    def __init__(self, state: EntryState, store: StoreClient) -> None:
        self.state = state
        self.store = store
        self.listed = False

    @inlineCallbacks
    def run(self) -> Any:
        """Read on while it is this host's turn."""
        pause_s = RETRY_FIRST_S
        while True:
            if self.listed and not self._is_due():
                yield _pause(self.state, FLEET_PERIOD_S / 4)
                continue
            began = boot_time()
            try:
                yield self._read_once(began)
            except TrimmedError as exc:
                self.state.log(LogEvent.LOG_TRIMMED, reason=str(exc))
                self.listed = False
                continue
            except PortError as exc:
                note_store_failure(self.state, "engines", exc)
                yield _pause(self.state, pause_s)
                pause_s = min(RETRY_MOST_S, pause_s * 2)
                continue
            pause_s = RETRY_FIRST_S
            note_store_success(self.state)
            yield _pause(self.state, FLEET_PERIOD_S)

    def _is_due(self) -> bool:
        now = boot_time()
        if self.state.keeper.holds(now):
            return True
        stale_s = FLEET_STALE_S + FLEET_STALE_EACH_S * len(self.state.hosts)
        return now - self.state.fleet_at > stale_s

    @inlineCallbacks
    def _read_once(self, began: float) -> Any:
        registry = self.state.registry
        if self.listed:
            page = yield self.store.read(ENGINES_TOPIC, registry.end)
        else:
            page = yield self.store.read_newest(ENGINES_TOPIC)
        outage = began - self.state.fleet_at > OUTAGE_S and self.listed
        self._take(page, lapsed=outage)
        if not self.listed:
            present = {row.key for row in page.entries if row.value}
            for name in registry.missing(present):
                self._apply(name, None, page.end)
            registry.record_listing(page.end)
        self.listed = True
        registry.advance(page.end)
        self.state.fleet_at = max(self.state.fleet_at, began)

    def _take(self, page: Page, *, lapsed: bool) -> None:
        """Apply the newest entry of each engine in a page.

        ``lapsed``: after an outage.  Removals that would leave a service
        without any engine then wait, since live engines register again.
        """
        newest = {entry.key: entry for entry in page.entries if entry.key}
        rows = {
            name: decode_registration(name, entry.value)
            for name, entry in newest.items()
            if entry.value is not None
        }
        for name, entry in newest.items():
            if rows.get(name) is not None:
                self._apply(name, rows[name], entry.offset)
        for name, entry in newest.items():
            if rows.get(name) is not None:
                continue
            if lapsed and self._is_last(name):
                reactor.callLater(
                    LAPSED_WAIT_S, self._apply, name, None, entry.offset
                )
                continue
            self._apply(name, None, entry.offset)

    def _is_last(self, name: str) -> bool:
        """Return whether a service has no other engine listed."""
        known = self.state.registry.entries
        row = known.get(name)
        return row is not None and not any(
            other.backend == row.backend
            and other.engine != name
            and not other.gone
            for other in known.values()
        )

    def _apply(self, name: str, row: EngineEntry | None, offset: int) -> None:
        apply_registration(self.state, name, row, offset)


def _pause(state: EntryState, delay_s: float) -> Any:
    """Return a Deferred that fires after about a delay."""
    jitter = 0.8 + 0.4 * state.rng.random()
    return deferLater(reactor, delay_s * jitter, lambda: None)


def note_store_failure(state: EntryState, what: str, exc: Exception) -> None:
    """Count a failed call; log the first of a row."""
    state.metrics.store_errors.inc()
    if state.store_down_since == inf:
        state.store_down_since = boot_time()
        state.log(LogEvent.LOG_DOWN, reading=what, reason=str(exc))


def note_store_success(state: EntryState) -> None:
    """Note that the store answers again."""
    if state.store_down_since < inf:
        away_s = round(boot_time() - state.store_down_since, 3)
        state.log(LogEvent.LOG_UP, away_s=away_s)
        state.store_down_since = inf
