"""Tracks which targets may be sent work, from the store's list and call results.

Targets are released, added, emptied and killed while requests are being served, and
the store that lists them has outages of its own.  Two mistakes are the most costly.
Work sent to a leaving target is aborted when the target exits, so an incarnation
that was once leaving stays leaving, whatever a later entry says.  Entries that
expire because the store was down would empty the list at once, so a target that is
missing right after an outage is still used for a short time, in which live targets
register again.
"""

import math
import zlib
from collections import deque
from collections.abc import Iterable, Mapping

import msgspec

from radishfield.routing._types import TargetPhase, TargetRecord

REGISTRATION_GRACE_S = 1.5
"""Time for which a missing target is still used.  Live targets register again within
two seconds of the store's return."""

EXPIRY_CHECK_S = 0.1
"""Interval between checks for missing targets that did not register again."""

OUTAGE_EXPIRY_S = 2.8
"""Time after the last failed call was sent in which a missing target is attributed to
an outage.  The store was away then, and a removal that it acknowledges within three
seconds of its return is not bound by the promise to use no target that is gone.  So
the promise is kept while::

    OUTAGE_EXPIRY_S + REGISTRATION_GRACE_S + EXPIRY_CHECK_S
        + MAX_DELIVERY_S + LATENESS_S  <=  STORE_CALM_S + promise
"""

RETURN_REGISTRATION_S = 2.2
"""Time after the store's return from an older copy in which living targets whose
entries were lost register again: two seconds, and the time to hear of it."""

STORE_CALM_S = 3.0
"""Time after an outage from which on acknowledgements of the store are promises."""

OUTAGE_FAILURES = 2
"""Failed calls in a row that show an outage.  A single one is that of a lost
connection: the call that follows it at once on a new connection is answered."""

MIN_SUSPICION_S = 1.0
MAX_SUSPICION_S = 4.0
"""Time for which an unreachable target is excluded: starts at the minimum and doubles
with each further failure.  A longer maximum would keep excluding a restarted target."""


REMOVED_KEPT_S = 120.0
"""Time for which removed targets are remembered: copies of the store from which it
comes back are some seconds old."""
MAX_REMOVED_KEPT = 4096

MAX_RECENT_DIGESTS = 64
"""Number of earlier digests that are kept: as many list changes as occur in the second
or two in which a change reaches all hosts of a zone."""

ANSWER_REPORTED_S = 2.0
"""Time for which an answer is reported to other hosts: each host of a large zone
receives the report twice in it."""

MIN_ZONE_UNREACHABLE = 3
"""Number of simultaneously unreachable targets from which a zone counts as
disconnected.  Detected one by one, twenty targets would cost each host twenty requests
and a connection timeout for each."""

MIN_ZONE_UNREACHABLE_SHARE = 0.25
"""Share of a zone's targets that must also be unreachable, so that three dead targets
of a large zone do not exclude the others."""


class _Entry(msgspec.Struct):
    record: TargetRecord
    missing_since: float | None = None


class _Suspicion(msgspec.Struct):
    until: float
    length_s: float
    until_answered: bool
    first_hand: bool
    inferred: bool = False
    ended: bool = False
    probing: bool = False
    answer_reported: bool = False

    @property
    def started_at(self) -> float:
        """Return when the target was last found unreachable, or last probed."""
        return self.until - (MIN_SUSPICION_S if self.probing else self.length_s)


class _EarlierDigest(msgspec.Struct, frozen=True):
    """Digest of an earlier list, and when the list changed to another one."""

    digest: int
    replaced_at: float


class Removal(msgspec.Struct, frozen=True):
    """A target that left the list; ``held`` if it is still used for a short time."""

    id: str
    held: bool


class Replacement(msgspec.Struct, frozen=True):
    """What a complete listing changed.

    Attributes
    ----------
    changed_ids : list of str
        Targets that are new, differ, or were held and are listed again.
    removals : list of Removal
        Targets that are no longer listed.
    """

    changed_ids: list[str]
    removals: list[Removal]


