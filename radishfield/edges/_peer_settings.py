"""Settings of a host's connection to its peers."""

from dataclasses import dataclass

from radishfield.edges._peer_seal import PeerKey


@dataclass(slots=True, frozen=True)
class PeerSettings:
    """Identity of this host among its peers, and the probe period.

    Attributes
    ----------
    address : str
        ``ip:port``, both bound and announced to other hosts.
    keys : tuple of PeerKey
        The first one signs frames; all are accepted.
    seeds : tuple of str
        Addresses to try first; hosts from the platform's list are added.
    period_s : float
        Seconds between probes, doubled in a fleet of over 100 hosts.
    incarnation : int
        0 means the wall clock in milliseconds, which is higher at each start.
    """

    id: str
    zone: str
    address: str
    keys: tuple[PeerKey, ...]
    seeds: tuple[str, ...] = ()
    period_s: float = 0.5
    incarnation: int = 0
