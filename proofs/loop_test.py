"""Tests that the loop reproduces a seed's run and advances time only on request."""

import pytest
import trio

from proofs._loop import Loop


def _run_tasks(seed: int) -> list[int]:
    loop = Loop(seed)
    order: list[int] = []

    async def work(number: int) -> None:
        await trio.sleep(1.0)
        order.append(number)

    for number in range(8):
        loop.start(lambda number=number: work(number))
    loop.pass_time(2.0)
    loop.close()
    return order


def test_seed_reproduces_the_order_of_tasks():
    assert _run_tasks(3) == _run_tasks(3)
    assert len({tuple(_run_tasks(seed)) for seed in range(6)}) > 1


def test_time_advances_only_in_pass_time():
    loop = Loop(1)
    loop.start(lambda: trio.sleep(5.0))
    loop.settle()
    assert loop.now == 0.0
    loop.pass_time(7.0)
    assert loop.now == 7.0
    loop.close()


def test_crashed_task_fails_the_waiting_call():
    loop = Loop(1)

    async def crash() -> None:
        raise RuntimeError("defect")

    loop.start(crash)
    with pytest.raises(BaseExceptionGroup):
        loop.settle()
