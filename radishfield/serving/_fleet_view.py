"""Keeps the dispatcher's view of targets and of this zone's entry hosts."""

import trio

from radishfield.core import Link
from radishfield.fleet import TargetDirectory
from radishfield.serving._dispatcher import Dispatcher

# How many entry hosts share the zone's targets changes without the targets
# changing; a share that is a second old is corrected by load reports meanwhile.
LONGEST_PAUSE_S = 1.0


class FleetView:
    """A service that passes the directory's changes on to the dispatcher."""

    __slots__ = ("_directory", "_dispatcher", "_zone", "_links")

    def __init__(
        self,
        directory: TargetDirectory,
        dispatcher: Dispatcher,
        zone: str,
        links: tuple[Link, ...] = (),
    ):
        self._directory = directory
        self._dispatcher = dispatcher
        self._zone = zone
        self._links = links

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Pass the first view on, then every change, until cancelled."""
        self._pass_on()
        task_status.started()
        while True:
            seen = self._directory.version
            with trio.move_on_after(LONGEST_PAUSE_S):
                await self._directory.wait_changed(seen)
            self._pass_on()

    def _pass_on(self) -> None:
        self._dispatcher.set_targets(
            self._directory.targets(),
            self._zone,
            self._links,
            entry_hosts=self._directory.entry_hosts_in_zone(),
        )
