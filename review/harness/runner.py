"""Runs a case and writes its record."""

from signal import alarm
from signal import SIGALRM
from signal import signal
from signal import SIGTERM
import sys
from time import monotonic
import traceback

from harness.clients import Record
from harness.deployment import Deployment

BROKEN, HELD, NOT_RUN = 1, 0, 2
# A script may take 120 s; the rest is for its end.
MAX_LENGTH_S = 105
HOST_NAMES = ("edge-a-1", "edge-b-1")


def _stop(number, frame):
    sys.exit(NOT_RUN)


def run_case(play, judge, path):
    """Play and judge a case; return the exit code of its script.

    ``play`` takes the deployment and the record of the clients; ``judge``
    also takes what it returned, writes the record at ``path``, and returns
    whether the rule was broken.
    """
    signal(SIGTERM, _stop)
    signal(SIGALRM, _stop)
    alarm(MAX_LENGTH_S)
    path.write_text("the case has not come to its end\n")
    try:
        return _play_and_judge(play, judge)
    except Exception as exc:
        traceback.print_exc()
        path.write_text(f"the case could not run: {exc!r}\n")
        return NOT_RUN


def _play_and_judge(play, judge):
    record = Record()
    deployment = Deployment(HOST_NAMES)
    try:
        played = play(deployment, record)
        return BROKEN if judge(deployment, record, played) else HELD
    finally:
        deployment.close()


def cut_requests(record, runs):
    """Return the requests that ran and whose channel ended too early."""
    return [
        sent
        for sent in record.sent
        if sent.request_id in runs and sent.outcome.startswith("channel ended")
    ]


def write_record(path, lines, record, runs, start, marks):
    """Write ``lines`` and every request to the record at a path.

    ``marks`` are words by request id; times are counted from ``start``.
    """
    with path.open("w") as out:
        for line in lines:
            print(line, file=out)
        print("\nmark id path port sent ended status outcome | runs", file=out)
        for sent in record.sent:
            ran = "; ".join(
                f"{run.engine_id} {run.began_at - start:.3f} s to"
                f" {(run.ended_at or monotonic()) - start:.3f} s"
                f" {run.outcome}"
                for run in runs.get(sent.request_id, [])
            )
            print(
                marks.get(sent.request_id, "-"),
                sent.request_id,
                sent.path,
                sent.port,
                f"{sent.sent_at - start:.3f} s",
                f"{(sent.ended_at or monotonic()) - start:.3f} s",
                sent.status,
                sent.outcome,
                "|",
                ran or "not run",
                file=out,
            )
