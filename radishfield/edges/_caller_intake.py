"""Limits the requests in flight on this host and drains it before shutdown."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import trio

from radishfield.core import Clock, Fault, ResultCode, fault
from radishfield.settings import EntrySettings
from radishfield.web import BodyLimit

# The balancer has another host ready; one second covers its next choice.
DRAINING_RETRY_AFTER_S = 1.0
FULL_RETRY_AFTER_S = 1.0


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits on what one host accepts from callers.

    Attributes
    ----------
    notice_s : float
        Time in seconds for which a draining host still accepts new requests.
    """

    body: BodyLimit = BodyLimit()
    max_in_flight: int = 1024
    notice_s: float = 3.0

    @classmethod
    def from_settings(cls, settings: EntrySettings) -> "CallerLimits":
        """Return the limits from the settings file."""
        caller = settings.caller
        body = BodyLimit(caller.max_body_bytes, caller.body_timeout_s)
        return cls(body, caller.max_in_flight, settings.drain.notice_s)


class Intake:
    """Counts requests in flight and refuses new ones while full or draining.

    A balancer notices that a host is draining only at its next readiness check.  If
    the requests that it sends until then were refused, they would fail although the
    fleet is healthy, so they are accepted during the notice time and then refused.
    """

    __slots__ = (
        "_limits",
        "_clock",
        "_notice_s",
        "_draining_since",
        "in_flight",
        "_idle",
    )

    def __init__(self, limits: CallerLimits, clock: Clock):
        self._limits = limits
        self._clock = clock
        self._notice_s = limits.notice_s
        self._draining_since: float | None = None
        self.in_flight = 0
        self._idle = trio.Event()

    @property
    def is_draining(self) -> bool:
        """Return whether draining has started."""
        return self._draining_since is not None

    def start_draining(self, notice_s: float | None = None) -> None:
        """Start draining; a second call has no effect."""
        if self._draining_since is None:
            self._draining_since = self._clock.now()
            self._notice_s = self._limits.notice_s if notice_s is None else notice_s

    def refusal(self) -> Fault | None:
        """Return why a new request is refused, or None if it is accepted."""
        if self._refuses_new():
            return fault(
                ResultCode.DRAINING, "this host is draining", DRAINING_RETRY_AFTER_S
            )
        if self.in_flight >= self._limits.max_in_flight:
            detail = "this host has its maximum number of requests in flight"
            return fault(ResultCode.TOO_MANY_CONNECTIONS, detail, FULL_RETRY_AFTER_S)
        return None

    @contextmanager
    def count(self) -> Iterator[None]:
        """Count one request in flight while it is served."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until new requests are refused and none is in flight."""
        while not self._refuses_new():
            await trio.sleep(self._notice_remaining_s())
        while self.in_flight:
            self._idle = trio.Event()
            await self._idle.wait()

    def _refuses_new(self) -> bool:
        return self.is_draining and self._notice_remaining_s() <= 0

    def _notice_remaining_s(self) -> float:
        if self._draining_since is None:
            return self._notice_s
        return self._draining_since + self._notice_s - self._clock.now()
