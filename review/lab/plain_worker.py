"""Workers of a plain service, as PROTOCOL.md describes them."""

import asyncio
import time

from lab.wire import Server, answer

SLOTS = 6


class PlainWorker:
    """One start of a worker, which answers each request after some work.

    ``runs`` gets one line for each request that it runs.
    """

    def __init__(
        self, host, worker_id, zone, store, runs, work_s=0.02, service="portal"
    ):
        self._beats = 0
        self._born = int(time.time() * 1000)
        self._runs = runs
        self._service = service
        self._slots = asyncio.Semaphore(SLOTS)
        self._store = store
        self._work_s = work_s
        self._zone = zone
        self.id = worker_id
        self.server = Server(host, self._serve)

    async def start(self):
        """Listen, and write the entry at each heartbeat."""
        await self.server.start()
        self._beating = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            self._beats += 1
            entry = {
                "service": self._service,
                "addr": self.server.address,
                "zone": self._zone,
                "version": "v1",
                "slots": SLOTS,
                "state": "ready",
                "coldLeftMs": 0,
                "born": self._born,
                "seq": self._beats,
            }
            self._store.beat(self.id, entry)
            await asyncio.sleep(1.2)

    async def _serve(self, request, writer):
        name = request.headers.get("x-request-id", "")
        echo = ("X-Request-Id", name)
        if not name:
            writer.write(answer(400, [("X-Not-Executed", "1")]))
            return True
        if request.headers.get("x-expect-instance") != self.id:
            writer.write(answer(421, [echo, ("X-Instance-Id", self.id)]))
            return True
        async with self._slots:
            tenant = request.headers.get("x-tenant", "")
            self._runs(f"run {name} worker {self.id} tenant {tenant}")
            await asyncio.sleep(self._work_s)
        stamp = ("X-Server-Stamp", f"{self.id}.{name}")
        writer.write(answer(200, [echo, stamp], b"the line is clear"))
        await writer.drain()
        return True
