"""Decides whether a host connects to a target itself or through another host.

A host that fails to reach a target does not know whether the target or its own link is
at fault.  Another host that connects to the same target at the same moment tells the
two apart, so every connection that is late or refused is also opened through another
host.  What that shows is kept here, by the target's address.
"""

import math
import random
from collections.abc import Collection, Sequence

import msgspec

HEAD_START_S = 0.1
"""Time for which only the direct connection is tried.  A target of the region accepts
within milliseconds, and a host that is out of its share of the processor goes on within
a tenth of a second."""

SUSPICIOUS_HEAD_START_S = 0.02
"""The same while several links of this host are down."""

RELAY_STEP_S = 0.05
"""Time after which the next host is asked while an earlier one has not answered: ten
times what a host of the region takes to connect."""

MIN_DOWN_S = 1.0
MAX_DOWN_S = 4.0
"""Time for which a target is not tried directly after its link was found down: starts
at the minimum and doubles each time that it is found down again."""

RECENT_S = 5.0
"""Age up to which a link that was found down says something about the others."""

MIN_SUSPICIOUS_LINKS = 2
"""Number of links found down recently from which the host's own network is suspected.
A single one may be the target's."""

MIN_ISOLATED_FAILURES = 3
ISOLATED_S = 2.0
"""A host that fails to reach this many targets in this time, and reaches none, is cut
off itself: its failures say nothing of the targets."""

MAX_RELAYS = 4
"""Hosts that are asked for one connection."""

AVOID_S = 2.0
"""Time for which a host that did not answer is asked last: it is frozen, has ended, or
the link to it is down."""


class RelayHost(msgspec.Struct, frozen=True):
    """Another host that opens connections to targets for this one.

    Attributes
    ----------
    address : tuple of str and int
        Where it accepts connections of other hosts.
    sound : bool
        It reported that its own links to targets work.
    """

    id: str
    address: tuple[str, int]
    zone: str
    sound: bool


class ConnectPlan(msgspec.Struct, frozen=True):
    """How to connect to a target.

    Attributes
    ----------
    direct : bool
        Try the host's own link first.
    head_start_s : float
        Time before another host is asked as well, unless the direct connection fails.
    """

    direct: bool
    head_start_s: float


class _DownLink(msgspec.Struct):
    """A link that was found down; kept when restored, so that the next try is later."""

    since: float
    found_at: float
    retry_at: float
    length_s: float
    restored: bool = False


