"""Play hosts that count requests and report their usage, in virtual time.

The hosts run the product's own state, reports, duty log and usage duty.
Their messages are late; hosts may be killed, stopped, restarted or cut off.
"""

from collections import Counter
from dataclasses import replace
from itertools import pairwise
from logging import getLogger
from math import exp
from random import Random

from twisted.internet.defer import fail
from twisted.internet.defer import succeed
from virtualtime import VirtualTime

from magnoliaflow.common import clocks
from magnoliaflow.common.errors import PortError
from magnoliaflow.common.lifecycle import Phase
from magnoliaflow.common.messages import Report
from magnoliaflow.common.messages import UsageCounts
from magnoliaflow.entry.duties import DutyLog
from magnoliaflow.entry.heartbeats import handle_message
from magnoliaflow.entry.heartbeats import HeartbeatSender
from magnoliaflow.entry.reports import ReportSender
from magnoliaflow.entry.state import EntryState
from magnoliaflow.entry.state import MESH_HOSTS
from magnoliaflow.entry.storeera import observe_store_era
from magnoliaflow.entry.usagecounts import UsageSender
from magnoliaflow.entry.usageduty import UsageDuty
from magnoliaflow.platform.nodefile import decode_host_settings
from magnoliaflow.platform.store import ConflictError
from magnoliaflow.platform.store import Entry
from magnoliaflow.platform.store import Page

SETTINGS = """nodeName={name}
zone=z{zone}
listenAddresses.frontend=10.0.{zone}.{number}:1
listenAddresses.controlPlane={name}
platform.address=10.9.0.9:3
cloudApi.address=10.9.0.8:3
cloudApi.duties=usage_reporting
"""
TICK_S = 0.1
WINDOW_S, DELAY_S = 5.0, 10.0
# True time at the start, at the middle of a window.
START_S = 1_000_002.5
ACCOUNTS = tuple(f"a{number}" for number in range(16))
REQUESTS_PER_S = 4.0


class PlayedHost:
    """One process of a host, as its daemon runs it."""

    def __init__(self, fleet, number, run=0):
        self.fleet = fleet
        self.number = number
        self.name = f"10.0.{number % 3}.{number}:2"
        text = SETTINGS.format(name=self.name, number=number, zone=number % 3)
        settings = decode_host_settings(
            text + ("isBootstrap=true\n" if not run else "")
        )
        self.cut = self.gone = False
        self.is_old = number < fleet.old_hosts
        self.state = EntryState(
            settings,
            identity=f"{self.name}-{run}",
            rng=Random(f"{number}-{run}"),
            logger=getLogger("usagefleet"),
        )
        self.state.lifecycle.ready()
        self.heartbeats = HeartbeatSender(self.state, self)
        self.reports = ReportSender(self.state, self)
        self.usage_sender = UsageSender(self.state, self)
        self.duty_log = DutyLog(self.state, self)
        self.duty = UsageDuty(self.state, self.duty_log, self)
        fleet.push(fleet.rng.random() * TICK_S, self.tick)
        fleet.push(fleet.rng.expovariate(REQUESTS_PER_S), self.count)

    def tick(self):
        """Run every part that exchanges or reports counts."""
        if self.gone:
            return
        self.fleet.push(TICK_S, self.tick)
        now = self.fleet.now
        self.heartbeats.tick(now)
        self.reports.tick(now)
        if self.is_old:
            # Earlier builds do not send at once to a new holder.
            manager = self.state.lease_manager
            self.usage_sender.last_holder = manager.holder_identity()
        self.usage_sender.tick(now)
        self.duty_log.tick(now)
        self.duty.tick(now)

    def count(self):
        """Let an engine begin one request."""
        if self.gone or self.state.phase is not Phase.SERVING:
            return
        self.fleet.push(self.fleet.rng.expovariate(REQUESTS_PER_S), self.count)
        account = self.fleet.rng.choice(ACCOUNTS)
        state = self.state
        state.usage.add(
            state.identity, account, state.true_time(self.fleet.now)
        )
        self.fleet.begin(account)

    def send(self, address, message):
        """Send a message to another host, as a peer link does."""
        if self.is_old and isinstance(message, UsageCounts):
            message = replace(message, until=None)
        elif self.is_old and isinstance(message, Report):
            message = replace(message, usage=())
        self.fleet.deliver(self, address, message)

    def read(self, topic, offset, *, era, wait_s=0.0):
        """Read the log of duties."""
        if self.cut:
            return fail(PortError("cut"))
        observe_store_era(self.state, self.fleet.store_era)
        log = self.fleet.log
        entries = tuple(
            Entry(number, "", data)
            for number, data in enumerate(log[offset:], offset)
        )
        return succeed(Page(entries, len(log)))

    def append(self, topic, data, *, at=None, era=0):
        """Append to the log of duties at the offset read to."""
        log = self.fleet.log
        if self.cut:
            return fail(PortError("cut"))
        if at != len(log):
            return fail(ConflictError(len(log)))
        log.append(data)
        return succeed(at)

    def report_usage(self, window, counts, *, fence):
        """Report the counts of a window."""
        if self.cut:
            return fail(PortError("cut"))
        late = self.fleet.true_time() - (window + 1) * WINDOW_S
        self.fleet.reports.setdefault(window, []).append((dict(counts), fence))
        self.fleet.reported.setdefault(window, (dict(counts), late))
        return succeed(None)

    def stop(self):
        """End as a SIGTERM asks: what it counted is sent first."""
        self.state.lifecycle.drain()
        self.reports.send_round(self.fleet.now)
        self.usage_sender.send(self.fleet.now)
        self.gone = True


