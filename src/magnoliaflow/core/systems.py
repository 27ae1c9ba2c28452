"""Registration of handlers and systems, and the core that runs them."""

from collections.abc import Callable
from typing import Any

from magnoliaflow.common.systemregistry import RegisteredSystem
from magnoliaflow.common.systemregistry import registrar
from magnoliaflow.core.commands import Command
from magnoliaflow.core.inputs import Input
from magnoliaflow.core.inputs import MessageArrived
from magnoliaflow.core.state import GatewayState

Handler = Callable[[GatewayState, Any], None]
MessageHandler = Callable[[GatewayState, str, Any], None]

HANDLERS: dict[type, Handler] = {}
MESSAGE_HANDLERS: dict[type, MessageHandler] = {}
TIMER_HANDLERS: dict[str, Handler] = {}
SYSTEMS: list[RegisteredSystem] = []
system = registrar(SYSTEMS)


def handles(kind: type) -> Callable[[Handler], Handler]:
    """Return the decorator that registers the handler of an input type."""

    def register(function: Handler) -> Handler:
        HANDLERS[kind] = function
        return function

    return register


def receives(kind: type) -> Callable[[MessageHandler], MessageHandler]:
    """Return the decorator that registers the handler of a message type."""

    def register(function: MessageHandler) -> MessageHandler:
        MESSAGE_HANDLERS[kind] = function
        return function

    return register


def on_timer(kind: str) -> Callable[[Handler], Handler]:
    """Return the decorator that registers the handler of a timer kind.

    The handler is called with the state and the timer's subject.
    """

    def register(function: Handler) -> Handler:
        TIMER_HANDLERS[kind] = function
        return function

    return register


class Core:
    """Decision logic of one gateway: takes inputs and returns commands.

    It does no I/O and reads no clock; times and the random generator are
    passed in, so the same inputs always give the same commands.
    """

    __slots__ = ("state",)

    def __init__(self, state: GatewayState) -> None:
        self.state = state

    def receive(self, core_input: Input, *, now: float, wall: float) -> None:
        """Apply one input; the caller must run a tick afterwards."""
        self.state.now = max(self.state.now, now)
        self.state.wall = wall
        if isinstance(core_input, MessageArrived):
            handler = MESSAGE_HANDLERS.get(type(core_input.message))
            if handler is not None:
                handler(self.state, core_input.sender, core_input.message)
            return
        HANDLERS[type(core_input)](self.state, core_input)

    def tick(self, *, now: float, wall: float) -> list[Command]:
        """Run the due timers and all systems, and return the commands."""
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
