"""Keeps the dispatcher's view of targets and of this zone's entry hosts."""

import itertools
from collections.abc import Iterable, Sequence

import trio

from radishfield.core import Link
from radishfield.fleet import TargetDirectory
from radishfield.serving._dispatcher import Dispatcher

# How many entry hosts share the zone's targets changes without the targets
# changing; a share that is a second old is corrected by load reports meanwhile.
LONGEST_PAUSE_S = 1.0
# What is taken for a link that the settings do not name.  Without any, no route
# would ever pass from one zone to another, and zones that hold the model only
# together would refuse everybody.  Half a millisecond is what the users' zones
# are apart; the rate is low enough that a zone's own targets are preferred.
UNNAMED_LATENCY_S = 0.0005
UNNAMED_TOKENS_PER_S = 10_000.0


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
        targets = self._directory.targets()
        zones = {target.zone for target in targets}
        self._dispatcher.set_targets(
            targets,
            self._zone,
            links_between(zones, self._links),
            entry_hosts=self._directory.entry_hosts_in_zone(),
        )


def links_between(zones: Iterable[str], named: Sequence[Link]) -> tuple[Link, ...]:
    """Return a link for each directed pair of zones; named ones as they are."""
    named_pairs = {(link.from_zone, link.to_zone) for link in named}
    unnamed = [
        Link(one, other, UNNAMED_LATENCY_S, UNNAMED_TOKENS_PER_S)
        for one, other in itertools.permutations(sorted(zones), 2)
        if (one, other) not in named_pairs
    ]
    return (*named, *unnamed)
