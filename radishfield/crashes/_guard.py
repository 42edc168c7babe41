"""Keeps a host's `CrashBook`, and stops what is refused by it."""

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

import trio

from radishfield.core import Clock, Fault, Outcome, ResultCode
from radishfield.crashes._book import CrashBook, CrashReport, TargetEnd, Verdict
from radishfield.telemetry import log_event

FORGET_LOOK_S = 1.0


class CrashGuard:
    """What a host knows of requests under which targets ended, and does about it.

    Attributes
    ----------
    book : CrashBook
        What all hosts together know, as far as this one has heard.
    tell : callable
        Tells the other hosts what is known of the request with a digest.
    counted : int
        Ends that this host saw itself.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_host_id",
        "_refused",
        "_stops_by_digest",
        "book",
        "counted",
        "tell",
    )

    def __init__(self, host_id: str, clock: Clock):
        self._host_id = host_id
        self._clock = clock
        self._changed = trio.Event()
        self._refused: set[str] = set()
        self._stops_by_digest: dict[str, set[Callable[[], None]]] = {}
        self.book = CrashBook()
        self.tell: Callable[[str], None] = lambda digest: None
        self.counted = 0

    async def watch(
        self, on_refused: Callable[[str, Verdict], None] = lambda digest, verdict: None
    ) -> None:
        """Look which requests are refused, until cancelled.

        Parameters
        ----------
        on_refused : callable
            Gets the digest of each one, and why, when it begins to be refused.
        """
        while True:
            changed = self._changed
            self.book.forget(self._clock.now())
            self._look(on_refused)
            pause_s = self.book.next_settled_in_s(self._clock.now()) or FORGET_LOOK_S
            with trio.move_on_after(pause_s):
                await changed.wait()

    def _look(self, on_refused: Callable[[str, Verdict], None]) -> None:
        now = self._clock.now()
        verdict_by_digest = self.book.refused(now)
        refused = set(verdict_by_digest)
        for digest in refused - self._refused:
            verdict = verdict_by_digest[digest]
            log_event(
                "request.blocked",
                digest=digest,
                ends=ends_words(verdict, now),
                until_s=round(verdict.until - now),
            )
            for stop in list(self._stops_by_digest.get(digest, ())):
                stop()
            on_refused(digest, verdict)
        for digest in self._refused - refused:
            log_event("request.unblocked", digest=digest)
        self._refused = refused

    @contextmanager
    def running(self, digest: str, stop: Callable[[], None]) -> Iterator[None]:
        """Have a run, or a wait for one, stopped when its request is refused."""
        stops = self._stops_by_digest.setdefault(digest, set())
        stops.add(stop)
        try:
            yield
        finally:
            stops.discard(stop)
            if not stops and self._stops_by_digest.get(digest) is stops:
                del self._stops_by_digest[digest]

    async def settle(self, digest: str, until: float) -> None:
        """Wait until it can be told whether a suspected request is refused.

        Parameters
        ----------
        until : float
            When the request's own time has passed.
        """
        while True:
            now = self._clock.now()
            left_s = self.book.settles_in_s(digest, now)
            if left_s <= 0 or now + left_s >= until:
                return
            await trio.sleep(left_s)

    def is_settled(self, digest: str) -> bool:
        """Return whether it can be told if a request is refused."""
        return self.book.settles_in_s(digest, self._clock.now()) <= 0

    def refusal(self, digest: str, request_id: str, may_have_run: bool) -> Fault | None:
        """Return why a request is sent to no further target, or None."""
        now = self._clock.now()
        verdict = self.book.verdict(digest, now)
        if verdict is None:
            return None
        log_event(
            "request.refused",
            request=request_id,
            digest=digest,
            ends=ends_words(verdict, now),
            may_have_run=may_have_run,
        )
        return Fault(
            ResultCode.CRASHES_TARGETS,
            f"{len(verdict.ends)} targets ended under it",
            verdict.until - now,
            Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN,
        )

    def count(self, digest: str, target_id: str, started_ms: int) -> bool:
        """Note that a target ended under a request; return whether it counts."""
        end = TargetEnd(target_id, started_ms, self._host_id, self._clock.now())
        if not self.book.add_end(digest, end):
            return False
        self.counted += 1
        self.tell(digest)
        self._wake()
        return True

    def outlived(self, digest: str, request_id: str) -> None:
        """Note that a target lives on after it began to run a request."""
        if self.book.outlived(digest, self._clock.now()):
            log_event("request.cleared", request=request_id, digest=digest)
            self.tell(digest)
            self._wake()

    def learn(self, reports: Iterable[CrashReport], told_by: str) -> list[str]:
        """Take what others know of requests; return the digests that were news."""
        now = self._clock.now()
        news = []
        for report in reports:
            if self.book.merge(report, now):
                news.append(report.digest)
                self._log_told(report.digest, told_by)
            if self.book.contradicts(report):
                self.tell(report.digest)
        if news:
            self._wake()
        return news

    def _log_told(self, digest: str, told_by: str) -> None:
        known = self.book.report(digest, self._clock.now())
        log_event(
            "crashes.told",
            digest=digest,
            told_by=told_by,
            ends=len(known.ends),
            survived=known.survived_age_s >= 0,
        )

    def report(self, digest: str) -> CrashReport:
        """Return what this host knows of a request."""
        return self.book.report(digest, self._clock.now())

    def _wake(self) -> None:
        event, self._changed = self._changed, trio.Event()
        event.set()


def ends_words(verdict: Verdict, now: float) -> str:
    """Return the ends that were counted, for a log line."""
    return ", ".join(
        f"{end.target_id} {now - end.at:.1f} s ago by {end.told_by}"
        for end in verdict.ends
    )
