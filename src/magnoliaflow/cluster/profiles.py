"""Named profiles and the rules for applying their changes."""

from dataclasses import dataclass
from dataclasses import field
from dataclasses import fields
from enum import Enum
from json import dumps
from json import loads
from typing import Any

from jsonschema import Draft202012Validator

from magnoliaflow.cluster.positions import offset_of
from magnoliaflow.common.errors import SettingsError
from magnoliaflow.common.records import ProfileChange
from magnoliaflow.common.records import ProfileEntry
from magnoliaflow.common.records import ProfileSnapshot

MAX_DECISIONS = 4096


class Target(Enum):
    """Kind of backend server that serves the requests of a profile."""

    MODEL = "model"
    SERVICE = "service"


class Decision(Enum):
    """Outcome of a profile change."""

    IN_FORCE = "in force"
    CONFLICT = "conflict"
    PENDING = "pending"


@dataclass(frozen=True, slots=True)
class Profile:
    """How one class of requests is served.

    ``deadline_s`` bounds the whole request; ``first_token_s`` and
    ``token_gap_s`` are its latency targets.  ``cost_limit`` is the maximum
    cost of one request in the deployment's currency.
    """

    name: str
    target: Target
    idempotent: bool
    deadline_s: float
    backend: str
    cost_limit: float = 1.0
    first_token_s: float = 1.8
    token_gap_s: float = 0.035
    priority: int = 1
    max_tokens: int = 256


SPEC_SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["target", "idempotent", "deadline_s", "backend"],
    "properties": {
        "target": {"enum": [target.value for target in Target]},
        "idempotent": {"type": "boolean"},
        "deadline_s": {"type": "number", "exclusiveMinimum": 0},
        "backend": {"type": "string", "minLength": 1},
        "cost_limit": {"type": "number", "exclusiveMinimum": 0},
        "first_token_s": {"type": "number", "exclusiveMinimum": 0},
        "token_gap_s": {"type": "number", "exclusiveMinimum": 0},
        "priority": {"type": "integer", "minimum": 0, "maximum": 9},
        "max_tokens": {"type": "integer", "minimum": 1, "maximum": 32768},
    },
}
SPEC_VALIDATOR = Draft202012Validator(SPEC_SCHEMA)


def parse_spec(name: str, spec: str) -> Profile:
    """Return the profile described by a JSON text.

    Raises SettingsError, which names the profile, the field and the fault.
    """
    try:
        values = loads(spec)
    except ValueError as exc:
        raise SettingsError(f"profile {name}: invalid JSON: {exc}") from exc
    for error in SPEC_VALIDATOR.iter_errors(values):
        path = ".".join(str(part) for part in error.absolute_path)
        raise SettingsError(
            f"profile {name}: {path or 'spec'}: {error.message}"
        )
    if not values["idempotent"] and values["target"] == Target.MODEL.value:
        raise SettingsError(
            f"profile {name}: target: model engines keep no execution "
            "record; a non-idempotent profile needs target service"
        )
    values["target"] = Target(values["target"])
    return Profile(name=name, **values)


def profile_spec(profile: Profile) -> str:
    """Return a profile as the JSON text that parse_spec reads."""
    values = {
        profile_field.name: getattr(profile, profile_field.name)
        for profile_field in fields(profile)
        if profile_field.name != "name"
    }
    values["target"] = profile.target.value
    return dumps(values, sort_keys=True)


@dataclass(frozen=True, slots=True)
class DeferredChange:
    """A change deferred until the history before it is known."""

    offset: int
    record: ProfileChange


