"""Measures the costs of target calls and idempotency claims, one line per figure.

``python -m bench.slopes_target PART`` with one of ``hand-on``, ``chunks``,
``claims``, ``polls``, ``memory``.
"""

import subprocess
import sys
import time

import click
import httpcore
import trio

from bench._claim_costs import book_bytes, slots_cost
from bench._stage_driving import (
    CALLERS,
    EngineProcesses,
    Sample,
    measure,
    run_entry_driven,
    run_handed_on,
)
from bench._token_feed import cpu_per_answer
from radishfield.edges import EngineTargets
from standins.ports import free_port

SHORT, LONG = 8, 72
REQUESTS = 24
LONE_REQUESTS = 6
FEED_TOKENS = 240
FEED_ANSWERS = 48
CHUNKINGS = (1, 2, 4, 8)
POLLS = 500
CLAIM_HOSTS = (3, 9, 85, 340)
IMPORTS = (
    "trio, msgspec, expression",
    "trio, msgspec, expression, httpcore",
    "trio, msgspec, expression, httpcore, radishfield.edges._target",
    "trio, msgspec, expression, httpcore, radishfield.edges._target, "
    "radishfield.fleet._claims",
)


@click.group()
def main():
    """Measure one part."""


@main.command("hand-on")
@click.option("--step-ms", default=1.0)
def hand_on_command(step_ms):
    """Compare stages that hand on with stages that the entry host calls."""
    trio.run(_compare_stage_calls, step_ms)


async def _compare_stage_calls(step_ms: float) -> None:
    engines = EngineProcesses(step_ms)
    try:
        await engines.wait_ready()
        targets = EngineTargets()
        pool = httpcore.AsyncConnectionPool(max_connections=64)

        async def handed_on(name: str, count: int) -> None:
            await run_handed_on(targets, engines, name, count)

        async def entry_driven(name: str, count: int) -> None:
            await run_entry_driven(pool, engines, name, count)

        for label, run in (("handed-on", handed_on), ("entry-driven", entry_driven)):
            await measure(run, f"{label}-warm", 8, SHORT)
            short = await measure(run, label, REQUESTS, SHORT)
            long = await measure(run, label, REQUESTS, LONG)
            lone = await measure(run, f"{label}-lone", LONE_REQUESTS, LONG, callers=1)
            _print_slope(label, short, long, lone)
    finally:
        engines.stop()


def _print_slope(label: str, short: Sample, long: Sample, lone: Sample) -> None:
    token_s = (long.cpu_s - short.cpu_s) / (long.tokens - short.tokens)
    request_s = short.cpu_s / short.requests - token_s * SHORT
    click.echo(
        f"slope {label} token_us={token_s * 1e6:.0f} request_us={request_s * 1e6:.0f} "
        f"token_ms_alone={lone.token_s * 1e3:.2f} "
        f"token_ms_at_{CALLERS}={long.token_s * 1e3:.2f}"
    )


@main.command()
def chunks():
    """Measure the cost of a token by how many arrive in one chunk."""
    for per_chunk in CHUNKINGS:
        for batched in (False, True):
            token_us = _token_us(per_chunk, batched)
            form = "next_tokens" if batched else "next_token"
            click.echo(f"slope chunk per_chunk={per_chunk} {form} {token_us:.1f} us")


def _token_us(per_chunk: int, batched: bool) -> float:
    port = free_port()
    command = [sys.executable, "-m", "bench._token_feed", f"--port={port}"]
    command += [f"--count={FEED_TOKENS}", f"--per-chunk={per_chunk}"]
    process = subprocess.Popen(command)
    try:
        _wait_listening(port)
        return cpu_per_answer(port, FEED_ANSWERS, 8, batched) / FEED_TOKENS * 1e6
    finally:
        process.terminate()
        process.wait(timeout=10)


def _wait_listening(port: int) -> None:
    for _ in range(200):
        try:
            httpcore.request("GET", f"http://127.0.0.1:{port}/")
            return
        except httpcore.ConnectError:
            time.sleep(0.05)
    raise SystemExit("the token feed did not start listening")


@main.command()
def claims():
    """Measure claims in the platform's slots, and size a host's book."""
    for size in CLAIM_HOSTS:
        cost = slots_cost(size)
        click.echo(
            f"slope claims hosts={size} peer_asks={cost.peer_asks:.1f} "
            f"platform_reads={cost.platform_reads:.1f} "
            f"platform_writes={cost.platform_writes:.1f} "
            f"claim_ms={cost.claim_ms:.2f} end_ms={cost.end_ms:.2f} "
            f"cpu_us_all_hosts={cost.cpu_us:.0f}"
        )
    click.echo(f"slope claims record_bytes={book_bytes(20_000):.0f}")


@main.command()
def polls():
    """Measure what asking a target for its load costs the asking host."""
    trio.run(_polls)


async def _polls() -> None:
    engines = EngineProcesses(1.0)
    try:
        await engines.wait_ready()
        engine_targets = EngineTargets()
        await engine_targets.load(engines.targets[0])
        before = time.process_time()
        for _ in range(POLLS):
            await engine_targets.load(engines.targets[0])
        cost_s = (time.process_time() - before) / POLLS
    finally:
        engines.stop()
    click.echo(f"slope poll cpu_us={cost_s * 1e6:.0f}")


@main.command()
def memory():
    """Measure the resident memory that imports of the edge and claims add."""
    before = 0.0
    for names in IMPORTS:
        code = f"import {names}; print(open('/proc/self/statm').read().split()[1])"
        pages = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, check=True, text=True
        )
        megabytes = int(pages.stdout) * 4096 / 1e6
        last = names.rpartition(", ")[2]
        click.echo(
            f"slope memory {last} mb={megabytes:.1f} more={megabytes - before:.1f}"
        )
        before = megabytes


if __name__ == "__main__":
    main()
