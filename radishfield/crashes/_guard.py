"""Maintains the `CrashBook` of a host and stops the runs of refused requests."""

import random
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

import msgspec
import trio

from radishfield.core import Clock, Fault, Outcome, ResultCode
from radishfield.crashes._book import CrashBook, Verdict
from radishfield.crashes._records import CrashReport, TargetCrash
from radishfield.crashes._traits import RequestTraits
from radishfield.crashes._trials import Trials
from radishfield.kernel import WorkBoundary
from radishfield.telemetry import log_event

EXPIRY_CHECK_S = 1.0

MAX_CONTRADICTION_DELAY_S = 0.1
"""Maximum delay of a report that a trait survived, in answer to one of its crashes.
Many hosts know of the survival; most of them hear it from another one before their own
delay is over.  It is shorter than the time for which a verdict waits."""


TRIAL_DELAY_S = 2.0
"""Time for which a refusal by records alone stands before a trial: the hosts that live
report within it whether they saw the crashes, or a survival."""

TRIAL_S = 5.0
"""Time within which the request of a trial has to begin and to show its outcome, and
after which callers whose requests are refused meanwhile are told to come back."""


class _Run(msgspec.Struct, frozen=True, eq=False):
    """A run of a request, or a wait for one, and how it is stopped."""

    traits: RequestTraits
    stop: Callable[[], None]


class _Refusal(msgspec.Struct, frozen=True):
    """When requests began to be refused, and when the last target crashed."""

    began_at: float
    crashed_at: float


