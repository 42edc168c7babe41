"""Serves the requests that the caller edge accepts, up to their outcome.

A request is claimed if it may not run twice, waits until it is dispatched, and runs
its attempts.  Its claim is then settled with the outcome that has been proven.
"""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
from typing import Generic, TypeVar

import msgspec
import trio
from expression import Error, Ok, Result

from radishfield.core import (
    Clock,
    Fault,
    Finished,
    Link,
    LoadReport,
    Outcome,
    Receipt,
    Request,
    ResultCode,
    ServiceAnswer,
    ServiceRequest,
    Target,
    TargetKind,
    TargetPort,
    Token,
    TokenSink,
    fault,
)
from radishfield.crashes import CrashGuard
from radishfield.decisions import Dispatch, Retry, Scheduler, Work
from radishfield.fleet import Claimed, Replay
from radishfield.pipeline import PipelineState
from radishfield.serving._attempt import Attempt, AttemptFailure
from radishfield.serving._canceller import Canceller
from radishfield.serving._claiming import ClaimPort, NoClaim, NoClaims
from radishfield.serving._kv import move_kv
from radishfield.serving._observer import AnyRequest, NullObserver, Observer
from radishfield.serving._queue import DispatchQueue
from radishfield.serving._run import AttemptRunner, RequestRun, RetryPreparer
from radishfield.serving._target_crashes import TargetCrashes

A = TypeVar("A")

# Characters of the prompt whose digest identifies its cached prefix.
PREFIX_CHARACTERS = 256
# Settling a claim must continue after the caller's cancellation, but not block a
# shutdown indefinitely.
SETTLE_TIMEOUT_S = 5.0
# How long a key stays claimed.  A caller that received "unknown" at its deadline
# retries with the same key after that.  A claim that ended with the deadline would let
# the retry run again.  Ten minutes cover a caller's own retries with a margin.
CLAIM_LIFETIME_S = 600.0


class StoredAnswer(msgspec.Struct):
    """A finished model answer, as a claim stores it for a caller's retry."""

    texts: list[str]
    reason: str


