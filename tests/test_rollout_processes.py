"""Roll-outs by real processes: what engines and callers see."""

from concurrent.futures import ThreadPoolExecutor
from json import dumps
from json import loads
from threading import Event
from threading import Thread
from time import monotonic
from time import sleep

import pytest

from entrysite import Deployment
from entrysite import make_config
from entrysite import make_route
from entrysite import send_request
from entrysite import wait_until
from magnoliaflow_standins.batchengine import Weakness

DURATION_S = 8.0
SHARE, TOLERANCE = 0.1, 50
LINES = (
    "contracts=base,rollout,platform",
    f"bounds.exposureShare={SHARE}",
    f"bounds.exposureTolerance={TOLERANCE}",
    "bounds.rollbackTimeoutMs=5000",
)
PACE_S = 0.033
PAUSE_S = 0.02
WORKERS = 64
WEAKNESSES = {
    "good": Weakness(),
    "failing": Weakness(share=0.5),
    "later": Weakness(share=0.5, after=12),
    "slow": Weakness(share=0.6, delay_s=0.4),
    "loaded": Weakness(share=0.6, load=2),
    "oneroute": Weakness(share=0.7, prefix="/oneroute-b/"),
}


class Site(Deployment):
    """A deployment whose services each get callers and an order."""

    def __init__(self, folder, services, hosts):
        super().__init__(folder)
        self.services = services
        self.stopped = Event()
        self.pool = ThreadPoolExecutor(WORKERS)
        self.answers = []
        self.store.put(
            "keyed.op",
            "config",
            make_config(
                2,
                routes=[
                    make_route(f"{name}-{letter}", kind, service=name)
                    for name in services
                    for letter, kind in (
                        ("a", "idempotent"),
                        ("b", "non_idempotent"),
                    )
                ],
                services=[
                    {"name": name, "healthPath": "/h", "connectionLimit": 90}
                    for name in services
                ],
            ),
        )
        for name in services:
            for number in (1, 2):
                self.add_version(name, number, "v1")
        for number in range(hosts):
            seeds = [
                f"127.0.0.1:{ports['controlPlane']}"
                for ports in self.entry_ports
            ]
            with open(folder / f"e-{number}.log", "w") as log:
                self.start(f"e-{number}", seeds, log=log, lines=LINES)
        self.callers = [
            Thread(target=self.call, args=(name,)) for name in services
        ]
        for caller in self.callers:
            caller.start()

    def add_version(self, service, number, version):
        self.add_engine(
            f"{service}-{version}-{number}",
            service,
            version=version,
            slots=16,
        )
        self.engines[f"{service}-{version}-{number}"].pause_s = PAUSE_S

    def call(self, service):
        """Send requests at a steady pace to hosts in turn."""
        number = 0
        while not self.stopped.wait(PACE_S):
            number += 1
            ports = self.entry_ports[number % len(self.entry_ports)]
            self.pool.submit(self.call_once, service, number, ports)

    def call_once(self, service, number, ports):
        letter = "ab"[number % 2]
        try:
            status = send_request(
                ports["frontend"], "POST", f"/{service}-{letter}/x", b"hi"
            )[0]
        except OSError:
            status = 0
        self.answers.append((monotonic(), service, status))

    def order(self, service, weakness):
        """Order a version, whose engines start beside the old ones."""
        self.store.put(
            "keyed.op",
            f"rollout/{service}",
            dumps(
                {"service": service, "to": "v2", "durationS": DURATION_S}
            ).encode(),
        )
        for number in (1, 2):
            self.add_version(service, number, "v2")
            self.engines[f"{service}-v2-{number}"].weakness = weakness

    def status(self, service):
        entry = self.store.newest("keyed.status").get(f"rollout/{service}")
        return loads(entry[1]) if entry else {}

    def received(self, service, version):
        return sorted(
            row
            for number in (1, 2)
            for row in self.engines[f"{service}-{version}-{number}"].received
        )

    def close(self):
        self.stopped.set()
        for caller in self.callers:
            caller.join()
        self.pool.shutdown()
        super().close()


@pytest.fixture
def open_site(tmp_path):
    sites = []

    def open_with(services, hosts=4):
        sites.append(Site(tmp_path, services, hosts))
        return sites[-1]

    yield open_with
    for site in sites:
        site.close()


def test_kinds(open_site):
    site = open_site(WEAKNESSES)
    sleep(1.0)
    begin = monotonic()
    for name, weakness in WEAKNESSES.items():
        site.order(name, weakness)
    while monotonic() < begin + DURATION_S + 4:
        sleep(1)
        print(round(monotonic() - begin, 1), {n: (site.status(n).get("state"), len(site.received(n, "v1")), len(site.received(n, "v2"))) for n in WEAKNESSES})
    bad = [a for a in site.answers if a[2] != 200]
    print(len(site.answers), len(bad), {s: sum(1 for a in bad if a[1]==s) for s in WEAKNESSES})
    assert 0
