"""Tracks the eras of the store, which begin as it comes back from an older copy.

What was written after the copy is lost then, and revisions are given out again.  So a
revision says something only together with its era, and an answer of an older era that
arrives late says nothing of what the store holds now.
"""

import enum
import math

import msgspec

MAX_ERA = (1 << 40) - 1
ERA_DOUBT_S = 10.0
"""Time for which all answers have to be of a lower era than the known one, until that
is believed.  Late answers arrive within a call's time limit of two seconds."""


class Position(msgspec.Struct, frozen=True, order=True):
    """A revision of the store in one of its eras."""

    era: int
    revision: int


class EraNews(enum.Enum):
    """What an answer or a peer says of the store's era."""

    KNOWN = enum.auto()
    FIRST = enum.auto()
    CHANGED = enum.auto()
    OLDER = enum.auto()


class StoreEra(msgspec.Struct):
    """The newest era that this host knows of.

    Attributes
    ----------
    known : int
        0 before the first answer, and with a store that names no eras.
    changed_at : float
        When this host learned that the store had come back; for a host that starts,
        the time of the first answer unless that is of the first era.
    older_answers : int
        Answers of an older era, none of which was used.
    """

    known: int = 0
    changed_at: float = -math.inf
    older_answers: int = 0
    _older_since: float | None = None

    def note_answer(self, era: int | None, now: float) -> EraNews:
        """Apply the era that an answer names; None if it names none."""
        if era is None or era == self.known:
            self._older_since = None
            return EraNews.KNOWN
        if era > self.known:
            return self._begin(era, now)
        self.older_answers += 1
        if self._older_since is None:
            self._older_since = now
        if now - self._older_since < ERA_DOUBT_S:
            return EraNews.OLDER
        return self._begin(era, now)

    def note_peer(self, era: int, now: float) -> EraNews:
        """Apply the era that another host knows of."""
        if era <= self.known:
            return EraNews.KNOWN
        return self._begin(era, now)

    def _begin(self, era: int, now: float) -> EraNews:
        is_first = not self.known
        self.known = era
        self._older_since = None
        if not is_first or era > 1:
            self.changed_at = now
        return EraNews.FIRST if is_first else EraNews.CHANGED