class Dispatcher:
    """Serves model requests and plain calls; see `radishfield.core.Serving`."""

    __slots__ = (
        "_scheduler",
        "_targets",
        "_clock",
        "_crashes",
        "_claims",
        "_observer",
        "_claim_lifetime_s",
        "_queue",
        "_canceller",
        "_targets_by_id",
        "_in_flight",
    )

    def __init__(
        self,
        scheduler: Scheduler,
        targets: TargetPort,
        clock: Clock,
        claims: ClaimPort | None = None,
        observer: Observer | None = None,
        claim_s: float = CLAIM_LIFETIME_S,
        crashes: TargetCrashes | None = None,
    ):
        self._scheduler = scheduler
        self._targets = targets
        self._clock = clock
        self._claims = claims or NoClaims()
        self._observer = observer or NullObserver()
        self._claim_lifetime_s = claim_s
        self._crashes = crashes or TargetCrashes(CrashGuard("", clock))
        self._queue = DispatchQueue(scheduler, clock)
        self._canceller = Canceller(targets)
        self._targets_by_id: dict[str, Target] = {}
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Return the number of unfinished requests, including those in the queue."""
        return self._in_flight

    @property
    def queued(self) -> int:
        """Return the number of requests that wait to be dispatched."""
        return len(self._queue)

    def set_targets(
        self,
        targets: Sequence[Target],
        zone: str,
        links: Sequence[Link] = (),
        entry_hosts: int = 1,
    ) -> None:
        """Replace the known targets; requests in flight keep their routes."""
        self._targets_by_id = {target.id: target for target in targets}
        self._crashes.set_targets(targets)
        now = self._clock.now()
        self._scheduler.set_fleet(targets, links, zone, entry_hosts, now)
        self._queue.pump()

    def observe_load(self, report: LoadReport) -> None:
        """Process a target's load report."""
        self._scheduler.observe_load(report, self._clock.now())
        self._queue.pump()

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Dispatch queued requests and send cancels until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._canceller.run)
            nursery.start_soon(self._queue.run_wakeups)
            task_status.started()

    async def generate(
        self, request: Request, sink: TokenSink
    ) -> Result[Finished, Fault]:
        """Run a model request; committed tokens go to the sink in order."""
        state = PipelineState(request.id, request.max_tokens)
        attempt = Attempt(
            request,
            state,
            sink,
            self._targets,
            self._clock,
            self._observer,
            self._scheduler,
            self._crashes.guard,
        )

        async def run_attempt(dispatch: Dispatch) -> AttemptFailure | None:
            return await self._run_attempt(attempt, request.id, dispatch)

        async def prepare(retry: Retry) -> None:
            await move_kv(
                self._targets,
                self._targets_by_id,
                request.id,
                retry.import_from,
                retry.dispatch.route,
            )

        async def replay(answer: bytes) -> Finished:
            stored = msgspec.msgpack.decode(answer, type=StoredAnswer)
            for token in _replayed_tokens(request.id, stored):
                await sink.push(token)
            return Finished(stored.reason, ResultCode.REPLAYED)

        def answer() -> Finished:
            return Finished(state.finish or "stop")

        def encode_answer() -> bytes:
            stored = StoredAnswer(list(state.committed), state.finish or "stop")
            return msgspec.msgpack.encode(stored)

        run = self._new_run(request, _work_of(request), lambda: bool(state.committed))
        return await self._serve(
            run, _Way(run_attempt, prepare, answer, encode_answer, replay)
        )

    async def call_service(
        self, request: ServiceRequest
    ) -> Result[ServiceAnswer, Fault]:
        """Run a plain call and return the service's complete answer."""
        answers: list[ServiceAnswer] = []

        async def run_attempt(dispatch: Dispatch) -> AttemptFailure | None:
            match await self._targets.call(dispatch.target, request):
                case Result(tag="ok", ok=answer):
                    answers.append(answer)
                    return None
                case Result(tag="error", error=problem):
                    started = problem.outcome is not Outcome.NOT_RUN
                    return AttemptFailure(problem, started)

        async def prepare(retry: Retry) -> None:
            """Move nothing: a plain service has no cache."""

        async def replay(answer: bytes) -> ServiceAnswer:
            stored = msgspec.msgpack.decode(answer, type=ServiceAnswer)
            return replace(stored, code=ResultCode.REPLAYED)

        def encode_answer() -> bytes:
            return msgspec.msgpack.encode(answers[0])

        def answer() -> ServiceAnswer:
            return answers[0]

        run = self._new_run(request, _work_of_call(request), lambda: False)
        return await self._serve(
            run, _Way(run_attempt, prepare, answer, encode_answer, replay)
        )

    def _new_run(
        self, request: AnyRequest, work: Work, answer_started: Callable[[], bool]
    ) -> RequestRun:
        return RequestRun(
            request,
            work,
            self._scheduler,
            self._queue,
            self._observer,
            self._clock,
            self._crashes,
            answer_started,
        )

    async def _run_attempt(
        self, attempt: Attempt, request_id: str, dispatch: Dispatch
    ) -> AttemptFailure | None:
        stages = dispatch.route.stages
        route = [self._targets_by_id.get(stage.target_id) for stage in stages]
        if None in route:
            detail = "a target of the route has left the fleet"
            return AttemptFailure(fault(ResultCode.CONNECT_FAILED, detail), False)
        finished = False
        try:
            failure = await attempt.run(route[0], dispatch)
            finished = failure is None
            return failure
        finally:
            if not finished:
                for target in route:
                    self._canceller.cancel(target, request_id, dispatch.attempt)

    async def _serve(self, run: RequestRun, handlers: "_Way[A]") -> Result[A, Fault]:
        request = run.request
        self._observer.arrived(request)
        self._in_flight += 1
        problem: Fault | None = fault(ResultCode.CANCELLED)
        try:
            result = await self._serve_claimed(run, handlers)
            problem = result.error if result.is_error() else None
            return result
        except trio.Cancelled:
            problem = run.with_proven_outcome(problem)
            raise
        finally:
            self._in_flight -= 1
            self._observer.ended(request, problem)

    async def _serve_claimed(
        self, run: RequestRun, handlers: "_Way[A]"
    ) -> Result[A, Fault]:
        request = run.request
        if request.profile.idempotent or not request.idempotency_key:
            return await self._run_until_deadline(run, handlers)
        granted = await self._claims.claim(
            request.workspace,
            request.idempotency_key,
            request.body_digest,
            request.id,
            self._clock.now() + self._claim_lifetime_s,
        )
        match granted:
            case Result(tag="error", error=problem):
                return Error(problem)
            case Result(tag="ok", ok=Replay(answer=answer)):
                return Ok(await handlers.replay(answer))
        claimed = granted.ok
        result: Result[A, Fault] | None = None
        try:
            result = await self._run_until_deadline(run, handlers)
            return result
        finally:
            await self._settle(claimed, run, result, handlers)

    async def _run_until_deadline(
        self, run: RequestRun, handlers: "_Way[A]"
    ) -> Result[A, Fault]:
        self._observer.admitted(run.request)
        remaining = run.request.deadline - self._clock.now()
        problem = fault(ResultCode.DEADLINE_PASSED)
        with trio.move_on_after(max(0.0, remaining)):
            problem = await run.run(handlers.attempt, handlers.prepare)
        if problem is None:
            return Ok(handlers.answer())
        if problem.code is ResultCode.DEADLINE_PASSED and not run.started:
            problem = fault(
                ResultCode.EXPIRED_IN_QUEUE, "no target became free before the deadline"
            )
        return Error(run.with_proven_outcome(problem))

    async def _settle(
        self,
        claimed: Claimed | NoClaim,
        run: RequestRun,
        result: Result[A, Fault] | None,
        handlers: "_Way[A]",
    ) -> None:
        """Settle the claim with the proven outcome, whatever ended the request.

        Without the shield, the claim of a caller that disconnects would stay in
        flight, and a retry would be refused until the claim expires although the
        first run is over.
        """
        with trio.move_on_after(SETTLE_TIMEOUT_S) as scope:
            scope.shield = True
            if result is not None and result.is_ok():
                await self._claims.finish(claimed, handlers.encode_answer())
            elif run.started:
                await self._claims.mark_unknown(claimed)
            else:
                await self._claims.release(claimed)


