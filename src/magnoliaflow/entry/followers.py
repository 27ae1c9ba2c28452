"""Readers of the configuration and of the engines' registrations.

Every host reads the configuration with a long poll, since its age decides
whether requests with a key may be served.  Registrations change with every
heartbeat of every engine.  The lease holder reads them in batches and passes
changes on in its heartbeats; other hosts read only when those stop.
"""

from math import inf
from typing import Any

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from magnoliaflow.cluster.listings import ListingSchedule
from magnoliaflow.cluster.positions import make_position
from magnoliaflow.cluster.positions import offset_of
from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.errors import PortError
from magnoliaflow.common.errors import RestoredError
from magnoliaflow.common.errors import TrimmedError
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.loop import reactor
from magnoliaflow.common.messages import EngineEntry
from magnoliaflow.entry.rolloutentries import take_order_entry
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.updates import apply_config
from magnoliaflow.entry.updates import apply_registration
from magnoliaflow.platform.document import decode_document
from magnoliaflow.platform.registrations import decode_registration
from magnoliaflow.platform.store import CONFIG_KEY
from magnoliaflow.platform.store import CONFIG_TOPIC
from magnoliaflow.platform.store import ENGINES_TOPIC
from magnoliaflow.platform.store import FIRST_ERA
from magnoliaflow.platform.store import Page
from magnoliaflow.platform.store import StoreClient

# Long poll timeout as a share of the time within which a configuration must be
# in force.  A confirmation is up to two polls old.
POLL_WAIT_SHARE = 0.3
# In a large deployment only the aggregators of the groups keep a long poll, a
# shorter one: a confirmation is up to two polls and two intervals of reports
# old when it reaches the other hosts.  Another host reads the configuration
# itself when its confirmation is older than this share of the bound, or when a
# host has a newer version.
GROUP_POLL_WAIT_SHARE = 0.15
SELF_READ_AGE_SHARE = 0.6
# How often such a host checks whether it has to read, and how often it reads
# for a version that the store lacks.
READ_CHECK_INTERVAL_S = 0.1
MISSING_VERSION_READ_INTERVAL_S = 0.3
# A host that starts after the store went back waits this long for a peer that
# has a configuration in force.
PEER_WAIT_S = 2.0
# Backoff after failed reads: the minimum finds a recovered store at once, the
# maximum keeps a deployment far below the store's rate limits.
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.5
# Interval between batches of registrations.  Including the delay to the other
# hosts it is a fifth of the time within which a leaving engine must stop
# getting work.
REGISTRY_READ_INTERVAL_S = 0.35
# A host reads registrations itself when those from its peers are older than
# these shares of the time within which a leaving engine must stop getting
# work.  The rest is for the read, on a slow host.  In a large deployment
# confirmations pass several hosts, first the aggregators.
REGISTRY_AGE_SHARE = 0.5
MEMBER_REGISTRY_AGE_SHARE = 0.7
# Delay of removals that are read after a store outage: a registration that
# expired in the outage is renewed at once.
LAPSED_REMOVAL_DELAY_S = 1.5
# Registrations not confirmed for this long indicate a store outage.
MIN_OUTAGE_S = 2.0
# Listings a second of all hosts together after the store went back, besides
# those of hosts that read the registrations anyway.
LISTINGS_PER_S = 40.0
# Heartbeats of an engine after which its entry lapses.
HEARTBEATS_TO_LAPSE = 3


