"""Outcomes of the attempts of one stream, and whether another attempt may follow."""

import msgspec
from expression import Result

from radishfield.core import Fault, ResultCode
from radishfield.forwarding._call import Call
from radishfield.forwarding._tries import EXTRA_RUNS, Attempts, target_error
from radishfield.forwarding._view import FULL_S, MAX_FULL_S
from radishfield.routing import RouteRule

NO_PATH_RETRY_S = 0.8
FULL_CODES = (
    ResultCode.TARGET_REFUSED,
    ResultCode.TARGETS_LIMITED,
    ResultCode.TARGETS_RESTING,
)
MAX_REFUSALS = 3


class TargetFailure(msgspec.Struct, frozen=True):
    """An answer of a target that is an error and not a stream."""

    status: int
    headers: list
    body: bytes


class StreamAttempts(Attempts):
    """The attempts of one stream, with the first targets of failed attempts.

    Attributes
    ----------
    excluded : set of str
        First targets of failed attempts.
    unreachable_zones : set of str
        Other zones with a target that could not be reached.
    """

    __slots__ = ("excluded", "unreachable_zones")

    def __init__(self):
        super().__init__(NO_PATH_RETRY_S)
        self.excluded: set[str] = set()
        self.unreachable_zones: set[str] = set()

    def avoid_zone(self, zone: str) -> None:
        """Prefer other zones for later attempts.

        When the zone with the fastest targets is partitioned, each cheapest path
        starts at another one of them.  A stream that tries them one by one is refused
        although its own zone could serve it.
        """
        self.unreachable_zones.add(zone)

    def note_failure(self, result: Result[TargetFailure, Fault], first_id: str) -> None:
        """Record a failed attempt, with the first target of its path."""
        failed = target_error(result.ok.status) if result.is_ok() else result.error
        self.count(failed)
        # A target that refused for lack of capacity may soon have some again.
        if self.problem.code not in FULL_CODES:
            self.excluded.add(first_id)

    def is_exhausted(self, call: Call, now: float) -> bool:
        """Return whether no further attempt is made.

        Refusals end a started stream only when its caller times out: nothing ran, and
        the caller cannot use a truncated answer.
        """
        route = call.route
        if self.runs and not route.repeatable:
            return True
        max_runs = route.max_attempts
        if self.problem.code is not ResultCode.TARGET_ERROR:
            max_runs += EXTRA_RUNS
        if self.runs >= max_runs:
            return True
        if self.refusals <= MAX_REFUSALS:
            return False
        return not call.responder.started or now >= call.caller_timeout_at

    def pause_s(self) -> float:
        """Return the pause before the next attempt, longer after many refusals.

        Each retry uses retry budget that another stream then lacks.
        """
        excess = self.refusals - MAX_REFUSALS
        return min(MAX_FULL_S, FULL_S * 2 ** (excess - 1)) if excess > 0 else 0.0

    def allows_retry(self, route: RouteRule) -> bool:
        """Return whether another attempt may follow the running one."""
        return route.repeatable and self.runs + 1 < route.max_attempts + EXTRA_RUNS