class _Way(Generic[A]):
    """Functions that run, answer, store and replay requests of one kind.

    Attributes
    ----------
    attempt : callable
        Runs one attempt; returns None if the request has finished.
    prepare : callable
        Prepares a retry before it starts.
    answer : callable
        Returns the answer of a request that has finished.
    encode_answer, replay : callable
        Convert that answer to the bytes that a claim stores, and replay it from
        them for a caller's retry.
    """

    __slots__ = ("attempt", "prepare", "answer", "encode_answer", "replay")

    def __init__(
        self,
        attempt: AttemptRunner,
        prepare: RetryPreparer,
        answer: Callable[[], A],
        encode_answer: Callable[[], bytes],
        replay: Callable[[bytes], Awaitable[A]],
    ):
        self.attempt = attempt
        self.prepare = prepare
        self.answer = answer
        self.encode_answer = encode_answer
        self.replay = replay


def _replayed_tokens(request_id: str, stored: StoredAnswer) -> list[Token]:
    last = len(stored.texts) - 1
    return [
        Token(
            position,
            text,
            Receipt(request_id, 0, position, ()),
            stored.reason if position == last else None,
        )
        for position, text in enumerate(stored.texts)
    ]


def _work_of(request: Request) -> Work:
    return Work(
        request.id,
        request.workspace,
        request.profile.model,
        TargetKind.ENGINE,
        request.priority,
        request.arrived,
        request.deadline,
        request.prompt_tokens,
        request.max_tokens,
        request.profile.idempotent,
        prefix_key=request.prompt[:PREFIX_CHARACTERS],
    )


def _work_of_call(request: ServiceRequest) -> Work:
    return Work(
        request.id,
        request.workspace,
        request.profile.model,
        TargetKind.SERVICE,
        request.priority,
        request.arrived,
        request.deadline,
        idempotent=request.profile.idempotent,
    )
