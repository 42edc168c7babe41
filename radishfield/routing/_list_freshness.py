"""Bounds the time for which work may reach a target after it has left.

The operators promise that no work reaches a target for longer than some seconds after
the store has acknowledged that it leaves or is gone.  A change of the list usually
reaches every host within milliseconds, but a pending call proves nothing: connections
fall silent without an error, and the call is then noticed only by its time limit.  So
the list of each host has an age, counted from the moment for which the store last
confirmed it, and the promise is kept by the sum of all delays on the way of a change,
each at its maximum.  At a host that watches the store::

    watch_wait_s + COALESCE_S + ANSWER_MARGIN_S + ANSWER_MARGIN_S
        + MAX_DELIVERY_S + LATENESS_S  <=  promise

The first margin is that of the watch, the second that of the call that follows it on
a new connection.  At a host that relies on the reports of others::

    max_unread_age_s + MIN_DUTY_CHECK_S + ANSWER_MARGIN_S
        + MAX_DELIVERY_S + LATENESS_S  <=  promise

Its calls are few, so each has a new connection, unless the last one was so recent that
a loss of connections since then still excuses the host (`STORE_IDLE_S`).  A report
counts from the time for which the store confirmed the list to the host that reports,
not from its arrival, so no host can vouch for a list that it did not read.  A host that
hears one watcher never has to read the list itself, since::

    shared_watch_wait_s + COALESCE_S + REPORT_DELAY_S  <=  max_unread_age_s
"""

import msgspec

COALESCE_S = 0.15
"""Pause after a change.  In a burst of changes each one would otherwise wake the
watch of every host separately."""
ANSWER_MARGIN_S = 0.3
"""Time by which an answer of the store may be late; it takes milliseconds."""
MAX_ANSWER_MARGIN_S = 1.0
"""The same while the store is slow, when its answers take some hundred milliseconds."""
MAX_DELIVERY_S = 0.4
"""Time limit for connecting to a target.  Targets of a region answer within a
millisecond.  A lost packet costs a second, and another target can answer well before
that."""
LATENESS_S = 0.1
"""Time by which the event loop of a busy host may run its tasks late."""
MIN_DUTY_CHECK_S = 0.1
"""Minimum pause between two checks whether a host that does not watch the store has
to read it."""
STORE_IDLE_S = 2.0
"""Idle time after which a connection to the store is not used again."""
REPORT_DELAY_S = 0.35
"""Maximum age of a watcher's report when it arrives.  The watcher echoes this host's
last status, which is up to 0.28 s old and was read in a batch, as the report is."""
MAX_WATCH_S = 2.5
"""Maximum wait of a watch, however long the promise is."""
MIN_WATCH_S = 0.25
"""Minimum wait of a watch: a shorter promise would cost each host more than four calls
a second."""

_FIXED_DELAYS_S = COALESCE_S + 2 * ANSWER_MARGIN_S + MAX_DELIVERY_S + LATENESS_S


def watch_wait_s(promise_s: float, age_s: float, shared: bool = False) -> float:
    """Return for how long a watch of the targets may wait.

    Parameters
    ----------
    promise_s : float
        Time for which work may reach a target after its leaving was acknowledged.
    age_s : float
        Age of the list when the watch is sent; the older, the shorter it waits.
    shared : bool
        Other hosts rely on the reports of this one.
    """
    longest_s = promise_s - _FIXED_DELAYS_S
    if shared:
        reported_s = max_unread_age_s(promise_s) - COALESCE_S - REPORT_DELAY_S
        longest_s = min(longest_s, reported_s)
    longest_s = min(MAX_WATCH_S, max(MIN_WATCH_S, longest_s))
    return min(longest_s, max(0.0, longest_s - age_s))


def max_unread_age_s(promise_s: float) -> float:
    """Return the age of its list at which a host that is not told reads the store."""
    read_s = MIN_DUTY_CHECK_S + ANSWER_MARGIN_S
    return max(MIN_WATCH_S, promise_s - read_s - MAX_DELIVERY_S - LATENESS_S)


def confirmed_at(
    requested_at: float, wait_s: float, answered_at: float, changed: bool
) -> float:
    """Return the time for which the answer to a watch confirms the list.

    An answer without changes that comes after the full wait was made no earlier than
    the wait's end.  Any other one may have been made as soon as the call was sent.
    """
    waited = answered_at - requested_at >= wait_s
    return requested_at + wait_s if waited and not changed else requested_at


class AnswerMargin(msgspec.Struct):
    """Time by which answers of the store may be late, longer while it is slow.

    A single late answer is that of a lost connection.  If the call that follows it on
    a new connection is late as well, the store is slow, and no call would ever succeed
    within the shortest margin.
    """

    length_s: float = ANSWER_MARGIN_S

    def record_loss(self, losses: int) -> None:
        """Record that a call was not answered in time, the last of so many in a row."""
        if losses > 1:
            self.length_s = min(MAX_ANSWER_MARGIN_S, self.length_s * 2)

    def record_answer(self, late_s: float) -> None:
        """Record an answer and by how much it was later than the call's wait."""
        if late_s < ANSWER_MARGIN_S / 2:
            self.length_s = ANSWER_MARGIN_S
