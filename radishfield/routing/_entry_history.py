"""Decides which entries of targets are newer than what is known of these targets.

Entries arrive from the store and, late or twice, from other hosts.  After the store has
come back from an older copy, its list holds entries as they were before: of targets
that have left or died since, and of others with a state or layers that they no longer
have.  Such an entry counts only once its target has written it again.
"""

import msgspec

from radishfield.routing._store_era import Position
from radishfield.routing._types import TargetRecord


class Entry(msgspec.Struct, frozen=True):
    """A target's entry.

    Attributes
    ----------
    beats : int
        How often this incarnation has written its entry.
    """

    record: TargetRecord
    position: Position
    beats: int


class _Beat(msgspec.Struct, frozen=True):
    incarnation: tuple[str, int]
    beats: int


class EntryHistory(msgspec.Struct):
    """Positions of the entries that were applied, and how often these were written.

    Attributes
    ----------
    listed : Position or None
        Position of the last complete list.
    """

    listed: Position | None = None
    _position_by_id: dict[str, Position] = msgspec.field(default_factory=dict)
    _beat_by_id: dict[str, _Beat] = msgspec.field(default_factory=dict)
    _outdated_by_id: dict[str, Position] = msgspec.field(default_factory=dict)

    def begin_list(
        self, position: Position, position_by_id: dict[str, Position]
    ) -> bool:
        """Apply a list's positions; return whether it is the first one of an era."""
        is_new_era = self.listed is not None and position.era != self.listed.era
        if is_new_era:
            self._outdated_by_id.clear()
        self.listed = position
        self._position_by_id = dict(position_by_id)
        return is_new_era

    def is_outdated(self, entry: Entry, is_new_era: bool, was_removed: bool) -> bool:
        """Return whether a listed entry is older than what is known of its target.

        Parameters
        ----------
        was_removed : bool
            This incarnation has left the list before.
        """
        target_id = entry.record.id
        if is_new_era:
            if was_removed or self._is_older(entry):
                self._outdated_by_id[target_id] = entry.position
                return True
        elif entry.position <= self._outdated_by_id.get(target_id, Position(0, 0)):
            return True
        self._note(entry)
        return False

    def note_change(self, target_id: str, position: Position) -> Position:
        """Apply a change that the store reports; return the entry's position."""
        known = self._position_by_id.get(target_id, position)
        position = max(known, position)
        self._position_by_id[target_id] = position
        self._outdated_by_id.pop(target_id, None)
        return position

    def note_written(self, entry: Entry) -> None:
        """Record that a target has written its entry."""
        self._note(entry)

    def forget(self, target_id: str) -> None:
        """Forget how often a target that is gone has written its entry."""
        self._beat_by_id.pop(target_id, None)

    def accepts_update(
        self, target_id: str, position: Position, is_removal: bool
    ) -> bool:
        """Apply an update from another host; return whether it is news."""
        known = self._position_by_id.get(target_id, self.listed or Position(0, 0))
        if position < known or (position == known and not is_removal):
            return False
        self._position_by_id[target_id] = position
        self._outdated_by_id.pop(target_id, None)
        return True

    def _note(self, entry: Entry) -> None:
        record = entry.record
        self._beat_by_id[record.id] = _Beat(record.incarnation, entry.beats)

    def _is_older(self, entry: Entry) -> bool:
        record = entry.record
        beat = self._beat_by_id.get(record.id)
        if beat is None:
            return False
        if beat.incarnation == record.incarnation:
            return entry.beats < beat.beats
        # Without a start time nothing says which of two incarnations came first.
        return 0 < record.started_ms < beat.incarnation[1]
