"""What came of the attempts of one stream, and whether another may follow."""

import msgspec
from expression import Result

from radishfield.core import Fault, ResultCode
from radishfield.forwarding._call import Call
from radishfield.forwarding._tries import Tries, target_error
from radishfield.forwarding._view import FULL_S, LONGEST_FULL_S
from radishfield.routing import RouteRule

NO_PATH_RETRY_S = 0.8
MORE_REFUSALS = 3
MORE_RESUMES = 2
"""Resumes beside the attempts of the route where the earlier target was lost."""


class WholeFailure(msgspec.Struct, frozen=True):
    """A target's own answer that is no stream."""

    status: int
    headers: list
    body: bytes


class StreamTries(Tries):
    """The attempts of one stream; keeps the first targets that broke one.

    Attributes
    ----------
    excluded : set of str
        First targets that broke an attempt.
    unreached_zones : set of str
        Other zones of which a target could not be reached.
    """

    __slots__ = ("excluded", "unreached_zones")

    def __init__(self):
        super().__init__(NO_PATH_RETRY_S)
        self.excluded: set[str] = set()
        self.unreached_zones: set[str] = set()

    def leave_zone(self, zone: str) -> None:
        """Keep to other zones from now on.

        Load pattern: a zone is cut off that holds the fastest targets.  Each path
        that was cheapest begins at another one of them, and a stream that tries one
        after the other is refused although its own zone could serve it.
        """
        self.unreached_zones.add(zone)

    def take(self, result: Result[WholeFailure, Fault], first_id: str) -> None:
        """Note an attempt that failed, with the first target of its path."""
        failed = target_error(result.ok.status) if result.is_ok() else result.error
        self.count(failed)
        # A target that refused for want of room may have some in a moment.
        if self.problem.code is not ResultCode.TARGET_REFUSED:
            self.excluded.add(first_id)

    def over(self, call: Call, now: float) -> bool:
        """Return whether no further attempt is made.

        Refusals end a stream that has begun only once its caller leaves: nothing ran,
        and the caller has no use for half an answer.
        """
        route = call.route
        if self.runs and not route.repeatable:
            return True
        most_runs = route.max_attempts
        if self.problem.code is not ResultCode.TARGET_ERROR:
            most_runs += MORE_RESUMES
        if self.runs >= most_runs:
            return True
        if self.refusals <= MORE_REFUSALS:
            return False
        return not call.responder.started or now >= call.caller_leaves_at

    def pause_s(self) -> float:
        """Return the pause before the next attempt, longer after many refusals.

        Each of them is a repeat that another stream lacks.
        """
        more = self.refusals - MORE_REFUSALS
        return min(LONGEST_FULL_S, FULL_S * 2 ** (more - 1)) if more > 0 else 0.0

    def allows_another(self, route: RouteRule) -> bool:
        """Return whether an attempt that runs may be followed by another one."""
        return route.repeatable and self.runs + 1 < route.max_attempts + MORE_RESUMES
