"""An in-memory `TargetPort` whose engines and services fail on demand.

Each attempt runs as a task of its own, as on a real engine: it continues when its
reader loses the connection, and ends when it is cancelled, when its timeout
passes or when a stage dies.  Words come from `standins.model`, so that an
oracle knows the only right answer.
"""

import enum
from contextlib import asynccontextmanager
from dataclasses import replace

import trio
from expression import Error, Ok, Result

from proofs._record import LayersRun, Record, ServiceCall, Start
from radishfield.core import (
    CacheEvent,
    Fault,
    Hop,
    KvState,
    LoadReport,
    Outcome,
    Receipt,
    ResultCode,
    ServiceAnswer,
    ServiceRequest,
    StreamStart,
    Target,
    TargetOrder,
    Token,
    fault,
)
from standins.model import decode_word, first_hidden, run_layers

STEP_S = 0.01
# As in the real port, a connection without a byte for this long is silent.
IDLE_LIMIT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
REOPEN_TIMEOUT_S = 2.0
STEP_TIMEOUT_S = 1.5
FROZEN_POLL_S = 0.05


class Trouble(enum.StrEnum):
    """What may go wrong with one token on its way to the entry host."""

    OLD_ATTEMPT = "old-attempt"
    OTHER_REQUEST = "other-request"
    SKIPPED = "skipped"
    REPEATED = "repeated"
    HOP_MISSING = "hop-missing"
    HOP_DOUBLED = "hop-doubled"
    TRUNCATED = "truncated"
    BROKEN = "broken"
    SILENT = "silent"
    DELAYED = "delayed"


class FakeEngine:
    """One target, its health, and the faults to apply to its next tokens."""

    __slots__ = ("target", "alive", "frozen", "refusing", "step_s", "troubles", "lost")

    def __init__(self, target: Target):
        self.target = target
        self.alive = True
        self.frozen = False
        self.refusing = False
        self.step_s = STEP_S
        self.troubles: list[Trouble] = []
        # Number of next starts that take effect although their answer is lost.
        self.lost = 0


class _Attempt:
    """An attempt that an engine runs, and the tokens that it has generated."""

    __slots__ = ("start", "head", "scope", "tokens", "problem", "_changed")

    def __init__(self, start: StreamStart, head: FakeEngine):
        self.start = start
        self.head = head
        self.scope = trio.CancelScope()
        self.tokens: list[Token] = []
        self.problem: Fault | None = None
        self._changed = trio.Event()

    def notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def fail(self, problem: Fault) -> None:
        self.problem = self.problem or problem
        self.notify()

    async def wait_changed(self) -> None:
        await self._changed.wait()


