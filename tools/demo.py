"""Run the example deployments on loopback and check their answers."""

from pathlib import Path
from sys import exit as sys_exit
from tempfile import TemporaryDirectory
from threading import Thread
from time import monotonic

from twisted.internet.defer import inlineCallbacks

from magnoliaflow.client import make_key
from magnoliaflow.common.codes import Code
from magnoliaflow_standins.fleet import LocalFleet
from magnoliaflow_standins.fleet import run_in_reactor
from magnoliaflow_standins.fleet import start_reactor
from magnoliaflow_standins.fleet import write_settings
from magnoliaflow_standins.tokens import is_valid_answer

ROOT = Path(__file__).parent.parent
REPAIR_DOCUMENT = "Repair file of a school blazer, zip number 5, brass. " * 60
MALLET_DOCUMENT = (
    "Beech mallet head, 90 mm, turned, oiled, maple handle. " * 60
)


class Demo:
    """A running example deployment and the results of its checks."""

    def __init__(self, name, profiles, account, folder):
        example = ROOT / "examples" / f"{name}.yaml"
        path = write_settings(example, folder, engines=3, services=1)
        self.name = name
        self.profiles = ROOT / "examples" / profiles
        self.account = account
        self.fleet = LocalFleet(path)
        self.failures = 0

    def run(self, make_calls):
        """Start the deployment, make the calls and stop it."""
        try:
            self.fleet.start()
            exit_code, text = self.fleet.run_command(
                "profile", "publish", str(self.profiles), "--wait"
            )
            print(text.strip())
            self.check("profiles published", exit_code == 0)
            make_calls(self)
            self.stop()
        finally:
            self.fleet.stop_all()

    def stop(self):
        """Stop every daemon gracefully."""
        names = [
            name
            for name in self.fleet.processes
            if name.startswith(("gateway", "controller"))
        ]
        for name in names:
            self.check(f"{name} stopped", self.fleet.stop(name) == 0)

    def check(self, check_name, passed):
        """Print the result of a step and count failures."""
        self.failures += not passed
        print(f"{self.name}: {check_name}: {'ok' if passed else 'FAILED'}")

    def call_and_wait(self, profile, *, prompt="", payload=None, key=""):
        """Make a call, wait for its answer and check it."""
        client = self.fleet.client(self.account)

        @inlineCallbacks
        def call():
            answer = yield client.submit(
                profile, prompt=prompt, payload=payload, key=key
            )
            return (yield client.wait(answer))

        answer = run_in_reactor(call)
        complete = answer.code is Code.DONE
        if prompt:
            complete = complete and self.is_complete_answer(
                prompt, answer.tokens
            )
        self.check(f"{profile}: {answer.code.name}", complete)

    def stream_through_reclaim(self, profile, prompt):
        """Reclaim an engine's host while it streams an answer."""
        client = self.fleet.client(self.account)
        tokens_read = []
        answers = []

        @inlineCallbacks
        def call():
            answer = yield client.submit(profile, prompt=prompt)
            answers.append(answer)
            return (yield client.stream(answer, on_tokens=tokens_read.extend))

        def reclaim():
            self.fleet.wait_until(lambda: len(tokens_read) > 5)
            server = self.engine_of(answers[0].request_id)
            self.fleet.set_switches("cloud", reclaim={server.host: 2.0})
            until = monotonic() + 2.0
            self.fleet.wait_until(lambda: monotonic() > until)
            self.fleet.kill(server.name)
            return server.name

        lost_engines = []
        thread = Thread(target=lambda: lost_engines.append(reclaim()))
        thread.start()
        answer = run_in_reactor(call)
        thread.join()
        passed = (
            answer.code is Code.DONE
            and answer.resets == 0
            and bool(lost_engines)
            and self.is_complete_answer(prompt, answer.tokens)
        )
        self.check(
            f"{profile} streamed through the reclaim of {lost_engines}: "
            f"{len(answer.tokens)} tokens, {answer.code.name}",
            passed,
        )
        code, text = self.fleet.run_command("explain", answer.request_id)
        print(text.rstrip())

    def engine_of(self, request_id):
        """Return the engine that ran a request."""
        for server in self.fleet.cfg.backend_servers:
            if server.kind != "model":
                continue
            for entry in self.fleet.server_history(server.name):
                if entry.get("request") == request_id:
                    return server
        raise LookupError(request_id)

    def is_complete_answer(self, prompt, tokens):
        """Return whether the tokens are a valid answer to the prompt."""
        names = [
            server.name
            for server in self.fleet.cfg.backend_servers
            if server.kind == "model"
        ]
        return bool(tokens) and is_valid_answer(prompt, tokens, names)


def repair_calls(demo):
    """Make the calls of the repair office."""
    demo.call_and_wait(
        "claim-review", prompt=REPAIR_DOCUMENT + "Review the claim."
    )
    demo.call_and_wait(
        "quote-draft", prompt=REPAIR_DOCUMENT + "Price zip and labour."
    )
    demo.call_and_wait(
        "voucher-booking", payload={"voucher": 7}, key=make_key("voucher-7")
    )
    demo.call_and_wait("ticket-lookup", payload={"ticket": 12})
    demo.stream_through_reclaim(
        "counter-chat", REPAIR_DOCUMENT + "Does it fit?"
    )


def mallet_calls(demo):
    """Make the calls of the mallet works."""
    demo.call_and_wait(
        "quotation", prompt=MALLET_DOCUMENT + "Quote for forty heads."
    )
    demo.call_and_wait(
        "mallet-order", payload={"heads": 40}, key=make_key("order-3")
    )
    demo.stream_through_reclaim(
        "workshop-query", MALLET_DOCUMENT + "Which timber?"
    )


def main():
    """Run both deployments, one after the other."""
    start_reactor()
    deployments = (
        ("repair-office", "repair-profiles.yaml", "schools", repair_calls),
        ("mallet-works", "mallet-profiles.yaml", "coopers", mallet_calls),
    )
    failures = 0
    for name, profiles, account, make_calls in deployments:
        with TemporaryDirectory() as folder:
            demo = Demo(name, profiles, account, Path(folder))
            demo.run(make_calls)
            failures += demo.failures
    print(f"demo: {'ok' if not failures else f'{failures} FAILED'}")
    return 1 if failures else 0


if __name__ == "__main__":
    sys_exit(main())
