"""Which entry hosts are there, after SWIM and Lifeguard: pure, time is an argument.

Pattern of load: hosts are busy in waves, and a busy host answers late.  A plain
timeout would declare it dead in every wave; its duties would move away and
back, and each move costs platform calls and polls.  So a member that does not
answer is first suspected, and everybody may clear it up to a timeout that
depends on how many others suspect it too.  A host that misses many answers
takes itself for the slow one and waits longer before it accuses anybody.

``incarnation`` rises at each start, from the wall clock in milliseconds, so a
restarted host replaces its former self.  ``refutation`` rises when a host
hears that it is suspected; it is kept apart, because a changed incarnation
tells others that the host has lost its memory.
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

OTHER_ZONE_TURN = 3
"""Every third probe crosses zones: mostly hosts of one zone watch each other."""

DEAD_TURN = 10
"""Every tenth probe tries a dead member: a healed partition has to be noticed."""

DEAD_KEPT_S = 7_200.0
"""Regions lose each other for an hour; their hosts are still known after it."""

CHECKED_BY_ALL = 20
"""In a fleet of up to so many, every host checks a suspect at once; above, those
of its zone do.  More would put hundreds of probes on a host that is busy."""

PAUSE_S = 3.0
"""A gap between ticks that only a pause of this process explains."""


@dataclass(slots=True)
class _Entry:
    update: Update
    suspected_at: float | None = None
    changed_at: float = 0.0
    accusers: set[str] = field(default_factory=set)
    is_checked: bool = False


class Membership:
    """The members as one host sees them, and what it has to tell of them.

    Attributes
    ----------
    false_accusations : int
        Times this host refuted an accusation.
    health_penalty : int
        0 for a host whose probes are answered; see `MAX_HEALTH_PENALTY`.
    """

    __slots__ = (
        "_chance",
        "_entry_by_id",
        "_last_tick",
        "_members",
        "_own_id",
        "_period_s",
        "_rounds",
        "_suspect_ids",
        "_to_tell",
        "_turn",
        "false_accusations",
        "health_penalty",
    )

    def __init__(self, own: Update, period_s: float, chance: random.Random):
        self._own_id = own.id
        self._period_s = period_s
        self._chance = chance
        self._entry_by_id: dict[str, _Entry] = {own.id: _Entry(own)}
        self._rounds: dict[str, list[str]] = {"near": [], "far": [], "dead": []}
        self._to_tell = UpdateQueue()
        self._suspect_ids: dict[str, None] = {}
        self._members: Sequence[Member] | None = None
        self._turn = 0
        self._last_tick: float | None = None
        self.health_penalty = 0
        self.false_accusations = 0

    @property
    def own(self) -> Update:
        """Return this host's own update, as every frame carries it."""
        return self._entry_by_id[self._own_id].update

    def members(self) -> Sequence[Member]:
        """Return all members, dead ones included, this host first."""
        if self._members is None:
            self._members = tuple(
                _member(entry.update) for entry in self._entry_by_id.values()
            )
        return self._members

    def all_updates(self) -> Sequence[Update]:
        """Return what is known of every member, this host included."""
        return [entry.update for entry in self._entry_by_id.values()]

    def find(self, member_id: str) -> Update | None:
        """Return what is known of a member."""
        entry = self._entry_by_id.get(member_id)
        return None if entry is None else entry.update

    def leave(self) -> None:
        """Announce that this host leaves; it stays a member until it is gone."""
        self._set_own(dataclasses.replace(self.own, state=MemberState.LEAVING))

    def observe(self, update: Update, now: float, spread: bool = True) -> None:
        """Take in what somebody tells of a member, or of this host.

        Without ``spread`` a member that is new to this host is not told on: a
        host that joins reads of hundreds that everybody else knows.
        """
        if update.id == self._own_id:
            self._refute(update)
            return
        entry = self._entry_by_id.get(update.id)
        if entry is None:
            entry = _Entry(update, None, now)
            self._entry_by_id[update.id] = entry
            if spread:
                self._to_tell.add(update)
            self._members = None
        elif update.order > entry.update.order:
            self._replace(entry, update, now)
        if update.order == entry.update.order and update.accuser:
            self._accuse(entry, update.accuser, now)

    def answered(self, member_id: str, now: float) -> None:
        """Note that a probe of a member was answered."""
        self.health_penalty = max(0, self.health_penalty - 1)

    def not_answered(self, member_id: str, now: float, heard_any: bool) -> None:
        """Note that a member answered neither this host nor its helpers.

        ``heard_any`` tells whether any other member was heard in that time.  If
        none was, this host is rather the slow or cut one.
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
        """Declare dead whose suspicion ran out; return them."""
        if self._last_tick is not None and now - self._last_tick > PAUSE_S:
            self._forgive(now - self._last_tick)
        self._last_tick = now
        dead = []
        for entry in list(self._entry_by_id.values()):
            if self._is_overdue(entry, now):
                update = dataclasses.replace(
                    entry.update, state=MemberState.DEAD, accuser=""
                )
                self._replace(entry, update, now)
                dead.append(_member(update))
            elif self._is_forgotten(entry, now):
                del self._entry_by_id[entry.update.id]
                self._to_tell.discard(entry.update.id)
                self._members = None
        return dead

    def next_probe(self) -> Update | None:
        """Return the member to probe next: each in turn, in random order.

        A suspect that this host has not checked goes first: it is cleared
        sooner if it lives, and has more accusers, so a shorter wait, if not.
        """
        suspect = self._unchecked_suspect()
        if suspect is not None:
            suspect.is_checked = True
            return suspect.update
        self._turn += 1
        if self._turn % DEAD_TURN == 0:
            order = ("dead", "near", "far")
        elif self._turn % OTHER_ZONE_TURN == 0:
            order = ("far", "near", "dead")
        else:
            order = ("near", "far", "dead")
        for group in order:
            member = self._next_in(group)
            if member is not None:
                return member
        return None

    def helpers(self, member_id: str, count: int) -> Sequence[Update]:
        """Return members to probe another one on behalf of this host.

        Those of the probed member's zone come first: they tell a dead host
        from a broken link between zones.
        """
        probed = self._entry_by_id[member_id].update
        others = [
            entry.update
            for entry in self._entry_by_id.values()
            if entry.update.state is MemberState.LIVE
            and entry.update.id not in (member_id, self._own_id)
        ]
        self._chance.shuffle(others)
        others.sort(key=lambda update: update.zone != probed.zone)
        near = others[: count - 1]
        return near + [update for update in reversed(others) if update not in near][:1]

    def updates_to_tell(self, recipient: str, limit: int) -> Sequence[Update]:
        """Return the updates for one message, the least told ones first.

        What the recipient is accused of goes first, so that it can refute.
        """
        entry = self._entry_by_id.get(recipient)
        first = None
        if entry is not None and entry.update.state in (
            MemberState.SUSPECT,
            MemberState.DEAD,
        ):
            first = entry.update
        return self._to_tell.take(first, limit, len(self._entry_by_id))

    def suspicion_s(self, accusers: int) -> float:
        """Return how long a suspicion lasts that so many share."""
        size = sum(
            entry.update.state is not MemberState.DEAD
            for entry in self._entry_by_id.values()
        )
        return suspicion_s(size, accusers, self._period_s)

    def _refute(self, update: Update) -> None:
        own = self.own
        if update.incarnation > own.incarnation:
            # A former self with a clock ahead of ours: peers would take this
            # host for older than it, and ignore all it says of itself.
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
        self._to_tell.add(update)
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
            self._to_tell.add(entry.update)

    def _is_overdue(self, entry: _Entry, now: float) -> bool:
        if entry.suspected_at is None:
            return False
        patience = self.suspicion_s(len(entry.accusers))
        return now - entry.suspected_at >= patience * (1 + self.health_penalty / 4)

    def _is_forgotten(self, entry: _Entry, now: float) -> bool:
        is_dead = entry.update.state is MemberState.DEAD
        return is_dead and now - entry.changed_at > DEAD_KEPT_S

    def _forgive(self, pause_s: float) -> None:
        """Leave out a pause of this process, in which nobody could refute."""
        for entry in self._entry_by_id.values():
            if entry.suspected_at is not None:
                entry.suspected_at += pause_s

    def _unchecked_suspect(self) -> _Entry | None:
        if not self._suspect_ids:
            return None
        checks_all = len(self._entry_by_id) <= CHECKED_BY_ALL
        for member_id in self._suspect_ids:
            entry = self._entry_by_id[member_id]
            is_near = entry.update.zone == self.own.zone
            if not entry.is_checked and (checks_all or is_near):
                return entry
        return None

    def _next_in(self, group: str) -> Update | None:
        for is_new_round in (False, True):
            if is_new_round:
                self._rounds[group] = self._shuffled(group)
            waiting = self._rounds[group]
            while waiting:
                entry = self._entry_by_id.get(waiting.pop())
                if entry is not None and self._group(entry.update) == group:
                    return entry.update
        return None

    def _shuffled(self, group: str) -> list[str]:
        ids = [
            member_id
            for member_id, entry in self._entry_by_id.items()
            if self._group(entry.update) == group and member_id != self._own_id
        ]
        self._chance.shuffle(ids)
        return ids

    def _group(self, update: Update) -> str:
        if update.state is MemberState.DEAD:
            return "dead"
        return "near" if update.zone == self.own.zone else "far"


def _member(update: Update) -> Member:
    return Member(
        update.id, update.zone, update.address, update.incarnation, update.state
    )
