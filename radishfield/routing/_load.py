"""Work at each target: this host's own, and what other hosts report.

When nine hosts send to the same targets, each sees only what it sent itself.  Judged by
that alone, all of them would take the same target for idle.  So hosts report their work
a few times a second.  Between two status messages a host counts its own work exactly,
and that of the others as last reported.

In zones of many hosts the totals of zones replace the reports of single hosts.
"""

from collections.abc import Iterable, Mapping

import msgspec

from radishfield.routing._zone_sums import ZoneTotals

REMOTE_LIFETIME_S = 3.0
"""A host that has reported nothing for this long is taken to hold nothing: it was
killed, or it is partitioned and its work runs out.  This is ten status messages at the
typical rate."""


class TargetLoad(msgspec.Struct):
    """Requests at a target, and the token-layers that they will fill there."""

    requests: int = 0
    token_layers: float = 0.0
    as_first: int = 0

    def add(self, token_layers: float, first: bool, sign: int = 1) -> None:
        """Count one request in, or with ``sign`` -1 out."""
        self.requests += sign
        self.token_layers += sign * token_layers
        self.as_first += sign if first else 0


class _Reported(msgspec.Struct, frozen=True):
    at: float
    held_by_id: Mapping[str, TargetLoad]
    zone: str = ""


class LoadTable(msgspec.Struct):
    """Work by target, summed over this host and the others."""

    own_by_id: dict[str, TargetLoad] = msgspec.field(default_factory=dict)
    _reported_by_host: dict[str, _Reported] = msgspec.field(default_factory=dict)
    _remote_by_id: dict[str, TargetLoad] = msgspec.field(default_factory=dict)
    sums: ZoneTotals = msgspec.field(default_factory=ZoneTotals)
    _zone_total_by_id: dict[str, TargetLoad] | None = None

    def started(self, target_id: str, token_layers: float, first: bool) -> None:
        """Count a request that was sent to a target."""
        self.own_by_id.setdefault(target_id, TargetLoad()).add(token_layers, first)

    def ended(self, target_id: str, token_layers: float, first: bool) -> None:
        """Remove a request that has ended from the count."""
        held = self.own_by_id[target_id]
        held.add(token_layers, first, sign=-1)
        if held.requests == 0:
            del self.own_by_id[target_id]

    def report_remote(
        self,
        host: str,
        held_by_id: Mapping[str, TargetLoad],
        now: float,
        zone: str = "",
    ) -> None:
        """Store the work that another host reports."""
        self._drop_report(host)
        self._reported_by_host[host] = _Reported(now, held_by_id, zone)
        for target_id, held in held_by_id.items():
            _add(self._remote_by_id.setdefault(target_id, TargetLoad()), held, 1)

    def expire_remote(self, now: float) -> None:
        """Drop the reports of hosts that have fallen silent."""
        for host, reported in list(self._reported_by_host.items()):
            if now - reported.at >= REMOTE_LIFETIME_S:
                self._drop_report(host)

    def told_own(self, now: float) -> None:
        """Record what this host reports now, to subtract it from later totals."""
        self.sums.told_own(now, _sum_by_target([self.own_by_id]))

    def sum_of(self, hosts: Iterable[str]) -> dict[str, TargetLoad]:
        """Return the total work of this host and the given hosts."""
        reports = [self._reported_by_host.get(host) for host in hosts]
        reported = [report.held_by_id for report in reports if report is not None]
        return _sum_by_target([self.own_by_id, *reported])

    def add_up(self, own_zone: str, now: float) -> None:
        """Use the zone totals, or the reports of single hosts where there are none.

        Zones of few hosts send no totals; the reports of their hosts are added one by
        one.  This host counts its own work exactly, so what it had reported when its
        zone's total was made is subtracted from that total.
        """
        sums = self.sums.fresh(now)
        if own_zone not in sums:
            self._zone_total_by_id = None
            return
        by_zone = [item.by_key for item in sums.values()]
        by_host = [
            report.held_by_id
            for report in self._reported_by_host.values()
            if report.zone not in sums
        ]
        total = _sum_by_target(by_zone + by_host)
        for target_id, held in self.sums.own_report_at(sums[own_zone].at).items():
            if target_id in total:
                _add(total[target_id], held, -1)
        self._zone_total_by_id = total

    def held(self, target_id: str) -> TargetLoad:
        """Return all known work at a target."""
        own = self.own_by_id.get(target_id)
        remote = self._remote_work().get(target_id)
        if remote is None:
            return own or TargetLoad()
        if own is None:
            return remote
        return TargetLoad(
            own.requests + remote.requests,
            own.token_layers + remote.token_layers,
            own.as_first + remote.as_first,
        )

    def streams(self) -> int:
        """Return how many streams are known to run, each counted at its first stage."""
        return sum(
            held.as_first
            for held_by_id in (self.own_by_id, self._remote_work())
            for held in held_by_id.values()
        )

    def _remote_work(self) -> Mapping[str, TargetLoad]:
        """Return the work of the other hosts, from zone totals where there are any."""
        if self._zone_total_by_id is not None:
            return self._zone_total_by_id
        return self._remote_by_id

    def _drop_report(self, host: str) -> None:
        """Remove the last report of a host.

        Totals are updated instead of being rebuilt: with forty hosts that report twenty
        targets each, rebuilding them for each message took a host a twentieth of its
        time.
        """
        reported = self._reported_by_host.pop(host, None)
        if reported is None:
            return
        for target_id, held in reported.held_by_id.items():
            total = self._remote_by_id[target_id]
            _add(total, held, -1)
            if total.requests <= 0:
                del self._remote_by_id[target_id]


def _sum_by_target(
    load_maps: Iterable[Mapping[str, TargetLoad]],
) -> dict[str, TargetLoad]:
    """Return the sum of several hosts' or zones' work, by target."""
    total: dict[str, TargetLoad] = {}
    for held_by_id in load_maps:
        for target_id, held in held_by_id.items():
            _add(total.setdefault(target_id, TargetLoad()), held, 1)
    return total


def _add(total: TargetLoad, held: TargetLoad, sign: int) -> None:
    total.requests += sign * held.requests
    total.token_layers += sign * held.token_layers
    total.as_first += sign * held.as_first
