"""Puts explanations into words for people who are new to the system."""

from cranberryglade import explanations
from cranberryglade.scheduling import messages

MEANINGS = {
    "queued": "it may wait, because it can still be answered in time",
    "dispatched": "sent to an endpoint",
    "delegated": "handed to a peer that can start it; this stays its home",
    "forwarded": "brought to its home, the one instance that may dispatch it",
    "relayed": "its key belongs to an earlier request, whose home answers",
    "claimed again": "the earlier request of its key has not run",
    "retried": "the attempt ended without harm, so it waits again",
    "resumed": "its stream was cut and goes on where it stopped",
    "answered": "the whole answer has arrived",
    "refused": "it has not run and will not; the caller was told at once",
    "uncertain": "an endpoint may have run it; it is never sent again",
}
NO_FACTS = "no decisions kept here"


def describe(found: explanations.ExplanationDocument) -> str:
    """Writes an explanation as indented text, one line for each decision."""
    head = f"request {found.request_id}: {found.verdict}"
    if found.reason:
        head += f" ({found.reason})"
    lines = [head]
    for hop in found.hops:
        lines += _hop(hop)
    return "\n".join(lines)


def _hop(hop: explanations.Hop) -> list[str]:
    place = f" in {hop.failure_domain}" if hop.failure_domain else ""
    lines = [f"  {hop.instance}{place}"]
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
        numbers = (f"{m.name} {m.value:.3g}" for m in fact.measures)
        text += f" [{', '.join(numbers)}]"
    meaning = MEANINGS.get(fact.decision)
    return [text, f"              {meaning}"] if meaning else [text]
