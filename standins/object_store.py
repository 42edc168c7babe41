"""A small stand-in for the users' object store that follows its published protocol.

It has objects by kind and name, one revision for all, paged lists, watches,
conditional writes, and switches that inject failures.  It can come back from an older
copy of itself, in a new era.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from urllib.parse import parse_qs, unquote

import msgspec
import trio

from radishfield.routing import Position
from radishfield.web import BodyLimit, read_body, send_json, serve_scope

MAX_BODY = BodyLimit(max_bytes=2 << 20)


@dataclass(slots=True)
class StoreSwitches:
    """Active failures of the store.

    Attributes
    ----------
    status : int
        Status with which every call is answered; 0 for normal answers.
    lost_answers : int
        Number of next writes that take effect but are not answered.
    silent : bool
        No call is answered.
    deaf_watches : bool
        Watches hear of no change and are answered as if there were none.
    names_era : bool
        Answers name the store's era.
    """

    status: int = 0
    lost_answers: int = 0
    silent: bool = False
    deaf_watches: bool = False
    page_items: int = 500
    names_era: bool = True


@dataclass(slots=True)
class _Change:
    revision: int
    kind: str
    item: dict
    deleted: bool


@dataclass(slots=True)
class StoreCopy:
    """What the store held at one moment."""

    revision: int
    items: dict[str, dict[str, dict]]
    history: list[_Change]
    dropped_until: int


@dataclass(slots=True)
class ObjectStoreApp:
    """The store as an ASGI application."""

    switches: StoreSwitches = field(default_factory=StoreSwitches)
    revision: int = 1
    era: int = 1
    calls: int = 0
    _items: dict[str, dict[str, dict]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    _history: list[_Change] = field(default_factory=list)
    _dropped_until: int = 0
    _changed: trio.Event = field(default_factory=trio.Event)

    async def __call__(self, scope, receive, send):
        """Serve one scope of the HTTP server."""
        await serve_scope(scope, receive, send, self._serve)

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object without a check, as another client would."""
        self.revision += 1
        before = self._items[kind].get(name)
        created = before["metadata"]["createRev"] if before else self.revision
        metadata = {"name": name, "revision": self.revision, "createRev": created}
        item = {"metadata": metadata, "spec": spec, "status": None}
        self._items[kind][name] = item
        self._record_change(kind, item, deleted=False)

    def put_text(self, kind: str, name: str, text: bytes, deleted: bool = False):
        """Write or remove an object whose JSON text need not be readable."""
        self.revision += 1
        item = msgspec.Raw(text)
        if deleted:
            self._items[kind].pop(name, None)
        else:
            self._items[kind][name] = item
        self._record_change(kind, item, deleted)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, as its expiry would."""
        item = self._items[kind].pop(name, None)
        if item is not None:
            self.revision += 1
            self._record_change(kind, item, deleted=True)

    @property
    def position(self) -> Position:
        """Return the position of the store's last change."""
        return Position(self.era, self.revision)

    def copy(self) -> StoreCopy:
        """Return a copy of what the store holds."""
        items = {kind: dict(by_name) for kind, by_name in self._items.items()}
        return StoreCopy(self.revision, items, list(self._history), self._dropped_until)

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy; calls in flight get no answer."""
        self.era += 1
        self.revision = copy.revision
        self._items = defaultdict(dict)
        for kind, by_name in copy.items.items():
            self._items[kind] = dict(by_name)
        self._history = list(copy.history)
        self._dropped_until = copy.dropped_until
        self._wake()

    def answer_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that every answer carries."""
        if not self.switches.names_era:
            return []
        return [(b"store-era", str(self.era).encode())]

    def forget_history(self) -> None:
        """Drop all history, so that watchers have to list again."""
        self._history.clear()
        self._dropped_until = self.revision
        self._wake()

    def names(self, kind: str) -> list[str]:
        """Return the names of a kind's objects."""
        return list(self._items[kind])

    def spec(self, kind: str, name: str) -> object:
        """Return the ``spec`` of an object, or None if there is none."""
        item = self._items[kind].get(name)
        return item["spec"] if item else None

    def revision_of(self, kind: str, name: str) -> int:
        """Return the revision of an object's last change."""
        return self._items[kind][name]["metadata"]["revision"]

    def _record_change(self, kind: str, item: dict, deleted: bool) -> None:
        self._history.append(_Change(self.revision, kind, item, deleted))
        self._wake()

    def _wake(self) -> None:
        event, self._changed = self._changed, trio.Event()
        event.set()

    async def _serve(self, scope, receive, send) -> None:
        self.calls += 1
        body = await read_body(receive, MAX_BODY)
        if body.is_error():
            return
        if self.switches.silent:
            await trio.sleep_forever()
        if self.switches.status:
            headers = self.answer_headers()
            await send_json(send, self.switches.status, {}, headers)
            return
        era = self.era
        parts = [unquote(part) for part in scope["path"].strip("/").split("/")]
        query = {
            name: values[0]
            for name, values in parse_qs(scope["query_string"].decode()).items()
        }
        status, answer = await self._call(
            scope["method"], parts[1:], query, body.ok or b"null"
        )
        if scope["method"] != "GET" and self.switches.lost_answers:
            self.switches.lost_answers -= 1
            await trio.sleep_forever()
        if era != self.era:
            await trio.sleep_forever()
        await send_json(send, status, answer, self.answer_headers())

    async def _call(self, method: str, parts: list[str], query: dict, body: bytes):
        match (method, parts):
            case ("GET", [kind]) if "watch" in query:
                return await self._watch(kind, query)
            case ("GET", [kind]):
                return 200, self._list(kind, query.get("after", ""))
            case ("GET", [kind, name]):
                item = self._items[kind].get(name)
                return (200, item) if item else (404, {})
            case ("POST", [kind]):
                new = msgspec.json.decode(body)
                return self._create(kind, new)
            case ("PUT", [kind, name]):
                return self._replace(kind, name, msgspec.json.decode(body))
            case ("DELETE", [kind, name]):
                return self._delete(kind, name, query.get("revision"))
        return 404, {}

    def _delete(self, kind: str, name: str, revision: str | None):
        item = self._items[kind].get(name)
        if item is None:
            return 404, {}
        if revision is not None and int(revision) != item["metadata"]["revision"]:
            return 409, item
        self.remove(kind, name)
        return 200, item

    def _create(self, kind: str, new: dict):
        name = new["metadata"]["name"]
        if name in self._items[kind]:
            return 409, self._items[kind][name]
        self.put(kind, name, new["spec"])
        return 200, self._items[kind][name]

    def _replace(self, kind: str, name: str, new: dict):
        item = self._items[kind].get(name)
        if item is None:
            return 404, {}
        wanted = new["metadata"].get("revision")
        if wanted is not None and wanted != item["metadata"]["revision"]:
            return 409, item
        self.put(kind, name, new["spec"])
        return 200, self._items[kind][name]

    def _list(self, kind: str, after: str) -> dict:
        names = sorted(name for name in self._items[kind] if name > after)
        page = names[: self.switches.page_items]
        return {
            "items": [self._items[kind][name] for name in page],
            "truncated": len(page) < len(names),
            "currentRev": self.revision,
        }

    async def _watch(self, kind: str, query: dict):
        since = int(query["watch"])
        if since > self.revision:
            return 410, {}
        with trio.move_on_after(int(query["waitMs"]) / 1000):
            while not self._heard(kind, since) and since >= self._dropped_until:
                await self._changed.wait()
        if since < self._dropped_until:
            return 410, {}
        events = [
            {"object": change.item, "deleted": change.deleted}
            for change in self._heard(kind, since)
        ]
        current = since if self.switches.deaf_watches else self.revision
        return 200, {"events": events, "currentRev": current}

    def _heard(self, kind: str, since: int) -> list[_Change]:
        """Return the changes that a watch is told of."""
        return [] if self.switches.deaf_watches else self._events(kind, since)

    def _events(self, kind: str, since: int) -> list[_Change]:
        return [
            change
            for change in self._history
            if change.kind == kind and change.revision > since
        ]
