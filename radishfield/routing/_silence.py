"""When a silent stream is looked into, and when it is given up.

Load pattern: one target in the middle of a path dies, and every stream that passes
it falls silent while its first target still answers.  Nothing is cut off for
seconds, and callers leave after two.  So a stream that is silent for longer than its
events usually take is asked about at its first target, which names the part that
does not answer; the path is then changed around it.  Looked into sooner, every
burst would cost calls; later, callers leave before the new path has read the prompt.
"""

from collections.abc import Iterable

import msgspec

PROBE_SHARE = 0.3
"""Part of the longest pause that is still on time, or of the time to a first event,
after which the targets of a silent stream are probed.  The rest of a pause of 0.2 s
has room for a look, a probe, the order to change the path, one read of the prompt at
the new part and one round of a token, some 0.12 s in all."""

USUAL_GAPS = 2.0
"""Usual pauses of a stream before it counts as silent: a slow path is not dead."""

PROOF_SHARE = 0.8
"""Part of the silence within which an event of another stream shows that a target
which both pass is alive, so that it need not be probed."""

FIRST_ASK_SHARE = 0.6
"""Part of the objective after which a stream without an event is asked about at its
first target: some twice what 99 of 100 prompts take on a calm day, and early enough
that another path still begins about in time."""

NEXT_ASK_GAPS = 1.5
"""Longest pauses on time after which the same is done for the next event: some six
times the usual pause, so that a slow moment asks nothing."""

LEAST_ASK_S = 0.1
"""Shortest silence that is asked about: a report says nothing of the time before."""

ASK_AGAIN_S = 0.05
"""Time beyond a report's age before the next: asked sooner it repeats."""

GIVE_UP_SHARE = 0.65
"""Part of the callers' patience after which, with no dead part found, the stream goes
on elsewhere: another path needs about a quarter of it."""


class StreamSilence(msgspec.Struct, frozen=True):
    """A stream as the watchdog sees it.

    Attributes
    ----------
    target_ids : tuple of str
        The targets of its path.
    silent_s : float
        Seconds since its last event, or since it was sent.
    usual_gap_s : float
        Its usual pause between events; 0 before the second one.
    allowed_s : float
        Longest pause, or longest time to its first event, that is on time.
    caller_patience_s : float
        Silence after which its caller leaves.
    report_lag_s : float
        Age of what its first target says of it.
    """

    target_ids: tuple[str, ...]
    silent_s: float
    has_events: bool
    usual_gap_s: float
    allowed_s: float
    caller_patience_s: float
    report_lag_s: float

    @property
    def ask_after_s(self) -> float:
        """Return the silence after which its first target is asked."""
        times = NEXT_ASK_GAPS if self.has_events else FIRST_ASK_SHARE
        return max(LEAST_ASK_S, times * self.allowed_s)

    @property
    def patience_s(self) -> float:
        """Return the silence after which something may be wrong."""
        return max(PROBE_SHARE * self.allowed_s, USUAL_GAPS * self.usual_gap_s)


def targets_to_probe(streams: Iterable[StreamSilence]) -> set[str]:
    """Return the targets that may be dead, by what all streams show together.

    Load pattern: a target dies under a third of all streams.  Its path's first
    target names it only 0.2 s later, when every pause is already too long; asked
    directly, a live target answers within milliseconds.  Only targets that no other
    stream has just passed are asked, so that calm seconds cost next to nothing.
    """
    streams = list(streams)
    quiet = [item for item in streams if item.silent_s >= item.patience_s]
    if not quiet:
        return set()
    heard_ago_by_id: dict[str, float] = {}
    for item in streams:
        if item.has_events:
            for target_id in item.target_ids:
                known = heard_ago_by_id.get(target_id, item.silent_s)
                heard_ago_by_id[target_id] = min(known, item.silent_s)
    return {
        target_id
        for item in quiet
        for target_id in item.target_ids
        if heard_ago_by_id.get(target_id, item.silent_s) >= PROOF_SHARE * item.silent_s
    }


def next_look_s(
    streams: Iterable[StreamSilence], shortest_s: float, longest_s: float
) -> float:
    """Return after how long the next look at the streams can find one too silent.

    Load pattern: most hosts of a large fleet hold two or three streams that all go
    well.  Looking thirty times a second finds nothing and is a tenth of what such a
    host spends; a stream that was just heard can't be too silent before its
    patience is over.
    """
    due_s = min(
        (item.patience_s - item.silent_s for item in streams), default=longest_s
    )
    return min(longest_s, max(shortest_s, due_s))


class Wait(msgspec.Struct, frozen=True):
    """Nothing is to be done."""


class Ask(msgspec.Struct, frozen=True):
    """Ask the path's first target what stands still."""


class GiveUp(msgspec.Struct, frozen=True):
    """End this attempt and go on at another path."""


Step = Wait | Ask | GiveUp


def next_step(stream: StreamSilence, asked_ago_s: float, may_resume: bool) -> Step:
    """Return what to do about a stream.

    Parameters
    ----------
    asked_ago_s : float
        Seconds since its first target was last asked, by any stream.
    may_resume : bool
        Another attempt is allowed.
    """
    if stream.silent_s >= GIVE_UP_SHARE * stream.caller_patience_s and may_resume:
        return GiveUp()
    asked_lately = asked_ago_s < stream.report_lag_s + ASK_AGAIN_S
    if stream.silent_s >= stream.ask_after_s and not asked_lately:
        return Ask()
    return Wait()
