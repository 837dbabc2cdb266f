"""Settings of a gateway."""

import dataclasses

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import decoding
from cranberryglade.gateway import sockets
from cranberryglade.gateway_settings import features

FIXED = (
    "instance",
    "failure_domain",
    "host",
    "front_address",
    "ready_address",
    "peer_port",
    "store_address",
    "processor_cores",
    "link_mbps",
    "memory_bytes",
    "max_descriptors",
)
"""Settings that stay as they are until the next start."""


@dataclasses.dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one instance; addresses are "host:port".

    Attributes:
        instance: name of the instance.
        failure_domain: failure domain that it runs in.
        host: host of the peer and metrics addresses.
        front_address: address that serves callers.
        ready_address: address of the load balancer's readiness check.
        peer_port: port for datagrams and calls between instances.
        store_address: address of the platform's store.
        revoke_seconds: time after which a revoked key must be refused; None
            for no limit.
        grace_seconds: time from SIGTERM to the end of the process.
        retry_ratio: retries allowed for each request of a caller.
        retry_slack: retries allowed in addition, for all instances together.
        retry_window_seconds: sliding window in which retries are counted.
        quota_window_seconds: sliding window in which usage is counted.
        quota_ratio: tolerated overrun of a quota, as a fraction of it.
        quota_slack: overrun that is tolerated in addition.
        processor_cores: processor time that the instance may use, in cores.
        link_mbps: bandwidth of its machine's link, in Mbit/s.
        memory_bytes: memory that the process may use.
        max_descriptors: file descriptors that the process may use.
        exposure_share: largest fraction of a service's requests that an
            unproven software version may get during a rollout.
        exposure_slack: requests that it may get in addition.
        rollback_seconds: time after which a version that is known to be bad
            gets no more requests.
        options: options of the parts that operators set.
    """

    instance: str
    failure_domain: str
    host: str
    front_address: str
    ready_address: str
    peer_port: int
    store_address: str
    revoke_seconds: float | None
    grace_seconds: float
    retry_ratio: float
    retry_slack: float
    retry_window_seconds: float
    quota_window_seconds: float
    quota_ratio: float
    quota_slack: float
    processor_cores: float = 1.0
    link_mbps: float = 1000.0
    memory_bytes: int = 300_000_000
    max_descriptors: int = 4096
    exposure_share: float = 0.1
    exposure_slack: float = 0.0
    rollback_seconds: float = 5.0
    options: features.Features = dataclasses.field(
        default_factory=features.Features
    )


def check(settings: Settings) -> Result[Settings, str]:
    """Returns settings that can be used, or what is wrong with them."""
    addresses = {
        "host": f"{settings.host}:{settings.peer_port}",
        "front_address": settings.front_address,
        "ready_address": settings.ready_address,
        "store_address": settings.store_address,
    }
    for name, address in addresses.items():
        if not sockets.is_listening_address(address):
            return Failure(f"no usable address: {name}")
    for field in dataclasses.fields(settings):
        value = getattr(settings, field.name)
        if isinstance(value, float) and not 0 <= value <= decoding.MAX_NUMBER:
            return Failure(f"number out of range: {field.name}")
    if not min(settings.retry_window_seconds, settings.quota_window_seconds):
        return Failure("a window without length")
    return Success(settings)
