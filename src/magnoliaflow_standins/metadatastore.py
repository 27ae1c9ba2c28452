"""Stand-in for the users' metadata store: keyed topics over HTTP.

It can refuse hosts, lose the answers of appends, trim topics and go back to a
copy of itself.
"""

from base64 import b64encode
from json import dumps
from struct import pack
from struct import unpack_from
from threading import Condition
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from magnoliaflow_standins.httpbase import QuietHandler
from magnoliaflow_standins.httpbase import QuietServer

PAGE_HEADER = ">QQ"  # end offset, first offset
ERA_HEADER = "Store-Era"
# Topics that the operator and the engines write, who write again what is lost.
REWRITTEN_TOPICS = ("keyed.op", "keyed.servers")


class MetadataStore:
    """Topics of one partition each, with their HTTP server.

    While ``down``, every request is refused; otherwise those whose Host
    header is in ``refused_hosts``.  All answers name the ``era``.
    """

    def __init__(self) -> None:
        self.topics: dict[str, list[bytes]] = {}
        self.first_offsets: dict[str, int] = {}
        self.changed = Condition()
        self.down = False
        self.refused_hosts: set[str] = set()
        self.answers_to_lose = 0
        self.era = 1
        self.server = QuietServer(_Handler, self)
        self.address = self.server.address

    def close(self) -> None:
        """Stop serving."""
        self.server.close()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a keyed record, as the operator or an engine does."""
        encoded_key = key.encode()
        self.append(topic, [bytes((len(encoded_key),)) + encoded_key + value])

    def append(
        self, topic: str, records: list[bytes], at: int | None = None
    ) -> int | None:
        """Append records and return the offset of the first.

        Returns None, without appending, if the topic does not end at
        ``at``.
        """
        with self.changed:
            stored = self.topics.setdefault(topic, [])
            if at is not None and at != len(stored):
                return None
            offset = len(stored)
            stored.extend(records)
            self.changed.notify_all()
            return offset

    def trim(self, topic: str) -> None:
        """Trim a topic to its end; the newest of each key stays listed."""
        with self.changed:
            self.first_offsets[topic] = len(self.topics.get(topic, []))

    def copy(self) -> dict[str, list[bytes]]:
        """Return the records of all topics."""
        with self.changed:
            return {name: list(topic) for name, topic in self.topics.items()}

    def go_back(
        self,
        copy: dict[str, list[bytes]],
        rewritten: tuple[str, ...] = REWRITTEN_TOPICS,
    ) -> None:
        """Go back to a copy and begin an era.

        What was written since to the topics ``rewritten`` is written again at
        once, the newest record of each key.
        """
        with self.changed:
            lost = {name: self.newest_records(name) for name in self.topics}
            self.topics = {name: list(topic) for name, topic in copy.items()}
            self.first_offsets.clear()
            for name in rewritten:
                kept = self.newest_records(name)
                self.topics.setdefault(name, []).extend(
                    record
                    for key, record in lost.get(name, {}).items()
                    if kept.get(key) != record
                )
            self.era += 1
            self.changed.notify_all()

    def newest_records(self, topic: str) -> dict[bytes, bytes]:
        """Return the newest record of each key, removals included."""
        return {
            record[1 : 1 + record[0]]: record
            for record in self.topics.get(topic, [])
        }

    def newest(self, topic: str) -> dict[str, tuple[int, bytes]]:
        """Return the newest value of each key with its offset.

        Keys whose newest value is empty are left out.
        """
        latest: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(self.topics.get(topic, [])):
            key_length = record[0]
            key = record[1 : 1 + key_length].decode()
            latest[key] = (offset, record[1 + key_length :])
        return {key: entry for key, entry in latest.items() if entry[1]}


class _Handler(QuietHandler):
    @property
    def store(self) -> MetadataStore:
        return self.server.standin  # type: ignore[attr-defined,no-any-return]

    def do_GET(self) -> None:
        """Read a topic or list its newest records."""
        if self._reject_if_refused():
            return
        url = urlsplit(self.path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if url.path.endswith("log-newest"):
            self._list(query["topic"])
        else:
            self._read(query)

    def do_POST(self) -> None:
        """Append records."""
        body = self.rfile.read(int(self.headers["Content-Length"]))
        if self._reject_if_refused():
            return
        query = {
            key: values[0]
            for key, values in parse_qs(urlsplit(self.path).query).items()
        }
        records, position = [], 0
        while position < len(body):
            (length,) = unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        at = int(query["at"]) if "at" in query else None
        offset = self.store.append(query["topic"], records, at)
        end = len(self.store.topics[query["topic"]])
        if self.store.answers_to_lose and offset is not None:
            self.store.answers_to_lose -= 1
            self.close_connection = True
            return
        status = 412 if offset is None else 200
        reply = {"offset": offset, "endOffset": end}
        self._answer(status, dumps(reply).encode())

    def _reject_if_refused(self) -> bool:
        host = self.headers.get("Host", "")
        if not self.store.down and host not in self.store.refused_hosts:
            return False
        self._answer(503, b"{}")
        return True

    def _list(self, topic: str) -> None:
        items = [
            {
                "key": key,
                "value": b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in self.store.newest(topic).items()
        ]
        end = len(self.store.topics.get(topic, []))
        reply = {"items": items, "hasMore": False, "endOffset": end}
        self._answer(200, dumps(reply).encode())

    def _read(self, query: dict[str, str]) -> None:
        store, topic = self.store, query["topic"]
        start = int(query["source"])
        wait_s = int(query.get("waitTimeoutMs", "0")) / 1000
        first_offset = store.first_offsets.get(topic, 0)
        era = store.era
        with store.changed:
            end = len(store.topics.get(topic, []))
            if not first_offset <= start <= end:
                reply = {"firstOffset": first_offset}
                self._answer(410, dumps(reply).encode())
                return
            store.changed.wait_for(
                lambda: len(store.topics.get(topic, [])) > start
                or store.era > era,
                wait_s,
            )
            if store.era > era:
                self.close_connection = True
                return
            records = store.topics.get(topic, [])[start:]
            end = len(store.topics.get(topic, []))
        body = pack(PAGE_HEADER, end, first_offset)
        body += b"".join(
            pack(">I", len(record)) + record for record in records
        )
        self._answer(200, body)

    def _answer(self, status: int, body: bytes) -> None:
        self.send_response(status)
        self.send_header(ERA_HEADER, str(self.store.era))
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
