"""Virtual time: actions in the order in which they are due."""

from heapq import heappop
from heapq import heappush
from itertools import count


class VirtualTime:
    """The current time in seconds, and actions that are due later."""

    def __init__(self):
        self.now = 0.0
        self.events = []
        self.numbers = count()

    def push(self, delay, action, *args):
        """Schedule an action."""
        heappush(
            self.events, (self.now + delay, next(self.numbers), action, args)
        )

    def run(self, duration_s):
        """Let time pass."""
        until = self.now + duration_s
        while self.events and self.events[0][0] <= until:
            self.now, _, action, args = heappop(self.events)
            action(*args)
        self.now = until
