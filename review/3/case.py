"""An entry that holds bytes that can't be read; then a worker drains.

Rule DRAIN: a request reaches a worker later than drainMs after the store has
acknowledged that the worker is draining.
"""

import asyncio
import json
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

ROUTERS, WORKERS = 3, 6
DRAIN_S = BOUNDS["drainMs"] / 1000
CALM_S, TOLD_S, WATCHED_S = 4.0, 3.0, 10.0
SEND_EVERY_S = 0.05
KEY = "key-of-w1"
DRAINING = "i-0000"
# A byte that is no text: JSON has it as an escape without a partner.
FOREIGN = {
    "service": "portal",
    "addr": "127.0.0.9:8080",
    "zone": "\udcff",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 1,
}


async def send(router, name, record):
    """Send one request and record its answer."""
    headers = request_headers(name, KEY, 3.0)
    status, _, _ = await call(router.front, "GET", "/read/x", headers, b"", 3.0)
    record.note(f"request {name} to {router.name} -> {status}")


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
    await write_config(store, config(1, [READ_ROUTE], [PORTAL], {"w1": [KEY]}))
    workers.start()
    for router in routers:
        router.start()
    if not await wait_ready(routers):
        record.note("the routers did not become ready")
        return 2
    await asyncio.sleep(CALM_S)
    record.note("ready")
    if TROUBLE:
        body = {"metadata": {"name": "i-9f3e"}, "spec": FOREIGN}
        status, _ = await call_json(store, "POST", "/objects/servers", body)
        record.note(f"another writer's entry is in the store: {status}")
    drained = False
    began_at = time.time()
    async with asyncio.TaskGroup() as group:
        number = 0
        while time.time() < began_at + TOLD_S + WATCHED_S:
            if not drained and time.time() > began_at + TOLD_S:
                drained = True
                await call(f"{network}.128.1:8080", "PUT", "/drill/drain")
                record.note(f"{DRAINING} drains")
            group.create_task(send(routers[number % ROUTERS], f"q{number}", record))
            number += 1
            await asyncio.sleep(SEND_EVERY_S)
    lines = [json.loads(line) for line in log.read_text().splitlines()]
    told = [line["at"] for line in lines if line["what"] != "run"]
    if not told:
        record.note("the draining was not acknowledged")
        return 2
    late = []
    for line in lines:
        record.note(f"{line['what']} {line['id']} by {line['worker']}")
        after_s = line["at"] - told[0]
        reached = line["worker"] == DRAINING and line["what"] == "run"
        if reached and after_s > DRAIN_S:
            late.append(after_s)
    text = (
        f"DRAIN: {len(late)} requests reached {DRAINING} over {DRAIN_S} s after "
        f"its draining was acknowledged, the last {max(late, default=0.0):.1f} s after"
    )
    record.note(text)
    print(text)
    return 1 if late else 0


run_case(Path(__file__).parent, play)
