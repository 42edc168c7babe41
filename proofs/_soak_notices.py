"""Checks that hosts heed what a soak's targets tell them in their answers.

A target that has asked a host for a rest gets at most two requests of it between half a
second later and the end of the rest.  One that has said in an answer that it leaves
gets no request which a caller sent the same host over two seconds later.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from proofs._soak_judge import FaultLog
from standins.routed_targets import LayeredTarget, PlainTarget

ON_THEIR_WAY_S = 0.5
MAX_IN_A_REST = 2
DRAIN_S = 2.0
PASSED_ON_S = 0.2
"""Time in which a host has passed an answer on to its caller."""


@dataclass(slots=True)
class _Leaving:
    target: PlainTarget | LayeredTarget
    since: float
    until: float


@dataclass(slots=True)
class NoticeLog:
    """The requests that callers sent, and the targets that said they leave."""

    router_by_request: dict[str, str] = field(default_factory=dict)
    sent_at_by_request: dict[str, float] = field(default_factory=dict)
    rests: int = 0
    _leaving: list[_Leaving] = field(default_factory=list)

    def record_request(self, request_id: str, router: str, sent_at: float) -> None:
        """Record a caller's request to a router."""
        self.router_by_request[request_id] = router
        self.sent_at_by_request[request_id] = sent_at

    def record_leaving(self, target, since: float, until: float) -> None:
        """Record that a target said so in its answers for some time."""
        self._leaving.append(_Leaving(target, since, until))

    def find_violations(self, targets, fault_log: FaultLog) -> Iterator[str]:
        """Yield what hosts sent against the notices of targets."""
        for target in targets:
            yield from self._sent_in_rests(target, fault_log)
        for leaving in self._leaving:
            yield from self._sent_to_leaving(leaving, fault_log)

    def _sent_in_rests(self, target, fault_log: FaultLog) -> Iterator[str]:
        for at, request_id, rest in target.notices.refusals:
            router = self.router_by_request.get(request_id)
            if router is None or not rest.isdigit():
                continue
            until = at + int(rest)
            if fault_log.overlaps((router, target.id), at, until):
                continue
            count = sum(
                at + ON_THEIR_WAY_S < arrived < until
                and self.router_by_request.get(other) == router
                for arrived, other in target.notices.arrivals
            )
            if count > MAX_IN_A_REST:
                yield f"{target.id}: {count} requests of {router} in a rest of {rest} s"

    def _sent_to_leaving(self, leaving: _Leaving, fault_log: FaultLog) -> Iterator[str]:
        told_at: dict[str, float] = {}
        for at, request_id in leaving.target.notices.farewells:
            router = self.router_by_request.get(request_id)
            if router is not None and leaving.since <= at < leaving.until:
                told_at.setdefault(router, at + PASSED_ON_S)
        for arrived, request_id in leaving.target.notices.arrivals:
            router = self.router_by_request.get(request_id, "")
            if router not in told_at or not arrived < leaving.until:
                continue
            late_s = self.sent_at_by_request[request_id] - told_at[router]
            names = (router, leaving.target.id)
            if late_s > DRAIN_S and not fault_log.overlaps(
                names, told_at[router], arrived
            ):
                yield (
                    f"{leaving.target.id}: {request_id} of {router}, sent"
                    f" {late_s:.1f} s after it said that it leaves"
                )
