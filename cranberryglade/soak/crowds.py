"""Crowds of callers that take a gateway's memory and descriptors."""

import asyncio
import contextlib
import itertools
import socket

from cranberryglade.soak import faults
from cranberryglade.soak import load
from cranberryglade.soak import observations
from cranberryglade.standins import callers
from cranberryglade.standins import machine

MAX_BODY_BYTES = 1_000_000
"""Limit of bodies in the configuration."""

MISSING_BYTES = 16
"""Callers stop so many bytes short of their end."""

CHUNK_BYTES = 50_000

RECEIVE_BUFFER_BYTES = 4096
"""A small buffer in the system leaves what a caller does not read with the
gateway."""

READ_BYTES = 1000
READ_PAUSE_SECONDS = 0.1
LARGE_PREFIX = "large-"
"""Begins the ids of requests that endpoints answer with a large body."""

CONNECT_SECONDS = 1.0
PROBE_SECONDS = 3.0
"""Time in which a request is answered: its timeout of 2 s and some slack."""

PROBES = 3
"""An endpoint with a fault may break off the answers of some requests."""


class Crowd:
    """Sends a crowd to one gateway, and an ordinary request afterwards.

    Args:
        gateway: where it is sent to.
        number: number of the gateway.
        history: gets the requests.
        planned: the crowd.
        clock: measures the lag of the event loop.
    """

    _ids = itertools.count()

    def __init__(
        self,
        gateway: machine.Machine,
        number: int,
        history: observations.History,
        planned: faults.Crowd,
        clock: load.LagMonitor,
    ):
        self._gateway = gateway
        self._number = number
        self._history = history
        self._planned = planned
        self._clock = clock

    async def run(self) -> None:
        """Sends the crowd, takes it back, and sends the ordinary request."""
        act = {
            "lengths": self._stop_short,
            "chunks": self._stop_short_in_chunks,
            "readers": self._read_slowly,
        }[self._planned.kind]
        tasks = [
            asyncio.create_task(self._stay(act))
            for _ in range(self._planned.callers)
        ]
        try:
            await asyncio.sleep(self._planned.seconds)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        await self._probe()

    async def _stay(self, act) -> None:
        """Connects and acts until cancelled or disconnected."""
        with contextlib.suppress(OSError, TimeoutError):
            caller = await self._connect()
            try:
                await act(caller)
                await caller.reader.read()
            finally:
                caller.writer.transport.abort()

    async def _connect(self) -> callers.Caller:
        opened = socket.socket()
        try:
            opened.setblocking(False)
            opened.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            address = (self._gateway.host, machine.Machine.FRONT_PORT)
            async with asyncio.timeout(CONNECT_SECONDS):
                loop = asyncio.get_running_loop()
                await loop.sock_connect(opened, address)
            return callers.Caller(*await asyncio.open_connection(sock=opened))
        except BaseException:
            opened.close()
            raise

    async def _stop_short(self, caller: callers.Caller) -> None:
        """Sends a body with a length; the request must never run."""
        id_ = f"short-{next(self._ids)}"
        whole = callers.encode_request(
            f"/pay/{id_}", "POST", bytes(MAX_BODY_BYTES), X_Attempt_Id=id_
        )
        caller.send(whole[:-MISSING_BYTES])
        await caller.writer.drain()

    async def _stop_short_in_chunks(self, caller: callers.Caller) -> None:
        """Sends a body in chunks, without its last one."""
        id_ = f"short-{next(self._ids)}"
        caller.request(
            f"/pay/{id_}", "POST", X_Attempt_Id=id_, Transfer_Encoding="chunked"
        )
        chunk = b"%x\r\n%s\r\n" % (CHUNK_BYTES, bytes(CHUNK_BYTES))
        for _ in range(MAX_BODY_BYTES // CHUNK_BYTES):
            caller.send(chunk)
            await caller.writer.drain()

    async def _read_slowly(self, caller: callers.Caller) -> None:
        """Reads a large answer in small pieces."""
        submission = self._submit(f"{LARGE_PREFIX}{next(self._ids)}")
        # Its caller gives up, so that nothing is expected of the answer.
        submission.abandoned = True
        submission.ended = submission.sent
        caller.request(f"/look/{submission.id}", X_Attempt_Id=submission.id)
        while await caller.reader.read(READ_BYTES):
            await asyncio.sleep(READ_PAUSE_SECONDS)

    async def _probe(self) -> None:
        """Sends an ordinary request until one is answered."""
        probe = observations.Probe(self._number, self._planned.kind, _now())
        self._history.probes.append(probe)
        for _ in range(PROBES):
            # A gateway that accepts no connection has not answered.
            with contextlib.suppress(OSError, TimeoutError):
                probe.answered = await self._ask()
            probe.ended = _now()
            if probe.answered:
                return

    async def _ask(self) -> bool:
        """Sends an ordinary request; returns whether it was answered.

        Raises:
            OSError, TimeoutError: if no connection can be opened.
        """
        caller = await self._connect()
        submission = self._submit(f"probe-{next(self._ids)}")
        try:
            caller.request(f"/look/{submission.id}", X_Attempt_Id=submission.id)
            submission.written = _now()
            async with asyncio.timeout(PROBE_SECONDS):
                answer = await caller.answer()
        except (
            callers.StrayBytesError,
            asyncio.LimitOverrunError,
            ValueError,
        ) as error:
            submission.unreadable = repr(error)
            return False
        except TimeoutError:
            return False
        finally:
            caller.close()
            submission.ended = _now()
            submission.lag_seconds = self._clock.lag(submission.sent)
        submission.record_answer(answer)
        return answer.status > 0

    def _submit(self, id_: str) -> observations.Submission:
        submission = observations.Submission(
            id_, "look", self._number, second_key=False, sent=_now()
        )
        self._history.submissions[id_] = submission
        return submission


def _now() -> float:
    return asyncio.get_running_loop().time()
