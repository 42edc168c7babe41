"""Client of the platform's object store: its calls, paths and answers."""

from urllib.parse import quote

import msgspec
from expression import Error, Ok, Result

from radishfield.core import UNREADABLE_ERRORS, Fault, ResultCode, fault
from radishfield.web import ApiCall, ApiCaller, decode_answer

CALL_TIMEOUT_S = 2.0
"""The store answers in milliseconds; one that takes longer than this is failing."""
WATCH_MARGIN_S = 1.0
"""Time by which a watch's answer may be late.  A later one means that the connection
is lost, which can happen without an error; a slow store takes only some hundred
milliseconds."""


class _Metadata(msgspec.Struct, rename="camel"):
    name: str
    revision: int = 0


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Page(msgspec.Struct, rename="camel"):
    items: list[msgspec.Raw]
    truncated: bool = False
    current_rev: int = 0


class _Event(msgspec.Struct):
    object: msgspec.Raw
    deleted: bool = False


class _Events(msgspec.Struct, rename="camel"):
    events: list[_Event]
    current_rev: int


class _NewMetadata(msgspec.Struct, omit_defaults=True):
    name: str
    revision: int | None = None


class _Write(msgspec.Struct):
    metadata: _NewMetadata
    spec: object


class StoredValue(msgspec.Struct, frozen=True):
    """One object; ``spec`` is its content, or None if that can't be read."""

    name: str
    revision: int
    spec: object


class Change(msgspec.Struct, frozen=True):
    """One object that changed or, with ``deleted``, was removed."""

    value: StoredValue
    deleted: bool


class Listing(msgspec.Struct, frozen=True):
    """All objects of a kind as of a revision of the store."""

    values: tuple[StoredValue, ...]
    revision: int


class Changes(msgspec.Struct, frozen=True):
    """Changes up to a revision of the store; empty if nothing changed."""

    changes: tuple[Change, ...]
    revision: int


class ObjectStore:
    """Client of the store; each call is sent once."""

    __slots__ = ("_caller",)

    def __init__(self, caller: ApiCaller):
        self._caller = caller

    async def read(self, kind: str, name: str) -> Result[StoredValue, Fault]:
        """Return an object, or ``OBJECT_NOT_FOUND``."""
        answer = await self._call("read", "GET", _path(kind, name))
        return answer.bind(_decode_value)

    async def list(
        self, kind: str, limit_s: float = CALL_TIMEOUT_S
    ) -> Result[Listing, Fault]:
        """Return all objects of a kind, read page by page.

        Each page has to arrive within ``limit_s``.

        The revision is that of the first page, so that a watch from there returns
        again whatever changed while the later pages were read.
        """
        values: list[StoredValue] = []
        revision: int | None = None
        after = ""
        while True:
            query = f"?after={quote(after, safe='')}" if after else ""
            path = _path(kind) + query
            answer = await self._call("list", "GET", path, limit_s=limit_s)
            page = answer.bind(_decode_page)
            if page.is_error():
                return Error(page.error)
            values += [_read_value(item) for item in page.ok.items]
            revision = page.ok.current_rev if revision is None else revision
            if not page.ok.truncated:
                return Ok(Listing(tuple(values), revision))
            names = [value.name for value in values if value.name]
            if not names or names[-1] == after:
                # No name to continue after; a partial list would drop the other
                # objects.
                detail = f"page has no readable name after {after!r}"
                return Error(fault(ResultCode.PLATFORM_MALFORMED, detail))
            after = names[-1]

    async def watch(
        self,
        kind: str,
        revision: int,
        wait_s: float,
        margin_s: float = WATCH_MARGIN_S,
    ) -> Result[Changes, Fault]:
        """Wait for changes after a revision, for ``wait_s`` seconds at most.

        Parameters
        ----------
        margin_s : float
            Time by which the answer may be late.
        """
        query = f"?watch={revision}&waitMs={int(wait_s * 1000)}"
        limit_s = wait_s + margin_s
        answer = await self._call("watch", "GET", _path(kind) + query, limit_s=limit_s)
        return answer.bind(_decode_changes)

    async def create(
        self, kind: str, name: str, spec: object
    ) -> Result[StoredValue, Fault]:
        """Create an object; ``PLATFORM_CONFLICT`` if it exists."""
        body = msgspec.json.encode(_Write(_NewMetadata(name), spec))
        answer = await self._call("create", "POST", _path(kind), body)
        return answer.bind(_decode_value)

    async def replace(
        self, kind: str, name: str, spec: object, revision: int
    ) -> Result[StoredValue, Fault]:
        """Replace an object if its revision is still the one that was read."""
        body = msgspec.json.encode(_Write(_NewMetadata(name, revision), spec))
        answer = await self._call("replace", "PUT", _path(kind, name), body)
        return answer.bind(_decode_value)

    async def remove(self, kind: str, name: str, revision: int) -> Result[None, Fault]:
        """Remove an object if its revision is still the one that was read."""
        path = f"{_path(kind, name)}?revision={revision}"
        answer = await self._call("remove", "DELETE", path)
        return answer.map(lambda body: None)

    async def _call(
        self,
        call: str,
        method: str,
        path: str,
        body: bytes = b"",
        limit_s: float = CALL_TIMEOUT_S,
    ) -> Result[bytes, Fault]:
        return await self._caller.call(ApiCall(call, method, path, body, limit_s))


def _path(kind: str, name: str | None = None) -> str:
    path = f"/objects/{quote(kind, safe='')}"
    return path if name is None else f"{path}/{quote(name, safe='')}"


def _decode_value(body: bytes) -> Result[StoredValue, Fault]:
    value = _read_value(body)
    if value.name:
        return Ok(value)
    return Error(
        fault(ResultCode.PLATFORM_MALFORMED, "answer holds no readable object")
    )


def _decode_page(body: bytes) -> Result[_Page, Fault]:
    return decode_answer(body, _Page)


def _decode_changes(body: bytes) -> Result[Changes, Fault]:
    return decode_answer(body, _Events).map(
        lambda raw: Changes(
            tuple(
                Change(_read_value(item.object), item.deleted) for item in raw.events
            ),
            raw.current_rev,
        )
    )


def _read_value(raw: bytes) -> StoredValue:
    """Return an object; its spec is None if only its name can be read."""
    try:
        item = msgspec.json.decode(raw, type=_Object)
    except UNREADABLE_ERRORS:
        return StoredValue("", 0, None)
    try:
        spec = msgspec.json.decode(item.spec)
    except UNREADABLE_ERRORS:
        spec = None
    return StoredValue(item.metadata.name, item.metadata.revision, spec)
