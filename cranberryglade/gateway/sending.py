"""One attempt at one endpoint."""

import asyncio
import dataclasses

from cranberryglade.gateway import dialect
from cranberryglade.gateway import messages
from cranberryglade.gateway import outbound

CONNECT_SECONDS = 0.3
KEPT_ONCE_SECONDS = 1.0
KEPT_SECONDS = 4.0
KEPT_MARGIN_SECONDS = 0.6
LONGEST_ANSWER_BYTES = 16_777_216
HEAD = b"HEAD"


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """A whole answer that has not been passed on."""

    outcome: messages.Outcome
    head: dialect.AnswerHead
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Opened:
    """A stream whose head has come; its events follow on the channel."""

    head: dialect.AnswerHead
    channel: outbound.Channel


@dataclasses.dataclass(slots=True, frozen=True)
class Missed:
    """No answer that counts."""

    outcome: messages.Outcome
    reason: str


Result = Answer | Opened | Missed


class Sender:
    """Sends requests to endpoints and reads the heads of their answers."""

    __slots__ = ("_dialect", "pools")

    def __init__(self, words: dialect.Dialect):
        self._dialect = words
        self.pools = outbound.Pools()

    async def send(
        self,
        request: messages.Request,
        endpoint: messages.Endpoint,
        order: dialect.Order,
        facts: messages.Facts,
        repeatable: bool,
        streams: bool,
        silence_seconds: float | None,
    ) -> Result:
        """Sends a request.

        Args:
            request: what the caller sent.
            endpoint: where it goes.
            order: what the gateway adds.
            facts: what its headers say.
            repeatable: whether it may be sent again if the answer is lost.
            streams: whether a success is a series of events.
            silence_seconds: time after which it is given up here, as another
                endpoint may run it; None to wait as long as the caller does.
        """
        try:
            channel = await self._channel(endpoint, repeatable)
        except (OSError, TimeoutError) as error:
            reason = f"connect {type(error).__name__}"
            return Missed(messages.Outcome.UNREACHABLE, reason)
        try:
            channel.send(
                render(request, self._dialect.outgoing(request, order)),
                request.body,
                request.method == HEAD,
            )
            async with asyncio.timeout(silence_seconds):
                return await self._read(channel, endpoint, facts, streams)
        except TimeoutError:
            channel.abort()
            return Missed(messages.Outcome.LOST, "silent")
        except BaseException:
            channel.abort()
            raise

    def keep(
        self, endpoint: messages.Endpoint, channel: outbound.Channel
    ) -> None:
        """Takes a channel back after a stream that ended whole."""
        self.pools.at(endpoint.address).keep(channel)

    async def _channel(
        self, endpoint: messages.Endpoint, repeatable: bool
    ) -> outbound.Channel:
        pool = self.pools.at(endpoint.address)
        longest = KEPT_SECONDS if repeatable else KEPT_ONCE_SECONDS
        while (channel := pool.kept(longest)) is not None:
            # The loop gets a turn to notice that the other side has closed.
            await asyncio.sleep(0)
            if channel.usable:
                return channel
        return await pool.connect(CONNECT_SECONDS)

    async def _read(
        self,
        channel: outbound.Channel,
        endpoint: messages.Endpoint,
        facts: messages.Facts,
        streams: bool,
    ) -> Result:
        while True:
            match await channel.next():
                case dialect.AnswerHead() as head:
                    told = self._dialect.answer(head)
                    if told.id and told.id != facts.id:
                        await self._skip(channel)
                        continue
                    if not told.id and channel.used > 1:
                        # It may belong to an earlier request.
                        channel.abort()
                        return Missed(messages.Outcome.LOST, "no id")
                    return await self._judge(
                        channel, endpoint, head, told, streams
                    )
                case outbound.Lost(reason):
                    return Missed(messages.Outcome.LOST, reason)
                case _:
                    pass

    async def _skip(self, channel: outbound.Channel) -> None:
        # The late answer to an earlier request; ours follows it.
        while not isinstance(
            await channel.next(), outbound.End | outbound.Lost
        ):
            pass

    async def _judge(
        self,
        channel: outbound.Channel,
        endpoint: messages.Endpoint,
        head: dialect.AnswerHead,
        told: dialect.AnswerFacts,
        streams: bool,
    ) -> Result:
        channel.idle_limit = (
            None
            if told.idle_seconds is None
            else max(0.0, told.idle_seconds - KEPT_MARGIN_SECONDS)
        )
        success = 200 <= head.status < 300
        if streams and success and told.stamped and not told.encoded:
            return Opened(head, channel)
        body = await channel.body(LONGEST_ANSWER_BYTES)
        if isinstance(body, outbound.Lost):
            channel.abort()
            return Missed(messages.Outcome.LOST, "answer broke off")
        self.keep(endpoint, channel)
        if head.status == 421:
            return Missed(messages.Outcome.MISDIRECTED, "421")
        if told.unsent:
            return Missed(messages.Outcome.REFUSED, f"{head.status}")
        if not told.stamped or told.encoded or refused_status(head.status):
            return Missed(messages.Outcome.LOST, f"no stamp, {head.status}")
        served = messages.Outcome.SERVED
        outcome = served if success else messages.Outcome.FAILED
        return Answer(outcome, head, body)


def render(request: messages.Request, headers: list[messages.Header]) -> bytes:
    """The head of a request as it goes to an endpoint."""
    lines = [b"%s %s HTTP/1.1\r\n" % (request.method, request.target)]
    lines += [b"%s: %s\r\n" % (h.name, h.value) for h in headers]
    if request.body or request.chunked or _had_length(request):
        lines.append(b"Content-Length: %d\r\n" % len(request.body))
    lines.append(b"\r\n")
    return b"".join(lines)


def _had_length(request: messages.Request) -> bool:
    return any(h.name.lower() == b"content-length" for h in request.headers)


def refused_status(status: int) -> bool:
    """Whether a status promises that a request has not run."""
    return status in (408, 421, 429, 503)
