"""Clients with kept channels, and what they saw of each request."""

from http.client import HTTPConnection
from http.client import HTTPException
from itertools import count
from threading import Lock
from time import monotonic

HOST = "desk.example"
KEY = "key-north"
NUMBERS = count(1)


class Sent:
    """One request of a client."""

    def __init__(self, request_id, path, port, *, kept):
        self.request_id = request_id
        self.path = path
        self.port = port
        self.kept = kept
        self.sent_at = monotonic()
        self.ended_at = None
        self.status = 0
        self.outcome = "no answer yet"

    def end(self, outcome):
        self.outcome = outcome
        self.ended_at = monotonic()


class Record:
    """All requests of all clients."""

    def __init__(self):
        self.lock = Lock()
        self.sent = []

    def add(self, sent):
        with self.lock:
            self.sent.append(sent)


class Client:
    """Sends one request after the other on a channel that it keeps."""

    def __init__(self, record, port, *, name="c"):
        self.record = record
        self.port = port
        self.name = name
        self.conn = None
        self.answers_on_channel = 0

    def send(self, path, *, deadline_ms=6000, method="POST", body=b"order"):
        """Send a request and return what became of it."""
        request_id = f"{self.name}-{next(NUMBERS)}"
        kept = self.conn is not None and self.answers_on_channel > 0
        sent = Sent(request_id, path, self.port, kept=kept)
        self.record.add(sent)
        headers = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "X-Credential": KEY,
        }
        if path.endswith("/s"):
            headers["X-Model"] = "m"
            headers["X-Token-Usage"] = "200,80"
        try:
            if self.conn is None:
                self.conn = HTTPConnection(
                    "127.0.0.1", self.port, timeout=deadline_ms / 1000
                )
                self.conn.connect()
            sent.sent_at = monotonic()
            self.conn.request(
                method,
                path,
                body=body if method == "POST" else None,
                headers=headers,
            )
        except OSError as exc:
            sent.end(f"no channel: {exc!r}")
            self.close()
            return sent
        try:
            reply = self.conn.getresponse()
            sent.status = reply.status
            reply.read()
            sent.end("whole answer")
            self.answers_on_channel += 1
            if reply.will_close:
                self.close()
        except TimeoutError:
            sent.end("time limit passed")
            self.close()
        except (OSError, HTTPException) as exc:
            sent.end(f"channel ended without a whole answer: {exc!r}")
            self.close()
        return sent

    def close(self):
        """Give up the channel."""
        if self.conn is not None:
            self.conn.close()
        self.conn = None
        self.answers_on_channel = 0
