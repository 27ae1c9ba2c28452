"""The planned stop of an entry process."""

from collections.abc import Callable

from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.codes import Code
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.loop import reactor
from magnoliaflow.entry.admission import Refusal
from magnoliaflow.entry.state import EntryState
from magnoliaflow.policy.drains import DrainWindow
from magnoliaflow.policy.drains import LongestDuration
from magnoliaflow.policy.routes import Route
from magnoliaflow.transport.server import ServerFactory

# A draining host listens for three TTLs of the directory's answers, since
# callers go on to use it for that long.
LISTEN_S = 3.3
# How often a draining process checks whether it may stop.
CHECK_INTERVAL_S = 0.1
# Retry-After of a request that a draining host does not take: while other
# hosts serve, and while none does.
ELSEWHERE_RETRY_AFTER_S = 0.05
NOWHERE_RETRY_AFTER_S = 1.0


def check_drain(
    state: EntryState, route: Route, deadline_at: float, now: float
) -> Refusal | None:
    """Return a refusal if a request would outlast this host's drain."""
    window = state.drain_window
    if window is None:
        return None
    longest = state.durations.get(route.name, LongestDuration())
    longest_s = longest.current(now)
    if window.takes(now, deadline_at, longest_s):
        return None
    served_elsewhere = any(fact.ready for fact in state.live_hosts(now))
    retry_after_s = (
        ELSEWHERE_RETRY_AFTER_S if served_elsewhere else NOWHERE_RETRY_AFTER_S
    )
    return Refusal(
        Code.DRAINING,
        retry_after_s * (1.0 + state.rng.random()),
        {
            "left_s": round(window.ends_at - now, 3),
            "longest_s": round(min(1e6, longest_s), 3),
        },
    )


class Drain:
    """Finishes the work of a process and then calls ``stop``.

    ``close_listener`` ends the acceptance of new connections, ``announce``
    tells the other hosts what this one has done so far.
    """

    __slots__ = ("announce", "close_listener", "factory", "state", "stop")

    def __init__(
        self,
        state: EntryState,
        factory: ServerFactory,
        *,
        close_listener: Callable[[], None],
        announce: Callable[[float], None],
        stop: Callable[[], None],
    ) -> None:
        self.state = state
        self.factory = factory
        self.close_listener = close_listener
        self.announce = announce
        self.stop = stop

    def start(self) -> None:
        """Close connections after their answers and wait for the last."""
        now = boot_time()
        grace_s = self.state.host_settings.grace_s
        self.state.drain_window = DrainWindow.begin(now, grace_s)
        self.factory.drain()
        self.announce(now)
        self.state.log(
            LogEvent.PROCESS_DRAINING, in_flight=len(self.state.calls)
        )
        self._check()

    def _check(self) -> None:
        """Stop when no connection is left or the drain takes too long."""
        now = boot_time()
        window = self.state.drain_window
        assert window is not None
        if now >= min(window.started_at + LISTEN_S, window.ends_at):
            self.close_listener()
            for conn in list(self.factory.connections):
                conn.close_if_idle()
        if now >= window.ends_at:
            self._end_requests()
        if self._is_listening(now) or (
            self.factory.connections and now < window.stops_at
        ):
            edges = (window.ends_at - now, window.stops_at - now)
            delay_s = min(edge for edge in edges if edge > 0)
            reactor.callLater(min(CHECK_INTERVAL_S, delay_s), self._check)
            return
        self.announce(now)
        self.state.log(
            LogEvent.PROCESS_STOPPED, in_flight=len(self.state.calls)
        )
        reactor.callLater(CHECK_INTERVAL_S, self.stop)

    def _is_listening(self, now: float) -> bool:
        window = self.state.drain_window
        assert window is not None
        return now < min(window.started_at + LISTEN_S, window.ends_at)

    def _end_requests(self) -> None:
        """Answer or abort what has not ended."""
        for handler in list(self.state.calls):
            handler.on_drain_end()
        for conn in list(self.factory.connections):
            conn.reject_incomplete(Code.DRAINING.http_status)
