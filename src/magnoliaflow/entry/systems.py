"""Registry of the entry process's systems."""

from magnoliaflow.common.ticking import registrar
from magnoliaflow.common.ticking import SystemRow

ENTRY_SYSTEMS: list[SystemRow] = []
system = registrar(ENTRY_SYSTEMS)
