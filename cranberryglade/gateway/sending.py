"""Sends a request to an endpoint and classifies its answer."""

import asyncio
from collections.abc import Callable
import dataclasses

from cranberryglade import log
from cranberryglade.gateway import dialect
from cranberryglade.gateway import endpoint_limits
from cranberryglade.gateway import endpoint_pauses
from cranberryglade.gateway import endpoint_processes
from cranberryglade.gateway import messages
from cranberryglade.gateway import outbound
from cranberryglade.memory import budget as memory_budget
from cranberryglade.memory import holding

CONNECT_TIMEOUT_SECONDS = 0.3
"""Timeout of a connection attempt."""

LIVENESS_TIMEOUT_SECONDS = 0.1
"""Timeout of the connection attempt that shows whether an endpoint has ended.
"""

ACCEPTED_SECONDS = 0.03
"""Time for which a new connection to an endpoint that has not ended stays open;
a proxy in front of one that has ended closes it sooner."""

SILENCE_SECONDS = 2.0
"""For so long an endpoint that has not ended may accept no connection."""

ONCE_MAX_IDLE_SECONDS = 1.0
"""Longest idle time of a reused connection for a request that may not be
repeated; shorter than the other one because the endpoint may close an idle
connection just as the request is sent."""

MAX_IDLE_SECONDS = 4.0
"""Longest idle time of a reused connection for a repeatable request."""

IDLE_MARGIN_SECONDS = 0.6
"""Subtracted from the idle timeout that an endpoint states."""

MAX_ANSWER_BYTES = 16_777_216
"""Largest body of an answer that is not relayed as a stream."""

MAX_SKIPPED_ANSWERS = 4
"""Answers to other requests that are skipped before the expected one."""

MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503

logger = log.get_logger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """A whole answer of an endpoint that ran the request.

    Attributes:
        outcome: SERVED or FAILED.
        head: its status and headers.
        body: its whole body.
    """

    outcome: messages.Outcome
    head: dialect.AnswerHead
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class StreamStarted:
    """A stream whose head was received.

    Attributes:
        head: its status and headers.
        channel: the connection that the events follow on.
        process_is_certain: whether it certainly leads to the listed process of
            the endpoint.
        names_request: whether the head has the id of the request.
    """

    head: dialect.AnswerHead
    channel: outbound.Channel
    process_is_certain: bool
    names_request: bool


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptFailure:
    """An attempt without an answer that can be relayed.

    Attributes:
        outcome: how it ended.
        reason: why, for logs and the caller's answer.
    """

    outcome: messages.Outcome
    reason: str


Result = Answer | StreamStarted | AttemptFailure