class FakeTargets:
    """All targets of a test, behind the port that radishfield uses."""

    __slots__ = ("by_id", "record", "_nursery", "_attempts", "idle_limit_s")

    def __init__(self, targets: list[Target]):
        self.by_id = {target.id: FakeEngine(target) for target in targets}
        self.record = Record()
        self.idle_limit_s = IDLE_LIMIT_S
        self._attempts: dict[tuple[str, int], _Attempt] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Run the attempts until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    def kill(self, target_id: str) -> None:
        """End a target at once, in the middle of whatever it does."""
        engine = self.by_id[target_id]
        engine.alive = False
        for attempt in self._attempts.values():
            if attempt.head is engine:
                attempt.scope.cancel()
                attempt.fail(fault(ResultCode.STREAM_BROKEN, target_id))

    def revive(self, target_id: str) -> None:
        """Start a target again, without any state of earlier work."""
        engine = self.by_id[target_id]
        incarnation = engine.target.incarnation + 1
        engine.target = replace(engine.target, incarnation=incarnation)
        engine.alive = True
        engine.frozen = False
        engine.troubles.clear()

    @asynccontextmanager
    async def open_stream(self, target: Target, start: StreamStart):
        """Start an attempt; see `TargetPort`."""
        engine = self.by_id[target.id]
        refusal = await self._connect(engine)
        if refusal is not None:
            yield Error(refusal)
            return
        attempt = self._start_attempt(engine, start)
        if engine.lost > 0:
            engine.lost -= 1
            yield Error(fault(ResultCode.STREAM_BROKEN, "answer to the start lost"))
            return
        async with self._opened(_FakeStream(self, attempt, 0)) as stream:
            yield Ok(stream)

    @asynccontextmanager
    async def reopen_stream(
        self, target: Target, request_id: str, attempt: int, position: int
    ):
        """Attach to an attempt that still runs; see `TargetPort`."""
        engine = self.by_id[target.id]
        with trio.move_on_after(REOPEN_TIMEOUT_S) as limit:
            while engine.frozen:
                await trio.sleep(FROZEN_POLL_S)
        if limit.cancelled_caught:
            yield Error(fault(ResultCode.STREAM_SILENT, "no answer on reopening"))
            return
        refusal = await self._connect(engine)
        running = self._attempts.get((request_id, attempt))
        if refusal is not None:
            yield Error(refusal)
        elif running is None or running.head is not engine or running.problem:
            yield Error(_refused("no such attempt"))
        else:
            first = position - len(running.start.committed)
            async with self._opened(_FakeStream(self, running, first)) as stream:
                yield Ok(stream)

    async def cancel(
        self, target: Target, request_id: str, attempt: int
    ) -> Result[None, Fault]:
        """Cancel a request's attempts up to this one."""
        engine = self.by_id[target.id]
        refusal = await self._connect(engine)
        if refusal is not None:
            return Error(refusal)
        for (owner, number), running in self._attempts.items():
            if owner == request_id and number <= attempt and running.head is engine:
                running.scope.cancel()
                running.fail(fault(ResultCode.CANCELLED))
        return Ok(None)

    async def call(
        self, target: Target, request: ServiceRequest
    ) -> Result[ServiceAnswer, Fault]:
        """Run a plain call once and answer with its own body."""
        engine = self.by_id[target.id]
        refusal = await self._connect(engine)
        if refusal is not None:
            return Error(refusal)
        self.record.record_call(ServiceCall(request.id, target.id, trio.current_time()))
        await trio.sleep(engine.step_s)
        if not engine.alive or engine.lost > 0:
            engine.lost = max(0, engine.lost - 1)
            return Error(fault(ResultCode.STREAM_BROKEN, "answer lost"))
        if engine.frozen:
            await trio.sleep(self.idle_limit_s)
            return Error(fault(ResultCode.STREAM_SILENT))
        return Ok(ServiceAnswer(200, service_body(request)))

    async def load(self, target: Target) -> Result[LoadReport, Fault]:
        """Report the attempts whose first stage is the target."""
        engine = self.by_id[target.id]
        refusal = await self._connect(engine)
        if refusal is not None:
            return Error(refusal)
        current = engine.target
        in_flight = sum(
            attempt.head is engine and attempt.problem is None
            for attempt in self._attempts.values()
        )
        return Ok(
            LoadReport(
                current.id,
                current.incarnation,
                current.layers,
                current.model,
                current.model_version,
                in_flight,
                0,
                current.slots,
                engine.step_s,
            )
        )

    async def cache_events(
        self, target: Target, after: int
    ) -> Result[tuple[CacheEvent, ...], Fault]:
        """Report no cache events."""
        return Ok(())

    async def order(self, target: Target, order: TargetOrder) -> Result[None, Fault]:
        """Accept every order."""
        return Ok(None)

    async def export_kv(
        self, target: Target, request_id: str
    ) -> Result[KvState, Fault]:
        """Export an empty cache from a target that is alive."""
        engine = self.by_id[target.id]
        refusal = await self._connect(engine)
        if refusal is not None:
            return Error(refusal)
        return Ok(KvState(request_id, target.id, engine.target.layers, 0, b""))

    async def import_kv(self, target: Target, state: KvState) -> Result[None, Fault]:
        """Import a cache."""
        refusal = await self._connect(self.by_id[target.id])
        return Ok(None) if refusal is None else Error(refusal)

    @asynccontextmanager
    async def _opened(self, stream: "_FakeStream"):
        self.record.open_streams += 1
        try:
            yield stream
        finally:
            self.record.open_streams -= 1

    async def _connect(self, engine: FakeEngine) -> Fault | None:
        """Connect to a target; return why it is unreachable or refuses."""
        await trio.lowlevel.checkpoint()
        if engine.frozen:
            await trio.sleep(CONNECT_TIMEOUT_S)
            return _connect_failed("connect timed out")
        if not engine.alive:
            return _connect_failed("connection refused")
        if engine.refusing:
            return _refused("busy")
        return None

    def _start_attempt(self, engine: FakeEngine, start: StreamStart) -> _Attempt:
        attempt = _Attempt(start, engine)
        self._attempts[start.request_id, start.attempt] = attempt
        ids = tuple(stage.target_id for stage in start.route.stages)
        now = trio.current_time()
        self.record.record_start(Start(start.request_id, start.attempt, ids, now))
        self._nursery.start_soon(self._run_attempt, attempt)
        return attempt

    async def _run_attempt(self, attempt: _Attempt) -> None:
        start = attempt.start
        attempt.scope.deadline = trio.current_time() + start.timeout_s
        committed = list(start.committed)
        with attempt.scope:
            while len(committed) < start.max_tokens:
                token = await self._make_token(attempt, committed)
                if token is None:
                    return
                committed.append(token.text)
                attempt.tokens.append(token)
                attempt.notify()
        if attempt.scope.cancelled_caught:
            attempt.fail(fault(ResultCode.DEADLINE_PASSED, "target's own timeout"))

    async def _make_token(
        self, attempt: _Attempt, committed: list[str]
    ) -> Token | None:
        start = attempt.start
        position = len(committed)
        hidden = first_hidden(start.route.model, start.prompt, committed)
        hops: list[Hop] = []
        for stage in start.route.stages:
            engine = self.by_id[stage.target_id]
            incarnation = engine.target.incarnation
            await trio.sleep(engine.step_s)
            waited_s = 0.0
            while engine.frozen:
                await trio.sleep(FROZEN_POLL_S)
                waited_s += FROZEN_POLL_S
                # The previous stage reports the one that does not answer; a first
                # stage that has stalled itself reports none.
                if waited_s >= STEP_TIMEOUT_S and hops:
                    attempt.fail(_stage_failed(stage.target_id))
                    return None
            if not engine.alive or engine.target.incarnation != incarnation:
                attempt.fail(_stage_failed(stage.target_id))
                return None
            hidden = run_layers(hidden, stage.layers.first, stage.layers.end)
            hops.append(Hop(stage.target_id, stage.layers))
            self.record.record_layers(
                (start.request_id, start.attempt, position),
                LayersRun(stage.target_id, stage.layers),
            )
        finish = "length" if position + 1 == start.max_tokens else None
        receipt = Receipt(start.request_id, start.attempt, position, tuple(hops))
        return Token(position, decode_word(hidden), receipt, finish)


