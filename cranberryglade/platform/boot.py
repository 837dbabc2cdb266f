"""Reads the settings file that the platform writes for a process."""

import os

import msgspec
from returns.result import Failure
from returns.result import Result

from cranberryglade import decoding
from cranberryglade.gateway import settings
from cranberryglade.gateway_settings import reading

PATH_VARIABLE = "CRANBERRYGLADE_BOOT"
BYTES_PER_MB = 1_000_000


class Listen(msgspec.Struct):
    """Addresses to listen on.

    Attributes:
        front: host and port for callers.
        ready: host and port for the platform's readiness check.
    """

    front: str
    ready: str


class ResourceLimits(msgspec.Struct):
    """Resource limits of the process.

    Attributes:
        memory_mb: limit on its memory, in MB.
        max_fds: limit on the number of its file descriptors.
        cpu_share: share of a core that it may use.
        cpu_cores: speed of that core, relative to the usual one.
        link_mbps: bandwidth of the machine's link, in Mbit/s.
    """

    memory_mb: float = 300.0
    max_fds: int = 4096
    cpu_share: float = 1.0
    cpu_cores: float = 1.0
    link_mbps: float = 1000.0


class Bounds(msgspec.Struct):
    """Bounds on the behaviour of the gateway that the platform prescribes.

    Attributes:
        revoke_ms: milliseconds after which a revoked key must be refused.
        enforce_revocation: whether `revoke_ms` applies.
        grace_s: seconds between SIGTERM and SIGKILL.
        retry_budget_ratio: retries allowed for each request of a caller.
        retry_budget_slack: retries allowed beyond that, by all instances
            together.
        budget_window_s: seconds of the window in which retries are counted.
        quota_window_s: seconds of the window in which quotas are counted.
        quota_overage: tolerated overrun, as a fraction of the quota.
        quota_slack: tolerated overrun beyond that, in the quota's unit.
        exposure_share: largest fraction of a service's requests that a new
            software version may get before it is known to be good.
        exposure_slack: requests that it may get in addition.
        rollback_ms: milliseconds after which a version that is known to be bad
            gets no more requests.
    """

    revoke_ms: float = 5000.0
    enforce_revocation: bool = False
    grace_s: float = 8.0
    retry_budget_ratio: float = 0.2
    retry_budget_slack: float = 0.0
    budget_window_s: float = 10.0
    quota_window_s: float = 8.0
    quota_overage: float = 0.0
    quota_slack: float = 0.0
    exposure_share: float = 0.1
    exposure_slack: float = 0.0
    rollback_ms: float = 5000.0


class StoreAddress(msgspec.Struct):
    """Host and port of the store."""

    address: str


class Boot(msgspec.Struct):
    """The settings file; fields that are not declared here are ignored.

    Attributes:
        node: name of the machine, used as the name of the instance.
        ip: address of the machine.
        zone: its failure domain.
        internal_port_range: first and last port for traffic between instances.
        listen: addresses to listen on.
        platform: address of the store.
        bounds: bounds that the platform prescribes.
        limits: resource limits of the process.
    """

    node: str
    ip: str
    zone: str
    internal_port_range: tuple[int, int]
    listen: Listen
    platform: StoreAddress
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    limits: ResourceLimits = msgspec.field(default_factory=ResourceLimits)


def read(path: str | None = None) -> Result[settings.Settings, str]:
    """Reads the settings file, and the operators' options, into settings.

    Args:
        path: the file; by default the one that the environment variable
            CRANBERRYGLADE_BOOT names.

    Returns:
        The settings, or the path and the reason why it cannot be read.
    """
    path = path or os.environ.get(PATH_VARIABLE, "")
    try:
        with open(path, "rb") as file:
            data = file.read()
    except (OSError, ValueError) as error:
        return Failure(f"{path}: {error}")
    boot = decoding.from_toml(data, Boot)
    checked = boot.map(_settings).bind(settings.check)
    named = checked.alt(lambda problem: f"{path}: {problem}")
    return named.bind(reading.add_options)


def _settings(boot: Boot) -> settings.Settings:
    bounds = boot.bounds
    revoke = bounds.revoke_ms / 1000 if bounds.enforce_revocation else None
    return settings.Settings(
        instance=boot.node,
        failure_domain=boot.zone,
        host=boot.ip,
        front_address=boot.listen.front,
        ready_address=boot.listen.ready,
        peer_port=boot.internal_port_range[0],
        store_address=boot.platform.address,
        revoke_seconds=revoke,
        grace_seconds=bounds.grace_s,
        retry_ratio=bounds.retry_budget_ratio,
        retry_slack=bounds.retry_budget_slack,
        retry_window_seconds=bounds.budget_window_s,
        quota_window_seconds=bounds.quota_window_s,
        quota_ratio=bounds.quota_overage,
        quota_slack=bounds.quota_slack,
        processor_cores=boot.limits.cpu_share * boot.limits.cpu_cores,
        link_mbps=boot.limits.link_mbps,
        memory_bytes=round(boot.limits.memory_mb * BYTES_PER_MB),
        max_descriptors=boot.limits.max_fds,
        exposure_share=bounds.exposure_share,
        exposure_slack=bounds.exposure_slack,
        rollback_seconds=bounds.rollback_ms / 1000,
    )
