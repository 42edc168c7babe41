"""Who a host is among its peers, and how often it calls them."""

from dataclasses import dataclass

from radishfield.edges._peer_seal import PeerKey


@dataclass(slots=True, frozen=True)
class PeerSettings:
    """Who this host is among its peers.

    Attributes
    ----------
    address : str
        ``ip:port``, both bound and told to others.
    keys : tuple of PeerKey
        The first one signs; all are accepted.
    seeds : tuple of str
        Addresses to try first; hosts from the platform's list come on top.
    period_s : float
        Seconds between probes, doubled in a fleet of over 100 hosts.
    incarnation : int
        0 takes the wall clock in milliseconds, which rises at each start.
    """

    id: str
    zone: str
    address: str
    keys: tuple[PeerKey, ...]
    seeds: tuple[str, ...] = ()
    period_s: float = 0.5
    incarnation: int = 0
