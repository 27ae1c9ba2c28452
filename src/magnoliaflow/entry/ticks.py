"""Registry of the entry process's systems."""

from magnoliaflow.common.systemregistry import RegisteredSystem
from magnoliaflow.common.systemregistry import registrar

ENTRY_SYSTEMS: list[RegisteredSystem] = []
system = registrar(ENTRY_SYSTEMS)
