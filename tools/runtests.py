"""Run all tests except the known failures, which are printed.

The slowest files run in processes of their own, beside the others.  Their
output is printed when they have ended.  Tests that check what a process takes
of its host run after all others have ended.
"""

from pathlib import Path
from subprocess import Popen
from subprocess import STDOUT
from sys import argv
from sys import executable
from sys import exit as sys_exit
from tempfile import TemporaryFile

ROOT = Path(__file__).parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
SLOW_GROUPS = (
    ("tests/test_request_judgement.py",),
    ("tests/test_crash_judgement.py", "tests/test_restored_judgement.py"),
    ("tests/test_store_restored.py", "tests/test_crashing_requests.py"),
    ("tests/test_log_restored.py",),
    (
        "tests/test_process_start.py",
        "tests/test_planned_stops.py",
        "tests/test_rollout_processes.py",
    ),
)
LONE_FILES = ("tests/test_client_crowds.py",)


def known_failures():
    """Return the test ids listed in KNOWN-RED.txt."""
    if not KNOWN_FAILURES_FILE.exists():
        return []
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    return [line.split()[1] for line in lines if line.startswith("test: ")]


def run_groups(command):
    """Run the slow groups, all other tests, and then the lone files.

    Return the exit codes.
    """
    running = []
    for group in SLOW_GROUPS:
        output = TemporaryFile()
        process = Popen(
            [*command, "-p", "no:cacheprovider", *group],
            stdout=output,
            stderr=STDOUT,
        )
        running.append((group, process, output))
    ignored = [
        f"--ignore={path}"
        for group in (*SLOW_GROUPS, LONE_FILES)
        for path in group
    ]
    codes = [Popen([*command, *ignored]).wait()]
    for group, process, output in running:
        codes.append(process.wait())
        output.seek(0)
        print(f"{' '.join(group)}:\n{output.read().decode()}", flush=True)
    codes += [Popen([*command, path]).wait() for path in LONE_FILES]
    return codes


def main():
    """Run pytest without the known failures and return its exit code."""
    test_ids = known_failures()
    for test_id in test_ids:
        print(f"known failure, deselected: {test_id}", flush=True)
    deselections = [f"--deselect={test_id}" for test_id in test_ids]
    command = [executable, "-m", "pytest", *deselections]
    if len(argv) > 1:
        return Popen([*command, *argv[1:]]).wait()
    return max(map(abs, run_groups(command)))


if __name__ == "__main__":
    sys_exit(main())
