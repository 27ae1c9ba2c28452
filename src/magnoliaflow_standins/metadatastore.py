"""Stand-in for the users' store: a log with keyed topics, over HTTP.

It can refuse some callers, lose answers of appends, and forget history.
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

PAGE_HEADER = ">QQ"


class MetadataStore:
    """Topics of one partition each, and the server in front of them."""

    def __init__(self) -> None:
        self.topics: dict[str, list[bytes]] = {}
        self.first: dict[str, int] = {}
        self.changed = Condition()
        self.down = False
        self.refused: set[str] = set()
        self.lost_answers = 0
        self.server = QuietServer(_Handler, self)
        self.address = self.server.address

    def close(self) -> None:
        """Stop serving."""
        self.server.close()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a keyed record, as the operator or an engine does."""
        name = key.encode()
        self.append(topic, [bytes((len(name),)) + name + value])

    def append(
        self, topic: str, records: list[bytes], at: int | None = None
    ) -> int | None:
        """Append; None where the log does not end at ``at``."""
        with self.changed:
            rows = self.topics.setdefault(topic, [])
            if at is not None and at != len(rows):
                return None
            offset = len(rows)
            rows.extend(records)
            self.changed.notify_all()
            return offset

    def trim(self, topic: str) -> None:
        """Drop a topic's history; the newest of each key is kept."""
        with self.changed:
            self.first[topic] = len(self.topics.get(topic, []))

    def newest(self, topic: str) -> dict[str, tuple[int, bytes]]:
        """Return the newest value of each key with its offset."""
        found: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(self.topics.get(topic, [])):
            size = record[0]
            key = record[1 : 1 + size].decode()
            found[key] = (offset, record[1 + size :])
        return {key: row for key, row in found.items() if row[1]}


class _Handler(QuietHandler):
    @property
    def store(self) -> MetadataStore:
        return self.server.owner  # type: ignore[attr-defined,no-any-return]

    def do_GET(self) -> None:
        """Read a topic, or list its newest records."""
        if self._refused():
            return
        url = urlsplit(self.path)
        query = {key: row[0] for key, row in parse_qs(url.query).items()}
        if url.path.endswith("log-newest"):
            self._list(query["topic"])
        else:
            self._read(query)

    def do_POST(self) -> None:
        """Append records."""
        body = self.rfile.read(int(self.headers["Content-Length"]))
        if self._refused():
            return
        query = {
            key: row[0]
            for key, row in parse_qs(urlsplit(self.path).query).items()
        }
        records, place = [], 0
        while place < len(body):
            (length,) = unpack_from(">I", body, place)
            records.append(body[place + 4 : place + 4 + length])
            place += 4 + length
        at = int(query["at"]) if "at" in query else None
        offset = self.store.append(query["topic"], records, at)
        end = len(self.store.topics[query["topic"]])
        if self.store.lost_answers and offset is not None:
            self.store.lost_answers -= 1
            self.close_connection = True
            return
        status = 412 if offset is None else 200
        values = {"offset": offset, "endOffset": end}
        self._answer(status, dumps(values).encode())

    def _refused(self) -> bool:
        host = self.headers.get("Host", "")
        if not self.store.down and host not in self.store.refused:
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
        values = {"items": items, "hasMore": False, "endOffset": end}
        self._answer(200, dumps(values).encode())

    def _read(self, query: dict[str, str]) -> None:
        store, topic = self.store, query["topic"]
        start = int(query["source"])
        wait_s = int(query.get("waitTimeoutMs", "0")) / 1000
        first = store.first.get(topic, 0)
        if start < first:
            self._answer(410, dumps({"firstOffset": first}).encode())
            return
        with store.changed:
            store.changed.wait_for(
                lambda: len(store.topics.get(topic, [])) > start, wait_s
            )
            rows = store.topics.get(topic, [])[start:]
            end = len(store.topics.get(topic, []))
        body = pack(PAGE_HEADER, end, first)
        body += b"".join(pack(">I", len(row)) + row for row in rows)
        self._answer(200, body)

    def _answer(self, status: int, body: bytes) -> None:
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
