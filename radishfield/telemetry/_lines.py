"""Log lines that never hold up the process: a bounded buffer and one writer task.

Load pattern: a fault makes each request log several lines while whoever reads them
falls behind.  A blocking write would then stop every request of the process; an
unbounded buffer would end in the memory limit.  Lines beyond the rate or the buffer
are dropped and counted, and the count is logged.
"""

import logging
import os
from collections import deque

import trio

LINES_PER_S = 400.0
"""Over ten times what a host logs at its usual load; a line costs some 30 us, so
this bounds logging to about one percent of a core."""
BURST_LINES = 2000.0
KEPT_LINES = 4000
FLUSH_S = 0.1
WRITE_BYTES = 64 << 10


class LineWriter(logging.Handler):
    """A handler that keeps lines, and a task that writes them out."""

    def __init__(self, descriptor: int):
        super().__init__()
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._rest = b""
        self._tokens = BURST_LINES
        self._filled_at = 0.0
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a line, or drop and count it."""
        if record.levelno < logging.WARNING and not self._take(record.created):
            self.dropped += 1
            return
        if len(self._lines) >= KEPT_LINES:
            self.dropped += 1
            return
        self._lines.append(self.format(record).encode() + b"\n")

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Write until cancelled."""
        os.set_blocking(self._descriptor, False)
        task_status.started()
        reported = 0
        while True:
            await trio.sleep(FLUSH_S)
            self.flush_now()
            if self.dropped != reported:
                reported = self.dropped
                logging.getLogger(__name__).warning("%d lines dropped", reported)

    def flush_now(self) -> None:
        """Write what the reader takes without waiting."""
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._next_piece()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; keeping lines would only fill memory.
                self.dropped += len(self._lines) + 1
                self._lines.clear()
                self._rest = b""
                return
            self._rest = self._rest[written:]

    def _next_piece(self) -> bytes:
        piece = bytearray()
        while self._lines and len(piece) < WRITE_BYTES:
            piece += self._lines.popleft()
        return bytes(piece)

    def _take(self, now: float) -> bool:
        refill = max(0.0, now - self._filled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
