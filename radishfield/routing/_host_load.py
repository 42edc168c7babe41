"""Judges whether this host has processor time for the requests that it serves.

A host that is short of it finishes nothing sooner by starting more: all its requests
get late together, and in the end it only works for callers that have left.  So it
leaves new connections to other hosts, as long as these have time for them, and refuses
requests when nobody has and its answers would begin too late.
"""

import math
from collections.abc import Iterable

import msgspec

MEASURE_INTERVAL_S = 0.25
"""Interval between two measurements of the event loop."""
SATURATED_IDLE_SHARE = 0.1
"""Idle share of the event loop below which a measurement counts as saturated."""
RELIEVED_IDLE_SHARE = 0.25
"""Idle share from which on a measurement counts as relieved."""
CHANGING_MEASUREMENTS = 2
"""Measurements in a row that change the verdict.  A large configuration is decoded
within one."""
UNLIMITED_MEASUREMENTS = 2
"""Measurements of a saturated host before it has a limit.  In them the others report
whether they are saturated as well, as in a burst of the whole fleet."""
FIRST_LIMIT_SHARE = 0.9
LIMIT_DECREASE = 0.95
LIMIT_INCREASE = 1.1
"""Changes of the limit with each measurement.  A stream takes a second or two to end,
so that the limit follows the use of the processor more slowly than that."""
MIN_LIMIT = 4.0
NO_LIMIT_FACTOR = 3.0
"""Multiple of the requests in flight from which on the limit is no use and ends."""
APPLIED_LIMIT_SLACK = 1.1
RECALLED_MEASUREMENTS = 40
"""Measurements for which a recalled limit holds although fewer requests are in flight:
as long as a load balancer may take to send connections again."""
USED_LIMIT_SHARE = 0.8
"""Share of a recalled limit from which on its use shows whether it can be raised."""
HISTORY_WEIGHT = 0.5
"""Weight of earlier measurements in the averages."""
TURN_HISTORY_WEIGHT = 0.8
"""Weight of earlier estimates of the requests that a turn bears; a single turn may also
decode a configuration."""
MAX_TURN_S = 0.06
"""Mean turn of the event loop from which on new requests are refused.  An answer begins
some fifteen turns after its request has arrived, and callers wait two seconds for it.
Shorter turns serve no more: the longer they are, the more events each one passes on."""
MIN_REFUSING_IN_FLIGHT = 16.0
"""Requests in flight up to which none is refused.  Their steps can't fill long turns,
so that other processes take the processor, mostly for a moment."""
SATURATED_RETRY_S = 1.0
"""Time after which a refused caller may return: about one stream later."""
MIN_PEER_IDLE_SHARE = 0.3
"""Idle share from which on another host has time for more requests."""
MIN_SHARE_WITH_TIME = 0.5
"""Share of the other hosts that must have time: a caller that is turned away reaches
any of them."""


