"""The platform's metadata store and its operator, as PROTOCOL.md describes them."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

from lab.wire import Server, json_answer

PAGE_ITEMS = 500
HISTORY_S = 20.0
SILENT_BEATS = 3


class Store:
    """Objects by kind and name, with one revision counter."""

    def __init__(self, host, beat_s=1.2):
        self._beat_s = beat_s
        self._changed = asyncio.Event()
        self._history = []
        self._dropped_until = 0
        self._beaten_at = {}
        self.era = 1
        self.is_away = False
        self.items_by_kind = {}
        self.revision = 1
        self.server = Server(host, self._serve)

    async def start(self):
        """Listen, and expire the entries of silent workers."""
        await self.server.start()
        self._expiry = asyncio.create_task(self._expire())

    def put(self, kind, name, spec):
        """Write an object and return its revision, which acknowledges the write."""
        items = self.items_by_kind.setdefault(kind, {})
        before = items.get(name)
        if before is not None and before["spec"] == spec:
            return before["metadata"]["revision"]
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "createRev": before["metadata"]["createRev"] if before else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        items[name] = {"metadata": metadata, "spec": spec, "status": None}
        self._note(kind, items[name], False)
        return self.revision

    def remove(self, kind, name):
        """Remove an object."""
        item = self.items_by_kind.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self._note(kind, item, True)

    def copy(self):
        """Return a copy of what the store holds."""
        items = {kind: dict(by_name) for kind, by_name in self.items_by_kind.items()}
        return items, self.revision

    async def drill(self, copy, away_s):
        """Go away for a moment and come back from a copy, in the next era."""
        host, port = self.server.address.rsplit(":", 1)
        self.is_away = True
        self.server.crash()
        await asyncio.sleep(away_s)
        items, self.revision = copy
        self.items_by_kind = {kind: dict(by_name) for kind, by_name in items.items()}
        self.era += 1
        self._history.clear()
        self._dropped_until = self.revision
        now = asyncio.get_running_loop().time()
        self._beaten_at = dict.fromkeys(self.items_by_kind.get("servers", ()), now)
        self.is_away = False
        await self.server.start(int(port))

    def beat(self, worker_id, entry):
        """Write a worker's entry; it is lost while the store is away."""
        if self.is_away:
            return
        self._beaten_at[worker_id] = asyncio.get_running_loop().time()
        self.put("servers", worker_id, entry)

    def _note(self, kind, item, deleted):
        now = asyncio.get_running_loop().time()
        self._history.append((now, self.revision, kind, item, deleted))
        while self._history and now - self._history[0][0] > HISTORY_S:
            self._dropped_until = self._history.pop(0)[1]
        event, self._changed = self._changed, asyncio.Event()
        event.set()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = asyncio.get_running_loop().time()
            if self.is_away:
                continue
            for name, at in list(self._beaten_at.items()):
                if now - at > SILENT_BEATS * self._beat_s:
                    del self._beaten_at[name]
                    self.remove("servers", name)

    async def _serve(self, request, writer):
        parts = urlsplit(request.target)
        names = [unquote(part) for part in parts.path.split("/")[2:]]
        query = {key: value[0] for key, value in parse_qs(parts.query).items()}
        status, value = await self._call(request, names, query)
        writer.write(json_answer(status, value, [("Store-Era", str(self.era))]))
        await writer.drain()
        return True

    async def _call(self, request, names, query):
        kind, name = names[0], names[1] if len(names) > 1 else ""
        items = self.items_by_kind.setdefault(kind, {})
        if request.method == "GET" and name:
            item = items.get(name)
            return (200, item) if item else (404, {})
        if request.method == "GET":
            if "watch" in query:
                return await self._watch(kind, query)
            return 200, self._list(kind, query.get("after", ""))
        if request.method == "DELETE":
            return self._delete(kind, name, query)
        body = json.loads(request.body)
        if request.method == "POST":
            name = body["metadata"]["name"]
            if name in items:
                return 409, items[name]
            self.put(kind, name, body["spec"])
            return 200, items[name]
        item = items.get(name)
        if item is None:
            return 404, {}
        wanted = body["metadata"].get("revision")
        if wanted is not None and wanted != item["metadata"]["revision"]:
            return 409, item
        self.put(kind, name, body["spec"])
        return 200, items[name]

    def _delete(self, kind, name, query):
        item = self.items_by_kind[kind].get(name)
        if item is None:
            return 404, {}
        wanted = query.get("revision")
        if wanted is not None and int(wanted) != item["metadata"]["revision"]:
            return 409, item
        self.remove(kind, name)
        return 200, item

    def _list(self, kind, after):
        items = self.items_by_kind[kind]
        names = sorted(name for name in items if name > after)
        return {
            "items": [items[name] for name in names[:PAGE_ITEMS]],
            "truncated": len(names) > PAGE_ITEMS,
            "currentRev": self.revision,
        }

    async def _watch(self, kind, query):
        since, wait_s = int(query["watch"]), int(query["waitMs"]) / 1000
        if since > self.revision:
            return 410, {}
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while True:
            if since < self._dropped_until:
                return 410, {}
            events = [
                {"object": item, "deleted": deleted}
                for _, revision, changed, item, deleted in self._history
                if changed == kind and revision > since
            ]
            left_s = until - loop.time()
            if events or left_s <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass
