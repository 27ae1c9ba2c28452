"""Registries of handlers and systems, and the core that runs them."""

from collections.abc import Callable
from typing import Any

from magnoliaflow.common.ticking import registrar
from magnoliaflow.common.ticking import SystemRow
from magnoliaflow.core.commands import Command
from magnoliaflow.core.inputs import Input
from magnoliaflow.core.inputs import MessageArrived
from magnoliaflow.core.state import GatewayState

Handler = Callable[[GatewayState, Any], None]
MessageHandler = Callable[[GatewayState, str, Any], None]

HANDLERS: dict[type, Handler] = {}
MESSAGE_HANDLERS: dict[type, MessageHandler] = {}
TIMER_HANDLERS: dict[str, Handler] = {}
SYSTEMS: list[SystemRow] = []
system = registrar(SYSTEMS)


def handles(kind: type) -> Callable[[Handler], Handler]:
    """Register the handler of an input type."""

    def register(function: Handler) -> Handler:
        HANDLERS[kind] = function
        return function

    return register


def receives(kind: type) -> Callable[[MessageHandler], MessageHandler]:
    """Register the handler of a peer message type."""

    def register(function: MessageHandler) -> MessageHandler:
        MESSAGE_HANDLERS[kind] = function
        return function

    return register


def on_timer(kind: str) -> Callable[[Handler], Handler]:
    """Register the handler of a timer kind; it takes the subject."""

    def register(function: Handler) -> Handler:
        TIMER_HANDLERS[kind] = function
        return function

    return register


class Core:
    """Decisions of one gateway: inputs in, commands out.

    It does no I/O, reads no clock and draws no random number that is not
    handed to it: the same inputs give the same commands.
    """

    __slots__ = ("state",)

    def __init__(self, state: GatewayState) -> None:
        self.state = state

    def receive(self, item: Input, *, now: float, wall: float) -> None:
        """Apply one input; a tick must follow."""
        self.state.now = max(self.state.now, now)
        self.state.wall = wall
        if isinstance(item, MessageArrived):
            handler = MESSAGE_HANDLERS.get(type(item.message))
            if handler is not None:
                handler(self.state, item.sender, item.message)
            return
        HANDLERS[type(item)](self.state, item)

    def tick(self, *, now: float, wall: float) -> list[Command]:
        """Run due timers and every system; return the commands."""
        state = self.state
        state.now = max(state.now, now)
        state.wall = wall
        for timer in state.due_timers():
            TIMER_HANDLERS[timer.kind](state, timer.subject)
        for _, _, function in SYSTEMS:
            function(state)
        state.last_tick_at = state.now
        commands = state.commands
        state.commands = []
        return commands
