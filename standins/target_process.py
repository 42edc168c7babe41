"""Runs the store and the targets of a load as a process of its own.

Usage: ``python -m standins.target_process PORT WORKSPACES EVENTS EVENT_GAP_S``.  The
store listens on the port once all targets serve and are in it; the process runs until
it is ended.
"""

import subprocess
import sys

import trio

from radishfield.web import ListenerConfig, serve_app
from standins.object_store import ObjectStoreApp
from standins.routed_config import config, layered_entry, target_entry
from standins.routed_targets import LayeredFleet, LayeredTarget, PlainTarget

PLAIN_TARGETS, LAYERED_TARGETS = 4, 6
WORK_S = 0.05
START_S = 20.0
"""Time limit for the start on a busy machine."""


class TargetProcess:
    """A store and its targets, so that callers that are late delay no target.

    Parameters
    ----------
    port : int
        Port of the store.
    events : int
        Events of each stream.
    """

    def __init__(self, port: int, workspaces: int, events: int, event_gap_s: float):
        self.store = f"127.0.0.1:{port}"
        self._port = port
        self._arguments = [str(each) for each in (port, workspaces, events)]
        self._arguments.append(str(event_gap_s))
        self._process: subprocess.Popen | None = None

    async def start(self) -> None:
        """Start the process and wait until the store answers."""
        command = [sys.executable, "-m", "standins.target_process"]
        self._process = subprocess.Popen(
            [*command, *self._arguments],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        with trio.fail_after(START_S):
            while not await self._listens():
                await trio.sleep(0.1)

    async def _listens(self) -> bool:
        try:
            stream = await trio.open_tcp_stream("127.0.0.1", self._port)
        except OSError:
            return False
        await stream.aclose()
        return True

    def end(self) -> None:
        """Kill the process and wait for its exit."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()


async def _serve(nursery: trio.Nursery, app, port: int = 0) -> str:
    listener = ListenerConfig.from_settings(f"127.0.0.1:{port}", drain_s=0.0)
    (url,) = await nursery.start(serve_app, app, listener, None)
    return url.removeprefix("http://")


async def _run(port: int, workspaces: int, events: int, event_gap_s: float) -> None:
    store = ObjectStoreApp()
    tenants = [
        {"name": f"w{number}", "apiKeys": [f"key-{number}"]}
        for number in range(workspaces)
    ]
    store.put("config", "main", config(tenants=tenants))
    async with trio.open_nursery() as nursery:
        for number in range(PLAIN_TARGETS):
            plain = PlainTarget(f"p{number}", work_s=WORK_S)
            plain.address = await _serve(nursery, plain)
            store.put("servers", plain.id, target_entry("portal", plain.address))
        fleet = LayeredFleet()
        for number in range(LAYERED_TARGETS):
            target = LayeredTarget(
                f"t{number}", first=0, end=80, events=events, gap_s=event_gap_s
            )
            target.address = await _serve(nursery, target)
            fleet.add(target)
            store.put("servers", target.id, layered_entry(target.address, 0, 80))
        await _serve(nursery, store, port)


if __name__ == "__main__":
    trio.run(
        _run, int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])
    )
