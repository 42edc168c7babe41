"""Tests of the target client against engine stand-ins over real connections."""

import subprocess
import sys
from contextlib import asynccontextmanager
from dataclasses import replace

import httpcore
import msgspec
import trio
from expression import Result
from hypercorn.config import Config
from hypercorn.trio import serve

from radishfield.core import (
    LayerRange,
    ResultCode,
    Route,
    Stage,
    StreamStart,
    Target,
    TargetOrder,
)
from radishfield.edges import EngineTargets, TargetTimeouts
from radishfield.pipeline import PipelineState
from standins.engine import EngineApp
from standins.engine_control import EngineFaults
from standins.engine_steps import EngineState
from standins.model import expected_words
from standins.ports import free_port

SHORT_TIMEOUTS = TargetTimeouts(first_token_s=3.0, idle_s=0.3, control_s=1.0)
LAYER_RANGES = ((0, 4), (4, 8), (8, 12))
LAYERS = 12
PROMPT = "Check the delegation note."


class Engines:
    """Engine stand-ins in this process, each with its own listener."""

    __slots__ = ("apps", "targets", "route", "port", "scopes")

    def __init__(self):
        self.apps = []
        self.targets = []
        self.scopes = []
        self.port = EngineTargets(SHORT_TIMEOUTS)

    async def start(self, nursery, first, end):
        name = f"e{len(self.apps)}"
        app = EngineApp(EngineState(name, "small", "1", LayerRange(first, end)), 0.001)
        address = f"127.0.0.1:{free_port()}"
        config = Config()
        config.bind = [address]
        config.loglevel = "ERROR"
        scope = trio.CancelScope()

        async def run(task_status):
            with scope:
                async with trio.open_nursery() as inner:
                    await inner.start(app.run)
                    await inner.start(serve, app, config)
                    task_status.started()

        await nursery.start(run)
        self.apps.append(app)
        self.scopes.append(scope)
        self.targets.append(Target(name, name, "z", address))

    def set_route(self, indices=(0, 1, 2)):
        stages = tuple(
            Stage(
                self.targets[index].id,
                self.targets[index].address,
                self.apps[index].engine_state.layers,
            )
            for index in indices
        )
        self.route = Route(stages, "small", "1", LAYERS)

    async def read(self, state, attempt, count=8, stop_at=None):
        """Run one attempt; return the fault that ended it, or None."""
        state.start_attempt(attempt, self.route)
        start = StreamStart(
            "r", attempt, self.route, PROMPT, state.committed, count, 5.0
        )
        async with self.port.open_stream(self.targets[0], start) as opened:
            return await read_remaining(opened, state, stop_at)


async def read_remaining(opened, state, stop_at=None):
    if opened.is_error():
        return opened.error
    while state.finish is None and state.next_position != stop_at:
        match await opened.ok.next_tokens():
            case Result(tag="error", error=problem):
                return problem
            case Result(tag="ok", ok=tokens):
                batch = state.commit_batch(tokens[:stop_at])
                if batch.problem:
                    return batch.problem
    return None


@asynccontextmanager
async def engines(extra=()):
    started = Engines()
    async with trio.open_nursery() as nursery:
        for first, end in (*LAYER_RANGES, *extra):
            await started.start(nursery, first, end)
        started.set_route()
        yield started
        nursery.cancel_scope.cancel()


def expected(count=8):
    return expected_words("small", PROMPT, LAYERS, count)


def completed_steps(app):
    return [step for step in app.controls.record.steps if not step.refused]


def test_each_layer_runs_once_for_each_token_and_caches_are_dropped():
    async def main():
        async with engines() as fleet:
            state = PipelineState("r", 8)
            assert await fleet.read(state, 1) is None
            assert state.committed == expected()
            for app in fleet.apps:
                positions = [step.position for step in completed_steps(app)]
                assert positions == list(range(8))
                assert app.steps.kv.active(trio.current_time()) == 0

    trio.run(main)


