"""What a host of a large deployment knows of the others, at a flat cost.

Each host sends a report to the two aggregators of its group.  The first
aggregator publishes a digest, the sums over its group, to the aggregators of
the other groups, and a view, the digests of all groups, to its own group.  So
the messages a host handles do not grow with the number of hosts, and what it
knows of the load is three hops old.

Facts have an owner and a number, and sums are over sets of hosts: a late,
lost or repeated message neither counts twice nor leaves anything behind.

A digest's age is bounded by the receiver's own clock: it was made after the
receiver sent the report or digest whose number it names.  So a message that
waited in a buffer while its receiver was suspended is not taken as fresh.
"""

from collections import deque
from dataclasses import dataclass
from dataclasses import replace
from functools import lru_cache
from math import inf

from magnoliaflow.cluster.groups import AGGREGATORS_PER_GROUP
from magnoliaflow.cluster.groups import group_names
from magnoliaflow.cluster.groups import rank_aggregators
from magnoliaflow.cluster.leasemanager import host_of
from magnoliaflow.cluster.sums import included_loads
from magnoliaflow.cluster.sums import Sums
from magnoliaflow.common.codec import decode_value
from magnoliaflow.common.codec import encode_value
from magnoliaflow.common.messages import Digest
from magnoliaflow.common.messages import HostFact
from magnoliaflow.common.messages import LeaseFact
from magnoliaflow.common.messages import LoadSums
from magnoliaflow.common.messages import Progress
from magnoliaflow.common.messages import Report
from magnoliaflow.common.messages import View

# Interval of reports, digests and views: three hops take at most 1.2 s.
REPORT_INTERVAL_S = 0.4
# A member is silent after four reports are missing.
MEMBER_TIMEOUT_S = 1.6
# An aggregator is replaced after three of its views are missing.
AGGREGATOR_TIMEOUT_S = 1.2
# A group without a digest for this long counts as silent: the time of two
# replacements of its aggregators.
DIGEST_TIMEOUT_S = 4.0
# Longest time for which the spending of a group is estimated from its demand
# after a change of its publisher.
MAX_ESTIMATED_S = 3.0
# A host that was silent for this long is dropped: longer than any partition
# within the platform's bounds.
HOST_EXPIRY_S = 30.0
# Digests name their hosts at this interval, in digests, and after a change.
ROSTER_INTERVAL = 4
# Numbers of own reports and digests whose times of sending are kept.
KEPT_SENT = 16
# A process whose first report has at most this number has just started, so
# that all that it has spent is new.
FIRST_REPORTS = 3
# Reports of a new process, and the interval of a publisher's reports, that
# also go to other hosts than its aggregators.  So hosts find each other that
# have found different parts of the deployment.
FIRST_CONTACTS = 6
CONTACT_INTERVAL = 4
# A host that another names is taken as live for this long before a timeout,
# until a digest confirms it.
CONFIRMED_WITHIN_S = DIGEST_TIMEOUT_S / 2
UNKNOWN_AGE_S = 1e6
# Digests kept decoded, as the same one may come from several hosts.
DECODED_DIGESTS = 64


@lru_cache(maxsize=DECODED_DIGESTS)
def decode_digest(data: bytes) -> Digest:
    """Return a digest; raises RecordError."""
    return decode_value(Digest, data)


@dataclass(slots=True)
class KnownHost:
    """Another host, and the latest time at which it is known to have run."""

    fact: HostFact
    heard_at: float
    alive: bool = True


@dataclass(slots=True)
class Member:
    """The last report that this host received from another.

    ``wants_view`` is set until the view that it asks for is sent.
    """

    report: Report
    received_at: float
    wants_view: bool


@dataclass(slots=True)
class GroupView:
    """The digest in use for a group.

    ``made_after`` is the earliest time at which it may have been made, by
    this host's boot clock, -inf if that is not known.  ``own`` are the loads
    of this host that the digest includes.
    """

    digest: Digest
    data: bytes
    received_at: float
    made_after: float
    own: LoadSums


