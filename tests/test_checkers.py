"""Every checker fails on a history that is broken in its way."""

from collections import Counter
from types import SimpleNamespace

import pytest

from checkers import CHECKERS
from magnoliaflow.common.codes import Code
from magnoliaflow.common.records import ProfileEntry
from magnoliaflow_standins.tokens import next_digest
from magnoliaflow_standins.tokens import next_token
from magnoliaflow_standins.tokens import start_digest
from world import Call


def make_history(calls=(), executions=(), attempts=(), nodes=(), notices=()):
    """Return what checkers read of a run."""
    return SimpleNamespace(
        calls=list(calls),
        executions=lambda: Counter(executions),
        attempts=lambda: list(attempts),
        engines={"e1": None, "e2": None},
        nodes={node.identity: node for node in nodes},
        every_node=list(nodes),
        notices=dict(notices),
    )


def make_call(*codes, key="", tokens=(), profile="claim-review"):
    """Return a call as its caller saw it."""
    call = Call("c0", "a", profile, "p", key, 3, b"", request_id="r")
    call.told = list(codes)
    call.tokens = list(tokens)
    return call


def make_answer(engines):
    """Return tokens that the engines produce one after another."""
    digest = start_digest("p")
    tokens = []
    for engine in engines:
        tokens.append(next_token(engine, digest))
        digest = next_digest(digest, tokens[-1])
    return tokens


def make_node(identity, *, version=1, left=None):
    """Return a node with one profile."""
    entry = ProfileEntry("p", version, "{}", f"c{version}")
    profiles = SimpleNamespace(entries={"p": entry})
    return SimpleNamespace(
        identity=identity,
        alive=True,
        left=left,
        state=SimpleNamespace(profiles=profiles),
    )


ATTEMPT = SimpleNamespace(request_id="r", attempt_id="a1")
ENGINE = SimpleNamespace(name="e1", cfg=SimpleNamespace(host="h1"))
VALID_ANSWER = make_answer(["e1", "e2", "e1"])

VIOLATING_HISTORIES = {
    "at_most_once": make_history(
        [make_call(Code.DONE, key="k")], ["a/k", "a/k"]
    ),
    "not_run_is_true": make_history(
        [make_call(Code.NOT_STARTED, key="k")], ["a/k"]
    ),
    "answers_are_whole": make_history(
        [
            make_call(
                Code.DONE,
                tokens=[VALID_ANSWER[0], VALID_ANSWER[2], VALID_ANSWER[1]],
            )
        ]
    ),
    "accepted_work_finishes": make_history(
        [make_call(Code.ACCEPTED, Code.NOT_STARTED)]
    ),
    "outcomes_agree": make_history([make_call(Code.DONE, key="k")]),
    "leaving_hosts_get_no_work": make_history(
        attempts=[(9.0, ENGINE, ATTEMPT)], notices={"h1": 1.0}
    ),
    "profiles_agree": make_history(
        nodes=[make_node("n1"), make_node("n2", version=2)]
    ),
    "planned_stops_cut_nothing_off": make_history(
        nodes=[make_node("n1", left=2)]
    ),
}
VALID_HISTORIES = {
    "at_most_once": make_history([make_call(Code.DONE, key="k")], ["a/k"]),
    "not_run_is_true": make_history([make_call(Code.NOT_STARTED, key="k")]),
    "answers_are_whole": make_history(
        [make_call(Code.DONE, tokens=VALID_ANSWER)]
    ),
    "accepted_work_finishes": make_history(
        [make_call(Code.ACCEPTED, Code.DONE)]
    ),
    "outcomes_agree": make_history([make_call(Code.DONE, key="k")], ["a/k"]),
    "leaving_hosts_get_no_work": make_history(
        attempts=[(2.0, ENGINE, ATTEMPT)], notices={"h1": 1.0}
    ),
    "profiles_agree": make_history(nodes=[make_node("n1"), make_node("n2")]),
    "planned_stops_cut_nothing_off": make_history(
        nodes=[make_node("n1", left=0)]
    ),
}


@pytest.mark.parametrize("name", sorted(CHECKERS))
def test_checker_fails_on_its_violation(name):
    assert CHECKERS[name](VIOLATING_HISTORIES[name]) != []
    assert CHECKERS[name](VALID_HISTORIES[name]) == []


def test_not_run_sees_attempts_of_idempotent_work():
    call = make_call(Code.NO_BACKEND)
    history = make_history([call], attempts=[(1.0, ENGINE, ATTEMPT)])
    assert CHECKERS["not_run_is_true"](history) != []