class ConfigFollower:
    """Keeps the configuration current and notes when it was confirmed.

    ``offset`` was taken in ``era``.  ``lacks_version``: the store has gone
    back and lacks the version in force, until its writer writes it again.
    ``last_read_at`` is when the last read began.
    """

    __slots__ = (
        "era",
        "lacks_version",
        "last_read_at",
        "offset",
        "retry_delay_s",
        "state",
        "store",
    )

    def __init__(self, state: EntryState, store: StoreClient) -> None:
        self.state = state
        self.store = store
        self.era = 0
        self.offset = -1
        self.lacks_version = False
        self.last_read_at = -inf
        self.retry_delay_s = MIN_RETRY_DELAY_S

    @inlineCallbacks
    def run(self) -> Any:
        """Read the configuration topic until the process ends."""
        while True:
            if not self._is_due():
                yield _pause(self.state, READ_CHECK_INTERVAL_S)
                continue
            began = self.last_read_at = boot_time()
            try:
                page = yield self._read()
                self._take(page, began)
            except TrimmedError as exc:
                log_trimmed(self.state, "configuration", exc)
                self.offset = -1
                continue
            except RestoredError:
                self.offset = -1
                continue
            except PortError as exc:
                self.state.config_read_failed = True
                record_store_failure(self.state, "configuration", exc)
                yield _pause(self.state, self.retry_delay_s)
                self.retry_delay_s = min(
                    MAX_RETRY_DELAY_S, self.retry_delay_s * 2
                )
                continue
            except Exception as exc:
                self.state.record_fault("configuration follower", exc)
                yield _pause(self.state, MAX_RETRY_DELAY_S)
                continue
            self.retry_delay_s = MIN_RETRY_DELAY_S
            self.state.config_read_failed = False
            record_store_success(self.state)

    def _take(self, page: Page, began: float) -> None:
        """Apply a page and advance behind it."""
        version = self._apply_page(page)
        if self.offset < 0:
            log_read_again(self.state, "configuration", page)
            self.era = page.era
            self.lacks_version = version < self._version_in_force()
        elif version >= self._version_in_force():
            self.lacks_version = False
        self._advance(page, began)

    def _keeps_poll(self) -> bool:
        """Return whether this host always waits for the next version."""
        state = self.state
        decides = state.host_settings.judges_rollouts and (
            state.lease_manager.holds(boot_time())
        )
        return not state.uses_groups() or state.view.is_aggregator() or decides

    def _is_due(self) -> bool:
        """Return whether to read the configuration now."""
        state = self.state
        now = boot_time()
        max_age_s = state.config_bound_s * SELF_READ_AGE_SHARE
        # Peers pass on the configuration before this host has the orders.
        needs_orders = (
            state.host_settings.judges_rollouts
            and state.orders_read_at == -inf
        )
        return (
            self._keeps_poll()
            or needs_orders
            or state.route_table is None
            or state.config_age(now) > max_age_s
            or (
                self._misses_version()
                and now > self.last_read_at + MISSING_VERSION_READ_INTERVAL_S
            )
        )

    def _misses_version(self) -> bool:
        """Return whether another host has a newer version in force."""
        return self.state.newest_version > self._version_in_force()

    def _read(self) -> Any:
        state = self.state
        if self.offset < 0:
            return self.store.read_newest(CONFIG_TOPIC)
        share = 0.0
        if not state.uses_groups():
            share = POLL_WAIT_SHARE
        elif self._keeps_poll():
            share = GROUP_POLL_WAIT_SHARE
        wait_s = share * state.config_bound_s
        return self.store.read(
            CONFIG_TOPIC, self.offset, era=self.era, wait_s=wait_s
        )

    def _version_in_force(self) -> int:
        route_table = self.state.route_table
        return -1 if route_table is None else route_table.version

    def _advance(self, page: Page, began: float) -> None:
        """Advance the offset; a read to the log's end is a confirmation."""
        read_to = self.offset
        if read_to < 0 or not page.entries:
            read_to = page.end
        elif page.entries:
            read_to = page.entries[-1].offset + 1
        self.offset = read_to
        if read_to >= page.end:
            self.state.orders_read_at = began
        if read_to >= page.end and self._may_confirm(page.era):
            self.state.config_confirmed_at = max(
                self.state.config_confirmed_at, began
            )

    def _may_confirm(self, era: int) -> bool:
        """Return whether the newest version in the store is the newest.

        A store that has gone back may lack versions that other hosts have in
        force, and a host that starts does not know of those yet.
        """
        state = self.state
        if self.lacks_version or self._misses_version():
            return False
        own = state.host_settings.peer_address
        return (
            era <= FIRST_ERA
            or state.peer_confirmed
            or not state.peer_addresses.keys() - {own}
            or state.config_confirmed_at > -inf
            or boot_time() > state.started_at + PEER_WAIT_S
        )

    def _apply_page(self, page: Page) -> int:
        """Apply the newest configuration of a page; return its version.

        One that cannot be read is skipped.  The version is -1 if there is
        none, and that in force if none can be read.
        """
        newest = {entry.key: entry for entry in page.entries}
        for entry in newest.values():
            take_order_entry(
                self.state, entry, page.era, is_new=self.offset >= 0
            )
        values = [
            entry.value
            for entry in page.entries
            if entry.key == CONFIG_KEY and entry.value is not None
        ]
        for value in reversed(values):
            try:
                route_table = decode_document(value)
            except PortError as exc:
                self.state.log(LogEvent.RECORD_UNREADABLE, reason=str(exc))
                continue
            apply_config(self.state, route_table, value)
            return route_table.version
        return self._version_in_force() if values else -1


