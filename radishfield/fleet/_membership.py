"""Membership of entry hosts, after SWIM and Lifeguard: pure, time is an argument.

Hosts are busy in bursts, and a busy host answers late.  A plain timeout would
declare it dead in every burst; its duties would move away and back, and each move
costs platform calls and polls.  So a member that does not answer is first
suspected, and any host may clear the suspicion until a timeout that depends on
how many others share it.  A host that misses many answers assumes that it is the
slow one and waits longer before it accuses another.

``incarnation`` rises at each start, from the wall clock in milliseconds, so a
restarted host replaces its previous run.  ``refutation`` rises when a host
receives a suspicion of itself; it is a separate number, because a changed
incarnation shows others that the host has lost its in-memory state.
"""

import dataclasses
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from radishfield.core import Member, MemberState
from radishfield.fleet._suspicion import CONFIRMATIONS, suspicion_s
from radishfield.fleet._updates import Update, UpdateQueue

MAX_HEALTH_PENALTY = 8
"""A host that misses every answer waits up to nine times as long (Lifeguard)."""

CROSS_ZONE_PROBE_INTERVAL = 3
"""Every third probe crosses zones: mostly, hosts of one zone probe each other."""

DEAD_PROBE_INTERVAL = 10
"""Every tenth probe goes to a dead member, so that a healed partition is noticed."""

DEAD_RETENTION_S = 7_200.0
"""Regions may be disconnected for an hour; their hosts are still known after it."""

MAX_SIZE_CHECKED_BY_ALL = 20
"""In a fleet of up to this size, every host probes a suspect at once; in a larger
one, those of its zone do.  More would put hundreds of probes on a busy host."""

MIN_PAUSE_S = 3.0
"""A longer gap between ticks can only come from a pause of this process."""


@dataclass(slots=True)
class _Entry:
    update: Update
    suspected_at: float | None = None
    changed_at: float = 0.0
    accusers: set[str] = field(default_factory=set)
    is_checked: bool = False


