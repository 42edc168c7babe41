"""The platform's object API over HTTP: a `PlatformPort` on httpcore.

Every answer is bounded in size and time, and every call is counted.  A write
whose answer is lost comes back as ``PLATFORM_AMBIGUOUS`` and is never sent
again from here; `radishfield.fleet.write_settled` settles it by its identity.
"""

import random
from collections import Counter
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote

import httpcore
import msgspec
import trio
from expression import Error, Ok, Result

from radishfield.core import (
    Clock,
    Fault,
    HostListing,
    ResultCode,
    StoredListing,
    StoredObject,
    WatchBatch,
    fault,
)
from radishfield.web import (
    BURST_CALLS,
    CALLS_PER_S,
    CallBudget,
    backoff_s,
)

T = TypeVar("T")

_CODE_BY_STATUS = {
    404: ResultCode.OBJECT_NOT_FOUND,
    409: ResultCode.PLATFORM_CONFLICT,
    410: ResultCode.WATCH_GAP,
    413: ResultCode.VALUE_TOO_LARGE,
    429: ResultCode.PLATFORM_RATE_LIMITED,
    503: ResultCode.PLATFORM_UNAVAILABLE,
}
# With these statuses the platform says that it did not apply a write.

_RETRIED = (ResultCode.PLATFORM_UNAVAILABLE, ResultCode.PLATFORM_RATE_LIMITED)

MAX_VALUE_BYTES = 1 << 20
"""The platform holds values of up to a megabyte; larger ones are not sent."""

MAX_ANSWER_BYTES = 32 << 20
"""A list of 2,200 targets is about 1 MB; more than this is a broken answer."""


@dataclass(slots=True, frozen=True)
class PlatformSettings:
    """Where the platform is and how patiently it is asked.

    Attributes
    ----------
    caller : str
        Name under which the platform counts this host's calls.
    timeout_s : float
        Seconds for one call; the platform answers in milliseconds.
    tries : int
        Times that a call without lasting effect is sent at the most.
    """

    address: str = "127.0.0.1:7000"
    caller: str = ""
    timeout_s: float = 2.0
    tries: int = 3
    calls_per_s: float = CALLS_PER_S
    burst_calls: float = BURST_CALLS


@dataclass(slots=True, frozen=True)
class _WriteBody:
    value: bytes
    expected_version: int


@dataclass(slots=True, frozen=True)
class _Answer:
    status: int
    body: bytes