def test_hung_stage_is_reported_and_next_attempt_resumes_from_exported_cache():
    """The caller receives the complete answer although a stage failed midway.

    The last stage hangs at a token.  The stage before it times out and reports
    it in the stream; the caches of earlier stages are exported to the targets of
    the new route, and the next attempt starts at the committed position.
    """

    async def main():
        async with engines(extra=[(8, 12)]) as fleet:
            fleet.apps[2].controls.faults = EngineFaults(hang_at=3)
            state = PipelineState("r", 8)
            fleet.port = EngineTargets(TargetTimeouts(idle_s=4.0))
            problem = await fleet.read(state, 1)
            assert (problem.code, problem.target_id) == (ResultCode.STAGE_FAILED, "e2")
            assert state.next_position == 3
            exported = await fleet.port.export_kv(fleet.targets[1], "r")
            assert exported.ok.positions >= 3
            assert (await fleet.port.import_kv(fleet.targets[1], exported.ok)).is_ok()
            fleet.set_route((0, 1, 3))
            assert await fleet.read(state, 2) is None
            assert state.committed == expected()
            ran = [step.position for step in completed_steps(fleet.apps[3])]
            assert ran == [3, 4, 5, 6, 7]

    trio.run(main)


def test_a_silent_connection_is_replaced_and_nothing_runs_twice():
    """The caller receives the complete answer over a second connection.

    The first stage's connection stalls at a token while the engine keeps running.
    The attempt's stream is reopened from the committed position; the engines'
    records show each step once.
    """

    async def main():
        async with engines() as fleet:
            fleet.apps[0].controls.faults = EngineFaults(silent_at=4)
            state = PipelineState("r", 8)
            problem = await fleet.read(state, 1)
            assert problem.code == ResultCode.STREAM_SILENT
            reopened = fleet.port.reopen_stream(
                fleet.targets[0], "r", 1, state.next_position
            )
            async with reopened as opened:
                assert await read_remaining(opened, state) is None
            assert state.committed == expected()
            for app in fleet.apps:
                assert [step.position for step in completed_steps(app)] == list(
                    range(8)
                )
            unknown = fleet.port.reopen_stream(fleet.targets[0], "r", 2, 0)
            async with unknown as opened:
                assert opened.error.code == ResultCode.TARGET_REFUSED
                assert opened.error.outcome == "unknown"

    trio.run(main)


def test_process_that_dies_while_computing_a_token_is_reported():
    """The caller's request can be routed around a stage that died.

    The last stage is a separate process and exits within a token, after it
    computed and before it answered.  The stage before it reports it in the
    stream; the next attempt generates the missing token again.
    """

    async def main():
        async with engines(extra=[(8, 12)]) as fleet:
            port = free_port()
            arguments = f"--id=dying --port={port} --first=8 --end=12".split()
            command = [sys.executable, "-m", "standins.engine", *arguments]
            process = subprocess.Popen(command)
            try:
                await die_at(port, 3)
                dying = Stage("dying", f"127.0.0.1:{port}", LayerRange(8, 12))
                good = fleet.route
                fleet.route = replace(good, stages=(*good.stages[:2], dying))
                state = PipelineState("r", 8)
                fleet.port = EngineTargets(TargetTimeouts(idle_s=4.0))
                problem = await fleet.read(state, 1)
                assert (problem.code, problem.target_id) == (
                    ResultCode.STAGE_FAILED,
                    "dying",
                )
                assert state.next_position == 3
                fleet.route = good
                assert await fleet.read(state, 2) is None
                assert state.committed == expected()
            finally:
                process.kill()
                process.wait(timeout=10)

    trio.run(main)


async def die_at(port, position):
    async with httpcore.AsyncConnectionPool() as pool:
        for _ in range(100):
            try:
                await pool.request(
                    "POST",
                    f"http://127.0.0.1:{port}/control/faults",
                    content=msgspec.json.encode(EngineFaults(die_at=position)),
                )
                return
            except httpcore.ConnectError:
                await trio.sleep(0.1)
    raise AssertionError("the engine did not start within 100 attempts")


