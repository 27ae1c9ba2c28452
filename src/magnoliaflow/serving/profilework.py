"""Keeping profiles current: news from peers and snapshots on the log."""

from math import inf

from magnoliaflow.common.codec import decode_record
from magnoliaflow.common.codec import encode_record
from magnoliaflow.common.errors import RecordError
from magnoliaflow.common.messages import News
from magnoliaflow.common.messages import NewsRecord
from magnoliaflow.common.messages import NewsRequest
from magnoliaflow.common.records import ProfileSnapshot
from magnoliaflow.common.records import Record
from magnoliaflow.core.state import GatewayState
from magnoliaflow.core.state import PROFILE_STREAM
from magnoliaflow.core.systems import on_timer
from magnoliaflow.core.systems import receives
from magnoliaflow.core.systems import system
from magnoliaflow.serving.logsession import append
from magnoliaflow.serving.membership import successor_of

NEWS_PERIOD_S = 0.5
SNAPSHOT_CHECK_S = 2.0
HISTORY_WAIT_S = 10.0


@system(45)
def ask_for_news(state: GatewayState) -> None:
    """Ask a peer that is ahead for the profiles it knows."""
    if not state.peer_check_due:
        return
    cursor = state.cursors[PROFILE_STREAM]
    ahead = [
        peer
        for peer in state.peers
        if peer.applied.get(PROFILE_STREAM, -1) >= cursor.next_offset
    ]
    if not ahead and state.profiles.complete:
        cursor.behind_since = inf
        return
    cursor.behind_since = min(cursor.behind_since, state.now)
    if not ahead:
        ahead = list(state.peers)
    if state.now - cursor.gossip_requested_at < NEWS_PERIOD_S or not ahead:
        return
    cursor.gossip_requested_at = state.now
    peer = state.rng.choice(ahead)
    state.send(peer.identity, NewsRequest(PROFILE_STREAM, cursor.next_offset))


@receives(NewsRequest)
def give_news(state: GatewayState, sender: str, msg: NewsRequest) -> None:
    """Answer with every profile, if this process has them all."""
    book = state.profiles
    if msg.stream != PROFILE_STREAM or not book.complete:
        return
    record = Record("", book.snapshot(written_at=state.wall))
    news = NewsRecord(book.applied, encode_record(record))
    state.send(sender, News(PROFILE_STREAM, (news,)))


@receives(News)
def take_news(state: GatewayState, sender: str, msg: News) -> None:
    """Adopt the profiles of a peer that is ahead."""
    cursor = state.cursors[PROFILE_STREAM]
    for news in msg.records:
        try:
            body = decode_record(news.data).body
        except RecordError:
            continue
        if isinstance(body, ProfileSnapshot):
            state.profiles.install_snapshot(body)
            cursor.next_offset = max(
                cursor.next_offset, state.profiles.applied + 1
            )


@on_timer("snapshot")
def append_snapshot(state: GatewayState, subject: str) -> None:
    """Append a snapshot of the profiles before retention ends."""
    state.set_timer(SNAPSHOT_CHECK_S, "snapshot", "")
    book = state.profiles
    period = state.cfg.timings.retention_s / 4
    if not book.complete:
        period = HISTORY_WAIT_S
    last = max(book.last_snapshot_at, state.last_snapshot_at)
    if not state.log_up or state.wall - last < period:
        return
    if successor_of(state, "snapshot") != state.identity:
        return
    state.last_snapshot_at = state.wall
    snapshot = book.snapshot(written_at=state.wall)
    if not book.complete:
        snapshot = ProfileSnapshot(
            snapshot.entries, book.first_offset - 1, state.wall
        )
    append(state, PROFILE_STREAM, snapshot)
