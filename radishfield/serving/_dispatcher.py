"""Drives requests: asks the decisions, runs attempts, answers failures."""

import trio
from expression import Error, Ok, Result

from radishfield.core import (
    Clock,
    Fault,
    Request,
    ResultCode,
    StreamStart,
    Target,
    TargetKind,
    TargetPort,
    TokenSink,
    fault,
)
from radishfield.decisions import (
    Dispatch,
    Expired,
    Failure,
    FailureKind,
    GiveUp,
    Refused,
    Scheduler,
    Work,
)
from radishfield.pipeline import PipelineState

FAILURE_KIND_BY_CODE = {
    ResultCode.TARGET_REFUSED: FailureKind.REFUSED,
    ResultCode.CONNECT_FAILED: FailureKind.CONNECT,
    ResultCode.STREAM_SILENT: FailureKind.SILENT,
    ResultCode.BAD_RECEIPT: FailureKind.BAD_RECEIPT,
    ResultCode.TARGET_ERROR: FailureKind.ERROR,
}


class _Waiting:
    """A queued request's caller, waiting to be dispatched or expired."""

    __slots__ = ("event", "decision")

    def __init__(self):
        self.event = trio.Event()
        self.decision: Dispatch | Expired | None = None


class Dispatcher:
    """The service behind the caller edge."""

    __slots__ = ("_scheduler", "_targets", "_clock", "_waiting_by_request", "_by_id")

    def __init__(self, scheduler: Scheduler, targets: TargetPort, clock: Clock):
        self._scheduler = scheduler
        self._targets = targets
        self._clock = clock
        self._waiting_by_request: dict[str, _Waiting] = {}
        self._by_id: dict[str, Target] = {}

    def set_targets(self, targets: list[Target], zone: str) -> None:
        """Replace the view of targets."""
        self._by_id = {target.id: target for target in targets}
        self._scheduler.set_fleet(targets, [], zone, 1, self._clock.now())

    async def generate(self, request: Request, sink: TokenSink) -> Result[str, Fault]:
        """Run a model request; committed tokens go to the sink in order."""
        now = self._clock.now()
        admitted = self._scheduler.offer(_work_of(request), now)
        if isinstance(admitted, Refused):
            return Error(admitted.fault)
        waiting = _Waiting()
        self._waiting_by_request[request.id] = waiting
        self._pump()
        await waiting.event.wait()
        if isinstance(waiting.decision, Expired):
            return Error(waiting.decision.fault)
        finished = False
        try:
            result = await self._run(request, waiting.decision, sink)
            finished = result.is_ok()
            return result
        finally:
            self._scheduler.ended(request.id, finished, self._clock.now())
            self._pump()

    def _pump(self) -> None:
        for decision in self._scheduler.take(self._clock.now()):
            waiting = self._waiting_by_request.pop(decision.work.request_id)
            waiting.decision = decision
            waiting.event.set()

    async def _run(
        self, request: Request, dispatch: Dispatch, sink: TokenSink
    ) -> Result[str, Fault]:
        state = PipelineState(request.id)
        while True:
            problem = await self._attempt(request, dispatch, state, sink)
            if problem is None:
                return Ok(state.finish or "stop")
            failure = Failure(
                request.id,
                dispatch.route.stages[0].target_id,
                FAILURE_KIND_BY_CODE.get(problem.code, FailureKind.BROKEN),
                problem.outcome != "not-run",
                state.next_position,
            )
            decision = self._scheduler.failed(failure, self._clock.now())
            if isinstance(decision, GiveUp):
                return Error(decision.fault)
            dispatch = decision.dispatch
            await trio.sleep(decision.after_s)

    async def _attempt(
        self,
        request: Request,
        dispatch: Dispatch,
        state: PipelineState,
        sink: TokenSink,
    ) -> Fault | None:
        match state.start_attempt(dispatch.attempt, dispatch.route):
            case Result(tag="error", error=problem):
                return problem
        start = StreamStart(
            request.id,
            dispatch.attempt,
            dispatch.route,
            request.prompt,
            state.committed,
            request.max_tokens,
            request.deadline - self._clock.now(),
            request.priority,
        )
        head = self._by_id[dispatch.route.stages[0].target_id]
        async with self._targets.open_stream(head, start) as opened:
            match opened:
                case Result(tag="error", error=problem):
                    return problem
                case Result(tag="ok", ok=stream):
                    return await self._pass_on(stream, state, sink)
        return fault(ResultCode.INTERNAL)

    async def _pass_on(self, stream, state: PipelineState, sink) -> Fault | None:
        while state.finish is None:
            match await stream.next_token():
                case Result(tag="error", error=problem):
                    return problem
                case Result(tag="ok", ok=token):
                    match state.commit(token):
                        case Result(tag="error", error=problem):
                            return problem
                    self._scheduler.progressed(
                        state.request_id, token.position, self._clock.now()
                    )
                    await sink.push(token)
        return None


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
    )