class TargetDirectory(msgspec.Struct):
    """All known targets by id."""

    _entry_by_id: dict[str, _Entry] = msgspec.field(default_factory=dict)
    _leaving: set[tuple[str, int]] = msgspec.field(default_factory=set)
    _suspicion_by_id: dict[str, _Suspicion] = msgspec.field(default_factory=dict)
    _answered_at_by_id: dict[str, float] = msgspec.field(default_factory=dict)
    _layers_by_service: Mapping[str, int] = msgspec.field(default_factory=dict)
    _store_failed_at: float = -1e9
    _store_returned_at: float = -1e9
    _removed_at_by_incarnation: dict[tuple[str, int], float] = msgspec.field(
        default_factory=dict
    )
    _digest: int = 0
    _recent_digests: deque[_EarlierDigest] = msgspec.field(
        default_factory=lambda: deque(maxlen=MAX_RECENT_DIGESTS)
    )
    version: int = 0
    """Increases with each change of the list or of a target's state, to invalidate
    what is computed from them."""
    list_version: int = 0
    """Increases only when a target is added or removed or its record changes."""

    def set_layers(self, layers_by_service: Mapping[str, int]) -> None:
        """Set how many layers the model of each service has."""
        if layers_by_service != self._layers_by_service:
            self._layers_by_service = layers_by_service
            self.version += 1
            self.list_version += 1

    def fits_model(self, record: TargetRecord) -> bool:
        """Return whether the layers that a target names are all of its model."""
        layers = self._layers_by_service.get(record.service)
        return layers is None or record.span is None or record.span.end <= layers

    def record_store_failure(self, requested_at: float, failures: int) -> None:
        """Record that a call was not answered, the last of so many in a row."""
        if failures >= OUTAGE_FAILURES:
            self._store_failed_at = requested_at

    def record_store_return(self, now: float) -> None:
        """Record that the store came back without the entries written last."""
        self._store_returned_at = now

    def replace_all(
        self, record_by_id: Mapping[str, TargetRecord], now: float
    ) -> Replacement:
        """Apply a complete listing; return what it changed."""
        removals = [
            self.remove(target_id, now)
            for target_id, entry in list(self._entry_by_id.items())
            if target_id not in record_by_id and entry.missing_since is None
        ]
        changed_ids = [
            target_id
            for target_id, record in record_by_id.items()
            if self.update(record, now)
        ]
        return Replacement(changed_ids, removals)

    def update(self, record: TargetRecord, now: float = -math.inf) -> bool:
        """Apply a target's newest entry; return whether it differs from the last one.

        Each heartbeat rewrites the entry.  If that counted as a change, all plans
        would be recomputed several times a second with ninety targets.
        """
        before = self._entry_by_id.get(record.id)
        if before is not None and before.record == record:
            came_back = before.missing_since is not None
            if came_back:
                before.missing_since = None
                self._toggle_in_digest([record], now)
            return came_back
        if record.phase is TargetPhase.LEAVING:
            self._leaving.add(record.incarnation)
        if before is not None and _restarted(before.record, record):
            self._suspicion_by_id.pop(record.id, None)
        self._put(record.id, _Entry(record), now)
        return True

    def _put(self, target_id: str, entry: _Entry | None, now: float) -> None:
        """Replace a target's entry, or remove it from the list if None."""
        before = self._entry_by_id.pop(target_id, None)
        if entry is not None:
            self._entry_by_id[target_id] = entry
            self._removed_at_by_incarnation.pop(entry.record.incarnation, None)
        elif before is not None:
            self._note_removed(before.record.incarnation, now)
        known = [each for each in (before, entry) if each is not None]
        listed = [each.record for each in known if each.missing_since is None]
        self._toggle_in_digest(listed, now)
        self.version += 1
        self.list_version += 1

    def _note_removed(self, incarnation: tuple[str, int], now: float) -> None:
        removed = self._removed_at_by_incarnation
        removed.pop(incarnation, None)
        removed[incarnation] = now
        while True:
            oldest = next(iter(removed))
            if len(removed) <= MAX_REMOVED_KEPT and (
                now - removed[oldest] <= REMOVED_KEPT_S
            ):
                return
            del removed[oldest]

    def was_removed(self, record: TargetRecord) -> bool:
        """Return whether this incarnation of a target has left the list lately."""
        return record.incarnation in self._removed_at_by_incarnation

    def _toggle_in_digest(self, records: Iterable[TargetRecord], now: float) -> None:
        """Add each record to the digest of the list, or take it out."""
        self._recent_digests.append(_EarlierDigest(self._digest, now))
        for record in records:
            self._digest ^= zlib.crc32(repr(record).encode())

    def digest(self) -> int:
        """Return a checksum that is equal on hosts that know the same list.

        Held targets are left out: if they counted, a host that holds one would take
        the list of a host at which it has registered again for its own, and would
        drop it.
        """
        return self._digest

    def was_current(self, digest: int, at: float) -> bool:
        """Return whether this list had a digest at a time, or was newer.

        When targets are added by tens, each change reaches the hosts of a zone at a
        different time and no two lists are equal for seconds.  If those hosts were
        assumed to have missed an update, all of them would read the store.  A list
        that was replaced before that time proves nothing: the list of the store may
        have returned to an earlier state, by a removal that this host missed.
        """
        return digest == self._digest or any(
            earlier.digest == digest and earlier.replaced_at >= at
            for earlier in self._recent_digests
        )

    def remove(self, target_id: str, now: float) -> Removal:
        """Remove a target, or hold it if a store outage may have expired its entry."""
        entry = self._entry_by_id.get(target_id)
        if entry is None:
            return Removal(target_id, held=False)
        registering = now - self._store_returned_at < RETURN_REGISTRATION_S
        if now - self._store_failed_at < OUTAGE_EXPIRY_S or registering:
            if entry.missing_since is None:
                entry.missing_since = now
                self._toggle_in_digest([entry.record], now)
            return Removal(target_id, held=True)
        self._put(target_id, None, now)
        return Removal(target_id, held=False)

    def expire_missing(self, now: float) -> list[str]:
        """Drop held targets that did not register again in time; return their ids."""
        if now - self._store_returned_at < RETURN_REGISTRATION_S:
            return []
        expired_ids = [
            target_id
            for target_id, entry in self._entry_by_id.items()
            if entry.missing_since is not None
            and now - entry.missing_since >= REGISTRATION_GRACE_S
        ]
        for target_id in expired_ids:
            self._put(target_id, None, now)
        return expired_ids

    def mark_leaving(self, incarnation: tuple[str, int]) -> bool:
        """Record a report that this incarnation leaves; return whether it is new."""
        if incarnation in self._leaving:
            return False
        self._leaving.add(incarnation)
        self.version += 1
        return True

    def is_listed(self, target_id: str) -> bool:
        """Return whether a target is listed, and not only held."""
        entry = self._entry_by_id.get(target_id)
        return entry is not None and entry.missing_since is None

    def leaves(self, record: TargetRecord) -> bool:
        """Return whether this incarnation of a target leaves or is not listed."""
        entry = self._entry_by_id.get(record.id)
        listed = entry is not None and entry.record.incarnation == record.incarnation
        return not listed or record.incarnation in self._leaving

    def leaving_incarnations(self) -> list[tuple[str, int]]:
        """Return the incarnations of the listed targets that leave."""
        return [
            entry.record.incarnation
            for entry in self._entry_by_id.values()
            if entry.record.incarnation in self._leaving
        ]

    def suspect(
        self,
        target_id: str,
        now: float,
        until_answered: bool = False,
        ended: bool = False,
    ) -> float:
        """Exclude a target after a failure seen by this host; return the seconds.

        Parameters
        ----------
        until_answered : bool
            Exclude it beyond that time, until it has answered a probe.  A dead
            stage of a path swallows requests for seconds before this is detected,
            so it is not tested with callers' requests.
        ended : bool
            Its process has ended: its host refuses connections, so that the loss of
            such targets does not show that their zone is disconnected.
        """
        ended |= self._has_ended(target_id)
        until_answered |= ended
        before = self._suspicion_by_id.get(target_id)
        length_s = MIN_SUSPICION_S
        if before is not None and now < before.until and not before.probing:
            before.until_answered |= until_answered
            before.ended |= ended
            before.first_hand = True
            return before.until - now
        if before is not None and (
            before.until_answered or now < before.until + before.length_s
        ):
            length_s = min(MAX_SUSPICION_S, before.length_s * 2)
        self._suspicion_by_id[target_id] = _Suspicion(
            now + length_s, length_s, until_answered, first_hand=True, ended=ended
        )
        self.version += 1
        self._exclude_unreachable_zone(target_id, now)
        return length_s

    def note_ended(self, record: TargetRecord, now: float) -> float:
        """Exclude a target whose process has ended; return the seconds.

        Nothing is sent to it until it answers a probe or is listed with a new start.
        """
        if self.leaves(record):
            return 0.0
        return self.suspect(record.id, now, until_answered=True, ended=True)

    def live_ids(self, target_ids: Iterable[str]) -> set[str]:
        """Return the targets that are listed or held and not known to have ended."""
        return {
            target_id
            for target_id in target_ids
            if target_id in self._entry_by_id and not self._has_ended(target_id)
        }

    def _has_ended(self, target_id: str) -> bool:
        suspicion = self._suspicion_by_id.get(target_id)
        return suspicion is not None and suspicion.ended

    def exclude_until_probed(self, target_id: str, now: float) -> None:
        """Exclude a target until it has answered a probe, which is due at once.

        Used for another host's report: that host may have been suspended or be
        disconnected itself, and the target that it reports as unreachable may have
        answered this host a moment ago.
        """
        if not self.suspected(target_id, now):
            self._suspicion_by_id[target_id] = _Suspicion(
                now, MIN_SUSPICION_S / 2, until_answered=True, first_hand=False
            )
            self.version += 1

    def _exclude_unreachable_zone(self, target_id: str, now: float) -> None:
        """Exclude the target's zone if enough of its targets are unreachable."""
        entry = self._entry_by_id.get(target_id)
        if entry is None:
            return
        zone = entry.record.zone
        zone_ids = [
            other_id
            for other_id, other in self._entry_by_id.items()
            if other.record.zone == zone
        ]
        unreachable_ids = [
            other_id for other_id in zone_ids if self._unreachable_now(other_id, now)
        ]
        if len(unreachable_ids) < max(
            MIN_ZONE_UNREACHABLE, len(zone_ids) * MIN_ZONE_UNREACHABLE_SHARE
        ):
            return
        for other_id in zone_ids:
            if not self.suspected(other_id, now):
                self._suspicion_by_id[other_id] = _Suspicion(
                    now + MIN_SUSPICION_S,
                    MIN_SUSPICION_S,
                    until_answered=True,
                    first_hand=False,
                    inferred=True,
                )

    def _unreachable_now(self, target_id: str, now: float) -> bool:
        suspicion = self._suspicion_by_id.get(target_id)
        return (
            suspicion is not None
            and suspicion.first_hand
            and not suspicion.ended
            and self.suspected(target_id, now)
        )

    def clear(self, target_id: str) -> None:
        """Delete the suspicion of a target that answered."""
        if self._suspicion_by_id.pop(target_id, None) is not None:
            self.version += 1

    def answered(self, target_id: str, now: float) -> None:
        """Record an answer to a probe, which ends the target's suspicion."""
        suspicion = self._suspicion_by_id.get(target_id)
        if suspicion is None:
            return
        if suspicion.until_answered:
            self._answered_at_by_id[target_id] = now
        # The suspicion is kept for a while, so that the next one lasts longer.
        suspicion.until_answered = suspicion.ended = False
        suspicion.until = min(suspicion.until, now)
        self.version += 1
        entry = self._entry_by_id.get(target_id)
        if entry is not None and suspicion.inferred:
            self._restore_zone(entry.record.zone)

    def _restore_zone(self, zone: str) -> None:
        """Drop the inferred suspicions of a zone in which a target answered."""
        for target_id, entry in self._entry_by_id.items():
            suspicion = self._suspicion_by_id.get(target_id)
            if suspicion and suspicion.inferred and entry.record.zone == zone:
                del self._suspicion_by_id[target_id]

    def suspected(self, target_id: str, now: float) -> bool:
        """Return whether a target is excluded now."""
        suspicion = self._suspicion_by_id.get(target_id)
        return suspicion is not None and (
            suspicion.until_answered or now < suspicion.until
        )

    def found_unreachable(self, target_id: str) -> bool:
        """Return whether this host found a target unreachable, with no answer since."""
        suspicion = self._suspicion_by_id.get(target_id)
        return (
            suspicion is not None and suspicion.first_hand and suspicion.until_answered
        )

    def to_ask(self, now: float, extra_delay_s: float = 0.0) -> list[str]:
        """Return the targets that are excluded until they answer and due for a probe.

        Parameters
        ----------
        extra_delay_s : float
            Additional seconds before a probe is due, in which other hosts may probe
            the target and report the result.
        """
        return [
            target_id
            for target_id, suspicion in self._suspicion_by_id.items()
            if suspicion.until_answered
            and now
            >= suspicion.until + (0.0 if suspicion.answer_reported else extra_delay_s)
            and target_id in self._entry_by_id
        ]

    def record_answer_elsewhere(self, target_id: str, now: float) -> None:
        """Make a probe due at once after another host of the zone had an answer.

        The report alone does not end the suspicion, since this host's own connection
        to the target may be down.
        """
        suspicion = self._suspicion_by_id.get(target_id)
        if suspicion is None or not suspicion.until_answered:
            return
        if now - suspicion.started_at >= MIN_SUSPICION_S:
            suspicion.until = min(suspicion.until, now)
            suspicion.answer_reported = True

    def recently_answered(self, now: float) -> list[tuple[str, int]]:
        """Return the once excluded targets that answered recently, for other hosts."""
        self._answered_at_by_id = {
            target_id: at
            for target_id, at in self._answered_at_by_id.items()
            if now - at < ANSWER_REPORTED_S and target_id in self._entry_by_id
        }
        return [
            self._entry_by_id[target_id].record.incarnation
            for target_id in self._answered_at_by_id
            if not self.suspected(target_id, now)
        ]

    def asked(self, target_id: str, now: float) -> None:
        """Record that a target is being probed, so that it is not probed twice.

        A pending probe is no failure: it is not reported to other hosts and does not
        count towards excluding the target's zone.
        """
        suspicion = self._suspicion_by_id.get(target_id)
        if suspicion is not None:
            suspicion.until = now + MIN_SUSPICION_S
            suspicion.probing = True
            suspicion.answer_reported = False

    def unreachable_incarnations(self, now: float) -> list[tuple[str, int]]:
        """Return the targets this host found unreachable, to report to other hosts."""
        return [
            self._entry_by_id[target_id].record.incarnation
            for target_id, suspicion in self._suspicion_by_id.items()
            if suspicion.first_hand
            and suspicion.until_answered
            and not suspicion.probing
            and now < suspicion.until
            and target_id in self._entry_by_id
        ]

    def find(self, target_id: str) -> TargetRecord | None:
        """Return a target that is listed or held, in any state."""
        entry = self._entry_by_id.get(target_id)
        return entry.record if entry else None

    def at_address(self, address: str) -> TargetRecord | None:
        """Return the target that is listed or held at an address."""
        for entry in self._entry_by_id.values():
            if entry.record.address == address:
                return entry.record
        return None

    def listed(self, service: str) -> list[TargetRecord]:
        """Return a service's targets that are not leaving, suspected or not.

        A target with layers that the model does not have is left out.
        """
        return [
            entry.record
            for entry in self._entry_by_id.values()
            if entry.record.service == service
            and entry.record.incarnation not in self._leaving
            and self.fits_model(entry.record)
        ]

    def usable(self, service: str, now: float) -> list[TargetRecord]:
        """Return a service's targets that may be sent work now."""
        return [
            record
            for record in self.listed(service)
            if not self.suspected(record.id, now)
        ]

    def all_records(self) -> Iterable[TargetRecord]:
        """Return all targets that are listed or held."""
        return (entry.record for entry in self._entry_by_id.values())


def _restarted(before: TargetRecord, now: TargetRecord) -> bool:
    """Return whether a target has a new incarnation or returned without layers."""
    emptied = before.span is not None and now.span is None
    return before.incarnation != now.incarnation or emptied
