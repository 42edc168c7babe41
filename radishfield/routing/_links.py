"""How busy the links between zones are, and what a further crossing costs.

Load pattern: a zone lacks some layers, so its requests cross to another zone and
back.  A prompt holds the link for tens of milliseconds, and each token of every
stream that crosses waits behind it.  At half of the link's rate that already doubles
the time of a token; beyond, streams last longer, hold their memory longer, and the
whole fleet fills up.  A crossing is therefore priced by the wait that it meets and
makes, and none is added where the link is nearly full.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

WINDOW_S = 2.0
"""Time over which crossings are averaged: some ten prompts of a usual host."""

FULL_SHARE = 0.7
"""Share of a link's time from which on nothing more is sent across: the wait behind
prompts is then over twice a prompt's transfer, for each token."""

FULL_MS = 1000.0
"""Cost of a crossing over a full link: only where no other path is left."""

Pair = tuple[str, str]


def pair_of(zone: str, other: str) -> Pair:
    """Return the name of the link between two zones."""
    return (zone, other) if zone <= other else (other, zone)


@dataclass(slots=True)
class LinkUsage:
    """Time for which prompts hold the links, by pair of zones."""

    _crossings: deque[tuple[float, Pair, float]] = field(default_factory=deque)
    _reported_by_host: dict[str, Mapping[Pair, float]] = field(default_factory=dict)

    def crossed(self, pair: Pair, transfer_ms: float, now: float) -> None:
        """Count a prompt that was sent over a link."""
        self._crossings.append((now, pair, transfer_ms))

    def own_shares(self, now: float) -> dict[Pair, float]:
        """Return the share of each link's time that this host's prompts take."""
        while self._crossings and self._crossings[0][0] < now - WINDOW_S:
            self._crossings.popleft()
        shares: dict[Pair, float] = {}
        for _, pair, transfer_ms in self._crossings:
            shares[pair] = shares.get(pair, 0.0) + transfer_ms / 1e3 / WINDOW_S
        return shares

    def report_remote(self, host: str, share_by_pair: Mapping[Pair, float]) -> None:
        """Take what another host says of its own prompts."""
        self._reported_by_host[host] = share_by_pair

    def forget(self, host: str) -> None:
        """Drop what a host told that has fallen silent."""
        self._reported_by_host.pop(host, None)

    def shares(self, now: float) -> dict[Pair, float]:
        """Return the share of each link's time that all hosts' prompts take."""
        total = self.own_shares(now)
        for told in self._reported_by_host.values():
            for pair, share in told.items():
                total[pair] = total.get(pair, 0.0) + share
        return total


def crossing_ms(share: float, transfer_ms: float, delay_ms: float) -> float:
    """Return what a crossing costs each token of a stream.

    Half of it is the wait behind the prompts that are on the link, the other half
    what this stream's own prompt adds to the waits of the others.
    """
    if share >= FULL_SHARE:
        return FULL_MS
    return delay_ms + transfer_ms * (0.1 + share / (1.0 - share))
