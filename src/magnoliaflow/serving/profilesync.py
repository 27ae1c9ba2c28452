"""Synchronization of profiles: gossip and snapshots on the log."""

from math import inf

from magnoliaflow.cluster.positions import era_of
from magnoliaflow.cluster.positions import offset_of
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
from magnoliaflow.serving.logstreams import append
from magnoliaflow.serving.membership import successor_of

GOSSIP_INTERVAL_S = 0.5
SNAPSHOT_CHECK_INTERVAL_S = 2.0
HISTORY_TIMEOUT_S = 10.0


@system(45)
def request_gossip(state: GatewayState) -> None:
    """Request the profiles of a peer that is ahead.

    A process without the full history asks any peer.
    """
    if not state.peer_check_due:
        return
    cursor = state.cursors[PROFILE_STREAM]
    ahead = [
        peer
        for peer in state.peers
        if peer.applied.get(PROFILE_STREAM, -1) >= cursor.position
    ]
    if not ahead and state.profiles.complete:
        cursor.behind_since = inf
        return
    cursor.behind_since = min(cursor.behind_since, state.now)
    if not ahead:
        ahead = list(state.peers)
    if state.now - cursor.gossip_requested_at < GOSSIP_INTERVAL_S or not ahead:
        return
    cursor.gossip_requested_at = state.now
    peer = state.rng.choice(ahead)
    state.send(peer.identity, NewsRequest(PROFILE_STREAM, cursor.next_offset))


@receives(NewsRequest)
def handle_news_request(
    state: GatewayState, sender: str, msg: NewsRequest
) -> None:
    """Send all profiles to a peer, if this process has the history."""
    profile_table = state.profiles
    if msg.stream != PROFILE_STREAM or not profile_table.complete:
        return
    record = Record("", profile_table.snapshot(written_at=state.wall))
    news = NewsRecord(profile_table.applied, encode_record(record))
    state.send(sender, News(PROFILE_STREAM, (news,)))


@receives(News)
def handle_news(state: GatewayState, sender: str, msg: News) -> None:
    """Adopt the profiles of a peer that is ahead."""
    cursor = state.cursors[PROFILE_STREAM]
    for news in msg.records:
        try:
            body = decode_record(news.data).body
        except RecordError:
            continue
        if isinstance(body, ProfileSnapshot):
            state.profiles.install_snapshot(body)
            applied = state.profiles.applied
            if era_of(applied) == cursor.era and cursor.restore is None:
                cursor.next_offset = max(
                    cursor.next_offset, offset_of(applied) + 1
                )


@on_timer("snapshot")
def append_snapshot(state: GatewayState, subject: str) -> None:
    """Append a snapshot of the profiles before the last one is trimmed."""
    state.set_timer(SNAPSHOT_CHECK_INTERVAL_S, "snapshot", "")
    profile_table = state.profiles
    interval_s = state.cfg.timings.retention_s / 4
    if not profile_table.complete:
        interval_s = HISTORY_TIMEOUT_S
    last_snapshot_at = max(
        profile_table.last_snapshot_at, state.last_snapshot_at
    )
    if not state.log_up or state.wall - last_snapshot_at < interval_s:
        return
    if successor_of(state, "snapshot") != state.identity:
        return
    state.last_snapshot_at = state.wall
    snapshot = profile_table.snapshot(written_at=state.wall)
    if not profile_table.complete:
        snapshot = ProfileSnapshot(
            snapshot.entries, profile_table.first_offset - 1, state.wall
        )
    append(state, PROFILE_STREAM, snapshot)