class HostLoad(msgspec.Struct):
    """The verdict on this host's processor time, from measurements of its event loop.

    Attributes
    ----------
    idle_share : float
        Idle share of the event loop, averaged over some measurements.
    turn_s : float
        Mean processing time of a turn of the event loop, averaged likewise.
    max_in_flight : float
        Requests in flight beyond which answers begin too late, by the length of turns.
    limit : float
        Requests in flight beyond which this host is short of processor time; infinite
        if it has not been lately.
    turned_away : int
        Connections that the limit turned away since the last measurement.
    is_short : bool
        Whether this host has less processor time than its callers ask for.  A host that
        is relieved by its own limit is still short of it.
    """

    idle_share: float = 1.0
    turn_s: float = 0.0
    is_saturated: bool = False
    limit: float = math.inf
    max_in_flight: float = math.inf
    turned_away: int = 0
    is_short: bool = False
    _in_a_row: int = 0
    _unused_limit_measurements: int = CHANGING_MEASUREMENTS
    _kept_limit: float = math.inf
    _recalled_measurements: int = 0
    _saturated_measurements: int = 0

    def note(
        self, idle_share: float, turn_s: float, in_flight: int, unread: int = 0
    ) -> bool:
        """Apply a measurement; return whether the verdict has changed.

        Parameters
        ----------
        idle_share : float
            Idle share of the event loop since the last measurement.
        turn_s : float
            Mean processing time of its turns.
        in_flight : int
            Requests that this host serves now.
        unread : int
            Connections that it has accepted for requests still to be read.
        """
        weight = HISTORY_WEIGHT
        self.idle_share = weight * self.idle_share + (1.0 - weight) * idle_share
        self.turn_s = weight * self.turn_s + (1.0 - weight) * turn_s
        changed = self._judge(idle_share)
        self._saturated_measurements += 1
        if changed or not self.is_saturated:
            self._saturated_measurements = 0
        self._adapt_limit(idle_share, in_flight)
        self._adapt_max_in_flight(turn_s, in_flight + unread)
        self._update_is_short()
        return changed

    def is_overloaded(self, in_flight: int) -> bool:
        """Return whether one more request would be answered too late."""
        return self.is_saturated and in_flight > self.max_in_flight

    def keep_limit(self) -> None:
        """Keep the limit of a host that is about to get no more connections."""
        self._kept_limit = self.limit

    def recall_limit(self) -> None:
        """Begin with the kept limit, as a host to which connections return."""
        self.limit = self._kept_limit
        self._recalled_measurements = RECALLED_MEASUREMENTS

    def _judge(self, idle_share: float) -> bool:
        opposes = (
            idle_share >= RELIEVED_IDLE_SHARE
            if self.is_saturated
            else idle_share < SATURATED_IDLE_SHARE
        )
        self._in_a_row = self._in_a_row + 1 if opposes else 0
        if self._in_a_row < CHANGING_MEASUREMENTS:
            return False
        self._in_a_row = 0
        self.is_saturated = not self.is_saturated
        return True

    def _update_is_short(self) -> None:
        self._unused_limit_measurements += 1
        if self.turned_away:
            self._unused_limit_measurements = 0
        self.turned_away = 0
        uses_limit = self._unused_limit_measurements < CHANGING_MEASUREMENTS
        self.is_short = self.is_saturated or uses_limit

    def _adapt_limit(self, idle_share: float, in_flight: int) -> None:
        self._recalled_measurements = max(0, self._recalled_measurements - 1)
        if self.is_saturated and self._saturated_measurements < UNLIMITED_MEASUREMENTS:
            return
        if self._saturated_measurements == UNLIMITED_MEASUREMENTS:
            self.limit = min(self.limit, in_flight * FIRST_LIMIT_SHARE)
        elif self.is_saturated and idle_share < SATURATED_IDLE_SHARE:
            # More in flight than the limit allows shows nothing about the limit.
            if in_flight <= self.limit * APPLIED_LIMIT_SLACK:
                self.limit = min(self.limit, in_flight) * LIMIT_DECREASE
        elif idle_share >= RELIEVED_IDLE_SHARE and not self._awaits_load(in_flight):
            self.limit *= LIMIT_INCREASE
            if self.limit > NO_LIMIT_FACTOR * in_flight and not self.is_saturated:
                self.limit = math.inf
        self.limit = max(self.limit, MIN_LIMIT)

    def _awaits_load(self, in_flight: int) -> bool:
        """Return whether the connections for a recalled limit have yet to come back."""
        is_used = in_flight >= self.limit * USED_LIMIT_SHARE
        return self._recalled_measurements > 0 and not is_used

    def _adapt_max_in_flight(self, turn_s: float, expected: int) -> None:
        """Estimate the requests at which a turn takes the longest time allowed.

        A turn runs a step of each request that has something to do, and reads those
        that have come.
        """
        if not self.is_saturated:
            self.max_in_flight = math.inf
            return
        estimate = expected * MAX_TURN_S / max(turn_s, 1e-6)
        estimate = max(MIN_REFUSING_IN_FLIGHT, estimate)
        before = self.max_in_flight if math.isfinite(self.max_in_flight) else estimate
        self.max_in_flight = (
            TURN_HISTORY_WEIGHT * before + (1.0 - TURN_HISTORY_WEIGHT) * estimate
        )


def others_have_time(idle_shares: Iterable[float]) -> bool:
    """Return whether a caller that is turned away is likely served by another host.

    Parameters
    ----------
    idle_shares : iterable of float
        Idle shares of the other hosts that take connections in this zone.
    """
    known = list(idle_shares)
    with_time = sum(share >= MIN_PEER_IDLE_SHARE for share in known)
    return with_time > 0 and with_time >= MIN_SHARE_WITH_TIME * len(known)


def some_are_short(idle_shares: Iterable[float]) -> bool:
    """Return whether a caller that is turned away may come to another busy host."""
    return any(share < MIN_PEER_IDLE_SHARE for share in idle_shares)
