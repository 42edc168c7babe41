"""Stand-ins for the workers of a plain service, all in one process.

Usage: ``python3 review/common/plain_workers.py STORE NETWORK COUNT LOG``.  Each
one registers itself in the store, writes its entry every heartbeat, checks the instance
that a request expects, and appends to LOG a line for each request that it begins to
run: time, request id, tenant, path and worker.
"""

import asyncio
import contextlib
import json
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.common.wire import answer, call_json, read_body, read_head  # noqa: E402

HEARTBEAT_S = 1.2
SERVICE = "portal"
ZONES = ["a", "b", "c"]
WORK_S = 0.02
SLOTS = 6


class Worker:
    """One worker of a plain service."""

    def __init__(self, number, network, store, log):
        self.id = f"i-{number:04x}"
        self.zone = ZONES[number % len(ZONES)]
        self.ip = f"{network}.128.{number + 1}"
        self.store = store
        self.log = log
        self.address = f"{self.ip}:8080"
        self.seq = 0
        self.state = "ready"
        self.beats_now = asyncio.Event()

    async def run(self):
        """Serve and write heartbeats until ended."""
        server = await asyncio.start_server(self.serve, self.ip, 8080)
        async with server:
            await self.beat()

    def entry(self):
        """Return the worker's entry in the store."""
        return {
            "service": SERVICE,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.seq,
        }

    async def beat(self):
        """Write the entry every heartbeat; workers beat at different moments."""
        await asyncio.sleep(random.uniform(0.0, HEARTBEAT_S))
        while True:
            self.seq += 1
            state = self.state
            value = {"metadata": {"name": self.id}, "spec": self.entry()}
            path = f"/objects/servers/{self.id}"
            status, _ = await call_json(self.store, "PUT", path, value, 0.3)
            if status == 404:
                kind = "/objects/servers"
                status, _ = await call_json(self.store, "POST", kind, value, 0.3)
            taken = status in (200, 201)
            if taken and state == "draining":
                self.note("the store acknowledged: draining", "")
            # A write that the store did not take is repeated soon.
            self.beats_now.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_S if taken else 0.2):
                    await self.beats_now.wait()

    async def serve(self, reader, writer):
        """Serve one connection."""
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                headers = head[1]
                if await read_body(reader, headers) is None:
                    return
                writer.write(await self.answer(head[0], headers))
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def answer(self, line, headers):
        """Return the answer to one request."""
        path = line.split(" ")[1]
        if path == "/healthz":
            return answer(200, [("x-instance-id", self.id)])
        if path == "/drill/drain":
            self.state = "draining"
            self.beats_now.set()
            return answer(200)
        if path in ("/report", "/order"):
            return answer(404)
        if headers.get("x-expect-instance", self.id) != self.id:
            return answer(421, [("x-instance-id", self.id)])
        request_id = headers.get("x-request-id", "")
        self.note("run", request_id, headers.get("x-tenant", ""))
        await asyncio.sleep(WORK_S)
        stamp = [("x-request-id", request_id), ("x-server-stamp", f"{self.id}.1")]
        if self.state == "draining":
            stamp.append(("connection", "close"))
        return answer(200, stamp, b"answer")

    def note(self, what, request_id, tenant=""):
        """Record what became of a request or of the worker."""
        record = {"at": time.time(), "what": what, "id": request_id}
        record |= {"tenant": tenant, "worker": self.id}
        self.log.write(json.dumps(record) + "\n")
        self.log.flush()


async def main(store, network, count, path):
    """Serve all workers until ended."""
    with open(path, "a") as log:
        workers = [Worker(number, network, store, log) for number in range(count)]
        await asyncio.gather(*(worker.run() for worker in workers))


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2], int(sys.argv[3]), sys.argv[4]))
