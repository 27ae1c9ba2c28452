"""Beats between entry hosts: signs of life with what others need."""

from dataclasses import dataclass

from xxhash import xxh64_intdigest

from magnoliaflow.cluster.peers import PeerLinks
from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.errors import PortError
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.lifecycle import Phase
from magnoliaflow.common.messages import AccountDemand
from magnoliaflow.common.messages import Beat
from magnoliaflow.common.messages import EngineEntry
from magnoliaflow.common.messages import EngineLoad
from magnoliaflow.common.messages import Message
from magnoliaflow.common.messages import ServiceLoad
from magnoliaflow.common.messages import UsageCount
from magnoliaflow.entry.apply import apply_document
from magnoliaflow.entry.apply import apply_registration
from magnoliaflow.entry.capshares import deal_caps
from magnoliaflow.entry.state import beat_period
from magnoliaflow.entry.state import DUTY_LEASE
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.state import Host
from magnoliaflow.platform.document import decode_document

# A host that was silent this long is forgotten: longer than any partition
# that a platform's bounds name.
FORGET_S = 30.0
# Addresses that never answered are asked this much less often, once as many
# rounds have passed: hosts that start together hear of each other soon.
COLD_FACTOR = 8
# Hosts that pass news on to one host beside the holder of the duties.
HELPERS = 3
# A configuration is passed on to a host that still lacks it this long after
# it came: its own long poll is faster.
OWN_READ_S = 0.5
# Registrations older than this at a host are renewed by its helpers.
STALE_S = 1.0
# Least time between rounds that the holder of the duties sends for news.
PUSH_S = 0.2
# Part of the difference between clocks that one beat corrects.
CLOCK_STEP = 0.5
# Differences below a beat's way and a busy tick are no jump.
SMALL_CLOCK_GAP_S = 0.02


class BeatSender:
    """Sends this host's beats."""

    __slots__ = (
        "due_at",
        "links",
        "pushed_at",
        "pushed_end",
        "round",
        "state",
    )

    def __init__(self, state: EntryState) -> None:
        self.state = state
        self.links = PeerLinks(state.identity)
        self.due_at = 0.0
        self.pushed_at = 0.0
        self.pushed_end = -1
        self.round = 0

    def step(self, now: float) -> None:
        """Send a round of beats when it is due."""
        news = self.state.keeper.holds(now) and self._has_news()
        if now < self.due_at and not (news and now >= self.pushed_at + PUSH_S):
            return
        self.pushed_at = now
        self.pushed_end = self.state.registry.last_change_offset
        self.due_at = now + beat_period(len(self.state.hosts))
        self.send_round(now)

    def _has_news(self) -> bool:
        """Return whether an engine's entry changed since the last round."""
        return self.state.registry.last_change_offset > self.pushed_end

    def send_round(self, now: float) -> None:
        """Send a beat to every host that is known."""
        state = self.state
        self.round += 1
        _forget(state, now)
        drop_loads(state, now)
        state.view.crowd = 1.0 + len(state.hosts)
        state.told_demands = {
            name: row.current(now) for name, row in state.demands.items()
        }
        deal_caps(state, now)
        warm = {row.beat.peer_address: row for row in state.hosts}
        for address, host in warm.items():
            beat = make_beat(
                state, now, host, full=self.round % COLD_FACTOR == 1
            )
            self.links.send(address, beat)
        if self.round <= COLD_FACTOR or self.round % COLD_FACTOR == 1:
            own = state.site.peer_address
            for address in state.peer_addresses:
                if address not in warm and address != own:
                    self.links.send(address, make_beat(state, now, None))


def _forget(state: EntryState, now: float) -> None:
    """Drop hosts that were silent for long."""
    for row in list(state.hosts):
        if now - row.heard_at > FORGET_S:
            state.hosts.drop(row.name)
            state.log(LogEvent.PEER_DEAD, host=row.name)