class TargetLinks(msgspec.Struct):
    """What a host knows of its own links to targets, by the targets' addresses."""

    _down_by_address: dict[str, _DownLink] = msgspec.field(default_factory=dict)
    _failed_at_by_address: dict[str, float] = msgspec.field(default_factory=dict)
    _reached_at: float = -math.inf
    _suspected_since: float = -math.inf
    _avoided_until_by_host: dict[str, float] = msgspec.field(default_factory=dict)

    def plan(self, address: str, now: float) -> ConnectPlan:
        """Return how to connect to a target now."""
        head_start_s = HEAD_START_S
        if self.suspicious(now):
            head_start_s = SUSPICIOUS_HEAD_START_S
        link = self._down_by_address.get(address)
        if link is None or link.restored:
            return ConnectPlan(True, head_start_s)
        if now < link.retry_at:
            return ConnectPlan(False, 0.0)
        # Other connections to the target do not wait for the outcome of this one.
        link.retry_at = now + link.length_s
        return ConnectPlan(True, SUSPICIOUS_HEAD_START_S)

    def note_direct(self, address: str, now: float) -> bool:
        """Record a direct connection; return whether the link was down before."""
        self._reached_at = now
        self._failed_at_by_address.pop(address, None)
        link = self._down_by_address.get(address)
        if link is None or link.restored:
            return False
        link.restored = True
        return True

    def note_relayed(self, address: str, now: float) -> bool:
        """Record that another host reached a target which this one did not reach.

        Returns
        -------
        bool
            Whether the link was not known to be down.
        """
        self._reached_at = now
        self._failed_at_by_address.pop(address, None)
        suspicious_before = self.suspicious(now)
        before = self._down_by_address.get(address)
        was_down = before is not None and not before.restored
        length_s = MIN_DOWN_S
        if before is not None and now - before.found_at < RECENT_S:
            length_s = min(MAX_DOWN_S, before.length_s * 2)
        since = before.since if was_down else now
        self._down_by_address[address] = _DownLink(since, now, now + length_s, length_s)
        if not suspicious_before and self.suspicious(now):
            self._suspected_since = now
        return not was_down

    def note_answer(self, address: str, now: float) -> None:
        """Record an answer of a target, over a kept connection or a new one."""
        self._reached_at = now
        self._failed_at_by_address.pop(address, None)

    def note_failed(self, address: str, now: float) -> None:
        """Record that a target was reached neither directly nor through others."""
        self._failed_at_by_address[address] = now

    def keep_only(self, addresses: Collection[str]) -> None:
        """Forget the links to targets that are gone."""
        for known in (self._down_by_address, self._failed_at_by_address):
            for address in [item for item in known if item not in addresses]:
                del known[address]

    def is_down(self, address: str) -> bool:
        """Return whether the link to a target was found down and not tried since."""
        link = self._down_by_address.get(address)
        return link is not None and not link.restored

    def down_since(self, address: str) -> float | None:
        """Return since when the link to a target is known to be down."""
        link = self._down_by_address.get(address)
        return None if link is None or link.restored else link.since

    def suspicious(self, now: float) -> bool:
        """Return whether so many links are down that the host itself is cut off."""
        recent = sum(
            now - link.found_at < RECENT_S and not link.restored
            for link in self._down_by_address.values()
        )
        return recent >= MIN_SUSPICIOUS_LINKS

    def isolated(self, now: float) -> bool:
        """Return whether this host reaches no target at all, nor through others."""
        since = now - ISOLATED_S
        failed = sum(at > since for at in self._failed_at_by_address.values())
        return failed >= MIN_ISOLATED_FAILURES and self._reached_at <= since

    def proves_nothing(self, now: float) -> bool:
        """Return whether the failures that this host sees may be its own links'."""
        return self.suspicious(now) or self.isolated(now)

    def is_retry_due(self, address: str, now: float) -> bool:
        """Return whether the next connection to a target should be tried directly."""
        link = self._down_by_address.get(address)
        return link is None or link.restored or now >= link.retry_at

    def trusts_kept(self, address: str, answered_at: float, now: float) -> bool:
        """Return whether a kept direct connection that last answered then still works.

        When a link is cut, open connections to a target often fall silent without an
        error.
        """
        since = self.down_since(address)
        if since is not None:
            return answered_at > since
        return not self.suspicious(now) or answered_at > self._suspected_since

    def avoid(self, host_id: str, now: float) -> None:
        """Record that another host did not answer when it was asked to relay."""
        self._avoided_until_by_host[host_id] = now + AVOID_S

    def avoided(self, now: float) -> set[str]:
        """Return the hosts that are asked last."""
        return {
            host_id
            for host_id, until in self._avoided_until_by_host.items()
            if now < until
        }


def choose_relays(
    hosts: Sequence[RelayHost], zone: str, avoided: Collection[str], rng: random.Random
) -> list[RelayHost]:
    """Return the hosts to ask for a connection, the best first.

    Hosts whose own links are down are asked only if there is no other one.  Those that
    did not answer lately come last, and before them the hosts of the own zone come
    first, since traffic between zones is paid for.  The second one is of another zone
    than the first: all hosts of a zone may be cut off together.
    """
    sound = [host for host in hosts if host.sound]
    candidates = sound or list(hosts)
    shuffled = rng.sample(candidates, len(candidates))
    ranked = sorted(shuffled, key=lambda host: (host.id in avoided, host.zone != zone))
    if not ranked:
        return []
    first = ranked[0]
    elsewhere = [host for host in ranked if host.zone != first.zone][:1]
    rest = [host for host in ranked[1:] if host not in elsewhere]
    return [first, *elsewhere, *rest][:MAX_RELAYS]
