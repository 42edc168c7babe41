"""A small deployment of three zones: a store, model workers, routers and clients."""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

from lab.clients import Ingress, StreamTries
from lab.model_worker import ModelWorker, Timing
from lab.routers import RouterProcess
from lab.store import Store

ZONES = ("hall-a", "hall-b", "hall-c")
KEY = "n2ctnfzs989anu6wsjnb"
SHARED_PART = "5c1e07a2:40"
"""The part with which the prompts of all requests begin."""
LEAD_S = 12.0
"""Time between the start of the machines and that of the traffic."""


class Record:
    """Lines with the seconds since the start, for ``record.txt``."""

    def __init__(self, path):
        self._file = Path(path).open("w")
        self._started_at = time.monotonic()

    def __call__(self, text):
        """Write a line."""
        self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")
        self._file.flush()


def configuration(version, **changes):
    """Return a configuration with one resumable streaming route."""
    engine = {
        "slots": 96,
        "kvCapacity": 50000,
        "kvTokenBytes": 1836000,
        "linkMbps": 400000.0,
        "stride": 3,
        "models": [{"name": "m", "pace": 1.0, "loadS": 14.0, "warmS": 1.0}],
        "step_ms": 1.02,
        "per_seq_ms": 0.01428,
        "context_per_k": 0.01912,
        "read_per_s": 105000.0,
        "pairs_per_m": 0.309,
        "chunk": 512,
        "report_lag_ms": 200.0,
        "loads_at_once": 5,
        "delays": [],
        "usual": {"prompt": 774, "answer": 203},
        "layers": 80,
        "layerMb": 1750.0,
        "actBytes": 91800,
        "pipeMbps": 18000.0,
        "kinds": [{"name": "node", "mb": 240000.0, "pace": 2.4, "readX": 3.2}],
    }
    route = {
        "name": "r-review",
        "host": "pool.example",
        "pathPrefix": "/review/",
        "kind": "streaming",
        "timeoutMs": 20000,
        "sloMs": 500,
        "priority": 1,
        "service": "writers",
        "maxAttempts": 2,
        "public": False,
        "sticky": True,
        "resumable": True,
        "gapAimMs": 200,
    }
    values = {
        "version": version,
        "routes": [route],
        "services": [
            {
                "name": "writers",
                "healthPath": "/healthz",
                "maxConns": 1048,
                "protocol": "h1",
                "tls": False,
                "engine": engine,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}],
    }
    return values | changes


class Deployment:
    """All stand-ins of a run, and the routers' processes."""

    def __init__(self, record, workers, timing=None, routers_per_zone=1):
        self._tasks = set()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.ends = []
        self.ingress = None
        self.record = record
        self.routers = []
        self.routers_per_zone = routers_per_zone
        self.store = Store("127.0.0.1")
        self.timing = timing or Timing()
        self.workers = []
        self._worker_count = workers

    async def start(self):
        """Start everything, and wait until traffic may begin."""
        await self.store.start()
        self.store.put("config", "main", configuration(7))
        for number in range(self._worker_count):
            zone = ZONES[number % len(ZONES)]
            worker = ModelWorker(
                "127.0.0.1",
                f"i-{number:04x}",
                "node",
                zone,
                self.store,
                self.record,
                self.timing,
            )
            await worker.start()
            self.workers.append(worker)
        for number in range(len(ZONES) * self.routers_per_zone):
            zone = ZONES[number % len(ZONES)]
            ip = f"127.0.1.{number + 1}"
            name = f"edge-{zone}-{number // len(ZONES) + 1}"
            router = RouterProcess(
                self.folder, ip, name, zone, self.store.server.address
            )
            router.start()
            self.routers.append(router)
        self.ingress = Ingress(self.routers)
        self.spawn(self.ingress.watch())
        await asyncio.sleep(LEAD_S)
        ready = sum(router.in_rotation for router in self.routers)
        placed = sum(worker.layers is not None for worker in self.workers)
        self.record(f"start: {ready} routers ready, {placed} workers hold the model")
        return ready == len(self.routers) and placed == len(self.workers)

    def spawn(self, work):
        """Run work beside the rest, to the end of the run."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def send_streams(self, per_s, until):
        """Send requests evenly from all zones until a time of the loop's clock."""
        loop = asyncio.get_running_loop()
        number = 0
        while loop.time() < until:
            self.spawn(self._send_stream(ZONES[number % len(ZONES)]))
            number += 1
            await asyncio.sleep(1.0 / per_s)

    async def _send_stream(self, zone):
        tries = StreamTries(self.ingress, self.record, zone, "review", SHARED_PART, KEY)
        end, sent_at = await tries.run()
        self.ends.append((sent_at, end))

    def share_served(self, begin, end):
        """Return the share of requests served of those first sent in a time."""
        ends = [how for sent_at, how in self.ends if begin <= sent_at < end]
        served = sum(how == "served" for how in ends)
        return served / len(ends) if ends else 0.0, len(ends)

    def busiest_workers(self, count):
        """Return the workers that run most requests."""
        live = [worker for worker in self.workers if not worker.crashed]
        return sorted(live, key=lambda worker: -len(worker.running))[:count]

    def end(self):
        """End all processes that were started."""
        for router in self.routers:
            router.kill()
        print(f"logs of the routers: {self.folder}", file=sys.stderr)
