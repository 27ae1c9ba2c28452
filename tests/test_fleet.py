"""Fleet decisions: price, spread, back-off, starts counted once."""

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
DEAR = Offer("b", "small", 1.5, True)
FIXED = Offer("a", "small", 0.5, False)

OFFER_CASES = [
    ((CHEAP, DEAR, FIXED), (), CHEAP),
    ((FIXED,), (), FIXED),
    ((), (), None),
    ((CHEAP, DEAR), (Supply("a", "small", 3, 0),), DEAR),
    ((CHEAP, DEAR), (Supply("b", "small", 3, 0),), CHEAP),
]


@pytest.mark.parametrize("offers, supplies, chosen", OFFER_CASES)
def test_offer(offers, supplies, chosen):
    assert choose_offer(offers, supplies, spread=True) == chosen


def plan(replacement, *, wanted=2, supplies=(), listed=(), now=0.0):
    """Return the starts that are asked for."""
    return replacement.plan(
        wanted=wanted,
        supplies=supplies,
        offers=(CHEAP, DEAR, FIXED),
        listed=listed,
        now=now,
    )


def test_start_with_a_lost_reply_counts_once():
    replacement = Replacement(fence=7)
    first = plan(replacement)
    assert len(first) == 2
    assert plan(replacement, now=1.0) == ()
    landed = tuple(
        StartedHost(f"h{start.tag}", start.tag, "a", "small")
        for start in first
    )
    supplies = (Supply("a", "small", 0, 1),) * 2
    assert plan(replacement, supplies=supplies, listed=landed, now=2.0) == ()


def test_start_that_never_landed_is_asked_for_again():
    replacement = Replacement(fence=7)
    plan(replacement)
    assert len(plan(replacement, now=30.0)) == 2


def test_refused_start_backs_off_and_goes_elsewhere():
    replacement = Replacement(fence=7)
    (start,) = plan(replacement, wanted=1)
    replacement.record_refusal(start, 0.0)
    (other,) = plan(replacement, wanted=1, now=1.0)
    assert (start.offer, other.offer) == (CHEAP, DEAR)
    replacement.record_refusal(other, 1.0)
    (last,) = plan(replacement, wanted=1, now=1.5)
    assert last.offer == FIXED


def test_back_off_doubles_and_is_forgotten():
    market = OfferBackoffs()
    pause = market.backoff_for(CHEAP)
    pause.record_refusal(0.0)
    first = pause.until
    pause.record_refusal(first)
    assert pause.until - first == 2 * first
    pause.record_start()
    assert market.available_offers([CHEAP], 0.0) == (CHEAP,)


def test_order_states_an_end():
    there = EngineOrder(1, ("m",), "mixed")
    wanted = EngineOrder(-1, ("m",), "mixed")
    assert order_needed(there, wanted, 5) is None
    other = EngineOrder(1, ("n",), "mixed")
    assert order_needed(other, wanted, 5) == EngineOrder(5, ("m",), "mixed")
