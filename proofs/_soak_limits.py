"""Records the limits that a soak's targets name, and what they got meanwhile.

From `TOLD_S` after the first answer that names its limit, a target gets in any four
seconds no more than one and a half times what the limit allows, and five requests.  A
target that is only a later part of paths may name it to nobody.  Restarts of hosts
excuse nothing here: a host that has started is told before it can send much.
"""

from dataclasses import dataclass

from standins.routed_targets import LayeredTarget, PlainTarget

WINDOW_S = 4.0
TOLD_S = 1.0
"""Time in which the hosts that have not seen the limit are told."""


@dataclass(slots=True, frozen=True)
class _Named:
    target: PlainTarget | LayeredTarget
    per_s: int
    named_at: float
    ended_at: float


class LimitLog:
    """The limits that targets named, from when to when."""

    def __init__(self):
        self._named: list[_Named] = []

    def __len__(self) -> int:
        return len(self._named)

    def record(self, target, per_s: int, named_at: float, ended_at: float) -> None:
        """Record that a target named a limit for some time."""
        self._named.append(_Named(target, per_s, named_at, ended_at))

    def find_violations(self) -> list[str]:
        """Return the targets that got more than the limit that they named."""
        violations = []
        for named in self._named:
            answered = [at for at in named.target.named_at if at >= named.named_at]
            first = min(answered, default=named.ended_at)
            times = [
                at
                for at in named.target.arrived_at
                if first + TOLD_S <= at <= named.ended_at
            ]
            most = max(
                (sum(at <= other < at + WINDOW_S for other in times) for at in times),
                default=0,
            )
            allowed = 1.5 * named.per_s * WINDOW_S + 5
            if most > allowed:
                violations.append(
                    f"{named.target.id}: {most} requests in {WINDOW_S} s at a limit of"
                    f" {named.per_s} a second, allowed {allowed}"
                )
        return violations
