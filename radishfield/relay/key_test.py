"""Tests of the secret that entry hosts share through the store."""

import base64

import pytest
import trio
import trio.testing
from expression import Error, Ok

from radishfield.core import ResultCode, fault
from radishfield.platform import StoredValue
from radishfield.relay import RelayKey
from radishfield.relay._frames import KEY_BYTES
from radishfield.relay._key import MIN_READ_INTERVAL_S
from radishfield.routing import Position


class TrioClock:
    def now(self):
        return trio.current_time()


class Store:
    """A store of objects that counts the calls."""

    def __init__(self):
        self.spec = None
        self.reads = self.writes = 0

    async def read(self, kind, name):
        self.reads += 1
        await trio.sleep(0.004)
        if self.spec is None:
            return Error(fault(ResultCode.OBJECT_NOT_FOUND))
        return Ok(StoredValue(name, Position(0, 1), self.spec))

    async def create(self, kind, name, spec):
        self.writes += 1
        await trio.sleep(0.004)
        if self.spec is not None:
            return Error(fault(ResultCode.PLATFORM_CONFLICT))
        self.spec = spec
        return Ok(StoredValue(name, Position(0, 1), spec))


def play(scenario):
    async def main():
        async with trio.open_nursery() as nursery:
            await scenario(nursery)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_hosts_that_start_together_share_one_key_and_write_it_few_times():
    """Guards against a start whose hosts spend the store's writes on the key."""

    async def scenario(nursery):
        store = Store()
        keys = [RelayKey(store, TrioClock()) for _ in range(200)]
        for key in keys:
            await nursery.start(key.run)
        await trio.sleep(5.0)
        assert len({key.value for key in keys}) == 1
        assert len(keys[0].value) == KEY_BYTES
        assert store.writes <= 10 and store.reads <= 3 * len(keys)

    play(scenario)


@pytest.mark.parametrize(
    "spec", [{"secret": "not base64!"}, {"secret": "c2hvcnQ="}, {}, "text"]
)
def test_damaged_key_is_not_used(spec):
    async def scenario(nursery):
        store = Store()
        store.spec = spec
        key = RelayKey(store, TrioClock())
        await nursery.start(key.run)
        await trio.sleep(3.0)
        assert key.value is None and store.writes == 0

    play(scenario)


def test_key_is_read_again_when_others_refuse_it_but_not_each_time():
    """Guards against hosts without a common key after the store lost its newest one."""

    async def scenario(nursery):
        store = Store()
        store.spec = {"secret": base64.b64encode(b"a" * KEY_BYTES).decode()}
        key = RelayKey(store, TrioClock())
        await nursery.start(key.run)
        await trio.sleep(MIN_READ_INTERVAL_S)
        store.spec = {"secret": base64.b64encode(b"b" * KEY_BYTES).decode()}
        for _ in range(100):
            key.doubt()
            await trio.sleep(0.01)
        assert key.value == b"b" * KEY_BYTES
        assert store.reads == 2

    play(scenario)


@pytest.mark.parametrize("secret", ["\u00e9", "a", "!!!!", ""])
def test_key_that_can_not_be_read_is_none(secret):
    """Guards against an end of the process by a key of another writer."""
    key = RelayKey(Store(), TrioClock())
    assert not key._accept({"secret": secret})
    assert key.value is None


def test_key_that_the_store_lost_is_written_again_as_it_was():
    """Guards against hosts that no longer know each other after the store's return."""

    async def scenario(nursery):
        store = Store()
        keys = [RelayKey(store, TrioClock()) for _ in range(9)]
        for key in keys:
            nursery.start_soon(key.run)
        await trio.sleep(5.0)
        (value,) = {key.value for key in keys}
        store.spec = None
        for key in keys:
            key.reread()
        await trio.sleep(10.0)
        assert {key.value for key in keys} == {value}
        assert base64.b64decode(store.spec["secret"]) == value

    play(scenario)
