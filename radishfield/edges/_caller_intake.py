"""Whether this host takes another request: its limits, and its graceful end."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import trio

from radishfield.core import Clock, Fault, ResultCode, fault
from radishfield.settings import EntrySettings
from radishfield.web import BodyLimit

# The balancer has another host ready; a second covers its next choice.
DRAINING_RETRY_AFTER_S = 1.0
FULL_RETRY_AFTER_S = 1.0


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """What one host takes from callers at a time.

    Attributes
    ----------
    notice_s : float
        Time in which a draining host still takes new requests.
    """

    body: BodyLimit = BodyLimit()
    max_in_flight: int = 1024
    notice_s: float = 3.0

    @classmethod
    def from_settings(cls, settings: EntrySettings) -> "CallerLimits":
        """Return the limits that the settings file gives."""
        caller = settings.caller
        body = BodyLimit(caller.max_body_bytes, caller.body_timeout_s)
        return cls(body, caller.max_in_flight, settings.drain.notice_s)


class Intake:
    """Counts what is in flight, and refuses while full or leaving.

    A balancer notices that a host leaves only at its next check of readiness.
    Refused at once, the requests that it still sends here would fail on a
    healthy fleet; so they are taken for the notice time, and then refused.
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
        """Return whether the host has begun to leave."""
        return self._draining_since is not None

    def start_draining(self, notice_s: float | None = None) -> None:
        """Begin to leave; a second call changes nothing."""
        if self._draining_since is None:
            self._draining_since = self._clock.now()
            self._notice_s = self._limits.notice_s if notice_s is None else notice_s

    def refusal(self) -> Fault | None:
        """Return why a new request is refused; None where it is taken."""
        if self._refuses_new():
            return fault(
                ResultCode.DRAINING, "this host is leaving", DRAINING_RETRY_AFTER_S
            )
        if self.in_flight >= self._limits.max_in_flight:
            detail = "this host has as many requests in flight as it may"
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
            await trio.sleep(self._notice_left())
        while self.in_flight:
            self._idle = trio.Event()
            await self._idle.wait()

    def _refuses_new(self) -> bool:
        return self.is_draining and self._notice_left() <= 0

    def _notice_left(self) -> float:
        if self._draining_since is None:
            return self._notice_s
        return self._draining_since + self._notice_s - self._clock.now()
