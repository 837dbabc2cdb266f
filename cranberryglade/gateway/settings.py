"""What one gateway is told at its start."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one instance; addresses are "host:port".

    Attributes:
        instance: its name.
        failure_domain: where it runs.
        host: its own address.
        front_address: where callers reach it.
        ready_address: where the balancer asks whether it takes connections.
        peer_port: port for datagrams and calls between instances.
        store_address: the platform's store.
        revoke_seconds: a key taken away must be refused after this; None if
            there is no such bound.
        grace_seconds: time to finish after SIGTERM.
        retry_ratio: repeats allowed for each request of a caller.
        retry_slack: repeats allowed beyond that, of all instances together.
        retry_window_seconds: window in which repeats are counted.
        quota_window_seconds: window in which quotas are counted.
        quota_ratio: excess over a quota that is tolerated, as a part of it.
        quota_slack: excess that is tolerated beyond that.
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
