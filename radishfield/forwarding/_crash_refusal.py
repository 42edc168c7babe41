"""The answer to a request that is refused for the targets that ended under it."""

from radishfield.core import Fault, Outcome, ResultCode
from radishfield.forwarding._call import Call
from radishfield.forwarding._view import RouterView
from radishfield.limits import Verdict
from radishfield.telemetry import log_event


def crash_refusal(view: RouterView, call: Call) -> Fault | None:
    """Return why a call is sent to no further target, or None."""
    now = view.clock.now()
    verdict = view.crashes.verdict(call.digest, now)
    if verdict is None:
        return None
    log_event(
        "request.refused",
        request=call.facts.request_id,
        digest=call.digest,
        ends=ends_words(verdict, now),
        may_have_run=call.may_have_run,
    )
    return Fault(
        ResultCode.CRASHES_TARGETS,
        f"{len(verdict.ends)} targets ended under it",
        verdict.until - now,
        Outcome.UNKNOWN if call.may_have_run else Outcome.NOT_RUN,
    )


def ends_words(verdict: Verdict, now: float) -> str:
    """Return the ends that were counted, for a log line."""
    return ", ".join(
        f"{end.target_id} {now - end.at:.1f} s ago by {end.told_by}"
        for end in verdict.ends
    )
