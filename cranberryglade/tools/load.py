"""Generates the mixed load of the demonstration and records its results."""

import asyncio
import dataclasses
import random
import time

from returns.result import Success

from cranberryglade import wire
from cranberryglade.tools import answer_reader
from cranberryglade.tools import client
from cranberryglade.tools import sending

MAXIMUM_ATTEMPTS = 6
JOIN_TIMEOUT_SECONDS = 5.0
RETRY_DELAY_SECONDS = 0.2
READINESS_TIMEOUT_SECONDS = 1.0
KEYED_SHARE = 0.5
CONNECTION_LOST = "connection_lost"
INSTANCE_NOT_REACHED = "instance_not_reached"


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """A kind of request in the load.

    Attributes:
        name: the rule's name.
        tier: name of its tier.
        organisation: the organisation that sends it.
        token: that organisation's token.
        rate_per_second: mean rate; the intervals are exponential.
        deadline_seconds: time for the whole answer.
        first_token_seconds: time for the first token of a streamed answer.
        at_most_once: whether it must not run more than once.
        service: whether a plain service answers.
        prompt_tokens: minimum and maximum length of the prompt.
        max_tokens: minimum and maximum of the limit of an answer's length.
    """

    name: str
    tier: str
    organisation: str
    token: str
    rate_per_second: float
    deadline_seconds: float
    first_token_seconds: float
    at_most_once: bool
    service: bool
    prompt_tokens: tuple[int, int]
    max_tokens: tuple[int, int]


@dataclasses.dataclass(slots=True)
class Result:
    """How one request ended.

    Attributes:
        kind: kind of the request.
        reference: unique name, sent in the prompt or payload.
        verdict: "ran", "not_run" or "may_have_run".
        reason: reason of the verdict.
        request_id: id of the request.
        first_token_seconds: time from the start of the first attempt to the
            first token; None if no token arrived.
        seconds: time from the start of the first attempt to the end; 0.0
            until then.
        refusal_reasons: reasons of all refusals, that of the verdict included.
    """

    kind: Kind
    reference: str
    verdict: str = "not_run"
    reason: str = ""
    request_id: str = ""
    first_token_seconds: float | None = None
    seconds: float = 0.0
    refusal_reasons: list[str] = dataclasses.field(default_factory=list)

    @property
    def in_time(self) -> bool:
        """Whether the whole answer arrived by its deadline."""
        return (
            self.verdict == "ran" and self.seconds <= self.kind.deadline_seconds
        )

    @property
    def first_token_in_time(self) -> bool:
        """Whether the answer and its first token arrived in time."""
        first = self.first_token_seconds or 0.0
        return self.in_time and first <= self.kind.first_token_seconds


class Balancer:
    """Chooses among the instances that report ready, in turn."""

    __slots__ = ("_addresses", "_next", "_ready")

    def __init__(self, addresses: list[str]):
        self._addresses = addresses
        self._ready = list(addresses)
        self._next = 0

    @property
    def ready(self) -> list[str]:
        """The instances that are ready."""
        return self._ready

    def choose(self) -> str:
        """Returns the next instance in turn; any instance if none is ready."""
        self._next += 1
        candidates = self._ready or self._addresses
        return candidates[self._next % len(candidates)]

    async def run(self) -> None:
        """Checks the instances until it is cancelled."""
        while True:
            await self.check_readiness()
            await asyncio.sleep(READINESS_TIMEOUT_SECONDS / 4)

    async def check_readiness(self) -> None:
        """Checks once whether each instance is ready."""
        readiness = await asyncio.gather(*map(_is_ready, self._addresses))
        pairs = zip(self._addresses, readiness, strict=True)
        self._ready = [address for address, ready in pairs if ready]


async def _is_ready(address: str) -> bool:
    async with client.Client(address) as http_client:
        result = await http_client.call(
            "GET", "/ready", timeout_seconds=READINESS_TIMEOUT_SECONDS
        )
    return isinstance(result, Success) and result.unwrap().status == 200


