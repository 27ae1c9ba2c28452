"""Versions of a service's engines that requests get without an order."""

from dataclasses import dataclass
from dataclasses import field

# No restriction on the versions of engines.
ALL_VERSIONS: tuple[tuple[str, ...], ...] = ()


@dataclass(slots=True)
class ServiceVersions:
    """The versions of a service's engines, as far as they matter.

    ``in_force`` had engines while this host had read the orders and none
    was in progress, or were completed; ``barred`` were rolled back, ``old``
    were in force before the last completion and have had engines since, as
    far as requests showed it.  ``seen`` are all since the last
    end of an order.
    """

    first_seen: dict[str, float] = field(default_factory=dict)
    in_force: set[str] = field(default_factory=set)
    barred: set[str] = field(default_factory=set)
    old: set[str] = field(default_factory=set)
    seen: set[str] = field(default_factory=set)

    def note(
        self, registered: dict[str, list[str]], now: float
    ) -> tuple[str, ...]:
        """Return the versions that have engines, and forget others."""
        present = {name for name, engines in registered.items() if engines}
        for name in self.first_seen.keys() - present:
            del self.first_seen[name]
        for name in present:
            self.first_seen.setdefault(name, now)
        self.seen |= present
        # Engines that come later are not those that the completion stopped.
        self.old &= present
        if self.in_force & present:
            self.in_force &= present
        return tuple(name for name in registered if name in present)

    def without_order(
        self, usable: tuple[str, ...], due: float
    ) -> tuple[tuple[str, ...], ...]:
        """Return the sides while no order is in progress.

        A version seen first after ``due`` may be named by an order that was
        not read yet: those in force are preferred, or the one seen first.
        """
        allowed = [name for name in usable if name not in self.barred]
        allowed = [name for name in allowed if name not in self.old] or allowed
        self.in_force |= {
            name for name in allowed if self.first_seen[name] < due
        }
        known = tuple(name for name in allowed if name in self.in_force)
        if not known and allowed:
            known = (min(allowed, key=self.first_seen.__getitem__),)
        if len(known) == len(usable) > 0:
            return ALL_VERSIONS
        unordered = tuple(name for name in allowed if name not in known)
        return (known, unordered) if unordered else (known,)
