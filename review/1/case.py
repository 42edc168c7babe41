"""An entry among the workers' entries comes from another writer.

Rule Fault: on a tenth of the machines in use (two at least) processes end by
themselves three times in the day with no disruption there.
"""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.common.deployment import (  # noqa: E402
    POOL,
    STREAM_ROUTE,
    ZONES,
    config,
    request_headers,
    wait_ready,
    write_config,
)
from review.common.fleet import (  # noqa: E402
    RESTART_S,
    STORE_PORT,
    Router,
    free_network,
    standin,
)
from review.common.play import TROUBLE, run_case  # noqa: E402
from review.common.wire import call, call_json  # noqa: E402

ROUTERS, WORKERS = 3, 6
CALM_S, PLAYED_S = 4.0, 30.0
SEND_EVERY_S = 0.1
DEADLINE_S = 20.0
KEY = "key-of-w1"
# An address of which a byte can't be read: JSON shows U+FFFD in its place.
FOREIGN = {
    "service": "pool",
    "addr": "127.0.0.9\ufffd:8080",
    "zone": "a",
    "version": "v1",
    "slots": 96,
    "state": "ready",
    "coldLeftMs": 0,
    "kind": "whole",
    "layers": {"from": 0, "target": 80, "version": 1},
    "born": 1,
    "seq": 1,
}
ENDS, SHARE, LEAST = 3, 0.1, 2


async def send(router, name, record, results):
    """Send one stream request and record its answer."""
    headers = request_headers(
        name,
        KEY,
        DEADLINE_S,
        **{"x-token-counts": "774,203", "x-prompt-prefix": "a1:774"},
    )
    status, _, text = await call(
        router.front, "POST", "/review/x", headers, b"{}", DEADLINE_S
    )
    results.append(status)
    why = "" if status else f" ({text.decode(errors='replace')[:60]})"
    record.note(f"request {name} to {router.name} -> {status}{why}")


async def keep_running(routers, record, ends):
    """Start a process again after a short delay, as the platform does."""
    while True:
        for router in routers:
            if not router.runs():
                ends[router.name] += 1
                code = router.process.returncode
                record.note(f"the process of {router.name} ended by itself: {code}")
                await asyncio.sleep(RESTART_S)
                router.start()
        await asyncio.sleep(0.05)


async def play(record, folder, processes):
    """Play the case; see `run_case`."""
    network = free_network()
    store = f"{network}.200.1:{STORE_PORT}"
    log = folder / "runs"
    log.touch()
    arguments = [store, network, WORKERS, log]
    platform = standin("review/common/store.py", [store], folder)
    workers = standin("review/common/model_workers.py", arguments, folder)
    routers = [
        Router(number, ZONES[number % 3], network, folder) for number in range(ROUTERS)
    ]
    processes += [platform, workers, *routers]
    platform.start()
    await asyncio.sleep(0.5)
    await write_config(store, config(1, [STREAM_ROUTE], [POOL], {"w1": [KEY]}))
    workers.start()
    for router in routers:
        router.start()
    if not await wait_ready(routers):
        record.note("the routers did not become ready")
        return 2
    await asyncio.sleep(CALM_S)
    record.note("ready")
    ends, results = dict.fromkeys((router.name for router in routers), 0), []
    keeper = asyncio.create_task(keep_running(routers, record, ends))
    if TROUBLE:
        body = {"metadata": {"name": "i-9f3e"}, "spec": FOREIGN}
        status, _ = await call_json(store, "POST", "/objects/servers", body)
        record.note(f"another writer's entry is in the store: {status}")
    until = time.time() + PLAYED_S
    async with asyncio.TaskGroup() as group:
        number = 0
        while time.time() < until:
            router = routers[number % ROUTERS]
            number += 1
            group.create_task(send(router, f"q{number}", record, results))
            await asyncio.sleep(SEND_EVERY_S)
    keeper.cancel()
    for line in log.read_text().splitlines():
        run = json.loads(line)
        record.note(f"{run['what']} {run['id']} by {run['worker']}")
    often = [name for name, count in ends.items() if count >= ENDS]
    served = results.count(200)
    text = (
        f"Fault: processes ended by themselves {ends}; "
        f"{served} of {len(results)} requests were served, "
        f"{results.count(0)} got no answer"
    )
    record.note(text)
    print(text)
    return 1 if len(often) >= max(LEAST, SHARE * ROUTERS) else 0


run_case(Path(__file__).parent, play)
