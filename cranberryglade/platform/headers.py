"""Translates the headers that callers, the gateway and endpoints use."""

import re

from cranberryglade.gateway import dialect
from cranberryglade.gateway import messages

ATTEMPT = b"x-attempt-id"
"""Names a submission; each try of a caller has its own."""

DEADLINE = b"x-deadline-ms"
"""A duration, not a time of day."""

EXPECT_ENDPOINT = b"x-expect-instance"
"""The endpoint's id, although the name speaks of an instance."""

COUNTS = b"x-token-counts"
HINT = b"x-length-hint"
KEY = b"authorization"
LAST_EVENT = b"last-event-id"
TENANT = b"x-tenant"
SEAL = b"x-response-seal"
NOT_RUN = b"x-not-executed"

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)

OWN = frozenset(
    (
        DEADLINE,
        EXPECT_ENDPOINT,
        b"x-expect-version",
        KEY,
        LAST_EVENT,
        TENANT,
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
    )
)
"""Set by the gateway alone; what a caller sends in them is dropped."""

BEARER = re.compile(r"bearer +(\S+)", re.IGNORECASE)
LEAST_DEADLINE_MS = 1


class Headers:
    """The dialect of the users' platform."""

    def facts(self, request: messages.Request) -> messages.Facts:
        """Decodes a request; raises UnreadableRequestError."""
        fields: dict[bytes, str] = {}
        for header in request.headers:
            name = header.name.lower()
            if name == b"host" and name in fields:
                raise dialect.UnreadableRequestError("two host fields")
            fields.setdefault(name, header.value.decode("latin-1").strip())
        if b"host" not in fields:
            raise dialect.UnreadableRequestError("no host")
        target = request.target.decode("latin-1")
        prompt, output = _counts(fields.get(COUNTS, ""))
        return messages.Facts(
            id=fields.get(ATTEMPT, ""),
            host=_host(fields[b"host"]),
            path=target.partition("?")[0],
            key=_key(fields.get(KEY, "")),
            patience_seconds=_seconds(fields.get(DEADLINE, "")),
            prompt_tokens=prompt,
            output_tokens=output,
            sized=COUNTS in fields,
            expected_tokens=_number(fields.get(HINT, "")) or output,
            last_event=fields.get(LAST_EVENT, ""),
        )

    def outgoing(
        self, request: messages.Request, order: dialect.Order
    ) -> list[messages.Header]:
        """The headers that an endpoint gets."""
        nominated = _nominated(request.headers)
        kept = [
            header
            for header in request.headers
            if header.name.lower() not in HOP_BY_HOP
            and header.name.lower() not in OWN
            and header.name.lower() not in nominated
        ]
        left = max(LEAST_DEADLINE_MS, int(order.seconds_left * 1000))
        kept.append(messages.Header(b"X-Deadline-Ms", b"%d" % left))
        added = {
            b"X-Expect-Instance": order.endpoint,
            b"X-Tenant": order.organisation,
            b"Last-Event-Id": order.last_event,
        }
        for name, value in added.items():
            if value:
                kept.append(messages.Header(name, value.encode("latin-1")))
        return kept

    def answer(self, head: dialect.AnswerHead) -> dialect.AnswerFacts:
        """Decodes the head of an answer."""
        fields = {h.name.lower(): h.value for h in head.headers}
        encoding = fields.get(b"content-encoding", b"identity")
        return dialect.AnswerFacts(
            id=fields.get(ATTEMPT, b"").decode("latin-1"),
            stamped=SEAL in fields,
            unsent=NOT_RUN in fields,
            encoded=encoding.strip().lower() not in (b"", b"identity"),
            idle_seconds=_idle(fields.get(b"keep-alive", b"")),
        )

    def passed_on(self, head: dialect.AnswerHead) -> list[messages.Header]:
        """The headers of an answer that a caller gets."""
        nominated = _nominated(head.headers)
        return [
            header
            for header in head.headers
            if header.name.lower() not in HOP_BY_HOP
            and header.name.lower() not in nominated
        ]

    def marks(self, facts: messages.Facts) -> list[messages.Header]:
        """Headers of an answer that the gateway gives itself."""
        if not facts.id:
            return []
        return [messages.Header(b"X-Attempt-Id", facts.id.encode("latin-1"))]


def _nominated(headers: list[messages.Header]) -> set[bytes]:
    return {
        name.strip().lower()
        for header in headers
        if header.name.lower() == b"connection"
        for name in header.value.split(b",")
    }


def _host(value: str) -> str:
    return value.rsplit(":", 1)[0].lower() if ":" in value else value.lower()


def _key(value: str) -> str:
    match = BEARER.fullmatch(value)
    return match.group(1) if match else ""


def _number(text: str) -> int:
    return int(text) if text.isascii() and text.isdigit() else 0


def _seconds(text: str) -> float | None:
    try:
        value = float(text) / 1000
    except ValueError:
        return None
    return value if 0 <= value < float("inf") else None


def _counts(text: str) -> tuple[int, int]:
    prompt, _, output = text.partition(",")
    return _number(prompt.strip()), _number(output.strip())


def _idle(value: bytes) -> float | None:
    match = re.search(rb"timeout=(\d+)", value)
    return float(match.group(1)) if match else None
