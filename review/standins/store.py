"""The platform's store, form ``log``, as far as an entry process calls it."""

from base64 import b64encode
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from json import dumps
from struct import pack
from struct import unpack_from
from threading import Condition
from threading import Thread
from time import monotonic
from urllib.parse import parse_qs
from urllib.parse import urlsplit

# The default of ``maxSizeKb``, and the most of one page of a listing.
DEFAULT_READ_KB = 1024
PAGE_ITEMS = 500
PAGE_BYTES = 1024 * 1024
MAX_RECORD_BYTES = 262144
MAX_CALL_BYTES = 2097152


class Topic:
    """One partition: records with the time at which they were appended."""

    def __init__(self):
        self.first = 0
        self.records = []
        self.newest = {}

    @property
    def end(self):
        return self.first + len(self.records)


class Store:
    """Topics of one partition each; records expire after ``keep_s``."""

    def __init__(self, keep_s=300.0):
        self.keep_s = keep_s
        self.topics = {}
        self.changed = Condition()
        self.server = _Server(("127.0.0.1", 0), _Handler)
        self.server.store = self
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        Thread(target=self.server.serve_forever, daemon=True).start()

    def topic(self, name):
        """Return a topic without its expired records."""
        topic = self.topics.setdefault(name, Topic())
        horizon = monotonic() - self.keep_s
        while topic.records and topic.records[0][0] < horizon:
            del topic.records[0]
            topic.first += 1
        return topic

    def append(self, name, records, at=None):
        """Append records; return (offset or None, end offset)."""
        assert all(len(record) <= MAX_RECORD_BYTES for record in records)
        assert sum(len(record) + 4 for record in records) <= MAX_CALL_BYTES
        with self.changed:
            topic = self.topic(name)
            if at is not None and at != topic.end:
                return None, topic.end
            offset = topic.end
            for record in records:
                if name.startswith("keyed."):
                    key = record[1 : 1 + record[0]]
                    value = record[1 + record[0] :]
                    topic.newest.pop(key, None)
                    if value:
                        topic.newest[key] = (topic.end, value)
                topic.records.append((monotonic(), record))
            self.changed.notify_all()
            return offset, topic.end

    def put(self, name, key, value=b""):
        """Write the value of a key, or remove the key without a value."""
        data = key.encode()
        return self.append(name, [bytes((len(data),)) + data + value])

    def read(self, name, source, wait_s, limit):
        """Return (status, body) of a read."""
        with self.changed:
            if source < self.topic(name).first:
                reply = {"firstOffset": self.topic(name).first}
                return 410, dumps(reply).encode()
            self.changed.wait_for(
                lambda: self.topic(name).end > source, wait_s
            )
            topic = self.topic(name)
            if source < topic.first:
                return 410, dumps({"firstOffset": topic.first}).encode()
            parts = [pack(">QQ", topic.end, topic.first)]
            size = 0
            for _, record in topic.records[source - topic.first :]:
                size += len(record) + 4
                if size > limit and len(parts) > 1:
                    break
                parts.append(pack(">I", len(record)) + record)
            return 200, b"".join(parts)

    def list_newest(self, name, after):
        """Return the body of one page of the newest records."""
        with self.changed:
            topic = self.topic(name)
            keys = sorted(key for key in topic.newest if key > after)
            items, size = [], 0
            for key in keys:
                offset, value = topic.newest[key]
                size += len(value)
                if items and (size > PAGE_BYTES or len(items) == PAGE_ITEMS):
                    break
                items.append(
                    {
                        "key": key.decode(),
                        "value": b64encode(value).decode(),
                        "offset": offset,
                    }
                )
            reply = {
                "items": items,
                "hasMore": len(items) < len(keys),
                "endOffset": topic.end,
            }
            return dumps(reply).encode()


class _Server(ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, request, client_address):
        """Ignore errors of connections that the other side closed."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, format, *args):
        """Discard the message."""

    def _query(self):
        url = urlsplit(self.path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        return url.path.rpartition("/")[2], query

    def do_GET(self):
        name, query = self._query()
        store = self.server.store
        if name == "log-newest":
            after = query.get("after", "").encode()
            self._answer(200, store.list_newest(query["topic"], after))
        elif name == "log-read":
            wait_s = int(query.get("waitTimeoutMs", "0")) / 1000
            limit = int(query.get("maxSizeKb", DEFAULT_READ_KB)) * 1024
            self._answer(
                *store.read(
                    query["topic"], int(query["source"]), wait_s, limit
                )
            )
        else:
            self._answer(404, b"{}")

    def do_POST(self):
        name, query = self._query()
        body = self.rfile.read(int(self.headers["Content-Length"]))
        if name != "log-append":
            self._answer(404, b"{}")
            return
        records, position = [], 0
        while position < len(body):
            (length,) = unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        at = int(query["at"]) if "at" in query else None
        offset, end = self.server.store.append(query["topic"], records, at)
        reply = {"endOffset": end}
        if offset is not None:
            reply["offset"] = offset
        self._answer(412 if offset is None else 200, dumps(reply).encode())

    def _answer(self, status, body):
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        try:
            self.wfile.write(body)
        except OSError:
            self.close_connection = True