class CrashGuard:
    """Records which requests crash targets, and refuses these requests at one host.

    Attributes
    ----------
    book : CrashBook
        Crashes seen by all hosts, as far as their reports have reached this host.
    announce : callable
        Reports the state of a trait to the other hosts.
    ask_for_trial : callable
        Asks for the grant of a trial of a verdict that rests on records alone.
    record_proof : callable
        Records that a target crashed in a trial of these traits.
    counted : int
        Number of crashes that this host detected itself.
    """

    __slots__ = (
        "_boundary",
        "_changed",
        "_clock",
        "_contradict_at_by_trait",
        "_host_id",
        "_refusal_by_traits",
        "_rng",
        "_runs_by_trait",
        "_trials",
        "book",
        "counted",
        "announce",
        "ask_for_trial",
        "record_proof",
    )

    def __init__(
        self, host_id: str, clock: Clock, boundary: WorkBoundary | None = None
    ):
        self._boundary = boundary or WorkBoundary(clock)
        self._host_id = host_id
        self._clock = clock
        self._changed = trio.Event()
        self._contradict_at_by_trait: dict[str, float] = {}
        self._refusal_by_traits: dict[frozenset[str], _Refusal] = {}
        self._rng = random.Random()
        self._runs_by_trait: dict[str, set[_Run]] = {}
        self.book = CrashBook()
        self._trials = Trials()
        self.announce: Callable[[str], None] = lambda trait: None
        self.ask_for_trial: Callable[[Verdict], None] = lambda verdict: None
        self.record_proof: Callable[[frozenset[str]], None] = lambda traits: None
        self.counted = 0

    async def watch(
        self,
        on_refused: Callable[[str, Verdict], None] = lambda trait, verdict: None,
        on_lifted: Callable[[str], None] = lambda trait: None,
    ) -> None:
        """Check which requests are refused, until cancelled.

        Parameters
        ----------
        on_refused : callable
            Called with each trait and the verdict when a refusal starts.
        on_lifted : callable
            Called with each trait that a survival has cleared of a refusal.
        """
        while True:
            await self._boundary.complete(
                "crashes.watch", "", self._check_and_wait, on_refused, on_lifted
            )

    async def _check_and_wait(
        self,
        on_refused: Callable[[str, Verdict], None],
        on_lifted: Callable[[str], None],
    ) -> None:
        changed = self._changed
        now = self._clock.now()
        self.book.forget(now)
        self._trials.forget(now)
        self._look(on_refused, on_lifted)
        self._contradict(now)
        with trio.move_on_after(self._pause_s(now)):
            await changed.wait()

    def _pause_s(self, now: float) -> float:
        settled_in_s = self.book.next_settled_in_s(now) or EXPIRY_CHECK_S
        due_at = min(self._contradict_at_by_trait.values(), default=now + settled_in_s)
        return max(0.0, min(settled_in_s, due_at - now))

    def _look(
        self,
        on_refused: Callable[[str, Verdict], None],
        on_lifted: Callable[[str], None] = lambda trait: None,
    ) -> None:
        now = self._clock.now()
        before = self._refusal_by_traits
        verdict_by_traits = {item.traits: item for item in self.book.verdicts(now)}
        for traits, verdict in verdict_by_traits.items():
            if traits in before:
                continue
            log_event(
                "request.blocked",
                digest=format_traits(traits),
                ends=format_crashes(verdict, now),
                doubtful=verdict.is_doubtful,
                until_s=round(verdict.until - now),
            )
            for run in self._runs_with(traits):
                run.stop()
            for trait in traits:
                on_refused(trait, verdict)
        self._refusal_by_traits = {
            traits: _Refusal(
                before[traits].began_at if traits in before else now,
                max(crash.at for crash in verdict.ends),
            )
            for traits, verdict in verdict_by_traits.items()
        }
        for traits in before.keys() - verdict_by_traits.keys():
            log_event("request.unblocked", digest=format_traits(traits))
            for trait in traits:
                if self.is_cleared(trait, before[traits].crashed_at):
                    on_lifted(trait)

    def is_cleared(self, trait: str, crashed_at: float) -> bool:
        """Return whether requests with a trait have survived since a crash."""
        return self.book.is_cleared(trait, crashed_at)

    def _runs_with(self, traits: frozenset[str]) -> list[_Run]:
        """Return the runs of requests that have all of some traits."""
        runs = [self._runs_by_trait.get(trait, set()) for trait in traits]
        return list(set.intersection(*runs))

    @contextmanager
    def running(
        self, traits: RequestTraits, stop: Callable[[], None]
    ) -> Iterator[None]:
        """Stop a run, or a wait for one, if its request is refused in this context."""
        run = _Run(traits, stop)
        self._trials.begin(traits.all)
        for trait in traits.all:
            self._runs_by_trait.setdefault(trait, set()).add(run)
        try:
            yield
        finally:
            for trait in traits.all:
                runs = self._runs_by_trait[trait]
                runs.discard(run)
                if not runs:
                    del self._runs_by_trait[trait]

    async def settle(self, traits: RequestTraits, until: float) -> None:
        """Wait until it is decided whether a suspected request is refused.

        Parameters
        ----------
        until : float
            Deadline of the request.
        """
        while True:
            now = self._clock.now()
            left_s = self.book.settles_in_s(traits.all, now)
            if left_s <= 0 or now + left_s >= until:
                return
            await trio.sleep(left_s)

    def is_settled(self, traits: RequestTraits) -> bool:
        """Return whether it is decided if a request is refused."""
        return self.book.settles_in_s(traits.all, self._clock.now()) <= 0

    def refusal(
        self, traits: RequestTraits, request_id: str, may_have_run: bool
    ) -> Fault | None:
        """Return why a request is not sent to another target; None if it may be."""
        now = self._clock.now()
        verdicts = self.book.verdicts_of(traits.all, now)
        if not verdicts:
            return None
        doubtful = [verdict for verdict in verdicts if verdict.is_doubtful]
        is_doubtful = len(doubtful) == len(verdicts)
        if is_doubtful and self._is_trial(doubtful, request_id, now):
            return None
        verdict = verdicts[0]
        log_event(
            "request.refused",
            request=request_id,
            digest=traits.digest,
            traits=format_traits(verdict.traits),
            ends=format_crashes(verdict, now),
            may_have_run=may_have_run,
        )
        return Fault(
            ResultCode.CRASHES_TARGETS,
            f"{len(verdict.ends)} targets crashed under {_subject(traits, verdict)}",
            TRIAL_S if is_doubtful else verdict.until - now,
            Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN,
        )

    def _is_trial(self, verdicts: list[Verdict], request_id: str, now: float) -> bool:
        """Return whether a request is a trial; if not, ask for those that it needs."""
        if self._trials.admit([each.traits for each in verdicts], request_id, now):
            return True
        for verdict in verdicts:
            refusal = self._refusal_by_traits.get(verdict.traits)
            granted = self._trials.is_granted(verdict.traits, now)
            if refusal is None or granted:
                continue
            if now - refusal.began_at >= TRIAL_DELAY_S:
                self.ask_for_trial(verdict)
        return False

    def grant_trial(self, traits: frozenset[str]) -> None:
        """Let one request with traits through that are refused by records alone."""
        log_event("request.trial", digest=format_traits(traits))
        self._trials.grant(traits, self._clock.now() + TRIAL_S)

    def forget_recorded(self, trait: str) -> None:
        """Drop what only the record of a trait said, since that is gone."""
        self.book.forget_recorded(trait)
        self._wake()

    def vouch(self, traits: Iterable[str]) -> None:
        """Refuse requests without further trials, and tell the other hosts."""
        for trait in traits:
            self.book.vouch(trait)
            self.announce(trait)
        self._wake()

    def count(self, traits: RequestTraits, target_id: str, started_ms: int) -> bool:
        """Record that a target crashed under a request; return whether it counts."""
        crash = TargetCrash(target_id, started_ms, self._host_id, self._clock.now())
        width = len(traits.all)
        new = [
            trait for trait in traits.all if self.book.add_crash(trait, crash, width)
        ]
        if not new:
            return False
        self.counted += 1
        for refused in self._trials.under_way(traits.all, self._clock.now()):
            self.vouch(refused)
            self.record_proof(refused)
        for trait in new:
            self.announce(trait)
        self._wake()
        return True

    def has_unexplained(self, traits: RequestTraits, crashes: int) -> bool:
        """Return whether so many targets crashed under a trait without a survival."""
        return any(self.book.is_unexplained(trait, crashes) for trait in traits.all)

    def is_blamed(self, trait: str) -> bool:
        """Return whether requests are refused for a trait, alone or with others."""
        verdicts = self.book.verdicts(self._clock.now())
        return any(trait in verdict.traits for verdict in verdicts)

    def record_survival(self, traits: RequestTraits, request_id: str) -> None:
        """Record that a target has survived the start of a request."""
        now = self._clock.now()
        cleared = [trait for trait in traits.all if self.book.add_survival(trait, now)]
        for trait in cleared:
            log_event("request.cleared", request=request_id, digest=trait)
            self.announce(trait)
        if cleared:
            self._wake()

    def learn(self, reports: Iterable[CrashReport], told_by: str) -> list[str]:
        """Merge reports from other hosts; return the traits with new information."""
        now = self._clock.now()
        changed = []
        for report in reports:
            if self.book.merge(report, now):
                changed.append(report.digest)
                self._log_report(report.digest, told_by)
            if self.book.contradicts(report, now):
                delay_s = self._rng.uniform(0.0, MAX_CONTRADICTION_DELAY_S)
                self._contradict_at_by_trait.setdefault(report.digest, now + delay_s)
            elif report.survived_age_s >= 0:
                self._contradict_at_by_trait.pop(report.digest, None)
        if changed or self._contradict_at_by_trait:
            self._wake()
        return changed

    def _contradict(self, now: float) -> None:
        """Report the survivals that no other host has reported meanwhile."""
        due = [trait for trait, at in self._contradict_at_by_trait.items() if at <= now]
        for trait in due:
            del self._contradict_at_by_trait[trait]
            self.announce(trait)

    def _log_report(self, trait: str, told_by: str) -> None:
        report = self.book.report(trait, self._clock.now())
        log_event(
            "crashes.told",
            digest=trait,
            told_by=told_by,
            ends=len(report.ends),
            survived=report.survived_age_s >= 0,
        )

    def report(self, trait: str) -> CrashReport:
        """Return the crashes and survival that are recorded for a trait."""
        return self.book.report(trait, self._clock.now())

    def _wake(self) -> None:
        event, self._changed = self._changed, trio.Event()
        event.set()


def format_traits(traits: Iterable[str]) -> str:
    """Return traits as text for a log line."""
    return " ".join(sorted(traits))


def format_crashes(verdict: Verdict, now: float) -> str:
    """Return the counted crashes as text for a log line."""
    return ", ".join(
        f"{crash.target_id} {now - crash.at:.1f} s ago by {crash.told_by}"
        for crash in verdict.ends
    )


def _subject(traits: RequestTraits, verdict: Verdict) -> str:
    if traits.digest in verdict.traits:
        return "this request"
    return f"requests with {format_traits(verdict.traits)}"
