"""Applying a configuration or a registration to what serves requests."""

from dataclasses import replace
from math import inf

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.lifecycle import Phase
from magnoliaflow.common.messages import EngineEntry
from magnoliaflow.common.settings import BackendServer
from magnoliaflow.entry.capshares import limit_of
from magnoliaflow.entry.state import EntryState
from magnoliaflow.policy.caps import Cap
from magnoliaflow.policy.caps import START_FILL
from magnoliaflow.policy.engines import new_engine
from magnoliaflow.policy.routes import Account
from magnoliaflow.policy.routes import RouteBook

# Prompt tokens a second of an engine until its answers teach better.
USUAL_PREFILL_RATE = 30_000.0


def apply_document(state: EntryState, book: RouteBook, data: bytes) -> bool:
    """Put a configuration in force unless one as new already is."""
    if state.book is not None and book.version <= state.book.version:
        return False
    now = boot_time()
    state.book = book
    state.book_data = data
    state.book_at = now
    accounts = book.accounts.values()
    state.caps = {
        row.name: _cap(state, row, now) for row in accounts if row.rate > 0
    }
    if state.phase is Phase.STARTING:
        state.life.ready()
    state.log(
        LogEvent.PROFILE_IN_FORCE,
        version=book.version,
        routes=len(book.routes),
        accounts=len(book.accounts),
    )
    return True


def _cap(state: EntryState, account: Account, now: float) -> Cap:
    """Return an account's cap, with what is left of the one before."""
    limit = limit_of(state, account)
    known = state.caps.get(account.name)
    if known is None:
        hosts = max(1 + len(state.hosts), len(state.site.seeds))
        level = limit.burst * START_FILL / hosts
        return Cap(limit.rate, limit.burst, level, allowance=level, at=now)
    known.refill(now)
    return replace(known, rate=limit.rate, burst=limit.burst)


def apply_registration(
    state: EntryState, name: str, row: EngineEntry | None, offset: int
) -> None:
    """Bring an engine's row in line with its entry."""
    known = state.registry.entries.get(name)
    changed = state.registry.apply(name, row, offset)
    if changed is None:
        return
    state.log(
        LogEvent.ENGINE_CHANGED,
        engine=name,
        backend=changed.backend,
        zone=changed.zone,
        leaving=changed.leaving,
        gone=changed.gone,
        leaves_s=changed.leaves_s,
        spot=changed.spot,
        offset=offset,
    )
    reborn = known is not None and known.born != changed.born
    engine = state.view.engines.get(name)
    if engine is not None and (reborn or _moved(known, changed)):
        state.view.remove(name)
        engine = None
    if changed.gone:
        state.view.remove(name)
        return
    if changed.leaving:
        if engine is not None and engine.leaving_at == inf:
            engine.leaving_at = boot_time()
        return
    if engine is None or engine.leaving_at < inf:
        state.view.remove(name)
        state.view.add(new_engine(_server(state, changed)))
    for notify in list(state.fleet_changed):
        notify()


def _moved(known: EngineEntry | None, row: EngineEntry) -> bool:
    return known is not None and (known.address, known.backend) != (
        row.address,
        row.backend,
    )


def _server(state: EntryState, row: EngineEntry) -> BackendServer:
    """Return the registered engine as the backend server it is."""
    service = (
        None if state.book is None else state.book.services.get(row.backend)
    )
    return BackendServer(
        name=row.engine,
        kind="model" if service is not None and service.model else "service",
        host=row.engine,
        zone=row.zone,
        address=row.address,
        backend=row.backend,
        checks_fencing=False,
        reclaimable=row.spot,
        slots=max(1, row.slots),
        prefill_rate=USUAL_PREFILL_RATE,
    )
