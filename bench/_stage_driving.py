"""Compares two ways to send a token through its stages from the entry host.

Handed-on: the entry host opens a stream at the first stage, and each stage forwards
to the next one along the route.  Entry-driven: the entry host calls each stage for
each token, and the hidden state passes through the entry host each time.
"""

import subprocess
import sys
import time
from dataclasses import dataclass, replace

import httpcore
import msgspec
import trio
from expression import Result

from radishfield.core import (
    LayerRange,
    Receipt,
    Route,
    Stage,
    StreamStart,
    Target,
    Token,
)
from radishfield.edges import EngineTargets
from radishfield.edges._target_wire import STEP_PATH, Step
from radishfield.pipeline import PipelineState
from standins.model import decode_word, expected_words, first_hidden
from standins.ports import free_port

PROMPT = "Check the delegation note."
STAGES = ((0, 4), (4, 8), (8, 12), (12, 16))
LAYERS = 16
CALLERS = 8
START_ATTEMPTS = 200


@dataclass(slots=True, frozen=True)
class Sample:
    """CPU time of the entry host's side and time per token for a caller."""

    requests: int
    tokens: int
    cpu_s: float
    token_s: float


class EngineProcesses:
    """Engine stand-ins, each in its own process."""

    __slots__ = ("targets", "route", "_processes")

    def __init__(self, step_ms: float):
        self._processes: list[subprocess.Popen] = []
        self.targets: list[Target] = []
        for first, end in STAGES:
            self._start(first, end, step_ms)
        stages = tuple(
            Stage(target.id, target.address, target.layers) for target in self.targets
        )
        self.route = Route(stages, "small", "1", LAYERS)

    def _start(self, first: int, end: int, step_ms: float) -> None:
        port = free_port()
        name = f"e{first}"
        command = [sys.executable, "-m", "standins.engine", f"--id={name}"]
        command += [f"--port={port}", f"--first={first}", f"--end={end}"]
        command += [f"--step-ms={step_ms}", "--slots=32"]
        self._processes.append(subprocess.Popen(command))
        address = f"127.0.0.1:{port}"
        layers = LayerRange(first, end)
        self.targets.append(Target(name, name, "z", address, layers=layers))

    async def wait_ready(self) -> None:
        """Wait until every engine answers."""
        targets = EngineTargets()
        for target in self.targets:
            for _ in range(START_ATTEMPTS):
                if (await targets.load(target)).is_ok():
                    break
                await trio.sleep(0.05)
            else:
                raise SystemExit(f"engine {target.id} did not start")

    def stop(self) -> None:
        """Terminate every process that was started, by its id."""
        for process in self._processes:
            process.terminate()
        for process in self._processes:
            process.wait(timeout=20)


async def run_handed_on(
    targets: EngineTargets, engines: EngineProcesses, name: str, count: int
) -> None:
    """Run one request with stages that forward to each other."""
    state = PipelineState(name, count)
    state.start_attempt(1, engines.route)
    start = StreamStart(name, 1, engines.route, PROMPT, (), count, 60.0)
    async with targets.open_stream(engines.targets[0], start) as opened:
        while state.finish is None:
            match await opened.ok.next_token():
                case Result(tag="ok", ok=token):
                    if state.commit(token).is_error():
                        raise SystemExit("a token's receipt was rejected")
                case Result(error=problem):
                    raise SystemExit(str(problem))
    _check(state, count)


async def run_entry_driven(
    pool: httpcore.AsyncConnectionPool,
    engines: EngineProcesses,
    name: str,
    count: int,
) -> None:
    """Run one request by calling each stage for each token."""
    state = PipelineState(name, count)
    state.start_attempt(1, engines.route)
    while state.finish is None:
        position = state.next_position
        hidden = first_hidden("small", PROMPT, state.committed)
        step = Step(name, 1, position, 0, engines.route, hidden, hand_on=False)
        step = replace(step, is_first=position == 0, is_last=position + 1 == count)
        for stage in engines.route.stages:
            response = await pool.request(
                "POST",
                f"http://{stage.address}{STEP_PATH}",
                content=msgspec.json.encode(step),
            )
            step = msgspec.json.decode(response.content, type=Step)
        receipt = Receipt(name, 1, position, step.hops)
        state.commit(Token(position, decode_word(step.hidden), receipt))
    _check(state, count)


async def measure(
    run, label: str, requests: int, count: int, callers: int = CALLERS
) -> Sample:
    """Run requests of one length from concurrent callers."""
    numbers = iter(range(requests))
    cpu_before, started = time.process_time(), time.monotonic()

    async def caller() -> None:
        for number in numbers:
            await run(f"{label}-{count}-{number}", count)

    async with trio.open_nursery() as nursery:
        for _ in range(callers):
            nursery.start_soon(caller)
    wall_s = time.monotonic() - started
    cpu_s = time.process_time() - cpu_before
    tokens = requests * count
    return Sample(requests, tokens, cpu_s, wall_s * callers / tokens)


def _check(state: PipelineState, count: int) -> None:
    if state.committed != expected_words("small", PROMPT, LAYERS, count):
        raise SystemExit("the committed tokens differ from the expected answer")
