"""In-memory fakes of the ports, with switches that inject faults.

They take their time from the given clock and from trio, so that a test in trio's
virtual time simulates an outage of minutes in milliseconds.
"""

from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field

import trio
from expression import Error, Ok, Result

from radishfield.core import (
    Clock,
    Fault,
    Host,
    HostListing,
    ResultCode,
    StoredListing,
    StoredObject,
    WatchBatch,
    fault,
)

MAX_VALUE_BYTES = 1 << 20
"""The platform accepts values of up to one megabyte."""

WRITES_PER_S = 400
READS_PER_S = 2_000
"""Rate limits of the platform: several hundred writes and 2,000 reads a second."""

WATCH_LOG_LENGTH = 1_000
"""Number of changes kept for watches; a watch from before them reports a gap."""


@dataclass(slots=True)
class PlatformFaults:
    """Switches that tests and the control route set.

    Attributes
    ----------
    down : bool
        Every call fails at once and has no effect.
    delay_s : float
        Every call takes this much longer.
    lost_answers : int
        Number of next writes that take effect but whose answers are lost.
    lost_writes : int
        Number of next writes that are lost before they take effect, also
        without an answer.
    skipped_events : int
        Number of next changes that are reported to no watch.
    stale_reads : int
        Number of next reads that return the previous version.
    host_list_lag_s : float
        Age of the list of hosts that is returned.
    cut_off : set of str
        Callers that cannot reach the platform.
    """

    down: bool = False
    delay_s: float = 0.0
    lost_answers: int = 0
    lost_writes: int = 0
    skipped_events: int = 0
    stale_reads: int = 0
    host_list_lag_s: float = 0.0
    cut_off: set[str] = field(default_factory=set)


@dataclass(slots=True)
class PlatformState:
    """State that all callers of one fake platform share.

    ``calls_by_caller_and_kind`` counts each call; a waiting watch is one call.
    """

    clock: Clock
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    revision: int = 0
    objects_by_key: dict[tuple[str, str], StoredObject] = field(default_factory=dict)
    previous_by_key: dict[tuple[str, str], StoredObject] = field(default_factory=dict)
    log: deque[tuple[int, StoredObject]] = field(
        default_factory=lambda: deque(maxlen=WATCH_LOG_LENGTH)
    )
    host_lists: list[tuple[float, tuple[Host, ...]]] = field(default_factory=list)
    calls_by_caller_and_kind: Counter[tuple[str, str]] = field(default_factory=Counter)
    rate_second: int = 0
    rate_by_is_write: Counter[bool] = field(default_factory=Counter)
    changed: trio.Event = field(default_factory=trio.Event)

    def wake(self) -> None:
        """Make waiting watches check for changes."""
        self.changed.set()
        self.changed = trio.Event()


