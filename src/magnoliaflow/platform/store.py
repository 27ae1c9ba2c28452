"""Client of the platform's store: a log with partitions and offsets."""

from base64 import b64decode
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from struct import Struct
from typing import Any
from urllib.parse import urlencode

from twisted.internet.defer import inlineCallbacks

from magnoliaflow.common.errors import FormatError
from magnoliaflow.common.errors import PortError
from magnoliaflow.common.errors import RestoredError
from magnoliaflow.common.errors import TrimmedError
from magnoliaflow.platform.jsonvalues import decode_json
from magnoliaflow.transport.client import fetch
from magnoliaflow.transport.client import Reply

CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"
ENGINES_TOPIC = "keyed.servers"
DUTY_TOPIC = "duty"
HOSTS_TOPIC = "keyed.members"
STATUS_TOPIC = "keyed.status"
STREAMS_TOPIC = "streams"
# Header of every answer; its value rises by one when the store has lost
# records that it had confirmed.
ERA_HEADER = b"store-era"

LENGTH_PREFIX = Struct(">I")
READ_HEADER = Struct(">QQ")
PARTITION = "0"
# The era of a store that has never gone back.
FIRST_ERA = 1
# Positions in a log hold an era and an offset of 32 bits each.
MAX_ERA = 2**31 - 1
MAX_OFFSET = 2**32 - 1


class ConflictError(PortError):
    """A conditional append failed because the log ends elsewhere."""

    def __init__(self, end: int) -> None:
        super().__init__(f"the log ends at {end}; read up to there first")
        self.end = end


@dataclass(frozen=True, slots=True)
class Entry:
    """One record and its offset; ``key`` is empty in plain topics.

    ``value`` is None if the key was removed.
    """

    offset: int
    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Page:
    """Entries read from a topic, and the offset at which its log ends.

    ``era`` is that of the store, 0 if it names none.
    """

    entries: tuple[Entry, ...]
    end: int
    era: int = 0


class StoreClient:
    """Client of the store; each call fails with PortError.

    ``era`` is the newest that an answer has named, 0 before.  ``on_era`` is
    called with each new one.
    """

    __slots__ = ("address", "calls", "era", "on_era", "timeout_s")

    def __init__(
        self,
        address: str,
        *,
        timeout_s: float,
        on_era: Callable[[int], None] = lambda era: None,
    ) -> None:
        self.address = address
        self.timeout_s = timeout_s
        self.on_era = on_era
        self.era = 0
        self.calls = 0

    @inlineCallbacks
    def read(
        self, topic: str, offset: int, *, era: int, wait_s: float = 0.0
    ) -> Any:
        """Return a Page from an offset on, waiting up to ``wait_s``.

        ``era`` is that in which the offset was taken.  Raises RestoredError
        if the store is in another one, and TrimmedError if the record at the
        offset was trimmed.
        """
        query = {"topic": topic, "part": PARTITION, "source": offset}
        if wait_s:
            query["waitTimeoutMs"] = int(wait_s * 1000)
        reply = yield self._call(
            b"GET", "log-read", query, timeout_s=self.timeout_s + wait_s
        )
        self._check_era(reply, era)
        if reply.status == 410:
            raise TrimmedError(_offset(_json(reply), "firstOffset"))
        _check(reply)
        page = decode_page(topic, offset, reply.body)
        return replace(page, era=self.era)

    @inlineCallbacks
    def read_newest(self, topic: str) -> Any:
        """Return a Page with the newest entry of each key."""
        entries: list[Entry] = []
        query: dict[str, Any] = {"topic": topic, "part": PARTITION}
        end = era = -1
        while True:
            reply = yield self._call(
                b"GET", "log-newest", query, timeout_s=self.timeout_s
            )
            _check(reply)
            era = self.era if era < 0 else era
            self._check_era(reply, era)
            values = _json(reply)
            page = _newest_entries(values)
            entries.extend(page)
            # The pages are not a snapshot.  Changes made after the first
            # page are read from its end offset on.
            end = _offset(values, "endOffset") if end < 0 else end
            if not values.get("hasMore") or not page:
                return Page(tuple(entries), end, era)
            if page[-1].key == query.get("after"):
                raise FormatError(f"{topic}: page repeats {page[-1].key!r}")
            query["after"] = page[-1].key

    @inlineCallbacks
    def append(
        self,
        topic: str,
        data: bytes,
        *,
        at: int | None = None,
        era: int = 0,
    ) -> Any:
        """Append one record and return its offset.

        With ``at``, raises ConflictError unless the log ends there, and
        RestoredError if the store is no longer in the ``era`` in which this
        offset was taken; the record may be on the log then.  An append that
        is not answered may still take effect, even later.
        """
        query: dict[str, Any] = {"topic": topic, "part": PARTITION}
        if at is not None:
            query["at"] = at
        reply = yield self._call(
            b"POST",
            "log-append",
            query,
            body=LENGTH_PREFIX.pack(len(data)) + data,
            timeout_s=self.timeout_s,
        )
        if at is not None:
            self._check_era(reply, era)
        if reply.status == 412:
            raise ConflictError(_offset(_json(reply), "endOffset"))
        _check(reply)
        return _offset(_json(reply), "offset")

    def put(self, topic: str, key: str, value: bytes) -> Any:
        """Append a new value of a key and return its offset."""
        name = key.encode()
        return self.append(topic, bytes((len(name),)) + name + value)

    def _call(
        self,
        method: bytes,
        name: str,
        query: dict[str, Any],
        *,
        body: bytes = b"",
        timeout_s: float,
    ) -> Any:
        self.calls += 1
        target = f"/magnoliaflow/{name}?{urlencode(query)}".encode()
        return fetch(
            self.address, method, target, body=body, timeout_s=timeout_s
        ).addCallback(self._observe_era)

    def _observe_era(self, reply: Reply) -> Reply:
        """Note a new era; raises PortError for an answer of an old one."""
        era = decode_era(reply)
        if 0 < era < self.era:
            raise PortError(
                f"answer of era {era} of the store, which is in {self.era}"
            )
        if era > self.era:
            self.era = era
            self.on_era(era)
        return reply

    def _check_era(self, reply: Reply, era: int) -> None:
        """Raise RestoredError if an answer is not of an era."""
        found = decode_era(reply)
        if found and found != era:
            raise RestoredError(found)


