"""Typed messages between gateways and controllers."""

from dataclasses import dataclass
from typing import Union

from magnoliaflow.common.records import RolloutStep


@dataclass(frozen=True, slots=True)
class HostNotice:
    """A host that the cloud reclaims in ``seconds_left`` seconds."""

    host: str
    seconds_left: float


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A gateway's heartbeat, with the state that its peers need."""

    identity: str
    host: str
    zone: str
    state: int
    caller_address: str
    peer_address: str
    applied: dict[str, int]
    notices: tuple[HostNotice, ...]
    in_flight: int


@dataclass(frozen=True, slots=True)
class Parting:
    """The token offset at which a successor continued a branch."""

    epoch: int
    owner: str
    offset: int


@dataclass(frozen=True, slots=True)
class Hold:
    """Replicate a whole request to its standby."""

    request_id: str
    epoch: int
    owner: str
    lineage: tuple[Parting, ...]
    account: str
    profile: str
    body: bytes
    tokens: tuple[int, ...]
    deadline_s: float
    engine: str
    attempt_id: str


@dataclass(frozen=True, slots=True)
class HoldAck:
    """Acknowledge that the first ``length`` tokens are replicated.

    ``finished`` says that the end of the request is replicated too.
    """

    request_id: str
    epoch: int
    owner: str
    length: int
    finished: bool


@dataclass(frozen=True, slots=True)
class Extend:
    """Append tokens of an attempt to a replicated request."""

    request_id: str
    epoch: int
    owner: str
    offset: int
    tokens: tuple[int, ...]
    engine: str
    attempt_id: str


@dataclass(frozen=True, slots=True)
class Finish:
    """End a replicated request with a result code and a token count."""

    request_id: str
    epoch: int
    owner: str
    code: int
    length: int


@dataclass(frozen=True, slots=True)
class Handover:
    """Ask the standby to take over a request immediately."""

    request_id: str
    epoch: int
    owner: str


@dataclass(frozen=True, slots=True)
class Stop:
    """Tell a process to stop because a higher branch continues.

    ``epoch`` and ``owner`` are those of the higher branch.
    """

    request_id: str
    epoch: int
    owner: str


@dataclass(frozen=True, slots=True)
class Drop:
    """Tell a standby that its replica is no longer needed."""

    request_id: str
    epoch: int
    owner: str


@dataclass(frozen=True, slots=True)
class ClaimHandover:
    """Ask the receiver to take over an undispatched claim."""

    key: str
    submission: str
    epoch: int


