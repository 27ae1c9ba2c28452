"""The decision core of a gateway.

Importing the modules registers their systems.
"""

from magnoliaflow.core.state import GatewayState
from magnoliaflow.core.systems import Core
from magnoliaflow.policy import ranges
from magnoliaflow.serving import answers
from magnoliaflow.serving import attempts
from magnoliaflow.serving import claimdispatch
from magnoliaflow.serving import claimprocessing
from magnoliaflow.serving import claimtakeover
from magnoliaflow.serving.claimtakeover import SWEEP_INTERVAL_S
from magnoliaflow.serving import conflicts
from magnoliaflow.serving import draining
from magnoliaflow.serving import location
from magnoliaflow.serving import logrestore
from magnoliaflow.serving import logstreams
from magnoliaflow.serving import membership
from magnoliaflow.serving import profilesync
from magnoliaflow.serving.profilesync import SNAPSHOT_CHECK_INTERVAL_S
from magnoliaflow.serving import replication
from magnoliaflow.serving import standby
from magnoliaflow.serving import submission

SYSTEM_MODULES = (
    answers,
    attempts,
    conflicts,
    claimprocessing,
    replication,
    claimdispatch,
    draining,
    location,
    logstreams,
    logrestore,
    membership,
    profilesync,
    ranges,
    standby,
    submission,
    claimtakeover,
)


def open_core(state: GatewayState) -> Core:
    """Return a core for a state, ready to serve."""
    state.lifecycle.ready()
    state.set_timer(SWEEP_INTERVAL_S, "sweep claims", "")
    state.set_timer(SNAPSHOT_CHECK_INTERVAL_S, "snapshot", "")
    return Core(state)
