"""Updates of the state from configurations and registrations."""

from dataclasses import replace
from math import inf

from magnoliaflow.cluster.positions import era_of
from magnoliaflow.cluster.positions import offset_of
from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.lifecycle import Phase
from magnoliaflow.common.messages import EngineEntry
from magnoliaflow.common.settings import BackendServer
from magnoliaflow.entry.capshares import account_limit
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.state import run_name
from magnoliaflow.policy.caps import Cap
from magnoliaflow.policy.caps import INITIAL_FILL
from magnoliaflow.policy.caps import LARGE_REQUEST_SHARE
from magnoliaflow.policy.engines import new_engine
from magnoliaflow.policy.engineversions import set_version
from magnoliaflow.policy.routes import Account
from magnoliaflow.policy.routes import RouteTable

# Assumed prompt tokens a second of an engine; predictions are corrected by
# the slowness that its answers show.
DEFAULT_PREFILL_RATE = 30_000.0
# Upper bound of logged ages: the age is infinite until a first read.
MAX_LOGGED_AGE_S = 1e6


def apply_config(
    state: EntryState,
    route_table: RouteTable,
    data: bytes,
    *,
    source: str = "store",
) -> bool:
    """Apply a configuration; return False unless it is newer.

    ``source`` names the host that passed it on.
    """
    if (
        state.route_table is not None
        and route_table.version <= state.route_table.version
    ):
        return False
    now = boot_time()
    is_restart = (
        state.route_table is None and not state.host_settings.first_start
    )
    previous = state.route_table
    state.route_table = route_table
    state.config_document = data
    state.config_applied_at = now
    accounts = route_table.accounts.values()
    state.caps = {
        account.name: _updated_cap(state, account, now, is_restart=is_restart)
        for account in accounts
        if account.rate > 0
    }
    if state.phase is Phase.STARTING:
        state.lifecycle.ready()
    state.log(
        LogEvent.PROFILE_IN_FORCE,
        version=route_table.version,
        previous=-1 if previous is None else previous.version,
        confirmed_s=round(min(MAX_LOGGED_AGE_S, state.config_age(now)), 3),
        source=source,
        routes=len(route_table.routes),
        accounts=len(route_table.accounts),
    )
    return True


def _updated_cap(
    state: EntryState, account: Account, now: float, *, is_restart: bool
) -> Cap:
    """Return an account's cap with the level of the previous one.

    With ``is_restart``, other processes may have used up all of the cap, and
    nothing is granted before some time has passed.
    """
    limit = account_limit(state, account)
    previous = state.caps.get(account.name)
    if previous is None:
        hosts = max(state.host_count(), len(state.host_settings.seeds))
        capacity = limit.burst / hosts
        allowance = capacity * (
            -LARGE_REQUEST_SHARE if is_restart else INITIAL_FILL
        )
        return Cap(
            limit.rate,
            limit.burst,
            max(0.0, allowance),
            share=1.0 / hosts,
            allowance=allowance,
            updated_at=now,
        )
    previous.refill(now)
    return replace(previous, rate=limit.rate, burst=limit.burst)


def apply_registration(
    state: EntryState,
    name: str,
    entry: EngineEntry | None,
    offset: int,
    *,
    alive: bool = False,
) -> None:
    """Apply a registration of an engine, None for its removal.

    ``offset`` and ``alive`` are as in EngineRegistry.apply.
    """
    previous = state.registry.entries.get(name)
    if entry is not None and run_name(name, entry.born) in state.departures:
        entry = replace(entry, leaving=True)
    changed = state.registry.apply(name, entry, offset, alive=alive)
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
        era=era_of(offset),
        offset=offset_of(offset),
        list_age_s=round(
            min(MAX_LOGGED_AGE_S, boot_time() - state.registry_confirmed_at),
            3,
        ),
    )
    restarted = previous is not None and previous.born != changed.born
    engine = state.routing.engines.get(name)
    if engine is not None and (restarted or _moved(previous, changed)):
        state.routing.remove(name)
        engine = None
    if changed.gone:
        state.routing.remove(name)
        if not changed.born:
            # The next run cannot be told from this one.
            state.departures.forget(run_name(name, changed.born))
        return
    if engine is not None and engine.cfg.version != changed.version:
        set_version(state.routing.versions, engine, changed.version)
    if changed.leaving:
        if engine is not None and engine.leaving_at == inf:
            engine.leaving_at = boot_time()
        return
    if engine is None or engine.leaving_at < inf:
        state.routing.remove(name)
        state.routing.add(
            new_engine(_backend_server(state, changed), state.engine_run(name))
        )


def _moved(previous: EngineEntry | None, entry: EngineEntry) -> bool:
    if previous is None:
        return False
    # Builds that lack versions pass on entries without them.
    other = previous.version not in ("", entry.version)
    return other or (
        (previous.address, previous.backend) != (entry.address, entry.backend)
    )


def _backend_server(state: EntryState, entry: EngineEntry) -> BackendServer:
    """Return the settings of a registered engine as a backend server."""
    service = (
        None
        if state.route_table is None
        else state.route_table.services.get(entry.backend)
    )
    return BackendServer(
        name=entry.engine,
        kind="model" if service is not None and service.model else "service",
        host=entry.engine,
        zone=entry.zone,
        address=entry.address,
        backend=entry.backend,
        checks_fencing=False,
        reclaimable=entry.spot,
        slots=max(1, entry.slots),
        prefill_rate=DEFAULT_PREFILL_RATE,
        version=entry.version,
    )