class RegistrationFollower:
    """Keeps the registry of engines current.

    When the store has gone back, every host reads a listing, since what
    peers pass on begins with what they have read.
    """

    __slots__ = ("listings", "state", "store")

    def __init__(self, state: EntryState, store: StoreClient) -> None:
        self.state = state
        self.store = store
        heartbeat_s = state.host_settings.engine_heartbeat_s
        self.listings = ListingSchedule(
            lapse_s=HEARTBEATS_TO_LAPSE * heartbeat_s
        )

    @inlineCallbacks
    def run(self) -> Any:
        """Read registrations while it is this host's turn."""
        retry_delay_s = MIN_RETRY_DELAY_S
        while True:
            self._observe_era(boot_time())
            if not (self.listings.is_due or self._is_due()):
                yield _pause(self.state, REGISTRY_READ_INTERVAL_S / 4)
                continue
            began = boot_time()
            try:
                is_complete = yield self._read_once(began)
            except TrimmedError as exc:
                log_trimmed(self.state, "engines", exc)
                self.listings.is_due = True
                continue
            except RestoredError:
                self.listings.is_due = True
                continue
            except PortError as exc:
                record_store_failure(self.state, "engines", exc)
                yield _pause(self.state, retry_delay_s)
                retry_delay_s = min(MAX_RETRY_DELAY_S, retry_delay_s * 2)
                continue
            except Exception as exc:
                self.state.record_fault("engine follower", exc)
                yield _pause(self.state, MAX_RETRY_DELAY_S)
                continue
            retry_delay_s = MIN_RETRY_DELAY_S
            record_store_success(self.state)
            if is_complete:
                yield _pause(self.state, REGISTRY_READ_INTERVAL_S)

    def _observe_era(self, now: float) -> None:
        spread_s = self.state.host_count() / LISTINGS_PER_S
        self.listings.observe_era(
            self.state.store_era, now, self.state.rng.random() * spread_s
        )

    def _is_due(self) -> bool:
        now = boot_time()
        if self.state.lease_manager.holds(now):
            return True
        share = REGISTRY_AGE_SHARE
        if self.state.uses_groups() and not self.state.view.is_aggregator():
            share = MEMBER_REGISTRY_AGE_SHARE
        stale_s = share * self.state.host_settings.drain_s
        return now - self.state.registry_confirmed_at > stale_s

    @inlineCallbacks
    def _read_once(self, began: float) -> Any:
        """Read once; return whether the log was read to its end."""
        registry = self.state.registry
        read_to = -1
        if self.listings.is_due:
            page = yield self.store.read_newest(ENGINES_TOPIC)
            log_read_again(self.state, "engines", page)
            self._apply_listing(page, began)
        else:
            page = yield self.store.read(
                ENGINES_TOPIC, offset_of(registry.end), era=self.listings.era
            )
            outage = began - self.state.registry_confirmed_at > MIN_OUTAGE_S
            self._apply_page(page, after_outage=outage)
            if page.entries:
                read_to = page.entries[-1].offset + 1
        is_complete = not 0 <= read_to < page.end
        end = page.end if is_complete else read_to
        registry.advance(make_position(page.era, end))
        if is_complete:
            self.state.registry_confirmed_at = max(
                self.state.registry_confirmed_at, began
            )
        return is_complete

    def _apply_listing(self, page: Page, began: float) -> None:
        """Apply a listing of all engines."""
        registry, listings = self.state.registry, self.listings
        listings.begin(page.era, began)
        alive = listings.entries_are_alive(began)
        self._apply_page(page, after_outage=False, alive=alive)
        present = {entry.key for entry in page.entries if entry.value}
        missing = registry.missing(present)
        end = make_position(page.era, page.end)
        if listings.finish(
            began,
            any_missing=bool(missing),
            any_returned=registry.any_gone(present),
        ):
            for name in missing:
                self._apply(name, None, end)
        registry.record_listing(end)

    def _apply_page(
        self, page: Page, *, after_outage: bool, alive: bool = False
    ) -> None:
        """Apply the newest entry of each engine in a page.

        ``after_outage``: delay removals that would leave a service without
        any engine, since live engines register again.  ``alive``: entries of
        engines that have left would have lapsed.
        """
        newest = {entry.key: entry for entry in page.entries if entry.key}
        registrations = {
            name: decode_registration(name, entry.value)
            for name, entry in newest.items()
            if entry.value is not None
        }
        for name, entry in newest.items():
            if registrations.get(name) is not None:
                offset = make_position(page.era, entry.offset)
                self._apply(name, registrations[name], offset, alive=alive)
        for name, entry in newest.items():
            if registrations.get(name) is not None:
                continue
            offset = make_position(page.era, entry.offset)
            if after_outage and self._is_last_engine(name):
                reactor.callLater(
                    LAPSED_REMOVAL_DELAY_S, self._apply, name, None, offset
                )
                continue
            self._apply(name, None, offset)

    def _is_last_engine(self, name: str) -> bool:
        """Return whether an engine is the last registered of its service."""
        entries = self.state.registry.entries
        entry = entries.get(name)
        return entry is not None and not any(
            other.backend == entry.backend
            and other.engine != name
            and not other.gone
            for other in entries.values()
        )

    def _apply(
        self,
        name: str,
        entry: EngineEntry | None,
        offset: int,
        *,
        alive: bool = False,
    ) -> None:
        """Apply an entry; the others of its page do not depend on it."""
        try:
            apply_registration(self.state, name, entry, offset, alive=alive)
        except Exception as exc:
            self.state.record_fault("engine entry", exc)


