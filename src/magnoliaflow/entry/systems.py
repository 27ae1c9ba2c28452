"""Registry of the systems of the entry process."""

from magnoliaflow.common.ticking import registrar
from magnoliaflow.common.ticking import SystemRow

ENTRY_SYSTEMS: list[SystemRow] = []
system = registrar(ENTRY_SYSTEMS)
