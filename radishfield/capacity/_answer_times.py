"""Answer times of plain targets, as all hosts observe them.

Load: a few targets with few slots each, of which one turns several times slower, or has
just started.  By its used slots it looks like the others until it is full, and callers
that wait less than a second are late by then.  A host alone sees a few of its answers a
second; with those of all hosts a slow target is found within some tenths.

A request that is still unanswered, or was given up, counts with the time that it has
waited: a target that answers after a second is found before its first answer.
"""

import enum
import math
from collections import deque
from collections.abc import Iterable, Mapping

import msgspec

from radishfield.capacity._data import PlainTargetUse

KEPT_S = 2.0
"""Time for which an answer counts: a few dozen answers of all hosts.  A target that
gets no requests since it was slow is tried again after this.  With twice the time, a
target that was slow is avoided for seconds after, and the others lack room."""

FRESH_S = 1.0
"""Time for which an answer shows how fast a target can be now."""

MAX_KEPT = 64
"""Answers kept for each target."""

MAX_ANSWER_S = 60.0
"""Longest answer time that is believed."""

MAX_TARGETS = 16
"""Targets that are told to other hosts, or taken from one: at up to 50 bytes each, a
tenth of a datagram, which holds a host's whole status."""

REPORT_LIFE_S = 1.5
"""Age from which another host's report counts for nothing."""

SUM_LIFE_S = 0.1
"""Age from which the sum of all reports is taken anew: with hundreds of hosts it costs
more than the choice that it is for."""

MIN_ANSWERS = 3
"""Answers from which a target's time is known: single ones scatter fivefold."""

UNKNOWN_WAIT_S = 0.1
"""Wait from which a request counts where no answer is known to compare it with: the
time of one that was just sent would make its target look the fastest of all."""

MAX_LIMIT = 100_000
"""Largest limit on what a target holds that is believed."""

GIVEN_UP_SHARE = 0.9
"""Share of the mean answer time from which a request that was given up counts: it would
have taken longer than most."""

Incarnation = tuple[str, int]


class RequestEnd(enum.Enum):
    """How a request to a plain target ended.

    Attributes
    ----------
    ANSWERED : str
        The target served it.
    GIVEN_UP : str
        Nobody waited for it any longer; its answer would have taken more time still.
    FAILED : str
        It was refused, or failed; the time says nothing of how fast a target serves.
    """

    ANSWERED = "answered"
    GIVEN_UP = "given-up"
    FAILED = "failed"


class KnownTimes(msgspec.Struct, frozen=True):
    """What is known of one target's answer times.

    Attributes
    ----------
    mean_s : float
        Zero if there are no answers.
    answers : int
        Answers of all hosts from the last `KEPT_S`, and requests that already waited
        longer than these took.
    fastest_s : float
        Shortest answer time from the last `FRESH_S`.
    fresh : int
        Answers from the last `FRESH_S`.
    waited_s : float
        Longest wait of requests without an answer, in the last `FRESH_S`.
    waits : int
        Requests that waited nearly as long.
    served : int
        The answers without this host's requests that still wait.
    """

    mean_s: float = 0.0
    answers: int = 0
    fastest_s: float = math.inf
    fresh: int = 0
    waited_s: float = 0.0
    waits: int = 0
    served: int = 0


class _Answer(msgspec.Struct, frozen=True):
    at: float
    taken_s: float
    given_up: bool


class _Report(msgspec.Struct, frozen=True):
    at: float
    use_by_incarnation: Mapping[Incarnation, PlainTargetUse]


