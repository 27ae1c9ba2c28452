"""Life cycle of a daemon as a state machine."""

from enum import IntEnum
from typing import Protocol

from automat import TypeMachineBuilder


class Phase(IntEnum):
    """Phases of a daemon; heartbeats carry the numbers."""

    STARTING = 0
    SERVING = 1
    DRAINING = 2
    STOPPED = 3


class LifeCycle(Protocol):
    """Inputs of the state machine."""

    def ready(self) -> None:
        """Start to take work."""

    def drain(self) -> None:
        """Take no new work and finish what is in progress."""

    def finish(self) -> None:
        """Stop, once nothing is in progress."""

    def phase(self) -> Phase:
        """Return the current phase."""


class LifeCycleData:
    """Empty state data, which automat requires."""

    __slots__ = ()


def _build() -> TypeMachineBuilder[LifeCycle, LifeCycleData]:
    builder = TypeMachineBuilder(LifeCycle, LifeCycleData)
    states = {phase: builder.state(phase.name.lower()) for phase in Phase}
    starting = states[Phase.STARTING]
    serving = states[Phase.SERVING]
    draining = states[Phase.DRAINING]
    stopped = states[Phase.STOPPED]
    transitions = (
        (starting, LifeCycle.ready, serving),
        (starting, LifeCycle.drain, draining),
        (starting, LifeCycle.finish, stopped),
        (serving, LifeCycle.ready, serving),
        (serving, LifeCycle.drain, draining),
        (draining, LifeCycle.ready, draining),
        (draining, LifeCycle.drain, draining),
        (draining, LifeCycle.finish, stopped),
        (stopped, LifeCycle.ready, stopped),
        (stopped, LifeCycle.drain, stopped),
        (stopped, LifeCycle.finish, stopped),
    )
    for source, trigger, target in transitions:
        source.upon(trigger).to(target).returns(None)
    for phase, state in states.items():
        state.upon(LifeCycle.phase).loop().returns(phase)
    return builder


LIFE_CYCLE = _build().build()


def new_life_cycle() -> LifeCycle:
    """Return a life cycle in the phase STARTING.

    >>> lifecycle = new_life_cycle()
    >>> lifecycle.ready(); lifecycle.drain(); lifecycle.phase().name
    'DRAINING'
    """
    return LIFE_CYCLE(LifeCycleData())
