"""Without second sends: an idempotent call without an answer."""

from concurrent.futures import ThreadPoolExecutor
from time import monotonic
from time import sleep

import pytest

from entrysite import Deployment
from entrysite import send_request
from entrysite import wait_until

# Target of the deployment's routes, and how long the silent engines take.
TARGET_S, SILENT_S = 1.0, 4.0


@pytest.fixture
def site(tmp_path):
    """Return a deployment with the limit of 0, the default."""
    deployment = Deployment(tmp_path)
    yield deployment
    deployment.close()


def test_an_idempotent_call_without_an_answer_is_sent_again_at_the_target(
    site,
):
    """Once, and not before the target; which engine is asked is open."""
    port = site.start("e-1")["frontend"]

    def run(name):
        begun = monotonic()
        answer = send_request(port, "POST", "/look/x", b"b", X_Attempt_Id=name)
        return answer[0], answer[2], monotonic() - begun

    for number in range(20):
        run(f"warm-{number}")
    for engine in site.engines.values():
        engine.pause_s = SILENT_S
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(run, "silent")
        wait_until(lambda: "silent" in site.executed_ids(), "it is sent")
        sleep(TARGET_S / 5)
        for engine in site.engines.values():
            engine.pause_s = 0.0
        status, body, took_s = answer.result()
    assert (status, body) == (200, b"answer to b")
    assert site.executed_ids().count("silent") == 2
    assert TARGET_S <= took_s < SILENT_S / 2