class Membership:
    """The members known to one host, and the updates that it sends about them.

    Attributes
    ----------
    false_accusations : int
        Number of accusations that this host refuted.
    health_penalty : int
        0 for a host whose probes are answered; see `MAX_HEALTH_PENALTY`.
    """

    __slots__ = (
        "_rng",
        "_entry_by_id",
        "_last_tick",
        "_members",
        "_own_id",
        "_period_s",
        "_pending_ids_by_group",
        "_suspect_ids",
        "_update_queue",
        "_probe_count",
        "false_accusations",
        "health_penalty",
    )

    def __init__(self, own: Update, period_s: float, rng: random.Random):
        self._own_id = own.id
        self._period_s = period_s
        self._rng = rng
        self._entry_by_id: dict[str, _Entry] = {own.id: _Entry(own)}
        self._pending_ids_by_group: dict[str, list[str]] = {
            "near": [],
            "far": [],
            "dead": [],
        }
        self._update_queue = UpdateQueue()
        self._suspect_ids: dict[str, None] = {}
        self._members: Sequence[Member] | None = None
        self._probe_count = 0
        self._last_tick: float | None = None
        self.health_penalty = 0
        self.false_accusations = 0

    @property
    def own(self) -> Update:
        """Return this host's own update, which every frame carries."""
        return self._entry_by_id[self._own_id].update

    def members(self) -> Sequence[Member]:
        """Return all members, dead ones included, this host first."""
        if self._members is None:
            self._members = tuple(
                _member(entry.update) for entry in self._entry_by_id.values()
            )
        return self._members

    def all_updates(self) -> Sequence[Update]:
        """Return the latest update of every member, this host included."""
        return [entry.update for entry in self._entry_by_id.values()]

    def find(self, member_id: str) -> Update | None:
        """Return the latest update of a member, if it is known."""
        entry = self._entry_by_id.get(member_id)
        return None if entry is None else entry.update

    def leave(self) -> None:
        """Announce that this host leaves; it stays a member until it is gone."""
        self._set_own(dataclasses.replace(self.own, state=MemberState.LEAVING))

    def observe(self, update: Update, now: float, spread: bool = True) -> None:
        """Apply an update about a member, or about this host.

        Without ``spread`` an update about an unknown member is not forwarded: a
        host that joins receives hundreds that all others already know.
        """
        if update.id == self._own_id:
            self._refute(update)
            return
        entry = self._entry_by_id.get(update.id)
        if entry is None:
            entry = _Entry(update, None, now)
            self._entry_by_id[update.id] = entry
            if spread:
                self._update_queue.add(update)
            self._members = None
        elif update.order > entry.update.order:
            self._replace(entry, update, now)
        if update.order == entry.update.order and update.accuser:
            self._accuse(entry, update.accuser, now)

    def answered(self, member_id: str, now: float) -> None:
        """Record that a probe of a member was answered."""
        self.health_penalty = max(0, self.health_penalty - 1)

    def record_probe_failure(self, member_id: str, now: float, heard_any: bool) -> None:
        """Record that a member answered neither this host nor its helpers.

        ``heard_any`` tells whether a message of any other member was received in
        that time.  If none was, this host is likely the slow or disconnected one.
        """
        entry = self._entry_by_id.get(member_id)
        if entry is None or entry.update.state is MemberState.DEAD:
            return
        if not heard_any:
            self.health_penalty = min(MAX_HEALTH_PENALTY, self.health_penalty + 1)
        if entry.update.state is MemberState.LIVE:
            suspect = dataclasses.replace(
                entry.update, state=MemberState.SUSPECT, accuser=self._own_id
            )
            self._replace(entry, suspect, now)
        self._accuse(entry, self._own_id, now)

    def tick(self, now: float) -> Sequence[Member]:
        """Declare members dead whose suspicion timed out; return them."""
        if self._last_tick is not None and now - self._last_tick > MIN_PAUSE_S:
            self._extend_suspicions(now - self._last_tick)
        self._last_tick = now
        dead = []
        for entry in list(self._entry_by_id.values()):
            if self._is_overdue(entry, now):
                update = dataclasses.replace(
                    entry.update, state=MemberState.DEAD, accuser=""
                )
                self._replace(entry, update, now)
                dead.append(_member(update))
            elif self._is_expired(entry, now):
                del self._entry_by_id[entry.update.id]
                self._update_queue.discard(entry.update.id)
                self._members = None
        return dead

    def next_probe(self) -> Update | None:
        """Return the member to probe next: each in turn, in random order.

        A suspect that this host has not checked goes first: if it is alive, it is
        cleared sooner; if not, it has more accusers and so a shorter timeout.
        """
        suspect = self._unchecked_suspect()
        if suspect is not None:
            suspect.is_checked = True
            return suspect.update
        self._probe_count += 1
        if self._probe_count % DEAD_PROBE_INTERVAL == 0:
            order = ("dead", "near", "far")
        elif self._probe_count % CROSS_ZONE_PROBE_INTERVAL == 0:
            order = ("far", "near", "dead")
        else:
            order = ("near", "far", "dead")
        for group in order:
            member = self._next_in_group(group)
            if member is not None:
                return member
        return None

    def helpers(self, member_id: str, count: int) -> Sequence[Update]:
        """Return members to probe another one on behalf of this host.

        Those of the probed member's zone come first: they distinguish a dead host
        from a broken link between zones.
        """
        probed = self._entry_by_id[member_id].update
        others = [
            entry.update
            for entry in self._entry_by_id.values()
            if entry.update.state is MemberState.LIVE
            and entry.update.id not in (member_id, self._own_id)
        ]
        self._rng.shuffle(others)
        others.sort(key=lambda update: update.zone != probed.zone)
        near = others[: count - 1]
        return near + [update for update in reversed(others) if update not in near][:1]

    def updates_to_send(self, recipient: str, limit: int) -> Sequence[Update]:
        """Return the updates for one message, the least often sent ones first.

        An accusation of the recipient goes first, so that it can refute it.
        """
        entry = self._entry_by_id.get(recipient)
        first = None
        if entry is not None and entry.update.state in (
            MemberState.SUSPECT,
            MemberState.DEAD,
        ):
            first = entry.update
        return self._update_queue.take(first, limit, len(self._entry_by_id))

    def suspicion_s(self, accusers: int) -> float:
        """Return how long a suspicion with so many accusers lasts."""
        size = sum(
            entry.update.state is not MemberState.DEAD
            for entry in self._entry_by_id.values()
        )
        return suspicion_s(size, accusers, self._period_s)

    def _refute(self, update: Update) -> None:
        own = self.own
        if update.incarnation > own.incarnation:
            # The previous run's clock was ahead: peers would treat this run as
            # older, and ignore all its updates about itself.
            self._set_own(dataclasses.replace(own, incarnation=update.incarnation + 1))
            return
        is_accusation = update.accuser != "" or update.state in (
            MemberState.SUSPECT,
            MemberState.DEAD,
        )
        is_current = update.incarnation == own.incarnation
        if is_accusation and is_current and update.refutation >= own.refutation:
            self.false_accusations += 1
            self.health_penalty = min(MAX_HEALTH_PENALTY, self.health_penalty + 1)
            self._set_own(dataclasses.replace(own, refutation=update.refutation + 1))

    def _set_own(self, update: Update) -> None:
        self._entry_by_id[self._own_id].update = update
        self._members = None

    def _replace(self, entry: _Entry, update: Update, now: float) -> None:
        entry.update = update
        entry.changed_at = now
        self._update_queue.add(update)
        self._members = None
        entry.accusers.clear()
        entry.suspected_at = None
        entry.is_checked = False
        self._suspect_ids.pop(update.id, None)

    def _accuse(self, entry: _Entry, accuser: str, now: float) -> None:
        if entry.update.state is MemberState.DEAD:
            return
        if entry.suspected_at is None:
            entry.suspected_at = now
            self._suspect_ids[entry.update.id] = None
        entry.is_checked |= accuser == self._own_id
        if accuser not in entry.accusers and len(entry.accusers) <= CONFIRMATIONS:
            entry.accusers.add(accuser)
            entry.update = dataclasses.replace(entry.update, accuser=accuser)
            self._update_queue.add(entry.update)

    def _is_overdue(self, entry: _Entry, now: float) -> bool:
        if entry.suspected_at is None:
            return False
        timeout_s = self.suspicion_s(len(entry.accusers))
        return now - entry.suspected_at >= timeout_s * (1 + self.health_penalty / 4)

    def _is_expired(self, entry: _Entry, now: float) -> bool:
        is_dead = entry.update.state is MemberState.DEAD
        return is_dead and now - entry.changed_at > DEAD_RETENTION_S

    def _extend_suspicions(self, pause_s: float) -> None:
        """Exclude a pause of this process, in which no refutation could arrive."""
        for entry in self._entry_by_id.values():
            if entry.suspected_at is not None:
                entry.suspected_at += pause_s

    def _unchecked_suspect(self) -> _Entry | None:
        if not self._suspect_ids:
            return None
        checks_all = len(self._entry_by_id) <= MAX_SIZE_CHECKED_BY_ALL
        for member_id in self._suspect_ids:
            entry = self._entry_by_id[member_id]
            is_near = entry.update.zone == self.own.zone
            if not entry.is_checked and (checks_all or is_near):
                return entry
        return None

    def _next_in_group(self, group: str) -> Update | None:
        for is_new_round in (False, True):
            if is_new_round:
                self._pending_ids_by_group[group] = self._shuffled_ids(group)
            pending_ids = self._pending_ids_by_group[group]
            while pending_ids:
                entry = self._entry_by_id.get(pending_ids.pop())
                if entry is not None and self._group(entry.update) == group:
                    return entry.update
        return None

    def _shuffled_ids(self, group: str) -> list[str]:
        ids = [
            member_id
            for member_id, entry in self._entry_by_id.items()
            if self._group(entry.update) == group and member_id != self._own_id
        ]
        self._rng.shuffle(ids)
        return ids

    def _group(self, update: Update) -> str:
        if update.state is MemberState.DEAD:
            return "dead"
        return "near" if update.zone == self.own.zone else "far"


def _member(update: Update) -> Member:
    return Member(
        update.id, update.zone, update.address, update.incarnation, update.state
    )
