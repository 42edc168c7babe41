"""Maintains the `CrashBook` of a host and stops the runs of refused requests."""

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

import trio

from radishfield.core import Clock, Fault, Outcome, ResultCode
from radishfield.crashes._book import CrashBook, CrashReport, TargetCrash, Verdict
from radishfield.telemetry import log_event

EXPIRY_CHECK_S = 1.0


class CrashGuard:
    """Records which requests crash targets, and refuses these requests at one host.

    Attributes
    ----------
    book : CrashBook
        Crashes seen by all hosts, as far as their reports have reached this host.
    announce : callable
        Reports the state of the request with a digest to the other hosts.
    counted : int
        Number of crashes that this host detected itself.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_host_id",
        "_refused",
        "_stops_by_digest",
        "book",
        "counted",
        "announce",
    )

    def __init__(self, host_id: str, clock: Clock):
        self._host_id = host_id
        self._clock = clock
        self._changed = trio.Event()
        self._refused: set[str] = set()
        self._stops_by_digest: dict[str, set[Callable[[], None]]] = {}
        self.book = CrashBook()
        self.announce: Callable[[str], None] = lambda digest: None
        self.counted = 0

    async def watch(
        self, on_refused: Callable[[str, Verdict], None] = lambda digest, verdict: None
    ) -> None:
        """Check which requests are refused, until cancelled.

        Parameters
        ----------
        on_refused : callable
            Called with digest and verdict of a request when its refusal starts.
        """
        while True:
            changed = self._changed
            self.book.forget(self._clock.now())
            self._look(on_refused)
            pause_s = self.book.next_settled_in_s(self._clock.now()) or EXPIRY_CHECK_S
            with trio.move_on_after(pause_s):
                await changed.wait()

    def _look(self, on_refused: Callable[[str, Verdict], None]) -> None:
        now = self._clock.now()
        verdict_by_digest = self.book.verdicts(now)
        refused = set(verdict_by_digest)
        for digest in refused - self._refused:
            verdict = verdict_by_digest[digest]
            log_event(
                "request.blocked",
                digest=digest,
                ends=format_crashes(verdict, now),
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
        """Stop a run, or a wait for one, if its request is refused in this context."""
        stops = self._stops_by_digest.setdefault(digest, set())
        stops.add(stop)
        try:
            yield
        finally:
            stops.discard(stop)
            if not stops and self._stops_by_digest.get(digest) is stops:
                del self._stops_by_digest[digest]

    async def settle(self, digest: str, until: float) -> None:
        """Wait until it is decided whether a suspected request is refused.

        Parameters
        ----------
        until : float
            Deadline of the request.
        """
        while True:
            now = self._clock.now()
            left_s = self.book.settles_in_s(digest, now)
            if left_s <= 0 or now + left_s >= until:
                return
            await trio.sleep(left_s)

    def is_settled(self, digest: str) -> bool:
        """Return whether it is decided if a request is refused."""
        return self.book.settles_in_s(digest, self._clock.now()) <= 0

    def refusal(self, digest: str, request_id: str, may_have_run: bool) -> Fault | None:
        """Return why a request is not sent to another target; None if it may be."""
        now = self._clock.now()
        verdict = self.book.verdict(digest, now)
        if verdict is None:
            return None
        log_event(
            "request.refused",
            request=request_id,
            digest=digest,
            ends=format_crashes(verdict, now),
            may_have_run=may_have_run,
        )
        return Fault(
            ResultCode.CRASHES_TARGETS,
            f"{len(verdict.ends)} targets crashed under this request",
            verdict.until - now,
            Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN,
        )

    def count(self, digest: str, target_id: str, started_ms: int) -> bool:
        """Record that a target crashed under a request; return whether it counts."""
        crash = TargetCrash(target_id, started_ms, self._host_id, self._clock.now())
        if not self.book.add_crash(digest, crash):
            return False
        self.counted += 1
        self.announce(digest)
        self._wake()
        return True

    def record_survival(self, digest: str, request_id: str) -> None:
        """Record that a target has survived the start of a request."""
        if self.book.add_survival(digest, self._clock.now()):
            log_event("request.cleared", request=request_id, digest=digest)
            self.announce(digest)
            self._wake()

    def learn(self, reports: Iterable[CrashReport], told_by: str) -> list[str]:
        """Merge reports from other hosts; return the digests with new information."""
        now = self._clock.now()
        changed = []
        for report in reports:
            if self.book.merge(report, now):
                changed.append(report.digest)
                self._log_report(report.digest, told_by)
            if self.book.contradicts(report):
                self.announce(report.digest)
        if changed:
            self._wake()
        return changed

    def _log_report(self, digest: str, told_by: str) -> None:
        report = self.book.report(digest, self._clock.now())
        log_event(
            "crashes.told",
            digest=digest,
            told_by=told_by,
            ends=len(report.ends),
            survived=report.survived_age_s >= 0,
        )

    def report(self, digest: str) -> CrashReport:
        """Return the crashes and survival that are recorded for a request."""
        return self.book.report(digest, self._clock.now())

    def _wake(self) -> None:
        event, self._changed = self._changed, trio.Event()
        event.set()


def format_crashes(verdict: Verdict, now: float) -> str:
    """Return the counted crashes as text for a log line."""
    return ", ".join(
        f"{crash.target_id} {now - crash.at:.1f} s ago by {crash.told_by}"
        for crash in verdict.ends
    )
