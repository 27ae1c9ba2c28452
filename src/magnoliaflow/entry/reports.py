"""Reports, digests and views between the hosts of a large deployment.

Small deployments exchange heartbeats between all hosts instead (heartbeats).
"""

from dataclasses import replace
from math import inf

from magnoliaflow.cluster.peers import PeerLinks
from magnoliaflow.cluster.positions import era_of
from magnoliaflow.cluster.views import GroupView
from magnoliaflow.cluster.views import MEMBER_TIMEOUT_S
from magnoliaflow.cluster.views import REPORT_INTERVAL_S
from magnoliaflow.common.clocks import boot_time
from magnoliaflow.common.errors import PortError
from magnoliaflow.common.errors import RecordError
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.messages import Changes
from magnoliaflow.common.messages import HostFact
from magnoliaflow.common.messages import LeaseFact
from magnoliaflow.common.messages import Progress
from magnoliaflow.common.messages import Report
from magnoliaflow.common.messages import View
from magnoliaflow.entry.capshares import update_cap_shares
from magnoliaflow.entry.state import DUTY_LEASE
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.storeera import observe_store_era
from magnoliaflow.entry.updates import apply_config
from magnoliaflow.entry.updates import apply_registration
from magnoliaflow.entry.usagecounts import merge_usage
from magnoliaflow.entry.usagecounts import usage_rows
from magnoliaflow.platform.document import decode_document
from magnoliaflow.policy.clockbounds import offset_bounds

# Minimum interval of pushed changes: several registrations change at once.
MIN_PUSH_INTERVAL_S = 0.2
# Minimum interval of changes sent to one host, while its reports do not yet
# show that it has received them.
RESEND_INTERVAL_S = 1.0
# Hosts read a configuration of more bytes from the store, as copies for a
# whole group would fill the link of their publisher.  After this share of the
# time within which it must be in force the publisher sends it to those that
# still lack it, one at a time.
SMALL_DOCUMENT_BYTES = 16 * 1024
RELAY_DELAY_SHARE = 0.5
LARGE_RELAY_INTERVAL_S = 0.4
# Hosts of a lagging group have reached neither the store nor the lease holder
# for this long.
LAGGING_GROUP_S = 1.0
# Hosts asked for a view at once by a host that knows no aggregator.
MAX_CONTACTS = 3
# Name of the other hosts' load in an engine's loads by peer.
OTHERS = "others"


