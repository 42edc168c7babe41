"""Stand-ins for the workers of a model, all in one process; each holds every layer.

Usage: ``python3 review/common/model_workers.py STORE NETWORK COUNT LOG``.  Each
registers itself in the store, writes its entry every heartbeat, answers reports,
streams its events, and appends to LOG a line for each request that it begins to run.
"""

import asyncio
import json
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.common.wire import answer, call_json, read_body, read_head  # noqa: E402

HEARTBEAT_S = 1.2
SERVICE = "pool"
ZONES = ["a", "b", "c"]
LAYERS = 80
SLOTS = 96
EVENTS, GAP_S, FIRST_S = 20, 0.05, 0.1


class Worker:
    """One worker of the model."""

    def __init__(self, number, network, store, log):
        self.id = f"i-{number:04x}"
        self.zone = ZONES[number % len(ZONES)]
        self.ip = f"{network}.128.{number + 1}"
        self.address = f"{self.ip}:8080"
        self.store = store
        self.log = log
        self.seq = 0
        self.running = 0
        self.born = int(time.time() * 1000)

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
            "state": "ready",
            "coldLeftMs": 0,
            "kind": "whole",
            "layers": {"from": 0, "target": LAYERS, "version": 1},
            "born": self.born,
            "seq": self.seq,
        }

    async def beat(self):
        """Write the entry every heartbeat; workers beat at different moments."""
        await asyncio.sleep(random.uniform(0.0, HEARTBEAT_S))
        while True:
            self.seq += 1
            value = {"metadata": {"name": self.id}, "spec": self.entry()}
            path = f"/objects/servers/{self.id}"
            status, _ = await call_json(self.store, "PUT", path, value, 0.3)
            if status == 404:
                kind = "/objects/servers"
                status, _ = await call_json(self.store, "POST", kind, value, 0.3)
            await asyncio.sleep(HEARTBEAT_S if status in (200, 201) else 0.2)

    def note(self, what, request_id):
        """Record what became of a request."""
        record = {"at": time.time(), "what": what, "id": request_id, "worker": self.id}
        self.log.write(json.dumps(record) + "\n")
        self.log.flush()

    async def serve(self, reader, writer):
        """Serve one connection."""
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head[1])
                if body is None or not await self.answer(head, body, writer):
                    return
        except OSError:
            pass
        finally:
            writer.close()

    async def answer(self, head, body, writer):
        """Answer one request; return whether the connection goes on."""
        path, headers = head[0].split(" ")[1], head[1]
        if path == "/report":
            report = {
                "stage": "both",
                "busy": False,
                "seq": 0,
                "waiting": 0,
                "running": self.running,
                "kvUsed": 0,
                "kvTotal": 4000000,
                "pace": 1.0,
                "born": self.born,
                "layers": {"from": 0, "target": LAYERS, "version": 1},
                "stalled": [],
            }
            writer.write(answer(200, (), json.dumps(report).encode()))
        elif path == "/order":
            order = json.loads(body)
            found = order.get("operation") == "place"
            held = (order.get("from"), order.get("target")) == (0, LAYERS)
            writer.write(answer((200 if held else 409) if found else 404))
        elif path == "/healthz":
            writer.write(answer(200, [("x-instance-id", self.id)]))
        elif headers.get("x-expect-instance", self.id) != self.id:
            writer.write(answer(421, [("x-instance-id", self.id)]))
        elif headers.get("x-hop-count", f"{self.address}=0-{LAYERS}") != (
            f"{self.address}=0-{LAYERS}"
        ):
            writer.write(answer(421, [("at-server", self.address)]))
        else:
            return await self.stream(headers, writer)
        await writer.drain()
        return True

    async def stream(self, headers, writer):
        """Answer one stream; return whether the connection goes on."""
        request_id = headers.get("x-request-id", "")
        self.running += 1
        try:
            await asyncio.sleep(FIRST_S)
            self.note("run", request_id)
            await self.send_events(headers, request_id, writer)
        except OSError:
            return False
        finally:
            self.running -= 1
        return True

    async def send_events(self, headers, request_id, writer):
        """Send the head and the events."""
        lines = [
            "HTTP/1.1 200 OK",
            "content-type: text/event-stream",
            f"x-request-id: {request_id}",
            f"x-server-stamp: {self.id}.1",
            "transfer-encoding: chunked",
            "",
            "",
        ]
        writer.write("\r\n".join(lines).encode())
        done = int(headers.get("last-event-id") or 0)
        for number in range(done + 1, EVENTS + 1):
            writer.write(chunk(b"id: %d\ndata: token %d\n\n" % (number, number)))
            await writer.drain()
            await asyncio.sleep(GAP_S)
        writer.write(chunk(b""))
        await writer.drain()


def chunk(data):
    """Return bytes as one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def main(store, network, count, path):
    """Serve all workers until ended."""
    with open(path, "a") as log:
        workers = [Worker(number, network, store, log) for number in range(count)]
        await asyncio.gather(*(worker.run() for worker in workers))


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2], int(sys.argv[3]), sys.argv[4]))
