"""Decides whether a host that is shutting down still accepts a request.

While a host leaves, the load balancer and callers with persistent connections go on
sending requests for seconds.  If these were refused at once, they would fail on a
healthy fleet; if they were accepted until the end, streams that started late would be
aborted when the process exits.
"""

NOTICE_S = 2.8
"""Time for which a leaving host accepts all requests.  The load balancer probes once a
second and removes a host after two failures; callers rely on acceptance for three
seconds."""

END_MARGIN_S = 0.5
"""Time reserved for the process to exit before the supervisor kills it."""

LAST_ANSWER_S = 0.25
"""Time that the answer to a request which takes all of its time has until the process
exits.  A busy host finds the end of that time, and writes the answer, somewhat late."""

FINAL_REFUSAL_S = 0.3
"""Time before its exit in which a host refuses requests that are still waiting."""


def takes_work(
    leaving_for_s: float | None, grace_s: float, max_duration_s: float
) -> bool:
    """Return whether a request is accepted.

    Parameters
    ----------
    leaving_for_s : float or None
        Seconds since the host was ordered to leave; None if it was not.
    max_duration_s : float
        Longest time that the request may take.
    """
    if leaving_for_s is None or leaving_for_s < NOTICE_S:
        return True
    answered_s = leaving_for_s + max_duration_s + LAST_ANSWER_S
    return answered_s <= grace_s - END_MARGIN_S


def ends_waits(leaving_for_s: float | None, grace_s: float) -> bool:
    """Return whether waiting requests are refused because the host exits soon.

    All paths may be full while a host leaves.  The connections of requests that still
    wait when the process exits would be closed without an answer, although none of
    these requests was executed.
    """
    if leaving_for_s is None:
        return False
    return leaving_for_s >= grace_s - END_MARGIN_S - FINAL_REFUSAL_S
