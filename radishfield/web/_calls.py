"""Bounded calls to an object API over HTTP, and what each answer proves.

A call is sent once.  A refusal by the other side means that nothing was done; a lost
answer to a write means that it may be done, even later.  Which of the two it was is
kept, since a write that is sent again after the second kind meets its own effect.
"""

from collections import Counter
from typing import TypeVar

import httpcore
import msgspec
import trio
from expression import Error, Ok, Result

from radishfield.core import Clock, Fault, ResultCode, fault
from radishfield.web._budget import CallBudget

T = TypeVar("T")

RETRY_S = 1.0
"""Time after which a call that found the other side away may be worth another."""
KEEPALIVE_S = 30.0
MAX_CONNECTIONS = 16
MAX_IDLE_CONNECTIONS = 4
CLOSE_S = 2.0

_CODE_BY_STATUS = {
    404: ResultCode.OBJECT_NOT_FOUND,
    409: ResultCode.PLATFORM_CONFLICT,
    410: ResultCode.WATCH_GAP,
    413: ResultCode.VALUE_TOO_LARGE,
    429: ResultCode.PLATFORM_RATE_LIMITED,
    503: ResultCode.PLATFORM_UNAVAILABLE,
}
# With these statuses the other side says that it did not apply a write.

_WORTH_A_RETRY = (ResultCode.PLATFORM_UNAVAILABLE, ResultCode.PLATFORM_RATE_LIMITED)
_DONE = (200, 201, 202, 204)
BROKEN_CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
"""A connection ended, spoke no HTTP or said nothing; what was sent may have run."""

_LOST_ERRORS = (*BROKEN_CONNECTION_ERRORS, trio.TooSlowError)


class ApiCall(msgspec.Struct, frozen=True):
    """One call.

    Attributes
    ----------
    kind : str
        Under which it is counted.
    limit_s : float
        Seconds until its answer counts as lost.
    """

    kind: str
    method: str
    path: str
    body: bytes = b""
    limit_s: float = 2.0


class ApiAddress(msgspec.Struct, frozen=True):
    """Where the API is, and how it is called.

    Attributes
    ----------
    caller : str
        Name under which the other side counts the calls; blank for none.
    connect_s : float
        Seconds for a connection.
    max_answer_bytes : int
        More than this is a broken answer.
    """

    address: str
    caller: str = ""
    connect_s: float = 1.0
    max_answer_bytes: int = 8 << 20


class _Answer(msgspec.Struct, frozen=True):
    status: int
    body: bytes


class _Connections:
    """A pool that, once retired, closes when its last call has ended."""

    __slots__ = ("in_flight", "pool", "retired")

    def __init__(self):
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_IDLE_CONNECTIONS,
            keepalive_expiry=KEEPALIVE_S,
        )
        self.in_flight = 0
        self.retired = False

    async def __aenter__(self) -> httpcore.AsyncConnectionPool:
        self.in_flight += 1
        return self.pool

    async def __aexit__(self, *problem) -> None:
        self.in_flight -= 1
        if self.retired and not self.in_flight:
            with trio.move_on_after(CLOSE_S):
                await self.pool.aclose()


class ApiCaller:
    """Calls one API.

    ``calls_by_kind`` and ``faults_by_code`` are counters for the metrics;
    ``last_answer_at`` is the reading of the clock at the last answer of any kind.
    """

    __slots__ = (
        "_address",
        "_budget",
        "_clock",
        "_connections",
        "calls_by_kind",
        "faults_by_code",
        "last_answer_at",
    )

    def __init__(self, address: ApiAddress, budget: CallBudget, clock: Clock):
        self._address = address
        self._budget = budget
        self._clock = clock
        self._connections = _Connections()
        self.calls_by_kind: Counter[str] = Counter()
        self.faults_by_code: Counter[ResultCode] = Counter()
        self.last_answer_at: float | None = None

    async def call(self, call: ApiCall) -> Result[bytes, Fault]:
        """Send a call once; return the body of its answer.

        Faults are those of refusals, ``PLATFORM_UNAVAILABLE`` for a call that had no
        effect, and ``PLATFORM_AMBIGUOUS`` for a write that may be done.
        """
        result = await self._send(call)
        if result.is_error():
            self.faults_by_code[result.error.code] += 1
        return result

    async def _send(self, call: ApiCall) -> Result[bytes, Fault]:
        if not self._budget.take(self._clock.now()):
            wait_s = self._budget.next_call_in_s()
            return Error(
                fault(ResultCode.PLATFORM_RATE_LIMITED, "own budget spent", wait_s)
            )
        self.calls_by_kind[call.kind] += 1
        connections = self._connections
        try:
            with trio.fail_after(call.limit_s):
                async with connections as pool:
                    answer = await self._exchange(pool, call)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as problem:
            return Error(fault(ResultCode.PLATFORM_UNAVAILABLE, repr(problem), RETRY_S))
        except _LOST_ERRORS as problem:
            self._retire(connections)
            return Error(_lost(call, repr(problem)))
        self.last_answer_at = self._clock.now()
        return _sort(call, answer)

    async def _exchange(
        self, pool: httpcore.AsyncConnectionPool, call: ApiCall
    ) -> _Answer:
        received = bytearray()
        headers = {}
        if call.body:
            headers["content-type"] = "application/json"
        if self._address.caller:
            headers["x-caller"] = self._address.caller
        async with pool.stream(
            call.method,
            f"http://{self._address.address}{call.path}",
            headers=headers,
            content=call.body or None,
            extensions={"timeout": {"connect": self._address.connect_s}},
        ) as response:
            async for chunk in response.aiter_stream():
                received += chunk
                if len(received) > self._address.max_answer_bytes:
                    return _Answer(500, b"")
            return _Answer(response.status, bytes(received))

    def _retire(self, connections: _Connections) -> None:
        """Start with new connections after an answer was lost.

        A connection can fall silent for good while new ones work; kept, it would
        cost each later call its whole time limit.  Calls that are on their way over
        the others go on: a watch that is cut off here would look like an outage.
        """
        if connections is self._connections:
            connections.retired = True
            self._connections = _Connections()


def decode_answer(body: bytes, kind: type[T]) -> Result[T, Fault]:
    """Return an answer's JSON, or ``PLATFORM_MALFORMED``."""
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        return Error(fault(ResultCode.PLATFORM_MALFORMED, str(problem)))


def _lost(call: ApiCall, detail: str) -> Fault:
    """Return the fault of a call that was sent and brought no answer."""
    if call.method == "GET":
        return fault(ResultCode.PLATFORM_UNAVAILABLE, detail, RETRY_S)
    return fault(ResultCode.PLATFORM_AMBIGUOUS, detail)


def _sort(call: ApiCall, answer: _Answer) -> Result[bytes, Fault]:
    code = _CODE_BY_STATUS.get(answer.status)
    if code is not None:
        detail = answer.body[:200].decode(errors="replace")
        retry_after_s = RETRY_S if code in _WORTH_A_RETRY else None
        return Error(fault(code, detail, retry_after_s))
    if answer.status not in _DONE:
        return Error(_lost(call, f"status {answer.status}"))
    return Ok(answer.body)
