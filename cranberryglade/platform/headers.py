"""Decodes and encodes the headers of callers, the gateway and endpoints."""

from cranberryglade.gateway import dialect
from cranberryglade.gateway import http_fields
from cranberryglade.gateway import messages

ATTEMPT_ID = b"x-attempt-id"
"""Id of a submission; each retry by a caller has its own."""

DEADLINE = b"x-deadline-ms"
"""Remaining time in milliseconds, not a time of day."""

EXPECT_ENDPOINT = b"x-expect-instance"
"""Id of the endpoint, although the name refers to an instance."""

TOKEN_COUNTS = b"x-token-counts"
LENGTH_HINT = b"x-length-hint"

PROMPT_PREFIX = b"x-prompt-prefix"
"""All parts of the prompt, although the name speaks of a prefix."""

AUTHORIZATION = b"authorization"
LAST_EVENT = b"last-event-id"
TENANT = b"x-tenant"

RESUMES = b"resumes"
"""Id of the submission that brought a resumed stream's first event, not of the
last one."""

RESPONSE_SEAL = b"x-response-seal"
NOT_RUN = b"x-not-executed"

SERVER_LEAVING = b"server-leaving"
"""Sent by an endpoint, although the name refers to a server."""

SERVER_LIMIT = b"server-limit"
"""Requests a second that an endpoint takes from all instances together."""

SERVER_BRITTLE = b"server-brittle"
"""Requests that an endpoint can refuse in a second without failing."""

GATEWAY_ONLY = frozenset(
    (
        DEADLINE,
        EXPECT_ENDPOINT,
        b"x-expect-version",
        AUTHORIZATION,
        LAST_EVENT,
        TENANT,
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
    )
)
"""Reserved for the gateway; the values that a caller sends are dropped."""

MAX_PROMPT_PARTS = 64
"""Parts of a prompt beyond these are ignored, and so are further characters of
the id of one part; they must fit into a datagram."""

MAX_PART_ID_CHARACTERS = 64

MIN_DEADLINE_MS = 1


