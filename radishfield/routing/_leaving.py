"""Whether a host that was told to leave still takes a request.

Load pattern: a host leaves while the balancer, and callers with kept connections,
go on sending for seconds.  Refused at once, that work would fail on a healthy
fleet; taken to the end, streams that began late would be cut off with the process.
"""

NOTICE_S = 2.8
"""The balancer asks once a second and takes a host out after two misses; until then
everything is taken, and callers count on it for three seconds."""

END_MARGIN_S = 0.5
"""Time before the supervisor's kill that is left for the process to end itself."""

LAST_REFUSALS_S = 0.3
"""Time before its own end in which a host refuses what still waits at it."""


def takes_work(leaving_for_s: float | None, grace_s: float, longest_s: float) -> bool:
    """Return whether a request is taken.

    Parameters
    ----------
    leaving_for_s : float or None
        Seconds since the host was told to leave; None while it stays.
    longest_s : float
        Longest time that the request may take.
    """
    if leaving_for_s is None or leaving_for_s < NOTICE_S:
        return True
    return leaving_for_s + longest_s <= grace_s - END_MARGIN_S


def ends_waits(leaving_for_s: float | None, grace_s: float) -> bool:
    """Return whether requests that wait are refused, since the host ends soon.

    Load pattern: all paths are full while a host leaves.  What still waits when the
    process ends would be closed without an answer, though nothing of it ran.
    """
    if leaving_for_s is None:
        return False
    return leaving_for_s >= grace_s - END_MARGIN_S - LAST_REFUSALS_S