class Caller:
    """Sends requests to one deployment and collects their results."""

    __slots__ = (
        "_balancer",
        "_clients",
        "_name",
        "_random",
        "_sequence",
        "results",
    )

    def __init__(self, name: str, balancer: Balancer, seed: int):
        self._name = name
        self._balancer = balancer
        self._clients: dict[tuple[str, str], client.Client] = {}
        self._random = random.Random(seed)
        self._sequence = 0
        self.results: list[Result] = []

    async def close(self) -> None:
        """Closes all connections."""
        for http_client in self._clients.values():
            await http_client.__aexit__()

    async def run(self, kind: Kind, seconds: float) -> None:
        """Sends requests of a kind at random times.

        Args:
            kind: what is sent.
            seconds: how long requests are sent; returns when all have ended.
        """
        deadline = time.monotonic() + seconds
        async with asyncio.TaskGroup() as tasks:
            while True:
                delay = self._random.expovariate(kind.rate_per_second)
                if time.monotonic() + delay > deadline:
                    return
                await asyncio.sleep(delay)
                tasks.create_task(self._send(kind))

    async def _send(self, kind: Kind) -> None:
        self._sequence += 1
        result = Result(kind, f"{self._name}-{kind.name}-{self._sequence}")
        self.results.append(result)
        request = self._request(kind, result.reference)
        key = ""
        if (
            kind.at_most_once
            and kind.service
            and self._random.random() < KEYED_SHARE
        ):
            key = result.reference
        start = time.monotonic()
        deadline = start + kind.deadline_seconds
        for _ in range(MAXIMUM_ATTEMPTS):
            remaining = deadline - time.monotonic()
            request.deadline_ms = max(1, round(remaining * 1000))
            delay = await self._attempt(request, key, result, start)
            if result.verdict != "not_run" or delay is None:
                break
            if time.monotonic() + delay > deadline:
                break
            request.ticket = None
            await asyncio.sleep(delay)
        result.seconds = time.monotonic() - start

    async def _attempt(
        self,
        request: wire.RequestDocument,
        key: str,
        result: Result,
        start: float,
    ) -> float | None:
        """Sends the request once.

        Returns:
            Seconds until the next attempt; None if there is to be none.
        """
        token = result.kind.token
        http_client = self._client(self._balancer.choose(), token)
        if not key and request.ticket is None:
            obtained = await sending.Sender(
                http_client, _ignore_note
            ).obtain_ticket()
            if isinstance(obtained, wire.VerdictDocument):
                return _record_verdict(result, obtained, RETRY_DELAY_SECONDS)
            request.ticket = obtained
            http_client = self._client(self._balancer.choose(), token)
        headers = {wire.KEY_HEADER: key} if key else {}
        reader = answer_reader.AnswerReader(request, None)
        sent_after = time.monotonic() - start
        try:
            async for part in http_client.stream(
                "POST", sending.REQUESTS_PATH, request, headers
            ):
                reader.feed(part)
        except client.ConnectionLostError as error:
            if not error.failed_call.sent:
                result.refusal_reasons.append(INSTANCE_NOT_REACHED)
                return RETRY_DELAY_SECONDS
        if reader.first_token_seconds is not None:
            result.first_token_seconds = sent_after + reader.first_token_seconds
        document = reader.verdict()
        if document is None:
            document = await self._join(token, request, headers)
        return _record_verdict(result, document, None)

    async def _join(self, token, request, headers) -> wire.VerdictDocument:
        """Joins a request whose answer was lost, at the next ready instance.

        The ticket or key stays the same, so that the request does not run a
        second time.
        """
        await asyncio.sleep(RETRY_DELAY_SECONDS)
        http_client = self._client(self._balancer.choose(), token)
        repeated = wire.RequestDocument(
            **{
                name: getattr(request, name)
                for name in request.__struct_fields__
                if name != "stream"
            }
        )
        result = await http_client.call(
            "POST",
            sending.REQUESTS_PATH,
            repeated,
            headers,
            JOIN_TIMEOUT_SECONDS,
        )
        lost = wire.VerdictDocument(
            verdict="may_have_run", reason=CONNECTION_LOST
        )
        if not isinstance(result, Success):
            return lost
        read = wire.decode(result.unwrap().body, wire.VerdictDocument)
        found = read.value_or(lost)
        request_id = request.ticket or found.request_id
        return (
            found if request_id and sending.settles(found, request_id) else lost
        )

    def _request(self, kind: Kind, reference: str) -> wire.RequestDocument:
        if kind.service:
            return wire.RequestDocument(
                kind=kind.name, payload={"reference": reference}
            )
        return wire.RequestDocument(
            kind=kind.name,
            prompt=reference,
            prefix=kind.name,
            prompt_tokens=self._random.randint(*kind.prompt_tokens),
            max_tokens=self._random.randint(*kind.max_tokens),
            deadline_ms=round(kind.deadline_seconds * 1000),
            stream=True,
        )

    def _client(self, address: str, token: str) -> client.Client:
        found = self._clients.get((address, token))
        if found is None:
            found = client.Client(address, token)
            self._clients[address, token] = found
        return found


def _record_verdict(
    result: Result, document: wire.VerdictDocument, default: float | None
) -> float | None:
    result.verdict = document.verdict
    result.reason = document.reason
    result.request_id = document.request_id or result.request_id
    if document.verdict == "not_run":
        result.refusal_reasons.append(document.reason)
    delay = document.retry_after_ms
    return default if delay is None else max(delay / 1000, 0.05)


def _ignore_note(_: str) -> None:
    pass
