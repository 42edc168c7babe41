"""When a silent stream is looked into, and when it is given up.

Load pattern: one target in the middle of a path dies, and every stream that passes
it falls silent while its first target still answers.  Nothing is cut off for
seconds, and callers leave after two.  So a stream that is silent for longer than its
events usually take is asked about at its first target, which names the part that
does not answer; the path is then changed around it.  Looked into sooner, every
burst would cost calls; later, callers leave before the new path has read the prompt.
"""

from dataclasses import dataclass

FIRST_EVENT_S = 0.3
"""Silence before a stream's first event: twice what 99 of 100 prompts take on a calm
day, and early enough that another path still begins within half a second."""

NEXT_EVENT_S = 0.3
"""Silence between events: some six times the usual pause, and longer than the
reports' lag, so that the first report already shows a part that died."""

ASK_AGAIN_S = 0.25
"""Reports are some two hundred milliseconds old; asked sooner they repeat."""

GIVE_UP_S = 1.3
"""Silence, with no dead part found, after which the stream goes on elsewhere: the
caller stays for two seconds, and another path needs half of one."""


@dataclass(slots=True, frozen=True)
class Wait:
    """Nothing is to be done."""


@dataclass(slots=True, frozen=True)
class Ask:
    """Ask the path's first target what stands still."""


@dataclass(slots=True, frozen=True)
class GiveUp:
    """End this attempt and go on at another path."""


Step = Wait | Ask | GiveUp


def next_step(
    silent_s: float, has_events: bool, asked_ago_s: float, may_resume: bool
) -> Step:
    """Return what to do about a stream.

    Parameters
    ----------
    silent_s : float
        Seconds since its last event, or since it was sent.
    asked_ago_s : float
        Seconds since its first target was last asked, by any stream.
    may_resume : bool
        Another attempt is allowed.
    """
    if silent_s >= GIVE_UP_S and may_resume:
        return GiveUp()
    patience_s = NEXT_EVENT_S if has_events else FIRST_EVENT_S
    if silent_s >= patience_s and asked_ago_s >= ASK_AGAIN_S:
        return Ask()
    return Wait()
