"""The process that reports usage is killed and starts again.

Two hosts; the store keeps records for 20 s.  The process that holds the duty
is killed so that it reads the log again in the last second of a usage window.
The counts of a window that it reported before have expired on the log by
then, but the window is not too old yet to be reported.
"""

from os import environ
from pathlib import Path
import sys
from threading import Event
from threading import Thread
from time import monotonic
from time import sleep
from time import time

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True

from standins.deployment import CannotRunError  # noqa: E402
from standins.deployment import config  # noqa: E402
from standins.deployment import deployment  # noqa: E402
from standins.deployment import Record  # noqa: E402
from standins.deployment import route  # noqa: E402
from standins.deployment import send  # noqa: E402
from standins.servers import Cloud  # noqa: E402
from standins.servers import Engine  # noqa: E402
from standins.store import Store  # noqa: E402

KEEP_S = 20.0
WINDOW_S = 5.0
FIRST_KILL_S = 38.0
LENGTH_S = 104.0
# Kills are this far apart at least.
KILL_GAP_S = 12.0
# Moment within a window at which the new process shall read the log.
AIM_S = 4.5


class WatchedStore(Store):
    """Notes when the log of the duties is first read from its beginning."""

    def __init__(self, keep_s):
        super().__init__(keep_s)
        self.first_reads = []

    def read(self, name, source, wait_s, limit):
        if name == "duty" and source == 0:
            self.first_reads.append(monotonic())
        return super().read(name, source, wait_s, limit)


def conflicting_reports(cloud):
    """Return the windows with two accepted reports of different counts."""
    reports = {}
    for _, path, holder, fence, body in list(cloud.calls):
        if path != "/usage":
            continue
        counts = {k: v for k, v in body["counts"].items() if v}
        found = reports.setdefault(body["windowNumber"], [])
        if not any(counts == other for _, _, other in found):
            found.append((holder, fence, counts))
    return {
        window: found for window, found in reports.items() if len(found) > 1
    }


def kill_holder(site, seeds, store, cloud, record, start_s):
    """Kill the process that reports usage; return its start-up time."""
    sleep((AIM_S - start_s - time()) % WINDOW_S)
    calls = [call for call in list(cloud.calls) if call[1] == "/usage"]
    if not calls:
        raise CannotRunError("no usage was reported")
    holder = calls[-1][2]
    entry = next(entry for entry in site.entries if entry.name == holder)
    reads = len(store.first_reads)
    killed_at = monotonic()
    record("kill", host=holder)
    entry.kill()
    entry.start(seeds, bootstrap=False)
    while len(store.first_reads) == reads:
        if monotonic() > killed_at + 10.0:
            raise CannotRunError("the process did not start again")
        sleep(0.01)
    at = store.first_reads[reads] - killed_at
    record("log read again", after_s=round(at, 2), phase=time() % WINDOW_S)
    return at


def run(record, trouble):
    """Return whether the rule held."""
    store = WatchedStore(KEEP_S)
    cloud = Cloud(record)
    for number in (1, 2, 3):
        Engine(store, f"engine-{number}", "app", record)
    store.put(
        "keyed.op",
        "config",
        config(1, [route("book", "non_idempotent", "app")], ["app"]),
    )
    with deployment() as site:
        for name in ("edge-z1-1", "edge-z1-2"):
            site.add(
                name,
                store=store.address,
                cloud=cloud.address,
                keep_s=int(KEEP_S),
            )
        spawned_at = monotonic()
        seeds = site.start()
        start_s = store.first_reads[0] - spawned_at
        stop = Event()
        statuses = []

        def client(entry):
            while not stop.is_set():
                statuses.append(send(record, entry, "POST", "/book/x")[1])
                sleep(0.2)

        threads = [
            Thread(target=client, args=(entry,), daemon=True)
            for entry in site.entries
            for _ in range(2)
        ]
        for thread in threads:
            thread.start()
        began = monotonic()
        sleep(FIRST_KILL_S)
        kills = 0
        while (
            monotonic() < began + LENGTH_S - KILL_GAP_S - WINDOW_S
            and not conflicting_reports(cloud)
        ):
            if trouble:
                start_s = kill_holder(
                    site, seeds, store, cloud, record, start_s
                )
                kills += 1
            sleep(KILL_GAP_S)
        stop.set()
        found = conflicting_reports(cloud)
        record("result", kills=kills, conflicting=found)
        windows = {c[4]["windowNumber"] for c in cloud.calls}
        print(f"{len(statuses)} requests, {statuses.count(200)} served")
        print(f"{kills} kills, {len(windows)} windows; twice: {found}")
        if statuses.count(200) < 100 or len(windows) < 8:
            raise CannotRunError("the deployment did not serve")
        return not found


def main():
    trouble = environ.get("TROUBLE", "1") != "0"
    record = Record(FOLDER / "record.txt")
    began = monotonic()
    try:
        held = run(record, trouble)
    except (CannotRunError, OSError) as exc:
        record("cannot run", reason=str(exc))
        print(f"cannot run: {exc}")
        return 2
    print(f"rule {'held' if held else 'broken'}, {monotonic() - began:.0f} s")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
