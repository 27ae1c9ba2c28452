"""A part of some prompts ends every engine, and prompts have many parts.

Two hosts, six model engines that come back two seconds after their end.  All
clients list their prompts in PARTS parts, which differ from request to
request but for the first ones.  With the disruption, a few requests hold a
part that ends each engine that begins to write an answer on it.
"""

from itertools import count
from os import environ
from pathlib import Path
import sys
from threading import Event
from threading import Lock
from threading import Thread
from time import monotonic
from time import sleep

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True

from standins.deployment import CannotRunError  # noqa: E402
from standins.deployment import config  # noqa: E402
from standins.deployment import deployment  # noqa: E402
from standins.deployment import pause  # noqa: E402
from standins.deployment import route  # noqa: E402
from standins.deployment import run_case  # noqa: E402
from standins.deployment import send  # noqa: E402
from standins.servers import Cloud  # noqa: E402
from standins.servers import Engine  # noqa: E402
from standins.store import Store  # noqa: E402

ENGINES = 6
PARTS = int(environ.get("PARTS", "96"))
PART_TOKENS = 20
SHARED_PARTS = 2
DEADLY = "dead"
BACK_S = 2.0
EVENTS = 8
EVENT_S = 0.1
CONTACT_S = 3.0
CRASHES = 5
MOST_SENT = 3
CLIENTS = 6
LENGTH_S = 40.0
NUMBERS = count(1)


class Deadly:
    """Times of the engines' ends, and of requests with the deadly part."""

    def __init__(self, record):
        self.record = record
        self.lock = Lock()
        self.crashes = []
        self.arrivals = []
        self.cut = []

    def work(self, handler, body):
        """Write a stream, or end the engine when it begins to."""
        engine = handler.server.owner
        request = handler.headers["X-Attempt-Id"]
        parts = [
            entry.partition(":")[0]
            for entry in handler.headers["X-Prompt-Prefix"].split(",")
        ]
        deadly = DEADLY in parts[:-1]
        if deadly:
            with self.lock:
                self.arrivals.append((monotonic(), request))
        sleep(EVENT_S)
        handler.send_response(200)
        for name, value in handler.signature():
            handler.send_header(name, value)
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        if deadly:
            handler.wfile.write(b"8\r\nid: 0\nda\r\n")
            sleep(0.05)
            with self.lock:
                if not engine.ended:
                    self.crashes.append(monotonic())
                    self.record("engine ends", engine=engine.name)
                    engine.crash(BACK_S)
            handler.close_connection = True
            return
        for number in range(EVENTS):
            if engine.ended:
                handler.close_connection = True
                with self.lock:
                    self.cut.append(request)
                return
            event = b"id: %d\ndata: t\n\n" % number
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            sleep(EVENT_S)
        handler.wfile.write(b"0\r\n\r\n")


def prompt_prefix(deadly):
    """Return the parts of a prompt, some shared and the rest its own."""
    own = PARTS - SHARED_PARTS - deadly
    parts = [f"a{number}" for number in range(SHARED_PARTS)]
    parts += [DEADLY] if deadly else []
    parts += [f"{next(NUMBERS) + 0x1000000:x}" for _ in range(own)]
    return ",".join(f"{part}:{PART_TOKENS}" for part in parts)


def run(record, trouble):
    """Return whether the rule held."""
    store = Store()
    cloud = Cloud(record)
    deadly = Deadly(record)
    for number in range(ENGINES):
        Engine(
            store,
            f"model-{number}",
            "llm",
            record,
            slots=64,
            work=deadly.work,
        )
    chat = route(
        "chat",
        "streaming",
        "llm",
        sessionAffinity=True,
        timeoutMs=6000,
        targetLatencyMs=1200,
        targetGapMs=1000,
    )
    store.put(
        "keyed.op", "config", config(1, [chat], ["llm"], models=("llm",))
    )
    with deployment() as site:
        for name in ("edge-z1-1", "edge-z1-2"):
            site.add(name, store=store.address, cloud=cloud.address)
        site.start()
        stop = Event()
        statuses = []

        def ask(entry, is_deadly):
            status = send(
                record,
                entry,
                "POST",
                "/chat/x",
                body=b"hello",
                deadline_ms=6000,
                headers={
                    "X-Model": "m",
                    "X-Token-Usage": f"{PARTS * PART_TOKENS},40",
                    "X-Prompt-Prefix": prompt_prefix(is_deadly),
                },
            )[1]
            statuses.append((is_deadly, status))

        def client(entry):
            while not stop.is_set():
                ask(entry, False)
                sleep(0.1)

        def deadly_client(entry):
            while not stop.wait(1.0):
                ask(entry, True)

        threads = [
            Thread(target=client, args=(entry,), daemon=True)
            for entry in site.entries
            for _ in range(CLIENTS)
        ]
        for thread in threads:
            thread.start()
        pause(6.0)
        if trouble:
            for entry in site.entries:
                Thread(
                    target=deadly_client, args=(entry,), daemon=True
                ).start()
        pause(LENGTH_S - 6.0)
        stop.set()
        for thread in threads:
            thread.join(8.0)
        late = []
        if len(deadly.crashes) >= CRASHES:
            since = deadly.crashes[CRASHES - 1] + CONTACT_S
            late = [request for at, request in deadly.arrivals if at > since]
        sound = [status for is_deadly, status in statuses if not is_deadly]
        record("result", crashes=len(deadly.crashes), late=late)
        print(
            f"{len(sound)} sound requests, {sound.count(200)} served, "
            f"{len(deadly.cut)} cut by an engine's end"
        )
        print(
            f"{len(deadly.crashes)} engines ended; {len(late)} requests with "
            f"the part reached engines later than {CONTACT_S} s after the "
            f"fifth end"
        )
        if sound.count(200) < 100:
            raise CannotRunError("the deployment did not serve")
        return len(late) <= MOST_SENT


if __name__ == "__main__":
    sys.exit(run_case(run, FOLDER))
