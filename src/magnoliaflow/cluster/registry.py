"""Engines as listed by the platform's store, in the order of its log."""

from dataclasses import replace

from magnoliaflow.common.messages import EngineEntry


class EngineRegistry:
    """Entries by engine id, each with the log offset of its last change.

    Entries before the offset ``end`` were applied; ``last_change_offset``
    is the offset of the latest change.  Peers at a lower offset are sent
    the entries that changed since.
    """

    __slots__ = ("last_change_offset", "end", "entries", "complete_from")

    def __init__(self) -> None:
        self.end = 0
        self.last_change_offset = -1
        self.complete_from = -1
        self.entries: dict[str, EngineEntry] = {}

    def apply(
        self, engine_id: str, entry: EngineEntry | None, offset: int
    ) -> EngineEntry | None:
        """Apply an entry, or None for a removal; return it if it changed.

        An unreadable entry counts as a removal.  The removal of an unknown
        engine is kept as a tombstone, because a peer may still hold or send
        an older entry of that engine.
        """
        known = self.entries.get(engine_id)
        if known is not None and offset <= known.offset:
            return None
        if known is None and offset < self.complete_from:
            return None
        if entry is None:
            if known is None:
                known = EngineEntry(engine_id, "", "", "", 0, False)
            if known.gone:
                return None
            entry = replace(known, gone=True)
        if known is not None and _is_unchanged(known, entry):
            return None
        self.last_change_offset = max(self.last_change_offset, offset)
        self.entries[engine_id] = replace(entry, offset=offset)
        return self.entries[engine_id]

    def record_listing(self, end: int) -> None:
        """Record that a full listing up to ``end`` was applied.

        A listing contains no tombstones.  Unknown engines with an older
        offset are therefore ignored as removed, and removals can be
        reported to peers only from ``end`` on.
        """
        self.complete_from = max(self.complete_from, end)

    def complete_since(self, offset: int) -> bool:
        """Return whether every change since an offset is known."""
        return 0 <= self.complete_from <= offset

    def advance(self, end: int) -> None:
        """Record that every entry before ``end`` was applied."""
        self.end = max(self.end, end)

    def changed_since(self, offset: int) -> tuple[EngineEntry, ...]:
        """Return the entries that changed at or after an offset."""
        return tuple(
            entry for entry in self.entries.values() if entry.offset >= offset
        )

    def missing(self, listed: set[str]) -> list[str]:
        """Return the known engines that are absent from a full listing."""
        return [
            name
            for name, entry in self.entries.items()
            if not entry.gone and name not in listed
        ]


def _is_unchanged(known: EngineEntry, entry: EngineEntry) -> bool:
    return (
        replace(entry, offset=known.offset, leaves_s=known.leaves_s) == known
    )
