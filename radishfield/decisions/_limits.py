"""Limits the work in flight at a target and this host's share of it.

Several entry hosts send work to the same targets and see each other's work only
through load reports that lag.  If each of N hosts acted as if it were alone, a
target would get N times its limit; if all trusted the same late report, they would
all move to the same idle target at once.

- The limit of a target starts from the flow: the tokens per second that it should
  process times the seconds a token needs for the whole route (Little's law).  Then
  it follows the target's reports: up while its batch is not kept full, down while
  its own queue grows.
- A host may hold an even share, or what it already holds plus its share of the
  capacity that a report shows free.  Every host takes only a share, so together
  they close the gap by a fixed fraction with each report instead of overshooting.
- Weights rise by a bounded fraction each second; they fall at once, because work
  sent to a dead target is lost while work sent late to a new one is not.
"""

from radishfield.core import LoadReport, Target, TargetState
from radishfield.decisions._flow import speed_of

HEADROOM = 1.6
"""Factor on the exact product of Little's law: steps vary, and the capacity of a
batch that runs empty for a moment is lost for good."""

QUEUE_HIGH = 6.0
"""Batches waiting inside the target above which the limit falls."""

QUEUE_LOW = 0.1
"""Batches waiting below which the limit rises, if the limit is in use."""

QUEUE_SMOOTHING = 0.5
"""A report shows one instant of a queue that fills and empties with each batch;
two or three reports show its mean length."""

LIMIT_DECREASE = 0.96
LIMIT_INCREASE = 1.02
"""Factors per report.  Steps of 4 % down and 2 % up are small enough that a lag of
two reports cannot carry the limit far past the right value."""

MAX_LIMIT_GROWTH = 8.0
"""Multiple of its first value that a limit may reach; past it, reports are wrong."""

REPORT_TTL_S = 5.0
"""Reports arrive each second and lag one or two; past five seconds the target or the
path to it has a fault, and the even share is the safe estimate."""

MAX_LONG_FRACTION = 0.7
"""Fraction of a host's share that long work may hold, so that a wave of long work
leaves capacity that is freed as fast as short work finishes."""

WEIGHT_RISE_PER_S = 0.2
"""Fraction of its goal by which a weight may rise each second: a new target has its
full weight after five seconds, when two reports have shown what it can handle."""

STAGE_SMOOTHING = 0.05
"""An answer's error is applied to all its stages.  The stage at fault has it in every
answer and is corrected over a few dozen samples; the errors of others cancel out."""

MIN_STAGE_FRACTION = 0.3
"""Minimum time of a token at a stage, as a fraction of a full batch's step."""

STAGE_TIME_HIGH = 2.0
"""Multiple of the planned time at a stage above which less work is sent there.
Uneven batches reach one and a half; past two the target is slower than declared,
and by Little's law the excess only waits."""

INITIAL_WEIGHT_FRACTION = 0.1
"""Fraction of its goal weight at which a new or readmitted target starts."""


