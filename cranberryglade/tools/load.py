"""The mixed load of the demonstration and how each request of it ended."""

import asyncio
import dataclasses
import random
import time

from returns.result import Success

from cranberryglade import wire
from cranberryglade.tools import client
from cranberryglade.tools import reading
from cranberryglade.tools import sending

ATTEMPTS = 6
ASK_SECONDS = 5.0
RETRY_SECONDS = 0.2
READY_SECONDS = 1.0
KEYED_SHARE = 0.5
LOST_HERE = "connection_lost"
NOT_REACHED = "instance_not_reached"


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """A kind of request in the load.

    Attributes:
        name: the rule's name.
        tier: name of its tier.
        organisation: who sends it.
        token: that organisation's token.
        per_second: mean rate.
        deadline_seconds: for the whole answer.
        first_token_seconds: when a streamed answer must begin.
        once: whether it may run at most once.
        service: whether a plain service answers.
        prompt_tokens: least and greatest length of the prompt.
        max_tokens: least and greatest length of the answer.
    """

    name: str
    tier: str
    organisation: str
    token: str
    per_second: float
    deadline_seconds: float
    first_token_seconds: float
    once: bool
    service: bool
    prompt_tokens: tuple[int, int]
    max_tokens: tuple[int, int]


@dataclasses.dataclass(slots=True)
class Result:
    """How one request ended.

    Attributes:
        kind: what it was.
        reference: unique name that travels in its prompt or payload.
        verdict: "ran", "not_run" or "may_have_run".
        reason: reason of the verdict.
        request_id: id of the request.
        first_token_seconds: until the first token; None if none came.
        seconds: until the verdict.
        refused: reasons of the refusals on the way.
    """

    kind: Kind
    reference: str
    verdict: str = "not_run"
    reason: str = ""
    request_id: str = ""
    first_token_seconds: float | None = None
    seconds: float = 0.0
    refused: list[str] = dataclasses.field(default_factory=list)

    @property
    def in_time(self) -> bool:
        """Whether the whole answer came by its deadline."""
        return (
            self.verdict == "ran" and self.seconds <= self.kind.deadline_seconds
        )

    @property
    def began_in_time(self) -> bool:
        """Whether the answer is in time and its first token was, too."""
        first = self.first_token_seconds or 0.0
        return self.in_time and first <= self.kind.first_token_seconds


class Balancer:
    """Chooses among the instances that say they are ready."""

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
        """The next instance in turn."""
        self._next += 1
        known = self._ready or self._addresses
        return known[self._next % len(known)]

    async def run(self) -> None:
        """Asks the instances for ever."""
        while True:
            await self.check()
            await asyncio.sleep(READY_SECONDS / 4)

    async def check(self) -> None:
        """Asks every instance once."""
        answers = await asyncio.gather(*map(_is_ready, self._addresses))
        pairs = zip(self._addresses, answers, strict=True)
        self._ready = [address for address, ready in pairs if ready]


async def _is_ready(address: str) -> bool:
    async with client.Client(address) as called:
        result = await called.call(
            "GET", "/ready", timeout_seconds=READY_SECONDS
        )
    return isinstance(result, Success) and result.unwrap().status == 200


class Caller:
    """Sends requests of one deployment and collects how they end."""

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
        for called in self._clients.values():
            await called.__aexit__()

    async def run(self, kind: Kind, seconds: float) -> None:
        """Sends requests of a kind at random times for some seconds."""
        until = time.monotonic() + seconds
        async with asyncio.TaskGroup() as sent:
            while True:
                pause = self._random.expovariate(kind.per_second)
                if time.monotonic() + pause > until:
                    return
                await asyncio.sleep(pause)
                sent.create_task(self._send(kind))

    async def _send(self, kind: Kind) -> None:
        self._sequence += 1
        result = Result(kind, f"{self._name}-{kind.name}-{self._sequence}")
        self.results.append(result)
        request = self._request(kind, result.reference)
        key = ""
        if kind.once and kind.service and self._random.random() < KEYED_SHARE:
            key = result.reference
        began = time.monotonic()
        until = began + kind.deadline_seconds
        for _ in range(ATTEMPTS):
            left = until - time.monotonic()
            request.deadline_ms = max(1, round(left * 1000))
            wait = await self._attempt(request, key, result, began)
            if result.verdict != "not_run" or wait is None:
                break
            if time.monotonic() + wait > until:
                break
            request.ticket = None
            await asyncio.sleep(wait)
        result.seconds = time.monotonic() - began

    async def _attempt(
        self,
        request: wire.RequestDocument,
        key: str,
        result: Result,
        began: float,
    ) -> float | None:
        """Sends once; returns in how many seconds to come back, if at all."""
        token = result.kind.token
        called = self._client(self._balancer.choose(), token)
        if not key and request.ticket is None:
            obtained = await sending.Sender(called, _quiet).ticket()
            if isinstance(obtained, wire.VerdictDocument):
                return _take(result, obtained, RETRY_SECONDS)
            request.ticket = obtained
            called = self._client(self._balancer.choose(), token)
        headers = {wire.KEY_HEADER: key} if key else {}
        reader = reading.AnswerReader(request, None)
        sent_after = time.monotonic() - began
        try:
            async for part in called.follow(
                "POST", sending.REQUESTS_PATH, request, headers
            ):
                reader.take(part)
        except client.LostError as error:
            if not error.unanswered.sent:
                result.refused.append(NOT_REACHED)
                return RETRY_SECONDS
        if reader.first_token_seconds is not None:
            result.first_token_seconds = sent_after + reader.first_token_seconds
        document = reader.verdict()
        if document is None:
            document = await self._join(token, request, headers)
        return _take(result, document, None)

    async def _join(self, token, request, headers) -> wire.VerdictDocument:
        """Joins a request whose answer was lost, at another instance.

        The ticket or key is the same, so that this never runs it again.
        """
        await asyncio.sleep(RETRY_SECONDS)
        called = self._client(self._balancer.choose(), token)
        asked = wire.RequestDocument(
            **{
                name: getattr(request, name)
                for name in request.__struct_fields__
                if name != "stream"
            }
        )
        result = await called.call(
            "POST", sending.REQUESTS_PATH, asked, headers, ASK_SECONDS
        )
        lost = wire.VerdictDocument(verdict="may_have_run", reason=LOST_HERE)
        if not isinstance(result, Success):
            return lost
        read = wire.decode(result.unwrap().body, wire.VerdictDocument)
        found = read.value_or(lost)
        known = request.ticket or found.request_id
        return found if known and sending.settles(found, known) else lost

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


def _take(
    result: Result, document: wire.VerdictDocument, default: float | None
) -> float | None:
    result.verdict = document.verdict
    result.reason = document.reason
    result.request_id = document.request_id or result.request_id
    if document.verdict == "not_run":
        result.refused.append(document.reason)
    wait = document.retry_after_ms
    return default if wait is None else max(wait / 1000, 0.05)


def _quiet(_: str) -> None:
    pass
