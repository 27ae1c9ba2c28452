"""An engine leaves right after another writer has left large entries.

Two hosts, three engines of one service.  The entry of engine-3 is removed;
it goes on to serve for the drain timeout and a little longer, then it ends.
With the disruption, another writer has put unreadable entries of the largest
size into the list of engines just before.
"""

from pathlib import Path
import sys
from threading import Event
from threading import Thread
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
from standins.servers import answer_plainly  # noqa: E402
from standins.servers import Cloud  # noqa: E402
from standins.servers import Engine  # noqa: E402
from standins.store import MAX_RECORD_BYTES  # noqa: E402
from standins.store import Store  # noqa: E402

DRAIN_S = 2.0
# The engine serves for the drain timeout "and a little longer".
LONGER_S = 1.0
WORK_S = 0.3
CLIENTS = 4
FOREIGN_ENTRIES = 5


def work(handler, body):
    """Work for a while, then answer unless the engine has ended."""
    sleep(WORK_S)
    if not handler.server.owner.ended:
        answer_plainly(handler, body)


def write_foreign_entries(store):
    """Write unreadable entries of the largest size, as one call."""
    records = []
    for number in range(FOREIGN_ENTRIES):
        key = f"other-{number}".encode()
        value = b"\xff" * (MAX_RECORD_BYTES - 1 - len(key))
        records.append(bytes((len(key),)) + key + value)
    store.append("keyed.servers", records)


def run(record, trouble):
    """Return whether the rule held."""
    store = Store()
    cloud = Cloud(record)
    engines = [
        Engine(store, f"engine-{number}", "app", record, work=work)
        for number in (1, 2, 3)
    ]
    store.put(
        "keyed.op",
        "config",
        config(1, [route("book", "non_idempotent", "app")], ["app"]),
    )
    with deployment() as site:
        for name in ("edge-z1-1", "edge-z1-2"):
            site.add(name, store=store.address, cloud=cloud.address)
        site.start()
        stop = Event()
        answers = {}

        def client(entry):
            while not stop.is_set():
                request, status, _ = send(record, entry, "POST", "/book/x")
                answers[request] = status
                sleep(0.05)

        threads = [
            Thread(target=client, args=(entry,), daemon=True)
            for entry in site.entries
            for _ in range(CLIENTS)
        ]
        for thread in threads:
            thread.start()
        pause(6.0)
        leaving = engines[-1]
        if not leaving.runs:
            raise CannotRunError("the engine that leaves got no request")
        if trouble:
            write_foreign_entries(store)
            record("foreign entries written", count=FOREIGN_ENTRIES)
        removed_at = leaving.remove()
        record("entry removed", engine=leaving.name)
        pause(DRAIN_S + LONGER_S)
        leaving.end()
        record("engine ended", engine=leaving.name)
        pause(2.0)
        stop.set()
        for thread in threads:
            thread.join(6.0)
        late = [
            (round(at - removed_at, 3), request)
            for at, request, _, _ in leaving.runs
            if at > removed_at + DRAIN_S
        ]
        cut = [
            (request, answers.get(request)) for request in set(leaving.cut)
        ]
        record("result", late=late, cut_with_status=cut)
        print(f"{len(answers)} requests; {len(late)} later than {DRAIN_S} s")
        print(f"cut by the engine's end: {cut}")
        if len(answers) < 100 or 200 not in answers.values():
            raise CannotRunError("the deployment did not serve")
        return not late


if __name__ == "__main__":
    sys.exit(run_case(run, FOLDER))