class ReportSender:
    """Sends this host's reports, digests, views and changes."""

    __slots__ = (
        "last_push_at",
        "last_pushed_offset",
        "last_pushed_version",
        "last_relay_at",
        "links",
        "next_round_at",
        "sent_changes",
        "state",
    )

    def __init__(self, state: EntryState, links: PeerLinks) -> None:
        self.state = state
        self.links = links
        self.next_round_at = 0.0
        self.last_push_at = 0.0
        self.last_pushed_offset = -1
        self.last_pushed_version = -1
        self.last_relay_at = -inf
        self.sent_changes: dict[str, tuple[int, int, float]] = {}

    def tick(self, now: float) -> None:
        """Send a round when it is due, and changes at once."""
        if not self.state.uses_groups():
            if now >= self.next_round_at:
                self.next_round_at = now + REPORT_INTERVAL_S
                self._answer_requests(None, now)
            return
        if self._has_changes() and now >= (
            self.last_push_at + MIN_PUSH_INTERVAL_S
        ):
            self.send_changes(now)
        if now >= self.next_round_at:
            self.next_round_at = now + REPORT_INTERVAL_S
            self.send_round(now)

    def _answer_requests(self, own_data: bytes | None, now: float) -> None:
        """Send views to the hosts that ask for one."""
        view = self.state.view
        asking = view.take_view_requests()
        if asking:
            message = view.make_view(own_data, now, with_hosts=True)
            for fact in asking:
                self.links.send(fact.peer_address, message)

    def send_round(self, now: float) -> None:
        """Send this host's report, and the digest and views that are due."""
        state = self.state
        view = state.view
        state.reported_demands = {
            name: demand.current(now)
            for name, demand in state.account_demands.items()
        }
        targets = view.report_targets(now)
        correct_clock_by_members(state, now)
        report = make_report(state, now)
        state.routing.load_factor = 1.0 + len(view.hosts)
        apply_view(state, now)
        update_cap_shares(state, now)
        addresses = {fact.peer_address for fact in targets}
        if report.wants_view:
            addresses |= self._contacts(addresses)
        for address in addresses:
            self.links.send(address, report)
        publishes = view.rank() == 0
        own_data = None
        if publishes:
            _, own_data = view.make_digest(report, now)
            digest_only = View(view.host, (own_data,), (0.0,), ())
            for fact in view.digest_targets():
                self.links.send(fact.peer_address, digest_only)
            message = view.make_view(own_data, now)
            for fact in view.view_targets(now):
                self.links.send(fact.peer_address, message)
        self._answer_requests(own_data, now)
        self.send_changes(now)

    def _contacts(self, known: set[str]) -> set[str]:
        """Return addresses to ask for a view besides the aggregators."""
        state = self.state
        own = state.host_settings.peer_address
        others = [
            address
            for address in state.peer_addresses
            if address != own and address not in known
        ]
        return set(state.rng.sample(others, min(MAX_CONTACTS, len(others))))

    def _has_changes(self) -> bool:
        """Return whether this host has to pass on a change."""
        state = self.state
        if not self._passes_changes_on():
            return False
        version = (
            -1 if state.route_table is None else state.route_table.version
        )
        return (
            state.registry.last_change_offset > self.last_pushed_offset
            or version > self.last_pushed_version
        )

    def _passes_changes_on(self) -> bool:
        return (
            self.state.lease_manager.holds(boot_time())
            or self.state.view.rank() == 0
        )

    def send_changes(self, now: float) -> None:
        """Send what other hosts lack, as far as their progress is known.

        A publisher sends it to its group.  The lease holder, which reads the
        registrations, sends these to the aggregators of every group.  A group
        that lags behind for long gets everything from every publisher.
        """
        state = self.state
        self.last_push_at = now
        self.last_pushed_offset = state.registry.last_change_offset
        self.last_pushed_version = (
            -1 if state.route_table is None else state.route_table.version
        )
        view = state.view
        publishes = view.rank() == 0
        holds_lease = state.lease_manager.holds(now)
        if publishes:
            for member in view.members.values():
                if now - member.received_at < MEMBER_TIMEOUT_S:
                    self._send_missing(
                        member.report.fact, member.report.progress, now
                    )
        if not publishes and not holds_lease:
            return
        for group in view.groups.values():
            progress = group.digest.progress
            lags = progress.fleet_age > LAGGING_GROUP_S or (
                progress.config_age > LAGGING_GROUP_S
            )
            if not holds_lease and not lags:
                continue
            for host in view.aggregators(group.digest.group):
                if host in view.hosts:
                    self._send_missing(view.hosts[host].fact, progress, now)

    def _may_relay(self, now: float) -> bool:
        """Return whether to send the configuration to another host."""
        state = self.state
        if len(state.config_document) <= SMALL_DOCUMENT_BYTES:
            return True
        delay_s = RELAY_DELAY_SHARE * state.config_bound_s
        return (
            now >= state.config_applied_at + delay_s
            and now >= self.last_relay_at + LARGE_RELAY_INTERVAL_S
        )

    def _send_missing(
        self, fact: HostFact, progress: Progress, now: float
    ) -> None:
        """Send a host the changes that it lacks, not too often."""
        state = self.state
        registry = state.registry
        route_table = state.route_table
        document = b""
        outdated = (
            route_table is not None and route_table.version > progress.version
        )
        if outdated and self._may_relay(now):
            document = state.config_document
        lacks_entries = registry.last_change_offset >= progress.fleet_end or (
            registry.end > progress.fleet_end
            and not registry.complete_since(progress.fleet_end)
        )
        # Builds that do not know of eras take positions for offsets.
        lacks_entries &= progress.store_era >= 0 or not era_of(registry.end)
        if not document and not lacks_entries:
            return
        version = -1 if route_table is None else route_table.version
        sent = self.sent_changes.get(fact.host)
        if (
            sent is not None
            and sent[:2] == (registry.last_change_offset, version)
            and now < sent[2] + RESEND_INTERVAL_S
        ):
            return
        self.sent_changes[fact.host] = (
            registry.last_change_offset,
            version,
            now,
        )
        if document:
            self.last_relay_at = now
        since = max(0, progress.fleet_end)
        self.links.send(
            fact.peer_address,
            Changes(
                host=state.host_settings.host,
                entries_from=since if registry.complete_since(since) else -1,
                fleet_end=registry.end,
                entries=registry.changed_since(since) if lacks_entries else (),
                document=document,
            ),
        )


def make_report(state: EntryState, now: float) -> Report:
    """Return this host's next report."""
    report = state.view.next_report(
        state.own_fact(now),
        state.own_sums(now).loads(state.spent),
        own_progress(state, now),
        own_leases(state, now),
        state.true_time(now),
        now,
    )
    changed = state.usage.take_changed(state.identity)
    return replace(report, usage=usage_rows(changed))


def own_progress(state: EntryState, now: float) -> Progress:
    """Return how current this host's configuration and registrations are."""
    registry = state.registry
    return Progress(
        version=(
            -1 if state.route_table is None else state.route_table.version
        ),
        config_age=min(1e6, state.config_age(now)),
        fleet_end=registry.end,
        fleet_age=min(1e6, now - state.registry_confirmed_at),
        fleet_change=registry.last_change_offset,
        fleet_complete_from=registry.complete_from,
        store_era=state.store_era,
    )


