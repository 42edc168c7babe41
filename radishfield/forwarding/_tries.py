"""Outcomes of the attempts of one request."""

from radishfield.core import Fault, Outcome, ResultCode, fault

EXTRA_RUNS = 2
"""Attempts allowed beyond the route's if the earlier target is unreachable."""


class Attempts:
    """The last failure, and how many attempts may have run.

    Attributes
    ----------
    refusals, runs : int
        Attempts that are known not to have run, and those that may have.
    """

    __slots__ = ("problem", "refusals", "runs")

    def __init__(self, retry_s: float):
        self.problem = fault(ResultCode.NO_TARGET, "", retry_s)
        self.refusals = 0
        self.runs = 0

    def count(self, problem: Fault) -> None:
        """Count a failed attempt."""
        self.problem = problem
        if problem.outcome is Outcome.NOT_RUN:
            self.refusals += 1
        else:
            self.runs += 1


def target_error(status: int) -> Fault:
    """Return the fault for an error status that a target answered with."""
    return fault(ResultCode.TARGET_ERROR, f"status {status}")
