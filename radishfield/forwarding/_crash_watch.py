"""Checks whether a target has crashed when an attempt at it fails."""

import trio

from radishfield.core import Fault, ResultCode
from radishfield.crashes import Verdict
from radishfield.forwarding._call import Call
from radishfield.forwarding._crash_records import CrashRecords
from radishfield.forwarding._target_ends import TargetProbe, TargetState
from radishfield.forwarding._view import RouterView
from radishfield.routing import TargetRecord
from radishfield.telemetry import log_event
from radishfield.web import ERA_SPREAD_S, backoff_s

TARGET_CHECK_WAIT_S = 0.1
"""Maximum wait of the next attempt for the check of the last one's target."""
READ_FROM_CRASHES = 2
"""Crashes under a trait from which on other hosts' records are read in the store."""
MAX_LOGGED_PARTS = 8
BROKEN_CODES = frozenset({ResultCode.STREAM_BROKEN, ResultCode.ANSWER_TRUNCATED})
"""Failures of an attempt that a crash of its target may have caused."""


class CrashWatch:
    """Counts crashes of targets under calls, and keeps the store's records of them."""

    __slots__ = ("_host_id", "_nursery", "_records", "_target_probe", "_view")

    def __init__(
        self, host_id: str, probe: TargetProbe, records: CrashRecords, view: RouterView
    ):
        self._host_id = host_id
        self._target_probe = probe
        self._records = records
        self._view = view
        self._nursery: trio.Nursery | None = None

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Check targets and record refused requests until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._read_at_start)
            nursery.start_soon(self._view.crashes.watch, self._write_refused)
            nursery.start_soon(self._write_again)
            task_status.started()

    async def _read_at_start(self) -> None:
        failures = 0
        while not await self._read():
            failures += 1
            await trio.sleep(backoff_s(failures, self._view.rng))

    async def _write_again(self) -> None:
        """Record what is refused again when the store came back from a copy."""
        while True:
            await self._view.eras.changed.wait()
            await trio.sleep(self._view.rng.uniform(0.0, ERA_SPREAD_S))
            await self._view.boundary.complete(
                "crashes.write_again", "", self._write_all
            )

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
        if newest.told_by == self._host_id:
            self._nursery.start_soon(self._write, trait)

    async def _write(self, trait: str) -> None:
        failures = 0
        while self._view.crashes.is_blamed(trait):
            with self._view.boundary.contain("crashes.write", trait):
                if await self._records.write(trait):
                    return
            failures += 1
            await trio.sleep(backoff_s(failures, self._view.rng))
