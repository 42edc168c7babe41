"""Checks whether a target has crashed when an attempt at it fails."""

import trio

from radishfield.core import Fault, ResultCode
from radishfield.crashes import Verdict
from radishfield.forwarding._call import Call
from radishfield.forwarding._crash_records import CrashRecords, TrialClaim
from radishfield.forwarding._target_ends import TargetProbe, TargetState
from radishfield.forwarding._view import RouterView
from radishfield.routing import TargetRecord
from radishfield.telemetry import log_event
from radishfield.web import ERA_SPREAD_S, backoff_s

TARGET_CHECK_WAIT_S = 0.1
"""Maximum wait of the next attempt for the check of the last one's target."""
READ_FROM_CRASHES = 2
"""Crashes under a trait from which on other hosts' records are read in the store."""
CLAIM_INTERVAL_S = 1.0
"""Minimum interval between two claims of a trial of the same refusal by one host."""
MIN_REMOVAL_DELAY_S, MAX_REMOVAL_DELAY_S = 0.5, 3.0
"""Delay after which hosts that did not write a record remove it, if it still stands."""
LATE_WRITE_S = 3.0
"""Time within which a write whose answer was lost takes effect, if it does."""
MAX_LOGGED_PARTS = 8
BROKEN_CODES = frozenset(
    {
        ResultCode.STREAM_BROKEN,
        ResultCode.ANSWER_TRUNCATED,
        ResultCode.MALFORMED_ANSWER,
    }
)
"""Failures of an attempt that a crash of its target may have caused."""


