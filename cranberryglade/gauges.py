"""Sends the state of an instance to statsd as gauges, periodically."""

import asyncio

from cranberryglade import executors
from cranberryglade import facts
from cranberryglade import metrics
from cranberryglade import subscriptions
from cranberryglade.answer_grammar import reporting

PERIOD_SECONDS = 5.0


class Gauges:
    """Sends gauges of the configuration, requests, drops and target load."""

    __slots__ = ("_executor", "_facts", "_metrics", "_subscription")

    def __init__(
        self,
        sink: metrics.Metrics,
        executor: executors.Executor,
        subscription: subscriptions.Subscription,
        fact_log: facts.FactLog,
    ):
        self._metrics = sink
        self._executor = executor
        self._subscription = subscription
        self._facts = fact_log

    async def run(self) -> None:
        """Sends all gauges every PERIOD_SECONDS until cancelled."""
        while True:
            self.report()
            await asyncio.sleep(PERIOD_SECONDS)

    def report(self) -> None:
        """Sends all gauges once."""
        core = self._executor.scheduler
        self._metrics.gauge("version", self._subscription.version)
        self._metrics.gauge("unfinished", core.unfinished)
        self._metrics.gauge("dropped.answers", self._executor.exchanges.dropped)
        self._metrics.gauge("dropped.requests", core.dropped)
        self._metrics.gauge("dropped.facts", self._facts.dropped)
        report_malformed_answers(self._metrics)
        for digest in core.digests():
            self._metrics.gauge(f"waiting.{digest.target}", digest.waiting)
            self._metrics.gauge(
                f"free_slots.{digest.target}", digest.free_slots
            )


def report_malformed_answers(sink: metrics.Metrics) -> None:
    """Sends how many malformed answers this process has received, by kind."""
    for kind, count in reporting.count_by_kind().items():
        sink.gauge(f"malformed_answers.{kind.replace(' ', '_')}", count)