def helps(state: EntryState, host: Host) -> bool:
    """Return whether this host passes news on to another.

    Each host has a few helpers, so that news reach one that the store
    turns away, and a large deployment does not send them to it from all.
    """
    rivals = [row.name for row in state.hosts if row.name != host.name]
    own = _help_score(state.site.host, host.name)
    before = sum(1 for name in rivals if _help_score(name, host.name) > own)
    return before < HELPERS


def _help_score(helper: str, host: str) -> int:
    return int(xxh64_intdigest(f"{helper}>{host}".encode()))


@dataclass(frozen=True, slots=True)
class News:
    """What a host is passed on, as the fields of a beat."""

    entries_from: int = -1
    entries: tuple[EngineEntry, ...] = ()
    document: bytes = b""


def _news_for(state: EntryState, now: float, host: Host) -> News:
    """Return the engines' entries and the configuration a host lacks."""
    beat = host.beat
    helper = helps(state, host)
    start = -1
    entries: tuple[EngineEntry, ...] = ()
    stale = beat.fleet_age + now - host.heard_at > STALE_S
    if state.keeper.holds(now) or (helper and stale):
        since = max(0, beat.fleet_end)
        entries = state.registry.changed_since(since)
        start = since if state.registry.complete_since(since) else -1
    book = state.book
    lacks = book is not None and book.version > beat.version
    if lacks and helper and now > state.book_at + OWN_READ_S:
        return News(start, entries, state.book_data)
    return News(start, entries)


def make_beat(
    state: EntryState, now: float, host: Host | None, *, full: bool = True
) -> Beat:
    """Return this host's beat; what ``host`` has already is left out.

    ``full``: with the addresses of other hosts.
    """
    book = state.book
    news = News() if host is None else _news_for(state, now, host)
    usage = []
    if host is not None and wants_usage(state, host):
        usage = state.usage.rows_of(state.identity)
    return Beat(
        identity=state.identity,
        host=state.site.host,
        zone=state.site.zone,
        caller_address=state.site.caller_address,
        peer_address=state.site.peer_address,
        ready=state.ready(now),
        leaving=state.phase >= Phase.DRAINING,
        true_time=state.true_time(now),
        version=-1 if book is None else book.version,
        config_age=min(1e6, state.config_age(now)),
        fleet_end=state.registry.end,
        fleet_age=min(1e6, now - state.fleet_at),
        lease_fence=(state.keeper.fence if state.keeper.holds(now) else -1),
        lease_offset=state.keeper.last_offset,
        lease_age=state.keeper.record_age(now),
        peers=tuple(row.beat.peer_address for row in state.hosts if full),
        demands=tuple(
            AccountDemand(name, rate, state.spent[name])
            for name, rate in state.told_demands.items()
            if rate > 0.01
        ),
        usage=tuple(
            UsageCount(account, window, count)
            for window, account, count in usage
        ),
        engines=tuple(
            EngineLoad(row.name, row.own_running, row.unread_tokens)
            for row in state.view.engines.values()
            if row.own_running
        ),
        services=tuple(
            ServiceLoad(name, flow.demand.current(now), flow.running)
            for name, flow in state.flows.items()
        ),
        entries_from=news.entries_from,
        entries=news.entries,
        document=news.document,
    )


def wants_usage(state: EntryState, host: Host) -> bool:
    """Return whether a host keeps the others' counts.

    The holder of the duties does, and each host's helpers, so that the
    counts of a host that is killed outlive a change of the holder.
    """
    return (
        host.beat.lease_fence >= 0
        or len(state.hosts) <= HELPERS
        or helps(state, host)
    )