def own_leases(state: EntryState, now: float) -> tuple[LeaseFact, ...]:
    """Return the duty lease if this host holds it."""
    lease_manager = state.lease_manager
    if not lease_manager.holds(now):
        return ()
    return (
        LeaseFact(
            state.identity,
            lease_manager.fence,
            lease_manager.last_offset,
            lease_manager.record_age(now),
            lease_manager.lease_era,
        ),
    )


def handle_report(state: EntryState, report: Report) -> None:
    """Apply another host's report."""
    now = boot_time()
    known = state.view.hosts.get(report.fact.host)
    if known is None or known.fact.identity != report.fact.identity:
        state.log(
            LogEvent.PEER_ALIVE,
            host=report.fact.host,
            identity=report.fact.identity,
        )
    made_after = state.view.observe_report(report, now)
    count_spent_by_others(state, now)
    state.peer_addresses[report.fact.peer_address] = now
    _observe_leases(state, report.leases, now)
    _confirm(state, report.progress, made_after)
    merge_usage(state, report.fact.identity, report.usage)
    if report.fact.host != state.host_settings.host:
        bounds = offset_bounds(report.true_time, made_after, now)
        state.clock_samples[report.fact.host] = (bounds, now)


def handle_view(state: EntryState, view: View) -> None:
    """Apply the digests of a view."""
    now = boot_time()
    try:
        news = state.view.observe_view(view, now)
    except RecordError as exc:
        state.log(LogEvent.RECORD_UNREADABLE, reason=str(exc))
        return
    for found in news:
        digest = found.digest
        _observe_leases(state, digest.leases, now)
        _confirm(state, digest.progress, found.made_after)
        if digest.group == state.view.group and not state.view.is_aggregator():
            # Twice, as the host follows its publisher and outvotes itself.
            bounds = offset_bounds(digest.true_time, found.made_after, now)
            state.correct_clock([bounds, bounds])
    count_spent_by_others(state, now)
    if any(_is_own_group(state, found) for found in news):
        apply_view(state, now)


def _is_own_group(state: EntryState, found: GroupView) -> bool:
    return found.digest.group == state.view.group


def handle_changes(state: EntryState, changes: Changes) -> None:
    """Apply registrations and a configuration from another host.

    They are not confirmed as the newest by that; a view confirms them.
    """
    for entry in changes.entries:
        apply_registration(state, entry.engine, entry, entry.offset)
    if 0 <= changes.entries_from <= state.registry.end <= changes.fleet_end:
        state.registry.advance(changes.fleet_end)
    if not changes.document:
        return
    try:
        route_table = decode_document(changes.document)
    except PortError as exc:
        state.log(LogEvent.RECORD_UNREADABLE, reason=str(exc))
        return
    apply_config(state, route_table, changes.document, source=changes.host)


def apply_view(state: EntryState, now: float) -> None:
    """Apply the others' sums to the engines' loads."""
    sums = state.view.others(now)
    state.view_sums = sums
    for name, engine in state.routing.engines.items():
        running, unread = sums.engines.get(name, (0, 0))
        engine.update_peer_load(OTHERS, max(0, running), max(0, unread), now)
    count_spent_by_others(state, now)


def count_spent_by_others(state: EntryState, now: float) -> None:
    """Take what others have spent from the accounts' caps."""
    spent = state.view.spent_by_others
    for name, amount in spent.items():
        cap = state.caps.get(name)
        if cap is not None:
            cap.record_spent(amount, now)
    spent.clear()


def _observe_leases(
    state: EntryState, leases: tuple[LeaseFact, ...], now: float
) -> None:
    for lease in leases:
        state.lease_manager.lease_table.observe_holder(
            DUTY_LEASE,
            lease.holder,
            lease.fence,
            lease.offset,
            now - lease.age,
            lease.era,
        )


def _confirm(state: EntryState, progress: Progress, made_after: float) -> None:
    """Confirm this host's configuration and registrations by another's."""
    observe_store_era(state, progress.store_era)
    state.observe_version(progress.version, progress.config_age)
    version = -1 if state.route_table is None else state.route_table.version
    if progress.version == version:
        state.config_confirmed_at = max(
            state.config_confirmed_at, made_after - progress.config_age
        )
    registry = state.registry
    unchanged = (
        0 <= progress.fleet_complete_from <= registry.end
        and progress.fleet_change < registry.end <= progress.fleet_end
    )
    if registry.entries and (unchanged or progress.fleet_end == registry.end):
        registry.advance(progress.fleet_end)
        state.registry_confirmed_at = max(
            state.registry_confirmed_at, made_after - progress.fleet_age
        )


def correct_clock_by_members(state: EntryState, now: float) -> None:
    """Move an aggregator's estimate of true time to its group's median.

    The median outvotes a clock that has jumped.  The other hosts of the group
    follow their aggregator.
    """
    samples = state.clock_samples
    for host in [
        host
        for host, (_, at) in samples.items()
        if now - at > MEMBER_TIMEOUT_S
    ]:
        del samples[host]
    if len(samples) > 1:
        state.correct_clock([bounds for bounds, _ in samples.values()])