class HttpPlatform:
    """The platform as this host reaches it.

    ``calls_by_kind`` and ``faults_by_code`` are counters for the metrics.
    """

    __slots__ = (
        "_budget",
        "_chance",
        "_clock",
        "_pool",
        "_settings",
        "calls_by_kind",
        "faults_by_code",
        "last_answer_at",
    )

    def __init__(
        self, settings: PlatformSettings, clock: Clock, chance: random.Random = None
    ):
        self._settings = settings
        self._clock = clock
        self._chance = chance or random.Random()
        self._budget = CallBudget(
            settings.calls_per_s,
            settings.burst_calls,
            settings.burst_calls,
            clock.now(),
        )
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=16, max_keepalive_connections=4, keepalive_expiry=30.0
        )
        self.calls_by_kind: Counter[str] = Counter()
        self.faults_by_code: Counter[ResultCode] = Counter()
        self.last_answer_at: float | None = None

    async def read(self, kind: str, name: str) -> Result[StoredObject, Fault]:
        """Return an object, or ``OBJECT_NOT_FOUND``."""
        path = f"/objects/{_quoted(kind)}/{_quoted(name)}"
        return await self._get("read", path, StoredObject)

    async def list(self, kind: str) -> Result[StoredListing, Fault]:
        """Return all objects of a kind."""
        return await self._get("list", f"/objects/{_quoted(kind)}", StoredListing)

    async def hosts(self) -> Result[HostListing, Fault]:
        """Return the list of live and leaving hosts."""
        return await self._get("hosts", "/hosts", HostListing)

    async def watch(
        self, kind: str, after: int, timeout_s: float
    ) -> Result[WatchBatch, Fault]:
        """Wait for changes after a revision; sent once, the caller loops."""
        path = f"/watch/{_quoted(kind)}?after={after}&timeout_s={timeout_s}"
        limit_s = timeout_s + self._settings.timeout_s
        return await self._get("watch", path, WatchBatch, limit_s, tries=1)

    async def write(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> Result[StoredObject, Fault]:
        """Write once, if the stored version is the expected one."""
        if len(value) > MAX_VALUE_BYTES:
            return Error(fault(ResultCode.VALUE_TOO_LARGE, f"{len(value)} bytes"))
        path = f"/objects/{_quoted(kind)}/{_quoted(name)}"
        body = msgspec.json.encode(_WriteBody(value, expected_version))
        result = await self._send(
            "write", "PUT", path, body, StoredObject, self._settings.timeout_s
        )
        return self._counted(result)

    async def _get(
        self,
        call: str,
        path: str,
        kind: type[T],
        limit_s: float | None = None,
        tries: int | None = None,
    ) -> Result[T, Fault]:
        limit_s = limit_s or self._settings.timeout_s
        tries = tries or self._settings.tries
        for failures in range(tries):
            if failures:
                await trio.sleep(backoff_s(failures, self._chance))
            result = await self._send(call, "GET", path, b"", kind, limit_s)
            if result.is_ok() or result.error.code not in _RETRIED:
                break
        return self._counted(result)

    async def _send(
        self,
        call: str,
        method: str,
        path: str,
        body: bytes,
        kind: type[T],
        limit_s: float,
    ) -> Result[T, Fault]:
        """Send a call once, and tell apart what is known to have no effect."""
        if not self._budget.take(self._clock.now()):
            wait_s = self._budget.next_call_in_s()
            return Error(
                fault(ResultCode.PLATFORM_RATE_LIMITED, "own budget spent", wait_s)
            )
        self.calls_by_kind[call] += 1
        try:
            with trio.fail_after(limit_s):
                answer = await self._exchange(method, path, body)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as problem:
            return Error(fault(ResultCode.PLATFORM_UNAVAILABLE, str(problem), 1.0))
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            trio.TooSlowError,
        ) as problem:
            return Error(_lost(method, repr(problem)))
        self.last_answer_at = self._clock.now()
        return _parse(method, answer, kind)

    async def _exchange(self, method: str, path: str, body: bytes) -> _Answer:
        headers = {
            "content-type": "application/json",
            "x-caller": self._settings.caller,
        }
        url = f"http://{self._settings.address}{path}"
        timeouts = {"connect": self._settings.timeout_s}
        received = bytearray()
        async with self._pool.stream(
            method,
            url,
            headers=headers,
            content=body or None,
            extensions={"timeout": timeouts},
        ) as response:
            async for chunk in response.aiter_stream():
                received += chunk
                if len(received) > MAX_ANSWER_BYTES:
                    return _Answer(500, b"")
            return _Answer(response.status, bytes(received))

    def _counted(self, result: Result[T, Fault]) -> Result[T, Fault]:
        if result.is_error():
            self.faults_by_code[result.error.code] += 1
        return result


def _quoted(name: str) -> str:
    return quote(name, safe="")


def _lost(method: str, detail: str) -> Fault:
    """Return the fault of a call that was sent and brought no answer."""
    if method == "PUT":
        return fault(ResultCode.PLATFORM_AMBIGUOUS, detail)
    return fault(ResultCode.PLATFORM_UNAVAILABLE, detail, 1.0)


def _parse(method: str, answer: _Answer, kind: type[T]) -> Result[T, Fault]:
    code = _CODE_BY_STATUS.get(answer.status)
    if code is not None:
        detail = answer.body[:200].decode(errors="replace")
        retry_after_s = 1.0 if code in _RETRIED else None
        return Error(fault(code, detail, retry_after_s))
    if answer.status != 200:
        return Error(_lost(method, f"status {answer.status}"))
    try:
        return Ok(msgspec.json.decode(answer.body, type=kind))
    except msgspec.DecodeError as problem:
        if method == "PUT":
            return Error(_lost(method, str(problem)))
        return Error(fault(ResultCode.PLATFORM_MALFORMED, str(problem)))
