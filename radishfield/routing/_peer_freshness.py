"""What hosts that reach the store are worth to one that does not.

Load pattern: the store turns single hosts away, or a cut parts them from it, while
it serves the others.  Such a host would refuse every key within seconds, though a
neighbour knows that its configuration is the newest.  A neighbour's confirmation
counts from the moment at which this host last asked it: the answer was made later
than that, so a configuration that was confirmed ``age_s`` before the answer was made
was confirmed no earlier than the question less ``age_s``, whatever the way there
took and whatever the neighbour's clock shows.
"""

import msgspec

FAILING_S = 1.0
"""Time for which every call to the store has failed, from which on this host sends
callers to its neighbours: some retries, and half of what keys are admitted for."""

SILENT_S = 3.0
"""Time without an answer that means the same: a watch that waited its two seconds
and was late by another."""

FRESH_S = 2.6
"""A neighbour that had an answer this lately reaches the store."""


class PeerConfirmation(msgspec.Struct, frozen=True):
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


def confirmed_by_peer_at(confirmation: PeerConfirmation, version: int) -> float | None:
    """Return when the version in force was confirmed, by another host.

    None where the other one has another version: an older one proves nothing, and a
    newer one proves that this host's is not the newest.
    """
    if confirmation.version != version:
        return None
    return confirmation.asked_at - confirmation.age_s


def sends_callers_away(
    failing_s: float, silent_s: float, heard: int, freshest_s: float, ever_heard: bool
) -> bool:
    """Return whether callers are better served by other hosts.

    Parameters
    ----------
    failing_s, silent_s : float
        For how long this host's calls to the store have failed, and how long ago
        it had an answer.
    heard : int
        Hosts that were heard lately.
    freshest_s : float
        How long ago a host that was heard lately had an answer, at the least.
    ever_heard : bool
        Some host has been heard since the start, so that silence means a cut.
    """
    if failing_s < FAILING_S and silent_s < SILENT_S:
        return False
    if heard:
        # Where no host reaches the store, one is as good as another.
        return freshest_s < FRESH_S
    return ever_heard