class Sender:
    """Sends requests to endpoints over pooled connections.

    Attributes:
        pools: connections by the address of the endpoint.
    """

    __slots__ = (
        "_dialect",
        "_limits",
        "_memory",
        "_on_leaving",
        "_on_limit",
        "_pauses",
        "_processes",
        "pools",
    )

    def __init__(
        self,
        translator: dialect.Dialect,
        on_leaving: Callable[[messages.Endpoint], None],
        pauses: endpoint_pauses.EndpointPauses,
        limits: endpoint_limits.EndpointLimits,
        on_limit: Callable[[endpoint_limits.EndpointLimit], None],
        processes: endpoint_processes.EndpointProcesses,
        detour: outbound.Detour | None = None,
        memory: memory_budget.MemoryBudget | None = None,
    ):
        """Creates a sender without connections.

        Args:
            translator: translates headers.
            on_leaving: called with each endpoint that states in an answer that
                it is about to stop.
            pauses: records the pauses that endpoints ask for.
            limits: records the limits that endpoints name.
            on_limit: called with each limit that changes.
            processes: records the connections to the endpoints.
            detour: leads to endpoints that cannot be reached directly.
            memory: what bodies are taken from; None for no limit.
        """
        self._memory = memory or memory_budget.unlimited()
        self._dialect = translator
        self._pauses = pauses
        self._limits = limits
        self._on_limit = on_limit
        self._on_leaving = on_leaving
        self._processes = processes
        self.pools = outbound.Pools(detour)

    async def send(
        self,
        request: messages.Request,
        endpoint: messages.Endpoint,
        added: dialect.AddedHeaders,
        facts: messages.RequestMetadata,
        repeatable: bool,
        streams: bool,
        on_sent: Callable[[], None],
    ) -> Result:
        """Sends a request and waits for its answer.

        If it is cancelled, the connection is closed.

        Args:
            request: the caller's request.
            endpoint: the endpoint to send it to.
            added: values of the headers that the gateway adds.
            facts: the decoded headers of the request.
            repeatable: whether it may be sent again if the answer is lost.
            streams: whether a successful answer is a stream of events.
            on_sent: called when the request leaves, just after its first bytes
                were written.

        Returns:
            The whole answer, a stream whose head was received, or why there
            is neither.
        """
        # Idle connections may be dropped for a new one.
        was_certain = self._processes.is_certain(endpoint)
        try:
            channel = await self._take_channel(endpoint, repeatable)
        except (OSError, TimeoutError) as error:
            reason = f"connect {type(error).__name__}"
            return AttemptFailure(messages.Outcome.UNREACHABLE, reason)
        now = asyncio.get_running_loop().time()
        self._processes.observe(endpoint, channel, now, was_certain)
        try:
            channel.send(
                encode_head(
                    request, self._dialect.request_headers(request, added)
                ),
                request.body,
                request.method == messages.HEAD,
            )
            on_sent()
            sent = self._memory.open(holding.Kind.SENT, now)
            try:
                self._memory.resize(sent, channel.unsent_bytes, now)
                return await self._read_answer(
                    channel, endpoint, facts, streams
                )
            finally:
                self._memory.release(sent)
        except BaseException:
            channel.abort()
            raise

    def put_back(
        self, endpoint: messages.Endpoint, channel: outbound.Channel
    ) -> None:
        """Returns a connection to its pool after a whole answer."""
        self.pools.for_address(endpoint.address).put_back(channel)

    def distrust(self, endpoint: messages.Endpoint) -> None:
        """Closes the idle connections to a silent endpoint; they may hang."""
        self.pools.for_address(endpoint.address).close_direct()

    async def has_ended(self, endpoint: messages.Endpoint) -> bool:
        """Returns whether an endpoint's process has certainly ended.

        Then nothing listens at its address, or what does closes the connection
        at once.
        """
        seconds = LIVENESS_TIMEOUT_SECONDS
        return await self._find_ended(endpoint, seconds) is True

    async def still_runs(
        self, endpoint: messages.Endpoint, patience_seconds: float
    ) -> bool:
        """Returns whether an endpoint's process has certainly not ended.

        Args:
            endpoint: the endpoint.
            patience_seconds: for so long, and SILENCE_SECONDS at most, it is
                asked again if it neither accepts nor refuses a connection.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + min(patience_seconds, SILENCE_SECONDS)
        while True:
            ended = await self._find_ended(endpoint, CONNECT_TIMEOUT_SECONDS)
            if ended is not None or loop.time() >= until:
                return ended is False
            await asyncio.sleep(ACCEPTED_SECONDS)

    async def _find_ended(
        self, endpoint: messages.Endpoint, timeout_seconds: float
    ) -> bool | None:
        """Returns whether an endpoint's process has ended; None if unclear."""
        pool = self.pools.for_address(endpoint.address)
        try:
            channel = await pool.connect(timeout_seconds)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError) as error:
            logger.info(
                "endpoint.unclear",
                endpoint=endpoint.id,
                reason=type(error).__name__,
            )
            return None
        try:
            ended = await channel.closes_within(ACCEPTED_SECONDS)
            if channel.is_spoiled:
                # Whoever sends bytes unasked is not known to be the endpoint.
                logger.info(
                    "endpoint.unclear", endpoint=endpoint.id, reason="spoiled"
                )
                return None
            return ended
        finally:
            channel.abort()

    async def _take_channel(
        self, endpoint: messages.Endpoint, repeatable: bool
    ) -> outbound.Channel:
        pool = self.pools.for_address(endpoint.address)
        idle_limit = MAX_IDLE_SECONDS if repeatable else ONCE_MAX_IDLE_SECONDS
        while (channel := pool.take_idle(idle_limit)) is not None:
            # Lets the event loop process a close by the endpoint first.
            try:
                await asyncio.sleep(0)
            except asyncio.CancelledError:
                channel.abort()
                raise
            if channel.usable:
                return channel
        return await pool.connect(CONNECT_TIMEOUT_SECONDS)

    def _observe(
        self,
        endpoint: messages.Endpoint,
        head: dialect.AnswerHead,
        answer_facts: dialect.AnswerFacts,
        sent_at: float | None,
    ) -> None:
        """Reports what a whole answer, or a stream's head, tells.

        Args:
            endpoint: the endpoint.
            head: the head of the answer.
            answer_facts: its decoded headers.
            sent_at: when its request was sent; None if that is unknown.
        """
        # Another endpoint has the address and speaks of itself.
        if head.status == MISDIRECTED_STATUS:
            return
        if answer_facts.leaving:
            self._on_leaving(endpoint)
        now = asyncio.get_running_loop().time()
        limit = self._limits.observe(
            endpoint, answer_facts.limits, sent_at, now
        )
        if limit is not None:
            self._on_limit(limit)
        pause = answer_facts.retry_after_seconds
        if head.status == UNAVAILABLE_STATUS and pause is not None:
            self._pauses.record(endpoint, pause, now)

    async def _read_answer(
        self,
        channel: outbound.Channel,
        endpoint: messages.Endpoint,
        facts: messages.RequestMetadata,
        streams: bool,
    ) -> Result:
        skipped = 0
        while True:
            match await channel.next_event():
                case dialect.AnswerHead() as head:
                    answer_facts = self._dialect.decode_answer(head)
                    if answer_facts.id and answer_facts.id != facts.id:
                        skipped += 1
                        if await self._skip_answer(channel):
                            self._observe(endpoint, head, answer_facts, None)
                        if skipped > MAX_SKIPPED_ANSWERS:
                            channel.abort()
                        continue
                    if not answer_facts.id and channel.request_count > 1:
                        # Without an id, it may answer an earlier request.
                        channel.abort()
                        return AttemptFailure(messages.Outcome.LOST, "no id")
                    return await self._classify(
                        channel, endpoint, head, answer_facts, facts, streams
                    )
                case outbound.AnswerLost(reason):
                    return AttemptFailure(messages.Outcome.LOST, reason)
                case _:
                    pass

    async def _skip_answer(self, channel: outbound.Channel) -> bool:
        """Reads a late answer to an earlier request; returns if it is whole."""
        left = MAX_ANSWER_BYTES
        while left > 0:
            match await channel.next_event():
                case outbound.Data(data):
                    left -= len(data)
                case outbound.End():
                    return True
                case outbound.AnswerLost():
                    return False
        channel.abort()
        return False

    async def _classify(
        self,
        channel: outbound.Channel,
        endpoint: messages.Endpoint,
        head: dialect.AnswerHead,
        answer_facts: dialect.AnswerFacts,
        facts: messages.RequestMetadata,
        streams: bool,
    ) -> Result:
        channel.max_idle_seconds = (
            None
            if answer_facts.idle_seconds is None
            else max(0.0, answer_facts.idle_seconds - IDLE_MARGIN_SECONDS)
        )
        own = answer_facts.id == facts.id
        sent_at = channel.sent_at if own else None
        success = 200 <= head.status < 300
        if (
            streams
            and success
            and answer_facts.stamped
            and not answer_facts.encoded
        ):
            # What it says cannot wait for the end of a stream.
            self._observe(endpoint, head, answer_facts, sent_at)
            now = asyncio.get_running_loop().time()
            is_certain = self._processes.observe(endpoint, channel, now)
            names_request = bool(facts.id) and answer_facts.id == facts.id
            return StreamStarted(head, channel, is_certain, names_request)
        body = await channel.read_body(MAX_ANSWER_BYTES, self._memory)
        if isinstance(body, outbound.AnswerLost):
            channel.abort()
            return AttemptFailure(
                messages.Outcome.LOST, f"answer {body.reason}"
            )
        self._observe(endpoint, head, answer_facts, sent_at)
        refused = answer_facts.not_run or head.status == MISDIRECTED_STATUS
        if refused and not (facts.id and answer_facts.id == facts.id):
            # It may be the refusal of another request.
            channel.abort()
            return AttemptFailure(
                messages.Outcome.LOST, f"refusal without id, {head.status}"
            )
        self.put_back(endpoint, channel)
        if head.status == MISDIRECTED_STATUS:
            return AttemptFailure(messages.Outcome.MISDIRECTED, "421")
        if answer_facts.not_run:
            outcome = messages.Outcome.REFUSED
            if answer_facts.brittle and head.status == UNAVAILABLE_STATUS:
                outcome = messages.Outcome.OVERLOADED
            return AttemptFailure(outcome, f"{head.status}")
        if (
            not answer_facts.stamped
            or answer_facts.encoded
            or is_rejection_status(head.status)
        ):
            return AttemptFailure(
                messages.Outcome.LOST, f"no stamp, {head.status}"
            )
        served = messages.Outcome.SERVED
        outcome = served if success else messages.Outcome.FAILED
        return Answer(outcome, head, body)


def encode_head(
    request: messages.Request, headers: list[messages.Header]
) -> bytes:
    """Returns the encoded head of a request to an endpoint.

    Args:
        request: the caller's request.
        headers: the headers to send, without Content-Length.
    """
    lines = [b"%s %s HTTP/1.1\r\n" % (request.method, request.target)]
    lines += [b"%s: %s\r\n" % (h.name, h.value) for h in headers]
    if request.body or request.chunked or _has_content_length(request):
        lines.append(b"Content-Length: %d\r\n" % len(request.body))
    lines.append(b"\r\n")
    return b"".join(lines)


def _has_content_length(request: messages.Request) -> bool:
    return any(h.name.lower() == b"content-length" for h in request.headers)


def is_rejection_status(status: int) -> bool:
    """Returns whether a status normally means that a request was not run."""
    return status in (408, 421, 429, 503)