class TargetLoad:
    """One target's work in flight, limit and weight, in this host's view.

    Attributes
    ----------
    own, own_long : int
        This host's requests in flight there, and the long ones among them.
    limit, share, room : float
        Requests that all hosts together may have in flight, this host's share of
        them, and the share as far as it is open to new work now.
    weight, goal : float
        Tokens per second that it should process now, and after the weight has risen.
    stage_s : float
        Seconds that a token spends there, learned from answers.
    score : float
        Relative load with one more request; the lowest is best.
    use : float
        Fraction of this host's share that is in use.
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
        "_mean_queued",
        "_reported_at",
        "_host_count",
        "_main_host_count",
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
        self._mean_queued = 0.0
        self._reported_at: float | None = None
        self._host_count = 1
        self._main_host_count = 1.0
        self._update_score()

    def update_target(self, target: Target) -> None:
        """Update the target from the fleet's current list.

        The list lags: it may still show a target as live that has itself reported
        that it is leaving.  Using it then would send new work to the target, where
        it is lost.  Only another incarnation, which gets another `TargetLoad`, ends
        the state that the target has reported.
        """
        self.target = target
        usable = target.state is TargetState.LIVE and not self.left
        self.allow(usable, self.ejected)

    def leave(self) -> None:
        """Record that the target itself has reported that it is leaving."""
        self.left = True
        self.allow(False, self.ejected)

    def resize(self, limit: float) -> None:
        """Set the first value of the limit and keep its learned ratio to that value."""
        learned = self.limit / self.first_limit
        self.first_limit = max(float(self.target.slots), limit)
        self.limit = self.first_limit * learned
        self._update_share()

    def set_host_counts(self, host_count: int, main_host_count: float) -> None:
        """Set how many hosts send work here, and how many of them send most of it."""
        self._host_count = max(1, host_count)
        self._main_host_count = max(1.0, main_host_count)
        self._update_share()

    def has_room(self, long: bool) -> bool:
        """Return whether one more request may be sent."""
        if self.own >= self.room:
            return False
        return not long or self.own_long < max(1.0, self.share * MAX_LONG_FRACTION)

    def begin(self, long: bool) -> None:
        """Count one more request in flight."""
        self.own += 1
        self.own_long += long
        self._update_score()

    def end(self, long: bool) -> None:
        """Count one request less in flight."""
        self.own -= 1
        self.own_long -= long
        self._update_score()

    def observe(self, report: LoadReport, now: float) -> None:
        """Adjust limit and share to a load report of the target."""
        self.reported = report.in_flight
        self._reported_at = now - report.measured_s_ago
        self._own_at_report = self.own
        self.others = max(0.0, report.in_flight - self.own)
        slots = max(1, report.slots)
        self._mean_queued += QUEUE_SMOOTHING * (report.queued - self._mean_queued)
        if self._mean_queued > QUEUE_HIGH * slots:
            self.limit = max(float(slots), self.limit * LIMIT_DECREASE)
        elif self._mean_queued < QUEUE_LOW * slots and self._in_use(report.in_flight):
            self.limit = min(
                self.limit * LIMIT_INCREASE, self.first_limit * MAX_LIMIT_GROWTH
            )
        self._update_share()

    def forget_stale_report(self, now: float) -> None:
        """Fall back to the even share once reports have stopped."""
        if self._reported_at is None or now - self._reported_at <= REPORT_TTL_S:
            return
        self._reported_at = None
        self.others = 0.0
        self._update_share()

    def learn_stage(self, relative_error: float) -> None:
        """Correct the time that a token spends here, in queue and step."""
        min_stage_s = full_step_s(self.target) * MIN_STAGE_FRACTION
        # The share follows within a second, when the weight is shifted.
        self.stage_s = max(
            min_stage_s, self.stage_s * (1 + STAGE_SMOOTHING * relative_error)
        )

    def shift_weight(self, elapsed_s: float) -> None:
        """Move the weight towards its goal; it rises at a bounded rate."""
        rise = self.goal * WEIGHT_RISE_PER_S * elapsed_s
        self.weight = min(self.goal, self.weight + rise)
        self._update_share()

    def allow(self, usable: bool, ejected: bool) -> None:
        """Set whether the target may be given new work."""
        self.usable, self.ejected = usable, ejected
        self._update_share()

    def start_at_full_weight(self) -> None:
        """Start with the full weight, since the whole fleet is new."""
        self.weight = self.goal
        self._update_share()

    def start_at_low_weight(self) -> None:
        """Start, or restart, with a small fraction of the weight."""
        self.weight = self.goal * INITIAL_WEIGHT_FRACTION
        self._update_share()

    def _in_use(self, in_flight: int) -> bool:
        return in_flight >= 0.8 * self.limit or self.own >= 0.9 * self.share

    def _update_share(self) -> None:
        limit = self.limit
        if self.weight < self.goal:
            # A target on trial or just added may be slow.  With a full share at
            # once, the next requests of every host would be stuck on it.
            limit *= self.weight / self.goal
        planned_s = full_step_s(self.target) * HEADROOM * STAGE_TIME_HIGH
        if self.stage_s > planned_s:
            limit *= planned_s / self.stage_s
        even = limit / self._host_count
        if self._reported_at is None:
            self.share = max(1.0, even)
        else:
            free = limit - self.reported
            reported_share = self._own_at_report + free / self._main_host_count
            self.share = max(1.0, even, reported_share)
        self.room = self.share if self.usable and not self.ejected else 0.0
        self._update_score()

    def _update_score(self) -> None:
        """Update score and use, which are read far more often than they change.

        What this host has sent since the report counts once for each of its peers:
        they read the same report and do the same, and a target that it shows idle
        would otherwise get all of their work until the next report.
        """
        own = self.own
        sent = own - self._own_at_report
        total = own + self.others + 1
        if sent > 0:
            total += sent * (self._host_count - 1)
        self.score = total / (self.weight + 1e-9)
        self.use = own / self.share


def littles_law_limit(rate_tps: float, cycle_s: float) -> float:
    """Return the work in flight that sustains a rate at a cycle time per token."""
    return rate_tps * cycle_s * HEADROOM


def full_step_s(target: Target, speed_tps: float | None = None) -> float:
    """Return the seconds of one step with a full batch."""
    return target.slots / max(speed_tps or speed_of(target), 1e-9)
