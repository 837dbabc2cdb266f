"""Log output that never blocks on a slow reader."""

import asyncio
import collections
import os
import time

BUFFER_BYTES = 262_144
LINES_PER_SECOND = 300.0
BURST_LINES = 1500.0


class LogOutput:
    """Text stream for loggers with a rate limit and a bounded buffer.

    Lines that exceed the rate limit, or that do not fit in the buffer while
    the reader is slow, are dropped. The next line that is accepted is preceded
    by a "log.dropped" line with the number of lines dropped.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._dropped = 0
        self._is_blocked = False
        self._tokens = BURST_LINES
        self._refilled_at = time.monotonic()
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the last "log.dropped" line."""
        return self._dropped

    def write(self, text: str) -> None:
        """Buffers one line and writes what the descriptor accepts.

        Args:
            text: a line; a lone newline is ignored, because loggers write the
                end of a line separately.
        """
        if text == "\n":
            return
        data = text.rstrip("\n").encode() + b"\n"
        if (
            self._buffered_bytes + len(data) > BUFFER_BYTES
            or not self._take_token()
        ):
            self._dropped += 1
            return
        if self._dropped:
            notice = b'{"event": "log.dropped", "lines": %d}\n' % self._dropped
            self._dropped = 0
            self._append(notice)
        self._append(data)
        self.flush()

    def flush(self) -> None:
        """Writes buffered lines until a write would block."""
        while self._buffer and not self._is_blocked:
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._watch_writable()
                return
            except OSError:
                # The reader is gone, and there is no other place for the lines.
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer[0] = data[written:]
            else:
                self._buffer.popleft()

    def _append(self, data: bytes) -> None:
        self._buffer.append(data)
        self._buffered_bytes += len(data)

    def _take_token(self) -> bool:
        now = time.monotonic()
        refill = (now - self._refilled_at) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _watch_writable(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self._is_blocked = True
        loop.add_writer(self._descriptor, self._on_writable)

    def _on_writable(self) -> None:
        asyncio.get_running_loop().remove_writer(self._descriptor)
        self._is_blocked = False
        self.flush()
