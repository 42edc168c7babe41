"""Workers crash in the first second of the traffic; later all routers restart.

TROUBLE=0 plays neither, TROUBLE=crashes and TROUBLE=restart only one of the two.
"""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lab.deployment import Deployment, Record, configuration  # noqa: E402
from lab.model_worker import Timing  # noqa: E402

WORKERS = 20
PER_S = 12.0
RECOVERY_S = 12.0
"""The bound `recoveryS`."""
CRASHES = ((0.15, 2), (0.65, 1))
"""Seconds from the start of the traffic, and workers that crash for good then."""
FINAL_FAULT_S = 16.0
DOWN_S = 1.0
MEASURED_S = 12.0


async def crash_workers(deployment, begin):
    """Crash some of the workers that run requests."""
    loop = asyncio.get_running_loop()
    for at_s, count in CRASHES:
        await asyncio.sleep(begin + at_s - loop.time())
        for worker in deployment.busiest_workers(count):
            names = " ".join(worker.running)
            deployment.record(f"crash of worker {worker.id} which runs {names}")
            worker.crash()


async def play(record, trouble):
    """Play the run; return whether the rule held, or None if it could not run."""
    deployment = Deployment(record, WORKERS, Timing(first_event_s=0.45))
    loop = asyncio.get_running_loop()
    try:
        if not await deployment.start():
            return None
        begin = loop.time()
        fault_at = begin + FINAL_FAULT_S
        end = fault_at + DOWN_S + 3.0 + RECOVERY_S + MEASURED_S
        deployment.spawn(deployment.send_streams(PER_S, end))
        if trouble in ("1", "crashes"):
            deployment.spawn(crash_workers(deployment, begin))
        await asyncio.sleep(fault_at - loop.time())
        deployment.store.put("config", "main", configuration(9))
        record("the store acknowledges configuration 9")
        if trouble in ("1", "restart"):
            for router in deployment.routers:
                router.kill()
            record("all routers are killed")
            await asyncio.sleep(DOWN_S)
            for router in deployment.routers:
                router.start()
                router.in_rotation = False
            while not all(router.in_rotation for router in deployment.routers):
                await asyncio.sleep(0.1)
        back_at = loop.time()
        record("all routers are ready")
        await asyncio.sleep(end - loop.time() + 3.0)
        before, sent_before = deployment.share_served(begin, fault_at - 3.0)
        after, sent_after = deployment.share_served(
            back_at + RECOVERY_S, back_at + RECOVERY_S + MEASURED_S
        )
        record(f"before the final fault: {before:.3f} of {sent_before} served")
        record(f"later than recoveryS after it: {after:.3f} of {sent_after} served")
        for router in deployment.routers:
            for line in router.log_lines(
                "request.blocked", "request.unblocked", "store.era", "crashes.told"
            ):
                record(f"log of {router.id}: {line}")
        print(f"served before {before:.3f}, after {after:.3f}")
        return not (before >= 0.25 and after < 0.25)
    finally:
        deployment.end()


def main():
    """Play the run and exit with its result."""
    trouble = os.environ.get("TROUBLE", "1")
    held = asyncio.run(play(Record(Path(__file__).with_name("record.txt")), trouble))
    sys.exit(2 if held is None else 0 if held else 1)


if __name__ == "__main__":
    main()
