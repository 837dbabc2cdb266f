"""Counters, gauges and timings, sent to statsd."""

import statsd

PREFIX = "cranberryglade"


class Metrics:
    """Sends metrics to a statsd daemon.

    Without an address, metrics are discarded.
    """

    __slots__ = ("_client",)

    def __init__(self, address: str):
        self._client = None
        if address:
            host, _, port = address.rpartition(":")
            self._client = statsd.StatsClient(host, int(port), prefix=PREFIX)

    def count(self, name: str, amount: int = 1) -> None:
        """Increments a counter."""
        if self._client is not None:
            self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Records a duration, given in seconds and sent in milliseconds."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000)
