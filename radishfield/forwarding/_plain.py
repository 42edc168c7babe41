"""Forwards requests to plain services, which send a single answer each.

An answer is buffered until it is complete.  If it is truncated, the request can still
be retried or refused, and the caller does not get a partial answer.
"""

import msgspec
import trio
from expression import Error, Ok, Result

from radishfield.capacity import RequestEnd, SentRequest
from radishfield.core import Fault, ResultCode, fault
from radishfield.forwarding._call import Call
from radishfield.forwarding._crash_watch import CrashWatch
from radishfield.forwarding._targets import Targets, final_fault
from radishfield.forwarding._tries import EXTRA_RUNS, Attempts, target_error
from radishfield.forwarding._view import RouterView
from radishfield.platform import Headers
from radishfield.routing import (
    TargetDirectory,
    TargetRecord,
    choose_target,
)
from radishfield.telemetry import log_event

NO_TARGET_RETRY_S = 0.6
"""An unreachable target is replaced or found alive within about a second."""
MAX_REFUSALS = 2
"""Refusals allowed for a request in addition to the attempts that may run it."""
HEDGE_SHARE = 0.8
"""Share of the objective after which a repeatable request is also sent to a second
target.  A lost answer never arrives, and the second target still answers in time."""
MIN_HEDGE_DELAY_S = 0.15
"""Answers that are not lost arrive sooner than this, whatever the objective.  With an
earlier hedge, each slow request takes a second of a plain service's few slots."""
TOKEN_WAIT_S = 0.3
"""Time for which a request waits for a token where all targets name a limit: an issuer
answers within a tenth of a second, after up to another one in which it is not asked."""
TOKEN_RECHECK_S = 0.05
CALLER_ERROR = 400
SERVER_ERROR = 500


class CompleteAnswer(msgspec.Struct, frozen=True):
    """The complete answer of a target."""

    status: int
    headers: Headers
    body: bytes
    target_id: str


class _PlainAttempts(Attempts):
    """The attempts of one call, with the last answer that was a failure."""

    __slots__ = ("failed_answer",)

    def __init__(self):
        super().__init__(NO_TARGET_RETRY_S)
        self.failed_answer: CompleteAnswer | None = None

    def stop(self, problem: Fault) -> None:
        """Record why attempts stop, unless a target answered with a failure."""
        if self.failed_answer is None:
            self.problem = problem

    def stop_for_limits(self, problem: Fault | None) -> None:
        """Record that only the limits of targets keep a request from its first one."""
        if problem is not None and not self.runs and not self.refusals:
            self.problem = problem

    def stop_for_rests(self, problem: Fault | None) -> None:
        """Record that all targets rest, also those that have refused the request."""
        if problem is not None and not self.runs:
            self.problem = problem

    def note_failure(self, result: Result[CompleteAnswer, Fault]) -> None:
        """Record a failed attempt."""
        if result.is_ok():
            self.failed_answer = result.ok
            self.count(target_error(result.ok.status))
        else:
            self.count(result.error)

    def is_exhausted(self, call: Call, directory: TargetDirectory) -> bool:
        """Return whether the route allows no further attempt.

        Targets are counted, not attempts: one attempt may have gone to two targets.
        Those that have ended since do not count.
        """
        if self.runs and not call.route.repeatable:
            return True
        max_attempts = call.route.max_attempts
        return (
            len(directory.live_ids(call.ran_at)) >= max_attempts
            or self.runs >= max_attempts + EXTRA_RUNS
            or self.refusals > MAX_REFUSALS
        )


