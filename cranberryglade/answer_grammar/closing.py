"""Tells whether the end of a connection is the end of an answer.

Load pattern: an endpoint answers a long request at once, without a length, and
the connection is reset while the request is still being sent. The system may
tell the end of what it received first, and the reset only to who sends. What
was received is then no whole answer.
"""

import asyncio
from collections.abc import Callable

from cranberryglade.answer_grammar import faults
from cranberryglade.gateway import half_closing
from cranberryglade.gateway import sockets

CUT_BY_RESET = faults.Fault(faults.Kind.CUT, "reset")
"""Fault of an answer without a length whose connection was reset."""

POLL_SECONDS = 0.01
"""Time between two looks at what the endpoint has taken."""


class CloseWatch:
    """Waits until the endpoint has taken the request, or has reset.

    The endpoint has closed its sending side before.
    """

    __slots__ = ("_loop", "_on_settled", "_timer", "_transport")

    def __init__(
        self, transport: asyncio.Transport, on_settled: Callable[[bool], None]
    ):
        """Creates one that does not wait yet.

        Args:
            transport: the connection.
            on_settled: called once with whether the answer ended; not called
                after `stop`.
        """
        self._loop = asyncio.get_running_loop()
        self._transport = transport
        self._on_settled = on_settled
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> bool:
        """Begins to wait; settles at once if nothing is on its way.

        Returns:
            Whether it waits.
        """
        self._poll()
        return self._timer is not None

    def stop(self) -> None:
        """Stops to wait, as the connection is closed."""
        if self._timer is not None:
            self._timer.cancel()

    def _poll(self) -> None:
        self._timer = None
        if sockets.has_failed(self._transport.get_extra_info("socket")):
            self._on_settled(False)
        elif not half_closing.has_unsent(self._transport):
            self._on_settled(True)
        else:
            self._timer = self._loop.call_later(POLL_SECONDS, self._poll)
