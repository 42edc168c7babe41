"""Remembers the objects of another writer that can't be decoded.

A list with one such object has to be taken apart, which takes far longer than decoding
it, and the object stays in the list until somebody writes it again.  So its text is
kept and is replaced by a short object of the same name in the answers that follow.
"""

import msgspec

MIN_BYTES = 256
"""Shorter objects are taken apart each time."""
MAX_BYTES = 8 << 20
"""Space for the texts of all objects, as long as the longest answer."""


class UnreadableObjects:
    """The texts of unreadable objects, with the short ones that stand for them."""

    __slots__ = ("_bytes", "_short_by_text")

    def __init__(self):
        self._bytes = 0
        self._short_by_text: dict[bytes, bytes] = {}

    def remember(self, text: bytes, name: str, revision: int) -> None:
        """Keep the text of an object; the oldest ones give way."""
        if not name or not MIN_BYTES <= len(text) <= MAX_BYTES:
            return
        metadata = {"name": name, "revision": revision}
        self.forget(text)
        self._short_by_text[text] = msgspec.json.encode({"metadata": metadata})
        self._bytes += len(text)
        while self._bytes > MAX_BYTES:
            self.forget(next(iter(self._short_by_text)))

    def forget(self, text: bytes) -> None:
        """Drop a text if it is kept."""
        if self._short_by_text.pop(text, None) is not None:
            self._bytes -= len(text)

    def shorten(self, answer: bytes) -> bytes:
        """Return an answer with the short objects in place of the kept ones."""
        for text, short in self._short_by_text.items():
            if len(text) <= len(answer):
                answer = answer.replace(text, short)
        return answer
