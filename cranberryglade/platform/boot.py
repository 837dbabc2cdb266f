"""Reads the settings file that the platform writes for a process."""

import os
import tomllib

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade.gateway import settings

PATH_VARIABLE = "CRANBERRYGLADE_BOOT"


class Listen(msgspec.Struct):
    """Addresses to listen on.

    Attributes:
        front: for callers.
        ready: for the platform's question whether to send connections here.
    """

    front: str
    ready: str


class Memory(msgspec.Struct):
    """What the machine has.

    Attributes:
        memory_mb: bound on the memory of the process, in MB.
        max_fds: bound on its file descriptors.
    """

    memory_mb: float = 300.0
    max_fds: int = 4096


class Bounds(msgspec.Struct):
    """Bounds that the rules set.

    Attributes:
        revoke_ms: time until a key that is taken away must be refused.
        enforce_revocation: whether that holds.
        grace_s: time between SIGTERM and SIGKILL.
        retry_budget_ratio: repeats allowed for each request of a caller.
        retry_budget_slack: repeats allowed beyond that, of all instances.
        budget_window_s: the window in which they are counted.
        quota_window_s: the window in which quotas are counted.
        quota_overage: excess over a quota that is tolerated, as a part.
        quota_slack: excess that is tolerated beyond that.
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


class StoreAddress(msgspec.Struct):
    """Where the store is."""

    address: str


class Boot(msgspec.Struct):
    """The settings file; fields that are not named here are ignored.

    Attributes:
        node: name of the machine; the instance takes it as its own.
        ip: address of the machine.
        zone: its failure domain.
        internal_port_range: first and last port for traffic between instances.
    """

    node: str
    ip: str
    zone: str
    internal_port_range: tuple[int, int]
    listen: Listen
    platform: StoreAddress
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    limits: Memory = msgspec.field(default_factory=Memory)


def read(path: str | None = None) -> Result[settings.Settings, str]:
    """Reads the settings file into the gateway's settings.

    Args:
        path: the file; by default the one that the environment names.
    """
    path = path or os.environ.get(PATH_VARIABLE, "")
    try:
        with open(path, "rb") as file:
            boot = msgspec.convert(tomllib.load(file), Boot)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Failure(f"{path}: {error}")
    except msgspec.ValidationError as error:
        return Failure(f"{path}: {error}")
    return Success(_settings(boot))


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
    )
