"""In-memory tables with indexes and dirty tracking."""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterator
from typing import Generic
from typing import TypeVar

K = TypeVar("K", bound=Hashable)
R = TypeVar("R")


class Table(Generic[K, R]):
    """Rows by key, with indexes and a set of dirty rows.

    Indexes and the dirty set let a tick cost what changed rather than the
    size of the table.  A row whose indexed values change must be passed to
    ``touch``.

    >>> table = Table()
    >>> table.add_index("length", len)
    >>> table.put("a", "one")
    >>> table.put("b", "three")
    >>> table.find("length", 3)
    ['a']
    >>> sorted(table.take_dirty())
    ['a', 'b']
    """

    __slots__ = (
        "_dirty",
        "_index_functions",
        "_indexes",
        "_indexed_values",
        "rows",
    )

    def __init__(self) -> None:
        self.rows: dict[K, R] = {}
        self._dirty: dict[K, None] = {}
        self._index_functions: dict[str, Callable[[R], Hashable]] = {}
        self._indexes: dict[str, dict[Hashable, dict[K, None]]] = {}
        self._indexed_values: dict[K, list[Hashable]] = {}

    def add_index(self, name: str, function: Callable[[R], Hashable]) -> None:
        """Index rows by the value of a function; None is not indexed."""
        self._index_functions[name] = function
        self._indexes[name] = {}

    def put(self, key: K, row: R) -> None:
        """Insert or replace a row and mark it dirty."""
        self.rows[key] = row
        self.touch(key)

    def touch(self, key: K) -> None:
        """Mark a row dirty and update its indexes."""
        self._dirty[key] = None
        if not self._index_functions:
            return
        row = self.rows[key]
        values = [function(row) for function in self._index_functions.values()]
        self._unindex(key)
        self._indexed_values[key] = values
        for name, value in zip(self._index_functions, values):
            if value is not None:
                self._indexes[name].setdefault(value, {})[key] = None

    def drop(self, key: K) -> R | None:
        """Remove a row and return it, None if there was none."""
        self._unindex(key)
        self._dirty.pop(key, None)
        return self.rows.pop(key, None)

    def get(self, key: K) -> R | None:
        """Return a row, None if there is none."""
        return self.rows.get(key)

    def find(self, name: str, value: Hashable) -> list[K]:
        """Return the keys of the rows with this value in an index."""
        return list(self._indexes[name].get(value, ()))

    def count(self, name: str, value: Hashable) -> int:
        """Return the number of rows with this value in an index."""
        return len(self._indexes[name].get(value, ()))

    def take_dirty(self) -> list[K]:
        """Return and clear the keys touched since the last call."""
        keys = list(self._dirty)
        self._dirty.clear()
        return keys

    def __iter__(self) -> Iterator[R]:
        return iter(self.rows.values())

    def __len__(self) -> int:
        return len(self.rows)

    def __contains__(self, key: K) -> bool:
        return key in self.rows

    def _unindex(self, key: K) -> None:
        for name, value in zip(
            self._indexes, self._indexed_values.pop(key, ())
        ):
            keys = self._indexes[name].get(value)
            if keys is None:
                continue
            keys.pop(key, None)
            if not keys:
                del self._indexes[name][value]
