"""Client of the platform's object store: its calls, paths and answers.

Objects may have other writers.  What can't be read of one object hides no other one:
answers that are not wholly readable are taken apart and read object by object.
"""

from typing import Annotated, Protocol
from urllib.parse import quote

import msgspec
from expression import Error, Ok, Result

from radishfield.core import UNREADABLE_ERRORS, Fault, ResultCode, fault
from radishfield.platform._era_header import read_era
from radishfield.platform._json_parts import (
    decode_part,
    readable_text,
    split_elements,
    split_members,
)
from radishfield.platform._unreadable import UnreadableObjects
from radishfield.routing import Position
from radishfield.telemetry import log_event
from radishfield.web import ApiCall, ApiCaller, Headers, decode_answer

CALL_TIMEOUT_S = 2.0
"""The store answers in milliseconds; one that takes longer than this is failing."""
WATCH_MARGIN_S = 1.0
"""Time by which a watch's answer may be late.  A later one means that the connection
is lost, which can happen without an error; a slow store takes only some hundred
milliseconds."""


Revision = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


class _Metadata(msgspec.Struct, rename="camel"):
    name: str
    revision: Revision = 0


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Page(msgspec.Struct, rename="camel"):
    items: list[msgspec.Raw]
    truncated: bool = False
    current_rev: Revision = 0


class _Event(msgspec.Struct):
    object: msgspec.Raw
    deleted: bool = False


class _Events(msgspec.Struct, rename="camel"):
    events: list[_Event]
    current_rev: Revision


class _NewMetadata(msgspec.Struct, omit_defaults=True):
    name: str
    revision: int | None = None


class _Write(msgspec.Struct):
    metadata: _NewMetadata
    spec: object


class StoredValue(msgspec.Struct, frozen=True):
    """One object; ``spec`` is its content, or None if that can't be read."""

    name: str
    position: Position
    spec: object


class Change(msgspec.Struct, frozen=True):
    """One object that changed or, with ``deleted``, was removed."""

    value: StoredValue
    deleted: bool


class Listing(msgspec.Struct, frozen=True):
    """All objects of a kind as of a position of the store."""

    values: tuple[StoredValue, ...]
    position: Position


class Changes(msgspec.Struct, frozen=True):
    """Changes up to a position of the store; empty if nothing changed.

    Attributes
    ----------
    complete : bool
        No removal is missing since the name of its object can't be read.
    """

    changes: tuple[Change, ...]
    position: Position
    complete: bool = True


class _Answer(msgspec.Struct, frozen=True):
    body: bytes
    era: int


class EraSource(Protocol):
    """What is known of the store's eras.

    Attributes
    ----------
    known : int
        The newest era.
    """

    known: int

    def accepts(self, era: Result[int | None, Fault]) -> bool:
        """Take in the era that an answer names; return whether the answer counts."""


class _AnyEra:
    known = 0

    def accepts(self, era: Result[int | None, Fault]) -> bool:
        return True