def take_message(state: EntryState, sender: str, message: Message) -> None:
    """Take in a peer's message; entry hosts send beats only."""
    if not isinstance(message, Beat) or message.host == state.site.host:
        return
    now = boot_time()
    known = state.hosts.get(message.host)
    if known is None or known.beat.identity != message.identity:
        state.log(
            LogEvent.PEER_ALIVE, host=message.host, identity=message.identity
        )
    _take_spent(state, message, known, now)
    state.peer_addresses[message.peer_address] = now
    for address in message.peers:
        state.peer_addresses.setdefault(address, now)
    _take_config(state, message, now)
    _take_fleet(state, message, now)
    for row in message.usage:
        state.usage.take(message.identity, row.account, row.window, row.count)
    if message.lease_fence >= 0:
        state.keeper.lease_table.observe_holder(
            DUTY_LEASE,
            message.identity,
            message.lease_fence,
            message.lease_offset,
            now - message.lease_age,
        )
    _take_loads(state, message, known, now)
    _set_clock(state, now)


def _take_spent(
    state: EntryState, beat: Beat, known: Host | None, now: float
) -> None:
    """Note a host, and what it took of the accounts' caps since its last.

    What a host had taken before it was first heard is not known here.
    """
    spent: dict[str, float] = {}
    if known is not None and known.beat.identity == beat.identity:
        spent = known.spent
    for row in beat.demands:
        cap = state.caps.get(row.account)
        if cap is not None and known is not None:
            cap.note_spent(row.spent - spent.get(row.account, 0.0), now)
        spent[row.account] = row.spent
    state.hosts.put(beat.host, Host(beat.host, beat, now, spent))


def _take_config(state: EntryState, beat: Beat, now: float) -> None:
    """Take over a newer configuration, or its confirmation."""
    version = -1 if state.book is None else state.book.version
    if beat.document and beat.version > version:
        try:
            book = decode_document(beat.document)
        except PortError as exc:
            state.log(LogEvent.RECORD_UNREADABLE, reason=str(exc))
            return
        apply_document(state, book, beat.document)
        version = book.version
    if beat.version == version:
        confirmed = now - beat.config_age
        state.confirmed_at = max(state.confirmed_at, confirmed)


def _take_fleet(state: EntryState, beat: Beat, now: float) -> None:
    """Take over engines' entries that are newer than those known."""
    if not state.registry.entries and not beat.entries:
        return
    for row in beat.entries:
        apply_registration(
            state,
            row.engine,
            None if row.gone else row,
            row.offset,
        )
    end = state.registry.end
    whole = 0 <= beat.entries_from <= end <= beat.fleet_end
    if whole or beat.fleet_end == end:
        state.registry.advance(beat.fleet_end)
        state.fleet_at = max(state.fleet_at, now - beat.fleet_age)


def _take_loads(
    state: EntryState, beat: Beat, known: Host | None, now: float
) -> None:
    """Take over what a host has open at each engine."""
    told = {row.engine: row for row in beat.engines}
    before = () if known is None else known.beat.engines
    for name in {*told, *(row.engine for row in before)}:
        engine = state.view.engines.get(name)
        if engine is None:
            continue
        row = told.get(name)
        running = 0 if row is None else row.running
        unread = 0 if row is None else row.unread_tokens
        engine.note_peer(beat.host, running, unread, now)


def drop_loads(state: EntryState, now: float) -> None:
    """Forget the open requests of hosts that fell silent."""
    heard = {row.name for row in state.heard_hosts(now)}
    for engine in state.view.engines.values():
        for name in [name for name in engine.peers if name not in heard]:
            engine.note_peer(name, 0, 0, now)


def _set_clock(state: EntryState, now: float) -> None:
    """Move this host's estimate of true time to the median of all.

    A clock that jumped, here or elsewhere, is outvoted.
    """
    gaps = sorted(
        [0.0]
        + [
            row.beat.true_time - state.true_time(row.heard_at)
            for row in state.heard_hosts(now)
        ]
    )
    gap = gaps[len(gaps) // 2]
    if len(gaps) > 2 and abs(gap) > SMALL_CLOCK_GAP_S:
        state.clock_offset += gap * CLOCK_STEP
