"""Tests of the decisions on host starts and engine orders."""

import pytest

from magnoliaflow.common.ports import EngineOrder
from magnoliaflow.common.ports import Offer
from magnoliaflow.common.ports import StartedHost
from magnoliaflow.policy.fleet import choose_offer
from magnoliaflow.policy.fleet import OfferBackoffs
from magnoliaflow.policy.fleet import order_needed
from magnoliaflow.policy.fleet import Supply
from magnoliaflow.policy.replacement import Replacement

CHEAP = Offer("a", "small", 1.0, True)
EXPENSIVE = Offer("b", "small", 1.5, True)
ON_DEMAND = Offer("a", "small", 0.5, False)

OFFER_CASES = [
    ((CHEAP, EXPENSIVE, ON_DEMAND), (), CHEAP),
    ((ON_DEMAND,), (), ON_DEMAND),
    ((), (), None),
    ((CHEAP, EXPENSIVE), (Supply("a", "small", 3, 0),), EXPENSIVE),
    ((CHEAP, EXPENSIVE), (Supply("b", "small", 3, 0),), CHEAP),
]


@pytest.mark.parametrize("offers, supplies, chosen", OFFER_CASES)
def test_choose_offer(offers, supplies, chosen):
    assert choose_offer(offers, supplies, spread=True) == chosen


def plan_starts(replacement, *, wanted=2, supplies=(), listed=(), now=0.0):
    """Return the host starts to request."""
    return replacement.plan(
        wanted=wanted,
        supplies=supplies,
        offers=(CHEAP, EXPENSIVE, ON_DEMAND),
        listed=listed,
        now=now,
    )


def test_start_with_a_lost_reply_counts_once():
    replacement = Replacement(fence=7)
    starts = plan_starts(replacement)
    assert len(starts) == 2
    assert plan_starts(replacement, now=1.0) == ()
    started = tuple(
        StartedHost(f"h{start.tag}", start.tag, "a", "small")
        for start in starts
    )
    supplies = (Supply("a", "small", 0, 1),) * 2
    assert (
        plan_starts(replacement, supplies=supplies, listed=started, now=2.0)
        == ()
    )


def test_unlisted_start_is_requested_again():
    replacement = Replacement(fence=7)
    plan_starts(replacement)
    assert len(plan_starts(replacement, now=30.0)) == 2


def test_refused_start_backs_off_and_the_next_offer_is_tried():
    replacement = Replacement(fence=7)
    (start,) = plan_starts(replacement, wanted=1)
    replacement.record_refusal(start, 0.0)
    (second,) = plan_starts(replacement, wanted=1, now=1.0)
    assert (start.offer, second.offer) == (CHEAP, EXPENSIVE)
    replacement.record_refusal(second, 1.0)
    (third,) = plan_starts(replacement, wanted=1, now=1.5)
    assert third.offer == ON_DEMAND


def test_backoff_doubles_and_is_reset_by_a_start():
    backoffs = OfferBackoffs()
    backoff = backoffs.backoff_for(CHEAP)
    backoff.record_refusal(0.0)
    first_delay = backoff.until
    backoff.record_refusal(first_delay)
    assert backoff.until - first_delay == 2 * first_delay
    backoff.record_start()
    assert backoffs.available_offers([CHEAP], 0.0) == (CHEAP,)


def test_order_is_needed_only_if_the_state_differs():
    current = EngineOrder(1, ("m",), "mixed")
    desired = EngineOrder(-1, ("m",), "mixed")
    assert order_needed(current, desired, 5) is None
    other = EngineOrder(1, ("n",), "mixed")
    assert order_needed(other, desired, 5) == EngineOrder(5, ("m",), "mixed")
