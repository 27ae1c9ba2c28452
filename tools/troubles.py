"""Play engines in trouble with many hosts, in virtual time.

The hosts run the product's own judgement of prompts and its spread of
findings.  A prompt has a first part shared by many, a document shared by few,
perhaps a part that ends engines, and a last part of its own.  Requests of a
plain service have no prompt.  Clients send requests that failed again under a
new id, at any host.
"""

from functools import partial
from heapq import heappop
from heapq import heappush
from itertools import count
from math import inf
from random import Random

from virtualtime import VirtualTime

from magnoliaflow.cluster.groups import rendezvous_score
from magnoliaflow.cluster.spread import Spread
from magnoliaflow.policy.crashes import CrashJudge
from magnoliaflow.policy.crashes import REQUEST_PREFIX
from magnoliaflow.policy.crashes import SOUND_AFTER_S
from magnoliaflow.policy.enginelimits import EngineLimits
from magnoliaflow.policy.enginelimits import send_interval

SERVICE = "llm"
TICK_S = 0.1
PREFILL_S = 0.15
# Time from the first token of an answer until the engine ends under it.
CRASH_DELAY_S = 0.05
ANSWER_S = (0.1, 2.0)
RESTART_S = 3.0
# A host avoids an engine for this long after an answer of it broke off.
AVOID_S = 2.0
MAX_ATTEMPTS = 2
FIRST_PARTS = 8
# Time after which a client sends a failed request again.
CLIENT_RETRY_S = 0.3


class Request:
    """A request, its parts without the last, and how it went.

    ``parts`` include the name that it has whenever it is sent.  ``left`` is
    how often its client sends it again.
    """

    __slots__ = (
        "attempts",
        "begun_at",
        "host",
        "left",
        "outcome",
        "parts",
        "sent_at",
    )

    def __init__(self, host, parts, sent_at, left=0):
        self.host = host
        self.left = left
        self.parts = parts
        self.sent_at = sent_at
        self.attempts = 0
        self.begun_at = inf
        self.outcome = ""


class PlayedEngine:
    """One engine; each start is a new run."""

    def __init__(self, name):
        self.name = name
        self.run = 0
        self.up = True
        self.open = []

    @property
    def run_name(self):
        """Return the name of the current run."""
        return f"{self.name}/{self.run}"


class PlayedHost:
    """One entry host; an old one does not judge prompts."""

    def __init__(self, name, *, is_old=False):
        self.name = name
        self.judge = CrashJudge()
        self.spread = Spread()
        self.avoided = {}
        self.is_old = is_old
        self.cut = False

    def find_hold(self, parts, now, hosts):
        """Return a hold on a request, as the entry process does."""
        if self.is_old:
            return None
        return self.judge.find_hold(
            SERVICE, parts, now, partial(self._rank, hosts)
        )

    def _rank(self, hosts, part):
        own = rendezvous_score(part, self.name)
        return sum(1 for name in hosts if rendezvous_score(part, name) > own)


