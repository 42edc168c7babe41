"""Reads which bytes of a connection belong to the answer of one request.

The HTTP library keeps bytes that follow an answer and takes them for the beginning of
the next one.  It is lenient as well: a cut head that another answer continues is read
as one head, with the second status line inside a phrase or a value.  An answer's bytes
therefore pass this reader first, which accepts only the strict form.
"""

import re
from enum import Enum, auto

MAX_HEAD_BYTES = 64 << 10
MAX_FIELDS = 200
MAX_INFORMATIONAL = 8
"""Informational answers that may precede an answer."""
MAX_SIZE_DIGITS = 16
MAX_LENGTH_DIGITS = 18
SMALL_CHUNK_BYTES = 16
"""Chunks below this size cost more processor time to read than their bytes do.  Few
events are that short."""
SMALL_CHUNKS = 4096
"""Small chunks that an answer may have at once, as of a text that is sent in tokens."""
SWITCHING_PROTOCOLS = 101

_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2}) (" + _TEXT + rb")")
_FIELD_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):(" + _TEXT + rb")")
_OTHER_STATUS_LINE = re.compile(rb"HTTP/[0-9.]+[ \t]+[0-9]{3}(?![0-9.])")
_VERSION_START = b"HTTP/1."
_SIZE = re.compile(rb"[0-9A-Fa-f]{1,%d}" % MAX_SIZE_DIGITS)
_LENGTH = re.compile(rb"[0-9]{1,%d}" % MAX_LENGTH_DIGITS)
_BODILESS = (204, 304)
_FRAMING_FIELDS = frozenset({b"content-length", b"transfer-encoding"})


class _Part(Enum):
    """The part of an answer that the next byte belongs to."""

    HEAD = auto()
    LENGTH_BODY = auto()
    CHUNK_SIZE = auto()
    CHUNK = auto()
    CHUNK_END = auto()
    TRAILERS = auto()
    OPEN_BODY = auto()
    NONE = auto()