class AnswerTimes(msgspec.Struct):
    """Answer times by incarnation of plain targets."""

    _answers: dict[Incarnation, deque[_Answer]] = msgspec.field(default_factory=dict)
    _sent_at: dict[Incarnation, dict[int, float]] = msgspec.field(default_factory=dict)
    _report_by_host: dict[str, _Report] = msgspec.field(default_factory=dict)
    _reported: dict[Incarnation, KnownTimes] = msgspec.field(default_factory=dict)
    _reported_at: float = -math.inf
    _last_number: int = 0

    def sent(self, target: Incarnation, now: float) -> int:
        """Record a request that is sent; return its number for `ended`."""
        self._last_number += 1
        self._sent_at.setdefault(target, {})[self._last_number] = now
        return self._last_number

    def ended(
        self, target: Incarnation, number: int, now: float, end: RequestEnd
    ) -> None:
        """Record the end of a request.

        One that was given up sooner than the mean answer says nothing.
        """
        pending = self._sent_at.get(target, {})
        sent_at = pending.pop(number, None)
        if not pending:
            self._sent_at.pop(target, None)
        if sent_at is None or end is RequestEnd.FAILED:
            return
        taken_s = max(0.0, now - sent_at)
        if end is RequestEnd.GIVEN_UP:
            known = self.known(target, now)
            if known.answers and taken_s < GIVEN_UP_SHARE * known.mean_s:
                return
        answers = self._answers.setdefault(target, deque(maxlen=MAX_KEPT))
        answers.append(_Answer(now, taken_s, end is RequestEnd.GIVEN_UP))

    def learn(
        self, host: str, uses: Iterable[PlainTargetUse], now: float
    ) -> list[PlainTargetUse]:
        """Store and return what another host observed, but for what can't be true."""
        sound = {
            (use.target_id, use.started_ms): use
            for use in list(uses)[:MAX_TARGETS]
            if math.isfinite(use.answer_s)
            and 0.0 <= use.answer_s <= MAX_ANSWER_S
            and math.isfinite(use.fastest_s)
            and 0.0 <= use.fastest_s <= MAX_ANSWER_S
            and 0 <= use.limit <= MAX_LIMIT
            and 0 < use.answers <= 2 * MAX_KEPT
            and 0 <= use.fresh <= use.answers
            and 0.0 <= use.waited_s <= MAX_ANSWER_S
            and 0 <= use.waits <= use.answers
        }
        if sound:
            self._report_by_host[host] = _Report(now, sound)
        else:
            self._report_by_host.pop(host, None)
        self._drop_reports(now)
        return list(sound.values())

    def own(self, now: float) -> list[PlainTargetUse]:
        """Return what this host observed, to be told to others: the most used first."""
        self._drop_old(now)
        uses = []
        for target in {*self._answers, *self._sent_at}:
            known = self._with_own(target, KnownTimes(), now)
            if known.answers:
                uses.append(
                    PlainTargetUse(
                        target[0],
                        target[1],
                        round(min(known.mean_s, MAX_ANSWER_S), 4),
                        min(known.answers, 2 * MAX_KEPT),
                        len(self._sent_at.get(target, ())),
                        round(min(known.fastest_s, MAX_ANSWER_S), 4),
                        fresh=min(known.fresh, 2 * MAX_KEPT),
                        waited_s=round(min(known.waited_s, MAX_ANSWER_S), 4),
                        waits=min(known.waits, 2 * MAX_KEPT),
                    )
                )
        uses.sort(key=lambda use: (-use.answers, use.target_id, use.started_ms))
        return uses[:MAX_TARGETS]

    def known(self, target: Incarnation, now: float) -> KnownTimes:
        """Return what all hosts observed of a target.

        Requests of this host that wait longer than the mean count as answers.
        """
        self._drop_old_of(target, now)
        if not 0.0 <= now - self._reported_at < SUM_LIFE_S:
            self._sum_reports(now)
        return self._with_own(target, self._reported.get(target, KnownTimes()), now)

    def answer_s(self, target: Incarnation, now: float) -> float | None:
        """Return the mean answer time over all hosts; None if too few are known."""
        known = self.known(target, now)
        return known.mean_s if known.answers >= MIN_ANSWERS else None

    def _with_own(
        self, target: Incarnation, others: KnownTimes, now: float
    ) -> KnownTimes:
        own = self._answers.get(target, ())
        total_s = others.mean_s * others.answers + sum(answer.taken_s for answer in own)
        count = others.answers + len(own)
        mean_s = total_s / count if count else 0.0
        served = count
        overdue = [
            now - sent_at
            for sent_at in self._sent_at.get(target, {}).values()
            if now - sent_at > (mean_s if served else UNKNOWN_WAIT_S)
        ]
        count += len(overdue)
        if not count:
            return KnownTimes()
        recent = [answer for answer in own if answer.at > now - FRESH_S]
        fresh = [answer.taken_s for answer in recent if not answer.given_up]
        waits = [answer.taken_s for answer in recent if answer.given_up] + overdue
        waited_s, waits_count = others.waited_s, others.waits
        if waits:
            # Shorter waits than the longest show nothing that is not known by it.
            longest_s = max(waits)
            long = sum(wait_s >= GIVEN_UP_SHARE * longest_s for wait_s in waits)
            waited_s, waits_count = _longest(waited_s, waits_count, longest_s, long)
        return KnownTimes(
            (total_s + sum(overdue)) / count,
            count,
            min([others.fastest_s, *fresh]),
            others.fresh + len(fresh),
            waited_s,
            waits_count,
            served,
        )

    def _sum_reports(self, now: float) -> None:
        self._drop_reports(now)
        self._reported_at = now
        self._reported = {}
        for report in self._report_by_host.values():
            for target, use in report.use_by_incarnation.items():
                known = self._reported.get(target, KnownTimes())
                count = known.answers + use.answers
                total_s = known.mean_s * known.answers + use.answer_s * use.answers
                fastest_s = known.fastest_s
                if use.fresh:
                    fastest_s = min(fastest_s, use.fastest_s)
                waited_s, waits = _longest(
                    known.waited_s, known.waits, use.waited_s, use.waits
                )
                self._reported[target] = KnownTimes(
                    total_s / count,
                    count,
                    fastest_s,
                    known.fresh + use.fresh,
                    waited_s,
                    waits,
                )

    def _drop_reports(self, now: float) -> None:
        for host, report in list(self._report_by_host.items()):
            if now - report.at >= REPORT_LIFE_S:
                del self._report_by_host[host]

    def _drop_old(self, now: float) -> None:
        for target in list(self._answers):
            self._drop_old_of(target, now)

    def _drop_old_of(self, target: Incarnation, now: float) -> None:
        answers = self._answers.get(target, ())
        while answers and answers[0].at <= now - KEPT_S:
            answers.popleft()
        if not answers:
            self._answers.pop(target, None)


def _longest(
    waited_s: float, waits: int, other_s: float, other_waits: int
) -> tuple[float, int]:
    """Return the longer of two waits, and the requests that waited nearly as long."""
    longest_s = max(waited_s, other_s)
    least_s = GIVEN_UP_SHARE * longest_s
    count = (waits if waited_s >= least_s else 0) + (
        other_waits if other_s >= least_s else 0
    )
    return longest_s, count


def slowness_by_target(
    answer_s_by_target: Mapping[Incarnation, float | None], objective_s: float
) -> dict[Incarnation, float]:
    """Return how much later than the fastest each target answers, in objectives.

    Parameters
    ----------
    answer_s_by_target : mapping
        Mean answer times, None where they are not known.
    objective_s : float
        Seconds in which callers want their answer.
    """
    known = [seconds for seconds in answer_s_by_target.values() if seconds is not None]
    if not known or objective_s <= 0.0:
        return {}
    fastest_s = min(known)
    return {
        target: (seconds - fastest_s) / objective_s
        for target, seconds in answer_s_by_target.items()
        if seconds is not None
    }
