"""The decision core of a gateway.

Importing the modules registers their systems.
"""

from magnoliaflow.core.state import GatewayState
from magnoliaflow.core.systems import Core
from magnoliaflow.policy import ranges
from magnoliaflow.serving import answers
from magnoliaflow.serving import attempts
from magnoliaflow.serving import branches
from magnoliaflow.serving import claimwork
from magnoliaflow.serving import custody
from magnoliaflow.serving import dispatching
from magnoliaflow.serving import draining
from magnoliaflow.serving import location
from magnoliaflow.serving import logsession
from magnoliaflow.serving import membership
from magnoliaflow.serving import profilework
from magnoliaflow.serving.profilework import SNAPSHOT_CHECK_S
from magnoliaflow.serving import standby
from magnoliaflow.serving import submission
from magnoliaflow.serving import succession
from magnoliaflow.serving.succession import SWEEP_S

SYSTEM_MODULES = (
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
    """Return a core for a state, ready to serve."""
    state.life.ready()
    state.set_timer(SWEEP_S, "sweep claims", "")
    state.set_timer(SNAPSHOT_CHECK_S, "snapshot", "")
    return Core(state)