class PlainForwarder:
    """Serves calls to services whose targets each process a request alone."""

    __slots__ = ("_crashes", "_targets", "_view")

    def __init__(self, targets: Targets, crashes: CrashWatch, view: RouterView):
        self._crashes = crashes
        self._targets = targets
        self._view = view

    async def serve(self, call: Call) -> None:
        """Answer a call."""
        result = await self._complete_answer(call)
        if result.is_ok():
            answer = result.ok
            await call.responder.send_complete(
                answer.status, answer.headers, answer.body
            )
            return
        await call.responder.refuse(result.error)

    async def _complete_answer(self, call: Call) -> Result[CompleteAnswer, Fault]:
        """Try targets until one answers or no further attempt is allowed."""
        attempts = _PlainAttempts()
        while True:
            await self._view.crashes.settle(call.traits, call.deadline_at)
            stop = self._targets.check(call)
            if stop is not None:
                attempts.stop(stop)
                break
            record = self._choose(call)
            if record is None:
                record = await self._wait_for_token(call)
                stop = self._targets.check(call)
                if stop is not None:
                    attempts.stop(stop)
                    break
            if record is None:
                service = call.service.name
                attempts.stop_for_limits(self._view.limit_fault(service))
                attempts.stop_for_rests(self._view.rest_fault(service, bool))
                break
            if not call.sent:
                late = self._deadline_fault(call)
                if late is not None:
                    attempts.stop(late)
                    break
            if call.sent and not self._targets.may_retry(call, attempts.problem):
                break
            result = await self._attempt(call, record, may_hedge=attempts.runs == 0)
            if not _failed(result):
                return result
            attempts.note_failure(result)
            if attempts.is_exhausted(call, self._view.directory):
                await self._view.crashes.settle(call.traits, call.deadline_at)
                attempts.problem = self._view.crash_refusal(call) or attempts.problem
                break
        if attempts.failed_answer is not None:
            return Ok(attempts.failed_answer)
        return Error(final_fault(call, attempts.problem, NO_TARGET_RETRY_S))

    async def _wait_for_token(self, call: Call) -> TargetRecord | None:
        """Wait for a token of a limited target, for as long as an issuer may need."""
        record = None
        if self._view.limit_fault(call.service.name) is None:
            return None
        with trio.move_on_after(TOKEN_WAIT_S):
            while record is None:
                with trio.move_on_after(TOKEN_RECHECK_S):
                    await self._view.capacity_freed.wait()
                record = self._choose(call)
        return record

    def _deadline_fault(self, call: Call) -> Fault | None:
        """Return why no target can answer in time, by its known answer times."""
        usable = self._view.directory.usable(call.service.name, self._view.clock.now())
        return self._view.deadline_fault(call, self._view.with_room(usable))

    def _choose(self, call: Call) -> TargetRecord | None:
        now = self._view.clock.now()
        service = call.service.name
        directory = self._view.directory
        for records in (directory.usable(service, now), directory.listed(service)):
            awake = self._view.with_room(records)
            record = choose_target(
                awake,
                self._view.load,
                self._view.failures,
                self._view.zone,
                call.tried,
                self._view.rng,
                self._view.plain_costs(awake, call.route),
            )
            if record is not None:
                return record
        return None

    async def _attempt(
        self, call: Call, record: TargetRecord, may_hedge: bool
    ) -> Result[CompleteAnswer, Fault]:
        """Send to one target and, if it does not answer in time, to a second one."""
        if not (may_hedge and call.route.repeatable and call.route.max_attempts > 1):
            return await self._try(call, record)
        send_results, results = trio.open_memory_channel(2)
        running = 1
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._try_and_report, call, record, send_results)
            result = None
            with trio.move_on_after(self._hedge_delay_s(call)):
                result = await results.receive()
                running -= 1
            if result is None:
                other = self._hedge_target(call)
                if other is not None:
                    # The first one may be silent since this host's connections are.
                    nursery.start_soon(
                        self._try_and_report, call, other, send_results, True
                    )
                    running += 1
            while result is None or (_failed(result) and running):
                result = await results.receive()
                running -= 1
            nursery.cancel_scope.cancel()
        return result

    def _hedge_target(self, call: Call) -> TargetRecord | None:
        if self._targets.check(call) is not None:
            return None
        if not self._view.crashes.is_settled(call.traits):
            return None
        other = self._choose(call)
        silent = fault(ResultCode.STREAM_SILENT)
        if other is None or not self._targets.may_retry(call, silent):
            return None
        return other

    def _hedge_delay_s(self, call: Call) -> float:
        waited_s = self._view.clock.now() - call.arrived_at
        delay_s = call.route.objective_s * HEDGE_SHARE - waited_s
        return max(MIN_HEDGE_DELAY_S, delay_s)

    async def _try_and_report(
        self, call: Call, record: TargetRecord, results, fresh: bool = False
    ) -> None:
        await results.send(await self._try(call, record, fresh))

    async def _try(
        self, call: Call, record: TargetRecord, fresh: bool = False
    ) -> Result[CompleteAnswer, Fault]:
        self._view.load.started(record.id, 0.0, first=True)
        log_event(
            "attempt.sent",
            request=call.facts.request_id,
            path=record.id,
            directory_version=self._view.directory.version,
            list_age_s=round(self._view.list_age_s(), 2),
        )
        result = Error(fault(ResultCode.DEADLINE_PASSED))
        target = self._view.held_target(record)
        sent = self._view.plain_targets.sent(target, self._view.clock.now())
        left_s = call.deadline_at - self._view.clock.now()
        try:
            with trio.move_on_after(max(0.0, left_s)) as scope:
                with self._view.crashes.running(call.traits, scope.cancel):
                    result = await self._exchange(call, record, fresh)
            if scope.cancelled_caught and self._view.clock.now() < call.deadline_at:
                result = Error(fault(ResultCode.CRASHES_TARGETS, "stopped"))
        finally:
            self._view.load.ended(record.id, 0.0, first=True)
            self._note_end(sent, result)
        self._note(record, result)
        if not _failed(result):
            self._view.crashes.record_survival(call.traits, call.facts.request_id)
        elif result.is_error():
            await self._crashes.check_failed_attempt(call, record, result.error)
        return result

    def _note_end(
        self, sent: SentRequest, result: Result[CompleteAnswer, Fault]
    ) -> None:
        end, now = _request_end(result), self._view.clock.now()
        limit = self._view.plain_targets.ended(sent, end, now)
        if limit is not None:
            log_event(
                "target.use_limit",
                target=sent.target.incarnation[0],
                held=limit.held,
                slots=sent.target.slots,
                low_s=round(limit.low_s, 4),
                high_s=round(limit.high_s, 4),
                for_s=round(limit.until - now, 1),
            )

    async def _exchange(
        self, call: Call, record: TargetRecord, fresh: bool
    ) -> Result[CompleteAnswer, Fault]:
        sent = await self._targets.send(call, record, fresh=fresh)
        if sent.is_error():
            return sent
        exchange = sent.ok
        body = await exchange.read(call.responder.hold_answer)
        await exchange.close(reusable=body.is_ok())
        return body.map(
            lambda content: CompleteAnswer(
                exchange.facts.status, exchange.headers, content, record.id
            )
        )

    def _says_nothing(self, record: TargetRecord, problem: Fault) -> bool:
        """Return whether a failed attempt says nothing about its target's health.

        A target that asks for a rest is well, and is used again after it.
        """
        if problem.code in (ResultCode.TARGETS_LIMITED, ResultCode.TARGETS_RESTING):
            return True
        resting = self._view.rests.is_resting(record, self._view.clock.now())
        return problem.code is ResultCode.TARGET_REFUSED and resting

    def _note(
        self, record: TargetRecord, result: Result[CompleteAnswer, Fault]
    ) -> None:
        if result.is_error() and self._says_nothing(record, result.error):
            return
        failed = _failed(result)
        self._view.failures.note(record.id, failed)
        if result.is_ok() or result.error.code is ResultCode.MALFORMED_ANSWER:
            # Other failures may be those of this host's own link.
            self._view.shared_failures.note(record.id, failed, self._view.clock.now())
        if not failed:
            self._view.directory.clear(record.id)


def _failed(result: Result[CompleteAnswer, Fault]) -> bool:
    return result.is_error() or result.ok.status >= SERVER_ERROR


def _request_end(result: Result[CompleteAnswer, Fault]) -> RequestEnd:
    """Return what an attempt's time says; it is cancelled with its deadline's fault."""
    if result.is_error():
        given_up = result.error.code is ResultCode.DEADLINE_PASSED
        return RequestEnd.GIVEN_UP if given_up else RequestEnd.FAILED
    # Errors are found in less time than an answer takes.
    served = result.ok.status < CALLER_ERROR
    return RequestEnd.ANSWERED if served else RequestEnd.FAILED
