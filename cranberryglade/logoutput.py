"""Writes log lines without ever waiting for who reads them."""

import asyncio
import collections
import os
import time

BUFFER_BYTES = 262_144
LINES_PER_SECOND = 300.0
BURST_LINES = 1500.0


class LogOutput:
    """A text file for loggers, bounded in rate and in what it holds back.

    Lines beyond the rate, or beyond the buffer while the reader is slow, are
    dropped; a line that tells how many follows as soon as there is room.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._held = 0
        self._dropped = 0
        self._waiting = False
        self._allowed = BURST_LINES
        self._counted = time.monotonic()
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines dropped since the last that told of it."""
        return self._dropped

    def write(self, text: str) -> None:
        """Takes text in; loggers write a line and its end apart."""
        if text == "\n":
            return
        data = text.rstrip("\n").encode() + b"\n"
        if self._held + len(data) > BUFFER_BYTES or not self._within_rate():
            self._dropped += 1
            return
        if self._dropped:
            note = b'{"event": "log.dropped", "lines": %d}\n' % self._dropped
            self._dropped = 0
            self._put(note)
        self._put(data)
        self.flush()

    def flush(self) -> None:
        """Writes what the reader takes at once."""
        while self._buffer and not self._waiting:
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._wait()
                return
            except OSError:
                # The reader is gone; there is nobody to tell.
                self._buffer.clear()
                self._held = 0
                return
            self._held -= written
            if written < len(data):
                self._buffer[0] = data[written:]
            else:
                self._buffer.popleft()

    def _put(self, data: bytes) -> None:
        self._buffer.append(data)
        self._held += len(data)

    def _within_rate(self) -> bool:
        now = time.monotonic()
        gained = (now - self._counted) * LINES_PER_SECOND
        self._allowed = min(BURST_LINES, self._allowed + gained)
        self._counted = now
        if self._allowed < 1:
            return False
        self._allowed -= 1
        return True

    def _wait(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self._waiting = True
        loop.add_writer(self._descriptor, self._writable)

    def _writable(self) -> None:
        asyncio.get_running_loop().remove_writer(self._descriptor)
        self._waiting = False
        self.flush()