class UsageFleet(VirtualTime):
    """Hosts, the log of duties, and what engines began by window.

    ``delay_s`` is the mean delay of messages once all have started, ten
    times as much while they start.  The first ``old_hosts`` send counts as
    builds from before, which name no time up to which these are complete.
    """

    def __init__(
        self, hosts, *, monkeypatch, seed=1, delay_s=0.03, old_hosts=0
    ):
        super().__init__()
        self.rng = Random(seed)
        self.size = hosts
        self.delay_s = delay_s
        self.old_hosts = old_hosts
        self.log = []
        self.store_era = 0
        self.reported = {}
        # Window -> (counts, fence) of every report, repeats too.
        self.reports = {}
        self.begun = {}
        self.sent = 0
        # Messages with all usage counts, by host.
        self.usage_sent = Counter()
        monkeypatch.setattr(clocks, "clock_gettime", lambda _: self.now)
        monkeypatch.setattr(clocks, "time", self.true_time)
        self.hosts = {}
        for number in range(hosts):
            self.start(number)

    def true_time(self):
        """Return the true time."""
        return START_S + self.now

    def start(self, number, run=0):
        """Start a process; it has the addresses of the others."""
        host = PlayedHost(self, number, run)
        host.state.peer_addresses.update(dict.fromkeys(self.hosts, self.now))
        in_groups = self.size > MESH_HOSTS
        for other in self.hosts.values():
            if in_groups and other is not host:
                host.state.view.meet(other.state.own_fact(self.now), self.now)
                other.state.view.meet(host.state.own_fact(self.now), self.now)
        self.hosts[host.name] = host
        return host

    def begin(self, account):
        """Note a request that an engine begins."""
        window = int(self.true_time() // WINDOW_S)
        counts = self.begun.setdefault(window, dict.fromkeys(ACCOUNTS, 0))
        counts[account] += 1

    def deliver(self, sender, address, message):
        """Deliver a message late, unless a host is cut off or gone."""
        self.sent += 1
        self.usage_sent[sender.name] += isinstance(message, UsageCounts)
        starting = 1.0 + 9.0 * exp(-self.now / 10.0)
        delay = self.rng.uniform(0.2, 1.8) * self.delay_s * starting
        self.push(delay, self._arrive, sender, address, message)

    def _arrive(self, sender, address, message):
        receiver = self.hosts.get(address)
        if receiver is None or receiver.gone or receiver.cut or sender.cut:
            return
        handle_message(receiver.state, sender.state.identity, message)

    def holder(self):
        """Return the host that holds the lease."""
        return next(
            host
            for host in self.hosts.values()
            if not host.gone and host.state.lease_manager.holds(self.now)
        )

    def conflicts(self):
        """Return the windows whose reports differ or go back in fence."""
        return {
            window
            for window, reports in self.reports.items()
            if any(
                counts != following or fence > next_fence
                for (counts, fence), (following, next_fence) in pairwise(
                    reports
                )
            )
        }

    def off(self):
        """Return window -> share by which its report is off, or inf.

        Windows that were due before now and in which requests began, and
        those whose reports are in conflict.
        """
        shares = {}
        for window, begun in self.begun.items():
            if (window + 1) * WINDOW_S + DELAY_S > self.true_time():
                continue
            counts, late = self.reported.get(window, ({}, 0.0))
            difference = sum(
                abs(counts.get(name, 0) - count)
                for name, count in begun.items()
            )
            shares[window] = difference / sum(begun.values())
            if window not in self.reported or late > DELAY_S:
                shares[window] = float("inf")
        shares.update(dict.fromkeys(self.conflicts(), float("inf")))
        return shares
