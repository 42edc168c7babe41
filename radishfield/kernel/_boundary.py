"""Keeps a defect in one piece of work from ending the whole process.

Some work depends on what other programs write: on a target's entry, a report, a host's
message.  An exception that nobody expects there ends the work for that target or host
only.  It is counted and logged, and work that is repeated pauses, longer each time.
"""

import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
import trio

from radishfield.core import Clock, ResultCode
from radishfield.telemetry import log_event

T = TypeVar("T")

FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 30.0
MAX_SUBJECTS = 1024
"""Subjects whose pauses are kept; of more, the oldest are forgotten."""


class _Pause(msgspec.Struct, frozen=True):
    until: float
    length_s: float


class WorkBoundary:
    """Contains the defects in pieces of work, by what is done and for which subject.

    Attributes
    ----------
    defects : int
        Exceptions that were contained.
    """

    __slots__ = ("_clock", "_pause_by_subject", "defects")

    def __init__(self, clock: Clock):
        self._clock = clock
        self._pause_by_subject: dict[tuple[str, str], _Pause] = {}
        self.defects = 0

    def is_paused(self, work: str, subject: str) -> bool:
        """Return whether work for a subject failed so recently that it pauses."""
        return self.pause_left_s(work, subject) > 0.0

    def pause_left_s(self, work: str, subject: str) -> float:
        """Return for how many seconds work for a subject still pauses."""
        pause = self._pause_by_subject.get((work, subject))
        return 0.0 if pause is None else max(0.0, pause.until - self._clock.now())

    def contain(self, work: str, subject: str = "") -> "_Containment":
        """Return a context manager that ends a block with the exception it raises.

        Cancellation passes.  The block is entered also during a pause, which then
        only limits the log lines.
        """
        return _Containment(self, work, subject)

    async def run(
        self,
        work: str,
        subject: str,
        function: Callable[..., Awaitable[None]],
        *arguments: object,
    ) -> None:
        """Run work for a subject, unless it pauses."""
        if self.is_paused(work, subject):
            return
        with self.contain(work, subject):
            await function(*arguments)

    async def complete(
        self,
        work: str,
        subject: str,
        function: Callable[..., Awaitable[T]],
        *arguments: object,
    ) -> T:
        """Run work until it ends without a defect, and return its result.

        A service runs each pass of its loop in this way, so that a defect ends the
        pass only.  The next one waits until the pause is over.
        """
        while True:
            with self.contain(work, subject):
                return await function(*arguments)
            await trio.sleep(self.pause_left_s(work, subject))

    def record(self, work: str, subject: str) -> None:
        """Count and log the exception that is being handled, and begin a pause."""
        self.defects += 1
        now = self._clock.now()
        before = self._pause_by_subject.pop((work, subject), None)
        if before is not None and now < before.until:
            self._pause_by_subject[work, subject] = before
            return
        length_s = FIRST_PAUSE_S
        if before is not None and now < before.until + before.length_s:
            length_s = min(MAX_PAUSE_S, before.length_s * 2)
        self._pause_by_subject[work, subject] = _Pause(now + length_s, length_s)
        if len(self._pause_by_subject) > MAX_SUBJECTS:
            del self._pause_by_subject[next(iter(self._pause_by_subject))]
        log_event(
            "work.failed",
            logging.ERROR,
            defect=True,
            work=work,
            subject=subject,
            code=int(ResultCode.INTERNAL),
            pause_s=length_s,
            defects=self.defects,
        )


class _Containment:
    """Ends a block with the exception that it raises; ``failed`` says if it did."""

    __slots__ = ("_boundary", "_subject", "_work", "failed")

    def __init__(self, boundary: WorkBoundary, work: str, subject: str):
        self._boundary = boundary
        self._subject = subject
        self._work = work
        self.failed = False

    def __enter__(self) -> "_Containment":
        return self

    def __exit__(self, kind, problem: BaseException | None, traceback) -> bool:
        if problem is None:
            return False
        others = None
        if isinstance(problem, BaseExceptionGroup):
            defects, others = problem.split(Exception)
            if defects is None:
                return False
        elif not isinstance(problem, Exception):
            return False
        self.failed = True
        self._boundary.record(self._work, self._subject)
        if others is not None:
            # A task beside the one that failed was cancelled.
            raise others
        return True
