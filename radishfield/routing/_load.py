"""How much work each target holds: this host's own, and what other hosts tell.

Load pattern: nine hosts send to the same targets, and each sees only what it sent
itself.  Judged by that alone all of them take the same target for idle.  What the
others hold is told by them a few times a second; between two statuses a host
counts its own work exactly, and the others' as last told.

In zones of many hosts the sums of zones take the place of single hosts' words.
"""

from collections.abc import Iterable, Mapping

import msgspec

from radishfield.routing._zone_sums import ZoneSums

REMOTE_LIFETIME_S = 3.0
"""A host that has told nothing for this long holds nothing: it was killed, or is
cut off and its work runs out.  Ten statuses at the usual pace."""


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
    sums: ZoneSums = msgspec.field(default_factory=ZoneSums)
    _summed_by_id: dict[str, TargetLoad] | None = None

    def started(self, target_id: str, token_layers: float, first: bool) -> None:
        """Count a request that was sent to a target."""
        self.own_by_id.setdefault(target_id, TargetLoad()).add(token_layers, first)

    def ended(self, target_id: str, token_layers: float, first: bool) -> None:
        """Count a request out again."""
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
        """Take what another host says that it holds."""
        self._drop(host)
        self._reported_by_host[host] = _Reported(now, held_by_id, zone)
        for target_id, held in held_by_id.items():
            _add(self._remote_by_id.setdefault(target_id, TargetLoad()), held, 1)

    def expire_remote(self, now: float) -> None:
        """Drop what hosts told that have fallen silent."""
        for host, told in list(self._reported_by_host.items()):
            if now - told.at >= REMOTE_LIFETIME_S:
                self._drop(host)

    def told_own(self, now: float) -> None:
        """Note what this host tells of itself now, to take it out of later sums."""
        self.sums.told_own(now, _added_up([self.own_by_id]))

    def sum_of(self, hosts: Iterable[str]) -> dict[str, TargetLoad]:
        """Return the work of this host and of the hosts given."""
        reports = [self._reported_by_host.get(host) for host in hosts]
        told = [report.held_by_id for report in reports if report is not None]
        return _added_up([self.own_by_id, *told])

    def add_up(self, own_zone: str, now: float) -> None:
        """Make the sums count, or what single hosts told where there are none.

        Zones of few hosts tell no sums; what their hosts told is added one by one.
        What this host holds is counted exactly; so what it had told when its zone's
        sum was made is taken out of that.
        """
        sums = self.sums.fresh(now)
        if own_zone not in sums:
            self._summed_by_id = None
            return
        by_zone = [item.by_key for item in sums.values()]
        by_host = [
            report.held_by_id
            for report in self._reported_by_host.values()
            if report.zone not in sums
        ]
        total = _added_up(by_zone + by_host)
        for target_id, held in self.sums.own_at(sums[own_zone].at).items():
            if target_id in total:
                _add(total[target_id], held, -1)
        self._summed_by_id = total

    def held(self, target_id: str) -> TargetLoad:
        """Return all work that is known at a target."""
        own = self.own_by_id.get(target_id)
        remote = self._others().get(target_id)
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
        """Return how many streams are known to run, each counted at its first part."""
        return sum(
            held.as_first
            for held_by_id in (self.own_by_id, self._others())
            for held in held_by_id.values()
        )

    def _others(self) -> Mapping[str, TargetLoad]:
        """Return the work of the other hosts, by their zones' sums where there are."""
        if self._summed_by_id is not None:
            return self._summed_by_id
        return self._remote_by_id

    def _drop(self, host: str) -> None:
        """Take out what a host told last.

        Sums are kept up to date instead of being made anew: with forty hosts that
        tell twenty targets each, adding all of it up at each message took a host
        a twentieth of its time.
        """
        told = self._reported_by_host.pop(host, None)
        if told is None:
            return
        for target_id, held in told.held_by_id.items():
            total = self._remote_by_id[target_id]
            _add(total, held, -1)
            if total.requests <= 0:
                del self._remote_by_id[target_id]


def _added_up(parts: Iterable[Mapping[str, TargetLoad]]) -> dict[str, TargetLoad]:
    """Return the sum of several hosts' or zones' work, by target."""
    total: dict[str, TargetLoad] = {}
    for held_by_id in parts:
        for target_id, held in held_by_id.items():
            _add(total.setdefault(target_id, TargetLoad()), held, 1)
    return total


def _add(total: TargetLoad, held: TargetLoad, sign: int) -> None:
    total.requests += sign * held.requests
    total.token_layers += sign * held.token_layers
    total.as_first += sign * held.as_first
