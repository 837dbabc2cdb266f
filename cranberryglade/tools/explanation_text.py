"""Formats explanations as text, with the meaning of each decision."""

from cranberryglade import explanations
from cranberryglade.scheduling import messages

MEANINGS = {
    "queued": "admitted, because it can still be answered in time",
    "dispatched": "sent to an endpoint",
    "delegated": "handed to a peer that can start it; its home stays the same",
    "forwarded": "sent to its home, the one instance that may dispatch it",
    "relayed": "its key belongs to an earlier request, whose home answers it",
    "claimed again": "the earlier request with its key has not run",
    "retried": "the attempt did not run or is repeatable, so it waits again",
    "resumed": "its stream was interrupted and continues where it ended",
    "answered": "the whole answer has arrived",
    "refused": "it has not run and will not; the caller was informed at once",
    "uncertain": "an endpoint may have run it; it is never sent again",
}
NO_FACTS = "no decisions kept here"


def describe(found: explanations.ExplanationDocument) -> str:
    """Formats an explanation as indented text.

    Each decision has one line, and a second one if its meaning is known.
    """
    head = f"request {found.request_id}: {found.verdict}"
    if found.reason:
        head += f" ({found.reason})"
    lines = [head]
    for hop in found.hops:
        lines += _hop(hop)
    return "\n".join(lines)


def _hop(hop: explanations.Hop) -> list[str]:
    domain = f" in {hop.failure_domain}" if hop.failure_domain else ""
    lines = [f"  {hop.instance}{domain}"]
    if not hop.facts:
        lines.append(f"    {hop.missing or NO_FACTS}")
        return lines
    start = hop.facts[0].at
    for fact in hop.facts:
        lines += _fact(fact, start)
    return lines


def _fact(fact: messages.Fact, start: float) -> list[str]:
    text = f"    +{fact.at - start:.3f} s  {fact.decision}"
    if fact.subject:
        text += f" -> {fact.subject}"
    text += f": {fact.reason}"
    if fact.measures:
        measures = (f"{m.name} {m.value:.3g}" for m in fact.measures)
        text += f" [{', '.join(measures)}]"
    meaning = MEANINGS.get(fact.decision)
    return [text, f"              {meaning}"] if meaning else [text]
