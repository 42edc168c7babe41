"""What a host knows of plain targets, and what they cost by it.

Load: a few targets with few slots each, of which one turns slow, slows down at its last
slots, or has just started; callers wait less than a second.
"""

from collections.abc import Iterable, Sequence

import msgspec

from radishfield.capacity._answer_times import (
    MIN_ANSWERS,
    AnswerTimes,
    Incarnation,
    RequestEnd,
    slowness_by_target,
)
from radishfield.capacity._data import PlainTargetUse
from radishfield.capacity._deadlines import DeadlineGate, Unreachable
from radishfield.capacity._start_ramp import StartRamp
from radishfield.capacity._use_limits import UseLimit, UseLimits

SLOWNESS_WEIGHT = 2.0
"""Cost of an answer that comes an objective later than the fastest, in shares of slots.
A full target lets a caller wait for one more answer at most, which is sooner."""

SLOW_AT = 0.5
"""Slowness from which a target is reported as slow: by as much of the objective later
than the fastest."""

WELL_AT = 0.25
"""Slowness below which it is reported as well again."""


class HeldTarget(msgspec.Struct, frozen=True):
    """A plain target and what it holds.

    Attributes
    ----------
    held : int
        Requests that it holds, from all hosts.
    """

    incarnation: Incarnation
    slots: int
    held: int


class SentRequest(msgspec.Struct, frozen=True):
    """A request on its way; ``target`` holds it already."""

    target: HeldTarget
    number: int
    at: float


class SlownessChange(msgspec.Struct, frozen=True):
    """A target that became slow, or well again, beside the fastest one."""

    target_id: str
    is_slow: bool
    answer_s: float
    fastest_s: float
    answers: int


class PlainTargets(msgspec.Struct):
    """Answer times, limits on use and starts of plain targets, by incarnation."""

    times: AnswerTimes = msgspec.field(default_factory=AnswerTimes)
    limits: UseLimits = msgspec.field(default_factory=UseLimits)
    ramp: StartRamp = msgspec.field(default_factory=StartRamp)
    gate: DeadlineGate = msgspec.field(default_factory=DeadlineGate)
    _slow: set[Incarnation] = msgspec.field(default_factory=set)

    def sent(self, target: HeldTarget, now: float) -> SentRequest:
        """Record a request that is sent."""
        number = self.times.sent(target.incarnation, now)
        return SentRequest(target, number, now)

    def ended(
        self, request: SentRequest, end: RequestEnd, now: float
    ) -> UseLimit | None:
        """Record a request's end; return the limit that its answer showed, if any."""
        target = request.target
        self.times.ended(target.incarnation, request.number, now, end)
        if end is not RequestEnd.ANSWERED:
            return None
        return self.limits.answered(
            target.incarnation, target.slots, target.held, now - request.at, now
        )

    def learn(self, host: str, uses: Iterable[PlainTargetUse], now: float) -> None:
        """Store what another host observed."""
        for use in self.times.learn(host, uses, now):
            self.limits.learn((use.target_id, use.started_ms), use.limit, now)

    def own(self, now: float) -> list[PlainTargetUse]:
        """Return what this host observed, to be told to others."""
        self.limits.expire(now)
        self.ramp.expire(now)
        self._slow = {
            name for name in self._slow if self.times.known(name, now).answers
        }
        return [
            msgspec.structs.replace(
                use, limit=self.limits.own((use.target_id, use.started_ms), now)
            )
            for use in self.times.own(now)
        ]

    def costs(
        self, targets: Sequence[HeldTarget], objective_s: float, now: float
    ) -> dict[Incarnation, float]:
        """Return what targets cost beyond their use, in shares of their slots."""
        known = {
            target.incarnation: self.times.known(target.incarnation, now)
            for target in targets
        }
        any_known = any(times.answers >= MIN_ANSWERS for times in known.values())
        slowness = self._slowness(targets, objective_s, now)
        cost_by_target = {
            name: SLOWNESS_WEIGHT * share for name, share in slowness.items()
        }
        for target in targets:
            name = target.incarnation
            limit = self.limits.limit(name, target.slots, now)
            enough = limit is not None and target.held >= limit
            if any_known and self.ramp.holds_enough(
                name, target.held, known[name].served, now
            ):
                enough = True
            if enough:
                # It counts as full, and no worse: a limit may be false.
                unused = max(0.0, 1.0 - target.held / target.slots)
                cost_by_target[name] = cost_by_target.get(name, 0.0) + unused
        return cost_by_target

    def refuse(
        self, service: str, targets: Sequence[HeldTarget], left_s: float, now: float
    ) -> Unreachable | None:
        """Return why no target can answer in time; None if the request is sent."""
        known = [self.times.known(target.incarnation, now) for target in targets]
        return self.gate.refuse(service, known, left_s, now)

    def changes(
        self, targets: Sequence[HeldTarget], objective_s: float, now: float
    ) -> list[SlownessChange]:
        """Return the targets that became slow, or well, since the last call."""
        slowness = self._slowness(targets, objective_s, now)
        known = {name: self.times.known(name, now) for name in slowness}
        fastest_s = min((times.mean_s for times in known.values()), default=0.0)
        found = []
        for name, share in slowness.items():
            is_slow = share > (WELL_AT if name in self._slow else SLOW_AT)
            if is_slow is (name in self._slow):
                continue
            (self._slow.add if is_slow else self._slow.discard)(name)
            times = known[name]
            found.append(
                SlownessChange(name[0], is_slow, times.mean_s, fastest_s, times.answers)
            )
        return found

    def _slowness(
        self, targets: Sequence[HeldTarget], objective_s: float, now: float
    ) -> dict[Incarnation, float]:
        answer_s_by_target = {
            target.incarnation: self.times.answer_s(target.incarnation, now)
            for target in targets
        }
        return slowness_by_target(answer_s_by_target, objective_s)
