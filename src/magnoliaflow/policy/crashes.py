"""Judgement of requests and prompt parts under which engines end.

Evidence is the end of an engine while a request was about to write or had
just begun its answer.  It concerns the parts of its prompt and the request
itself, by a name that it keeps when its client sends it again.  Answers that
were written acquit.  Ends are explained by the part or request with the most
of them first, so that those which only shared a batch, an engine or a prompt
with it are not blamed.  Requests that occurred at the same ends only are not
told apart; the next end tells.  All hosts that have the same evidence reach
the same verdict.

Here a part is also a request, by its name.  Times are in seconds of one clock,
handed in by the caller.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from itertools import pairwise
from math import inf

from xxhash import xxh3_128

# Engines that end under a part, without a written answer in between, until it
# is held back.
MAX_ENDS = 3
# Engines that end within this time of each other count as one end: the loss of
# a zone or a rack ends many, whatever they write.
ENDS_APART_S = 0.02
# A part with written answers within REPUTATION_S before is held back after
# more ends, and over a longer time: when many engines end at once, no answer
# to a sound request is written for a while either.
MAX_REPUTED_ENDS = 5
MIN_REPUTED_SPAN_S = 10.0
REPUTATION_S = 60.0
# Engines that end without a part, from LEAD_S before its ends on, raise the
# number of ends that it takes: those beside lost engines come again too.
LEAD_S = 2.0
# An answer that is being written for this long acquits its parts.
SOUND_AFTER_S = 1.0
# Time after the last end until a part is tried again, first and after a trial
# that failed.  It doubles with each further trial: ends further apart than
# SERIES_GAP_S are separate trials.
FIRST_HOLD_S = 20.0
HOLD_S = 60.0
MAX_HOLD_S = 960.0
SERIES_GAP_S = 10.0
# Interval at which one more host may try a part whose time is over: longer
# than a verdict takes to reach all hosts.
TRIAL_STEP_S = 2.0
# A trial without a result allows another one.
TRIAL_TIMEOUT_S = 10.0
# A part that nobody asks for is forgotten this long after its time is over.
FORGET_S = 600.0
# Evidence on a part that is not held back counts for this long.
EVIDENCE_S = 60.0
EXPIRE_INTERVAL_S = 1.0
# Evidence on a reputed part is passed on after this time only, since most is
# refuted by then.
SETTLE_S = 3.0
# Evidence may be received for this long before it is dropped, so that copies
# that hosts send each other cannot keep it alive.
RECEIVE_MARGIN_S = 5.0
# Bounds of the memory that evidence takes.
MAX_PARTS = 64
MAX_PART_DIGITS = 32
MAX_ENDS_KEPT = 8
MAX_ENGINES_KEPT = 256
MAX_REQUESTS = 128
MAX_SOUND = 2048
MAX_SENT_PARTS = 32
# Trials of a request until it is held back for the longest time.
MAX_REQUEST_TRIALS = 3
# Begins the names of requests; those of parts are hexadecimal.
REQUEST_PREFIX = "r"


def is_request(part: str) -> bool:
    """Return whether a name is that of a request."""
    return part.startswith(REQUEST_PREFIX)


def part_name(part: int) -> str:
    """Return the name of a part, in hexadecimal, of bounded length.

    >>> part_name(0xC0DE)
    'c0de'
    """
    return f"{part:x}"[:MAX_PART_DIGITS]


def request_name(fields: Iterable[bytes]) -> str:
    """Return a name that a request keeps when it is sent again.

    ``fields`` are what two requests must agree in to be the same.

    >>> request_name([b"ab", b"c"]) == request_name([b"a", b"bc"])
    False
    """
    digest = xxh3_128()
    for field_bytes in fields:
        digest.update(len(field_bytes).to_bytes(8, "big"))
        digest.update(field_bytes)
    return REQUEST_PREFIX + digest.hexdigest()


@dataclass(frozen=True, slots=True)
class EngineEnd:
    """The end of one run of an engine of a service, under some part.

    ``confirmed`` is set once the engine is known to take no connection.
    """

    engine: str
    service: str
    at: float
    confirmed: bool


@dataclass(frozen=True, slots=True)
class PartEvidence:
    """What is known of a part: engines' ends, and times of written answers.

    ``sound`` holds (service, time) pairs.
    """

    part: str
    ends: tuple[EngineEnd, ...]
    sound: tuple[tuple[str, float], ...]


@dataclass(frozen=True, slots=True)
class Hold:
    """Parts held back, the engines that ended under them, and the end time.

    Several parts occurred together so far: only prompts with all of them are
    held back.  At most one of them is a request.
    """

    parts: tuple[str, ...]
    engines: tuple[str, ...]
    services: tuple[str, ...]
    until: float


@dataclass(slots=True)
class _Record:
    """Evidence on one part; ``shared`` once other hosts know of it."""

    is_request: bool
    ends: dict[str, EngineEnd] = field(default_factory=dict)
    shared: bool = False
    trial_at: float = -inf
    changed_at: float = -inf


class SoundAnswers:
    """Times of written answers, the newest of parts and of requests."""

    __slots__ = ("_parts", "_requests")

    def __init__(self) -> None:
        self._parts: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._requests: OrderedDict[tuple[str, str], float] = OrderedDict()

    def get(self, service: str, part: str) -> float:
        """Return when the last answer was begun, -inf if there is none."""
        return self._of(part).get((service, part), -inf)

    def add(self, service: str, part: str, begun_at: float) -> None:
        """Record a written answer."""
        times = self._of(part)
        key = (service, part)
        times[key] = max(begun_at, times.get(key, -inf))
        times.move_to_end(key)
        if len(times) > MAX_SOUND:
            times.popitem(last=False)

    def __len__(self) -> int:
        return max(len(self._parts), len(self._requests))

    def _of(self, part: str) -> OrderedDict[tuple[str, str], float]:
        return self._requests if is_request(part) else self._parts


class CrashJudge:
    """Evidence on parts of prompts, and which of them are held back."""

    __slots__ = (
        "_ended",
        "_expire_at",
        "_held",
        "_is_current",
        "_records",
        "_services",
        "_sound",
        "changed_at",
    )

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._sound = SoundAnswers()
        self._services: set[str] = set()
        self._ended: OrderedDict[str, EngineEnd] = OrderedDict()
        self._expire_at = -inf
        self._held: list[Hold] = []
        self._is_current = True
        self.changed_at = -inf

    def record_broken(
        self, engine: str, service: str, parts: Iterable[str], now: float
    ) -> None:
        """Record parts of a request under which an engine may have ended."""
        for part in parts:
            self._add_end(part, EngineEnd(engine, service, now, False), now)

    def confirm(self, engine: str, now: float) -> None:
        """Record that an engine has ended."""
        for part, record in self._records.items():
            end = record.ends.get(engine)
            if end is not None and not end.confirmed:
                record.ends[engine] = replace(end, confirmed=True)
                self._touch(part, now)

    def retract(self, engine: str, now: float) -> None:
        """Drop unconfirmed ends of an engine that still runs."""
        self._ended.pop(engine, None)
        for part, record in list(self._records.items()):
            end = record.ends.get(engine)
            if end is not None and not end.confirmed:
                del record.ends[engine]
                self._touch(part, now)

    def record_sound(
        self, service: str, parts: Iterable[str], begun_at: float, now: float
    ) -> None:
        """Record parts of a request whose answer was written."""
        for part in parts:
            self._acquit(part, service, begun_at, now)

    def find_hold(
        self,
        service: str,
        parts: Iterable[str],
        now: float,
        rank: Callable[[str], int],
    ) -> Hold | None:
        """Return a hold that forbids to send a request now, or None.

        ``rank`` returns this host's place among all hosts in the order in
        which they may try a part whose time is over.
        """
        if not self._records:
            return None
        names = set(parts)
        return next(
            (
                hold
                for hold in self._current_holds()
                if names.issuperset(hold.parts)
                and service in hold.services
                and not self._may_try(hold, now, rank)
            ),
            None,
        )

    def begin_trial(self, parts: Iterable[str], now: float) -> None:
        """Record that a request with these parts is sent."""
        names = set(parts)
        for hold in self._held:
            if names.issuperset(hold.parts):
                self._records[hold.parts[0]].trial_at = now

    def holds(self) -> list[Hold]:
        """Return all parts that are held back."""
        return list(self._current_holds())

    def knows_any(self) -> bool:
        """Return whether there is evidence on any part."""
        return bool(self._records)

    def evidence(self, now: float) -> tuple[PartEvidence, ...]:
        """Return what other hosts need to know, the most grave first.

        Parts and requests are bounded separately.
        """
        held = self._held_parts()
        gravest = sorted(
            self._records.items(),
            key=lambda item: (item[0] in held, len(item[1].ends)),
        )
        room = {False: MAX_SENT_PARTS, True: MAX_SENT_PARTS}
        found = []
        for part, record in reversed(gravest):
            if not room[record.is_request]:
                continue
            ends = tuple(
                end
                for end in record.ends.values()
                if end.confirmed and self._is_settled(part, end, now)
            )
            if not ends and not record.shared:
                continue
            room[record.is_request] -= 1
            record.shared = True
            sound = tuple(
                (service, at)
                for service in self._services
                if (at := self._sound.get(service, part)) > -inf
            )
            found.append(PartEvidence(part, ends, sound))
        return tuple(found)

    def merge(self, evidence: Iterable[PartEvidence], now: float) -> None:
        """Add what another host knows, in times of this host's clock."""
        for item in evidence:
            for service, at in item.sound:
                if at > self._sound.get(service, item.part):
                    self._acquit(item.part, service, at, now)
            oldest = now - FORGET_S - MAX_HOLD_S + RECEIVE_MARGIN_S
            for end in item.ends:
                if end.at > oldest and not self._is_confirmed(item.part, end):
                    self._add_end(item.part, end, now)
            record = self._records.get(item.part)
            if record is not None:
                record.shared = True
            elif item.ends and self._knows_sound(item.part):
                # Hosts that have seen no answer of this part need to know.
                self._make_room(item.part)
                self._records[item.part] = _Record(
                    is_request(item.part), shared=True
                )
                self._touch(item.part, now)

    def _is_confirmed(self, part: str, end: EngineEnd) -> bool:
        """Return whether an end under a part is known already."""
        record = self._records.get(part)
        known = None if record is None else record.ends.get(end.engine)
        return known is not None and known.confirmed

    def _knows_sound(self, part: str) -> bool:
        return any(
            self._sound.get(name, part) > -inf for name in self._services
        )

    def _add_end(self, part: str, end: EngineEnd, now: float) -> None:
        """Add an end unless a later answer refutes it."""
        self._services.add(end.service)
        if end.engine not in self._ended:
            self._ended[end.engine] = end
            if len(self._ended) > MAX_ENGINES_KEPT:
                self._ended.popitem(last=False)
        if end.at <= self._sound.get(end.service, part):
            return
        record = self._records.get(part)
        known = None if record is None else record.ends.get(end.engine)
        if known is not None and (known.confirmed or not end.confirmed):
            return
        if record is None:
            self._make_room(part)
            record = self._records[part] = _Record(is_request(part))
        at = end.at if known is None else min(known.at, end.at)
        record.ends[end.engine] = replace(end, at=at)
        if len(record.ends) > MAX_ENDS_KEPT:
            oldest = min(record.ends.values(), key=lambda item: item.at)
            del record.ends[oldest.engine]
        self._touch(part, now)

    def _acquit(
        self, part: str, service: str, begun_at: float, now: float
    ) -> None:
        self._sound.add(service, part, begun_at)
        record = self._records.get(part)
        if record is None:
            return
        refuted = [
            end.engine
            for end in record.ends.values()
            if end.service == service and end.at <= begun_at
        ]
        for engine in refuted:
            del record.ends[engine]
        if refuted:
            self._touch(part, now)

    def _touch(self, part: str, now: float) -> None:
        record = self._records[part]
        record.changed_at = now
        self._is_current = False
        if not record.ends and not record.shared:
            del self._records[part]
            return
        self.changed_at = now

    def _make_room(self, part: str) -> None:
        """Drop the weakest evidence if there is no room for a part."""
        wanted = is_request(part)
        alike = [
            name
            for name, record in self._records.items()
            if record.is_request == wanted
        ]
        if len(alike) < (MAX_REQUESTS if wanted else MAX_PARTS):
            return
        held = self._held_parts()
        weakest = min(
            alike,
            key=lambda part: (
                part in held,
                len(self._records[part].ends),
                self._records[part].changed_at,
            ),
        )
        del self._records[weakest]
        self._is_current = False

    def _is_reputed(self, part: str, ends: list[EngineEnd]) -> bool:
        """Return whether answers were written shortly before the ends."""
        first = min(end.at for end in ends)
        return any(
            first - self._sound.get(service, part) < REPUTATION_S
            for service in {end.service for end in ends}
        )

    def _is_settled(self, part: str, end: EngineEnd, now: float) -> bool:
        """Return whether an end is worth telling others."""
        return now - end.at >= SETTLE_S or not self._is_reputed(part, [end])

    def _held_parts(self) -> dict[str, Hold]:
        """Return the holds by part."""
        return {
            part: hold for hold in self._current_holds() for part in hold.parts
        }

    def _current_holds(self) -> list[Hold]:
        """Return the holds, derived anew if the evidence has changed."""
        if not self._is_current:
            self._is_current = True
            self._held = self._judge()
        return self._held

    def _judge(self) -> list[Hold]:
        """Return the parts that explain the ends, the strongest first.

        Parts with the same ends are held back together; several requests
        are not, since only one of them is at fault.
        """
        explained: set[str] = set()
        held: list[Hold] = []
        suspects = sorted(
            (self._is_reputed(part, ends), -len(ends), part)
            for part, record in self._records.items()
            if len(ends := list(record.ends.values())) >= MAX_ENDS
        )
        alike: dict[tuple[bool, frozenset[str]], list[str]] = {}
        for reputed, _, part in suspects:
            engines = frozenset(self._records[part].ends)
            alike.setdefault((reputed, engines), []).append(part)
        for (reputed, engines), parts in alike.items():
            ends = list(self._records[parts[0]].ends.values())
            left = [end for end in ends if end.engine not in explained]
            requests = sum(map(is_request, parts))
            if not _suffices(left, reputed) or not self._is_main_cause(
                left, explained, [others for _, others in alike]
            ):
                continue
            explained.update(engines)
            if requests > 1:
                parts = [part for part in parts if not is_request(part)]
            if parts:
                ends = list(self._records[parts[0]].ends.values())
                held.append(_hold(tuple(parts), ends))
        return held

    def _is_main_cause(
        self,
        ends: list[EngineEnd],
        explained: set[str],
        suspects: Iterable[frozenset[str]],
    ) -> bool:
        """Return whether a part's last ends outnumber others at that time.

        Ends of other ``suspects`` at other engines do not count, nor do single
        ends of trials: engines that end for other reasons before a trial
        release nothing.
        """
        own = {end.engine for end in ends}
        elsewhere = explained.union(
            *(engines for engines in suspects if own.isdisjoint(engines))
        )
        services = {end.service for end in ends}
        others = [
            end.at
            for engine, end in self._ended.items()
            if end.service in services
            and engine not in own
            and engine not in elsewhere
        ]
        # Older ends of the part itself may have been dropped.
        is_full = len(ends) >= MAX_ENDS_KEPT
        floor = min(end.at for end in ends) if is_full else -inf
        times = _last_series(sorted(end.at for end in ends))
        return any(
            len(times) - first
            >= MAX_ENDS
            + sum(
                1
                for at in others
                if max(floor, since - LEAD_S) <= at <= times[-1]
            )
            for first, since in enumerate(times)
        )

    def _may_try(
        self, hold: Hold, now: float, rank: Callable[[str], int]
    ) -> bool:
        """Return whether this host may send a request to try a part."""
        if now < hold.until:
            return False
        trial_at = self._records[hold.parts[0]].trial_at
        if now - trial_at < TRIAL_TIMEOUT_S:
            return False
        return now >= hold.until + rank(hold.parts[0]) * TRIAL_STEP_S

    def expire(self, now: float) -> None:
        """Drop evidence that no longer counts, once in a while."""
        if now < self._expire_at:
            return
        self._expire_at = now + EXPIRE_INTERVAL_S
        held = self._held_parts()
        for part, record in list(self._records.items()):
            hold = held.get(part)
            if hold is not None:
                if now > hold.until + FORGET_S:
                    del self._records[part]
                    self._is_current = False
                continue
            old = [
                end.engine
                for end in record.ends.values()
                if now - end.at > EVIDENCE_S
            ]
            for engine in old:
                del record.ends[engine]
            if old:
                self._is_current = False
            if not record.ends and now - record.changed_at > EVIDENCE_S:
                del self._records[part]


