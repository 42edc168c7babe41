"""A stand-in for the platform's store, as PROTOCOL.md and LETTER-6.md tell it.

Usage: ``python3 review/common/store.py ADDRESS``.  The paths below ``/drill`` belong to
the test alone: ``PUT /drill/copy`` keeps a copy of what the store holds, ``PUT
/drill/away?s=1.0`` takes the store away for so long and brings it back from that copy.
"""

import asyncio
import copy
import json
import sys
from pathlib import Path
from urllib.parse import parse_qs, unquote

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.common.wire import answer, read_body, read_head  # noqa: E402

PAGE = 500


class Store:
    """Objects by kind and name, one revision for all, and their history."""

    def __init__(self):
        self.era = 1
        self.revision = 10
        self.items = {}
        self.history = []
        self.changed = asyncio.Event()
        self.away = False
        self.kept = None
        self.connections = set()

    def put(self, kind, name, spec, deleted=False):
        """Write or delete an object under a new revision."""
        self.revision += 1
        held = self.items.setdefault(kind, {})
        before = held.pop(name, None)
        created = before["metadata"]["createRev"] if before else self.revision
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "createRev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        if not deleted:
            held[name] = item
        self.history.append((self.revision, kind, item, deleted))
        self.changed.set()
        self.changed = asyncio.Event()
        return item

    def keep_copy(self):
        """Copy what the store holds now."""
        self.kept = (self.revision, copy.deepcopy(self.items), list(self.history))

    async def go_away(self, seconds, how):
        """Answer nothing for some seconds, and come back from the copy."""
        self.away = True
        for writer in list(self.connections):
            if how == "reset":
                writer.transport.abort()
        await asyncio.sleep(seconds)
        self.revision, self.items, self.history = self.kept
        self.era += 1
        self.away = False

    async def call(self, method, parts, query, body):
        """Return the status and the answer of one call."""
        match (method, parts):
            case ("GET", [kind]) if "watch" in query:
                return await self.watch(kind, query)
            case ("GET", [kind]):
                names = sorted(self.items.get(kind, {}))
                names = [name for name in names if name > query.get("after", "")]
                page = [self.items[kind][name] for name in names[:PAGE]]
                more = len(names) > PAGE
                return 200, {
                    "items": page,
                    "truncated": more,
                    "currentRev": self.revision,
                }
            case ("GET", [kind, name]):
                item = self.items.get(kind, {}).get(name)
                return (200, item) if item else (404, {})
            case ("POST", [kind]):
                name = body["metadata"]["name"]
                before = self.items.get(kind, {}).get(name)
                if before:
                    return 409, before
                return 201, self.put(kind, name, body["spec"])
            case ("PUT", [kind, name]):
                before = self.items.get(kind, {}).get(name)
                if before is None:
                    return 404, {}
                wanted = (body.get("metadata") or {}).get("revision")
                if wanted is not None and wanted != before["metadata"]["revision"]:
                    return 409, before
                if before["spec"] == body["spec"]:
                    return 200, before
                return 200, self.put(kind, name, body["spec"])
            case ("DELETE", [kind, name]):
                before = self.items.get(kind, {}).get(name)
                if before is None:
                    return 404, {}
                wanted = query.get("revision")
                if wanted and int(wanted) != before["metadata"]["revision"]:
                    return 409, before
                return 200, self.put(kind, name, before["spec"], deleted=True)
        return 404, {}

    async def watch(self, kind, query):
        """Wait for changes after a revision."""
        since, era = int(query["watch"]), self.era
        ends_at = asyncio.get_running_loop().time() + int(query["waitMs"]) / 1000
        while True:
            if self.away or self.era != era:
                # A watch that was waiting is cut off.
                return 0, {}
            if since > self.revision:
                return 410, {}
            events = [
                {"object": item, "deleted": deleted}
                for revision, each, item, deleted in self.history
                if each == kind and revision > since
            ]
            left_s = ends_at - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass


async def serve(store, reader, writer):
    """Serve one connection."""
    store.connections.add(writer)
    try:
        while True:
            head = await read_head(reader)
            if head is None:
                return
            method, target, _ = head[0].split(" ")
            body = await read_body(reader, head[1])
            if body is None:
                return
            path, _, text = target.partition("?")
            query = {name: values[0] for name, values in parse_qs(text).items()}
            parts = [unquote(part) for part in path.strip("/").split("/")]
            if parts[0] == "drill":
                if parts[1] == "copy":
                    store.keep_copy()
                else:
                    task = store.go_away(float(query["s"]), query["how"])
                    store.task = asyncio.create_task(task)
                writer.write(answer(200, (), json.dumps(store.revision).encode()))
                await writer.drain()
                continue
            if store.away:
                await leave(store, writer)
                return
            era = store.era
            try:
                value = json.loads(body) if body else {}
                status, result = await store.call(method, parts[1:], query, value)
            except (ValueError, KeyError):
                status, result = 400, {}
            if store.away or era != store.era:
                await leave(store, writer)
                return
            await asyncio.sleep(0.004)
            fields = [("content-type", "application/json"), ("store-era", store.era)]
            writer.write(answer(status, fields, json.dumps(result).encode()))
            await writer.drain()
    except OSError:
        pass
    finally:
        store.connections.discard(writer)
        writer.close()


async def leave(store, writer):
    """Answer nothing more on a connection; it is closed by the other end."""
    try:
        await asyncio.sleep(30.0)
    finally:
        writer.transport.abort()


async def main(address):
    """Serve the store until ended."""
    host, _, port = address.rpartition(":")
    store = Store()
    server = await asyncio.start_server(
        lambda reader, writer: serve(store, reader, writer),
        host,
        int(port),
        backlog=512,
        limit=4 << 20,
    )
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