def _pause(state: EntryState, delay_s: float) -> Any:
    """Return a Deferred that fires after a delay with jitter of 20%."""
    jitter = 0.8 + 0.4 * state.rng.random()
    return deferLater(reactor, delay_s * jitter, lambda: None)


def log_trimmed(state: EntryState, reading: str, exc: TrimmedError) -> None:
    """Log that the records to read next are not in the store."""
    state.log(
        LogEvent.LOG_TRIMMED,
        reading=reading,
        era=state.store_era,
        reason=str(exc),
    )


def log_read_again(state: EntryState, reading: str, page: Page) -> None:
    """Log that a topic was read from its beginning."""
    state.log(
        LogEvent.LOG_READ_AGAIN,
        reading=reading,
        era=page.era,
        entries=len(page.entries),
        end=page.end,
    )


def record_store_failure(
    state: EntryState, operation: str, exc: Exception
) -> None:
    """Count a failed call to the store and log the first of a series."""
    state.metrics.store_errors.inc()
    if state.store_down_since == inf:
        state.store_down_since = boot_time()
        state.log(LogEvent.LOG_DOWN, reading=operation, reason=str(exc))


def record_store_success(state: EntryState) -> None:
    """Log that the store has recovered if a failure was logged."""
    if state.store_down_since < inf:
        away_s = round(boot_time() - state.store_down_since, 3)
        state.log(LogEvent.LOG_UP, away_s=away_s)
        state.store_down_since = inf
