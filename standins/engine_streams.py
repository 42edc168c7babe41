"""Attempts at their first stage: tokens are made whoever listens, and kept."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import replace

import msgspec
import trio
from expression import Result

from radishfield.core import Fault, Receipt, ResultCode, StreamStart, Token, fault
from radishfield.edges import send_chunk
from radishfield.edges._target_wire import ErrorLine, Step
from standins.engine_control import StartRun
from standins.engine_steps import Steps
from standins.model import first_hidden, word_of

# An attempt that nobody listens to for this long is given up: its entry host is
# gone, or has moved on.
ORPHAN_S = 5.0
# Ended attempts are kept for connections that went silent near the end.
MAX_KEPT = 256


class Attempt:
    """One attempt's tokens, made by a task of its own."""

    __slots__ = (
        "start",
        "first_position",
        "tokens",
        "problem",
        "is_ended",
        "scope",
        "listeners",
        "left_at",
        "changed",
    )

    def __init__(self, start: StreamStart):
        self.start = start
        self.first_position = len(start.committed)
        self.tokens: list[bytes] = []
        self.problem: Fault | None = None
        self.is_ended = False
        self.scope = trio.CancelScope()
        self.listeners = 0
        self.left_at = trio.current_time()
        self.changed = trio.Event()

    def wake(self) -> None:
        """Tell the listeners that something changed."""
        self.changed.set()
        self.changed = trio.Event()


class Streams:
    """Attempts by request; a newer attempt ends an older one."""

    __slots__ = ("_steps", "_attempts_by_request", "_nursery")

    def __init__(self, steps: Steps, nursery: trio.Nursery):
        self._steps = steps
        self._attempts_by_request: OrderedDict[str, Attempt] = OrderedDict()
        self._nursery = nursery

    @property
    def running(self) -> int:
        """Return how many attempts still make tokens."""
        attempts = self._attempts_by_request.values()
        return sum(not attempt.is_ended for attempt in attempts)

    def find(self, request_id: str, attempt: int) -> Attempt | None:
        """Return an attempt that runs, or that ended a short while ago."""
        found = self._attempts_by_request.get(request_id)
        if found is None or found.start.attempt != attempt:
            return None
        return found

    def begin(self, start: StreamStart) -> Attempt | None:
        """Start an attempt; None if it, or a newer one, was started before."""
        earlier = self._attempts_by_request.pop(start.request_id, None)
        if earlier is not None and earlier.start.attempt >= start.attempt:
            self._attempts_by_request[start.request_id] = earlier
            return None
        if earlier is not None:
            earlier.scope.cancel()
        attempt = Attempt(start)
        self._attempts_by_request[start.request_id] = attempt
        position = attempt.first_position
        run = StartRun(start.request_id, start.attempt, position)
        self._steps.controls.record.starts.append(run)
        self._nursery.start_soon(self._make, attempt)
        self._drop_oldest_ended()
        return attempt

    def cancel(self, request_id: str, attempt: int) -> None:
        """End a request's attempts up to this one."""
        found = self._attempts_by_request.get(request_id)
        if found is None or found.start.attempt > attempt:
            return
        if found.is_ended:
            route = found.start.route
            self._nursery.start_soon(self._steps.forget, route, request_id, attempt)
        else:
            found.problem = fault(ResultCode.CANCELLED)
            found.scope.cancel()

    def cancel_orphans(self) -> None:
        """Give up attempts that nobody listens to."""
        now = trio.current_time()
        for attempt in list(self._attempts_by_request.values()):
            is_alone = attempt.listeners == 0 and not attempt.is_ended
            if is_alone and now - attempt.left_at > ORPHAN_S:
                self.cancel(attempt.start.request_id, attempt.start.attempt)

    async def _make(self, attempt: Attempt) -> None:
        start = attempt.start
        with attempt.scope, trio.move_on_after(start.timeout_s) as deadline:
            attempt.problem = await self._make_tokens(attempt)
        if deadline.cancelled_caught:
            attempt.problem = fault(ResultCode.DEADLINE_PASSED, "stopped by itself")
        attempt.is_ended = True
        attempt.wake()
        # After a later stage's death the cache stays, to be exported.
        if deadline.cancelled_caught or attempt.scope.cancelled_caught:
            await self._steps.forget(start.route, start.request_id, start.attempt)

    async def _make_tokens(self, attempt: Attempt) -> Fault | None:
        start = attempt.start
        committed = list(start.committed)
        while len(committed) < start.max_tokens:
            position = len(committed)
            step = _step_of(start, committed, attempt.first_position)
            match await self._steps.run(step):
                case Result(tag="error", error=problem):
                    return problem
                case Result(ok=done):
                    pass
            committed.append(word_of(done.hidden))
            receipt = Receipt(start.request_id, start.attempt, position, done.hops)
            if position == self._steps.controls.faults.corrupt_at:
                receipt = replace(receipt, hops=done.hops[:-1])
            finish = "length" if len(committed) == start.max_tokens else None
            token = Token(position, committed[-1], receipt, finish)
            attempt.tokens.append(msgspec.json.encode(token) + b"\n")
            attempt.wake()
        return None

    async def send(self, attempt: Attempt, position: int, send: Callable) -> None:
        """Send an attempt's tokens from a position on, and how it ended."""
        attempt.listeners += 1
        try:
            await self._send_tokens(attempt, position, send)
        finally:
            attempt.listeners -= 1
            attempt.left_at = trio.current_time()

    async def _send_tokens(self, attempt, position: int, send: Callable) -> None:
        sent = position - attempt.first_position
        faults = self._steps.controls.faults
        while True:
            changed = attempt.changed
            ready = attempt.tokens[sent:]
            if ready:
                if await self._spoil(attempt, sent + len(ready), faults, send):
                    return
                await send_chunk(send, b"".join(ready))
                sent += len(ready)
            elif attempt.is_ended:
                break
            else:
                await changed.wait()
        line = b""
        if attempt.problem is not None:
            line = _error_line(attempt.problem)
        await send_chunk(send, line, more=False)

    async def _spoil(self, attempt, count: int, faults, send) -> bool:
        """Play the faults of a connection; True ends the answer here."""
        last = attempt.first_position + count - 1
        if faults.truncate_at is not None and last >= faults.truncate_at:
            await send_chunk(send, b"", more=False)
            return True
        if faults.silent_at is not None and last >= faults.silent_at:
            self._steps.controls.faults = replace(faults, silent_at=None)
            await trio.sleep_forever()
        return False

    def _drop_oldest_ended(self) -> None:
        if len(self._attempts_by_request) <= MAX_KEPT:
            return
        for request_id, attempt in self._attempts_by_request.items():
            if attempt.is_ended and attempt.listeners == 0:
                del self._attempts_by_request[request_id]
                return


def _step_of(start: StreamStart, committed: list[str], first_position: int) -> Step:
    position = len(committed)
    is_first = position == first_position
    prompt_tokens = len(start.prompt.split())
    return Step(
        start.request_id,
        start.attempt,
        position,
        0,
        start.route,
        first_hidden(start.route.model, start.prompt, committed),
        is_first=is_first,
        is_last=position + 1 == start.max_tokens,
        prefix_tokens=prompt_tokens + position if is_first else 0,
        prompt=start.prompt if is_first else "",
        priority=int(start.priority),
    )


def _error_line(problem: Fault) -> bytes:
    line = ErrorLine(int(problem.code), problem.detail, problem.target_id)
    return msgspec.json.encode(line) + b"\n"
