"""Endpoints that do only what a walk tells them to."""

import asyncio

from cranberryglade.checking import steps
from cranberryglade.standins import connections
from cranberryglade.standins import endpoint_standin

LAST_EVENT = 3
"""Number of the last event of each stream."""

PLAIN_BODY = b"a whole body"


def whole_body(is_stream: bool) -> bytes:
    """Returns the body of a whole answer."""
    if not is_stream:
        return PLAIN_BODY
    numbers = range(1, LAST_EVENT + 1)
    return b"".join(endpoint_standin.event(number) for number in numbers)


class Attempt:
    """A request that an endpoint has received.

    Attributes:
        request_id: its id.
        is_stream: whether its answer is a stream.
        started: whether its head has been sent.
        next_event: number of the next event.
        over: whether its answer is out, or its connection is closed.
        refused: whether the endpoint said that it has not run.
        active_at: when the endpoint last sent something of it.
    """

    __slots__ = (
        "_commands",
        "active_at",
        "is_stream",
        "next_event",
        "over",
        "refused",
        "request_id",
        "started",
    )

    def __init__(self, received: endpoint_standin.Received, now: float):
        self.request_id = received.request_id
        self.is_stream = received.target.startswith(("/write/", "/note/"))
        self.started = False
        seen = received.headers.get("last-event-id") or "0"
        self.next_event = int(seen) + 1
        self.over = False
        self.refused = False
        self.active_at = now
        self._commands: asyncio.Queue[steps.Verb] = asyncio.Queue()

    def command(self, verb: steps.Verb) -> None:
        """Tells the endpoint what to do."""
        self._commands.put_nowait(verb)

    async def next_command(self) -> steps.Verb:
        """Returns the next command as soon as there is one."""
        return await self._commands.get()


class HeldEndpoint:
    """An endpoint that holds its requests until it is told what to do.

    Attributes:
        standin: its server.
        attempts: the requests that it received, the oldest first.
        released: whether it answers by itself.
    """

    __slots__ = ("attempts", "released", "standin")

    def __init__(self, name: str):
        self.standin = endpoint_standin.EndpointStandin(name, self._hold)
        self.attempts: list[Attempt] = []
        self.released = False

    @property
    def oldest(self) -> Attempt | None:
        """The oldest request that is not over."""
        held = (each for each in self.attempts if not each.over)
        return next(held, None)

    def release(self) -> None:
        """Answers all requests, and all that come later."""
        self.released = True
        for each in self.attempts:
            each.command(steps.Verb.FINISH)

    async def _hold(self, received, reader, writer) -> None:
        attempt = Attempt(received, asyncio.get_running_loop().time())
        self.attempts.append(attempt)
        self.standin.ran.append(received.request_id)
        if self.released:
            attempt.command(steps.Verb.FINISH)
        reading = asyncio.ensure_future(reader.read(1))
        try:
            while not attempt.over:
                await self._do_next(attempt, received, reading, writer)
        finally:
            attempt.over = True
            reading.cancel()
            await asyncio.gather(reading, return_exceptions=True)

    async def _do_next(self, attempt, received, reading, writer) -> None:
        waiting = asyncio.ensure_future(attempt.next_command())
        await asyncio.wait(
            {waiting, reading}, return_when=asyncio.FIRST_COMPLETED
        )
        if reading.done():
            waiting.cancel()
            attempt.over = True
            return
        self._do(waiting.result(), attempt, received, writer)
        attempt.active_at = asyncio.get_running_loop().time()

    def _do(self, verb, attempt, received, writer) -> None:
        match verb:
            case steps.Verb.START:
                self._start(attempt, received, writer)
            case steps.Verb.EVENT:
                self._start(attempt, received, writer)
                self._send_event(attempt, writer)
            case steps.Verb.FINISH:
                self._finish(attempt, received, writer)
            case steps.Verb.REFUSE if not attempt.started:
                self.standin.ran.remove(received.request_id)
                writer.write(self.standin.refusal(received))
                attempt.refused = True
                attempt.over = True
            case steps.Verb.RESET:
                connections.reset(writer)
                attempt.over = True

    def _start(self, attempt, received, writer) -> None:
        if attempt.started:
            return
        attempt.started = True
        if attempt.is_stream:
            writer.write(self.standin.stream_head(received))
        else:
            whole = self.standin.answer(received, PLAIN_BODY)
            writer.write(whole[: -len(PLAIN_BODY)])

    def _send_event(self, attempt, writer) -> None:
        if not attempt.is_stream or attempt.next_event > LAST_EVENT:
            return
        event = endpoint_standin.event(attempt.next_event)
        writer.write(endpoint_standin.chunk(event))
        attempt.next_event += 1

    def _finish(self, attempt, received, writer) -> None:
        self._start(attempt, received, writer)
        while attempt.is_stream and attempt.next_event <= LAST_EVENT:
            self._send_event(attempt, writer)
        last = endpoint_standin.LAST_CHUNK
        writer.write(last if attempt.is_stream else PLAIN_BODY)
        attempt.over = True
