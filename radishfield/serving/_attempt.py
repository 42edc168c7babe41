"""One attempt: open a stream, check each token's receipt, pass it on."""

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
from radishfield.crashes import OUTLIVED_S, CrashGuard
from radishfield.decisions import Dispatch, Failure, FailureKind, Scheduler
from radishfield.pipeline import PipelineState
from radishfield.serving._observer import Observer
from radishfield.serving._target_crashes import digest_of

# A connection that went silent, or was reset, is replaced by a new one to the
# same first stage before the target itself is held to be at fault.  Two tries
# outlive a path that loses track of one connection twice; a third would only
# eat into the request's deadline.  A try that is not answered ends them.  Silence
# is only a suspicion, though: the host's own link or loop may have been held up.
# So the tries go on while no other attempt may take this one's place.
MAX_REOPENS = 2
PATH_FAILURES = frozenset({Code.STREAM_SILENT, Code.STREAM_BROKEN})


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
        Whether the target lived on well after it began to run the request.
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
        "_began_at",
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
        self._began_at: float | None = None
        self._outlived_start = False

    async def run(self, head: Target, dispatch: Dispatch) -> AttemptFailure | None:
        """Run to the last token; None means that the request has finished."""
        match self._state.start_attempt(dispatch.attempt, dispatch.route):
            case Result(tag="error", error=problem):
                return self._failure(problem, started=False)
        tried_at = self._clock.now()
        self._began_at = None
        self._outlived_start = False
        opening = self._targets.open_stream(head, self._start(dispatch))
        failure = await self._pass_on(opening)
        reopens = 0
        while self._path_failed(failure):
            # A first stage that gives no answer on a new connection either is at
            # fault, not the path: a further try would only cost the caller the
            # same wait again.
            tries_left = reopens == 0 or (failure.answered and reopens < MAX_REOPENS)
            if not tries_left and self._may_end(failure, dispatch, tried_at):
                return failure
            reopens += 1
            tried_at = self._clock.now()
            position = self._state.next_position
            self._observer.reopened(self._request, position)
            opening = self._targets.reopen_stream(
                head, self._request.id, dispatch.attempt, position
            )
            again = await self._pass_on(opening)
            # The attempt was handed over before, whatever this try proves.
            failure = None if again is None else replace(again, started=True)
        return failure

    def _may_end(
        self, failure: AttemptFailure, dispatch: Dispatch, tried_at: float
    ) -> bool:
        """Tell whether the attempt broke, or another may take its place."""
        if failure.problem.code is not Code.STREAM_SILENT:
            return True
        silent = Failure(
            self._request.id,
            dispatch.route.stages[0].target_id,
            FailureKind.SILENT,
            started=True,
            committed=failure.committed,
        )
        return self._scheduler.may_replace(silent, tried_at, self._clock.now())

    def _path_failed(self, failure: AttemptFailure | None) -> bool:
        return (
            failure is not None
            and failure.started
            and failure.problem.code in PATH_FAILURES
        )

    def _start(self, dispatch: Dispatch) -> StreamStart:
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

    async def _pass_on(self, opening) -> AttemptFailure | None:
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
            await self._hand_on(batch.tokens)
            # What an engine sends behind the last token spoils no whole answer.
            if batch.problem is not None and self._state.finish is None:
                return batch.problem
        return None

    async def _hand_on(self, tokens: Sequence[Token]) -> None:
        now = self._clock.now()
        self._note_life(now)
        for token in tokens:
            self._scheduler.progressed(self._request.id, token.position, now)
            self._observer.token(self._request, token)
            await self._sink.push(token)

    def _note_life(self, now: float) -> None:
        """Note that the target lives on after it began to run the request."""
        if self._began_at is None:
            self._began_at = now
        if not self._outlived_start and now - self._began_at >= OUTLIVED_S:
            self._outlived_start = True
            self._crashes.outlived(digest_of(self._request), self._request.id)