class TroubleFleet(VirtualTime):
    """Hosts and engines; ``crashing`` are the parts that end engines."""

    def __init__(
        self,
        hosts,
        engines,
        *,
        seed=1,
        delay_s=0.05,
        old_hosts=0,
        documents=60,
        plain=False,
        client_retries=0,
        answer_s=ANSWER_S,
    ):
        super().__init__()
        self.rng = Random(seed)
        self.delay_s = delay_s
        self.documents = documents
        self.plain = plain
        self.client_retries = client_retries
        self.answer_s = answer_s
        self.request_numbers = count()
        self.crashing = set()
        self.requests = []
        self.ends = []
        self.sends = []
        self.messages = 0
        self.hosts = {
            f"h{number}": PlayedHost(f"h{number}", is_old=number < old_hosts)
            for number in range(hosts)
        }
        self.engines = [
            PlayedEngine(f"m{number}") for number in range(engines)
        ]
        for host in self.hosts.values():
            self.push(self.rng.random() * TICK_S, self._tick, host)

    def traffic(self, rate, duration_s, part=None, *, name=None):
        """Schedule requests, all with a part or a name if one is given."""
        at = 0.0
        while (at := at + self.rng.expovariate(rate)) < duration_s:
            self.push(at, self._arrive, part, name)

    def restart(self, name):
        """Replace a host's process by one that knows nothing."""
        host = PlayedHost(name, is_old=self.hosts[name].is_old)
        self.hosts[name] = host
        self.push(TICK_S, self._tick, host)

    def lose(self, engine):
        """End an engine for another reason than a request."""
        self._end(engine)

    def sound(self, since, until=inf):
        """Return the sound requests of a time."""
        return [
            req
            for req in self.requests
            if since <= req.sent_at < until
            and self.crashing.isdisjoint(req.parts)
        ]

    def first_served(self, since, until=inf):
        """Return the share of sound requests that began at first attempt."""
        sound = self.sound(since, until)
        begun = sum(
            1 for req in sound if req.attempts == 1 and req.begun_at < inf
        )
        return begun / len(sound)

    def sends_of(self, part, since, until=inf):
        """Return how often requests with a part were sent to engines."""
        return sum(
            1
            for at, host, parts in self.sends
            if part in parts and since <= at < until
        )

    def _arrive(self, part, name):
        if name is None:
            name = f"{REQUEST_PREFIX}{next(self.request_numbers)}"
        parts = () if self.plain else self._prompt_parts(part)
        self._send((*parts, name), self.client_retries)

    def _prompt_parts(self, part):
        document = self.rng.randrange(self.documents)
        if part is None:
            return (f"a{document % FIRST_PARTS}", f"d{document}")
        return (f"a{document % FIRST_PARTS}", part, f"d{document}")

    def _send(self, parts, left):
        """Send a request to a random host, as its client does."""
        host = self.hosts[f"h{self.rng.randrange(len(self.hosts))}"]
        req = Request(host, parts, self.now, left)
        self.requests.append(req)
        self._dispatch(req, set())

    def _fail(self, req, outcome):
        req.outcome = outcome
        if req.left:
            self.push(CLIENT_RETRY_S, self._send, req.parts, req.left - 1)

    def _dispatch(self, req, tried):
        host = req.host
        if host.find_hold(req.parts, self.now, self.hosts) is not None:
            req.outcome = "held"
            return
        engine = self._choose(host, tried)
        if engine is None:
            self._fail(req, "no engine")
            return
        req.attempts += 1
        self.sends.append((self.now, host.name, req.parts))
        if not host.is_old:
            host.judge.begin_trial(req.parts, self.now)
        engine.open.append(req)
        run = engine.run_name
        self.push(
            PREFILL_S * (0.5 + self.rng.random()),
            self._begin,
            req,
            engine,
            run,
            tried | {engine.name},
        )

    def _choose(self, host, tried):
        """Return a random engine that takes a connection, or None."""
        start = self.rng.randrange(len(self.engines))
        for engine in (*self.engines[start:], *self.engines[:start]):
            avoided = host.avoided.get(engine.run_name, -inf) >= self.now
            if engine.name in tried or avoided:
                continue
            if engine.up:
                return engine
            host.avoided[engine.run_name] = self.now + AVOID_S
        return None

    def _begin(self, req, engine, run, tried):
        if engine.run_name != run or not engine.up:
            return
        req.begun_at = self.now
        if not self.crashing.isdisjoint(req.parts):
            self.push(CRASH_DELAY_S, self._crash, engine, run)
            return
        length = self.rng.uniform(*self.answer_s)
        if length > SOUND_AFTER_S:
            self.push(SOUND_AFTER_S, self._acquit, req, engine, run, self.now)
        self.push(length, self._finish, req, engine, run, self.now)

    def _crash(self, engine, run):
        if engine.run_name == run and engine.up:
            self._end(engine)

    def _end(self, engine):
        engine.up = False
        run = engine.run_name
        self.ends.append(self.now)
        broken, engine.open = engine.open, []
        for req in broken:
            written = self.now - req.begun_at if req.begun_at < inf else 0.0
            if written < SOUND_AFTER_S:
                req.host.judge.record_broken(run, SERVICE, req.parts, self.now)
            req.host.avoided[run] = self.now + AVOID_S
        for host in {req.host for req in broken}:
            host.judge.confirm(run, self.now)
        for req in broken:
            if req.attempts < MAX_ATTEMPTS:
                req.begun_at = inf
                self._dispatch(req, {engine.name})
            else:
                self._fail(req, "failed")
        self.push(RESTART_S, self._restart_engine, engine)

    def _restart_engine(self, engine):
        engine.run += 1
        engine.up = True

    def _acquit(self, req, engine, run, begun_at):
        if engine.run_name == run and engine.up:
            req.host.judge.record_sound(SERVICE, req.parts, begun_at, self.now)

    def _finish(self, req, engine, run, begun_at):
        if engine.run_name != run or not engine.up or req not in engine.open:
            return
        engine.open.remove(req)
        req.outcome = "served"
        self._acquit(req, engine, run, begun_at)

    def _tick(self, host):
        if self.hosts[host.name] is not host:
            return
        self.push(TICK_S, self._tick, host)
        if host.is_old or not host.judge.knows_any():
            return
        count = host.spread.take_round(host.judge.changed_at, self.now)
        if not count:
            return
        host.judge.expire(self.now)
        evidence = host.judge.evidence(self.now)
        others = [other for other in self.hosts.values() if other is not host]
        for other in self.rng.sample(others, min(count, len(others))):
            self.messages += 1
            if not (host.cut or other.cut or other.is_old):
                delay = self.rng.random() * self.delay_s
                self.push(delay, self._deliver, other, evidence)

    def _deliver(self, host, evidence):
        host.judge.merge(evidence, self.now)