class HeaderDialect:
    """Decodes and encodes headers as the users' platform defines them."""

    def decode_request(
        self, request: messages.Request
    ) -> messages.RequestMetadata:
        """Decodes the headers of a request.

        Raises:
            UnreadableRequestError: the Host header is missing or repeated.
        """
        fields: dict[bytes, str] = {}
        for header in request.headers:
            name = header.name.lower()
            if name == b"host" and name in fields:
                raise dialect.UnreadableRequestError("two host fields")
            fields.setdefault(name, header.value.decode("latin-1").strip())
        if b"host" not in fields:
            raise dialect.UnreadableRequestError("no host")
        # An endpoint may read any of several fields.
        prefixes = [
            header.value.decode("latin-1")
            for header in request.headers
            if header.name.lower() == PROMPT_PREFIX
        ]
        target = request.target.decode("latin-1")
        shared_parts, own_part = _parse_prompt_parts(",".join(prefixes))
        prompt, output = _parse_token_counts(fields.get(TOKEN_COUNTS, ""))
        return messages.RequestMetadata(
            id=fields.get(ATTEMPT_ID, ""),
            host=http_fields.without_port(fields[b"host"]),
            path=target.partition("?")[0],
            key=http_fields.bearer_token(fields.get(AUTHORIZATION, "")),
            caller_timeout_seconds=_parse_deadline(fields.get(DEADLINE, "")),
            prompt_tokens=prompt,
            output_tokens=output,
            has_token_counts=TOKEN_COUNTS in fields,
            expected_tokens=http_fields.parse_token_count(
                fields.get(LENGTH_HINT, "")
            )
            or output,
            last_event_id=fields.get(LAST_EVENT, ""),
            resumed_attempt=fields.get(RESUMES, ""),
            prompt_parts=shared_parts,
            own_prompt_part=own_part,
        )

    def request_headers(
        self, request: messages.Request, added: dialect.AddedHeaders
    ) -> list[messages.Header]:
        """Returns the headers to send to an endpoint.

        Drops hop-by-hop headers, those that the Connection header names, and
        those reserved for the gateway, then adds the gateway's own.
        """
        connection_options = http_fields.connection_options(request.headers)
        kept = [
            header
            for header in request.headers
            if header.name.lower() not in http_fields.HOP_BY_HOP
            and header.name.lower() not in GATEWAY_ONLY
            and header.name.lower() not in connection_options
        ]
        left = max(MIN_DEADLINE_MS, int(added.remaining_seconds * 1000))
        kept.append(messages.Header(b"X-Deadline-Ms", b"%d" % left))
        added = {
            b"X-Expect-Instance": added.endpoint,
            b"X-Tenant": added.organisation,
            b"Last-Event-Id": added.last_event_id,
        }
        for name, value in added.items():
            if value:
                kept.append(
                    messages.Header(name, http_fields.encode_value(value))
                )
        return kept

    def decode_answer(self, head: dialect.AnswerHead) -> dialect.AnswerFacts:
        """Decodes the headers of an endpoint's answer."""
        fields = {h.name.lower(): h.value for h in head.headers}
        encoding = fields.get(b"content-encoding", b"identity")
        ids = {h.value for h in head.headers if h.name.lower() == ATTEMPT_ID}
        return dialect.AnswerFacts(
            id=ids.pop().decode("latin-1") if len(ids) == 1 else "",
            stamped=RESPONSE_SEAL in fields,
            not_run=NOT_RUN in fields,
            encoded=encoding.strip().lower() not in (b"", b"identity"),
            idle_seconds=http_fields.keep_alive_timeout(
                fields.get(b"keep-alive", b"")
            ),
            retry_after_seconds=http_fields.parse_retry_after(
                fields.get(b"retry-after", b"").decode("latin-1")
            ),
            leaving=fields.get(SERVER_LEAVING, b"").strip() == b"1",
            limits=_parse_limits(head.headers),
            brittle=SERVER_BRITTLE in fields,
        )

    def relayed_headers(
        self, head: dialect.AnswerHead
    ) -> list[messages.Header]:
        """Returns an endpoint's headers to relay, without hop-by-hop ones."""
        connection_options = http_fields.connection_options(head.headers)
        return [
            header
            for header in head.headers
            if header.name.lower() not in http_fields.HOP_BY_HOP
            and header.name.lower() not in connection_options
        ]

    def own_answer_headers(
        self, facts: messages.RequestMetadata
    ) -> list[messages.Header]:
        """Returns the headers of an answer that the gateway itself generates.

        They hold the id of the submission, if it has one.
        """
        if not facts.id:
            return []
        return [messages.Header(b"X-Attempt-Id", facts.id.encode("latin-1"))]


def _parse_deadline(text: str) -> float | None:
    try:
        value = float(text) / 1000
    except ValueError:
        return None
    return value if 0 <= value < float("inf") else None


def _parse_token_counts(text: str) -> tuple[int, int]:
    prompt, _, output = text.partition(",")
    return http_fields.parse_token_count(
        prompt.strip()
    ), http_fields.parse_token_count(output.strip())


def _parse_limits(headers: list[messages.Header]) -> tuple[float, ...]:
    """Returns the limits that an answer names; unreadable ones as NaN."""
    named = [h.value for h in headers if h.name.lower() == SERVER_LIMIT]
    return tuple(http_fields.parse_decimal(value) for value in named)


def _parse_prompt_parts(text: str) -> tuple[tuple[str, ...], str]:
    """Returns the ids of the parts that other requests may share, and the last.

    >>> _parse_prompt_parts("5C1E07A2:800, 91bd3f06:410,e4402b7d:250")
    (('5c1e07a2', '91bd3f06'), 'e4402b7d')
    """
    parts = text.lower().split(",")
    ids = [part.partition(":")[0].strip() for part in parts]
    *shared, own = [id_[:MAX_PART_ID_CHARACTERS] for id_ in ids]
    distinct = dict.fromkeys(id_ for id_ in shared if id_)
    return tuple(distinct)[:MAX_PROMPT_PARTS], own
