"""Which software version of a service's engines began each stream.

What two versions write does not fit together, so a stream may go on only at
the version that began it.  While a service has engines of one version alone,
that is known without a record.  While it has several, each host records the
streams that began there, so that they can be looked up while they live.
"""

from collections.abc import Iterable
from collections import defaultdict
from collections import deque
from collections import OrderedDict
from dataclasses import dataclass
from itertools import chain
from itertools import groupby
from math import inf
from operator import attrgetter

from xxhash import xxh64_digest

from magnoliaflow.common.messages import StreamGroup

DIGEST_BYTES = 8
# A stream is taken up within this time of its beginning: twice the longest
# time that a client of the platform waits.
STREAM_LIFE_S = 30.0
# A version is named again after this time, as the store drops old records.
NAMED_AGAIN_S = 8.0
# Own streams kept; a host begins fewer in their life.
MAX_OWN_STREAMS = 8192
# Streams in one record.
MAX_BATCH_STREAMS = 2048
# Records of all hosts that are kept after they were read.
MAX_LOGGED_BYTES = 2 * 1024 * 1024


@dataclass(frozen=True, slots=True, order=True)
class Origin:
    """A service and the software version of the engine that began a stream."""

    backend: str
    version: str


@dataclass(slots=True)
class OwnStream:
    """A stream that began at this host."""

    origin: Origin
    began_at: float


def stream_digest(stream_id: str) -> bytes:
    """Return the bytes that stand for a stream in records."""
    return xxh64_digest(stream_id.encode())