class ObjectStore:
    """Client of the store; each call is sent once.

    Parameters
    ----------
    eras : EraSource, optional
        Leaves out answers of older eras; without it the era of each answer counts.
    """

    __slots__ = ("_caller", "_eras", "_unreadable")

    def __init__(self, caller: ApiCaller, eras: EraSource | None = None):
        self._caller = caller
        self._eras = eras or _AnyEra()
        self._unreadable = UnreadableObjects()

    async def read(self, kind: str, name: str) -> Result[StoredValue, Fault]:
        """Return an object, or ``OBJECT_NOT_FOUND``."""
        answer = await self._call("read", "GET", _path(kind, name))
        return answer.bind(_decode_value)

    async def list(
        self, kind: str, limit_s: float = CALL_TIMEOUT_S
    ) -> Result[Listing, Fault]:
        """Return all objects of a kind, read page by page.

        Each page has to arrive within ``limit_s``.

        The position is that of the first page, so that a watch from there returns
        again whatever changed while the later pages were read.  ``WATCH_GAP`` if the
        era changed between two pages.
        """
        values: list[StoredValue] = []
        position: Position | None = None
        after = ""
        while True:
            query = f"?after={quote(after, safe='')}" if after else ""
            path = _path(kind) + query
            answer = await self._call("list", "GET", path, limit_s=limit_s)
            page = answer.bind(
                lambda found: _decode_page(
                    self._unreadable.shorten(found.body), self._unreadable
                )
            )
            if page.is_error():
                return Error(page.error)
            era = answer.ok.era
            values += [_read_value(item, era) for item in page.ok.items]
            if position is None:
                position = Position(era, page.ok.current_rev)
            if position.era != era:
                return Error(_era_gap(position, era))
            if not page.ok.truncated:
                return Ok(Listing(tuple(values), position))
            name = _last_name(page.ok.items)
            if not name or name == after:
                # No name to continue after; a partial list would drop the other
                # objects.
                detail = f"page has no readable name after {after!r}"
                return Error(fault(ResultCode.PLATFORM_MALFORMED, detail))
            after = name

    async def watch(
        self,
        kind: str,
        position: Position,
        wait_s: float,
        margin_s: float = WATCH_MARGIN_S,
    ) -> Result[Changes, Fault]:
        """Wait for changes after a position, for ``wait_s`` seconds at most.

        ``WATCH_GAP`` if the store is in another era now: the changes after the same
        revision there are not those after this position.

        Parameters
        ----------
        margin_s : float
            Time by which the answer may be late.
        """
        if self._has_passed(position):
            return Error(_era_gap(position, self._eras.known))
        query = f"?watch={position.revision}&waitMs={int(wait_s * 1000)}"
        limit_s = wait_s + margin_s
        answer = await self._call("watch", "GET", _path(kind) + query, limit_s=limit_s)
        if answer.is_ok() and answer.ok.era != position.era:
            return Error(_era_gap(position, answer.ok.era))
        return answer.bind(_decode_changes)

    async def create(
        self, kind: str, name: str, spec: object
    ) -> Result[StoredValue, Fault]:
        """Create an object; ``PLATFORM_CONFLICT`` if it exists."""
        body = msgspec.json.encode(_Write(_NewMetadata(name), spec))
        answer = await self._call("create", "POST", _path(kind), body)
        return answer.bind(_decode_value)

    async def replace(
        self, kind: str, name: str, spec: object, position: Position
    ) -> Result[StoredValue, Fault]:
        """Replace an object if it is still the one that was read.

        ``PLATFORM_CONFLICT`` if it is not, ``PLATFORM_AMBIGUOUS`` if the store has come
        back meanwhile: another object may have that revision in the new era.
        """
        if self._has_passed(position):
            return Error(_passed_era(position))
        body = msgspec.json.encode(_Write(_NewMetadata(name, position.revision), spec))
        answer = await self._call("replace", "PUT", _path(kind, name), body)
        if answer.is_ok() and answer.ok.era != position.era:
            return Error(fault(ResultCode.PLATFORM_AMBIGUOUS, "the era has changed"))
        return answer.bind(_decode_value)

    async def remove(
        self, kind: str, name: str, position: Position
    ) -> Result[None, Fault]:
        """Remove an object if it is still the one that was read."""
        if self._has_passed(position):
            return Error(_passed_era(position))
        path = f"{_path(kind, name)}?revision={position.revision}"
        answer = await self._call("remove", "DELETE", path)
        return answer.map(lambda found: None)

    def _has_passed(self, position: Position) -> bool:
        """Return whether the store is known to be in another era."""
        return self._eras.known not in (0, position.era)

    async def _call(
        self,
        call: str,
        method: str,
        path: str,
        body: bytes = b"",
        limit_s: float = CALL_TIMEOUT_S,
    ) -> Result[_Answer, Fault]:
        era = self._eras.known

        def accepts(headers: Headers) -> bool:
            nonlocal era
            named = read_era(headers)
            if not self._eras.accepts(named):
                return False
            era = named.default_value(None) or self._eras.known
            return True

        answer = await self._caller.call(
            ApiCall(call, method, path, body, limit_s), accepts
        )
        return answer.map(lambda content: _Answer(content, era))


def _path(kind: str, name: str | None = None) -> str:
    path = f"/objects/{quote(kind, safe='')}"
    return path if name is None else f"{path}/{quote(name, safe='')}"


def _era_gap(position: Position, era: int) -> Fault:
    return fault(ResultCode.WATCH_GAP, f"era {era} after era {position.era}")


