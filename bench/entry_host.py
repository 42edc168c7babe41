"""Measures an entry host's CPU time per request and per token, and its memory.

Run with ``python -m bench.entry_host``.  It starts a small fleet, sends bounded
load over loopback at two answer lengths, and reads the entry host's CPU time
from the kernel.  The difference between the two lengths gives the cost of a
token, and the remainder gives the cost of a request.
"""

import os
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import click
import httpcore
import msgspec
import trio

from standins.fleet import SmallFleet

CALLERS = 8
REQUESTS = 120
SHORT_TOKENS = 4
LONG_TOKENS = 36
STEP_MS = 1.0
IDLE_S = 5.0


@dataclass(slots=True, frozen=True)
class Sample:
    """CPU and wall time of one run with requests of one length."""

    requests: int
    tokens: int
    cpu_s: float
    wall_s: float


def cpu_seconds(process_id: int) -> float:
    """Return the user and system CPU time of a process in seconds."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(process_id: int) -> float:
    """Return the resident memory of a process in MB."""
    pages = int(Path(f"/proc/{process_id}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def run_load(port: int, tokens: int, requests: int) -> int:
    """Send the requests from concurrent callers; return how many did not finish."""
    body = {
        "model": "review",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "Check the delegation."}],
    }
    content = msgspec.json.encode(body)
    url = f"http://127.0.0.1:{port}/v1/chat/completions"
    failed = 0
    remaining = requests

    async def caller(pool):
        nonlocal failed, remaining
        while remaining > 0:
            remaining -= 1
            response = await pool.request("POST", url, content=content)
            if not response.content.endswith(b"data: [DONE]\n\n"):
                failed += 1

    async with httpcore.AsyncConnectionPool(max_connections=CALLERS) as pool:
        async with trio.open_nursery() as nursery:
            for _ in range(CALLERS):
                nursery.start_soon(caller, pool)
    return failed


def idle_share(process_id: int) -> float:
    """Return the share of a core that the entry host uses without requests."""
    cpu_before = cpu_seconds(process_id)
    time.sleep(IDLE_S)
    return (cpu_seconds(process_id) - cpu_before) / IDLE_S


def measure(fleet: SmallFleet, tokens: int, requests: int, idle_cores: float) -> Sample:
    """Run the load against the fleet's first entry host.

    The control plane's use of ``idle_cores`` of a core during the run is subtracted,
    because it does not grow with the load.
    """
    process_id = fleet.entry_process_ids[0]
    cpu_before = cpu_seconds(process_id)
    started = time.monotonic()
    failed = trio.run(run_load, fleet.entry_ports[0], tokens, requests)
    if failed:
        raise SystemExit(f"{failed} of {requests} requests did not finish")
    wall_s = time.monotonic() - started
    cpu_s = cpu_seconds(process_id) - cpu_before - idle_cores * wall_s
    return Sample(requests, requests * tokens, cpu_s, wall_s)


@click.command()
def main():
    """Measure and print one line."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = SmallFleet(Path(folder), step_ms=STEP_MS)
        try:
            fleet.start()
            process_id = fleet.entry_process_ids[0]
            idle_mb = resident_mb(process_id)
            idle_cores = idle_share(process_id)
            measure(fleet, SHORT_TOKENS, REQUESTS // 4, idle_cores)
            short = measure(fleet, SHORT_TOKENS, REQUESTS, idle_cores)
            long = measure(fleet, LONG_TOKENS, REQUESTS, idle_cores)
            loaded_mb = resident_mb(process_id)
        finally:
            fleet.stop()
    token_s = (long.cpu_s - short.cpu_s) / (long.tokens - short.tokens)
    request_s = short.cpu_s / short.requests - token_s * SHORT_TOKENS
    click.echo(
        f"slope entry_host token_us={token_s * 1e6:.0f} "
        f"request_us={request_s * 1e6:.0f} "
        f"idle_core={idle_cores:.3f} idle_mb={idle_mb:.1f} loaded_mb={loaded_mb:.1f} "
        f"tokens_per_s={long.tokens / long.wall_s:.0f} callers={CALLERS}"
    )


if __name__ == "__main__":
    main()
