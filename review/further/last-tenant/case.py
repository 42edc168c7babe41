"""The operator takes the last tenant away, with its key.

Rule CONFIG: a request sent later than revokeMs after the acknowledgement of a
configuration that took its key away runs.  Rule ROUTE: a request runs whose key no
configuration ever held.
"""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[3]))

from review.common.deployment import (  # noqa: E402
    PORTAL,
    READ_ROUTE,
    ZONES,
    config,
    request_headers,
    wait_ready,
    write_config,
)
from review.common.fleet import (  # noqa: E402
    BOUNDS,
    STORE_PORT,
    Router,
    free_network,
    standin,
)
from review.common.play import TROUBLE, run_case  # noqa: E402
from review.common.wire import call  # noqa: E402

ROUTERS, WORKERS = 3, 3
REVOKE_S = BOUNDS["revokeMs"] / 1000
CALM_S, WATCHED_S = 4.0, REVOKE_S + 5.0
SEND_EVERY_S = 0.25
TAKEN, NEVER_HELD = "key-that-is-taken-away", "key-that-no-version-held"


class Clients:
    """Sends requests with both keys to every router."""

    def __init__(self, record):
        self.record = record
        self.sent_by_id = {}
        self.statuses = []

    async def send(self, router, key):
        """Send one request and record its answer."""
        name = f"q{len(self.sent_by_id) + 1}"
        self.sent_by_id[name] = (time.time(), key)
        headers = request_headers(name, key, 3.0)
        status, _, _ = await call(router.front, "GET", "/read/x", headers, b"", 3.0)
        self.statuses.append((key, status))
        self.record.note(f"request {name} to {router.name} with {key} -> {status}")

    async def run(self, routers, until):
        """Send with both keys to each router, again and again."""
        async with asyncio.TaskGroup() as group:
            while time.time() < until:
                for router in routers:
                    group.create_task(self.send(router, TAKEN))
                    group.create_task(self.send(router, NEVER_HELD))
                await asyncio.sleep(SEND_EVERY_S)


async def play(record, folder, processes):
    """Play the case; see `run_case`."""
    network = free_network()
    store = f"{network}.200.1:{STORE_PORT}"
    log = folder / "runs"
    log.touch()
    arguments = [store, network, WORKERS, log]
    platform = standin("review/common/store.py", [store], folder)
    workers = standin("review/common/plain_workers.py", arguments, folder)
    routers = [
        Router(number, ZONES[number % 3], network, folder) for number in range(ROUTERS)
    ]
    processes += [platform, workers, *routers]
    platform.start()
    await asyncio.sleep(0.5)
    await write_config(store, config(1, [READ_ROUTE], [PORTAL], {"w1": [TAKEN]}))
    workers.start()
    for router in routers:
        router.start()
    if not await wait_ready(routers):
        record.note("the routers did not become ready")
        return 2
    await asyncio.sleep(CALM_S)
    record.note("ready")
    clients = Clients(record)
    await clients.run(routers, time.time() + 1.0)
    if (TAKEN, 200) not in clients.statuses or (NEVER_HELD, 200) in clients.statuses:
        record.note("keys were not judged as version 1 says")
        return 2
    # Without the disruption the tenant stays and only its key is taken away.
    tenants = {} if TROUBLE else {"w1": []}
    version_2 = config(2, [READ_ROUTE], [PORTAL], tenants)
    taken_at = await write_config(store, version_2)
    record.note(f"version 2 is acknowledged, with tenants {version_2['tenants']}")
    await clients.run(routers, taken_at + WATCHED_S)
    late, unheld = 0, 0
    for line in log.read_text().splitlines():
        run = json.loads(line)
        sent_at, key = clients.sent_by_id[run["id"]]
        record.note(f"run {run['id']} with {key} by {run['worker']}")
        late += key == TAKEN and sent_at > taken_at + REVOKE_S
        unheld += key == NEVER_HELD
    text = (
        f"CONFIG: {late} requests ran sent over {REVOKE_S} s after their key was taken "
        f"away; ROUTE: {unheld} ran with a key that no configuration ever held"
    )
    record.note(text)
    print(text)
    return 1 if late or unheld else 0


run_case(Path(__file__).parent, play)
