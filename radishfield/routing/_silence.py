"""Decisions on when a silent stream is queried, and when it is abandoned.

When a target dies in the middle of a path, every stream that passes it falls silent
while its first target still answers.  No connection breaks for seconds, and callers
leave after two.  So for a stream that is silent for longer than its events typically
take, the first target is queried.  It names the stage that does not answer, and the
path is then changed around that stage.  With earlier queries, every burst would cost
calls; with later ones, callers would leave before the new path has read the prompt.
"""

from collections.abc import Iterable

import msgspec

PROBE_SHARE = 0.3
"""Share of the longest pause that is still on time, or of the time to a first event,
after which the targets of a silent stream are probed.  The rest of a pause of 0.2 s
leaves time for a check, a probe, the order to change the path, one read of the prompt
at the new stage and one round of a token, about 0.12 s in all."""

TYPICAL_GAPS = 2.0
"""Multiple of a stream's typical pause after which it counts as silent: a slow path is
not dead."""

ALIVE_SHARE = 0.8
"""Share of the silence within which an event of another stream shows that a target on
both paths is alive, so that it need not be probed."""

FIRST_QUERY_SHARE = 0.6
"""Share of the objective after which the first target of a stream without events is
queried: about twice what 99 of 100 prompts take under normal load, and early enough
that another path still starts about in time."""

NEXT_QUERY_GAPS = 1.5
"""Multiple of the longest pause on time after which the first target of a stream with
events is queried: about six times the typical pause, so that a short slowdown causes no
query."""

MIN_QUERY_S = 0.1
"""Shortest silence that causes a query: reports do not cover a shorter one."""

QUERY_AGAIN_S = 0.05
"""Time beyond a report's age before the next query: an earlier one gets the same
report."""

ABANDON_SHARE = 0.65
"""Share of the caller timeout after which a stream for which no dead stage was found
continues on another path, which needs about a quarter of that timeout."""


class StreamSilence(msgspec.Struct, frozen=True):
    """A stream as the watchdog sees it.

    Attributes
    ----------
    target_ids : tuple of str
        The targets of its path.
    silent_s : float
        Seconds since its last event, or since it was sent.
    typical_gap_s : float
        Its typical pause between events; 0 before the second one.
    allowed_s : float
        Longest pause, or longest time to its first event, that is on time.
    caller_patience_s : float
        Silence after which its caller leaves.
    report_lag_s : float
        Age of its first target's report on it.
    """

    target_ids: tuple[str, ...]
    silent_s: float
    has_events: bool
    typical_gap_s: float
    allowed_s: float
    caller_patience_s: float
    report_lag_s: float

    @property
    def query_after_s(self) -> float:
        """Return the silence after which its first target is queried."""
        factor = NEXT_QUERY_GAPS if self.has_events else FIRST_QUERY_SHARE
        return max(MIN_QUERY_S, factor * self.allowed_s)

    @property
    def probe_after_s(self) -> float:
        """Return the silence after which its targets may have to be probed."""
        return max(PROBE_SHARE * self.allowed_s, TYPICAL_GAPS * self.typical_gap_s)


def targets_to_probe(streams: Iterable[StreamSilence]) -> set[str]:
    """Return the targets that may be dead, judged by all streams together.

    When a target dies under a third of all streams, the first target of a path names it
    only 0.2 s later, when every pause is already too long.  A live target that is
    probed directly answers within milliseconds.  Only targets that no other stream has
    just passed are probed, so that this costs next to nothing while all targets answer.
    """
    streams = list(streams)
    silent_streams = [item for item in streams if item.silent_s >= item.probe_after_s]
    if not silent_streams:
        return set()
    event_ago_s_by_id: dict[str, float] = {}
    for item in streams:
        if item.has_events:
            for target_id in item.target_ids:
                known = event_ago_s_by_id.get(target_id, item.silent_s)
                event_ago_s_by_id[target_id] = min(known, item.silent_s)
    return {
        target_id
        for item in silent_streams
        for target_id in item.target_ids
        if event_ago_s_by_id.get(target_id, item.silent_s)
        >= ALIVE_SHARE * item.silent_s
    }


def next_check_s(
    streams: Iterable[StreamSilence], shortest_s: float, longest_s: float
) -> float:
    """Return the time until the next check of the streams can find one too silent.

    Most hosts of a large fleet hold two or three streams that all run normally.  Thirty
    checks a second find nothing there and take a tenth of what such a host spends.  A
    stream that just had an event can't be too silent before ``probe_after_s`` is over.
    """
    due_s = min(
        (item.probe_after_s - item.silent_s for item in streams), default=longest_s
    )
    return min(longest_s, max(shortest_s, due_s))


class Wait(msgspec.Struct, frozen=True):
    """No action is needed."""


class Ask(msgspec.Struct, frozen=True):
    """Query the path's first target for the stage that is stalled."""


class GiveUp(msgspec.Struct, frozen=True):
    """End this attempt and continue on another path."""


Step = Wait | Ask | GiveUp


def next_step(stream: StreamSilence, queried_ago_s: float, may_resume: bool) -> Step:
    """Return what to do about a stream.

    Parameters
    ----------
    queried_ago_s : float
        Seconds since its first target was last queried, for any stream.
    may_resume : bool
        Another attempt is allowed.
    """
    if stream.silent_s >= ABANDON_SHARE * stream.caller_patience_s and may_resume:
        return GiveUp()
    queried_recently = queried_ago_s < stream.report_lag_s + QUERY_AGAIN_S
    if stream.silent_s >= stream.query_after_s and not queried_recently:
        return Ask()
    return Wait()
