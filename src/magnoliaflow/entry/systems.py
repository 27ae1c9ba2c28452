"""Registry of the systems of the entry process."""

from magnoliaflow.common.systemregistry import RegisteredSystem
from magnoliaflow.common.systemregistry import registrar

ENTRY_SYSTEMS: list[RegisteredSystem] = []
system = registrar(ENTRY_SYSTEMS)
