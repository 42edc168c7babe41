"""Writes log lines without blocking: a bounded buffer and one writer task.

When a fault makes each request log several lines, the reader of the log can fall
behind.  A blocking write would then stop every request of the process, and an
unbounded buffer would reach the memory limit.  Lines beyond the rate or the buffer
are dropped and counted, and the count is logged.
"""

import logging
import os
from collections import deque
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext

import trio

from radishfield.core import sleep_to_tick

MAX_LINES_PER_S = 400.0
"""Over ten times the rate at typical load; a line costs some 30 us, so this limits
logging to about one percent of a core."""
MAX_BURST_LINES = 2000.0
MAX_BUFFERED_LINES = 4000
FLUSH_PERIOD_S = 0.1
WRITE_CHUNK_BYTES = 64 << 10


class LineWriter(logging.Handler):
    """Log handler that buffers lines, with a task that writes them.

    Attributes
    ----------
    contain : callable
        Returns a context manager for the writing of lines.
    """

    def __init__(self, descriptor: int):
        super().__init__()
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._tokens = MAX_BURST_LINES
        self._refilled_at = 0.0
        self._reported = 0
        self.contain: Callable[[str], AbstractContextManager] = nullcontext
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a line, or drop and count it."""
        if record.levelno < logging.WARNING and not self._take_token(record.created):
            self.dropped += 1
            return
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        self._lines.append(self.format(record).encode() + b"\n")

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Write until cancelled."""
        os.set_blocking(self._descriptor, False)
        task_status.started()
        while True:
            await sleep_to_tick(FLUSH_PERIOD_S)
            with self.contain("lines.write"):
                self._flush_and_report()

    def _flush_and_report(self) -> None:
        self.flush_now()
        if self.dropped != self._reported:
            self._reported = self.dropped
            logging.getLogger(__name__).warning("%d lines dropped", self._reported)

    def flush_now(self) -> None:
        """Write as many buffered lines as the reader accepts without blocking."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._next_chunk()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; keeping lines would only fill memory.
                self.dropped += len(self._lines) + 1
                self._lines.clear()
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    def _next_chunk(self) -> bytes:
        chunk = bytearray()
        while self._lines and len(chunk) < WRITE_CHUNK_BYTES:
            chunk += self._lines.popleft()
        return bytes(chunk)

    def _take_token(self, now: float) -> bool:
        refill = max(0.0, now - self._refilled_at) * MAX_LINES_PER_S
        self._tokens = min(MAX_BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
