"""Client of targets: the engine's HTTP protocol behind `TargetPort`."""

import itertools
import math
from collections.abc import Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace
from typing import TypeVar

import httpcore
import msgspec
import trio
from expression import Error, Ok, Result

from radishfield.core import (
    CacheEvent,
    Clock,
    Fault,
    KvState,
    LoadReport,
    Outcome,
    ResultCode,
    ServiceAnswer,
    ServiceRequest,
    StreamStart,
    SystemClock,
    Target,
    TargetOrder,
    TokenStream,
    fault,
)
from radishfield.edges import _target_wire as wire
from radishfield.edges._target_answers import (
    refusal_of,
    service_answer,
    service_headers,
)
from radishfield.edges._target_http import (
    Exchange,
    TargetConnections,
    TargetTimeouts,
    header_of,
    read_answer_body,
    send_request,
)
from radishfield.edges._target_stream import TokenLines

# A complete answer is held in memory until it is forwarded.
MAX_SERVICE_ANSWER_BYTES = 4 << 20
MAX_CONTROL_ANSWER_BYTES = 1 << 20
MAX_KV_BYTES = 64 << 20

T = TypeVar("T")


class EngineTargets:
    """Engines and plain services reached over HTTP.

    Requests are never retried here: whether a retry is allowed depends on the
    request, so the dispatcher decides.
    """

    __slots__ = ("_connections", "_timeouts", "_clock", "_exchange_numbers")

    def __init__(
        self,
        timeouts: TargetTimeouts | None = None,
        clock: Clock | None = None,
    ):
        self._connections = TargetConnections()
        self._timeouts = timeouts or TargetTimeouts()
        self._clock = clock or SystemClock()
        self._exchange_numbers = itertools.count(1)

    @asynccontextmanager
    async def open_stream(
        self, target: Target, start: StreamStart, idle_s: float | None = None
    ):
        """Start an attempt at the route's first stage.

        ``idle_s`` overrides the setting if the caller knows the expected
        time between tokens.
        """
        timeouts = self._timeouts
        if idle_s is not None:
            timeouts = replace(timeouts, idle_s=idle_s)
        async with self._open_token_stream(
            target, wire.STREAMS_PATH, start, timeouts
        ) as opened:
            yield opened

    @asynccontextmanager
    async def reopen_stream(
        self, target: Target, request_id: str, attempt: int, position: int
    ):
        """Reattach to a running attempt on a new connection.

        The attempt was sent before, so no failure here may be reported as "not
        run".  Its time for a first token has been used too: a stopped target
        takes the new connection into its kernel's backlog, which would make the
        caller wait that long again.  A running target answers at once.

        A connection that is not established in time proves no more than one
        without an answer, so both yield ``STREAM_SILENT``.  Only a refused
        connection shows that nothing listens at the address.
        """
        body = wire.Reopen(request_id, attempt, position)
        first_token_s = self._timeouts.idle_s
        if position == 0:
            first_token_s = self._timeouts.first_token_s
        timeouts = replace(
            self._timeouts,
            connect_s=math.inf,
            answer_s=self._timeouts.control_s,
            first_token_s=first_token_s,
        )
        async with self._open_token_stream(
            target, wire.REOPEN_PATH, body, timeouts
        ) as opened:
            yield opened.map_error(_with_unknown_outcome)

    async def cancel(
        self, target: Target, request_id: str, attempt: int
    ) -> Result[None, Fault]:
        """Ask a target to forget a request's attempts up to this one."""
        body = wire.Cancel(request_id, attempt)
        answer = await self._call_control("POST", target, wire.CANCEL_PATH, body)
        return answer.map(lambda _: None)

    async def call(
        self, target: Target, request: ServiceRequest
    ) -> Result[ServiceAnswer, Fault]:
        """Call a plain service and return its complete answer."""
        remaining = request.deadline - self._clock.now()
        if remaining <= 0:
            detail = "the deadline passed before the call was sent"
            passed = fault(ResultCode.DEADLINE_PASSED, detail)
            return Error(replace(passed, proven_outcome=Outcome.NOT_RUN))
        exchange = Exchange(
            request.method,
            f"http://{target.address}{request.path}",
            request.body,
            service_headers(request),
        )
        with trio.move_on_after(remaining):
            async with AsyncExitStack() as stack:
                opened = await send_request(
                    stack,
                    self._connections.fresh,
                    exchange,
                    min(self._timeouts.connect_s, remaining),
                    remaining,
                )
                match opened:
                    case Result(tag="ok", ok=response):
                        return await service_answer(response, MAX_SERVICE_ANSWER_BYTES)
                    case Result(tag="error", error=problem):
                        return Error(_as_deadline_fault(problem))
        return Error(
            fault(ResultCode.DEADLINE_PASSED, "no complete answer before the deadline")
        )

    async def load(self, target: Target) -> Result[LoadReport, Fault]:
        """Return the target's load report."""
        answer = await self._call_control("GET", target, wire.LOAD_PATH)
        return answer.bind(lambda body: _decode(body, LoadReport))

    async def cache_events(
        self, target: Target, after: int
    ) -> Result[Sequence[CacheEvent], Fault]:
        """Return cache events with a sequence above ``after``; gaps are possible."""
        path = f"{wire.EVENTS_PATH}?after={after}"
        answer = await self._call_control("GET", target, path)
        decoded = answer.bind(lambda body: _decode(body, wire.CacheEvents))
        return decoded.map(lambda page: page.events)

    async def order(self, target: Target, order: TargetOrder) -> Result[None, Fault]:
        """Send an order; a fenced order is refused with ``ORDER_FENCED``.

        A target that receives again an order it has carried out answers as if it
        had just done so, but orders are not retried here.
        """
        answer = await self._call_control("POST", target, wire.ORDERS_PATH, order)
        done = answer.bind(lambda body: _decode(body, wire.OrderDone))
        return done.bind(lambda value: _check_fencing(value, order))

    async def export_kv(
        self, target: Target, request_id: str
    ) -> Result[KvState, Fault]:
        """Read a request's KV cache from a target that is still alive."""
        path = f"{wire.KV_PATH}/{request_id}"
        answer = await self._call_control("GET", target, path, max_bytes=MAX_KV_BYTES)
        return answer.bind(lambda body: _decode(body, KvState))

    async def import_kv(self, target: Target, state: KvState) -> Result[None, Fault]:
        """Send a request's KV cache to a target before an attempt starts."""
        answer = await self._call_control("PUT", target, wire.KV_PATH, state)
        return answer.map(lambda _: None)

    @asynccontextmanager
    async def _open_token_stream(
        self, target: Target, path: str, body: object, timeouts: TargetTimeouts
    ):
        exchange = self._build_exchange("POST", target, path, body)
        async with AsyncExitStack() as stack:
            opened = await send_request(
                stack,
                self._connections.fresh,
                exchange,
                timeouts.connect_s,
                timeouts.answer_s,
            )
            match opened:
                case Result(tag="error", error=problem):
                    yield Error(problem)
                case Result(tag="ok", ok=response):
                    with trio.move_on_after(timeouts.control_s) as scope:
                        checked_answer = await self._check_answer(response, exchange)
                    if scope.cancelled_caught:
                        checked_answer = Error(fault(ResultCode.STREAM_SILENT))
                    yield checked_answer.map(lambda good: _token_lines(good, timeouts))

    async def _call_control(
        self,
        method: str,
        target: Target,
        path: str,
        body: object = None,
        max_bytes: int = MAX_CONTROL_ANSWER_BYTES,
    ) -> Result[bytes, Fault]:
        exchange = self._build_exchange(method, target, path, body)
        limit_s = self._timeouts.control_s
        with trio.move_on_after(limit_s):
            async with AsyncExitStack() as stack:
                opened = await send_request(
                    stack,
                    self._connections.pooled,
                    exchange,
                    self._timeouts.connect_s,
                    limit_s,
                )
                match opened:
                    case Result(tag="error"):
                        return opened
                    case Result(tag="ok", ok=response):
                        match await self._check_answer(response, exchange):
                            case Result(tag="error", error=problem):
                                return Error(problem)
                        return await read_answer_body(response, max_bytes)
        return Error(fault(ResultCode.STREAM_SILENT, f"no answer within {limit_s} s"))

    def _build_exchange(self, method: str, target: Target, path: str, body) -> Exchange:
        content = b"" if body is None else msgspec.json.encode(body)
        number = str(next(self._exchange_numbers)).encode()
        headers = (
            (b"host", target.address.encode()),
            (b"content-length", str(len(content)).encode()),
            (wire.EXCHANGE_HEADER, number),
        )
        return Exchange(method, f"http://{target.address}{path}", content, headers)

    async def _check_answer(
        self, response: httpcore.Response, exchange: Exchange
    ) -> Result[httpcore.Response, Fault]:
        if header_of(response, wire.EXCHANGE_HEADER) != exchange.headers[-1][1]:
            detail = "the answer belongs to another request"
            return Error(fault(ResultCode.MALFORMED_ANSWER, detail))
        if response.status == 200:
            return Ok(response)
        return Error(await refusal_of(response))


def _token_lines(response: httpcore.Response, timeouts: TargetTimeouts) -> TokenStream:
    return TokenLines(response, timeouts)


def _with_unknown_outcome(problem: Fault) -> Fault:
    return replace(problem, proven_outcome=Outcome.UNKNOWN)


def _as_deadline_fault(problem: Fault) -> Fault:
    if problem.code == ResultCode.STREAM_SILENT:
        return fault(ResultCode.DEADLINE_PASSED, problem.detail)
    return problem


def _decode(body: bytes, kind: type[T]) -> Result[T, Fault]:
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Error(fault(ResultCode.MALFORMED_ANSWER, str(error)))


def _check_fencing(done: wire.OrderDone, order: TargetOrder) -> Result[None, Fault]:
    if done.fencing == order.fencing:
        return Ok(None)
    return Error(fault(ResultCode.MALFORMED_ANSWER, "answer to another order"))
