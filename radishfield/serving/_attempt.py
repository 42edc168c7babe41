"""Runs one attempt: opens a stream, checks each token's receipt and forwards it."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from expression import Result

from radishfield.core import (
    Clock,
    Fault,
    Outcome,
    Request,
    StreamStart,
    Target,
    TargetPort,
    Token,
    TokenSink,
    TokenStream,
)
from radishfield.core import ResultCode as Code
from radishfield.crashes import CRASH_WINDOW_S, CrashGuard
from radishfield.decisions import Dispatch, Failure, FailureKind, Scheduler
from radishfield.pipeline import PipelineState
from radishfield.serving._observer import Observer
from radishfield.serving._target_crashes import traits_of

# A silent or reset connection is replaced by a new one to the same first stage before
# the target itself is considered faulty.  Two reopenings survive a network path that
# loses track of one connection twice.  A third would only use up the request's
# deadline.  An unanswered reopening ends them.  Silence does not prove a fault, since
# the host's own link or event loop may have been delayed.  Reopening therefore
# continues while no other attempt may replace this one.
MAX_REOPENS = 2
CONNECTION_FAILURES = frozenset({Code.STREAM_SILENT, Code.STREAM_BROKEN})


@dataclass(slots=True, frozen=True)
class AttemptFailure:
    """Why an attempt ended without the request's last token.

    Attributes
    ----------
    started : bool
        Whether any byte may have reached a target.
    committed : int
        Tokens committed so far, over all attempts.
    answered : bool
        Whether the target answered the opening of its last connection.
    outlived_start : bool
        Whether the target kept running well after it started the request.
    """

    problem: Fault
    started: bool
    committed: int = 0
    answered: bool = True
    outlived_start: bool = False


class Attempt:
    """Runs one attempt of a request on one route."""

    __slots__ = (
        "_request",
        "_state",
        "_sink",
        "_targets",
        "_clock",
        "_observer",
        "_scheduler",
        "_first_token_at",
        "_crashes",
        "_outlived_start",
    )

    def __init__(
        self,
        request: Request,
        state: PipelineState,
        sink: TokenSink,
        targets: TargetPort,
        clock: Clock,
        observer: Observer,
        scheduler: Scheduler,
        crashes: CrashGuard,
    ):
        self._request = request
        self._state = state
        self._sink = sink
        self._targets = targets
        self._clock = clock
        self._observer = observer
        self._scheduler = scheduler
        self._crashes = crashes
        self._first_token_at: float | None = None
        self._outlived_start = False

    async def run(
        self, first_target: Target, dispatch: Dispatch
    ) -> AttemptFailure | None:
        """Run to the last token; None means that the request has finished."""
        match self._state.start_attempt(dispatch.attempt, dispatch.route):
            case Result(tag="error", error=problem):
                return self._failure(problem, started=False)
        opened_at = self._clock.now()
        self._first_token_at = None
        self._outlived_start = False
        opening = self._targets.open_stream(first_target, self._stream_start(dispatch))
        failure = await self._read_opened(opening)
        reopens = 0
        while self._connection_failed(failure):
            # A first stage that does not answer a new connection either is itself at
            # fault, not the network path.  Another reopening would only make the
            # caller wait as long again.
            may_reopen = reopens == 0 or (failure.answered and reopens < MAX_REOPENS)
            if not may_reopen and self._may_end(failure, dispatch, opened_at):
                return failure
            reopens += 1
            opened_at = self._clock.now()
            position = self._state.next_position
            self._observer.reopened(self._request, position)
            opening = self._targets.reopen_stream(
                first_target, self._request.id, dispatch.attempt, position
            )
            latest = await self._read_opened(opening)
            # The attempt was already sent earlier, whatever this reopening proves.
            failure = None if latest is None else replace(latest, started=True)
        return failure

    def _may_end(
        self, failure: AttemptFailure, dispatch: Dispatch, opened_at: float
    ) -> bool:
        """Return whether the connection broke or another attempt may replace this."""
        if failure.problem.code is not Code.STREAM_SILENT:
            return True
        silence = Failure(
            self._request.id,
            dispatch.route.stages[0].target_id,
            FailureKind.SILENT,
            started=True,
            committed=failure.committed,
        )
        return self._scheduler.may_replace(silence, opened_at, self._clock.now())

    def _connection_failed(self, failure: AttemptFailure | None) -> bool:
        return (
            failure is not None
            and failure.started
            and failure.problem.code in CONNECTION_FAILURES
        )

    def _stream_start(self, dispatch: Dispatch) -> StreamStart:
        return StreamStart(
            self._request.id,
            dispatch.attempt,
            dispatch.route,
            self._request.prompt,
            self._state.committed,
            self._request.max_tokens,
            self._request.deadline - self._clock.now(),
            dispatch.engine_priority,
            sampling=self._request.sampling,
        )

    async def _read_opened(self, opening) -> AttemptFailure | None:
        async with opening as opened:
            match opened:
                case Result(tag="error", error=problem):
                    started = problem.outcome is not Outcome.NOT_RUN
                    return self._failure(problem, started, answered=False)
                case Result(tag="ok", ok=stream):
                    problem = await self._read(stream)
        return None if problem is None else self._failure(problem, started=True)

    def _failure(
        self, problem: Fault, started: bool, answered: bool = True
    ) -> AttemptFailure:
        return AttemptFailure(
            problem,
            started,
            self._state.next_position,
            answered,
            self._outlived_start,
        )

    async def _read(self, stream: TokenStream) -> Fault | None:
        while self._state.finish is None:
            match await stream.next_tokens():
                case Result(tag="error", error=problem):
                    return problem
                case Result(tag="ok", ok=tokens):
                    batch = self._state.commit_batch(tokens)
            await self._forward_tokens(batch.tokens)
            # Faulty data after the last token does not invalidate a complete answer.
            if batch.problem is not None and self._state.finish is None:
                return batch.problem
        return None

    async def _forward_tokens(self, tokens: Sequence[Token]) -> None:
        now = self._clock.now()
        self._record_survival(now)
        for token in tokens:
            self._scheduler.progressed(self._request.id, token.position, now)
            self._observer.token(self._request, token)
            await self._sink.push(token)

    def _record_survival(self, now: float) -> None:
        """Record whether the target keeps running after it started the request."""
        if self._first_token_at is None:
            self._first_token_at = now
        if not self._outlived_start and now - self._first_token_at >= CRASH_WINDOW_S:
            self._outlived_start = True
            self._crashes.record_survival(traits_of(self._request), self._request.id)