class AnswerFraming:
    """The bytes of one answer, as they are received.

    Attributes
    ----------
    status : int
        Status of the answer; 0 before its head is complete.
    complete : bool
        All bytes of the answer were received.
    surplus : int
        Bytes that were received after the end of the answer.
    problem : str
        Why the bytes are not an answer of the strict form; empty if they are.
    small_chunks_left : int
        Small chunks that the answer may still have.
    """

    __slots__ = (
        "complete",
        "problem",
        "small_chunks_left",
        "status",
        "surplus",
        "_fields",
        "_held",
        "_informational",
        "_left",
        "_method",
        "_part",
        "_seen",
        "_single",
        "_version",
    )

    def __init__(self, method: bytes, single_fields: frozenset[bytes] = frozenset()):
        """Begin an answer.

        Parameters
        ----------
        method : bytes
            The request's method.
        single_fields : frozenset of bytes
            Names in lower case of fields that may occur once.
        """
        self.complete = False
        self.problem = ""
        self.small_chunks_left = SMALL_CHUNKS
        self.status = 0
        self.surplus = 0
        self._fields: dict[bytes, bytes] = {}
        self._held = b""
        self._informational = 0
        self._left = 0
        self._method = method
        self._part = _Part.HEAD
        self._seen = 0
        self._single = single_fields | _FRAMING_FIELDS
        self._version = b""

    @property
    def begun(self) -> bool:
        """Return whether any byte was received."""
        return bool(self._held or self.status or self._informational or self.problem)

    @property
    def ends_with_connection(self) -> bool:
        """Return whether only the end of the connection ends the answer."""
        return self._part is _Part.OPEN_BODY

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the answer that these bytes complete.

        Heads, trailers and the lines of chunks are held until they are complete, so
        that nothing of a malformed one is returned.
        """
        if self.complete:
            self.surplus += len(data)
            return b""
        if self.problem:
            return b""
        if self._held:
            data = self._held + data
            self._held = b""
        position = 0
        while position < len(data) and not self.complete and not self.problem:
            after = self._advance(data, position)
            if after == position:
                break
            position = after
        if self.complete:
            self.surplus += len(data) - position
        elif not self.problem:
            self._held = data[position:]
        return data if position == len(data) else data[:position]

    def feed_end(self) -> None:
        """Note that the connection ended."""
        if self._part is _Part.OPEN_BODY:
            self.complete = True
        elif not self.complete and not self.problem:
            self.problem = f"ended within its {self._part.name.lower()}"

    def _advance(self, data: bytes, position: int) -> int:
        """Return the position up to which the bytes are complete parts."""
        match self._part:
            case _Part.LENGTH_BODY | _Part.CHUNK:
                return self._advance_counted(data, position)
            case _Part.CHUNK_SIZE:
                return self._advance_size(data, position)
            case _Part.CHUNK_END:
                return self._advance_chunk_end(data, position)
            case _Part.HEAD | _Part.TRAILERS:
                return self._advance_lines(data, position)
        return len(data)

    def _advance_counted(self, data: bytes, position: int) -> int:
        taken = min(self._left, len(data) - position)
        self._left -= taken
        if not self._left:
            if self._part is _Part.CHUNK:
                self._part = _Part.CHUNK_END
            else:
                self._end()
        return position + taken

    def _advance_size(self, data: bytes, position: int) -> int:
        end = data.find(b"\n", position, position + MAX_SIZE_DIGITS + 2)
        if end < 0:
            line = data[position : position + MAX_SIZE_DIGITS + 2]
            digits = line[:-1] if line.endswith(b"\r") else line
            if _SIZE.fullmatch(digits) is None:
                self.problem = "the size of a chunk is malformed"
            return position
        line = data[position : end + 1]
        if not line.endswith(b"\r\n") or _SIZE.fullmatch(line[:-2]) is None:
            self.problem = "the size of a chunk is malformed"
            return position
        self._left = int(line[:-2], 16)
        self._part = _Part.CHUNK if self._left else _Part.TRAILERS
        if 0 < self._left < SMALL_CHUNK_BYTES:
            self.small_chunks_left -= 1
            if self.small_chunks_left < 0:
                self.problem = "it has too many small chunks"
                return position
        return end + 1

    def _advance_chunk_end(self, data: bytes, position: int) -> int:
        end = data[position : position + 2]
        if end == b"\r\n":
            self._part = _Part.CHUNK_SIZE
            return position + 2
        if end != b"\r":
            self.problem = "a chunk is longer than its size"
        return position

    def _advance_lines(self, data: bytes, position: int) -> int:
        """Read the lines of a head or of trailers; all are returned together."""
        at = position + self._seen
        while (end := data.find(b"\n", at)) >= 0:
            if end == at or data[end - 1] != 0x0D:
                self.problem = "a line ends without a carriage return"
                return position
            line = data[at : end - 1]
            at = end + 1
            self._seen = at - position
            if self._seen > MAX_HEAD_BYTES:
                break
            if line:
                self._read_line(line)
                if self.problem:
                    return position
                continue
            self._seen = 0
            self._end_lines()
            return position if self.problem else at
        rest = data[at:]
        if self._seen + len(rest) > MAX_HEAD_BYTES:
            self.problem = "its head is too long"
        elif b"\r" in rest[:-1]:
            self.problem = "a line has a carriage return"
        elif self._part is _Part.HEAD and not self._version:
            if not _VERSION_START.startswith(rest[: len(_VERSION_START)]):
                self.problem = "it does not begin with a status line"
        return position

    def _read_line(self, line: bytes) -> None:
        if self._part is _Part.HEAD and not self._version:
            self._read_status_line(line)
            return
        found = _FIELD_LINE.fullmatch(line)
        if found is None:
            self.problem = "a field is malformed"
            return
        name, value = found[1].lower(), found[2].strip(b" \t")
        if b"HTTP/" in value and _OTHER_STATUS_LINE.search(value):
            self.problem = "a field holds a status line"
        elif name in self._single and (
            name in self._fields or self._part is _Part.TRAILERS
        ):
            self.problem = f"a second {name.decode('ascii')}"
        elif len(self._fields) >= MAX_FIELDS:
            self.problem = "too many fields"
        elif name in self._single:
            self._fields[name] = value
        else:
            # Only the number of the other fields counts.
            self._fields[b":%d" % len(self._fields)] = b""

    def _read_status_line(self, line: bytes) -> None:
        found = _STATUS_LINE.fullmatch(line)
        if found is None:
            self.problem = "its status line is malformed"
        elif _OTHER_STATUS_LINE.search(found[3]):
            self.problem = "its phrase holds a status line"
        else:
            self._version = found[1]
            self.status = int(found[2])

    def _end_lines(self) -> None:
        if self._part is _Part.TRAILERS:
            self._end()
        elif not self._version:
            self.problem = "it begins with an empty line"
        elif self.status == SWITCHING_PROTOCOLS:
            self.problem = "it switches protocols"
        elif self.status < 200:
            self._informational += 1
            if self._informational > MAX_INFORMATIONAL:
                self.problem = "too many informational answers"
            self._fields, self._version, self.status = {}, b"", 0
        else:
            self._begin_body()

    def _begin_body(self) -> None:
        coding = self._fields.get(b"transfer-encoding")
        length = self._fields.get(b"content-length")
        if coding is not None and (length is not None or self._version == b"0"):
            self.problem = "a transfer encoding beside a length or in HTTP/1.0"
        elif coding is not None and coding.lower() != b"chunked":
            self.problem = "its transfer encoding is not chunked"
        elif length is not None and _LENGTH.fullmatch(length) is None:
            self.problem = "its length is malformed"
        elif self._method == b"HEAD" or self.status in _BODILESS:
            self._end()
        elif coding is not None:
            self._part = _Part.CHUNK_SIZE
        elif length is None:
            self._part = _Part.OPEN_BODY
        else:
            self._left = int(length)
            self._part = _Part.LENGTH_BODY
            if not self._left:
                self._end()

    def _end(self) -> None:
        self._part = _Part.NONE
        self.complete = True
