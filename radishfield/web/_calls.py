"""Sends calls to an object API over HTTP, with a time limit and a call budget.

A call is sent once.  A refusal by the other side means that nothing was done.  If the
answer to a write is lost, the write may have been applied, or may be applied later.
The two cases have different result codes, since a write that is sent again after a
lost answer meets its own effect.
"""

from collections import Counter
from collections.abc import Callable
from typing import TypeVar

import httpcore
import msgspec
import trio
from expression import Error, Ok, Result

from radishfield.core import UNREADABLE_ERRORS, Clock, Fault, ResultCode, fault
from radishfield.web._budget import CallBudget

T = TypeVar("T")

RETRY_DELAY_S = 1.0
"""Wait before a retry, reported with faults that a retry may overcome."""
KEEPALIVE_S = 30.0
MAX_CONNECTIONS = 16
MAX_IDLE_CONNECTIONS = 4
CLOSE_TIMEOUT_S = 2.0

_CODE_BY_STATUS = {
    404: ResultCode.OBJECT_NOT_FOUND,
    409: ResultCode.PLATFORM_CONFLICT,
    410: ResultCode.WATCH_GAP,
    413: ResultCode.VALUE_TOO_LARGE,
    429: ResultCode.PLATFORM_RATE_LIMITED,
    503: ResultCode.PLATFORM_UNAVAILABLE,
}
# These statuses mean that the other side did not apply a write.

_RETRYABLE_CODES = (ResultCode.PLATFORM_UNAVAILABLE, ResultCode.PLATFORM_RATE_LIMITED)
_SUCCESS_STATUSES = (200, 201, 202, 204)
BROKEN_CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
"""The connection failed, violated HTTP or timed out; the request may have run."""

_LOST_ANSWER_ERRORS = (*BROKEN_CONNECTION_ERRORS, trio.TooSlowError)


class ApiCall(msgspec.Struct, frozen=True):
    """One call to the API.

    Attributes
    ----------
    kind : str
        Name under which the call is counted.
    limit_s : float
        Seconds after which the answer counts as lost.
    """

    kind: str
    method: str
    path: str
    body: bytes = b""
    limit_s: float = 2.0


class ApiAddress(msgspec.Struct, frozen=True):
    """Address of the API and settings of the calls to it.

    Attributes
    ----------
    caller : str
        Name under which the other side counts the calls; empty for none.
    connect_s : float
        Seconds allowed to open a connection.
    keepalive_s : float
        Idle time after which a connection is not used again.
    max_answer_bytes : int
        A longer answer is treated as broken.
    """

    address: str
    caller: str = ""
    connect_s: float = 1.0
    keepalive_s: float = KEEPALIVE_S
    max_answer_bytes: int = 8 << 20


Headers = list[tuple[bytes, bytes]]


class _Answer(msgspec.Struct, frozen=True):
    status: int
    body: bytes
    headers: Headers = []


class _ConnectionPool:
    """A connection pool that, once retired, closes when its last call has ended."""

    __slots__ = ("in_flight", "pool", "retired")

    def __init__(self, keepalive_s: float):
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_IDLE_CONNECTIONS,
            keepalive_expiry=keepalive_s,
        )
        self.in_flight = 0
        self.retired = False

    async def __aenter__(self) -> httpcore.AsyncConnectionPool:
        self.in_flight += 1
        return self.pool

    async def __aexit__(self, *problem) -> None:
        self.in_flight -= 1
        if self.retired and not self.in_flight:
            with trio.move_on_after(CLOSE_TIMEOUT_S):
                await self.pool.aclose()


class ApiCaller:
    """Client of one API.

    ``calls_by_kind`` and ``faults_by_code`` are counters for the metrics;
    ``last_answer_at`` is the clock's time of the last answer of any kind.
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
        self._connections = _ConnectionPool(address.keepalive_s)
        self.calls_by_kind: Counter[str] = Counter()
        self.faults_by_code: Counter[ResultCode] = Counter()
        self.last_answer_at: float | None = None

    async def call(
        self, call: ApiCall, accepts: Callable[[Headers], bool] = lambda headers: True
    ) -> Result[bytes, Fault]:
        """Send a call once; return the body of its answer.

        The fault is that of the refusal, ``PLATFORM_UNAVAILABLE`` if the call had no
        effect, or ``PLATFORM_AMBIGUOUS`` if a write may have been applied.

        Parameters
        ----------
        accepts : callable
            Returns whether an answer with these headers counts; one that does not is
            treated as lost.
        """
        result = await self._send(call, accepts)
        if result.is_error():
            self.faults_by_code[result.error.code] += 1
        return result

    async def _send(
        self, call: ApiCall, accepts: Callable[[Headers], bool]
    ) -> Result[bytes, Fault]:
        if not self._budget.take(self._clock.now()):
            wait_s = self._budget.next_call_in_s()
            return Error(
                fault(
                    ResultCode.PLATFORM_RATE_LIMITED,
                    "this host's call budget is spent",
                    wait_s,
                )
            )
        self.calls_by_kind[call.kind] += 1
        connections = self._connections
        try:
            with trio.fail_after(call.limit_s):
                async with connections as pool:
                    answer = await self._exchange(pool, call)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as problem:
            return Error(
                fault(ResultCode.PLATFORM_UNAVAILABLE, repr(problem), RETRY_DELAY_S)
            )
        except _LOST_ANSWER_ERRORS as problem:
            self._retire(connections)
            return Error(_lost_answer_fault(call, repr(problem)))
        self.last_answer_at = self._clock.now()
        if not accepts(answer.headers):
            return Error(_lost_answer_fault(call, "the answer does not count"))
        return _classify_answer(call, answer)

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
                    return _Answer(500, b"", response.headers)
            return _Answer(response.status, bytes(received), response.headers)

    def renew_connections(self) -> None:
        """Use new connections, since the other side may have lost the open ones."""
        self._retire(self._connections)

    def _retire(self, connections: _ConnectionPool) -> None:
        """Use new connections after an answer was lost.

        A connection can stall for good while new ones work.  If it were kept, each
        later call would wait for its full time limit.  Calls in flight on the other
        connections continue: a watch that is aborted here would look like an outage.
        """
        if connections is self._connections:
            connections.retired = True
            self._connections = _ConnectionPool(self._address.keepalive_s)


def decode_answer(body: bytes, kind: type[T]) -> Result[T, Fault]:
    """Return an answer's JSON, or ``PLATFORM_MALFORMED``."""
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except UNREADABLE_ERRORS as problem:
        return Error(fault(ResultCode.PLATFORM_MALFORMED, str(problem)))


def _lost_answer_fault(call: ApiCall, detail: str) -> Fault:
    """Return the fault of a call that was sent but got no usable answer."""
    if call.method == "GET":
        return fault(ResultCode.PLATFORM_UNAVAILABLE, detail, RETRY_DELAY_S)
    return fault(ResultCode.PLATFORM_AMBIGUOUS, detail)


def _classify_answer(call: ApiCall, answer: _Answer) -> Result[bytes, Fault]:
    code = _CODE_BY_STATUS.get(answer.status)
    if code is not None:
        detail = answer.body[:200].decode(errors="replace")
        retry_after_s = RETRY_DELAY_S if code in _RETRYABLE_CODES else None
        return Error(fault(code, detail, retry_after_s))
    if answer.status not in _SUCCESS_STATUSES:
        return Error(_lost_answer_fault(call, f"unexpected status {answer.status}"))
    return Ok(answer.body)