class FakePlatform:
    """A `PlatformPort` in memory.

    Parameters
    ----------
    clock : Clock
        Clock for the rate limits and for the lag of the host list.
    caller : str
        Name under which calls are counted; see `as_caller`.
    """

    __slots__ = ("_caller", "state")

    def __init__(self, clock: Clock, caller: str = "", state: PlatformState = None):
        self._caller = caller
        self.state = state or PlatformState(clock)

    @property
    def faults(self) -> PlatformFaults:
        """Return the switches, which tests change in place."""
        return self.state.faults

    def as_caller(self, caller: str) -> "FakePlatform":
        """Return a port to the same platform for another caller."""
        return FakePlatform(self.state.clock, caller, self.state)

    def set_hosts(self, hosts: Sequence[Host]) -> None:
        """Replace the list of hosts; callers receive it after the lag."""
        self.state.host_lists.append((self.state.clock.now(), tuple(hosts)))

    def set_down(self, down: bool) -> None:
        """Set whether the platform is down; if so, waiting watches fail at once."""
        self.faults.down = down
        self.state.wake()

    def calls(self, caller: str | None = None, kind: str | None = None) -> int:
        """Return the number of calls, of one caller or kind or of all."""
        return sum(
            count
            for (counted_caller, counted_kind), count in (
                self.state.calls_by_caller_and_kind.items()
            )
            if caller in (None, counted_caller) and kind in (None, counted_kind)
        )

    async def read(self, kind: str, name: str) -> Result[StoredObject, Fault]:
        """Return an object, or ``OBJECT_NOT_FOUND``."""
        problem = await self._admit_call("read", is_write=False)
        if problem is not None:
            return Error(problem)
        stored = self.state.objects_by_key.get((kind, name))
        if self.faults.stale_reads > 0:
            self.faults.stale_reads -= 1
            stored = self.state.previous_by_key.get((kind, name))
        if stored is None:
            return Error(fault(ResultCode.OBJECT_NOT_FOUND, f"{kind}/{name}"))
        return Ok(stored)

    async def write(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> Result[StoredObject, Fault]:
        """Write if the stored version is the expected one."""
        problem = await self._admit_call("write", is_write=True)
        if problem is not None:
            return Error(problem)
        if len(value) > MAX_VALUE_BYTES:
            return Error(fault(ResultCode.VALUE_TOO_LARGE, f"{len(value)} bytes"))
        if self.faults.lost_writes > 0:
            self.faults.lost_writes -= 1
            return Error(
                fault(ResultCode.PLATFORM_AMBIGUOUS, "simulated loss of the write")
            )
        current = self.state.objects_by_key.get((kind, name))
        version = 0 if current is None else current.version
        if version != expected_version:
            detail = f"{kind}/{name} is at {version}, not {expected_version}"
            return Error(fault(ResultCode.PLATFORM_CONFLICT, detail))
        stored = self._store(StoredObject(kind, name, version + 1, value), current)
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            return Error(
                fault(
                    ResultCode.PLATFORM_AMBIGUOUS,
                    "simulated loss of the answer to a write",
                )
            )
        return Ok(stored)

    async def list(self, kind: str) -> Result[StoredListing, Fault]:
        """Return all objects of a kind."""
        problem = await self._admit_call("list", is_write=False)
        if problem is not None:
            return Error(problem)
        objects = tuple(
            stored
            for (stored_kind, _), stored in self.state.objects_by_key.items()
            if stored_kind == kind
        )
        return Ok(StoredListing(self.state.revision, objects))

    async def watch(
        self, kind: str, after: int, timeout_s: float
    ) -> Result[WatchBatch, Fault]:
        """Wait for changes after a revision; skipped events are not reported."""
        problem = await self._admit_call("watch", is_write=False)
        if problem is not None:
            return Error(problem)
        log = self.state.log
        if len(log) == WATCH_LOG_LENGTH and after < log[0][0] - 1:
            return Error(fault(ResultCode.WATCH_GAP, f"after {after}"))
        with trio.move_on_after(timeout_s):
            while not self._changes(kind, after) and not self._is_unreachable():
                await self.state.changed.wait()
        if self._is_unreachable():
            return Error(
                fault(
                    ResultCode.PLATFORM_UNAVAILABLE,
                    "platform became unreachable during the watch",
                )
            )
        return Ok(WatchBatch(self.state.revision, self._changes(kind, after)))

    async def hosts(self) -> Result[HostListing, Fault]:
        """Return the list of hosts as of ``host_list_lag_s`` ago."""
        problem = await self._admit_call("hosts", is_write=False)
        if problem is not None:
            return Error(problem)
        visible_until = self.state.clock.now() - self.faults.host_list_lag_s
        hosts: tuple[Host, ...] = ()
        for set_at, host_list in self.state.host_lists:
            if set_at <= visible_until:
                hosts = host_list
        return Ok(HostListing(hosts))

    def _store(self, stored: StoredObject, current: StoredObject | None):
        state = self.state
        key = (stored.kind, stored.name)
        state.revision += 1
        state.objects_by_key[key] = stored
        if current is not None:
            state.previous_by_key[key] = current
        if self.faults.skipped_events > 0:
            self.faults.skipped_events -= 1
            return stored
        state.log.append((state.revision, stored))
        state.wake()
        return stored

    def _changes(self, kind: str, after: int) -> tuple[StoredObject, ...]:
        newest_by_name = {
            stored.name: stored
            for revision, stored in self.state.log
            if revision > after and stored.kind == kind
        }
        return tuple(newest_by_name.values())

    def _is_unreachable(self) -> bool:
        return self.faults.down or self._caller in self.faults.cut_off

    async def _admit_call(self, call: str, is_write: bool) -> Fault | None:
        """Count and delay the call; refuse it if down, cut off or over the rate."""
        await trio.lowlevel.checkpoint()
        self.state.calls_by_caller_and_kind[(self._caller, call)] += 1
        if self.faults.delay_s > 0:
            await trio.sleep(self.faults.delay_s)
        if self._is_unreachable():
            return fault(ResultCode.PLATFORM_UNAVAILABLE, "down", retry_after_s=1.0)
        if self._is_over_rate(is_write):
            return fault(ResultCode.PLATFORM_RATE_LIMITED, call, retry_after_s=1.0)
        return None

    def _is_over_rate(self, is_write: bool) -> bool:
        state = self.state
        second = int(state.clock.now())
        if second != state.rate_second:
            state.rate_second = second
            state.rate_by_is_write.clear()
        state.rate_by_is_write[is_write] += 1
        limit = WRITES_PER_S if is_write else READS_PER_S
        return state.rate_by_is_write[is_write] > limit
