"""Workers of a layered language model, as PROTOCOL.md describes them."""

import asyncio
import json
import time

from lab.wire import Server, answer, json_answer

LAYERS = 80


class ModelWorker:
    """One start of a worker: takes layers by orders, and writes streams of events.

    ``runs`` gets one line for each request that it begins to run.
    """

    def __init__(self, host, worker_id, kind, zone, store, runs, timing):
        self._beats = 0
        self._born = int(time.time() * 1000)
        self._busy = False
        self.crashed = False
        self._kind = kind
        self.layers = None
        self._orders = 0
        self._runs = runs
        self._store = store
        self._timing = timing
        self._zone = zone
        self.id = worker_id
        self.running = {}
        self.server = Server(host, self._serve)

    async def start(self):
        """Listen, and write the entry at each heartbeat."""
        await self.server.start()
        self._beating = asyncio.create_task(self._beat())

    def crash(self):
        """End without a word: connections are reset, the entry lapses."""
        self.crashed = True
        self._beating.cancel()
        self.server.crash()

    async def _beat(self):
        while True:
            self._write_entry()
            await asyncio.sleep(1.2)

    def _write_entry(self):
        self._beats += 1
        entry = {
            "service": "writers",
            "addr": self.server.address,
            "zone": self._zone,
            "version": "v1",
            "slots": 96,
            "state": "ready",
            "coldLeftMs": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "kind": self._kind,
            "layers": self.layers,
            "born": self._born,
            "seq": self._beats,
        }
        self._store.beat(self.id, entry)

    async def _serve(self, request, writer):
        path = request.target.partition("?")[0]
        if path == "/report":
            writer.write(json_answer(200, self._report()))
            return True
        if request.headers.get("x-expect-instance") != self.id:
            identity = [("X-Instance-Id", self.id)]
            writer.write(answer(421, identity))
            return True
        if path == "/order":
            status, value = self._order(json.loads(request.body))
            writer.write(json_answer(status, value))
            return True
        return await self._stream(request, writer)

    def _report(self):
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": self._busy,
            "seq": self._orders,
            "waiting": 0,
            "running": len(self.running),
            "kvUsed": 1000 * len(self.running),
            "kvTotal": 8_000_000,
            "handles": 0,
            "pace": 1.0,
            "layers": self.layers,
            "kind": self._kind,
            "born": self._born,
            "stalled": [],
        }

    def _order(self, order):
        if order["operation"] != "place":
            return 400, {}
        expected = order.get("expectRev")
        if self._busy or (expected is not None and expected != self._orders):
            return 409, {}
        self._orders += 1
        self._busy = True
        span = {"from": order["from"], "target": order["target"], "version": 1}
        self._loading = asyncio.create_task(self._load(span))
        return 202, {}

    async def _load(self, span):
        await asyncio.sleep(self._timing.load_s)
        self._busy = False
        if not self.crashed:
            self.layers = span
            self._write_entry()

    async def _stream(self, request, writer):
        name = request.headers.get("x-request-id", "")
        echo = ("X-Request-Id", name)
        whole = f"{self.server.address}=0-{LAYERS}"
        if self.layers is None or request.headers.get("x-hop-count", whole) != whole:
            fault = [echo, ("At-Server", self.server.address)]
            writer.write(answer(421, fault))
            return True
        after = int(request.headers.get("last-event-id") or 0)
        self.running[name] = self.running.get(name, 0) + 1
        try:
            await asyncio.sleep(self._timing.first_event_s)
            self._runs(f"run {name} worker {self.id} after {after}")
            head = [
                "HTTP/1.1 200 OK",
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
                "X-Weight-Versions: 1",
                f"X-Server-Stamp: {self.id}.{name}",
                f"X-Request-Id: {name}",
            ]
            writer.write("\r\n".join([*head, "", ""]).encode())
            for number in range(after + 1, self._timing.events + 1):
                event = f"id: {number}\ndata: word-{number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(self._timing.gap_s)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running[name] -= 1
            if not self.running[name]:
                del self.running[name]
        return True


class Timing:
    """Times of a stream, of all workers alike."""

    def __init__(self, load_s=0.3, first_event_s=0.15, events=80, gap_s=0.022):
        self.load_s = load_s
        self.first_event_s = first_event_s
        self.events = events
        self.gap_s = gap_s
