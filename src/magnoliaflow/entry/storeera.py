"""The era of the platform's store, which rises when it loses records."""

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.entry.state import EntryState


def observe_store_era(state: EntryState, era: int) -> None:
    """Record the era that an answer of the store names."""
    if era <= state.store_era:
        return
    previous, now = state.store_era, boot_time()
    state.store_era = era
    state.store_era_since = now
    state.metrics.store_era.set(era)
    if previous:
        state.metrics.store_restores.inc()
        state.log(LogEvent.STORE_RESTORED, era=era, previous=previous)


def store_details(state: EntryState) -> dict[str, object]:
    """Return what this host has of the store, for ``explain``."""
    now = boot_time()
    route_table = state.route_table
    return {
        "era": state.store_era,
        "since_s": round(max(-1.0, now - state.store_era_since), 3),
        "config_version": -1 if route_table is None else route_table.version,
        "config_age_s": round(min(1e6, state.config_age(now)), 3),
        "engines_end": state.registry.end,
        "engines_age_s": round(min(1e6, now - state.registry_confirmed_at), 3),
        "fence": state.lease_manager.fence,
        "holds_lease": state.lease_manager.holds(now),
    }
