"""A `PlatformPort` over HTTP, for the object API of the platform stand-in.

A write whose answer is lost returns ``PLATFORM_AMBIGUOUS`` and is never retried
here; `radishfield.fleet.write_settled` resolves it by its identity.
"""

import random
from collections import Counter
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote

import msgspec
import trio
from expression import Error, Result

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
    ApiAddress,
    ApiCall,
    ApiCaller,
    CallBudget,
    backoff_s,
    decode_answer,
)

T = TypeVar("T")

_RETRIED_CODES = (ResultCode.PLATFORM_UNAVAILABLE, ResultCode.PLATFORM_RATE_LIMITED)

MAX_VALUE_BYTES = 1 << 20
"""The platform stores values of up to a megabyte; larger ones are not sent."""

MAX_ANSWER_BYTES = 32 << 20
"""A list of 2,200 targets is about 1 MB; a larger answer than this is malformed."""


@dataclass(slots=True, frozen=True)
class PlatformSettings:
    """Address of the platform, and limits on calls to it.

    Attributes
    ----------
    caller : str
        Name by which the platform counts this host's calls.
    timeout_s : float
        Timeout of one call; the platform typically answers in milliseconds.
    tries : int
        Maximum number of attempts for a call without side effects.
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


class HttpPlatform:
    """Client of the platform, with a budget of calls and with retries."""

    __slots__ = ("_caller", "_rng", "_settings")

    def __init__(
        self, settings: PlatformSettings, clock: Clock, rng: random.Random = None
    ):
        self._settings = settings
        self._rng = rng or random.Random()
        address = ApiAddress(
            settings.address, settings.caller, settings.timeout_s, MAX_ANSWER_BYTES
        )
        budget = CallBudget(
            settings.calls_per_s,
            settings.burst_calls,
            settings.burst_calls,
            clock.now(),
        )
        self._caller = ApiCaller(address, budget, clock)

    @property
    def calls_by_kind(self) -> Counter[str]:
        """Return the number of calls sent by kind, for the metrics."""
        return self._caller.calls_by_kind

    @property
    def faults_by_code(self) -> Counter[ResultCode]:
        """Return the number of failed calls by result code, for the metrics."""
        return self._caller.faults_by_code

    @property
    def last_answer_at(self) -> float | None:
        """Return the clock time of the platform's last answer."""
        return self._caller.last_answer_at

    async def read(self, kind: str, name: str) -> Result[StoredObject, Fault]:
        """Return an object, or ``OBJECT_NOT_FOUND``."""
        path = f"/objects/{_quote_segment(kind)}/{_quote_segment(name)}"
        return await self._get("read", path, StoredObject)

    async def list(self, kind: str) -> Result[StoredListing, Fault]:
        """Return all objects of a kind."""
        return await self._get(
            "list", f"/objects/{_quote_segment(kind)}", StoredListing
        )

    async def hosts(self) -> Result[HostListing, Fault]:
        """Return the list of live and leaving hosts."""
        return await self._get("hosts", "/hosts", HostListing)

    async def watch(
        self, kind: str, after: int, timeout_s: float
    ) -> Result[WatchBatch, Fault]:
        """Wait for changes after a revision; sent once, and the caller loops."""
        path = f"/watch/{_quote_segment(kind)}?after={after}&timeout_s={timeout_s}"
        limit_s = timeout_s + self._settings.timeout_s
        return await self._get("watch", path, WatchBatch, limit_s, tries=1)

    async def write(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> Result[StoredObject, Fault]:
        """Write once, if the stored version is the expected one."""
        if len(value) > MAX_VALUE_BYTES:
            return Error(fault(ResultCode.VALUE_TOO_LARGE, f"{len(value)} bytes"))
        path = f"/objects/{_quote_segment(kind)}/{_quote_segment(name)}"
        body = msgspec.json.encode(_WriteBody(value, expected_version))
        sent = await self._caller.call(
            ApiCall("write", "PUT", path, body, self._settings.timeout_s)
        )
        return sent.bind(_parse_written)

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
                await trio.sleep(backoff_s(failures, self._rng))
            sent = await self._caller.call(ApiCall(call, "GET", path, b"", limit_s))
            if sent.is_ok() or sent.error.code not in _RETRIED_CODES:
                break
        return sent.bind(lambda answer: decode_answer(answer, kind))


def _quote_segment(name: str) -> str:
    return quote(name, safe="")


def _parse_written(answer: bytes) -> Result[StoredObject, Fault]:
    """Return the written object; after a malformed answer the outcome is unknown."""
    parsed = decode_answer(answer, StoredObject)
    return parsed.map_error(
        lambda problem: fault(ResultCode.PLATFORM_AMBIGUOUS, problem.detail)
    )
