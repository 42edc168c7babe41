"""How much work each target holds: this host's own, and what other hosts tell.

Load pattern: nine hosts send to the same targets, and each sees only what it sent
itself.  Judged by that alone all of them take the same target for idle.  What the
others hold is told by them a few times a second; between two tellings a host
counts its own work exactly, and the others' as last told.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

REMOTE_LIFETIME_S = 3.0
"""A host that has told nothing for this long holds nothing: it was killed, or is
cut off and its work runs out.  Ten tellings at the usual pace."""


@dataclass(slots=True)
class Held:
    """Requests at a target, and the token-layers that they will fill there."""

    requests: int = 0
    token_layers: float = 0.0
    as_first: int = 0

    def add(self, token_layers: float, first: bool, sign: int = 1) -> None:
        """Count one request in, or with ``sign`` -1 out."""
        self.requests += sign
        self.token_layers += sign * token_layers
        self.as_first += sign if first else 0


@dataclass(slots=True, frozen=True)
class _Told:
    at: float
    held_by_id: Mapping[str, Held]


@dataclass(slots=True)
class LoadBook:
    """Work by target, summed over this host and the others."""

    own_by_id: dict[str, Held] = field(default_factory=dict)
    _told_by_host: dict[str, _Told] = field(default_factory=dict)
    _remote_by_id: dict[str, Held] = field(default_factory=dict)

    def started(self, target_id: str, token_layers: float, first: bool) -> None:
        """Count a request that was sent to a target."""
        self.own_by_id.setdefault(target_id, Held()).add(token_layers, first)

    def ended(self, target_id: str, token_layers: float, first: bool) -> None:
        """Count a request out again."""
        held = self.own_by_id[target_id]
        held.add(token_layers, first, sign=-1)
        if held.requests == 0:
            del self.own_by_id[target_id]

    def told(self, host: str, held_by_id: Mapping[str, Held], now: float) -> None:
        """Take what another host says that it holds."""
        self._told_by_host[host] = _Told(now, held_by_id)
        self._sum(now)

    def forget_silent(self, now: float) -> None:
        """Drop what hosts told that have fallen silent."""
        self._sum(now)

    def held(self, target_id: str) -> Held:
        """Return all work that is known at a target."""
        own = self.own_by_id.get(target_id)
        remote = self._remote_by_id.get(target_id)
        if remote is None:
            return own or Held()
        if own is None:
            return remote
        return Held(
            own.requests + remote.requests,
            own.token_layers + remote.token_layers,
            own.as_first + remote.as_first,
        )

    def _sum(self, now: float) -> None:
        self._told_by_host = {
            host: told
            for host, told in self._told_by_host.items()
            if now - told.at < REMOTE_LIFETIME_S
        }
        total: dict[str, Held] = {}
        for told in self._told_by_host.values():
            for target_id, held in told.held_by_id.items():
                into = total.setdefault(target_id, Held())
                into.requests += held.requests
                into.token_layers += held.token_layers
                into.as_first += held.as_first
        self._remote_by_id = total
