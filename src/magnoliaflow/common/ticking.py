"""Registration of systems, the functions that run in order each tick."""

from collections.abc import Callable
from typing import Any

System = Callable[[Any], None]
SystemRow = tuple[int, str, System]


def registrar(
    rows: list[SystemRow],
) -> Callable[[int], Callable[[System], System]]:
    """Return the decorator that adds systems to ``rows`` by their order."""

    def system(order: int) -> Callable[[System], System]:
        def register(function: System) -> System:
            rows.append((order, function.__name__, function))
            rows.sort(key=lambda item: item[:2])
            return function

        return register

    return system
