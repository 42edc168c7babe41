"""Keeps the decisions on recent requests for operators who investigate them."""

from collections import OrderedDict
from dataclasses import dataclass

MAX_REQUESTS = 5000
"""Maximum number of requests: minutes at the intended fleet size, in about 3 MB."""

MAX_NOTES = 16
"""Maximum number of notes on one request; four attempts need nine."""


@dataclass(slots=True, frozen=True)
class Note:
    """One decision; ``at`` is a clock reading in seconds."""

    at: float
    step: str
    detail: str = ""


class Journal:
    """Notes by request; the oldest request is evicted first."""

    __slots__ = ("_notes_by_request",)

    def __init__(self):
        self._notes_by_request: OrderedDict[str, list[Note]] = OrderedDict()

    def note(self, request_id: str, note: Note) -> None:
        """Add a note."""
        notes = self._notes_by_request.setdefault(request_id, [])
        if len(notes) < MAX_NOTES:
            notes.append(note)
        if len(self._notes_by_request) > MAX_REQUESTS:
            self._notes_by_request.popitem(last=False)

    def notes(self, request_id: str) -> tuple[Note, ...]:
        """Return a request's notes, or an empty tuple if it is unknown or evicted."""
        return tuple(self._notes_by_request.get(request_id, ()))
