"""Compares what callers of a soak received with what stuttering targets answered.

A success, and any answer that bears a target's signature, has the status, signature and
body of a run of its own request.  A plain request whose target answered it with a
success, whole and with no bytes before it on its connection, is served.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from proofs._soak_judge import STORE, FaultLog
from standins.stuttering_server import Run

SUCCESS = 200


@dataclass(slots=True, frozen=True)
class Received:
    """What the caller of one request received."""

    request_id: str
    kind: str
    router: str
    sent_at: float
    ended_at: float
    status: int
    stamp: bytes
    body: bytes
    complete: bool


@dataclass(slots=True)
class AnswerLog:
    """The answers that callers received."""

    _received: list[Received] = field(default_factory=list)

    def record(self, received: Received) -> None:
        """Record what a caller received."""
        self._received.append(received)

    def count_served(self, kind: str, runs_by_request) -> tuple[int, int]:
        """Return how many requests of a kind got a success, and how many ran."""
        served = [
            received.complete and received.status == SUCCESS
            for received in self._received
            if received.kind == kind and received.request_id in runs_by_request
        ]
        return sum(served), len(served)

    def find_violations(self, runs_by_request, fault_log: FaultLog) -> Iterator[str]:
        """Yield answers that no run gave, and sound ones that no caller received."""
        for received in self._received:
            runs = runs_by_request.get(received.request_id, [])
            if received.complete and (received.stamp or received.status == SUCCESS):
                yield from _find_foreign_answer(received, runs)
            if received.kind != "stream":
                yield from _find_lost_answer(received, runs, fault_log)


def is_sound(run: Run) -> bool:
    """Return whether a run was answered with a success that nothing spoiled."""
    return run.status == SUCCESS and bool(run.stamp) and run.whole and not run.spoiled


def _find_foreign_answer(received: Received, runs: Iterable[Run]) -> Iterator[str]:
    same = [run for run in runs if run.status == received.status]
    if not same:
        yield (
            f"{received.request_id}: {received.status} where the target answered"
            f" {[run.status for run in runs]}, at {received.router}"
        )
    elif received.stamp not in {run.stamp for run in same}:
        yield f"{received.request_id}: signed {received.stamp!r}, which it did not run"
    elif received.kind == "stream":
        own = b" of " + received.request_id.encode()
        events = [line for line in received.body.split(b"\n") if b"token" in line]
        if not all(event.endswith(own) for event in events):
            yield f"{received.request_id}: events of another run in {received.body!r}"
    elif not any(
        run.whole and (run.stamp, run.body) == (received.stamp, received.body)
        for run in same
    ):
        yield f"{received.request_id}: body {received.body[:60]!r}, which no run sent"


def _find_lost_answer(
    received: Received, runs: Iterable[Run], fault_log: FaultLog
) -> Iterator[str]:
    if received.complete and received.status == SUCCESS:
        return
    sound = [run.target_id for run in runs if is_sound(run)]
    names = (received.router, STORE, *sound)
    if sound and not fault_log.overlaps(names, received.sent_at, received.ended_at):
        yield (
            f"{received.request_id}: {received.status} though {sound[0]} served it,"
            f" {len(runs)} runs, at {received.router}"
        )