class ClusterView:
    """The other hosts of a deployment as one host knows them.

    Times are the boot clock's.  ``spent_by_others`` collects what other
    hosts have taken from each account's cap; its reader clears it.
    """

    __slots__ = (
        "_group_spent",
        "_groups_by_host",
        "_member_spent",
        "_previous_roster",
        "_ranks",
        "_reporting_since",
        "_roster_changed",
        "_rosters",
        "_sent_digests",
        "_sent_reports",
        "_suspects",
        "digest_number",
        "groups",
        "heard_directly",
        "host",
        "hosts",
        "identity",
        "last_view_at",
        "members",
        "report_number",
        "roster_number",
        "spent_by_others",
        "zone",
    )

    def __init__(self, host: str, identity: str, zone: str) -> None:
        self.host = host
        self.identity = identity
        self.zone = zone
        self.hosts: dict[str, KnownHost] = {}
        self.members: dict[str, Member] = {}
        self.groups: dict[str, GroupView] = {}
        self.spent_by_others: dict[str, float] = {}
        self.heard_directly: dict[str, float] = {}
        self.last_view_at = -inf
        self.report_number = 0
        self.digest_number = 0
        self.roster_number = 0
        self._roster_changed = 0
        self._previous_roster: tuple[HostFact, ...] = ()
        self._rosters: dict[str, tuple[int, tuple[HostFact, ...]]] = {}
        self._sent_reports: deque[tuple[int, float, LoadSums]] = deque(
            maxlen=KEPT_SENT
        )
        self._sent_digests: deque[tuple[int, float]] = deque(maxlen=KEPT_SENT)
        self._suspects: dict[str, float] = {}
        self._reporting_since: dict[str, float] = {}
        self._member_spent: dict[str, dict[str, float]] = {}
        self._group_spent: dict[str, float] = {}
        self._groups_by_host: dict[str, str] = {host: f"{zone}/0"}
        self._ranks: dict[str, list[str]] = {f"{zone}/0": [host]}

    @property
    def group(self) -> str:
        """Return the name of this host's group."""
        return self._groups_by_host[self.host]

    def group_of(self, host: str) -> str:
        """Return the name of a host's group, '' if the host is unknown."""
        return self._groups_by_host.get(host, "")

    def in_group(self, host: str) -> bool:
        """Return whether a host is in this host's group."""
        return self._groups_by_host.get(host) == self.group

    def meet(self, fact: HostFact, heard_at: float) -> None:
        """Record a host that was alive at a time."""
        if fact.host == self.host:
            return
        known = self.hosts.get(fact.host)
        if known is None:
            self.hosts[fact.host] = KnownHost(fact, heard_at)
        elif heard_at >= known.heard_at:
            known.fact, known.heard_at, known.alive = fact, heard_at, True

    def is_live(self, host: str, now: float) -> bool:
        """Return whether a host serves as far as is known."""
        known = self.hosts.get(host)
        return (
            known is not None
            and known.alive
            and not known.fact.leaving
            and now - known.heard_at < DIGEST_TIMEOUT_S
        )

    def live_hosts(self, now: float) -> list[HostFact]:
        """Return the facts of the other hosts that serve."""
        return [
            known.fact
            for host, known in self.hosts.items()
            if self.is_live(host, now)
        ]

    def counting_identities(self, now: float, began_at: float) -> list[str]:
        """Return the other processes that may count in a window to report.

        ``began_at``: when the window began.  Those that have been silent
        since before that are not among them, nor those that have announced
        their end.
        """
        return [
            known.fact.identity
            for known in self.hosts.values()
            if known.heard_at >= began_at
            and (
                not known.fact.leaving
                or now - known.heard_at < DIGEST_TIMEOUT_S
            )
        ]

    def refresh(self, now: float) -> None:
        """Derive the groups and the order of their aggregators."""
        for host, known in list(self.hosts.items()):
            if now - known.heard_at > HOST_EXPIRY_S:
                del self.hosts[host]
                self.members.pop(host, None)
                self._member_spent.pop(known.fact.identity, None)
                self._rosters.pop(known.fact.identity, None)
        zones = {host: known.fact.zone for host, known in self.hosts.items()}
        zones[self.host] = self.zone
        self._groups_by_host = group_names(zones)
        candidates: dict[str, list[str]] = {}
        for host, group in self._groups_by_host.items():
            usable = host == self.host or (
                self.is_live(host, now)
                and self._suspects.get(host, -inf) <= now
            )
            if usable:
                candidates.setdefault(group, []).append(host)
        self._ranks = {
            group: rank_aggregators(group, hosts)
            for group, hosts in candidates.items()
        }

    def aggregators(self, group: str) -> list[str]:
        """Return the first aggregators of a group, which may be this host."""
        return self._ranks.get(group, [])[:AGGREGATORS_PER_GROUP]

    def rank(self) -> int:
        """Return this host's rank among the aggregators of its group."""
        return self._ranks[self.group].index(self.host)

    def is_aggregator(self) -> bool:
        """Return whether this host sums the reports of its group."""
        return self.rank() < AGGREGATORS_PER_GROUP

    def report_targets(self, now: float) -> list[HostFact]:
        """Return the aggregators to report to.

        One that has sent no view in time is replaced by the next in order,
        until it is heard again.
        """
        self.refresh(now)
        first = self.aggregators(self.group)[0]
        if first != self.host:
            since = self._reporting_since.setdefault(first, now)
            heard_at = max(since, self.heard_directly.get(first, -inf))
            if now - heard_at > AGGREGATOR_TIMEOUT_S:
                self._suspects[first] = now + DIGEST_TIMEOUT_S
                self._reporting_since.pop(first)
                self.refresh(now)
        targets = [
            host for host in self.aggregators(self.group) if host != self.host
        ]
        self._reporting_since = {
            host: self._reporting_since.get(host, now) for host in targets
        }
        return [self.hosts[host].fact for host in targets]

    def next_report(
        self,
        fact: HostFact,
        loads: LoadSums,
        progress: Progress,
        leases: tuple[LeaseFact, ...],
        true_time: float,
        now: float,
    ) -> Report:
        """Return this host's next report and record it as sent."""
        self.report_number += 1
        self._sent_reports.append((self.report_number, now, loads))
        return Report(
            fact,
            self.report_number,
            loads,
            progress,
            leases,
            true_time,
            self.wants_view(now),
            *self._heard_digest(),
        )

    def _heard_digest(self) -> tuple[str, int]:
        """Return publisher and number of the digest in use of this group."""
        view = self.groups.get(self.group)
        if view is None:
            return "", -1
        return view.digest.publisher, view.digest.number

    def wants_view(self, now: float) -> bool:
        """Return whether this host lacks a recent view."""
        return (
            now - self.last_view_at > AGGREGATOR_TIMEOUT_S
            and self.aggregators(self.group)[0] != self.host
        ) or self.seeks_contacts()

    def seeks_contacts(self) -> bool:
        """Return whether the current report also goes to other hosts."""
        return self.report_number <= FIRST_CONTACTS or (
            self.rank() == 0 and self.report_number % CONTACT_INTERVAL == 0
        )

    def observe_report(self, report: Report, now: float) -> float:
        """Take in another host's report.

        Return the earliest time at which it may have been made.
        """
        host = report.fact.host
        if host == self.host:
            # A former process under the same name, at another address.
            return -inf
        self._heard(host, now)
        self.meet(report.fact, now)
        previous = self.members.get(host)
        restarted = (
            previous is None
            or previous.report.fact.identity != report.fact.identity
        )
        if (
            not restarted
            and previous is not None
            and previous.report.number >= report.number
        ):
            return -inf
        self.members[host] = Member(report, now, report.wants_view)
        if host not in self._groups_by_host:
            self.refresh(now)
        made_after = -inf
        if report.heard == self.identity:
            made_after = self._digest_sent_at(report.heard_number)
        if self._groups_by_host.get(host) != self.group:
            return made_after
        known = self._member_spent.get(report.fact.identity)
        spent = dict(zip(report.loads.accounts, report.loads.spent))
        if known is not None or report.number <= FIRST_REPORTS:
            known = known or {}
            for name, amount in spent.items():
                added = amount - known.get(name, 0.0)
                # Other hosts count it by the digest of their group.
                if self.is_aggregator():
                    self._count_spent(name, added)
                self._group_spent[name] = (
                    self._group_spent.get(name, 0.0) + added
                )
        elif self.is_aggregator() and self.group in self.groups:
            # It was counted by the digests of the group so far.
            self._estimate_spent(
                report.loads, self.groups[self.group].received_at, now
            )
        if restarted and previous is not None:
            self._member_spent.pop(previous.report.fact.identity, None)
        self._member_spent[report.fact.identity] = spent
        return made_after

    def observe_view(self, view: View, now: float) -> list[GroupView]:
        """Take in a view; return the digests that were news.

        Raises RecordError if a digest cannot be decoded.
        """
        self._heard(view.host, now)
        news = []
        received = [
            (decode_digest(data), data, age)
            for data, age in zip(view.digests, view.ages)
        ]
        for digest, _, _ in received:
            if digest.hosts:
                self._rosters[digest.publisher] = (digest.roster, digest.hosts)
        for fact in view.hosts:
            if not self.is_live(fact.host, now):
                self.meet(fact, now - CONFIRMED_WITHIN_S)
        view_after = max(
            (self._named_time(digest) for digest, _, _ in received),
            default=-inf,
        )
        for digest, data, age in received:
            if digest.publisher == self.identity:
                continue
            if digest.group == self.group:
                self.last_view_at = now
            made_after = view_after - age if age < UNKNOWN_AGE_S else -inf
            made_after = max(made_after, self._named_time(digest))
            found = GroupView(
                digest, data, now, made_after, self._own_loads(digest)
            )
            if self._accept(found, age, now):
                news.append(found)
        return news

    def _named_time(self, digest: Digest) -> float:
        """Return when this host sent the newest of its messages named."""
        for publisher, number in zip(digest.heard, digest.heard_numbers):
            if publisher == self.identity:
                return self._digest_sent_at(number)
        number = self._own_number(digest)
        return max(
            (at for sent, at, _ in self._sent_reports if sent == number),
            default=-inf,
        )

    def _digest_sent_at(self, number: int) -> float:
        return max(
            (at for sent, at in self._sent_digests if sent == number),
            default=-inf,
        )

    def _own_number(self, digest: Digest) -> int:
        """Return the number of this process's report in a digest, or -1."""
        for fact, number in zip(self._roster(digest), digest.numbers):
            if fact.identity == self.identity:
                return number
        return -1

    def _roster(self, digest: Digest) -> tuple[HostFact, ...]:
        """Return the hosts of a digest, empty if they are not known yet."""
        if digest.hosts:
            return digest.hosts
        number, hosts = self._rosters.get(digest.publisher, (-1, ()))
        return hosts if number == digest.roster else ()

    def _accept(self, found: GroupView, age: float, now: float) -> bool:
        """Use a digest unless the one in use is newer or still current.

        ``age`` is the longest possible one, 1e6 if it is unknown.  While the
        digest in use is current, one of another publisher replaces it only if
        it is known to be current too.
        """
        digest = found.digest
        current = self.groups.get(digest.group)
        if current is not None and current.digest.publisher != (
            digest.publisher
        ):
            fresh = now - current.received_at < AGGREGATOR_TIMEOUT_S
            replaces = age < AGGREGATOR_TIMEOUT_S and self._precedes(
                digest, current.digest
            )
            if fresh and not replaces:
                return False
        elif current is not None and current.digest.number == digest.number:
            # A copy that came another way may bound the age better.
            if found.made_after <= current.made_after:
                return False
            current.made_after = found.made_after
            return True
        elif current is not None and current.digest.number > digest.number:
            return False
        self._meet_hosts(digest, now)
        self.groups[digest.group] = found
        if not (digest.group == self.group and self._sums_own_group(now)):
            self._count_group_spent(current, found, now)
        return True

    def _precedes(self, digest: Digest, other: Digest) -> bool:
        """Return whether a digest's publisher comes first in its group."""
        ranks = self._ranks.get(digest.group, [])
        first, second = host_of(digest.publisher), host_of(other.publisher)
        if first not in ranks:
            return False
        return second not in ranks or ranks.index(first) < ranks.index(second)

    def _meet_hosts(self, digest: Digest, now: float) -> None:
        for fact, age in zip(self._roster(digest), digest.ages):
            alive = age < MEMBER_TIMEOUT_S
            known = self.hosts.get(fact.host)
            if alive:
                self.meet(fact, now - age)
            elif known is not None and known.heard_at <= now - age:
                known.alive = False

    def _count_group_spent(
        self, previous: GroupView | None, found: GroupView, now: float
    ) -> None:
        """Count what a group has spent since its digest used before.

        After a change of the publisher, whose counters differ, it is
        estimated from the group's demand.
        """
        if previous is None:
            return
        loads, old = found.digest.loads, previous.digest.loads
        if previous.digest.publisher != found.digest.publisher:
            self._estimate_spent(loads, previous.received_at, now)
            return
        known = dict(zip(old.accounts, old.spent))
        for name, amount in zip(loads.accounts, loads.spent):
            self._count_spent(name, amount - known.get(name, 0.0))
        if found.digest.group != self.group:
            return
        # The sums of this host's own group include its own spending.
        earlier = dict(zip(previous.own.accounts, previous.own.spent))
        for name, amount in zip(found.own.accounts, found.own.spent):
            self._count_spent(name, earlier.get(name, 0.0) - amount)

    def _own_loads(self, digest: Digest) -> LoadSums:
        """Return this host's loads that a digest includes."""
        number = self._own_number(digest)
        return next(
            (loads for sent, _, loads in self._sent_reports if sent == number),
            LoadSums(),
        )

    def _estimate_spent(
        self, loads: LoadSums, since: float, now: float
    ) -> None:
        """Count what is spent at most at the demand since a time."""
        elapsed_s = min(MAX_ESTIMATED_S, now - since)
        for name, rate in zip(loads.accounts, loads.rates):
            self._count_spent(name, rate * elapsed_s)

    def _count_spent(self, account: str, amount: float) -> None:
        self.spent_by_others[account] = (
            self.spent_by_others.get(account, 0.0) + amount
        )

    def _heard(self, host: str, now: float) -> None:
        self.heard_directly[host] = now
        self._suspects.pop(host, None)

    def _fresh_members(self, now: float) -> dict[str, Member]:
        """Return the members of this host's group that report to it."""
        return {
            host: member
            for host, member in self.members.items()
            if now - member.received_at < MEMBER_TIMEOUT_S
            and self._groups_by_host.get(host) == self.group
        }

    def _sums_own_group(self, now: float) -> bool:
        """Return whether this host has the reports of its group itself."""
        return self.is_aggregator() and bool(self._fresh_members(now))

    def others(self, now: float) -> Sums:
        """Return the sums over all other hosts."""
        sums = Sums()
        own_sums = self._sums_own_group(now)
        for group, view in self.groups.items():
            if now - view.received_at > DIGEST_TIMEOUT_S:
                continue
            if group == self.group:
                if own_sums:
                    continue
                sums.add(included_loads(view.own, view.digest.loads), -1)
            sums.add(view.digest.loads)
        if own_sums:
            for member in self._fresh_members(now).values():
                sums.add(member.report.loads)
        return sums

    def make_digest(self, own: Report, now: float) -> tuple[Digest, bytes]:
        """Return the digest of this host's group and its encoding.

        ``own`` is this host's current report.
        """
        self.digest_number += 1
        self._sent_digests.append((self.digest_number, now))
        members = {
            host: member
            for host, member in sorted(self.members.items())
            if self._groups_by_host.get(host) == self.group
            and now - member.received_at < HOST_EXPIRY_S
        }
        fresh = self._fresh_members(now)
        for host in members:
            self.hosts[host].alive = host in fresh
        sums = Sums()
        sums.add(own.loads)
        for member in fresh.values():
            sums.add(member.report.loads)
        spent = dict(self._group_spent)
        for name, amount in zip(own.loads.accounts, own.loads.spent):
            spent[name] = spent.get(name, 0.0) + amount
        reports = [own, *(member.report for member in members.values())]
        roster = tuple(report.fact for report in reports)
        if roster != self._previous_roster:
            self.roster_number += 1
            self._previous_roster = roster
            self._roster_changed = self.digest_number
        with_roster = (
            self.digest_number - self._roster_changed < ROSTER_INTERVAL // 2
            or self.digest_number % ROSTER_INTERVAL == 0
            or any(member.wants_view for member in self.members.values())
        )
        others = [
            view.digest
            for group, view in self.groups.items()
            if group != self.group
        ]
        digest = Digest(
            group=self.group,
            publisher=self.identity,
            number=self.digest_number,
            roster=self.roster_number,
            hosts=roster if with_roster else (),
            numbers=tuple(report.number for report in reports),
            ages=(0.0, *(now - item.received_at for item in members.values())),
            loads=sums.loads(spent),
            progress=own.progress,
            leases=tuple(
                replace(lease, age=lease.age + now - received_at)
                for received_at, report in (
                    (now, own),
                    *((m.received_at, m.report) for m in fresh.values()),
                )
                for lease in report.leases
            ),
            true_time=own.true_time,
            heard=tuple(item.publisher for item in others),
            heard_numbers=tuple(item.number for item in others),
        )
        return digest, encode_value(digest)

    def make_view(
        self, own_data: bytes | None, now: float, *, with_hosts: bool = False
    ) -> View:
        """Return the digests in use, with this host's own if it publishes.

        ``with_hosts``: name the live hosts, for a receiver that asked.
        """
        views = [
            view
            for group, view in self.groups.items()
            if now - view.received_at < DIGEST_TIMEOUT_S
            and not (own_data is not None and group == self.group)
        ]
        digests = [view.data for view in views]
        ages = [min(UNKNOWN_AGE_S, now - view.made_after) for view in views]
        if own_data is not None:
            digests.insert(0, own_data)
            ages.insert(0, 0.0)
        hosts = tuple(self.live_hosts(now)) if with_hosts else ()
        return View(self.host, tuple(digests), tuple(ages), hosts)

    def take_view_requests(self) -> list[HostFact]:
        """Return the hosts that have asked for a view since the last call."""
        asking = [
            member for member in self.members.values() if member.wants_view
        ]
        for member in asking:
            member.wants_view = False
        return [member.report.fact for member in asking]

    def view_targets(self, now: float) -> list[HostFact]:
        """Return the hosts to which a publisher sends its views."""
        return [
            member.report.fact for member in self._fresh_members(now).values()
        ]

    def digest_targets(self) -> list[HostFact]:
        """Return the aggregators of the other groups."""
        return [
            self.hosts[host].fact
            for group in self._ranks
            if group != self.group
            for host in self.aggregators(group)
        ]
