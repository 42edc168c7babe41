"""Confirms a host's configuration through peers when it cannot reach the store.

The store may reject single hosts, or a network partition may separate them from it,
while it serves the others.  Such a host would refuse every key within seconds, although
a peer knows that the host's configuration is the newest.  A peer's confirmation counts
from the time at which this host last sent it a request: the answer was made later, so a
configuration that was confirmed ``age_s`` before the answer was made was confirmed no
earlier than the time of the request less ``age_s``, regardless of transit time and of
the peer's clock.
"""

import msgspec

MAX_FAILING_S = 1.0
"""Time for which every call to the store must have failed before this host directs
callers to its peers: several retries, and half of the time that keys are admitted."""

MAX_SILENT_S = 3.0
"""Time without an answer that has the same effect: a watch waits two seconds and may be
late by one more."""

MAX_PEER_AGE_S = 2.6
"""A peer with an answer from the store at most this long ago can reach the store."""


class PeerConfirmation(msgspec.Struct, frozen=True):
    """Another host's report on its configuration.

    Attributes
    ----------
    asked_at : float
        When this host sent the last request that the other host had received, on
        this host's clock.
    """

    version: int
    age_s: float
    asked_at: float


def confirmed_by_peer_at(confirmation: PeerConfirmation, version: int) -> float | None:
    """Return when another host confirmed the active version.

    None if the other host has a different version: an older one proves nothing, and a
    newer one proves that this host's version is not the newest.
    """
    if confirmation.version != version:
        return None
    return confirmation.asked_at - confirmation.age_s


def sends_callers_away(
    failing_s: float,
    silent_s: float,
    live_peers: int,
    freshest_s: float,
    any_peer_seen: bool,
) -> bool:
    """Return whether other hosts can serve callers better than this one.

    Parameters
    ----------
    failing_s, silent_s : float
        For how long this host's calls to the store have failed, and how long ago
        it had an answer.
    live_peers : int
        Number of hosts from which messages were received recently.
    freshest_s : float
        Shortest time since any of those hosts had an answer from the store.
    any_peer_seen : bool
        A message from some host has been received since the start, so that silence
        now means that this host is disconnected.
    """
    if failing_s < MAX_FAILING_S and silent_s < MAX_SILENT_S:
        return False
    if live_peers:
        # If no host reaches the store, sending callers elsewhere gains nothing.
        return freshest_s < MAX_PEER_AGE_S
    return any_peer_seen
