"""Reader of the node file, the platform's settings of one process."""

from collections.abc import Callable
from math import isfinite
from math import nan
from pathlib import Path

from magnoliaflow.cluster.hostsettings import HostSettings
from magnoliaflow.common.endpoints import is_endpoint
from magnoliaflow.common.errors import SettingsError
from magnoliaflow.policy.callermemory import CALLER_DESCRIPTOR_SHARE
from magnoliaflow.policy.callermemory import CALLER_MEMORY_SHARE

PATH_VARIABLE = "MAGNOLIAFLOW_NODE_FILE"
MS = 1000.0


def read_host_settings(path: Path) -> HostSettings:
    """Return the settings in a file.

    Raises SettingsError, which names every fault.
    """
    try:
        return decode_host_settings(path.read_text(encoding="utf-8"))
    except OSError as exc:
        raise SettingsError(f"{path}: {exc.strerror}") from exc
    except UnicodeDecodeError as exc:
        raise SettingsError(f"{path}: {exc}; write the file as UTF-8") from exc
    except SettingsError as exc:
        raise SettingsError(f"{path}: {exc}") from exc


def decode_host_settings(text: str) -> HostSettings:
    """Return the settings in the text of a node file."""
    pairs = [line.partition("=") for line in text.splitlines() if "=" in line]
    values = {key.strip(): value.strip() for key, _, value in pairs}
    faults: list[str] = []

    def get(
        key: str, convert: Callable[[str], float], default: float
    ) -> float:
        value = values.get(key, "")
        if not value:
            return default
        try:
            number = convert(value)
        except ValueError:
            number = nan
        if not isfinite(number):
            faults.append(f"{key}: {value!r} is not a number; correct it")
            return default
        return number

    def required(key: str) -> str:
        if not values.get(key):
            faults.append(f"{key}: missing; add the line {key}=...")
        return values.get(key, "")

    def checked(key: str, value: str) -> str:
        if value and not is_endpoint(value):
            faults.append(f"{key}: {value!r} is not IP:PORT; correct it")
        return value

    def endpoint(key: str) -> str:
        return checked(key, values.get(key, ""))

    def share(key: str, default: float) -> float:
        value: float = get(key, float, default)
        if not 0 < value <= 1:
            faults.append(f"{key}: {value:g} is no share; use 0 < share <= 1")
        return value

    zones = {
        key.removeprefix("zones."): region
        for key, region in values.items()
        if key.startswith("zones.")
    }
    # The platform's API calls this "dutyPerS"; it is a list of duty names.
    duties = values.get("cloudApi.duties", "").split(",")
    settings = HostSettings(
        host=required("nodeName"),
        zone=required("zone"),
        region=values.get("region", ""),
        zones=zones,
        caller_address=checked(
            "listenAddresses.frontend", required("listenAddresses.frontend")
        ),
        ready_address=endpoint("listenAddresses.ready"),
        peer_address=checked(
            "listenAddresses.controlPlane",
            required("listenAddresses.controlPlane"),
        ),
        directory_address=endpoint("listenAddresses.directoryService"),
        seeds=tuple(
            part
            for part in values.get("seedNodes", "").split(",")
            if is_endpoint(part)
        ),
        first_start=values.get("isBootstrap") == "true",
        store_address=checked(
            "platform.address", required("platform.address")
        ),
        cloud_address=endpoint("cloudApi.address"),
        reports_usage="usage_reporting" in duties,
        orders_engines="autoscaling" in duties,
        drain_s=get("bounds.drainTimeoutMs", float, 2000) / MS,
        grace_s=get("bounds.gracePeriodS", float, 8),
        revocation_s=get("bounds.revocationMs", float, 5000) / MS,
        retry_ratio=get("bounds.retryBudgetRatio", float, 0.2),
        retry_window_s=get("bounds.budgetWindowS", float, 10),
        # Retries allowed per window beyond the ratio, summed over all hosts.
        retry_extra=get("bounds.retryBudgetExtra", float, 0),
        cap_window_s=get("bounds.quotaWindowS", float, 8),
        cap_overage=get("bounds.quotaOverage", float, 0.1),
        cap_tolerance=get("bounds.quotaTolerance", float, 0),
        lease_s=get("bounds.leaseDurationMs", float, 3000) / MS,
        engine_heartbeat_s=get("heartbeatIntervalMs", float, 1200) / MS,
        usage_window_s=get("bounds.usageWindowS", float, 5),
        usage_delay_s=get("bounds.usageDelayS", float, 10),
        directory_ttl_s=get("bounds.ttl_max_s", float, 5),
        config_s=get("bounds.configPropagationMs", float, 2000) / MS,
        memory_mb=get("limits.memoryMb", float, 0),
        descriptors=get("limits.fileDescriptors", float, 0),
        caller_memory_share=share("callers.memoryShare", CALLER_MEMORY_SHARE),
        caller_descriptor_share=share(
            "callers.descriptorShare", CALLER_DESCRIPTOR_SHARE
        ),
        judges_rollouts="rollout" in values.get("contracts", "").split(","),
        exposure_share=get("bounds.exposureShare", float, 0.1),
        exposure_tolerance=get("bounds.exposureTolerance", float, 50),
        rollback_s=get("bounds.rollbackTimeoutMs", float, 5000) / MS,
    )
    if faults:
        raise SettingsError("; ".join(faults))
    return settings
