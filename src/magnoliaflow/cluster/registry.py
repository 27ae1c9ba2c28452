"""Engines as the platform's store lists them, in the order of its log."""

from dataclasses import replace

from magnoliaflow.common.messages import EngineEntry


class EngineRegistry:
    """Entries by engine id, with the log offset that each changed at.

    ``end`` is the offset read up to, ``changed_at`` that of the newest
    change.  Peers at a lower one are sent the
    rows that changed since.
    """

    __slots__ = ("last_change_offset", "end", "entries", "complete_from")

    def __init__(self) -> None:
        self.end = 0
        self.last_change_offset = -1
        self.complete_from = -1
        self.entries: dict[str, EngineEntry] = {}

    def apply(
        self, engine_id: str, row: EngineEntry | None, offset: int
    ) -> EngineEntry | None:
        """Apply an entry, None for a removal; return the row if it changed.

        An unreadable entry counts as a removal.  That of an engine which is
        not known is kept too: an older entry of it may come from a peer, and
        peers that hold one must learn of it.
        """
        known = self.entries.get(engine_id)
        if known is not None and offset <= known.offset:
            return None
        if known is None and offset < self.complete_from:
            return None
        if row is None:
            if known is None:
                known = EngineEntry(engine_id, "", "", "", 0, False)
            if known.gone:
                return None
            row = replace(known, gone=True)
        if known is not None and _same(known, row):
            return None
        self.last_change_offset = max(self.last_change_offset, offset)
        self.entries[engine_id] = replace(row, offset=offset)
        return self.entries[engine_id]

    def record_listing(self, end: int) -> None:
        """Note that a full listing up to ``end`` was applied.

        It shows no removals: what it lacks and is older is gone, and this
        host can tell others of removals only from there on.
        """
        self.complete_from = max(self.complete_from, end)

    def complete_since(self, offset: int) -> bool:
        """Return whether every change since an offset is known here."""
        return 0 <= self.complete_from <= offset

    def advance(self, end: int) -> None:
        """Note that every entry before ``end`` was applied."""
        self.end = max(self.end, end)

    def changed_since(self, offset: int) -> tuple[EngineEntry, ...]:
        """Return the rows that changed at or after an offset."""
        return tuple(
            row for row in self.entries.values() if row.offset >= offset
        )

    def missing(self, listed: set[str]) -> list[str]:
        """Return the engines present here that a full listing lacks."""
        return [
            name
            for name, row in self.entries.items()
            if not row.gone and name not in listed
        ]


def _same(known: EngineEntry, row: EngineEntry) -> bool:
    return replace(row, offset=known.offset, leaves_s=known.leaves_s) == known
