"""Requests that crash targets, in a soak: who sent which, and what ended under them.

Three targets that ended under one request are proof.  Later than `CONTACT_S` after the
third, hosts that were in touch all the while send it on at most three times more.
"""

from collections import defaultdict
from dataclasses import dataclass

from proofs._soak_judge import Harms, StreamEnd

PROVEN_ENDS = 3
MORE_ENDS = 3
CONTACT_S = 3.0
"""Time in which every host that is in touch has heard of an end."""


@dataclass(slots=True, frozen=True)
class _Crash:
    target_id: str
    at: float
    router: str


class CrashLog:
    """The ends of targets under each request, in their order."""

    def __init__(self):
        self._crashes_by_path: dict[str, list[_Crash]] = defaultdict(list)
        self._way_by_request: dict[str, tuple[str, str]] = {}

    def __len__(self) -> int:
        return sum(len(crashes) for crashes in self._crashes_by_path.values())

    def sent(self, request_id: str, path: str, router: str) -> None:
        """Note which way an attempt of a caller goes."""
        self._way_by_request[request_id] = (path, router)

    def ended(self, target_id: str, request_id: str, at: float) -> None:
        """Note that a target ended under a request."""
        path, router = self._way_by_request[request_id]
        self._crashes_by_path[path].append(_Crash(target_id, at, router))

    def findings(self, harms: Harms) -> list[str]:
        """Return which requests were sent on too often by hosts in touch."""
        found = []
        for path, crashes in self._crashes_by_path.items():
            if len(crashes) < PROVEN_ENDS:
                continue
            proven_at = crashes[PROVEN_ENDS - 1].at
            late = [
                crash
                for crash in crashes[PROVEN_ENDS:]
                if crash.at > proven_at + CONTACT_S and _in_touch(crash, harms)
            ]
            if len(late) > MORE_ENDS:
                times = ", ".join(f"{crash.at - proven_at:.1f} s" for crash in late)
                found.append(f"{path}: sent on after {times}; {len(crashes)} ended")
        return found


def _in_touch(crash: _Crash, harms: Harms) -> bool:
    since = crash.at - CONTACT_S
    return not harms.excuse(
        StreamEnd("", crash.router, since, crash.at, 0, False, False), ()
    )