class _FakeStream:
    """One connection to an attempt."""

    __slots__ = ("_targets", "_attempt", "_index", "_silent")

    def __init__(self, targets: FakeTargets, attempt: _Attempt, index: int):
        self._targets = targets
        self._attempt = attempt
        self._index = index
        self._silent = False

    async def next_tokens(self) -> Result[tuple[Token, ...], Fault]:
        """Return the next token, or the fault that ended the stream."""
        limit_s = self._targets.idle_limit_s
        with trio.move_on_after(limit_s):
            return (await self._next()).map(lambda token: (token,))
        return Error(fault(ResultCode.STREAM_SILENT, f"no byte for {limit_s} s"))

    async def _next(self) -> Result[Token, Fault]:
        attempt = self._attempt
        while self._silent or self._index >= len(attempt.tokens):
            if self._silent or attempt.head.frozen:
                await trio.sleep(FROZEN_POLL_S)
            elif attempt.problem is not None:
                return Error(attempt.problem)
            else:
                await attempt.wait_changed()
        while attempt.head.frozen:
            await trio.sleep(FROZEN_POLL_S)
        await trio.lowlevel.checkpoint()
        if not attempt.head.alive:
            return Error(fault(ResultCode.STREAM_BROKEN))
        token = attempt.tokens[self._index]
        self._index += 1
        if not attempt.head.troubles:
            return Ok(token)
        self._targets.record.faults_played += 1
        return await self._with_trouble(token, attempt.head.troubles.pop(0))

    async def _with_trouble(
        self, token: Token, trouble: Trouble
    ) -> Result[Token, Fault]:
        match trouble:
            case Trouble.TRUNCATED:
                return Error(fault(ResultCode.ANSWER_TRUNCATED))
            case Trouble.BROKEN:
                return Error(fault(ResultCode.STREAM_BROKEN))
            case Trouble.SILENT:
                self._silent = True
                return await self._next()
            case Trouble.DELAYED:
                await trio.sleep(self._targets.idle_limit_s / 2)
                return Ok(token)
            case _:
                return Ok(_distort(token, trouble))


def _distort(token: Token, trouble: Trouble) -> Token:
    """Return a token whose receipt shows that it must not be committed."""
    receipt = token.receipt
    position = token.position
    match trouble:
        case Trouble.OLD_ATTEMPT:
            receipt = replace(receipt, attempt=receipt.attempt - 1)
        case Trouble.OTHER_REQUEST:
            receipt = replace(receipt, request_id="another-request")
        case Trouble.SKIPPED:
            position += 1
            receipt = replace(receipt, position=position)
        case Trouble.REPEATED:
            position -= 1
            receipt = replace(receipt, position=position)
        case Trouble.HOP_MISSING:
            receipt = replace(receipt, hops=receipt.hops[1:])
        case Trouble.HOP_DOUBLED:
            receipt = replace(receipt, hops=receipt.hops + receipt.hops[-1:])
    return replace(token, position=position, text="<wrong>", receipt=receipt)


def service_body(request: ServiceRequest) -> bytes:
    """Return the only right answer to a plain call."""
    return b"answer to " + request.path.encode() + b" " + request.body


def _stage_failed(target_id: str) -> Fault:
    return Fault(ResultCode.STAGE_FAILED, "stage does not answer", target_id=target_id)


def _connect_failed(detail: str) -> Fault:
    return Fault(ResultCode.CONNECT_FAILED, detail, proven_outcome=Outcome.NOT_RUN)


def _refused(detail: str) -> Fault:
    return Fault(ResultCode.TARGET_REFUSED, detail, 1.0, proven_outcome=Outcome.NOT_RUN)
