"""How much work may be in flight at a target, and this host's share of it.

Load pattern: several entry hosts feed the same targets and see each other's
work only through load reports that lag.  A host that acts as if it were alone
overfills a target N times; hosts that all trust the same late report move to
the same idle target at once.

- The limit of a target starts from the flow: tokens per second that it should
  pass times the seconds a token needs for the whole route (Little's law), and
  then follows the target's answers: up while its batch is not kept full, down
  while its own queue grows.
- A host may hold an even share, or what it already holds plus its part of what
  a report shows free.  Every host takes a part, so together they close the gap
  by a fixed portion with each report instead of overshooting it.
- Weights rise by a bounded part each second; they fall at once, because work
  sent to a dead target is lost while work sent late to a new one is not.
"""

from radishfield.core import LoadReport, Target, TargetState
from radishfield.decisions._flow import speed_of

HEADROOM = 1.6
"""Work in flight above the exact product: steps vary, and a batch that runs
empty for a moment is lost for good."""

QUEUE_HIGH = 6.0
"""Batches waiting inside the target above which the limit falls."""

QUEUE_LOW = 0.1
"""Batches waiting below which the limit rises, if it is in use."""

QUEUE_SMOOTHING = 0.5
"""A report shows one instant of a queue that fills and empties with each batch;
two or three reports show its level."""

FALL = 0.96
RISE = 1.02
"""A tenth each report: two reports' lag cannot carry it far past the goal."""

MAX_GROWTH = 8.0
"""Times its first value that a limit may reach; past that, reports are wrong."""

REPORT_TTL_S = 5.0
"""Reports come each second and lag one or two; past five the target or the path
to it has a fault, and the even share is the safe guess."""

LONG_PART = 0.7
"""Part of a host's share that long work may hold, so that a wave of long work
leaves room that frees at the pace of short work."""

WEIGHT_RISE_PER_S = 0.2
"""Part of its goal that a weight may rise each second: a new target is full
after five seconds, when two reports have told what it bears."""

STAGE_SMOOTHING = 0.05
"""An answer's error is shared by all its stages; the one at fault has it in
every answer and is corrected over a few dozen samples, the others' cancel."""

MIN_STAGE_PART = 0.3
"""Part of a full batch's step that a token takes at the least."""

STAGE_HIGH = 2.0
"""Times the planned stay at a stage above which less is sent there.  Uneven
batches reach one and a half; past two the target is slower than declared, and
by Little's law the excess only waits."""

FIRST_WEIGHT = 0.1
"""Part of its goal at which a new or returning target starts."""