def _passed_era(position: Position) -> Fault:
    return fault(ResultCode.PLATFORM_CONFLICT, f"era {position.era} has passed")


def _decode_value(answer: _Answer) -> Result[StoredValue, Fault]:
    value = _read_value(answer.body, answer.era)
    if value.name:
        return Ok(value)
    return Error(
        fault(ResultCode.PLATFORM_MALFORMED, "answer holds no readable object")
    )


def _decode_page(body: bytes, unreadable: UnreadableObjects) -> Result[_Page, Fault]:
    """Return a page; what of it can't be decoded is remembered."""
    page = decode_answer(body, _Page)
    if page.is_ok():
        return page
    members = split_members(body) or {}
    items = split_elements(members.get("items", b""))
    truncated = decode_part(members.get("truncated", b"false"), bool)
    revision = decode_part(members.get("currentRev", b"0"), Revision)
    if items is None or truncated is None or revision is None:
        return page
    _log_taken_apart("list", page.error)
    return Ok(
        _Page(
            [msgspec.Raw(_readable_item(item, unreadable)) for item in items],
            truncated,
            revision,
        )
    )


def _readable_item(item: bytes, unreadable: UnreadableObjects) -> bytes:
    """Return an object, or the short one that stands for it if it can't be decoded."""
    try:
        msgspec.json.decode(item, type=_Object)
    except UNREADABLE_ERRORS:
        value = _read_parts(item, era=0)
        if value.spec is None:
            unreadable.remember(item, value.name, value.position.revision)
            return unreadable.shorten(item)
    return item


def _decode_changes(answer: _Answer) -> Result[Changes, Fault]:
    body = answer.body
    decoded = decode_answer(body, _Events)
    if decoded.is_ok():
        found = [(item.object, item.deleted) for item in decoded.ok.events]
        return Ok(_changes(found, Position(answer.era, decoded.ok.current_rev)))
    members = split_members(body) or {}
    events = split_elements(members.get("events", b""))
    revision = decode_part(members.get("currentRev"), Revision)
    if events is None or revision is None:
        return Error(decoded.error)
    _log_taken_apart("watch", decoded.error)
    found = []
    for event in events:
        parts = split_members(event) or {}
        deleted = decode_part(parts.get("deleted", b"false"), bool)
        found.append((parts.get("object", b""), deleted))
    return Ok(_changes(found, Position(answer.era, revision)))


def _changes(found: list[tuple[bytes, bool | None]], position: Position) -> Changes:
    """Return changes; whether an object was deleted is None if that can't be read."""
    changes = [
        Change(_read_value(raw, position.era), bool(deleted)) for raw, deleted in found
    ]
    complete = all(
        deleted is False or (deleted and change.value.name)
        for change, (_, deleted) in zip(changes, found, strict=True)
    )
    return Changes(tuple(changes), position, complete)


def _read_value(raw: bytes, era: int) -> StoredValue:
    """Return an object with what can be read of it.

    Its spec is None if it can't be read, its revision 0, and its name empty.
    """
    try:
        item = msgspec.json.decode(raw, type=_Object)
    except UNREADABLE_ERRORS:
        return _read_parts(bytes(raw), era)
    return StoredValue(
        item.metadata.name,
        Position(era, item.metadata.revision),
        decode_part(item.spec, object),
    )


def _read_parts(raw: bytes, era: int) -> StoredValue:
    members = split_members(raw) or {}
    metadata = split_members(members.get("metadata", b"")) or {}
    return StoredValue(
        decode_part(metadata.get("name"), str) or "",
        Position(era, decode_part(metadata.get("revision"), Revision) or 0),
        decode_part(members.get("spec"), object),
    )


def _last_name(items: list[msgspec.Raw]) -> str:
    """Return the last name of a page that can be read, or else the last one in part."""
    for item in reversed(items):
        name = _read_value(item, era=0).name
        if name:
            return name
    members = split_members(bytes(items[-1])) if items else None
    metadata = split_members((members or {}).get("metadata", b"")) or {}
    return readable_text(metadata.get("name", b""))


def _log_taken_apart(call: str, problem: Fault) -> None:
    log_event(
        "store.taken_apart", call=call, code=int(problem.code), detail=problem.detail
    )
