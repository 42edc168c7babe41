"""Usage of the links between zones, and the cost of a further crossing.

When a zone lacks some layers, its requests cross to another zone and back.  A prompt
holds the link for tens of milliseconds, and each token of every stream that crosses
waits behind it.  At half of the link's rate this already doubles the time of a token.
Beyond that, streams last longer, hold their memory longer, and the whole fleet fills
up.  A crossing is therefore priced by the wait that it meets and the wait that it
causes.

A link is a queue.  When many targets become unreachable at once, every path crosses
zones, and what exceeds the link's rate stays queued until it is sent, still wanted or
not.  Each stream waits behind prompts whose callers have left and is abandoned in its
turn, so no stream is served for as long as prompts are sent.  So a link that is full or
has a backlog is closed to further prompts, whether or not there is another path.
"""

from collections import deque
from collections.abc import Iterable, Mapping

import msgspec

from radishfield.routing._zone_sums import ZoneTotals

WINDOW_S = 2.0
"""Time over which crossings are averaged: about ten prompts of a typical host."""

FULL_SHARE = 0.7
"""Share of a link's time from which it is closed: each token then waits behind prompts
for more than twice the transfer time of one prompt."""

MAX_BACKLOG_S = 0.1
"""Backlog from which a link is closed: a sixth of the time in which callers want their
first event.  Some of the backlog is reported late."""

Pair = tuple[str, str]


def pair_of(zone: str, other: str) -> Pair:
    """Return the name of the link between two zones."""
    return (zone, other) if zone <= other else (other, zone)


class _Reported(msgspec.Struct, frozen=True):
    zone: str
    share_by_pair: Mapping[Pair, float]


class LinkUsage(msgspec.Struct):
    """Time for which prompts hold the links, by pair of zones."""

    _crossings: deque[tuple[float, Pair, float]] = msgspec.field(default_factory=deque)
    _reported_by_host: dict[str, _Reported] = msgspec.field(default_factory=dict)
    sums: ZoneTotals = msgspec.field(default_factory=ZoneTotals)
    _backlog_s_by_pair: dict[Pair, float] = msgspec.field(default_factory=dict)
    _advanced_at: float | None = None

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

    def own_crossings(self, pair: Pair, since: float) -> int:
        """Return how many prompts this host sent over a link since a time."""
        return sum(at >= since and other == pair for at, other, _ in self._crossings)

    def told_own(self, now: float) -> None:
        """Record what this host reports now, to subtract it from later totals."""
        self.sums.told_own(now, self.own_shares(now))

    def report_remote(
        self, host: str, share_by_pair: Mapping[Pair, float], zone: str = ""
    ) -> None:
        """Store the shares that another host reports for its own prompts."""
        self._reported_by_host[host] = _Reported(zone, share_by_pair)

    def forget(self, host: str) -> None:
        """Drop the report of a host that has fallen silent."""
        self._reported_by_host.pop(host, None)

    def sum_of(self, hosts: Iterable[str], now: float) -> dict[Pair, float]:
        """Return the total shares of this host and the given hosts."""
        reports = [self._reported_by_host.get(host) for host in hosts]
        reported = [report.share_by_pair for report in reports if report is not None]
        return _sum_by_pair([self.own_shares(now), *reported])

    def shares(self, now: float, own_zone: str = "") -> dict[Pair, float]:
        """Return the share of each link's time that all hosts' prompts take.

        Single reports of hosts outside the own zone arrive too seldom to be added up.
        A zone that sends a total is counted by its total.
        """
        sums = self.sums.fresh(now)
        share_maps = [item.by_key for item in sums.values()]
        share_maps += [
            report.share_by_pair
            for report in self._reported_by_host.values()
            if report.zone not in sums
        ]
        total = _sum_by_pair([self.own_shares(now), *share_maps])
        if own_zone in sums:
            for pair, share in self.sums.own_report_at(sums[own_zone].at).items():
                total[pair] = max(0.0, total.get(pair, 0.0) - share)
        return total

    def advance(self, now: float, own_zone: str = "") -> None:
        """Update the backlog of each link: what was sent less what the link carried."""
        last_at, self._advanced_at = self._advanced_at, now
        if last_at is None:
            return
        shares = self.shares(now, own_zone)
        for pair in shares.keys() | self._backlog_s_by_pair.keys():
            growth_s = (shares.get(pair, 0.0) - 1.0) * (now - last_at)
            backlog_s = self._backlog_s_by_pair.get(pair, 0.0) + growth_s
            if backlog_s > 0.0:
                self._backlog_s_by_pair[pair] = backlog_s
            else:
                self._backlog_s_by_pair.pop(pair, None)

    def backlog_s(self, pair: Pair) -> float:
        """Return for how long a link is busy with what was already sent."""
        return self._backlog_s_by_pair.get(pair, 0.0)

    def full(self, share_by_pair: Mapping[Pair, float]) -> set[Pair]:
        """Return the links that are closed to further prompts."""
        by_share = {p for p, share in share_by_pair.items() if share >= FULL_SHARE}
        by_backlog = {
            pair
            for pair, backlog_s in self._backlog_s_by_pair.items()
            if backlog_s >= MAX_BACKLOG_S
        }
        return by_share | by_backlog


def crossing_ms(share: float, transfer_ms: float, delay_ms: float) -> float:
    """Return what crossing a link that is not full costs each token of a stream.

    Half of it is the wait behind the prompts on the link.  The other half is the wait
    that this stream's own prompt adds for the others.
    """
    busy = min(share, FULL_SHARE)
    return delay_ms + transfer_ms * (0.1 + busy / (1.0 - busy))


def _sum_by_pair(share_maps: Iterable[Mapping[Pair, float]]) -> dict[Pair, float]:
    total: dict[Pair, float] = {}
    for share_by_pair in share_maps:
        for pair, share in share_by_pair.items():
            total[pair] = total.get(pair, 0.0) + share
    return total