class StreamOrigins:
    """Versions that serve and have served, and the streams they began.

    ``own`` are this host's streams by digest, ``unsaved`` those of them that
    no record holds.  ``seen`` tells when this host last saw an engine of a
    version, ``named`` when it last read or wrote a record that names it.
    ``first`` is the version that had a service for itself, ``alone_since``
    when this host began to see no other.
    """

    __slots__ = (
        "_logged",
        "_logged_bytes",
        "alone_since",
        "first",
        "named",
        "own",
        "seen",
        "unsaved",
    )

    def __init__(self) -> None:
        self.own: OrderedDict[bytes, OwnStream] = OrderedDict()
        self.unsaved: OrderedDict[bytes, OwnStream] = OrderedDict()
        self.seen: dict[str, dict[str, float]] = defaultdict(dict)
        self.named: dict[Origin, float] = {}
        self.first: dict[str, str] = {}
        self.alone_since: dict[str, float] = {}
        self._logged: deque[tuple[float, StreamGroup]] = deque()
        self._logged_bytes = 0

    def observe(
        self, backend: str, present: Iterable[str], now: float
    ) -> None:
        """Note the versions of which a service has engines now."""
        seen = self.seen[backend]
        seen.update(dict.fromkeys(present, now))
        for version in [
            version for version, at in seen.items() if now - at > STREAM_LIFE_S
        ]:
            del seen[version]
        if len(seen) == 1:
            (self.first[backend],) = seen
            self.alone_since.setdefault(backend, now)
        else:
            self.alone_since.pop(backend, None)

    def versions(self, backend: str, now: float) -> set[str]:
        """Return the versions that may have begun a stream that lives."""
        return {
            version
            for version, at in self.seen[backend].items()
            if now - at <= STREAM_LIFE_S
        } | {
            origin.version
            for origin, at in self.named.items()
            if origin.backend == backend and now - at <= STREAM_LIFE_S
        }

    def is_mixed(self, backend: str, now: float) -> bool:
        """Return whether streams of several versions may be taken up."""
        return len(self.versions(backend, now)) > 1

    def knows_versions(self, backend: str, now: float) -> bool:
        """Return whether no version can have begun streams unknown to here.

        A record names the versions, or this host has seen one alone for as
        long as a stream lives.
        """
        return now - self.alone_since.get(backend, now) > STREAM_LIFE_S or any(
            origin.backend == backend and now - at <= STREAM_LIFE_S
            for origin, at in self.named.items()
        )

    def sides(
        self, backend: str, present: Iterable[str], now: float
    ) -> tuple[tuple[str, ...], ...]:
        """Return the versions for a new stream, in order of preference.

        Those that a record names come first: any host knows then that they
        may have begun streams.  Empty for no preference.
        """
        versions = tuple(present)
        if len({*versions, *self.seen[backend]}) < 2:
            return ()
        safe: list[str] = []
        unsafe: list[str] = []
        for version in versions:
            is_safe = version == self.first.get(backend) or (
                Origin(backend, version) in self.named
            )
            (safe if is_safe else unsafe).append(version)
        return tuple(filter(None, (tuple(safe), tuple(unsafe))))

    def sent_to(self, stream_id: str, now: float) -> Origin | None:
        """Return where this host has sent a stream, None if any will do.

        While a service is mixed, a record that names the engine's version may
        be in the store, and no other may write the first event.
        """
        own = self.own.get(stream_digest(stream_id))
        if own is None or not self.is_mixed(own.origin.backend, now):
            return None
        return own.origin

    def record(self, stream_id: str, origin: Origin, now: float) -> None:
        """Record where this host has sent a stream."""
        digest = stream_digest(stream_id)
        known = self.own.get(digest)
        if known is not None and known.origin == origin:
            return
        stream = OwnStream(origin, now)
        for streams in (self.own, self.unsaved):
            streams[digest] = stream
            streams.move_to_end(digest)
            if len(streams) > MAX_OWN_STREAMS:
                streams.popitem(last=False)

    def expire(self, now: float) -> None:
        """Drop what no client can ask for any more."""
        for streams in (self.own, self.unsaved):
            while streams:
                stream = next(iter(streams.values()))
                if now - stream.began_at <= STREAM_LIFE_S:
                    break
                streams.popitem(last=False)
        for origin, at in list(self.named.items()):
            if now - at > STREAM_LIFE_S:
                del self.named[origin]
        while self._logged and (
            now - self._logged[0][0] > STREAM_LIFE_S
            or self._logged_bytes > MAX_LOGGED_BYTES
        ):
            _, group = self._logged.popleft()
            self._logged_bytes -= len(group.digests)

    def find(self, stream_id: str) -> set[Origin]:
        """Return the origins that are known of a stream's id.

        More than one if the id was used twice.
        """
        digest = stream_digest(stream_id)
        found = {
            Origin(group.backend, group.version)
            for _, group in self._logged
            if _holds(group.digests, digest)
        }
        own = self.own.get(digest)
        return found if own is None else found | {own.origin}

    def read(self, groups: Iterable[StreamGroup], now: float) -> None:
        """Take in a record of any host."""
        for group in groups:
            self.named[Origin(group.backend, group.version)] = now
            if group.digests:
                self._logged.append((now, group))
                self._logged_bytes += len(group.digests)

    def unnamed(self, backend: str, now: float) -> list[Origin]:
        """Return the versions of a mixed service that no record names."""
        seen = self.seen[backend]
        if len(seen) < 2:
            return []
        oldest = now - NAMED_AGAIN_S
        origins = [Origin(backend, version) for version in seen]
        return [
            origin
            for origin in origins
            if self.named.get(origin, -inf) < oldest
        ]

    def next_batch(
        self, backends: Iterable[str], now: float, *, with_versions: bool
    ) -> tuple[StreamGroup, ...]:
        """Return what to record of services.

        That is the streams of those that are mixed, versions that no record
        names and, ``with_versions``, all that have engines.
        """
        mixed = {name for name in backends if self.is_mixed(name, now)}
        if not mixed and not with_versions:
            return ()
        origins = set(
            chain.from_iterable(self.unnamed(name, now) for name in mixed)
        )
        if with_versions:
            origins |= {
                Origin(backend, version)
                for backend in backends
                for version in self.seen[backend]
            }
        streams = sorted(
            (
                (stream.origin, digest)
                for digest, stream in self.unsaved.items()
                if stream.origin.backend in mixed
            ),
        )[:MAX_BATCH_STREAMS]
        digests = {
            origin: b"".join(digest for _, digest in items)
            for origin, items in groupby(streams, key=lambda item: item[0])
        }
        return tuple(
            StreamGroup(
                origin.backend, origin.version, digests.get(origin, b"")
            )
            for origin in sorted(
                origins | digests.keys(),
                key=attrgetter("backend", "version"),
            )
        )

    def saved(self, groups: Iterable[StreamGroup], now: float) -> None:
        """Note that a record is in the store."""
        for group in groups:
            self.named[Origin(group.backend, group.version)] = now
            data = group.digests
            for start in range(0, len(data), DIGEST_BYTES):
                self.unsaved.pop(data[start : start + DIGEST_BYTES], None)

    def begin_era(self) -> None:
        """Record everything again: the store may have lost it."""
        self._logged.clear()
        self._logged_bytes = 0
        self.named.clear()
        self.unsaved = OrderedDict(self.own)


def _holds(digests: bytes, digest: bytes) -> bool:
    """Return whether a digest is one of those that stand in a row."""
    at = digests.find(digest)
    while at >= 0 and at % DIGEST_BYTES:
        at = digests.find(digest, at + 1)
    return at >= 0
