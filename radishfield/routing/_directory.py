"""Which targets may be sent work, from what the store lists and what calls show.

Load pattern: targets are released, added, emptied and killed while requests flow,
and the store that lists them has outages of its own.  Two mistakes cost most.  A
target that leaves and is sent work cuts it off when it exits; so leaving sticks to
an incarnation, whatever a later entry says.  And entries that lapse because the
store was away would empty the list at once; so a target that is missing right
after an outage is used on for a moment, in which live targets register again.
"""

import zlib
from collections import deque
from collections.abc import Iterable, Mapping

import msgspec

from radishfield.routing._types import TargetPhase, TargetRecord

RETURN_S = 1.5
"""Live targets register again within two seconds of the store's return, and work
may reach a target that is gone for as long; the rest is room for the way there."""

AFTER_OUTAGE_S = 4.0
"""Entries that lapse this long after the store's last failure count as its doing:
three missed heartbeats, the time after which the store drops an entry."""

FIRST_SUSPICION_S = 1.0
LONGEST_SUSPICION_S = 4.0
"""A target that could not be reached is left out this long; doubled each time it
fails again.  Longer would keep a target out that was started again."""


RECENT_DIGESTS = 64
"""Changes of the list after which an earlier one is forgotten: as many as come in the
second or two in which a change reaches all hosts of a zone."""

ANSWER_TOLD_S = 2.0
"""Time for which others are told of an answer: each host of a large zone is told
twice in it."""

ZONE_LOST = 3
"""Targets of one zone that are lost at the same time, from which on the whole zone
counts as cut off.  Found out one by one, twenty targets would cost each host twenty
requests and a connection's time limit each."""

ZONE_LOST_SHARE = 0.25
"""Part of a zone's targets that has to be lost as well, so that three dead targets
of a large zone do not cost it the others."""


class _Entry(msgspec.Struct):
    record: TargetRecord
    missing_since: float | None = None


class _Suspicion(msgspec.Struct):
    until: float
    length_s: float
    until_asked: bool
    first_hand: bool
    inferred: bool = False
    asking: bool = False
    told: bool = False

    @property
    def began_at(self) -> float:
        """Return when the target was found lost, or asked, last."""
        return self.until - (FIRST_SUSPICION_S if self.asking else self.length_s)


class Removal(msgspec.Struct, frozen=True):
    """A target left the list; ``held`` if it is used on for a moment."""

    id: str
    held: bool