class TargetLoad:
    """One target's work in flight, limit and weight, as this host sees them.

    Attributes
    ----------
    own, own_long : int
        This host's requests in flight there, and the long ones among them.
    limit, share, room : float
        Requests that all hosts together may have in flight, this host's part of
        them, and the part that is open to new work now.
    weight, goal : float
        Tokens per second that it is to pass now, and in the end.
    stage_s : float
        Seconds that a token spends there, learned from answers.
    score : float
        How loaded it would be with one more; the lowest is best.
    use : float
        Part of this host's share that is in use.
    """

    __slots__ = (
        "target",
        "own",
        "own_long",
        "limit",
        "first_limit",
        "share",
        "weight",
        "goal",
        "stage_s",
        "room",
        "score",
        "use",
        "usable",
        "left",
        "ejected",
        "reported",
        "others",
        "_own_at_report",
        "_queued",
        "_reported_at",
        "_hosts",
        "_peers",
    )

    def __init__(self, target: Target):
        self.target = target
        self.own = 0
        self.own_long = 0
        self.limit = float(target.slots)
        self.first_limit = self.limit
        self.share = self.limit
        self.weight = 0.0
        self.goal = 0.0
        self.stage_s = full_step_s(target) * HEADROOM
        self.room = self.limit
        self.usable = target.state is TargetState.LIVE
        self.left = False
        self.ejected = False
        self.reported = 0
        self.others = 0.0
        self._own_at_report = 0
        self._queued = 0.0
        self._reported_at: float | None = None
        self._hosts = 1
        self._peers = 1.0
        self._rate()

    def see(self, target: Target) -> None:
        """Take in the target as the fleet's list has it now.

        A list lags: it may call a target live that has itself reported to be
        leaving.  Believed, it would bring the target back, and new work would
        be lost on it.  Only another incarnation, which is another object, ends
        what the target itself has said.
        """
        self.target = target
        usable = target.state is TargetState.LIVE and not self.left
        self.allow(usable, self.ejected)

    def leave(self) -> None:
        """Note that the target itself says that it is leaving."""
        self.left = True
        self.allow(False, self.ejected)

    def resize(self, limit: float) -> None:
        """Set the first value of the limit, keeping what was learned about it."""
        learned = self.limit / self.first_limit
        self.first_limit = max(float(self.target.slots), limit)
        self.limit = self.first_limit * learned
        self._divide()

    def shared_by(self, hosts: int, peers: float) -> None:
        """State how many hosts feed it, and how many mostly do."""
        self._hosts = max(1, hosts)
        self._peers = max(1.0, peers)
        self._divide()

    def has_room(self, long: bool) -> bool:
        """Tell whether one more may be sent."""
        if self.own >= self.room:
            return False
        return not long or self.own_long < max(1.0, self.share * LONG_PART)

    def begin(self, long: bool) -> None:
        """Count one more in flight."""
        self.own += 1
        self.own_long += long
        self._rate()

    def end(self, long: bool) -> None:
        """Count one less in flight."""
        self.own -= 1
        self.own_long -= long
        self._rate()

    def observe(self, report: LoadReport, now: float) -> None:
        """Learn from the target's own account."""
        self.reported = report.in_flight
        self._reported_at = now - report.measured_s_ago
        self._own_at_report = self.own
        self.others = max(0.0, report.in_flight - self.own)
        slots = max(1, report.slots)
        self._queued += QUEUE_SMOOTHING * (report.queued - self._queued)
        if self._queued > QUEUE_HIGH * slots:
            self.limit = max(float(slots), self.limit * FALL)
        elif self._queued < QUEUE_LOW * slots and self._in_use(report.in_flight):
            self.limit = min(self.limit * RISE, self.first_limit * MAX_GROWTH)
        self._divide()

    def forget_stale_report(self, now: float) -> None:
        """Fall back to the even share once reports stopped coming."""
        if self._reported_at is None or now - self._reported_at <= REPORT_TTL_S:
            return
        self._reported_at = None
        self.others = 0.0
        self._divide()

    def learn_stage(self, relative_error: float) -> None:
        """Correct the time that a token spends here, queue and step."""
        low = full_step_s(self.target) * MIN_STAGE_PART
        # The share follows within a second, when the weight is shifted.
        self.stage_s = max(low, self.stage_s * (1 + STAGE_SMOOTHING * relative_error))

    def shift_weight(self, elapsed_s: float) -> None:
        """Move the weight towards its goal, up at a bounded pace."""
        rise = self.goal * WEIGHT_RISE_PER_S * elapsed_s
        self.weight = min(self.goal, self.weight + rise)
        self._divide()

    def allow(self, usable: bool, ejected: bool) -> None:
        """State whether it may be given new work."""
        self.usable, self.ejected = usable, ejected
        self._divide()

    def start_full(self) -> None:
        """Begin with the whole weight: the fleet is new as a whole."""
        self.weight = self.goal
        self._divide()

    def start_low(self) -> None:
        """Begin (again) with a small part of the weight."""
        self.weight = self.goal * FIRST_WEIGHT
        self._divide()

    def _in_use(self, in_flight: int) -> bool:
        return in_flight >= 0.8 * self.limit or self.own >= 0.9 * self.share

    def _divide(self) -> None:
        limit = self.limit
        if self.weight < self.goal:
            # A target on trial or just added may be slow: had it a full share
            # at once, every host's next requests would be stuck on it.
            limit *= self.weight / self.goal
        planned_s = full_step_s(self.target) * HEADROOM * STAGE_HIGH
        if self.stage_s > planned_s:
            limit *= planned_s / self.stage_s
        even = limit / self._hosts
        if self._reported_at is None:
            self.share = max(1.0, even)
        else:
            free = limit - self.reported
            part = self._own_at_report + free / self._peers
            self.share = max(1.0, even, part)
        self.room = self.share if self.usable and not self.ejected else 0.0
        self._rate()

    def _rate(self) -> None:
        """Work out score and use, which are read far more often than they change.

        What this host sent since the report counts once for each of its peers:
        they read the same report and do the same, and the target that it showed
        idle would get all of their work until the next one.
        """
        own = self.own
        sent = own - self._own_at_report
        total = own + self.others + 1
        if sent > 0:
            total += sent * (self._hosts - 1)
        self.score = total / (self.weight + 1e-9)
        self.use = own / self.share


def little_limit(rate_tps: float, cycle_s: float) -> float:
    """Return the work in flight that keeps a rate at a cycle per token."""
    return rate_tps * cycle_s * HEADROOM


def full_step_s(target: Target, speed_tps: float | None = None) -> float:
    """Return the seconds of one step with a full batch."""
    return target.slots / max(speed_tps or speed_of(target), 1e-9)
