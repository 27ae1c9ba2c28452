"""Engines' versions at a host: which get a request, and what they answered."""

from math import inf
from typing import Any

from magnoliaflow.cluster.rolloutversions import ALL_VERSIONS
from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.codes import Code
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.streamorigins import find_origin
from magnoliaflow.policy.rollouts import latency_class
from magnoliaflow.policy.routes import RouteKind


def find_sides(handler: Any) -> tuple[tuple[str, ...], ...]:
    """Return the versions for a request, in order of preference.

    A stream that has begun is held to the version that began it.
    """
    state: EntryState = handler.state
    origin = find_origin(handler)
    if not state.host_settings.judges_rollouts:
        if origin is not None:
            return ((origin.version,),)
        if handler.route.kind is not RouteKind.STREAM:
            return ALL_VERSIONS
        present = state.routing.versions.get(handler.service, {})
        return state.origins.sides(handler.service, present, boot_time())
    sides = _ordered_sides(handler, state)
    if origin is None:
        return sides
    is_allowed = not sides or any(origin.version in side for side in sides)
    return ((origin.version,),) if is_allowed else ((),)


def _ordered_sides(
    handler: Any, state: EntryState
) -> tuple[tuple[str, ...], ...]:
    """Return the versions that the roll-outs allow."""
    began_on = None
    if handler.attempts_sent and handler.attempt is not None:
        began_on = handler.attempt.engine.cfg.version
    has_read = state.orders_read_at > -inf
    return state.rollouts.sides(
        handler.service,
        handler.route.name,
        handler.call.request_id,
        state.routing.versions.get(handler.service, {}),
        now=boot_time(),
        orders_read_at=state.config_confirmed_at if has_read else -inf,
        began_on=began_on,
    )


def may_send_to(handler: Any, version: str) -> bool:
    """Return whether a request may go to a version at this moment.

    The engine was chosen before the connection opened, and the decision may
    have changed since, or the process was suspended.
    """
    sides = find_sides(handler)
    return not sides or any(version in side for side in sides)


class Watch:
    """What is seen of one attempt, for its version's tally.

    It runs from its selection on; the rest is counted once it is sent.
    """

    __slots__ = ("key", "order", "sent_at", "state")

    def __init__(self, state: EntryState, key: tuple[str, str, str]) -> None:
        self.state = state
        self.key = key
        self.sent_at = boot_time()
        self.order = -1
        state.rollouts.running[key] += 1

    def send(self) -> None:
        """Count the send."""
        rollouts = self.state.rollouts
        self.sent_at = boot_time()
        self.order = rollouts.target_of(self.key[0])[1]
        if self.order >= 0:
            rollouts.tally(*self.key).sent += 1

    def end(self, *, failed: bool, counts_time: bool) -> None:
        """Count the end of the attempt, which may be before its answer's."""
        rollouts, (service, _, version) = self.state.rollouts, self.key
        rollouts.running[self.key] -= 1
        if self.order < 0 or rollouts.target_of(service)[1] != self.order:
            return
        tally = rollouts.tally(*self.key)
        tally.finished += 1
        if failed:
            tally.failed += 1
            self.state.metrics.bad_answers.labels(service, version).inc()
        elif counts_time:
            number = latency_class(boot_time() - self.sent_at)
            tally.latencies[number] += 1


def watch_attempt(attempt: Any) -> Watch | None:
    """Return the watch of an attempt whose connection opens."""
    handler = attempt.handler
    state: EntryState = handler.state
    if not state.host_settings.judges_rollouts:
        return None
    version = attempt.engine.cfg.version
    return Watch(state, (handler.service, handler.route.name, version))


def send_watch(attempt: Any) -> None:
    """Count an attempt that is sent now."""
    if attempt.watch is None:
        attempt.watch = watch_attempt(attempt)
    if attempt.watch is not None:
        attempt.watch.send()


def end_watch(attempt: Any, *, failed: bool) -> None:
    """Count an answer that is whole, or failed."""
    watch, attempt.watch = attempt.watch, None
    if watch is not None:
        watch.end(failed=failed, counts_time=True)


def drop_watch(attempt: Any, *, not_run: bool = False) -> None:
    """Count an attempt that was given up.

    It has lasted at least until now, unless its caller left or the engine did
    not run it.
    """
    watch, attempt.watch = attempt.watch, None
    if watch is not None:
        left = attempt.handler.code is Code.CANCELLED
        watch.end(failed=False, counts_time=not (left or not_run))
