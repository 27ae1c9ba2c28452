"""Registration of systems, functions that run in order each tick."""

from collections.abc import Callable
from typing import Any

System = Callable[[Any], None]
RegisteredSystem = tuple[int, str, System]


def registrar(
    systems: list[RegisteredSystem],
) -> Callable[[int], Callable[[System], System]]:
    """Return a decorator that adds a system to a list sorted by order."""

    def system(order: int) -> Callable[[System], System]:
        def register(function: System) -> System:
            systems.append((order, function.__name__, function))
            systems.sort(key=lambda entry: entry[:2])
            return function

        return register

    return system
