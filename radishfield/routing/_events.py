"""Server-sent events as bytes: whole events out of chunks, and their ids.

A target may stop in the middle of an event.  Only whole events are passed on, so
that another target can go on after the last id without a torn event between.
"""

END_OF_EVENT = b"\n\n"


class EventSplitter:
    """Cuts a stream of bytes into whole events."""

    __slots__ = ("_rest",)

    def __init__(self):
        self._rest = b""

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events that are complete now, as one piece."""
        data = self._rest + chunk if self._rest else chunk
        end = data.rfind(END_OF_EVENT)
        if end < 0:
            self._rest = data
            return b""
        end += len(END_OF_EVENT)
        self._rest = data[end:]
        whole = data[:end]
        return whole

    @property
    def torn(self) -> bool:
        """Return whether bytes of an unfinished event are held."""
        return bool(self._rest)


def event_ids(events: bytes) -> list[int]:
    """Return the ids of whole events, in order."""
    ids = []
    for line in events.split(b"\n"):
        if line.startswith(b"id:"):
            digits = line[3:].strip()
            if digits.isdigit():
                ids.append(int(digits))
    return ids
