"""Tests of the service registry."""

import pytest
import trio

from radishfield.kernel import Kernel, ServiceMissingError


class Recorder:
    __slots__ = ("name", "events")

    def __init__(self, name, events):
        self.name = name
        self.events = events

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        self.events.append(f"start {self.name}")
        task_status.started()
        try:
            await trio.sleep_forever()
        finally:
            self.events.append(f"stop {self.name}")

    async def drain(self):
        self.events.append(f"drain {self.name}")


class DrainAction:
    """Not a service: its ``drain`` is an operator's action and takes arguments."""

    __slots__ = ()

    async def drain(self, kind, name):
        raise AssertionError("called by the kernel")


def test_services_start_in_order_and_are_found_by_name():
    events = []
    kernel = Kernel()
    kernel.register("first", Recorder("first", events))
    kernel.register("second", Recorder("second", events))
    kernel.register("operations", DrainAction())

    async def main():
        async with trio.open_nursery() as nursery:
            await nursery.start(kernel.run)
            assert events == ["start first", "start second"]
            await kernel.drain()
            assert events[2:] == ["drain second", "drain first"]
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert kernel.find("first", Recorder).name == "first"
    with pytest.raises(ServiceMissingError):
        kernel.find("third", Recorder)
    with pytest.raises(ValueError):
        kernel.register("first", object())