class TargetDirectory(msgspec.Struct):
    """All targets that are known, by id."""

    _entry_by_id: dict[str, _Entry] = msgspec.field(default_factory=dict)
    _leaving: set[tuple[str, int]] = msgspec.field(default_factory=set)
    _suspicion_by_id: dict[str, _Suspicion] = msgspec.field(default_factory=dict)
    _answered_at_by_id: dict[str, float] = msgspec.field(default_factory=dict)
    _store_failed_at: float = -1e9
    _digest: int = 0
    _recent_digests: deque[int] = msgspec.field(
        default_factory=lambda: deque(maxlen=RECENT_DIGESTS)
    )
    version: int = 0
    """Rises with each change of the list, for what is computed from it."""
    list_version: int = 0
    """Rises only when a target comes, goes or describes itself otherwise."""

    def store_failed(self, now: float) -> None:
        """Note that the store did not answer."""
        self._store_failed_at = now

    def replace_all(
        self, record_by_id: Mapping[str, TargetRecord], now: float
    ) -> list[Removal]:
        """Take a whole listing; return what is missing in it."""
        gone = [
            self.remove(target_id, now)
            for target_id, entry in list(self._entry_by_id.items())
            if target_id not in record_by_id and entry.missing_since is None
        ]
        for record in record_by_id.values():
            self.update(record)
        return gone

    def update(self, record: TargetRecord) -> bool:
        """Take a target's newest entry; return whether it says anything new.

        Each heartbeat writes the entry again.  Taken for a change it would have
        every plan made anew, some times a second with ninety targets.
        """
        before = self._entry_by_id.get(record.id)
        if before is not None and before.record == record:
            before.missing_since = None
            return False
        if record.phase is TargetPhase.LEAVING:
            self._leaving.add(record.incarnation)
        if before is not None and _started_again(before.record, record):
            self._suspicion_by_id.pop(record.id, None)
        self._put(record.id, _Entry(record))
        return True

    def _put(self, target_id: str, entry: _Entry | None) -> None:
        """Put an entry in place of the one before, or take it off the list."""
        before = self._entry_by_id.pop(target_id, None)
        if entry is not None:
            self._entry_by_id[target_id] = entry
        self._recent_digests.append(self._digest)
        for each in (before, entry):
            if each is not None:
                self._digest ^= zlib.crc32(repr(each.record).encode())
        self.version += 1
        self.list_version += 1

    def digest(self) -> int:
        """Return a number that hosts with the same list share."""
        return self._digest

    def has_had(self, digest: int) -> bool:
        """Return whether the list is, or was a few changes ago, the one of a digest.

        Load pattern: targets come by tens, and each change reaches the hosts of a zone
        at another moment.  No two lists are alike for seconds; taken for hosts that
        miss something, all of them would read the store.
        """
        return digest == self._digest or digest in self._recent_digests

    def remove(self, target_id: str, now: float) -> Removal:
        """Take a target off the list, or hold it where the store may be to blame."""
        entry = self._entry_by_id.get(target_id)
        if entry is None:
            return Removal(target_id, held=False)
        if now - self._store_failed_at < AFTER_OUTAGE_S:
            entry.missing_since = now
            return Removal(target_id, held=True)
        self._put(target_id, None)
        return Removal(target_id, held=False)

    def expire_missing(self, now: float) -> list[str]:
        """Drop the targets that did not come back; return their ids."""
        late = [
            target_id
            for target_id, entry in self._entry_by_id.items()
            if entry.missing_since is not None and now - entry.missing_since >= RETURN_S
        ]
        for target_id in late:
            self._put(target_id, None)
        return late

    def mark_leaving(self, incarnation: tuple[str, int]) -> None:
        """Note what another host knows: this start of a target leaves."""
        if incarnation not in self._leaving:
            self._leaving.add(incarnation)
            self.version += 1

    def leaves(self, record: TargetRecord) -> bool:
        """Return whether this start of a target leaves, or is off the list."""
        entry = self._entry_by_id.get(record.id)
        listed = entry is not None and entry.record.incarnation == record.incarnation
        return not listed or record.incarnation in self._leaving

    def leaving_incarnations(self) -> list[tuple[str, int]]:
        """Return the listed targets that leave, each with its start."""
        return [
            entry.record.incarnation
            for entry in self._entry_by_id.values()
            if entry.record.incarnation in self._leaving
        ]

    def suspect(
        self,
        target_id: str,
        now: float,
        until_asked: bool = False,
    ) -> float:
        """Leave a target out for a while after a failure here; return the seconds.

        Parameters
        ----------
        until_asked : bool
            Leave it out beyond that time, until it has answered a question.  A
            dead part of a path swallows requests for seconds before it shows, so
            it is not tried out with callers' work.
        """
        before = self._suspicion_by_id.get(target_id)
        length_s = FIRST_SUSPICION_S
        if before is not None and now < before.until and not before.asking:
            before.until_asked |= until_asked
            before.first_hand = True
            return before.until - now
        if before is not None and (
            before.until_asked or now < before.until + before.length_s
        ):
            length_s = min(LONGEST_SUSPICION_S, before.length_s * 2)
        self._suspicion_by_id[target_id] = _Suspicion(
            now + length_s, length_s, until_asked, first_hand=True
        )
        self.version += 1
        self._infer_zone_lost(target_id, now)
        return length_s

    def doubt(self, target_id: str, now: float) -> None:
        """Leave a target out until it has been asked, which is due at once.

        For what another host says: it may have slept, or be cut off itself, and
        what it found lost may have answered here a moment ago.
        """
        if not self.suspected(target_id, now):
            self._suspicion_by_id[target_id] = _Suspicion(
                now, FIRST_SUSPICION_S / 2, until_asked=True, first_hand=False
            )
            self.version += 1

    def _infer_zone_lost(self, target_id: str, now: float) -> None:
        """Leave out a zone of which several targets are lost at once."""
        entry = self._entry_by_id.get(target_id)
        if entry is None:
            return
        zone = entry.record.zone
        zone_ids = [
            other_id
            for other_id, other in self._entry_by_id.items()
            if other.record.zone == zone
        ]
        lost = [other_id for other_id in zone_ids if self._lost_now(other_id, now)]
        if len(lost) < max(ZONE_LOST, len(zone_ids) * ZONE_LOST_SHARE):
            return
        for other_id in zone_ids:
            if not self.suspected(other_id, now):
                self._suspicion_by_id[other_id] = _Suspicion(
                    now + FIRST_SUSPICION_S,
                    FIRST_SUSPICION_S,
                    until_asked=True,
                    first_hand=False,
                    inferred=True,
                )

    def _lost_now(self, target_id: str, now: float) -> bool:
        suspicion = self._suspicion_by_id.get(target_id)
        return (
            suspicion is not None
            and suspicion.first_hand
            and self.suspected(target_id, now)
        )

    def clear(self, target_id: str) -> None:
        """Forget a suspicion: the target answered."""
        if self._suspicion_by_id.pop(target_id, None) is not None:
            self.version += 1

    def answered(self, target_id: str, now: float) -> None:
        """Note an answer to a question; it ends a suspicion that waits for one."""
        suspicion = self._suspicion_by_id.get(target_id)
        if suspicion is None:
            return
        if suspicion.until_asked:
            self._answered_at_by_id[target_id] = now
        # The length stays for a while, so that the next one is longer.
        suspicion.until_asked = False
        suspicion.until = min(suspicion.until, now)
        self.version += 1
        entry = self._entry_by_id.get(target_id)
        if entry is not None and suspicion.inferred:
            self._trust_zone(entry.record.zone)

    def _trust_zone(self, zone: str) -> None:
        """Take a zone back: one of its targets answered."""
        for target_id, entry in self._entry_by_id.items():
            suspicion = self._suspicion_by_id.get(target_id)
            if suspicion and suspicion.inferred and entry.record.zone == zone:
                del self._suspicion_by_id[target_id]

    def suspected(self, target_id: str, now: float) -> bool:
        """Return whether a target is left out at the moment."""
        suspicion = self._suspicion_by_id.get(target_id)
        return suspicion is not None and (
            suspicion.until_asked or now < suspicion.until
        )

    def found_lost(self, target_id: str) -> bool:
        """Return whether this host itself found a target lost, and no answer since."""
        suspicion = self._suspicion_by_id.get(target_id)
        return suspicion is not None and suspicion.first_hand and suspicion.until_asked

    def to_ask(self, now: float, patience_s: float = 0.0) -> list[str]:
        """Return the targets that are left out until they answer, and are due.

        Parameters
        ----------
        patience_s : float
            Seconds beyond that which this host leaves to others, that ask as well
            and tell what they find.
        """
        return [
            target_id
            for target_id, suspicion in self._suspicion_by_id.items()
            if suspicion.until_asked
            and now >= suspicion.until + (0.0 if suspicion.told else patience_s)
            and target_id in self._entry_by_id
        ]

    def answered_elsewhere(self, target_id: str, now: float) -> None:
        """Note that another host of the zone had an answer: it is asked at once.

        The word alone proves nothing for this host, whose own way may be cut.
        """
        suspicion = self._suspicion_by_id.get(target_id)
        if suspicion is None or not suspicion.until_asked:
            return
        if now - suspicion.began_at >= FIRST_SUSPICION_S:
            suspicion.until = min(suspicion.until, now)
            suspicion.told = True

    def answered_lately(self, now: float) -> list[tuple[str, int]]:
        """Return the targets that were left out and have answered, for others."""
        self._answered_at_by_id = {
            target_id: at
            for target_id, at in self._answered_at_by_id.items()
            if now - at < ANSWER_TOLD_S and target_id in self._entry_by_id
        }
        return [
            self._entry_by_id[target_id].record.incarnation
            for target_id in self._answered_at_by_id
            if not self.suspected(target_id, now)
        ]

    def asked(self, target_id: str, now: float) -> None:
        """Note that a target is being asked, so that it is not asked twice.

        That alone is no failure: it is not told to others, and says nothing of
        the target's zone.
        """
        suspicion = self._suspicion_by_id.get(target_id)
        if suspicion is not None:
            suspicion.until = now + FIRST_SUSPICION_S
            suspicion.asking = True
            suspicion.told = False

    def lost_incarnations(self, now: float) -> list[tuple[str, int]]:
        """Return the targets that this host itself found lost, for other hosts."""
        return [
            self._entry_by_id[target_id].record.incarnation
            for target_id, suspicion in self._suspicion_by_id.items()
            if suspicion.first_hand
            and suspicion.until_asked
            and not suspicion.asking
            and now < suspicion.until
            and target_id in self._entry_by_id
        ]

    def find(self, target_id: str) -> TargetRecord | None:
        """Return a target that is listed or held, whatever its state."""
        entry = self._entry_by_id.get(target_id)
        return entry.record if entry else None

    def at_address(self, address: str) -> TargetRecord | None:
        """Return the target that is listed at an address."""
        for entry in self._entry_by_id.values():
            if entry.record.address == address:
                return entry.record
        return None

    def listed(self, service: str) -> list[TargetRecord]:
        """Return a service's targets that do not leave, suspected or not."""
        return [
            entry.record
            for entry in self._entry_by_id.values()
            if entry.record.service == service
            and entry.record.incarnation not in self._leaving
        ]

    def usable(self, service: str, now: float) -> list[TargetRecord]:
        """Return a service's targets that may be sent work now."""
        return [
            record
            for record in self.listed(service)
            if not self.suspected(record.id, now)
        ]

    def all_records(self) -> Iterable[TargetRecord]:
        """Return every target that is listed or held."""
        return (entry.record for entry in self._entry_by_id.values())


def _started_again(before: TargetRecord, now: TargetRecord) -> bool:
    """Return whether a target is another one than before, or came back empty."""
    emptied = before.span is not None and now.span is None
    return before.incarnation != now.incarnation or emptied
