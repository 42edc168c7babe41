"""Splits byte streams into complete server-sent events and reads their ids.

A target may stop in the middle of an event.  Only complete events are forwarded, so
that another target can resume after the last id without a truncated event in between.
"""

END_OF_EVENT = b"\n\n"
MAX_ID_DIGITS = 19
MAX_EVENT_BYTES = 1 << 20
"""Length from which on bytes are no event: a target in trouble may send bytes without
end, and an event holds a few tokens."""

READ_PAUSE_SHARE = 0.2
"""Longest pause between two reads of a stream, as a share of the longest pause between
two events that is on time."""


def read_pause_s(typical_gap_s: float, longest_gap_s: float) -> float:
    """Return how long to collect a stream's events before they are read.

    A host of half a core passes on hundreds of events a second, each in two turns of
    the event loop.  Events that come faster than a caller notices are read together.
    A stream whose events come slowly is read at once, and a pause of its targets is
    not extended: the next event after one is waited for and not collected.

    Parameters
    ----------
    typical_gap_s : float
        Usual time between two events of the stream; 0 if it is not known yet.
    longest_gap_s : float
        Longest pause between two events that is on time; 0 if none is configured.
    """
    pause_s = READ_PAUSE_SHARE * longest_gap_s
    return pause_s if 0.0 < typical_gap_s < pause_s else 0.0


class EventSplitter:
    """Splits a stream of bytes into complete events.

    Attributes
    ----------
    is_too_long : bool
        An event is longer than `MAX_EVENT_BYTES`; nothing more is taken in.
    """

    __slots__ = ("_buffer", "is_too_long")

    def __init__(self):
        self._buffer = bytearray()
        self.is_too_long = False

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk; return all events that are now complete, concatenated."""
        if self.is_too_long:
            return b""
        # The end of an event may lie across two chunks.
        searched = max(0, len(self._buffer) - len(END_OF_EVENT) + 1)
        self._buffer += chunk
        end = self._buffer.rfind(END_OF_EVENT, searched)
        events = b""
        if end >= 0:
            end += len(END_OF_EVENT)
            events = bytes(self._buffer[:end])
            del self._buffer[:end]
        if len(self._buffer) > MAX_EVENT_BYTES:
            self.is_too_long = True
            self._buffer.clear()
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
            event_id = parse_event_id(line[3:].strip())
            if event_id is not None:
                ids.append(event_id)
    return ids


def parse_event_id(text: bytes) -> int | None:
    """Return an event's id; None if the text is no whole number that fits 64 bits."""
    return int(text) if text.isdigit() and len(text) <= MAX_ID_DIGITS else None
