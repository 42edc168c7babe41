"""Splits byte streams into complete server-sent events and reads their ids.

A target may stop in the middle of an event.  Only complete events are forwarded, so
that another target can resume after the last id without a truncated event in between.
"""

END_OF_EVENT = b"\n\n"


class EventSplitter:
    """Splits a stream of bytes into complete events."""

    __slots__ = ("_buffer",)

    def __init__(self):
        self._buffer = b""

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk; return all events that are now complete, concatenated."""
        data = self._buffer + chunk if self._buffer else chunk
        end = data.rfind(END_OF_EVENT)
        if end < 0:
            self._buffer = data
            return b""
        end += len(END_OF_EVENT)
        self._buffer = data[end:]
        events = data[:end]
        return events

    @property
    def has_incomplete_event(self) -> bool:
        """Return whether bytes of an incomplete event are buffered."""
        return bool(self._buffer)


def event_ids(events: bytes) -> list[int]:
    """Return the ids of complete events in order."""
    ids = []
    for line in events.split(b"\n"):
        if line.startswith(b"id:"):
            digits = line[3:].strip()
            if digits.isdigit():
                ids.append(int(digits))
    return ids
