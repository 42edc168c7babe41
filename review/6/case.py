"""A route moves just after both watchers of a zone of twelve routers are lost."""

import asyncio
import os
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lab.clients import Ingress, send_plain  # noqa: E402
from lab.deployment import LEAD_S, Record  # noqa: E402
from lab.plain_worker import PlainWorker  # noqa: E402
from lab.routers import RouterProcess  # noqa: E402
from lab.store import Store  # noqa: E402

KEY = "n2ctnfzs989anu6wsjnb"
ROUTERS = 12
LOST = 2
"""Routers that lose power, 0.17 of all: those that watch the store for the zone."""
CONFIG_S = 2.0
"""The bound `configMs`."""
STORM_S, GAP_S, CHANGES = 3.0, 0.33, 8
LOST_AFTER_S = 0.3
"""Time after the last change but one; the last one comes `GAP_S` after it."""
DARK_S = 3.5
END_S = 14.0
PER_S = 8.0


def configuration(version, service):
    """Return a configuration whose one used route leads to a service."""
    idle = {
        "name": f"r-idle-{version}",
        "host": "portal.example",
        "pathPrefix": f"/idle-{version}/",
        "kind": "idempotent",
        "timeoutMs": 3000,
        "sloMs": 400,
        "priority": 2,
        "service": "portal",
        "maxAttempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
    }
    used = idle | {"name": "r-lines", "pathPrefix": "/lines/", "service": service}
    services = [
        {
            "name": name,
            "healthPath": "/healthz",
            "maxConns": 110,
            "protocol": "h1",
            "tls": False,
        }
        for name in ("portal", "portal-2")
    ]
    return {
        "version": version,
        "routes": [used, idle],
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}],
    }


class Case:
    """One run."""

    def __init__(self, record):
        self.record = record
        self.routers = []
        self.service_by_id = {}
        self.sent_by_id = {}
        self.store = Store("127.0.0.1")
        self.tasks = set()

    def spawn(self, work):
        """Run work beside the rest."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def notes_runs(self, service):
        """Return a function that records the runs of a service."""

        def note(line):
            self.service_by_id[line.split(" ")[1]] = service
            self.record(f"{line} service {service}")

        return note

    async def start(self):
        """Start everything; return whether all routers are ready."""
        await self.store.start()
        self.store.put("config", "main", configuration(7, "portal"))
        for number in range(6):
            service = ("portal", "portal-2")[number % 2]
            worker = PlainWorker(
                "127.0.0.1",
                f"i-{number:04x}",
                "hall-a",
                self.store,
                self.notes_runs(service),
                service=service,
            )
            await worker.start()
        folder = Path(tempfile.mkdtemp(prefix="review-"))
        print(f"logs of the routers: {folder}", file=sys.stderr)
        for number in range(ROUTERS):
            router = RouterProcess(
                folder,
                f"127.0.1.{number + 1}",
                f"edge-hall-a-{number + 1:02}",
                "hall-a",
                self.store.server.address,
            )
            router.start()
            self.routers.append(router)
        self.ingress = Ingress(self.routers)
        self.spawn(self.ingress.watch())
        await asyncio.sleep(LEAD_S)
        return all(router.in_rotation for router in self.routers)

    async def send(self, router, until):
        """Send requests to one router."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            self.spawn(self._send_one(router))
            await asyncio.sleep(1.0 / PER_S)

    async def _send_one(self, router):
        sent_at = asyncio.get_running_loop().time()
        name, _ = await send_plain(router, self.record, "/lines/now", KEY)
        self.sent_by_id[name] = (sent_at, router)

    async def lose_power(self):
        """Kill the routers that watch the store; start them again later."""
        for router in self.routers[:LOST]:
            router.kill()
        self.record("lost: " + " ".join(router.id for router in self.routers[:LOST]))
        await asyncio.sleep(DARK_S)
        for router in self.routers[:LOST]:
            router.start()

    async def play(self, trouble):
        """Play the run; return how many requests ran against the rule."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        for router in self.routers[LOST:]:
            self.spawn(self.send(router, begin + END_S))
        version, changed_at = 9, begin + STORM_S
        for _ in range(CHANGES):
            await asyncio.sleep(changed_at - loop.time())
            self.store.put("config", "main", configuration(version, "portal"))
            self.record(f"configuration {version} is acknowledged")
            version += 2
            changed_at += GAP_S
        await asyncio.sleep(changed_at - GAP_S + LOST_AFTER_S - loop.time())
        if trouble:
            self.spawn(self.lose_power())
        await asyncio.sleep(max(0.0, changed_at - loop.time()))
        self.store.put("config", "main", configuration(version, "portal-2"))
        moved_at = loop.time()
        self.record(f"configuration {version} is acknowledged: the route moves")
        await asyncio.sleep(begin + END_S + 3.5 - loop.time())
        late = [
            (sent_at - moved_at, router.id)
            for name, (sent_at, router) in self.sent_by_id.items()
            if self.service_by_id.get(name) == "portal"
            and sent_at > moved_at + CONFIG_S
        ]
        if late:
            self.record(
                f"{len(late)} requests ran at the old service, sent up to "
                f"{max(late)[0]:.2f} s after, by {sorted({each for _, each in late})}"
            )
        for router in self.routers:
            for line in router.log_lines("config.in_force", "watch.duty"):
                self.record(f"log of {router.id}: {line}")
        return len(late)


async def run(record, trouble):
    """Return the exit code of a run."""
    case = Case(record)
    try:
        if not await case.start():
            return 2
        late = await case.play(trouble)
        print(f"{late} requests ran at the old service too late")
        return 1 if late else 0
    finally:
        for router in case.routers:
            router.kill()


def main():
    """Play the run and exit with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(asyncio.run(run(Record(Path(__file__).with_name("record.txt")), trouble)))


if __name__ == "__main__":
    main()