def decode_era(reply: Reply) -> int:
    """Return the era that an answer names, 0 if it names none."""
    value = next(
        (value for name, value in reply.headers if name == ERA_HEADER), b""
    )
    if not value.isdigit() or len(value) > len(str(MAX_ERA)):
        return 0
    era = int(value)
    return era if era <= MAX_ERA else 0


def decode_page(topic: str, offset: int, data: bytes) -> Page:
    """Return the entries of a read answer; raises FormatError."""
    if len(data) < READ_HEADER.size:
        raise FormatError(
            f"{topic}: answer of {len(data)} bytes has no header"
        )
    end, _ = READ_HEADER.unpack_from(data)
    if end > MAX_OFFSET:
        raise FormatError(f"{topic}: end {end} is out of range")
    position = READ_HEADER.size
    entries = []
    while position + LENGTH_PREFIX.size <= len(data):
        (length,) = LENGTH_PREFIX.unpack_from(data, position)
        position += LENGTH_PREFIX.size
        record = data[position : position + length]
        if len(record) < length:
            raise FormatError(f"{topic}: record at {offset} is truncated")
        entries.append(_entry(topic, offset, record))
        position += length
        offset += 1
    return Page(tuple(entries), end)


def _entry(topic: str, offset: int, record: bytes) -> Entry:
    if not topic.startswith("keyed."):
        return Entry(offset, "", record)
    if not record:
        return Entry(offset, "", None)
    size = record[0]
    key = record[1 : 1 + size].decode("utf-8", "replace")
    return Entry(offset, key, record[1 + size :] or None)


def _newest_entries(values: dict[str, Any]) -> list[Entry]:
    items = values.get("items")
    if not isinstance(items, list):
        raise FormatError("listing has no list of items")
    return [_newest_entry(item) for item in items]


def _newest_entry(item: Any) -> Entry:
    try:
        value = b64decode(item["value"])
        return Entry(_offset(item, "offset"), str(item["key"]), value or None)
    except (KeyError, TypeError, ValueError) as exc:
        raise FormatError(f"invalid listed record: {exc!r}") from exc


def _offset(values: dict[str, Any], field: str) -> int:
    value = values.get(field)
    if type(value) is not int or not 0 <= value <= MAX_OFFSET:
        raise FormatError(f"{field}: {value!r} is not an offset")
    return value


def _json(reply: Reply) -> dict[str, Any]:
    """Return the object in an answer's body; raises FormatError."""
    try:
        values = decode_json(reply.body)
    except FormatError as exc:
        raise FormatError(f"store, status {reply.status}: {exc}") from exc
    if not isinstance(values, dict):
        raise FormatError(f"store, status {reply.status}: not an object")
    return values


def _check(reply: Reply) -> None:
    if reply.status != 200:
        raise PortError(f"store returned status {reply.status}")