class LimitedHost:
    """One entry host that sends to one engine; an old one knows no limits."""

    def __init__(self, name, *, is_old=False):
        self.name = name
        self.limits = EngineLimits()
        self.spread = Spread()
        self.next_at = -inf
        self.cut = False
        self.is_old = is_old


class LimitFleet:
    """Hosts that share the limit of one engine, and its arrivals.

    ``arrivals`` holds (time, host) pairs.
    """

    def __init__(self, hosts, *, seed=1, delay_s=0.05, old_hosts=0):
        self.rng = Random(seed)
        self.delay_s = delay_s
        self.now = 0.0
        self.rate = None
        self.run_name = "m1/0"
        self.arrivals = []
        self.refused = 0
        self.in_flight = []
        self.numbers = count()
        self.hosts = {
            f"h{number}": LimitedHost(f"h{number}", is_old=number < old_hosts)
            for number in range(hosts)
        }

    def restart(self, name):
        """Replace a host's process by one that knows nothing."""
        self.hosts[name] = LimitedHost(name)

    def run(self, duration_s, requests_per_s):
        """Let time pass; requests come at random hosts."""
        step = 1.0 / requests_per_s
        until = self.now + duration_s
        next_tick = self.now
        while self.now < until:
            self.now += step
            while self.in_flight and self.in_flight[0][0] <= self.now:
                _, _, host, limits = heappop(self.in_flight)
                host.limits.merge(limits, self.now)
            if self.now >= next_tick:
                next_tick = self.now + TICK_S
                for host in self.hosts.values():
                    self._tick(host)
            self._request(
                self.hosts[f"h{self.rng.randrange(len(self.hosts))}"]
            )

    def _request(self, host):
        rate = host.limits.rate(self.run_name)
        if rate is not None and not host.is_old:
            if self.now < host.next_at:
                self.refused += 1
                return
            own = rendezvous_score("m1", host.name)
            rank = sum(
                1 for name in self.hosts if rendezvous_score("m1", name) > own
            )
            interval_s = send_interval(rate, rank, len(self.hosts))
            if interval_s == inf:
                self.refused += 1
                return
            host.next_at = self.now + interval_s
        self.arrivals.append((self.now, host.name))
        host.limits.observe(self.run_name, self.rate, self.now)

    def _tick(self, host):
        if host.is_old or not host.limits:
            return
        host.limits.expire(self.now)
        receivers = host.spread.take_round(host.limits.changed_at, self.now)
        limits = host.limits.known()
        for other in self.rng.sample(
            list(self.hosts.values()), min(receivers, len(self.hosts))
        ):
            if not (host.cut or other.cut or other.is_old):
                at = self.now + self.rng.random() * self.delay_s
                heappush(
                    self.in_flight, (at, next(self.numbers), other, limits)
                )

    def most_arrivals(self, window_s, since, hosts=None):
        """Return the most arrivals in any window that begins after a time."""
        times = [
            at
            for at, name in self.arrivals
            if at >= since and (hosts is None or name in hosts)
        ]
        return max(
            (
                sum(1 for other in times if at <= other < at + window_s)
                for at in times
            ),
            default=0,
        )
