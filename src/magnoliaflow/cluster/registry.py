"""Engines as listed by the platform's store, in the order of its log."""

from dataclasses import replace

from magnoliaflow.cluster.positions import era_of
from magnoliaflow.common.messages import EngineEntry


class EngineRegistry:
    """Entries by engine id, each with the position of its last change.

    Entries before the position ``end`` were applied; ``last_change_offset``
    is the position of the latest change.  Peers at a lower position are sent
    the entries that changed since.

    After the store went back, a listing may hold entries that are older than
    the known ones.  Entries of the same run of an engine are therefore
    ordered by the sequence that the engine gives them.
    """

    __slots__ = ("last_change_offset", "end", "entries", "complete_from")

    def __init__(self) -> None:
        self.end = 0
        self.last_change_offset = -1
        self.complete_from = -1
        self.entries: dict[str, EngineEntry] = {}

    def apply(
        self,
        engine_id: str,
        entry: EngineEntry | None,
        offset: int,
        *,
        alive: bool = False,
    ) -> EngineEntry | None:
        """Apply an entry, or None for a removal; return it if it changed.

        ``offset`` is its position.  An unreadable entry counts as a removal.
        The removal of an unknown engine is kept as a tombstone, because a
        peer may still hold or send an older entry of that engine.  With
        ``alive``, the entry would have lapsed if its engine had left.
        """
        known = self.entries.get(engine_id)
        if known is None and offset < self.complete_from:
            return None
        if entry is None:
            entry = replace(
                known or EngineEntry(engine_id, "", "", "", 0, False),
                gone=True,
            )
        entry = replace(entry, offset=offset)
        if known is not None:
            if not self._supersedes(entry, known, alive):
                return None
            if not entry.version and entry.born == known.born:
                # It was passed on by a build that does not know of versions.
                entry = replace(entry, version=known.version)
            if known.gone and entry.gone:
                return None
            if _is_unchanged(known, entry):
                self.entries[engine_id] = replace(
                    known,
                    sequence=max(known.sequence, entry.sequence),
                    offset=self._reached_offset(entry, known),
                )
                return None
        self.last_change_offset = max(self.last_change_offset, offset)
        self.entries[engine_id] = entry
        return entry

    def _supersedes(
        self, entry: EngineEntry, known: EngineEntry, alive: bool
    ) -> bool:
        """Return whether an entry is newer than the known one."""
        same_run = entry.born == known.born
        numbered = min(entry.sequence, known.sequence) >= 0
        if same_run and numbered and entry.sequence != known.sequence:
            return entry.sequence > known.sequence
        may_be_copy = era_of(entry.offset) != era_of(known.offset) and (
            entry.offset < self.complete_from
            or era_of(entry.offset) > era_of(self.complete_from)
        )
        if not may_be_copy:
            return entry.offset > known.offset
        if same_run:
            return entry.gone or alive
        return entry.born > known.born

    def _reached_offset(self, entry: EngineEntry, known: EngineEntry) -> int:
        """Return the position of an engine whose entry is written as before.

        An engine that registers again is not removed by what was read before.
        """
        is_copy = era_of(entry.offset) not in (
            era_of(known.offset),
            era_of(self.complete_from),
        )
        return known.offset if is_copy else max(known.offset, entry.offset)

    def mark_leaving(self, engine_id: str) -> None:
        """Note that an engine has said itself that it leaves."""
        self.entries[engine_id] = replace(
            self.entries[engine_id], leaving=True
        )

    def record_listing(self, end: int) -> None:
        """Record that a full listing up to ``end`` was applied.

        A listing contains no tombstones.  Unknown engines with an older
        position are therefore ignored as removed, and removals can be
        reported to peers only from ``end`` on.
        """
        self.complete_from = max(self.complete_from, end)

    def complete_since(self, offset: int) -> bool:
        """Return whether every change since a position is known."""
        return 0 <= self.complete_from <= offset

    def advance(self, end: int) -> None:
        """Record that every entry before ``end`` was applied."""
        self.end = max(self.end, end)

    def changed_since(self, offset: int) -> tuple[EngineEntry, ...]:
        """Return the entries that changed at or after a position."""
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

    def any_gone(self, listed: set[str]) -> bool:
        """Return whether a listing has engines that are known to be gone."""
        return any(
            self.entries[name].gone for name in listed & self.entries.keys()
        )


def _is_unchanged(known: EngineEntry, entry: EngineEntry) -> bool:
    return (
        replace(
            entry,
            offset=known.offset,
            leaves_s=known.leaves_s,
            sequence=known.sequence,
        )
        == known
    )