def _suffices(ends: list[EngineEnd], reputed: bool) -> bool:
    """Return whether unexplained ends suffice to hold a part back."""
    times = _separate_times(ends)
    if not reputed:
        return len(times) >= MAX_ENDS
    if len(times) < MAX_REPUTED_ENDS:
        return False
    return times[-1] - times[0] >= MIN_REPUTED_SPAN_S


def _last_series(times: list[float]) -> list[float]:
    """Return the last series of at least MAX_ENDS times, all without one."""
    series: list[list[float]] = []
    for at in times:
        if not series or at - series[-1][-1] > SERIES_GAP_S:
            series.append([])
        series[-1].append(at)
    return next(
        (found for found in reversed(series) if len(found) >= MAX_ENDS), times
    )


def _separate_times(ends: list[EngineEnd]) -> list[float]:
    """Return the times of the ends, in order, one for those at once."""
    times: list[float] = []
    for end in sorted(ends, key=lambda item: item.at):
        if not times or end.at - times[-1] >= ENDS_APART_S:
            times.append(end.at)
    return times


def _hold(parts: tuple[str, ...], ends: list[EngineEnd]) -> Hold:
    """Return the hold that the ends of parts lead to."""
    ordered = sorted(ends, key=lambda end: end.at)
    trials = sum(
        1
        for first, second in pairwise(ordered)
        if second.at - first.at > SERIES_GAP_S
    )
    if trials >= MAX_REQUEST_TRIALS and any(map(is_request, parts)):
        hold_s = MAX_HOLD_S
    else:
        hold_s = _hold_s(trials)
    return Hold(
        parts,
        tuple(end.engine for end in ordered),
        tuple(sorted({end.service for end in ends})),
        ordered[-1].at + hold_s,
    )


def _hold_s(trials: int) -> float:
    """Return how long a part is held back after a number of trials."""
    if trials == 0:
        return FIRST_HOLD_S
    return min(MAX_HOLD_S, HOLD_S * 2.0 ** (trials - 1))
