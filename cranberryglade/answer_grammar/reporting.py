"""Logs and counts malformed answers."""

import prometheus_client

from cranberryglade import log
from cranberryglade.answer_grammar import faults

MALFORMED_ANSWERS = prometheus_client.Counter(
    "cranberryglade_malformed_answers",
    "Answers that the grammar of HTTP does not allow, by what is wrong.",
    ["kind"],
    registry=None,
)
"""Counter of the process; each of its registries may show it."""

logger = log.get_logger(__name__)


def report(fault: faults.Fault, peer: object) -> None:
    """Logs and counts a malformed answer.

    Args:
        fault: what is wrong with it.
        peer: address of the process that sent it; None if it is not known.
    """
    MALFORMED_ANSWERS.labels(fault.kind.value).inc()
    logger.warning(
        "answer.malformed",
        peer=peer,
        kind=fault.kind.value,
        detail=fault.detail,
    )


def count_by_kind() -> dict[str, int]:
    """Returns how many malformed answers this process has received, by kind."""
    (family,) = MALFORMED_ANSWERS.collect()
    return {
        sample.labels["kind"]: int(sample.value)
        for sample in family.samples
        if sample.name.endswith("_total")
    }