@dataclass(frozen=True, slots=True)
class Find:
    """Ask a peer whether it serves a request."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Found:
    """Answer ``Find`` with the caller address that serves the request."""

    request_id: str
    caller_address: str


@dataclass(frozen=True, slots=True)
class NewsRequest:
    """Ask a peer for the records of a stream from an offset on."""

    stream: str
    first_offset: int


@dataclass(frozen=True, slots=True)
class NewsRecord:
    """One encoded record with its offset."""

    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class News:
    """Records of a stream, in order."""

    stream: str
    records: tuple[NewsRecord, ...]


@dataclass(frozen=True, slots=True)
class AccountDemand:
    """An account's demand at a host, in its cap's unit per second.

    ``spent`` is the total that the host's process has taken of the cap.
    """

    account: str
    rate: float
    spent: float


@dataclass(frozen=True, slots=True)
class UsageCount:
    """Requests that an account started in a window at one process."""

    account: str
    window: int
    count: int


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """A host's load on an engine.

    ``unread_tokens`` are prompt tokens of requests without a first token.
    ``speed_weight`` and ``speed_total`` are evidence of the engine's prefill
    rate (enginespeeds), in hundredths.
    """

    engine: str
    running: int
    unread_tokens: int
    speed_weight: int = 0
    speed_total: int = 0


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """A host's demand on a service, in prompt tokens per second.

    ``recent_rate`` is that of the last seconds, -1 from old versions.
    """

    backend: str
    tokens_rate: float
    running: int
    recent_rate: float = -1.0


@dataclass(frozen=True, slots=True)
class EngineEntry:
    """An engine's registration; ``gone`` marks one that was removed.

    ``leaves_s`` counts from when the entry was read; ``born`` distinguishes
    runs under the same id; ``offset`` is the position of the last change, -1
    if unknown.  ``sequence`` grows with each entry that a run writes, -1 if
    it is not known.  ``version`` is that of its software, empty if unknown.
    """

    engine: str
    backend: str
    address: str
    zone: str
    slots: int
    leaving: bool
    leaves_s: float = 0.0
    spot: bool = False
    born: int = 0
    gone: bool = False
    offset: int = -1
    sequence: int = -1
    version: str = ""


@dataclass(frozen=True, slots=True)
class Beat:
    """An entry process's heartbeat, with the state that its peers need.

    Ages are in seconds at the time of sending: ``config_age`` since the
    version was last confirmed as the newest, ``fleet_age`` since the
    registrations up to ``fleet_end`` were, ``lease_age`` since the sender
    began to append the last record of the lease, at ``lease_offset``.
    ``entries`` are all that changed from the offset ``entries_from`` on,
    which is -1 if the entries are not complete from any offset.
    ``lease_fence`` is -1 if the sender holds no lease.  ``true_time`` is
    the sender's estimate of the time of day.  ``number`` counts the
    heartbeats to this receiver; ``heard_number`` is that of the last one
    received from it, -1 if there is none.  ``groups`` tells whether the
    sender can exchange reports and views.  ``store_era`` is the newest era of
    the store that the sender knows, ``lease_era`` that of the last record of
    the lease; both are -1 from builds that do not know of eras.
    """

    identity: str
    host: str
    zone: str
    caller_address: str
    peer_address: str
    ready: bool
    leaving: bool
    true_time: float
    version: int
    config_age: float
    fleet_end: int
    fleet_age: float
    lease_fence: int
    lease_offset: int
    lease_age: float
    peers: tuple[str, ...]
    demands: tuple[AccountDemand, ...]
    usage: tuple[UsageCount, ...]
    engines: tuple[EngineLoad, ...]
    services: tuple[ServiceLoad, ...]
    entries_from: int
    entries: tuple[EngineEntry, ...]
    document: bytes
    number: int = -1
    heard_number: int = -1
    groups: bool = False
    store_era: int = -1
    lease_era: int = -1


@dataclass(frozen=True, slots=True)
class HostFact:
    """Identity, place, addresses and state of an entry process."""

    host: str
    identity: str
    zone: str
    caller_address: str
    peer_address: str
    ready: bool
    leaving: bool


@dataclass(frozen=True, slots=True)
class LoadSums:
    """Load of one or more hosts, as parallel columns.

    Per engine: open requests and prompt tokens without a first token.  Per
    account: demand per second and the total ``spent`` of its cap, in the
    cap's unit.  Per service: prompt tokens per second and open requests.
    Per engine too, or empty: evidence of its prefill rate (enginespeeds), in
    hundredths.  Per service too, or empty: prompt tokens per second of the
    last seconds.
    """

    engines: tuple[str, ...] = ()
    running: tuple[int, ...] = ()
    unread_tokens: tuple[int, ...] = ()
    accounts: tuple[str, ...] = ()
    rates: tuple[float, ...] = ()
    spent: tuple[float, ...] = ()
    services: tuple[str, ...] = ()
    token_rates: tuple[float, ...] = ()
    service_running: tuple[int, ...] = ()
    speed_weights: tuple[int, ...] = ()
    speed_totals: tuple[int, ...] = ()
    recent_rates: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Progress:
    """How current a host's configuration and registrations are.

    ``version`` is -1 without a configuration.  Ages are seconds since the
    confirmation as the newest.  ``fleet_change`` is the position of the last
    change up to ``fleet_end``; changes from ``fleet_complete_from`` on are
    known without gaps, -1 if that is not known.  ``store_era`` is the newest
    era of the store, -1 from builds that do not know of eras.
    """

    version: int
    config_age: float
    fleet_end: int
    fleet_age: float
    fleet_change: int
    fleet_complete_from: int
    store_era: int = -1


@dataclass(frozen=True, slots=True)
class LeaseFact:
    """The duty lease as its holder knows it.

    ``age`` is in seconds since the holder began to append the last record,
    which is at the position ``offset`` and was written in ``era``, -1 from
    builds that do not know of eras.
    """

    holder: str
    fence: int
    offset: int
    age: float
    era: int = -1


@dataclass(frozen=True, slots=True)
class Report:
    """A host's load and state for the aggregators of its group.

    ``number`` counts the reports of a process.  ``leases`` is empty unless
    the sender holds the lease.  ``wants_view`` asks for a view in return.
    ``heard`` and ``heard_number`` are the publisher and the number of the
    last digest of its group that the sender received.  ``usage`` are its
    counts that changed since its last report.
    """

    fact: HostFact
    number: int
    loads: LoadSums
    progress: Progress
    leases: tuple[LeaseFact, ...]
    true_time: float
    wants_view: bool
    heard: str
    heard_number: int
    usage: tuple[UsageCount, ...] = ()


@dataclass(frozen=True, slots=True)
class Digest:
    """The sums of one group of hosts, made by one of its aggregators.

    ``number`` counts the digests of the publisher.  ``hosts`` is empty if
    the roster with the number ``roster`` was sent before; ``numbers`` and
    ``ages`` (seconds) are those of the last report of each of its hosts.
    ``loads.spent`` counts from the start of the publisher.  ``heard`` and
    ``heard_numbers`` name the publishers and the numbers of the last digests
    received from other groups.
    """

    group: str
    publisher: str
    number: int
    roster: int
    hosts: tuple[HostFact, ...]
    numbers: tuple[int, ...]
    ages: tuple[float, ...]
    loads: LoadSums
    progress: Progress
    leases: tuple[LeaseFact, ...]
    true_time: float
    heard: tuple[str, ...]
    heard_numbers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class View:
    """Encoded digests with their ages, forwarded as they were received.

    An age is the longest possible one in seconds, 1e6 if it is unknown.
    ``host`` is the sender.  ``hosts`` are the live hosts that it knows, if
    the receiver has asked for the view, else none.
    """

    host: str
    digests: tuple[bytes, ...]
    ages: tuple[float, ...]
    hosts: tuple[HostFact, ...]


@dataclass(frozen=True, slots=True)
class Changes:
    """Registrations and the configuration that the receiver lacks.

    ``entries`` are all that changed from the offset ``entries_from`` up to
    ``fleet_end``; ``entries_from`` is -1 if they are not complete.
    ``document`` is empty if the configuration is not sent.
    """

    host: str
    entries_from: int
    fleet_end: int
    entries: tuple[EngineEntry, ...]
    document: bytes


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Usage counts of a process that has ended, from an aggregator.

    They are complete up to the true time ``until``, -1 if none is known.
    """

    identity: str
    usage: tuple[UsageCount, ...]
    until: float


