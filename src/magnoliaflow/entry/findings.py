"""Findings about prompts and engines, shared by all hosts."""

from functools import partial

from magnoliaflow.cluster.groups import rendezvous_score
from magnoliaflow.cluster.peers import PeerLinks
from magnoliaflow.cluster.spread import Spread
from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.messages import EndedEngine
from magnoliaflow.common.messages import Findings
from magnoliaflow.common.messages import NamedLimit
from magnoliaflow.common.messages import SoundAnswer
from magnoliaflow.common.messages import SuspectPart
from magnoliaflow.entry.departures import handle_departures
from magnoliaflow.entry.limits import apply_limits
from magnoliaflow.entry.state import EntryState
from magnoliaflow.policy.crashes import EngineEnd
from magnoliaflow.policy.crashes import Hold
from magnoliaflow.policy.crashes import is_request
from magnoliaflow.policy.crashes import PartEvidence
from magnoliaflow.policy.enginelimits import EngineLimit

# Retry-After of a part whose time is over: by then a trial has ended.
TRIAL_RETRY_AFTER_S = 5.0
# Rate in a message that stands for no limit.
NO_LIMIT = -1.0


class FindingsSender:
    """Sends this host's findings to others."""

    __slots__ = ("links", "spread", "state")

    def __init__(self, state: EntryState, links: PeerLinks) -> None:
        self.state = state
        self.links = links
        self.spread = Spread()

    def tick(self, now: float) -> None:
        """Send what is due, and log the parts held back or released."""
        state = self.state
        judge, limits = state.crash_judge, state.engine_limits
        known = limits or state.limited_engines
        departures = state.departures
        if not (
            judge.knows_any()
            or known
            or state.known_holds
            or departures.recent(now)
        ):
            return
        log_changed_holds(state, now)
        changed_at = max(
            judge.changed_at, limits.changed_at, departures.changed_at
        )
        count = self.spread.take_round(changed_at, now)
        if not count:
            return
        judge.expire(now)
        if known:
            limits.expire(now)
            apply_limits(state, now)
        findings = make_findings(state, now)
        hosts = state.live_hosts(now)
        if (
            findings.parts
            or findings.limits
            or findings.requests
            or findings.departures
        ):
            for fact in state.rng.sample(hosts, min(count, len(hosts))):
                self.links.send(fact.peer_address, findings)


def make_findings(state: EntryState, now: float) -> Findings:
    """Return this host's findings, with ages in place of times."""
    suspects = [
        SuspectPart(
            item.part,
            tuple(
                EndedEngine(end.engine, end.service, now - end.at)
                for end in item.ends
            ),
            tuple(SoundAnswer(name, now - at) for name, at in item.sound),
        )
        for item in state.crash_judge.evidence(now)
    ]
    limits = tuple(
        NamedLimit(
            limit.engine,
            NO_LIMIT if limit.rate is None else limit.rate,
            now - limit.named_at,
        )
        for limit in state.engine_limits.known()
    )
    return Findings(
        state.host_settings.host,
        tuple(item for item in suspects if not is_request(item.part)),
        limits,
        tuple(item for item in suspects if is_request(item.part)),
        state.departures.recent(now),
    )


def handle_findings(state: EntryState, findings: Findings) -> None:
    """Add another host's findings."""
    now = boot_time()
    evidence = [
        PartEvidence(
            item.part,
            tuple(
                EngineEnd(end.engine, end.backend, now - end.age, True)
                for end in item.ends
            ),
            tuple((answer.backend, now - answer.age) for answer in item.sound),
        )
        for item in (*findings.parts, *findings.requests)
    ]
    state.crash_judge.merge(evidence, now)
    limits = [
        EngineLimit(
            item.engine,
            None if item.rate < 0.0 else item.rate,
            now - item.age,
        )
        for item in findings.limits
    ]
    if state.engine_limits.merge(limits, now):
        apply_limits(state, now)
    handle_departures(state, findings.host, findings.departures)


def find_hold(
    state: EntryState, service: str, parts: tuple[str, ...], now: float
) -> Hold | None:
    """Return a hold that forbids to send a request with these parts."""
    return state.crash_judge.find_hold(
        service, parts, now, partial(_trial_rank, state, now)
    )


def hold_retry_after(hold: Hold, now: float) -> float:
    """Return the seconds until a held part may be served again."""
    return max(TRIAL_RETRY_AFTER_S, hold.until - now)


def holds_request(hold: Hold) -> bool:
    """Return whether a hold concerns one request."""
    return any(map(is_request, hold.parts))


def hold_details(hold: Hold, now: float) -> dict[str, object]:
    """Return the fields of a hold for logs and ``explain``."""
    return {
        "parts": [part for part in hold.parts if not is_request(part)],
        "requests": [part for part in hold.parts if is_request(part)],
        "engines": list(hold.engines),
        "services": list(hold.services),
        "until_s": round(hold.until - now, 3),
    }


def log_changed_holds(state: EntryState, now: float) -> None:
    """Log what is held back since, or no longer."""
    holds = state.crash_judge.holds()
    if holds == state.known_holds:
        return
    for hold in holds:
        if hold not in state.known_holds:
            event = (
                LogEvent.REQUEST_HELD
                if holds_request(hold)
                else LogEvent.PART_HELD
            )
            state.log(event, **hold_details(hold, now))
    parts = {hold.parts for hold in holds}
    for hold in state.known_holds:
        if hold.parts not in parts:
            event = (
                LogEvent.REQUEST_RELEASED
                if holds_request(hold)
                else LogEvent.PART_RELEASED
            )
            state.log(event, **hold_details(hold, now))
    state.known_holds = holds
    requests = sum(map(holds_request, holds))
    state.metrics.requests_held.set(requests)
    state.metrics.parts_held.set(len(holds) - requests)


def _trial_rank(state: EntryState, now: float, part: str) -> int:
    """Return this host's place in the order in which hosts try a part."""
    own_score = rendezvous_score(part, state.host_settings.host)
    return sum(
        1
        for fact in state.live_hosts(now)
        if rendezvous_score(part, fact.host) > own_score
    )
