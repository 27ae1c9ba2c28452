"""Settings of one entry process."""

from dataclasses import dataclass

from magnoliaflow.policy.callermemory import CALLER_DESCRIPTOR_SHARE
from magnoliaflow.policy.callermemory import CALLER_MEMORY_SHARE


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Names, addresses (``IP:PORT``) and bounds, with times in seconds.

    ``first_start`` tells whether the whole deployment starts for the first
    time.  ``memory_mb`` and ``descriptors`` are 0 if they are not stated; the
    shares of them are what is for callers.  ``judges_rollouts``: this
    deployment moves traffic to a new version when it is ordered;
    ``exposure_share``, ``exposure_tolerance`` (requests) and ``rollback_s``
    bound what a bad version gets.  A configuration is in force ``config_s``
    after it was confirmed.
    """

    host: str
    zone: str
    region: str
    zones: dict[str, str]
    caller_address: str
    ready_address: str
    peer_address: str
    directory_address: str
    seeds: tuple[str, ...]
    first_start: bool
    store_address: str
    cloud_address: str
    reports_usage: bool
    orders_engines: bool
    drain_s: float
    grace_s: float
    revocation_s: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: float
    cap_window_s: float
    cap_overage: float
    cap_tolerance: float
    lease_s: float
    engine_heartbeat_s: float
    usage_window_s: float
    usage_delay_s: float
    directory_ttl_s: float
    config_s: float = 2.0
    memory_mb: float = 0.0
    descriptors: float = 0.0
    caller_memory_share: float = CALLER_MEMORY_SHARE
    caller_descriptor_share: float = CALLER_DESCRIPTOR_SHARE
    judges_rollouts: bool = False
    exposure_share: float = 0.1
    exposure_tolerance: float = 50.0
    rollback_s: float = 5.0
