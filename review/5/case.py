"""The store comes back from a copy without a revocation while routers restart.

TROUBLE=0 plays neither, TROUBLE=drill and TROUBLE=kill only one of the two.
"""

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

KEPT, TAKEN = "kept-key-1", "taken-key-2"
REVOKE_S = 5.0
"""The bound `revokeMs`."""
ROUTERS = ("hall-a",) * 4 + ("hall-b",) * 3 + ("hall-c",) * 2
KILLED = slice(0, 4)
"""Routers that are killed at once: those of `hall-a`, 0.44 of all."""
COPY_S, REVOKED_S = 2.0, 2.5
AWAY_FROM_S, AWAY_S = 8.0, 1.0
KILLED_S, DOWN_S = 8.2, 0.6
REWRITTEN_AFTER_S = 2.5
"""Time after the store's return in which the operator writes again what it lost."""
END_S = 16.0
KEPT_PER_S = 20.0
TAKEN_PER_S = 8.0
"""Requests with the key that is taken away, to each router directly."""


def configuration(version, keys):
    """Return a configuration with one idempotent route."""
    route = {
        "name": "r-lines",
        "host": "portal.example",
        "pathPrefix": "/lines/",
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
    service = {"name": "portal", "healthPath": "/healthz", "maxConns": 110}
    return {
        "version": version,
        "routes": [route],
        "services": [service | {"protocol": "h1", "tls": False}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "hule930", "apiKeys": keys, "priority": 1}],
    }


class Case:
    """One run."""

    def __init__(self, record):
        self.record = record
        self.routers = []
        self.ran = set()
        self.sent_at_by_id = {}
        self.store = Store("127.0.0.1")
        self.tasks = set()

    def spawn(self, work):
        """Run work beside the rest."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def note_run(self, line):
        """Record a run of a request."""
        self.ran.add(line.split(" ")[1])
        self.record(line)

    async def start(self):
        """Start everything; return whether all routers are ready."""
        await self.store.start()
        self.store.put("config", "main", configuration(7, [KEPT, TAKEN]))
        for number in range(3):
            zone = f"hall-{'abc'[number]}"
            worker = PlainWorker(
                "127.0.0.1", f"i-{number:04x}", zone, self.store, self.note_run
            )
            await worker.start()
        folder = Path(tempfile.mkdtemp(prefix="review-"))
        print(f"logs of the routers: {folder}", file=sys.stderr)
        for number, zone in enumerate(ROUTERS):
            router = RouterProcess(
                folder,
                f"127.0.1.{number + 1}",
                f"edge-{zone}-{number + 1}",
                zone,
                self.store.server.address,
            )
            router.start()
            self.routers.append(router)
        self.ingress = Ingress(self.routers)
        self.spawn(self.ingress.watch())
        await asyncio.sleep(LEAD_S)
        return all(router.in_rotation for router in self.routers)

    async def send_kept(self, until):
        """Send requests with the key that stays from all zones."""
        loop = asyncio.get_running_loop()
        number = 0
        while loop.time() < until:
            router = self.ingress.pick(f"hall-{'abc'[number % 3]}")
            self.spawn(self._send_one(router, KEPT))
            number += 1
            await asyncio.sleep(1.0 / KEPT_PER_S)

    async def send_taken(self, router, until):
        """Send one router requests with the key that is taken away."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            self.spawn(self._send_one(router, TAKEN))
            await asyncio.sleep(1.0 / TAKEN_PER_S)

    async def _send_one(self, router, key):
        sent_at = asyncio.get_running_loop().time()
        name, end = await send_plain(router, self.record, f"/lines/{key}", key)
        self.sent_at_by_id[name] = (sent_at, key, end)

    async def kill_routers(self, at):
        """Kill some routers at once; the platform starts them again."""
        await asyncio.sleep(at - asyncio.get_running_loop().time())
        killed = self.routers[KILLED]
        for router in killed:
            router.kill()
        self.record("killed: " + " ".join(router.id for router in killed))
        await asyncio.sleep(DOWN_S)
        for router in killed:
            router.start()
        self.record("the killed routers are started again")

    async def play(self, trouble):
        """Play the run; return how many requests ran against the rule."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        self.spawn(self.send_kept(begin + END_S))
        for router in self.routers:
            self.spawn(self.send_taken(router, begin + END_S))
        await asyncio.sleep(COPY_S)
        copy = self.store.copy()
        self.record("the store's copy is made")
        await asyncio.sleep(begin + REVOKED_S - loop.time())
        self.store.put("config", "main", configuration(9, [KEPT]))
        acknowledged_at = loop.time()
        self.record(f"configuration 9 is acknowledged: {TAKEN} is taken away")
        if trouble in ("1", "kill"):
            self.spawn(self.kill_routers(begin + KILLED_S))
        if trouble in ("1", "drill"):
            await asyncio.sleep(begin + AWAY_FROM_S - loop.time())
            self.record("the store goes away")
            await self.store.drill(copy, AWAY_S)
            self.record("the store is back from the copy")
            await asyncio.sleep(REWRITTEN_AFTER_S)
            self.store.put("config", "main", configuration(9, [KEPT]))
            self.record("the operator writes configuration 9 again")
        await asyncio.sleep(begin + END_S + 3.5 - loop.time())
        broken = [
            name
            for name, (sent_at, key, _) in self.sent_at_by_id.items()
            if key == TAKEN
            and name in self.ran
            and sent_at > acknowledged_at + REVOKE_S
        ]
        late = [self.sent_at_by_id[name][0] - acknowledged_at for name in broken]
        if broken:
            self.record(
                f"{len(broken)} requests with the taken key ran, sent "
                f"{min(late):.2f} to {max(late):.2f} s after the acknowledgement"
            )
        served = sum(
            end == "status 200"
            for _, key, end in self.sent_at_by_id.values()
            if key == KEPT
        )
        self.record(f"{served} requests with the kept key were served")
        for router in self.routers:
            for line in router.log_lines(
                "config.in_force",
                "config.older",
                "config.offered",
                "store.era",
                "peer.joined",
                "host.starting",
            ):
                self.record(f"log of {router.id}: {line}")
        return len(broken)


async def run(record, trouble):
    """Return the exit code of a run."""
    case = Case(record)
    try:
        if not await case.start():
            return 2
        broken = await case.play(trouble)
        print(f"{broken} requests with the taken key ran too late")
        return 1 if broken else 0
    finally:
        for router in case.routers:
            router.kill()


def main():
    """Play the run and exit with its result."""
    trouble = os.environ.get("TROUBLE", "1")
    sys.exit(asyncio.run(run(Record(Path(__file__).with_name("record.txt")), trouble)))


if __name__ == "__main__":
    main()
