"""The loop in virtual time repeats a seed and lets no time pass by itself."""

import pytest
import trio

from proofs._loop import Loop


def _order(seed: int) -> list[int]:
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


def test_a_seed_repeats_the_order_of_tasks():
    assert _order(3) == _order(3)
    assert len({tuple(_order(seed)) for seed in range(6)}) > 1


def test_time_moves_only_when_it_is_passed():
    loop = Loop(1)
    loop.start(lambda: trio.sleep(5.0))
    loop.settle()
    assert loop.now == 0.0
    loop.pass_time(7.0)
    assert loop.now == 7.0
    loop.close()


def test_a_task_that_crashes_fails_the_rule_that_waits():
    loop = Loop(1)

    async def crash() -> None:
        raise RuntimeError("defect")

    loop.start(crash)
    with pytest.raises(BaseExceptionGroup):
        loop.settle()
