"""Failed answers of plain targets, added up over all hosts.

A target that fails part of its requests while its health check succeeds is found by the
share of failures.  With many hosts each sees a few requests of a target, and each would
have to fail several of its own before it avoids the target.  So hosts report how many
answers failed recently, and each avoids a target for what all of them have seen.
"""

import math
from collections.abc import Iterable

import msgspec

DECAY_S = 10.0
"""Time in which the weight of an answer falls to a third, so that a target which has
recovered is tried again soon."""

FRESH_S = 2.5
"""Time for which another host's report counts."""

MIN_ANSWERS = 1.5
"""Weight of the answers from which on the share of failures means anything."""

MIN_REPORTED = 0.3
"""Weight of the failures from which on a target is reported."""

MAX_REPORTED = 16
"""Maximum number of targets in a report, those with the most failures first."""


class AnswerCounts(msgspec.Struct, frozen=True, array_like=True):
    """Recent answers of a target to one host, the latest with the most weight."""

    target_id: str
    failed: float
    answers: float


class _Recent(msgspec.Struct):
    failed: float = 0.0
    answers: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        weight = math.exp(-max(0.0, now - self.at) / DECAY_S)
        self.failed *= weight
        self.answers *= weight
        self.at = now


class _Report(msgspec.Struct):
    counts: list[AnswerCounts]
    at: float


class SharedFailures(msgspec.Struct):
    """Counts of failed answers at this host, and as other hosts report them."""

    _own_by_id: dict[str, _Recent] = msgspec.field(default_factory=dict)
    _report_by_host: dict[str, _Report] = msgspec.field(default_factory=dict)

    def note(self, target_id: str, failed: bool, now: float) -> None:
        """Count an answer to this host."""
        recent = self._own_by_id.setdefault(target_id, _Recent(at=now))
        recent.decay(now)
        recent.failed += failed
        recent.answers += 1

    def learn(self, host_id: str, counts: list[AnswerCounts], now: float) -> None:
        """Replace what another host has reported."""
        if counts:
            self._report_by_host[host_id] = _Report(counts, now)
        else:
            self._report_by_host.pop(host_id, None)

    def own(self, now: float) -> list[AnswerCounts]:
        """Return the targets with failed answers, to report them to other hosts."""
        counts = []
        for target_id, recent in list(self._own_by_id.items()):
            recent.decay(now)
            if recent.answers < MIN_REPORTED:
                del self._own_by_id[target_id]
            elif recent.failed >= MIN_REPORTED:
                counts.append(
                    AnswerCounts(
                        target_id, round(recent.failed, 1), round(recent.answers, 1)
                    )
                )
        return sorted(counts, key=lambda item: -item.failed)[:MAX_REPORTED]

    def share_by_id(self, now: float) -> dict[str, float]:
        """Return the share of failed answers over all hosts, by target."""
        total_by_id: dict[str, _Recent] = {}
        for counts in self._fresh_counts(now):
            total = total_by_id.setdefault(counts.target_id, _Recent())
            total.failed += counts.failed
            total.answers += counts.answers
        return {
            target_id: min(1.0, total.failed / total.answers)
            for target_id, total in total_by_id.items()
            if total.answers >= MIN_ANSWERS
        }

    def _fresh_counts(self, now: float) -> Iterable[AnswerCounts]:
        yield from self.own(now)
        for host_id, report in list(self._report_by_host.items()):
            if now - report.at < FRESH_S:
                yield from report.counts
            else:
                del self._report_by_host[host_id]
