"""What hosts that reach the store are worth to one that does not.

Load pattern: the store turns single hosts away, or a cut parts them from it, while
it serves the others.  Such a host would refuse every key within seconds, though a
neighbour knows that its configuration is the newest.  A neighbour's word counts from
the moment at which this host last asked it: the answer was made later than that, so
a configuration that was confirmed ``age_s`` before the answer was made was confirmed
no earlier than the question less ``age_s``, whatever the way there took and whatever
the neighbour's clock shows.
"""

from dataclasses import dataclass

UNSOUND_S = 2.4
"""Age of the configuration from which on this host sends callers to its neighbours:
one watch that waits its time, and a second one that should have answered since."""

FRESH_S = 2.0
"""A neighbour whose own view is no older reaches the store."""


@dataclass(slots=True, frozen=True)
class Word:
    """What another host says of its configuration.

    Attributes
    ----------
    asked_at : float
        When this host sent the question that the other one had heard last; on
        this host's clock.
    """

    version: int
    age_s: float
    asked_at: float


def vouched_at(word: Word, version: int) -> float | None:
    """Return when the version in force was confirmed, by another host's word.

    None where the other one has another version: an older one proves nothing, and a
    newer one proves that this host's is not the newest.
    """
    if word.version != version:
        return None
    return word.asked_at - word.age_s


def sends_callers_away(
    own_age_s: float, heard: int, freshest_s: float, was_heard: bool
) -> bool:
    """Return whether callers are better served by other hosts.

    Parameters
    ----------
    own_age_s : float
        Age of this host's own answers from the store.
    heard : int
        Hosts that were heard lately.
    freshest_s : float
        Least age of a configuration at a host that was heard lately.
    was_heard : bool
        Some host has been heard since the start, so that silence means a cut.
    """
    if own_age_s < UNSOUND_S:
        return False
    if heard:
        # Where no host reaches the store, one is as good as another.
        return freshest_s < FRESH_S
    return was_heard