@dataclass(frozen=True, slots=True)
class UsageCounts:
    """Usage counts of one process, for the lease holder.

    They are complete up to the true time ``until``, None if the sender is an
    earlier version.  ``ended`` are those of processes of its group that have
    ended.
    """

    identity: str
    usage: tuple[UsageCount, ...]
    until: float | None = None
    ended: tuple[ProcessUsage, ...] = ()


@dataclass(frozen=True, slots=True)
class EndedEngine:
    """A run of an engine that ended under a part, ``age`` seconds ago."""

    engine: str
    backend: str
    age: float


@dataclass(frozen=True, slots=True)
class SoundAnswer:
    """The last written answer of a service, begun ``age`` seconds ago."""

    backend: str
    age: float


@dataclass(frozen=True, slots=True)
class SuspectPart:
    """Evidence for and against a part of prompts or a request, by name."""

    part: str
    ends: tuple[EndedEngine, ...]
    sound: tuple[SoundAnswer, ...]


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """The limit that a run of an engine named ``age`` seconds ago.

    ``rate`` is in requests per second from all hosts, -1 for no limit.
    """

    engine: str
    rate: float
    age: float


@dataclass(frozen=True, slots=True)
class Findings:
    """What a host has found out about prompts and engines, for all hosts.

    ``departures`` are the runs of engines that have said that they leave.
    """

    host: str
    parts: tuple[SuspectPart, ...]
    limits: tuple[NamedLimit, ...] = ()
    requests: tuple[SuspectPart, ...] = ()
    departures: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class StreamGroup:
    """Streams that engines of one software version have begun.

    ``digests`` holds 8 bytes of each stream's id.
    """

    backend: str
    version: str
    digests: bytes


@dataclass(frozen=True, slots=True)
class StreamBatch:
    """A record of the streams that began at a host.

    A group without digests tells that engines of its version serve.
    """

    host: str
    groups: tuple[StreamGroup, ...]


@dataclass(frozen=True, slots=True)
class RolloutDecisions:
    """The roll-outs as the sender has them.

    ``ages`` are the seconds since each step was confirmed as the newest.
    ``heard_number`` is the number of the receiver's last counts that the
    sender has received, -1 if there are none.
    """

    host: str
    identity: str
    steps: tuple[RolloutStep, ...]
    ages: tuple[float, ...]
    heard_number: int


@dataclass(frozen=True, slots=True)
class RolloutTally:
    """What hosts saw of one version on one route since the order."""

    route: str
    target: bool
    sent: int
    finished: int
    failed: int
    running: int
    latencies: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RolloutCount:
    """Tallies of a service, and the step that its hosts route by.

    ``number`` and ``stage`` are the lowest of the hosts, ``age`` the seconds
    since the oldest count in them.
    """

    backend: str
    order: int
    number: int
    stage: int
    age: float
    tallies: tuple[RolloutTally, ...]


@dataclass(frozen=True, slots=True)
class RolloutCounts:
    """Counts of the sender, or of the ``hosts`` of its ``group``.

    ``number`` counts these messages of a process.  ``group`` is empty unless
    the sender has summed the counts of its group.
    """

    fact: HostFact
    number: int
    hosts: int
    group: str
    counts: tuple[RolloutCount, ...]


Message = Union[
    Heartbeat,
    HostNotice,
    Hold,
    HoldAck,
    Extend,
    Finish,
    Handover,
    Stop,
    Drop,
    ClaimHandover,
    Find,
    Found,
    NewsRequest,
    News,
    Beat,
    Report,
    View,
    Changes,
    UsageCounts,
    Findings,
    RolloutDecisions,
    RolloutCounts,
]