@dataclass(slots=True)
class ProfileTable:
    """Current profiles, derived from the log alone.

    The version of a profile never decreases: neither a change nor a
    snapshot can revert it.  A reader whose log was trimmed defers changes
    until a snapshot covers the missing records.

    Offsets are positions: those of a log that went back are higher.  A change
    that such a log has lost and another one may get the same version; then
    the later snapshot on the log decides, for all readers alike.
    ``snapshot_as_of`` is the latest position that a snapshot covers.
    """

    entries: dict[str, ProfileEntry] = field(default_factory=dict)
    in_force: dict[str, Profile] = field(default_factory=dict)
    decisions: dict[str, Decision] = field(default_factory=dict)
    deferred: list[DeferredChange] = field(default_factory=list)
    first_offset: int = 0
    complete: bool = True
    applied: int = -1
    last_snapshot_at: float = 0.0
    snapshot_as_of: int = -1

    def restart(self, first_offset: int) -> None:
        """Continue at an offset because earlier records were trimmed."""
        self.deferred.clear()
        self.first_offset = first_offset
        self.applied = first_offset - 1
        self.complete = offset_of(first_offset) == 0

    def apply(self, offset: int, record: Any) -> bool:
        """Apply the record at an offset; return whether a profile changed."""
        if offset <= self.applied:
            return False
        self.applied = offset
        if isinstance(record, ProfileSnapshot):
            self._settle_ties(record)
            return self._merge(record)
        if not isinstance(record, ProfileChange):
            return False
        if not self.complete:
            self.deferred.append(DeferredChange(offset, record))
            return False
        return self._change(record)

    def install_snapshot(self, snapshot: ProfileSnapshot) -> None:
        """Merge the snapshot of a peer whose history is complete.

        Changes applied locally after the snapshot stay in force.
        """
        self._merge(snapshot)
        if snapshot.as_of > self.applied:
            self.applied = snapshot.as_of
            self.deferred.clear()
            self.complete = True

    def version(self, name: str) -> int:
        """Return the current version of a profile, 0 if it is unknown."""
        entry = self.entries.get(name)
        return 0 if entry is None else entry.version

    def decision(self, change_id: str) -> Decision:
        """Return the outcome of a change; PENDING until it is read."""
        return self.decisions.get(change_id, Decision.PENDING)

    def snapshot(self, *, written_at: float) -> ProfileSnapshot:
        """Return a snapshot of every profile with its version."""
        entries = tuple(self.entries[name] for name in sorted(self.entries))
        return ProfileSnapshot(entries, self.applied, written_at)

    def _change(self, record: ProfileChange) -> bool:
        if record.change_id in self.decisions:
            return False
        current = self.version(record.name)
        if record.base_version != current:
            self._decide(record.change_id, Decision.CONFLICT)
            return False
        self._decide(record.change_id, Decision.IN_FORCE)
        self._install(
            ProfileEntry(
                record.name, current + 1, record.spec, record.change_id
            )
        )
        return True

    def _settle_ties(self, record: ProfileSnapshot) -> None:
        """Replace changes that got the version of another one."""
        for entry in record.entries:
            known = self.entries.get(entry.name)
            if known is None or known.version != entry.version:
                continue
            if known.change_id != entry.change_id:
                self._decide(known.change_id, Decision.CONFLICT)
                self._decide(entry.change_id, Decision.IN_FORCE)
                self._install(entry)

    def _merge(self, record: ProfileSnapshot) -> bool:
        newer = [
            entry
            for entry in record.entries
            if entry.version > self.version(entry.name)
        ]
        for entry in newer:
            self._install(entry)
            self._decide(entry.change_id, Decision.IN_FORCE)
        self.last_snapshot_at = max(self.last_snapshot_at, record.written_at)
        self.snapshot_as_of = max(self.snapshot_as_of, record.as_of)
        if not self.complete and record.as_of >= self.first_offset - 1:
            self.complete = True
            self._replay(record.as_of)
        return bool(newer)

    def _replay(self, as_of: int) -> None:
        deferred = self.deferred
        self.deferred = []
        for change in deferred:
            if change.offset > as_of:
                self._change(change.record)

    def _install(self, entry: ProfileEntry) -> None:
        self.entries[entry.name] = entry
        self.in_force.pop(entry.name, None)
        if not entry.spec:
            return
        try:
            self.in_force[entry.name] = parse_spec(entry.name, entry.spec)
        except SettingsError:
            return

    def _decide(self, change_id: str, decision: Decision) -> None:
        self.decisions[change_id] = decision
        while len(self.decisions) > MAX_DECISIONS:
            del self.decisions[next(iter(self.decisions))]
