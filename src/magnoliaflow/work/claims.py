"""Rules by which log readers derive the state of non-idempotent requests.

A claim table is a pure function of the records applied in offset order, so
all readers of the same records agree.  No clock is involved: the age of a key
is relative to the latest time in any record (the horizon).

A reader that starts after the first record of the log lacks history.  It
defers all records until a Mark provides the horizon, and learns an unsettled
claim from a Restate plus the records of its key after the Restate's ``as_of``
offset.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from functools import singledispatchmethod
from typing import Any

from magnoliaflow.cluster.positions import offset_of
from magnoliaflow.common.codes import Code
from magnoliaflow.common.errors import KeyFormatError
from magnoliaflow.common.records import Accept
from magnoliaflow.common.records import Dispatch
from magnoliaflow.common.records import Mark
from magnoliaflow.common.records import Outcome
from magnoliaflow.common.records import Refuse
from magnoliaflow.common.records import Restate
from magnoliaflow.common.records import Takeover

DEFAULT_WINDOW_S = 3600.0


class ClaimState(Enum):
    """State of a claim according to the log."""

    OPEN = "open"
    DISPATCHED = "dispatched"
    CLOSED = "closed"
    REFUSED = "refused"


class Verdict(Enum):
    """Effect of a record on the claim table."""

    APPLIED = "applied"
    DUPLICATE = "duplicate"
    VOID = "void"


@dataclass(slots=True)
class Claim:
    """The submission in force for a key, and its state.

    ``stated_at`` is the time of its latest Accept or Restate, ``changed_at``
    that of the latest record that changed it.
    """

    key: str
    submission: str
    owner: str
    account: str
    profile: str
    body: bytes
    epoch: int = 0
    state: ClaimState = ClaimState.OPEN
    code: int = int(Code.ACCEPTED)
    result: bytes = b""
    stated_at: float = 0.0
    changed_at: float = 0.0

    @property
    def progress(self) -> tuple[int, bool]:
        """Return its epoch and whether it was dispatched; both only rise."""
        dispatched = (ClaimState.DISPATCHED, ClaimState.CLOSED)
        return self.epoch, self.state in dispatched


def key_created_at(key: str) -> float:
    """Return the creation time in seconds encoded in an idempotency key.

    Raises KeyFormatError if the key has none.

    >>> key_created_at("counter/1700000000-voucher-7")
    1700000000.0
    """
    stamp = key.rpartition("/")[2].partition("-")[0]
    if not (stamp.isascii() and stamp.isdigit() and len(stamp) <= 12):
        raise KeyFormatError(
            f"key {key!r} must start with its time in seconds, "
            "as in 1700000000-name"
        )
    return float(stamp)


@dataclass(frozen=True, slots=True)
class LoggedRecord:
    """A record and its offset in the log."""

    offset: int
    record: Any


@dataclass(slots=True)
class ClaimTable:
    """All claims within the key window, derived from the log alone.

    Offsets are positions: those of a log that went back are higher.

    ``voided`` maps submissions that must not run to their keys.
    ``unmatched`` holds records of unknown claims, which a later Restate may
    need; ``deferred`` holds the records read before the first usable Mark.
    """

    window_s: float = DEFAULT_WINDOW_S
    claims: dict[str, Claim] = field(default_factory=dict)
    voided: dict[str, str] = field(default_factory=dict)
    horizon: float = 0.0
    first_offset: int = 0
    complete: bool = True
    applied: int = -1
    marked_at: float = 0.0
    unmatched: dict[str, list[LoggedRecord]] = field(default_factory=dict)
    deferred: list[LoggedRecord] = field(default_factory=list)

    def restart(self, first_offset: int) -> None:
        """Restart at an offset because earlier records were trimmed.

        All claims are dropped, since a missed record may have dispatched
        them.
        """
        self.claims.clear()
        self.voided.clear()
        self.unmatched.clear()
        self.deferred.clear()
        self.first_offset = first_offset
        self.applied = first_offset - 1
        self.complete = offset_of(first_offset) == 0

    def apply(self, offset: int, record: Any) -> Verdict:
        """Apply the record at an offset and return its effect.

        A record at an offset already applied has none.
        """
        if offset <= self.applied:
            return Verdict.DUPLICATE
        self.applied = offset
        if isinstance(record, Mark):
            return self._mark(record)
        if not self.complete:
            self.deferred.append(LoggedRecord(offset, record))
            return Verdict.VOID
        return self._apply_and_retain(offset, record)

    def _mark(self, record: Mark) -> Verdict:
        self.marked_at = max(self.marked_at, record.written_at)
        self.horizon = max(self.horizon, record.written_at)
        if self.complete or record.as_of < self.first_offset - 1:
            return Verdict.DUPLICATE
        self.horizon = max(self.horizon, record.horizon)
        self.complete = True
        deferred = self.deferred
        self.deferred = []
        for entry in deferred:
            self._apply_and_retain(entry.offset, entry.record)
        return Verdict.APPLIED

    def _apply_and_retain(self, offset: int, record: Any) -> Verdict:
        """Apply a record, and retain it if its claim is unknown."""
        self.horizon = max(self.horizon, record.written_at)
        verdict = self._apply_record(record, offset)
        if verdict is Verdict.APPLIED and record.key in self.claims:
            claim = self.claims[record.key]
            claim.changed_at = max(claim.changed_at, record.written_at)
        if record.key not in self.claims and self.first_offset > 0:
            self.unmatched.setdefault(record.key, []).append(
                LoggedRecord(offset, record)
            )
        return verdict

    def expired(self, key: str) -> bool:
        """Return whether the key is older than the key window."""
        return key_created_at(key) < self.horizon - self.window_s

    def remove_expired(self) -> int:
        """Remove settled claims of expired keys; return how many."""
        settled = (ClaimState.CLOSED, ClaimState.REFUSED)
        expired_keys = [
            key
            for key, claim in self.claims.items()
            if claim.state in settled and self.expired(key)
        ]
        for key in expired_keys:
            del self.claims[key]
        expired_voids = [
            submission
            for submission, key in self.voided.items()
            if self.expired(key)
        ]
        for submission in expired_voids:
            del self.voided[submission]
        for key in [key for key in self.unmatched if self.expired(key)]:
            self._prune_unmatched(key)
        return len(expired_keys)

    def _prune_unmatched(self, key: str) -> None:
        """Drop unmatched records that no Restate within retention can need."""
        oldest = self.horizon - 2 * self.window_s
        kept = [
            entry
            for entry in self.unmatched[key]
            if entry.record.written_at >= oldest
        ]
        if kept:
            self.unmatched[key] = kept
            return
        del self.unmatched[key]

    def current(self, key: str, submission: str) -> Claim | None:
        """Return the claim of a key if the submission is in force."""
        claim = self.claims.get(key)
        if claim is None or claim.submission != submission:
            return None
        return claim

    def unsettled(self) -> Iterator[Claim]:
        """Yield the open and dispatched claims."""
        unsettled_states = (ClaimState.OPEN, ClaimState.DISPATCHED)
        return (
            claim
            for claim in self.claims.values()
            if claim.state in unsettled_states
        )

    @singledispatchmethod
    def _apply_record(self, record: Any, offset: int) -> Verdict:
        """Ignore records of a type without a rule."""
        return Verdict.VOID

    @_apply_record.register
    def _accept(self, record: Accept, offset: int) -> Verdict:
        if record.submission in self.voided or self.expired(record.key):
            return Verdict.VOID
        existing = self.claims.get(record.key)
        if existing is not None and existing.state is not ClaimState.REFUSED:
            if existing.submission != record.submission:
                self.voided[record.submission] = record.key
            return Verdict.DUPLICATE
        self.claims[record.key] = Claim(
            record.key,
            record.submission,
            record.owner,
            record.account,
            record.profile,
            record.body,
            stated_at=record.written_at,
        )
        return Verdict.APPLIED

    @_apply_record.register
    def _dispatch(self, record: Dispatch, offset: int) -> Verdict:
        claim = self.current(record.key, record.submission)
        if claim is None or claim.state is not ClaimState.OPEN:
            return Verdict.VOID
        if (claim.epoch, claim.owner) != (record.epoch, record.owner):
            return Verdict.VOID
        claim.state = ClaimState.DISPATCHED
        return Verdict.APPLIED

    @_apply_record.register
    def _takeover(self, record: Takeover, offset: int) -> Verdict:
        claim = self.current(record.key, record.submission)
        if claim is None or claim.state is not ClaimState.OPEN:
            return Verdict.VOID
        if record.epoch != claim.epoch + 1:
            return Verdict.VOID
        claim.epoch = record.epoch
        claim.owner = record.owner
        return Verdict.APPLIED

    @_apply_record.register
    def _refuse(self, record: Refuse, offset: int) -> Verdict:
        claim = self.current(record.key, record.submission)
        if claim is None:
            self.voided[record.submission] = record.key
            return Verdict.APPLIED
        if claim.state is not ClaimState.OPEN:
            return Verdict.VOID
        self.voided[record.submission] = record.key
        claim.state = ClaimState.REFUSED
        claim.code = record.code
        return Verdict.APPLIED

    @_apply_record.register
    def _outcome(self, record: Outcome, offset: int) -> Verdict:
        claim = self.current(record.key, record.submission)
        if claim is None or record.epoch != claim.epoch:
            return Verdict.VOID
        outcome_unknown = claim.code == Code.OUTCOME_UNKNOWN
        late = claim.state is ClaimState.CLOSED and outcome_unknown
        if claim.state is not ClaimState.DISPATCHED and not late:
            return Verdict.VOID
        if late and record.code == Code.OUTCOME_UNKNOWN:
            return Verdict.DUPLICATE
        claim.state = ClaimState.CLOSED
        claim.code = record.code
        claim.result = record.body
        return Verdict.APPLIED

    def _was_refused_unmatched(self, record: Restate) -> bool:
        """Return whether a Refuse follows what a Restate speaks for."""
        return any(
            entry.offset > record.as_of
            and isinstance(entry.record, Refuse)
            and entry.record.submission == record.submission
            for entry in self.unmatched.get(record.key, ())
        )

    def _restate_known(self, claim: Claim, record: Restate) -> Verdict:
        """Apply a Restate of a claim that is known, perhaps as less.

        It tells more only on a log that went back: what was dispatched then
        stays in force, also if its key was accepted anew.
        """
        if claim.submission == record.submission:
            claim.stated_at = record.written_at
            is_ahead = (record.epoch, record.dispatched) > claim.progress
            if claim.state is not ClaimState.OPEN or not is_ahead:
                return Verdict.DUPLICATE
        elif not record.dispatched or claim.progress[1]:
            return Verdict.DUPLICATE
        else:
            self.voided[claim.submission] = record.key
            self.voided.pop(record.submission, None)
        self.claims[record.key] = _restated_claim(record)
        return Verdict.APPLIED

    @_apply_record.register
    def _restate(self, record: Restate, offset: int) -> Verdict:
        claim = self.claims.get(record.key)
        if claim is not None:
            return self._restate_known(claim, record)
        if record.dispatched or self._was_refused_unmatched(record):
            # A Refuse of a claim that was not known yet voids nothing before
            # it is applied in its order.
            self.voided.pop(record.submission, None)
        if record.submission in self.voided:
            return Verdict.VOID
        if record.as_of < self.first_offset - 1:
            return Verdict.VOID
        self.claims[record.key] = _restated_claim(record)
        for entry in self.unmatched.pop(record.key, []):
            if entry.offset > record.as_of:
                self._apply_record(entry.record, entry.offset)
        return Verdict.APPLIED


def _restated_claim(record: Restate) -> Claim:
    """Return the claim that a Restate describes."""
    return Claim(
        record.key,
        record.submission,
        record.owner,
        record.account,
        record.profile,
        record.body,
        epoch=record.epoch,
        state=ClaimState.DISPATCHED if record.dispatched else ClaimState.OPEN,
        stated_at=record.written_at,
    )