class CrashWatch:
    """Counts crashes of targets under calls, and keeps the store's records of them."""

    __slots__ = (
        "_claimed_at_by_traits",
        "_host_id",
        "_lock_by_trait",
        "_nursery",
        "_records",
        "_target_probe",
        "_unanswered",
        "_view",
        "_written",
    )

    def __init__(
        self, host_id: str, probe: TargetProbe, records: CrashRecords, view: RouterView
    ):
        self._host_id = host_id
        self._target_probe = probe
        self._records = records
        self._view = view
        self._nursery: trio.Nursery | None = None
        self._claimed_at_by_traits: dict[frozenset[str], float] = {}
        self._lock_by_trait: dict[str, trio.Lock] = {}
        self._unanswered: set[str] = set()
        self._written: set[str] = set()
        view.crashes.ask_for_trial = self._claim_trial_soon
        view.crashes.record_proof = self._write_proof

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Check targets and record refused requests until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._read_until_answered)
            nursery.start_soon(
                self._view.crashes.watch, self._write_refused, self._remove_lifted
            )
            nursery.start_soon(self._write_again)
            task_status.started()

    async def _read_until_answered(self) -> None:
        failures = 0
        while not await self._read():
            failures += 1
            await trio.sleep(backoff_s(failures, self._view.rng))

    async def _write_again(self) -> None:
        """Record what is refused again when the store came back from a copy.

        The copy may hold records of requests that have survived since.
        """
        while True:
            await self._view.eras.changed.wait()
            await trio.sleep(self._view.rng.uniform(0.0, ERA_SPREAD_S))
            await self._view.boundary.complete(
                "crashes.write_again", "", self._write_all
            )
            await self._read_until_answered()

    async def _write_all(self) -> None:
        for verdict in self._view.crashes.book.verdicts(self._view.clock.now()):
            for trait in verdict.traits:
                self._write_refused(trait, verdict)

    async def _read(self) -> bool:
        """Read the records; return whether that was done."""
        with self._view.boundary.contain("crashes.read"):
            return await self._records.read()
        return False

    async def check_failed_attempt(
        self,
        call: Call,
        record: TargetRecord,
        problem: Fault,
        outlived_start: bool = False,
    ) -> None:
        """Check the target of a failed attempt if it may have crashed.

        Parameters
        ----------
        outlived_start : bool
            The target ran the request well past its start, so that a crash is no
            evidence against the request.
        """
        if not self._may_have_crashed(record, problem):
            return
        if outlived_start and problem.code is ResultCode.STREAM_SILENT:
            return
        checked = trio.Event()
        # The check goes on if the caller leaves: its result matters to other requests.
        self._nursery.start_soon(
            self._check_target, call, record, checked, outlived_start
        )
        with trio.move_on_after(TARGET_CHECK_WAIT_S):
            await checked.wait()

    def _may_have_crashed(self, record: TargetRecord, problem: Fault) -> bool:
        directory = self._view.directory
        if directory.leaves(record):
            # Work that outlasts its target's notice is aborted when the target exits.
            return False
        if problem.code is ResultCode.STREAM_SILENT:
            return directory.found_unreachable(record.id)
        return problem.code in BROKEN_CODES

    async def _check_target(
        self,
        call: Call,
        record: TargetRecord,
        checked: trio.Event,
        outlived_start: bool,
    ) -> None:
        try:
            with self._view.boundary.contain("target.check", record.id):
                await self._count_end(call, record, checked, outlived_start)
        finally:
            checked.set()

    async def _count_end(
        self,
        call: Call,
        record: TargetRecord,
        checked: trio.Event,
        outlived_start: bool,
    ) -> None:
        state = await self._target_probe.state(record)
        crashes = self._view.crashes
        excluded_s = 0.0
        counted = False
        if state is TargetState.ENDED:
            excluded_s = self._view.directory.note_ended(record, self._view.clock.now())
            counted = not outlived_start and crashes.count(
                call.traits, record.id, record.started_ms
            )
        log_event(
            "attempt.broken",
            request=call.facts.request_id,
            digest=call.digest,
            parts=" ".join(call.traits.parts[:MAX_LOGGED_PARTS]),
            target=record.id,
            target_state=str(state),
            counted=counted,
            left_out_s=round(excluded_s, 2),
            directory_version=self._view.directory.version,
        )
        checked.set()
        if counted and crashes.has_unexplained(call.traits, READ_FROM_CRASHES):
            await self._read()

    def _write_refused(self, trait: str, verdict: Verdict) -> None:
        """Record a trait to blame, on the host that saw the last crash under it."""
        newest = max(verdict.ends, key=lambda end: end.at)
        if newest.told_by == self._host_id and not newest.from_record:
            self._nursery.start_soon(self._write, trait)

    def _write_proof(self, traits: frozenset[str]) -> None:
        """Record that a target has crashed in a trial."""
        for trait in traits:
            self._nursery.start_soon(self._write, trait)

    async def _write(self, trait: str) -> None:
        self._written.add(trait)
        failures = 0
        while self._view.crashes.is_blamed(trait):
            with self._view.boundary.contain("crashes.write", trait):
                async with self._lock(trait):
                    written = await self._records.write(trait)
                if written:
                    return
            # It may have taken effect all the same, or may yet.
            self._unanswered.add(trait)
            failures += 1
            await trio.sleep(backoff_s(failures, self._view.rng))

    def _lock(self, trait: str) -> trio.Lock:
        """Return the lock that keeps a record's write and removal in order."""
        return self._lock_by_trait.setdefault(trait, trio.Lock())

    def _remove_lifted(self, trait: str) -> None:
        """Remove the record of a trait that is no longer refused."""
        self._nursery.start_soon(self._remove, trait)

    async def _remove(self, trait: str) -> None:
        """Remove a record; its writer does so at once, and the others if it can't."""
        if trait not in self._written:
            delay_s = self._view.rng.uniform(MIN_REMOVAL_DELAY_S, MAX_REMOVAL_DELAY_S)
            await trio.sleep(delay_s)
        await self._remove_until_done(trait)
        if trait in self._unanswered:
            await trio.sleep(LATE_WRITE_S)
            await self._remove_until_done(trait)
        if not self._view.crashes.is_blamed(trait):
            self._written.discard(trait)
            self._unanswered.discard(trait)
            self._lock_by_trait.pop(trait, None)

    async def _remove_until_done(self, trait: str) -> None:
        failures = 0
        while not self._view.crashes.is_blamed(trait):
            with self._view.boundary.contain("crashes.remove", trait):
                async with self._lock(trait):
                    removed = await self._records.remove(trait)
                if removed:
                    return
            failures += 1
            await trio.sleep(backoff_s(failures, self._view.rng))

    def _claim_trial_soon(self, verdict: Verdict) -> None:
        """Claim a trial of a refusal that this host knows from its record alone."""
        now = self._view.clock.now()
        claimed_at = self._claimed_at_by_traits.get(verdict.traits, -CLAIM_INTERVAL_S)
        if now - claimed_at >= CLAIM_INTERVAL_S and self._nursery is not None:
            self._claimed_at_by_traits[verdict.traits] = now
            self._nursery.start_soon(self._claim_trial, verdict.traits)

    async def _claim_trial(self, traits: frozenset[str]) -> None:
        crashes, trait = self._view.crashes, min(traits)
        with self._view.boundary.contain("crashes.trial", trait):
            match await self._records.claim_trial(trait):
                case TrialClaim.GRANTED:
                    crashes.grant_trial(traits)
                case TrialClaim.LIFTED:
                    crashes.forget_recorded(trait)
                case TrialClaim.PROVEN:
                    crashes.vouch(traits)
                case TrialClaim.LATER:
                    pass
        if not crashes.is_blamed(trait):
            self._claimed_at_by_traits.pop(traits, None)
