"""Records a soak's requests that crash targets: their routers and the crashes.

Crashes of three targets under one request are proof that it crashes them, and of five
under requests with one part in their prompts.  Later than `REPORT_DELAY_S` after the
last of these, hosts that were connected all the while forward them at most three times
more.
"""

from collections import defaultdict
from dataclasses import dataclass

from proofs._soak_judge import FaultLog, StreamEnd

PROOF_CRASHES = 3
PROOF_CRASHES_OF_PART = 5
PART_CAUSE = "part "
"""Begins the name of a cause that is a part of prompts, not a path."""
MAX_LATE_CRASHES = 3
REPORT_DELAY_S = 3.0
"""Time within which every connected host has received the report of a crash."""


@dataclass(slots=True, frozen=True)
class _Crash:
    target_id: str
    at: float
    router: str


class CrashLog:
    """The crashes of targets by their cause, in their order."""

    def __init__(self):
        self._crashes_by_cause: dict[str, list[_Crash]] = defaultdict(list)
        self._cause_and_router_by_request: dict[str, tuple[str, str]] = {}

    def __len__(self) -> int:
        return sum(len(crashes) for crashes in self._crashes_by_cause.values())

    def record_request(self, request_id: str, cause: str, router: str) -> None:
        """Record the router of a caller's attempt, and what makes it crash targets."""
        self._cause_and_router_by_request[request_id] = (cause, router)

    def record_crash(self, target_id: str, request_id: str, at: float) -> None:
        """Record that a target crashed under a request."""
        cause, router = self._cause_and_router_by_request[request_id]
        self._crashes_by_cause[cause].append(_Crash(target_id, at, router))

    def find_violations(self, fault_log: FaultLog) -> list[str]:
        """Return the requests that connected hosts forwarded too often."""
        violations = []
        for cause, crashes in self._crashes_by_cause.items():
            proof = PROOF_CRASHES
            if cause.startswith(PART_CAUSE):
                proof = PROOF_CRASHES_OF_PART
            if len(crashes) < proof:
                continue
            proven_at = crashes[proof - 1].at
            late = [
                crash
                for crash in crashes[proof:]
                if crash.at > proven_at + REPORT_DELAY_S
                and _was_connected(crash, fault_log)
            ]
            if len(late) > MAX_LATE_CRASHES:
                times = ", ".join(f"{crash.at - proven_at:.1f} s" for crash in late)
                violations.append(
                    f"{cause}: sent on after {times}; {len(crashes)} ended"
                )
        return violations


def _was_connected(crash: _Crash, fault_log: FaultLog) -> bool:
    since = crash.at - REPORT_DELAY_S
    return not fault_log.is_excused(
        StreamEnd("", crash.router, since, crash.at, 0, False, False), ()
    )