def test_faulty_answers_are_never_accepted_as_complete():
    async def main():
        async with engines() as fleet:
            for attempt, faults, code in (
                (1, EngineFaults(truncate_at=2), ResultCode.ANSWER_TRUNCATED),
                (2, EngineFaults(corrupt_at=3), ResultCode.BAD_RECEIPT),
                (3, EngineFaults(refuse=True), ResultCode.TARGET_REFUSED),
            ):
                fleet.apps[0].controls.faults = faults
                state = PipelineState("r", 8)
                problem = await fleet.read(state, attempt)
                assert problem.code == code
                assert state.finish is None

    trio.run(main)


def test_cancel_ends_the_attempt_at_every_stage_but_not_a_newer_attempt():
    async def main():
        async with engines() as fleet:
            state = PipelineState("r", 400)
            await fleet.read(state, 1, count=400, stop_at=2)
            await fleet.port.cancel(fleet.targets[0], "r", 1)
            with trio.fail_after(2):
                while any(app.steps.kv.active(0.0) for app in fleet.apps):
                    await trio.sleep(0.01)
            assert fleet.apps[0].streams.running == 0
            state = PipelineState("r", 8)
            await fleet.port.cancel(fleet.targets[0], "r", 1)
            assert await fleet.read(state, 2) is None

    trio.run(main)


def test_a_step_that_is_sent_again_is_refused_and_not_run_twice():
    """A step that is sent again on another connection corrupts no cache."""

    async def main():
        async with engines() as fleet:
            state = PipelineState("r", 8)
            await fleet.read(state, 2, count=400, stop_at=3)
            kv = fleet.apps[1].steps.kv
            assert kv.refusal("r", 2, 0, False) == "the step was run before"
            assert kv.refusal("r", 2, 10**6, False) == "a position is missing"
            assert kv.refusal("r", 1, 0, True) == "a newer attempt runs"

    trio.run(main)


def test_leaving_engine_refuses_new_streams_and_completes_running_ones():
    async def main():
        async with engines() as fleet:
            state = PipelineState("r", 40)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.read, state, 1, 40)
                await trio.sleep(0.05)
                nursery.start_soon(fleet.apps[0].drain)
                await trio.sleep(0.01)
                start = StreamStart("s", 1, fleet.route, PROMPT, (), 4, 5.0)
                opening = fleet.port.open_stream(fleet.targets[0], start)
                async with opening as opened:
                    assert opened.error.code == ResultCode.TARGET_REFUSED
                    assert opened.error.retry_after_s
                report = (await fleet.port.load(fleet.targets[0])).ok
                assert report.leaving
            assert state.committed == expected(40)

    trio.run(main)


def test_orders_are_fenced_and_late_ones_are_not_started():
    async def main():
        async with engines() as fleet:
            target, port = fleet.targets[0], fleet.port

            async def order(kind, fencing, timeout_s=1.0, layers=(0, 0)):
                argument = "x"
                target_order = TargetOrder(kind, argument, fencing, timeout_s, layers)
                return await port.order(target, target_order)

            assert (await order("set-role", 5)).is_ok()
            fenced = await order("set-role", 4)
            assert fenced.error.code == ResultCode.ORDER_FENCED
            async with trio.open_nursery() as nursery:
                nursery.start_soon(order, "load-layers", 6, 1.0, (0, 8))
                await trio.sleep(0.05)
                late = await order("set-role", 6, timeout_s=0.01)
                assert late.error.code == ResultCode.ORDER_LATE
            assert fleet.apps[0].engine_state.layers == LayerRange(0, 8)

    trio.run(main)


def test_cache_events_are_delayed_and_load_reports_carry_their_age():
    async def main():
        async with engines() as fleet:
            assert await fleet.read(PipelineState("r", 8), 1) is None
            target = fleet.targets[0]
            assert (await fleet.port.cache_events(target, 0)).ok == ()
            report = (await fleet.port.load(target)).ok
            assert 0 < report.measured_s_ago < 1.0
            events = fleet.apps[0].steps.prefixes.events(0, trio.current_time() + 2)
            assert [event.prefix for event in events] in ([PROMPT], [])

    trio.run(main)
