"""Splits JSON text into its parts, so that one that can't be read hides no other.

A decoder refuses a whole text for one bad escape, number or byte, or for one value that
is nested too deeply.  Here only strings, brackets and commas are told apart, so that
the members of an object and the elements of an array can be decoded one by one.
"""

import json
import re
from typing import TypeVar

import msgspec

from radishfield.core import UNREADABLE_ERRORS

T = TypeVar("T")

_STRING = rb'"[^"\\]*(?:\\.[^"\\]*)*"'
_TOKEN = re.compile(_STRING + rb"|[\[\]{},:]", re.DOTALL)
_OPENED_MEMBERS = rb'(?:\{\s*"[^"\\]*"\s*:\s*)+'
_INNER_TOKEN = re.compile(
    _OPENED_MEMBERS + rb"|" + _STRING + rb"|[\[{]+|[\]}]+", re.DOTALL
)
"""Tokens inside a part, where only the depth counts.  Brackets, and objects that open
one inside the other, are matched in runs, since a deep value has hundred thousands."""
_OPENING, _CLOSING = (b"{", b"["), (b"}", b"]")
_SURROGATE = re.compile("[\ud800-\udfff]")
REPLACEMENT = "\N{REPLACEMENT CHARACTER}"


def split_members(text: bytes) -> dict[str, bytes] | None:
    """Return the values of an object's members by name; None if it is no object."""
    parts = _split(text, b"{", b"}")
    if parts is None:
        return None
    value_by_name = {}
    for part in parts:
        name = _TOKEN.match(part)
        rest = part[name.end() :].lstrip() if name else b""
        if not rest.startswith(b":"):
            return None
        value_by_name[readable_text(name[0])] = rest[1:].strip()
    return value_by_name


def split_elements(text: bytes) -> list[bytes] | None:
    """Return the elements of an array; None if it is none."""
    return _split(text, b"[", b"]")


def decode_part(part: bytes | None, kind: type[T]) -> T | None:
    """Return a part's value; None if it is missing or can't be read."""
    if part is None:
        return None
    try:
        return msgspec.json.decode(part, type=kind)
    except UNREADABLE_ERRORS:
        return None


def readable_text(part: bytes) -> str:
    """Return a string with U+FFFD in place of what can't be read; empty if none is."""
    try:
        found = json.loads(part.decode(errors="replace"), strict=False)
    except UNREADABLE_ERRORS:
        return ""
    return _SURROGATE.sub(REPLACEMENT, found) if isinstance(found, str) else ""


def _split(text: bytes, opening: bytes, closing: bytes) -> list[bytes] | None:
    """Return the parts between the commas of an object or array."""
    text = text.strip()
    if not text.startswith(opening) or not text.endswith(closing):
        return None
    parts, begins_at, at = [], 1, 1
    while True:
        token = _TOKEN.search(text, at)
        if token is None:
            return None
        kind, at = token[0], token.end()
        if kind in _OPENING:
            at = _end_of_nested(text, at)
            if at < 0:
                return None
        elif kind == b"," or kind in _CLOSING:
            parts.append(text[begins_at : token.start()].strip())
            begins_at = at
            if kind != b",":
                break
    if at != len(text):
        return None
    return [] if parts == [b""] else parts


def _end_of_nested(text: bytes, begins_at: int) -> int:
    """Return where the brackets close that open before a place; -1 if they don't."""
    depth = 1
    for token in _INNER_TOKEN.finditer(text, begins_at):
        run = token[0]
        first, length = run[:1], len(run)
        if first in _OPENING:
            depth += run.count(b'"') // 2 or length
        elif first in _CLOSING:
            if length >= depth:
                return token.start() + depth
            depth -= length
    return -1
