"""A key is taken away right after the store came back from a copy some seconds old.

Rule CONFIG: a request sent later than revokeMs after the acknowledgement of a
configuration that took its key away runs.
"""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

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
from review.common.wire import call, call_json  # noqa: E402

AWAY = os.environ.get("AWAY", "silent")
AWAY_S, COPY_AGE_S = 1.0, 2.0
ROUTERS, WORKERS = 9, 36
REVOKE_S = BOUNDS["revokeMs"] / 1000
CALM_S, WATCHED_S = 5.0, REVOKE_S + 10.0
SEND_EVERY_S = 0.25
KEPT, TAKEN = "key-that-stays", "key-that-is-taken-away"


def keys(*taken):
    """Return the keys of both tenants."""
    return {"stays": [KEPT], "leaves": list(taken)}


class Clients:
    """Sends requests with both keys to every router."""

    def __init__(self, record):
        self.record = record
        self.sent_at = {}
        self.served = {KEPT: 0, TAKEN: 0}

    async def send(self, router, key):
        """Send one request and record its answer."""
        name = f"q{len(self.sent_at) + 1}"
        self.sent_at[name] = time.time()
        headers = request_headers(name, key, 3.0)
        status, _, _ = await call(router.front, "GET", "/read/x", headers, b"", 3.0)
        self.served[key] += status == 200
        self.record.note(f"request {name} to {router.name} with {key} -> {status}")

    async def run(self, routers, until):
        """Send with both keys to each router, again and again."""
        async with asyncio.TaskGroup() as group:
            while time.time() < until:
                for router in routers:
                    group.create_task(self.send(router, KEPT))
                    group.create_task(self.send(router, TAKEN))
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
    await write_config(store, config(1, [READ_ROUTE], [PORTAL], keys(TAKEN)))
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
    if min(clients.served.values()) < ROUTERS:
        record.note("requests were not served before the drill")
        return 2
    if TROUBLE:
        _, revision = await call_json(store, "PUT", "/drill/copy")
        record.note(f"the store is copied at revision {revision}")
        await asyncio.sleep(COPY_AGE_S)
        path = f"/drill/away?s={AWAY_S}&how={AWAY}"
        _, revision = await call_json(store, "PUT", path)
        record.note(f"the store goes away ({AWAY}) at revision {revision}")
        await asyncio.sleep(AWAY_S)
    else:
        await asyncio.sleep(COPY_AGE_S + AWAY_S)
    version_2 = config(2, [READ_ROUTE], [PORTAL], keys())
    taken_at = await write_config(store, version_2)
    record.note("the store has acknowledged version 2, without the key")
    await clients.run(routers, taken_at + WATCHED_S)
    lines = [json.loads(line) for line in log.read_text().splitlines()]
    late = []
    for line in lines:
        sent_s = clients.sent_at[line["id"]] - taken_at
        record.note(f"run {line['id']} for {line['tenant']} by {line['worker']}")
        if line["tenant"] == "leaves" and sent_s > REVOKE_S:
            late.append(sent_s)
    text = (
        f"CONFIG: {len(late)} requests ran sent over {REVOKE_S} s after their "
        f"key was taken away, the last {max(late, default=0.0):.1f} s after"
    )
    record.note(text)
    print(text)
    return 1 if late else 0


run_case(Path(__file__).parent, play)
