"""Defines the error value that results carry."""

from dataclasses import dataclass

from radishfield.core._codes import OUTCOME_BY_CODE, Outcome, ResultCode


@dataclass(slots=True, frozen=True)
class Fault:
    """A numbered failure.

    Attributes
    ----------
    code : ResultCode
        What happened.
    detail : str
        One line for a person; never a traceback.
    retry_after_s : float or None
        Seconds after which a retry has a fair chance of success; None where
        a retry would not help.
    proven_outcome : Outcome or None
        Set only where the point of failure proves more than the code alone
        does, for example a broken connection before the first byte was sent.
    target_id : str
        The target at fault where one was named, for example by the first stage
        that detected its successor's crash; empty where not known.
    """

    code: ResultCode
    detail: str = ""
    retry_after_s: float | None = None
    proven_outcome: Outcome | None = None
    target_id: str = ""

    @property
    def outcome(self) -> Outcome:
        """Return what the caller may assume about the request."""
        return self.proven_outcome or OUTCOME_BY_CODE[self.code]


def fault(code: ResultCode, detail: str = "", retry_after_s: float | None = None):
    """Return a `Fault` with the outcome that its code implies."""
    return Fault(code, detail, retry_after_s)
