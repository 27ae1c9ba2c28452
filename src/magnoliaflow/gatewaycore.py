"""The decision core of a gateway with every system registered."""

from magnoliaflow import answers
from magnoliaflow import attempts
from magnoliaflow import branches
from magnoliaflow import claimwork
from magnoliaflow import custody
from magnoliaflow import dispatching
from magnoliaflow import draining
from magnoliaflow import location
from magnoliaflow import logsession
from magnoliaflow import membership
from magnoliaflow import profilework
from magnoliaflow.profilework import SNAPSHOT_CHECK_S
from magnoliaflow import ranges
from magnoliaflow import standby
from magnoliaflow.state import GatewayState
from magnoliaflow import submission
from magnoliaflow import succession
from magnoliaflow.succession import SWEEP_S
from magnoliaflow.systems import Core

MODULES = (
    answers,
    attempts,
    branches,
    claimwork,
    custody,
    dispatching,
    draining,
    location,
    logsession,
    membership,
    profilework,
    ranges,
    standby,
    submission,
    succession,
)


def open_core(state: GatewayState) -> Core:
    """Return the core over a state, ready to serve."""
    state.life.ready()
    state.set_timer(SWEEP_S, "sweep claims", "")
    state.set_timer(SNAPSHOT_CHECK_S, "snapshot", "")
    return Core(state)
